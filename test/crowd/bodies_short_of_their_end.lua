-- Guards against a node that holds every body that has begun: clients announce a length, stop some bytes short of it
-- and stay.
dofile(script_folder() .. "/lib/crowd.lua")
local f = crowd_fleet { memory_mb = 64, max_body_bytes = 4194304 }
local crowd = crowd_at_entry(f, { clients = 60,
  head = request_head("POST", "/upload?ms=1", "Content-Length: 4194304"),
  block = string.rep("x", 65536), block_count = 63, tail = string.rep("x", 65526) })
wait_until_quiet(f, crowd)
check_with_crowd_and_without(f, crowd)
