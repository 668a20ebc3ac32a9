-- Guards against a node that holds every answer that its client takes slowly: long answers, of which each client takes
-- 64 bytes in a quarter of a second.
dofile(script_folder() .. "/lib/crowd.lua")
local clients = 60
local f = crowd_fleet { memory_mb = 64, max_body_bytes = 4194304 }
local crowd = crowd_at_entry(f, { clients = clients, head = request_head("GET", "/read?ms=1&size=4000000"),
  reading = "slow" })
wait_until("the calls of all clients have run", crowd_timeout, function()
  return f:backend_stats(f.owner).total_runs >= clients
end)
wait_until_quiet(f, crowd)
check_processes(f)
check_ordinary_request(f)
end_crowd(crowd)
check_ordinary_request(f)
check_processes(f)
