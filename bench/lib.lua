-- Functions for measurements: running the load program, reading the resource usage of processes, printing figures.

-- Starts the load program against target addresses. Options: rate (calls a second), seconds, seed, calls (values of
-- the flag --call). Returns a handle for wait_for_load().
function start_load(targets, options)
  local command = { "chervilturn-load", "--targets", table.concat(targets, ","), "--rate", tostring(options.rate),
    "--seconds", tostring(options.seconds), "--seed", tostring(options.seed) }
  for _, call in ipairs(options.calls) do
    command[#command + 1] = "--call"
    command[#command + 1] = call
  end
  load_run_count = (load_run_count or 0) + 1
  local log = "load-" .. load_run_count .. ".json"
  return { pid = spawn(log, command), log = log }
end

-- Waits until a load program ends; returns its report.
function wait_for_load(run)
  wait_until("the load program ends", 300, function() return exit_code(run.pid) ~= -1000 end)
  local file = io.open(output_folder() .. "/" .. run.log)
  local text = file:read("a")
  file:close()
  local result = parse_json(text)
  if not result then error("load program: " .. text) end
  return result
end

-- Processor time in seconds and resident memory in MB of a process, from /proc (100 clock ticks a second).
function process_usage(pid)
  local stat = io.open("/proc/" .. pid .. "/stat"):read("a")
  local fields = {}
  for word in stat:match("%) (.*)"):gmatch("%S+") do fields[#fields + 1] = word end
  local resident = io.open("/proc/" .. pid .. "/status"):read("a"):match("VmRSS:%s+(%d+)")
  return (tonumber(fields[12]) + tonumber(fields[13])) / 100, tonumber(resident) / 1024
end

-- Prints a formatted line at once.
function printf(format, ...) io.write(string.format(format, ...), "\n") io.flush() end

-- The addresses at which the nodes of a fleet accept calls.
function caller_addresses(f)
  local list = {}
  for _, node in ipairs(f.node_list) do list[#list + 1] = address_of(node.caller_port) end
  return list
end

-- Ends all processes of a fleet, before the next one is measured.
function end_fleet(f)
  for _, node in ipairs(f.node_list) do
    signal(node.pid, "KILL")
    signal(node.backend_pid, "KILL")
  end
  signal(f.platform.pid, "KILL")
end
