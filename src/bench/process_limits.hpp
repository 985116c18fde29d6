#pragma once
/// @file The kernel's limits that a child process of the bench begins with.

#include <sys/resource.h>

#include <cerrno>
#include <cstdint>

namespace madderdeck::bench {

/// Limits of one process; 0: as the bench's own.
struct ProcessLimits {
  std::uint64_t address_space_mib = 0;
  std::uint64_t data_mib = 0;
  std::uint64_t descriptors = 0;
};

/// Sets the limits of the calling process for good. Safe between fork and exec.
/// @return 0, or errno of the one that the kernel refuses.
inline int apply_limits(const ProcessLimits& limits) {
  constexpr std::uint64_t kBytesPerMib = 1024 * 1024;
  const auto set = [](auto resource, std::uint64_t most) {
    const rlimit limit{most, most};
    return most == 0 || ::setrlimit(resource, &limit) == 0;
  };
  const bool done = set(RLIMIT_AS, limits.address_space_mib * kBytesPerMib) &&
                    set(RLIMIT_DATA, limits.data_mib * kBytesPerMib) && set(RLIMIT_NOFILE, limits.descriptors);
  return done ? 0 : errno;
}

}  // namespace madderdeck::bench
