-- Malformed input closes its connection or gets a clear refusal; the node lives on.
local f = fleet { seed = 32, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true } },
  node = { limits = { max_body_bytes = 4096, max_header_bytes = 2048 } } }
f:start()
local node = f.order[1]
local function raw(target, headers, method, body)
  return http { address = address_of(node.callers), target = target, headers = headers or {}, method = method,
    body = body or "", timeout_ms = 3000 }
end
check(raw("/").status == 400, "a path without team and service")
check(raw("/nobody/passports/x").status == 404, "an unknown team")
check(raw("/teranga/passports/x", { ["chervilturn-workspace"] = "market", ["chervilturn-deadline-ms"] = "soon" }).status == 400,
  "a deadline that is no number")
check(raw("/teranga/passports/x", { ["chervilturn-workspace"] = "market", ["chervilturn-depth"] = "99" }).status == 400,
  "a call that nests without end")
check(raw("/teranga/passports/x", { ["chervilturn-workspace"] = "market", ["idempotency-key"] = string.rep("k", 300) }).status == 400,
  "an endless idempotency key")
local oversized = raw("/teranga/passports/x", { ["chervilturn-workspace"] = "market" }, "POST", string.rep("x", 10000))
check(oversized.status == 413 or oversized.failure, "an oversized body")
local long_header = raw("/teranga/passports/x", { filler = string.rep("x", 5000) })
check(long_header.status ~= 200, "an oversized header")

-- HTTP on the port for peers is no frame of the protocol.
local hostile = http { address = address_of(node.peers), target = "/", timeout_ms = 3000 }
check(hostile.failure ~= nil, "the connection is closed")
wait_until("it is counted", 3, function() return f:metric(node, "malformed_frames_total") >= 1 end)
check(f:call(node, { service = "passports" }).outcome == "completed", "the node lives on")

-- Settings with a fault are refused with one clear line and an exit code of their own.
local file = write_file("bad.json", '{"host": "h", "data_centre": "d", "callers": "127.0.0.1:1", "peers": "127.0.0.1:2",'
  .. '"operators": "127.0.0.1:2", "backend_server": "127.0.0.1:4"}')
local pid = spawn("bad.log", { "chervilturn-node", "--config", file, "--check" })
wait_until("the check ends", 5, function() return exit_code(pid) ~= -1000 end)
check(exit_code(pid) == 2, "exit code of a settings error")
