-- One call goes from caller to entry, to the owner in another process, to the backend server and back.
local f = fleet { seed = 11, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 1 }, transfers = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true } } }
f:start()

local entry = f.nodes["transfers-capital-a-1"]
local found = f:call(entry, { service = "passports", path = "/calf/1", id = "calf-1" })
check(found.status == 200, "status " .. tostring(found.status))
check(found.outcome == "completed", "outcome " .. found.outcome)
check(found.owner == "passports-capital-a-1", "owner " .. tostring(found.owner))
check(f:runs("calf-1") == 1, "one run")

local missing = f:call(entry, { service = "weather" })
check(missing.status == 404 and missing.outcome == "not-run", "unknown service is refused")
local stranger = f:call(entry, { service = "passports", workspace = "nobody" })
check(stranger.status == 404 and stranger.body:find("nobody", 1, true), "unknown workspace is named")
local absurd = f:call(entry, { service = "passports", deadline_ms = -5 })
check(absurd.status == 400, "absurd deadline is refused")

for _, node in ipairs(f.order) do signal(node.pid, "TERM") end
wait_until("both nodes stop gracefully", 5, function()
  return exit_code(f.order[1].pid) == 0 and exit_code(f.order[2].pid) == 0
end)
