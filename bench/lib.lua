-- Helpers of the measurements: running the load program, reading processes, printing figures.
function run_load(targets, options)
  local words = { "chervilturn-load", "--targets", table.concat(targets, ","), "--rate", tostring(options.rate),
    "--seconds", tostring(options.seconds), "--seed", tostring(options.seed) }
  for _, call in ipairs(options.calls) do
    words[#words + 1] = "--call"
    words[#words + 1] = call
  end
  load_runs = (load_runs or 0) + 1
  local log = "load-" .. load_runs .. ".json"
  return { pid = spawn(log, words), log = log }
end

function load_result(run)
  wait_until("the load program ends", 300, function() return exit_code(run.pid) ~= -1000 end)
  local file = io.open(folder() .. "/" .. run.log)
  local text = file:read("a")
  file:close()
  local result = parse(text)
  if not result then error("load program: " .. text) end
  return result
end

-- Processor time in seconds and resident memory in MB of a process.
function process_use(pid)
  local stat = io.open("/proc/" .. pid .. "/stat"):read("a")
  local fields = {}
  for word in stat:match("%) (.*)"):gmatch("%S+") do fields[#fields + 1] = word end
  local resident = io.open("/proc/" .. pid .. "/status"):read("a"):match("VmRSS:%s+(%d+)")
  return (tonumber(fields[12]) + tonumber(fields[13])) / 100, tonumber(resident) / 1024
end

function show(format, ...) io.write(string.format(format, ...), "\n") io.flush() end

function callers_of(f)
  local list = {}
  for _, node in ipairs(f.order) do list[#list + 1] = address_of(node.callers) end
  return list
end
