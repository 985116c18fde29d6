#include "placement/failing_engines.hpp"

#include <algorithm>

namespace madderdeck::placement {
namespace {

/// Single failures occur now and then. Two failures within this time are a small fraction of the calls of a healthy
/// engine.
constexpr Duration kTogether = 1s;
constexpr std::size_t kLeastFailures = 2;
/// Without this condition, one or two of a pool's three healthy engines were ejected after two failures, and 341 of
/// 3,253 calls waited for up to 1.5 s; with it, none was late.
constexpr double kLeastPart = 0.25;
/// The same time for which a gateway avoids an engine that fails the gateway's own calls (see Registry).
constexpr Duration kAside = 2s;
constexpr unsigned kMostDoublings = 2;
/// A failure within this time after an engine's return has the same cause.
constexpr Duration kSameTrouble = 3s;
constexpr Duration kRemembered = 20s;
constexpr double kForgottenRate = 0.01;  ///< Calls per second.

}  // namespace

void failing_engines::count_call(const BackendId& engine, Timestamp now) { calls_[engine].count(now, 1); }

void failing_engines::record(const BackendId& engine, call_trouble trouble, Timestamp now) {
  history& known = engines_[engine];
  const bool again = known.aside_until.count() != 0 && now < known.aside_until + kSameTrouble;
  std::erase_if(known.failures, [now](Timestamp at) { return now - at >= kTogether; });
  known.failures.push_back(now);
  const auto calls = calls_.find(engine);
  const double calls_a_second = calls == calls_.end() ? 0 : calls->second.per_second(now);
  const auto failures = static_cast<double>(known.failures.size());
  const bool together = known.failures.size() >= kLeastFailures && failures >= kLeastPart * calls_a_second;
  known.failed_at = now;
  if (now < known.aside_until) {
    return;  // this call was sent before the ejection
  }
  const bool same_again = again && failures >= kLeastPart * calls_a_second;
  if (trouble != call_trouble::unreachable && !together && !same_again) {
    return;
  }
  known.doublings = again ? std::min(known.doublings + 1, kMostDoublings) : 0;
  known.aside_until = now + kAside * (1U << known.doublings);
}

bool failing_engines::aside(const BackendId& engine, Timestamp now) const {
  const auto known = engines_.find(engine);
  return known != engines_.end() && now < known->second.aside_until;
}

void failing_engines::forget_old(Timestamp now) {
  std::erase_if(calls_, [now](const auto& entry) { return entry.second.per_second(now) < kForgottenRate; });
  std::erase_if(engines_, [now](const auto& entry) { return now - entry.second.failed_at > kRemembered; });
}

}  // namespace madderdeck::placement
