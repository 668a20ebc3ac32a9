-- Guards against a node that holds every body that has begun: clients send chunks up to just below the limit, leave out
-- the last one and stay.
dofile(script_folder() .. "/lib/crowd.lua")
local f = crowd_fleet { memory_mb = 64, max_body_bytes = 4194304 }
local crowd = crowd_at_entry(f, { clients = 60,
  head = request_head("POST", "/upload?ms=1", "Transfer-Encoding: chunked"),
  block = "10000\r\n" .. string.rep("x", 65536) .. "\r\n", block_count = 63 })
wait_until_quiet(f, crowd)
check_with_crowd_and_without(f, crowd)
