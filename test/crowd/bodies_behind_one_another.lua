-- Clients send sixteen bodies behind one another on each connection, faster than they are served.
dofile(script_folder() .. "/lib/crowd.lua")
local f = crowd_fleet { memory_mb = 64, max_body_bytes = 4194304 }
local crowd = crowd_at_entry(f, { clients = 60, block_count = 16,
  block = request_head("POST", "/upload?ms=20", "Content-Length: 524288") .. string.rep("x", 524288) })
wait_until_quiet(f, crowd)
check_processes(f)
check_ordinary_request(f)
