-- A node rejects malformed input with an error response or closes the connection, and goes on serving calls.
local f = fleet { seed = 32, data_centres = { ["capital-a"] = "capital" },
  services = { passports = { ["capital-a"] = 1 } },
  routes = { lookup = { service = "passports", idempotent = true } },
  node_settings = { limits = { max_body_bytes = 4096, max_header_bytes = 2048 } } }
f:start()
local node = f.node_list[1]
local function send_raw(target, headers, method, body)
  return http { address = address_of(node.caller_port), target = target, headers = headers or {}, method = method,
    body = body or "", timeout_ms = 3000 }
end
check(send_raw("/").status == 400, "a path without team and service is rejected")
check(send_raw("/nobody/passports/x").status == 404, "an unknown team is rejected")
check(send_raw("/teranga/passports/x",
  { ["chervilturn-workspace"] = "market", ["chervilturn-deadline-ms"] = "soon" }).status == 400,
  "a deadline that is not a number is rejected")
check(send_raw("/teranga/passports/x",
  { ["chervilturn-workspace"] = "market", ["chervilturn-depth"] = "99" }).status == 400,
  "a call beyond the maximum depth is rejected")
check(send_raw("/teranga/passports/x",
  { ["chervilturn-workspace"] = "market", ["idempotency-key"] = string.rep("k", 300) }).status == 400,
  "an idempotency key that is too long is rejected")
local oversized_body = send_raw("/teranga/passports/x", { ["chervilturn-workspace"] = "market" }, "POST",
  string.rep("x", 10000))
check(oversized_body.status == 413 or oversized_body.failure, "an oversized body is rejected")
local oversized_header = send_raw("/teranga/passports/x", { filler = string.rep("x", 5000) })
check(oversized_header.status ~= 200, "an oversized header is rejected")

-- An HTTP request on the port for peers is a malformed frame of the peer protocol.
local http_on_peer_port = http { address = address_of(node.peer_port), target = "/", timeout_ms = 3000 }
check(http_on_peer_port.failure ~= nil, "the connection of a malformed frame is closed")
wait_until("the malformed frame is counted", 3, function() return f:metric(node, "malformed_frames_total") >= 1 end)
check(f:call(node, { service = "passports" }).outcome == "completed", "the node still serves calls")

-- --check refuses an invalid settings file (peers and operators have the same address) with exit code 2.
local settings_file = write_file("bad.json",
  '{"host": "h", "data_centre": "d", "callers": "127.0.0.1:1", "peers": "127.0.0.1:2",'
  .. '"operators": "127.0.0.1:2", "backend_server": "127.0.0.1:4"}')
local check_pid = spawn("bad.log", { "chervilturn-node", "--config", settings_file, "--check" })
wait_until("the check of the settings file ends", 5, function() return exit_code(check_pid) ~= -1000 end)
check(exit_code(check_pid) == 2, "the exit code is that of a settings error")
