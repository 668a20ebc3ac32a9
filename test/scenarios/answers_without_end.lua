-- Guards against a node that runs out of memory, and ends the requests of all its callers, because a faulty backend
-- server sends bytes without end: in each way that a response can go on, on 40 connections at the same time. Calls of
-- other callers through the same node are served meanwhile, and long answers that do end arrive whole.
local at_once = 40
local memory_mb = 256 -- the default of limits.memory_mb
local f = fleet { seed = 48, data_centres = { ["capital-a"] = "capital" }, slots = 64,
  services = { archive = { ["capital-a"] = 1 }, passports = { ["capital-a"] = 1 } },
  service_settings = { archive = { cold_slots = 64, max_queue = 64 }, passports = { cold_slots = 64 } },
  backend_options = { cold_slots = 64 },
  routes = { read = { service = "archive", idempotent = true }, lookup = { service = "passports", idempotent = true } } }
f:start()
local owner = f.nodes["archive-capital-a-1"]
local other = f.nodes["passports-capital-a-1"]

-- Starts as many calls at once as the faulty server takes, and serves other calls through the same node until they
-- have ended. Returns the responses.
local function call_at_once(entry, path, deadline_ms)
  local open_calls, responses, served = {}, {}, 0
  for _ = 1, at_once do
    open_calls[#open_calls + 1] = f:start_call(entry, { service = "archive", path = path, deadline_ms = deadline_ms })
  end
  while #open_calls > 0 do
    local response = f:call(owner, { service = "passports", deadline_ms = 2000 })
    check(response.outcome == "completed", "another caller is served, outcome " .. tostring(response.outcome))
    served = served + 1
    for index = #open_calls, 1, -1 do
      if http_result(open_calls[index]) then
        responses[#responses + 1] = f:wait_for_response(table.remove(open_calls, index))
      end
    end
  end
  check(served > 0, "other callers were served meanwhile")
  return responses
end

for _, way in ipairs { "no_message", "head", "interim", "chunk_header", "chunk_extensions", "trailers", "chunks", "body" } do
  for _, response in ipairs(call_at_once(owner, "/?ms=1&endless=" .. way, 2000)) do
    check(response.outcome ~= "completed", way .. ": an answer without end is none, outcome " .. response.outcome)
  end
  local peak = peak_memory(owner)
  check(peak < memory_mb / 2, way .. ": the node had at most " .. peak .. " MB")
end

for _, response in ipairs(call_at_once(other, "/?ms=1&size=8000000", 60000)) do
  check(response.outcome == "completed" and #response.body > 8000000, "a long answer arrives whole, outcome "
    .. tostring(response.outcome))
end
check(peak_memory(owner) < memory_mb / 2, "the owner had at most " .. peak_memory(owner) .. " MB")
check(peak_memory(other) < memory_mb / 2, "the entry had at most " .. peak_memory(other) .. " MB")
wait_until("nothing is held any more", few_seconds, function()
  return f:metric(owner, "body_bytes_held") == 0
end)
