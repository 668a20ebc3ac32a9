-- Guards against a node whose descriptors are all taken by connections that nobody uses: peers, the backend server and
-- the store need some, and so does the next client.
dofile(script_folder() .. "/lib/crowd.lua")
local most, reserve = 256, 32
limit_descriptors(most)
local f = crowd_fleet { memory_mb = 64, max_body_bytes = 4194304 }
local crowd = crowd_at_entry(f, { clients = 400 })
wait_until_quiet(f, crowd)
local open = descriptor_count(f.entry.pid)
check(open <= most - reserve, "the entry has " .. open .. " of " .. most .. " descriptors open")
check_ordinary_request(f)
check_processes(f)
