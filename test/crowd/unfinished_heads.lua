-- Guards against a node that holds the beginnings of all requests: many clients send a head nearly as long as the limit
-- and leave out its end.
dofile(script_folder() .. "/lib/crowd.lua")
local f = crowd_fleet { memory_mb = 32, max_body_bytes = 4194304 }
local crowd = crowd_at_entry(f, { clients = 2000,
  head = request_head("GET", "/read"):sub(1, -5) .. "\r\nx-filler: " .. string.rep("a", 15000) })
wait_until_quiet(f, crowd)
check_processes(f)
check_ordinary_request(f)
end_crowd(crowd)
check_ordinary_request(f)
