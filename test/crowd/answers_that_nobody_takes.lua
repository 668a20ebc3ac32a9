-- Guards against a connection that is held for good because its client takes no byte of its answer and has sent
-- something behind its request that is no request.
dofile(script_folder() .. "/lib/crowd.lua")
local clients = 60
local f = crowd_fleet { memory_mb = 64, max_body_bytes = 4194304,
  caller_limits = { header_timeout_ms = 2000, idle_timeout_ms = 2000 } }
local before = descriptor_count(f.entry.pid)
local crowd = crowd_at_entry(f, { clients = clients, head = request_head("GET", "/read?ms=1&size=4000000"),
  tail = "no request\r\n\r\n", reading = "none" })
wait_until_run(f, clients)
wait_until_quiet(f, crowd)
check_processes(f)
check_ordinary_request(f)
wait_until("the entry has ended the connections of the crowd", 60, function()
  return descriptor_count(f.entry.pid) < before + clients / 2
end)
