#pragma once
/// @file The bench's commands.

#include <string>

#include "bench/fleet.hpp"

namespace madderdeck::bench {

/// Flags that all commands share.
struct CommandOptions {
  std::string binaries;  ///< Folder of the programs.
  std::string scenario;  ///< Scenario file.
  std::string work_folder;
  std::string subnet = "127.77";
  std::uint64_t seed = 1;
  unsigned seconds = 30;
  unsigned engines = 8;  ///< Of a soak.
  bool json = false;
  std::string report;  ///< HTML report file; empty for none.
};

/// Each returns the process exit code; 0 only when nothing was lost, doubled or wrong.
int run_demo(const CommandOptions& options);
int run_faults(const CommandOptions& options);
/// Faults that overlap, signals, changes of configuration, and a request that ends the engines which begin it.
int run_soak(const CommandOptions& options);
int run_overhead(const CommandOptions& options);
/// Runs each scenario file; with more than one, prints ratios against the first.
int run_experiments(const CommandOptions& options, const std::vector<std::string>& paths);

}  // namespace madderdeck::bench
