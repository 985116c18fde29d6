/// @file madderdeck-bench: load, fault and scale experiments on real processes.

#include <gflags/gflags.h>
#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <iostream>

#include "bench/commands.hpp"
#include "bench/hollow.hpp"

DEFINE_string(scenario, "", "Scenario file (JSON).");
DEFINE_string(work_folder, "", "Folder for settings, data and logs; a new one under the temporary folder by default.");
DEFINE_string(subnet, "127.77", "First two numbers of the fleet's loopback addresses.");
DEFINE_uint64(seed, 1, "Seed of arrivals and faults.");
DEFINE_int32(seconds, 30, "Length of the run.");
DEFINE_bool(json, false, "Print only the JSON result.");
DEFINE_int32(nodes, 24, "scale: nodes in all; hollow: nodes of this process.");
DEFINE_int32(engines, 48, "scale: engines in all.");
DEFINE_int32(group, 0, "hollow: number of this process.");
DEFINE_string(control_address, "", "hollow: where the scale run talks to this process.");
DEFINE_string(platform, "", "hollow: address of the platform.");
DEFINE_string(report, "", "HTML report to write.");

int main(int argument_count, char** arguments) {
  using namespace madderdeck;
  gflags::SetUsageMessage("madderdeck-bench demo|faults|run|compare|overhead|scale [flags] [scenarios]");
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
  options.json = FLAGS_json;
  options.report = FLAGS_report;
  const std::string command = argument_count > 1 ? arguments[1] : "";
  if (command == "overhead") {
    return bench::run_overhead(options);
  }
  if (command == "run" || command == "compare") {
    return bench::run_experiments(options, {arguments + 2, arguments + argument_count});
  }
  if (command == "scale") {
    return bench::run_scale(options, static_cast<unsigned>(FLAGS_nodes), static_cast<unsigned>(FLAGS_engines));
  }
  if (command == "hollow") {
    const Status status =
        bench::run_hollow({FLAGS_subnet, static_cast<unsigned>(FLAGS_group), static_cast<unsigned>(FLAGS_nodes),
                           FLAGS_control_address, FLAGS_platform});
    std::cerr << (succeeded(status) ? "" : error_of(status).detail) << std::endl;
    return succeeded(status) ? 0 : exit_code_for(error_of(status).kind);
  }
  if (command == "faults") {
    return bench::run_faults(options);
  }
  if (command == "demo") {
    return bench::run_demo(options);
  }
  std::cerr << "madderdeck-bench: invalid_argument: found '" << command
            << "', allowed is demo, faults, run, compare, overhead or scale" << std::endl;
  return exit_code_for(ErrorKind::invalid_argument);
}
