#pragma once
/// @file Compares what a process uses of its resources with its limits. Does no I/O.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "common/counters.hpp"
#include "common/decision_log.hpp"

namespace madderdeck::node {

/// A resource of the process whose use may be limited.
enum class process_resource : std::size_t {
  memory_bytes,  ///< Resident memory, or the allocator's where the system does not tell.
  address_space_bytes,
  descriptors,
  threads,
  data_folder_bytes,
};
inline constexpr std::size_t kProcessResources = 5;

/// @return the name of @p resource in gauges and log lines.
const char* name_of(process_resource resource);

/// Use and limit of a resource, in bytes or in number; each is empty where it is not known or there is none.
struct resource_use {
  std::optional<std::int64_t> used;
  std::optional<std::int64_t> limit;

  auto operator<=>(const resource_use&) const = default;
};

/// @return the smaller of two limits; empty where there is neither.
std::optional<std::int64_t> smaller_limit(std::optional<std::int64_t> one, std::optional<std::int64_t> other);

/// Exports each resource as the gauges process_NAME and process_NAME_limit, and logs where one nears its limit
/// (process_limit_near) and where that has passed (process_limit_eased). A gauge appears with the first value that is
/// known, and shows kUnknown while there is none any more. Single threaded.
class usage_watch {
 public:
  static constexpr std::int64_t kUnknown = -1;
  static constexpr std::int64_t kNearPercent = 75;
  static constexpr std::int64_t kEasedPercent = 70;

  usage_watch(Counters& counters, DecisionLog& log) : counters_(counters), log_(log) {}

  /// Takes the present use of @p resource.
  void note(process_resource resource, const resource_use& use);

 private:
  void show(const std::string& gauge, std::optional<std::int64_t> value);
  void log_change(process_resource resource, const resource_use& use, bool is_near);

  Counters& counters_;
  DecisionLog& log_;
  std::array<bool, kProcessResources> near_{};
};

}  // namespace madderdeck::node
