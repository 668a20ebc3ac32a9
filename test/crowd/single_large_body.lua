-- A single body of the largest size is served in calm, and each process that it passes stays within its memory.
dofile(script_folder() .. "/lib/crowd.lua")
local f = crowd_fleet { memory_mb = 260, max_body_bytes = 67108864 }
local response = f:call(f.entry, { service = "archive", path = "/upload?ms=1", body = string.rep("x", 67108864),
  deadline_ms = 60000, timeout_ms = 60000 })
check(response.status == 200 and response.outcome == "completed", "the upload is served, status "
  .. tostring(response.status or response.failure) .. ", reason " .. tostring(response.reason))
check_processes(f)
check_ordinary_request(f)
