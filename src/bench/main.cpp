/// @file madderdeck-bench: load, fault and scale experiments on real processes.

#include <gflags/gflags.h>
#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <iostream>

#include "bench/commands.hpp"

DEFINE_string(scenario, "", "Scenario file (JSON).");
DEFINE_string(work_folder, "", "Folder for settings, data and logs; a new one under the temporary folder by default.");
DEFINE_string(subnet, "127.77", "First two numbers of the fleet's loopback addresses.");
DEFINE_uint64(seed, 1, "Seed of arrivals and faults.");
DEFINE_int32(seconds, 30, "Length of the run.");
DEFINE_int32(engines, 8, "soak: engines, each a process of its own.");
DEFINE_bool(json, false, "Print only the JSON result.");
DEFINE_string(report, "", "HTML report to write.");

int main(int argument_count, char** arguments) {
  using namespace madderdeck;
  gflags::SetUsageMessage("madderdeck-bench demo|faults|soak|run|compare|overhead [flags] [scenarios]");
  gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
  ::signal(SIGPIPE, SIG_IGN);
  bench::CommandOptions options;
  options.binaries = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  options.scenario = FLAGS_scenario;
  options.work_folder =
      FLAGS_work_folder.empty()
          ? (std::filesystem::temp_directory_path() / ("madderdeck-" + std::to_string(::getpid()))).string()
          : FLAGS_work_folder;
  options.subnet = FLAGS_subnet;
  options.seed = FLAGS_seed;
  options.seconds = static_cast<unsigned>(FLAGS_seconds);
  options.engines = static_cast<unsigned>(FLAGS_engines);
  options.json = FLAGS_json;
  options.report = FLAGS_report;
  const std::string command = argument_count > 1 ? arguments[1] : "";
  if (command == "overhead") {
    return bench::run_overhead(options);
  }
  if (command == "run" || command == "compare") {
    return bench::run_experiments(options, {arguments + 2, arguments + argument_count});
  }
  if (command == "faults") {
    return bench::run_faults(options);
  }
  if (command == "soak") {
    return bench::run_soak(options);
  }
  if (command == "demo") {
    return bench::run_demo(options);
  }
  std::cerr << "madderdeck-bench: invalid_argument: found '" << command
            << "', allowed is demo, faults, soak, run, compare or overhead" << std::endl;
  return exit_code_for(ErrorKind::invalid_argument);
}
