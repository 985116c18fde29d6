#include "node/start_wait.hpp"

#include <cerrno>

#include "common/log.hpp"
#include "node/held_signals.hpp"
#include "process/last_line.hpp"

namespace madderdeck::node {
namespace {

constexpr std::size_t kMaxCauseBytes = 300;  ///< Bytes of an error in a log line.

/// Blocks for @p pause.
/// @return whether a signal of a planned end arrived; it is no longer pending then.
bool end_requested_within(std::chrono::milliseconds pause) {
  constexpr std::int64_t kMillisecondsPerSecond = 1'000;
  constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
  const sigset_t signals = end_signals();
  timespec duration{};
  duration.tv_sec = static_cast<decltype(duration.tv_sec)>(pause.count() / kMillisecondsPerSecond);
  duration.tv_nsec =
      static_cast<decltype(duration.tv_nsec)>(pause.count() % kMillisecondsPerSecond * kNanosecondsPerMillisecond);
  return ::sigtimedwait(&signals, nullptr, &duration) > 0;
}

}  // namespace

bool start_may_succeed_later(const Error& error) { return error.kind != ErrorKind::corrupted; }

start_wait::outcome start_wait::wait_after(const Error& error) {
  if (retries_ == 0) {
    began_ = clock::now();
  }
  if (!start_may_succeed_later(error) || waited() >= limit_) {
    return outcome::given_up;
  }
  log_cause(error);
  ++retries_;
  return end_requested_within(kPause) ? outcome::told_to_end : outcome::retry;
}

void start_wait::log_cause(const Error& error) {
  const std::string cause = std::string(error_kind_name(error.kind)) + ": " + error.detail;
  if (cause == last_cause_) {
    return;
  }
  last_cause_ = cause;
  if (++causes_ > kMaxCausesLogged) {
    return;
  }
  if (!is_logging()) {
    process::line_writer("warning", "start_waiting").text("error", cause.c_str()).write();
    return;
  }
  log_event(LogLevel::warning, "start_waiting",
            {{"kind", error_kind_name(error.kind)},
             {"error", std::string_view(error.detail).substr(0, kMaxCauseBytes)},
             {"waited_ms", waited().count()},
             {"limit_ms", limit_.count()}});
}

void start_wait::log_end() const {
  if (retries_ > 0) {
    log_event(LogLevel::warning, "start_resumed",
              {{"waited_ms", waited().count()},
               {"retries", retries_},
               {"causes", causes_},
               {"last_cause", std::string_view(last_cause_).substr(0, kMaxCauseBytes)}});
  }
}

start_effort start_wait::effort() const { return {retries_, retries_ == 0 ? std::chrono::milliseconds(0) : waited()}; }

std::chrono::milliseconds start_wait::waited() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - began_);
}

}  // namespace madderdeck::node
