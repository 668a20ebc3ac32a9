-- Metrics and log agree: what the counters of a node say, its log lines say one by one.
local f = fleet { seed = 31, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 1 }, transfers = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true }, transfer = { service = "transfers" } } }
f:start()
local entry = f.nodes["passports-capital-a-1"]
local owner = f.nodes["transfers-capital-a-1"]

for number = 1, 20 do f:call(entry, { service = "transfers", id = "good-" .. number }) end
f:backend_set(owner, "shed=1")
for number = 1, 5 do f:call(entry, { service = "transfers", id = "shed-" .. number }) end
f:backend_set(owner, "shed=0")
for number = 1, 3 do f:call(entry, { service = "transfers", path = "/x?cut=1", id = "cut-" .. number }) end
f:call(entry, { service = "nothing" })

local function lines(...) return f:log_lines(entry, ...) end

local function counter(pattern)
  local total = 0
  local text = http { address = address_of(entry.operators), target = "/metrics" }.body
  for value in text:gmatch("\nchervilturn_" .. pattern .. " (%d+)") do total = total + tonumber(value) end
  return total
end

wait_until("all lines are written", few_seconds, function() return lines("event=call_ended") == 28 end)
for _, outcome in ipairs { "completed", "not-run", "unknown" } do
  local counted = counter('calls_total{[^}]*service="transfers"[^}]*outcome="' .. outcome:gsub("%-", "%%-") .. '"}')
  local logged = lines("event=call_ended", "service=transfers", "outcome=" .. outcome)
  check(counted == logged, outcome .. ": " .. counted .. " counted, " .. logged .. " logged")
end
check(lines("event=call_ended", "outcome=completed") == 20, "twenty calls were served")
check(counter('step_latency_seconds_count{[^}]*step="attempt"}') == lines("event=attempt_ended"), "attempts")
check(lines("event=request_rejected") == counter('refusals_total{reason="bad_request"}'), "rejected requests")

-- Beliefs are shown with their age.
check(counter("peers_connected") == 1, "one peer is connected")
check(counter("settings_revision") > 0, "the revision in force is shown")
check(counter("door_limit") > 0, "the door's limit is shown")
