#pragma once
/// @file Runs code in a copy of the test's process that has a limit of addresses.

#include <catch2/catch.hpp>

#include <pthread.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>
#include <functional>

namespace madderdeck::tests {

/// Lets this process take at most @p spare_bytes of addresses more than it has; the limit can be lifted.
inline void limit_addresses(std::uint64_t spare_bytes) {
  std::uint64_t pages = 0;
  std::ifstream("/proc/self/statm") >> pages;
  rlimit limit{};
  ::getrlimit(RLIMIT_AS, &limit);
  limit.rlim_cur = pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) + spare_bytes;
  ::setrlimit(RLIMIT_AS, &limit);
}

inline void lift_address_limit() {
  rlimit limit{};
  ::getrlimit(RLIMIT_AS, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_AS, &limit);
}

/// From now on a thread needs a stack larger than any that the C library may have kept.
inline void need_large_stacks() {
  constexpr std::size_t kStackBytes = std::size_t{256} << 20;
  pthread_attr_t attributes;
  ::pthread_attr_init(&attributes);
  ::pthread_attr_setstacksize(&attributes, kStackBytes);
  ::pthread_setattr_default_np(&attributes);
  ::pthread_attr_destroy(&attributes);
}

/// @return the exit code of @p body, run in a copy of this process; minus the number of the signal that ended it.
inline int result_of_copy(const std::function<int()>& body) {
  const pid_t child = ::fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    const rlimit no_core{0, 0};
    ::setrlimit(RLIMIT_CORE, &no_core);
    ::signal(SIGABRT, SIG_DFL);  // instead of the handler of the tests' framework
    [&body]() noexcept { ::_exit(body()); }();
  }
  int status = 0;
  REQUIRE(::waitpid(child, &status, 0) == child);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}  // namespace madderdeck::tests
