-- The prelude of the tests with clients that don't behave: two nodes with lowered limits, the crowd in front of one of
-- them, and the backend server that it calls beside the other.

-- How long the clients may take until all that they send is sent, answered or held up, in seconds.
crowd_timeout = 240
-- Without a byte for this long the crowd is held up or has nothing left to do, in milliseconds.
quiet_time_ms = 2000
-- Of an ordinary request, in milliseconds.
ordinary_deadline_ms = 30000

-- Starts the fleet. Options: memory_mb and max_body_bytes of both nodes, caller_limits (a leaf). The fields entry and
-- owner of the result are the two nodes.
function crowd_fleet(options)
  local f = fleet { seed = 50, data_centres = { ["capital-a"] = "capital" }, slots = 64,
    services = { archive = { ["capital-a"] = 1 }, passports = { ["capital-a"] = 1 } },
    service_settings = { archive = { cold_slots = 64, max_queue = 64 } }, backend_options = { cold_slots = 64 },
    routes = { upload = { service = "archive", prefix = "/upload", idempotent = true },
      read = { service = "archive", prefix = "/read", idempotent = true } },
    node_settings = { limits = { memory_mb = options.memory_mb, max_body_bytes = options.max_body_bytes } } }
  f:start()
  f.memory_mb = options.memory_mb
  f.entry = f.nodes["passports-capital-a-1"]
  f.owner = f.nodes["archive-capital-a-1"]
  if options.caller_limits then f:publish("teams/teranga/limits/callers", options.caller_limits) end
  return f
end

-- The head of a request, with the header lines given.
function request_head(method, path, ...)
  return table.concat({ method .. " /teranga/archive" .. path .. " HTTP/1.1", "Host: 127.0.0.1",
    "chervilturn-workspace: market", "chervilturn-deadline-ms: 60000", ... }, "\r\n") .. "\r\n\r\n"
end

-- Starts a crowd at the entry, see start_crowd.
function crowd_at_entry(f, options)
  options.address = address_of(f.entry.caller_port)
  return start_crowd(options)
end

-- Waits until nothing moves any more between the crowd and the entry, and the entry has no call in progress.
function wait_until_quiet(f, crowd)
  wait_until("the crowd has sent what it can and its calls have ended", crowd_timeout, function()
    local state = crowd_state(crowd)
    if state.open > 0 and state.quiet_ms < quiet_time_ms then return false end
    local status = f:status(f.entry)
    return status ~= nil and status.entry.open_calls == 0
  end)
end

-- Waits until each client has an answer or has lost its connection.
function wait_until_answered(crowd, clients)
  wait_until("each client has an answer or no connection", crowd_timeout, function()
    local state = crowd_state(crowd)
    return state.open == 0 or state.answered >= clients
  end)
end

-- Checks that both processes live and have kept within their memory.
function check_processes(f)
  for name, node in pairs { entry = f.entry, owner = f.owner } do
    check(exit_code(node.pid) == -1000, "the " .. name .. " lives")
    local peak = peak_memory(node)
    check(peak ~= nil and peak <= f.memory_mb, "the " .. name .. " had at most " .. tostring(peak) .. " of "
      .. f.memory_mb .. " MB")
  end
end

-- Waits until the backend server has run this many calls.
function wait_until_run(f, calls)
  wait_until("the calls of all clients have run", crowd_timeout, function()
    return f:backend_stats(f.owner).total_runs >= calls
  end)
end

-- Checks that one ordinary request is answered.
function check_ordinary_request(f)
  local response = f:call(f.entry, { service = "archive", path = "/read?ms=1", deadline_ms = ordinary_deadline_ms,
    timeout_ms = ordinary_deadline_ms })
  check(response.status == 200 and response.outcome == "completed", "an ordinary request is answered, status "
    .. tostring(response.status or response.failure) .. ", reason " .. tostring(response.reason))
end

-- Checks the processes and an ordinary request, with the crowd still there and after it has left.
function check_with_crowd_and_without(f, crowd)
  check_processes(f)
  check_ordinary_request(f)
  end_crowd(crowd)
  check_ordinary_request(f)
  check_processes(f)
end
