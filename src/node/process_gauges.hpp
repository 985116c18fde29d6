#pragma once
/// @file Measures at intervals what this process uses of its limits.

#include "common/environment.hpp"
#include "common/memory_budget.hpp"
#include "config/settings.hpp"
#include "node/process_usage.hpp"
#include "node/usage_watch.hpp"

namespace madderdeck::node {

/// Reads the use of memory, descriptors, threads and disk about every second, and hands it to a usage_watch beside the
/// smaller one of the settings' limit and the system's. What the system does not tell stays unknown, except memory:
/// that is what the allocator holds then, and the gauge process_memory_estimated is 1. Single threaded.
class process_gauges {
 public:
  static constexpr Duration kInterval = 1s;
  static constexpr unsigned kIntervalsPerDiskLook = 10;  ///< A look at the disk costs a system call per file.

  /// All parameters outlive this object, and @p environment runs no task after its end.
  process_gauges(Environment& environment, Counters& counters, DecisionLog& log, const config::Settings& settings,
                 std::string proc_folder = "/proc/self");

  /// @return the budget for what others make this process hold, from the memory that the settings state. Its gauges are
  ///         set with the others.
  const std::shared_ptr<memory_budget>& budget() const { return budget_; }

  /// Measures now and then at intervals.
  void start();

 private:
  void measure();

  Environment& environment_;
  Counters& counters_;
  usage_watch watch_;
  const std::shared_ptr<memory_budget> budget_;
  const std::string proc_folder_;
  const std::string data_folder_;
  const std::optional<std::int64_t> stated_memory_bytes_;
  const std::optional<std::int64_t> stated_descriptors_;
  const std::optional<std::int64_t> stated_disk_bytes_;
  unsigned measured_ = 0;
};

}  // namespace madderdeck::node
