-- Guards against a node that holds every answer that its client takes slowly: long answers, of which each client takes
-- 64 bytes in a quarter of a second.
dofile(script_folder() .. "/lib/crowd.lua")
local clients = 60
local f = crowd_fleet { memory_mb = 64, max_body_bytes = 4194304 }
local crowd = crowd_at_entry(f, { clients = clients, head = request_head("GET", "/read?ms=1&size=4000000"),
  reading = "slow" })
wait_until_run(f, clients)
wait_until_quiet(f, crowd)
check_with_crowd_and_without(f, crowd)
