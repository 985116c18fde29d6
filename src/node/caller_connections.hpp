#pragma once
/// @file How many connections of callers a process may have open.

#include <cstdint>

namespace madderdeck::node {

/// Descriptors that the system's libraries may need for files outside the data folder.
inline constexpr std::int64_t kLibraryDescriptors = 200;
/// Part of the other descriptors that callers may take; the rest is for engines, peers, the store and data files.
inline constexpr std::int64_t kCallersPercent = 80;
/// However few descriptors there are.
inline constexpr std::int64_t kLeastCallers = 16;

/// @param max_connections what the settings allow.
/// @param max_descriptors what the process may have open in all; 0: unknown.
/// @return the number of connections that callers may have open, at least kLeastCallers unless the settings allow less.
std::int64_t caller_connections(std::int64_t max_connections, std::int64_t max_descriptors);

}  // namespace madderdeck::node
