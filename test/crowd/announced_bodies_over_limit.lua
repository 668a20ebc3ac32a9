-- Clients announce bodies far over the limit and send them all the same: no part of them is kept.
dofile(script_folder() .. "/lib/crowd.lua")
local f = crowd_fleet { memory_mb = 64, max_body_bytes = 4194304 }
local crowd = crowd_at_entry(f, { clients = 60,
  head = request_head("POST", "/upload?ms=1", "Content-Length: 1073741824"),
  block = string.rep("x", 65536), block_count = 200 })
wait_until_quiet(f, crowd)
check_processes(f)
check_ordinary_request(f)
