#include "placement/failing_engines.hpp"

#include <algorithm>

namespace madderdeck::placement {
namespace {

/// Single failures occur now and then. Two failures within this time are a small fraction of the calls of a healthy
/// engine.
constexpr Duration kFailureWindow = 1s;
constexpr std::size_t kMinFailures = 2;
/// Without this condition, one or two of a pool's three healthy engines were ejected after two failures, and 341 of
/// 3,253 calls waited for up to 1.5 s; with it, none was late.
constexpr double kMinFailureShare = 0.25;
/// The same time for which a gateway avoids an engine that fails the gateway's own calls (see Registry).
constexpr Duration kEjectionTime = 2s;
constexpr unsigned kMaxDoublings = 2;
/// A failure within this time after an engine's return has the same cause.
constexpr Duration kRepeatWindow = 3s;
constexpr Duration kHistoryLifetime = 20s;
constexpr double kIdleCallRate = 0.01;  ///< Calls per second.

}  // namespace

void failing_engines::count_call(const BackendId& engine, Timestamp now) { calls_[engine].count(now, 1); }

void failing_engines::record(const BackendId& engine, call_failure_kind trouble, Timestamp now) {
  failure_history& known = engines_[engine];
  const bool repeated = known.ejected_until.count() != 0 && now < known.ejected_until + kRepeatWindow;
  std::erase_if(known.failures, [now](Timestamp at) { return now - at >= kFailureWindow; });
  known.failures.push_back(now);
  const auto calls = calls_.find(engine);
  const double calls_a_second = calls == calls_.end() ? 0 : calls->second.per_second(now);
  const auto failures = static_cast<double>(known.failures.size());
  const bool enough_failures = known.failures.size() >= kMinFailures && failures >= kMinFailureShare * calls_a_second;
  known.failed_at = now;
  if (now < known.ejected_until) {
    return;  // this call was sent before the ejection
  }
  const bool repeated_failure = repeated && failures >= kMinFailureShare * calls_a_second;
  if (trouble != call_failure_kind::unreachable && !enough_failures && !repeated_failure) {
    return;
  }
  known.doublings = repeated ? std::min(known.doublings + 1, kMaxDoublings) : 0;
  known.ejected_until = now + kEjectionTime * (1U << known.doublings);
}

bool failing_engines::is_ejected(const BackendId& engine, Timestamp now) const {
  const auto known = engines_.find(engine);
  return known != engines_.end() && now < known->second.ejected_until;
}

void failing_engines::remove_expired(Timestamp now) {
  std::erase_if(calls_, [now](const auto& entry) { return entry.second.per_second(now) < kIdleCallRate; });
  std::erase_if(engines_, [now](const auto& entry) { return now - entry.second.failed_at > kHistoryLifetime; });
}

}  // namespace madderdeck::placement
