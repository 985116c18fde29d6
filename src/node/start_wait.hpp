#pragma once
/// @file Pauses between the attempts of a start whose cause of failure may pass by itself.

#include <chrono>
#include <cstdint>
#include <string>

#include "common/error.hpp"

namespace madderdeck::node {

/// What a start took besides its last attempt.
struct start_effort {
  std::int64_t retries = 0;  ///< Number of attempts that failed.
  std::chrono::milliseconds waited{0};
};

/// @return whether a later attempt of a start that failed with @p error may succeed. Settings and addresses may change
///         or become available; a damaged disk stays damaged.
bool start_may_succeed_later(const Error& error);

/// The retries of one start. The caller holds the signals of a planned end blocked, see hold_end_signals().
class start_wait {
 public:
  enum class outcome {
    retry,        ///< The pause is over.
    told_to_end,  ///< A signal requested the end.
    given_up,     ///< The time limit is over, or a retry cannot succeed.
  };

  /// Short enough that a start begins within 250 ms of the end of what it waits for.
  static constexpr std::chrono::milliseconds kPause{100};
  /// Number of different causes of one start that are logged.
  static constexpr std::int64_t kMaxCausesLogged = 8;

  /// @param limit no attempt follows when this time has passed since the first failure.
  explicit start_wait(std::chrono::milliseconds limit) : limit_(limit) {}

  /// Logs each new cause ("start_waiting") and blocks for one pause.
  /// @param error why an attempt failed.
  outcome wait_after(const Error& error);
  /// Logs the end of the wait ("start_resumed"), if there was one.
  void log_end() const;
  start_effort effort() const;

 private:
  using clock = std::chrono::steady_clock;
  void log_cause(const Error& error);
  std::chrono::milliseconds waited() const;

  const std::chrono::milliseconds limit_;
  std::int64_t retries_ = 0;
  std::int64_t causes_ = 0;
  std::string last_cause_;
  clock::time_point began_{};
};

}  // namespace madderdeck::node
