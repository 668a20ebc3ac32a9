-- Guards against a node that holds the bodies of all calls, some of them more than once: many clients send whole bodies
-- of legal size at the same time, and the backend server takes its time with each.
dofile(script_folder() .. "/lib/crowd.lua")
local clients = 60
local f = crowd_fleet { memory_mb = 64, max_body_bytes = 4194304 }
local crowd = crowd_at_entry(f, { clients = clients,
  head = request_head("POST", "/upload?ms=2000", "Content-Length: 4194304"),
  block = string.rep("x", 65536), block_count = 64 })
wait_until_answered(crowd, clients)
wait_until_quiet(f, crowd)
check_processes(f)
check_ordinary_request(f)
