#pragma once
/// @file Reads what this process uses of its resources, and the system's limits on them.

#include <cstdint>
#include <optional>
#include <string>

namespace madderdeck::node {

/// What the process uses, in bytes or in number. A value that cannot be read is empty.
struct process_usage {
  std::optional<std::int64_t> resident_bytes;
  std::optional<std::int64_t> address_space_bytes;
  std::optional<std::int64_t> threads;

  auto operator<=>(const process_usage&) const = default;
};

/// The system's limits on this process (getrlimit), in bytes or in number; empty: none.
struct system_limits {
  std::optional<std::int64_t> address_space_bytes;
  std::optional<std::int64_t> data_bytes;
  std::optional<std::int64_t> descriptors;
  std::optional<std::int64_t> threads;  ///< Of all processes of the same user.
};

/// Reads @p proc_folder/status, or @p proc_folder/statm for what that lacks. Never throws; values that cannot be true
/// (none resident, more resident than mapped) count as not readable.
process_usage read_process_usage(const std::string& proc_folder = "/proc/self");

/// @return the open descriptors of this process by @p proc_folder/fd; empty if it cannot be read.
std::optional<std::int64_t> count_descriptors(const std::string& proc_folder = "/proc/self");

/// @return the memory that the allocator holds, in bytes: less than the resident memory by stacks, code and what other
///         allocators hold.
std::int64_t allocator_bytes();

/// @return the sizes of all files under @p folder, in bytes; empty if it cannot be read. Files that vanish meanwhile do
///         not count.
std::optional<std::int64_t> folder_bytes(const std::string& folder);

system_limits read_system_limits();

}  // namespace madderdeck::node
