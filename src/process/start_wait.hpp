#pragma once
/// @file Waits at the start of a process for threads or memory that the system refuses for the moment.

#include <chrono>
#include <functional>

#include "common/error.hpp"

namespace madderdeck::process {

/// How often and for how long a start tries to get what it needs.
struct start_wait_limits {
  std::chrono::milliseconds pause{100};        ///< Between two attempts.
  std::chrono::milliseconds patience{30'000};  ///< From the first attempt on; then the start fails.
};

/// What a start has waited.
struct start_wait {
  unsigned retries = 0;
  std::chrono::milliseconds waited{};
};

/// Calls @p attempt until it succeeds. Blocks the caller; signals keep their dispositions meanwhile. At the first
/// refusal a line `start_waits` goes to standard error, since there may be no log yet.
/// @param wait receives what was waited
/// @return the error of the last attempt if its kind is not ErrorKind::unavailable, or once the patience is over.
Status await_start(const std::function<Status()>& attempt, start_wait& wait, const start_wait_limits& limits = {});

}  // namespace madderdeck::process
