#include "placement/failing_engines.hpp"

#include <algorithm>

namespace madderdeck::placement {
namespace {

/// Single answers get lost now and then; two so close together do not at a sound engine.
constexpr Duration kTogether = 1s;
/// As long as a gateway leaves alone an engine that fails its own calls (Registry).
constexpr Duration kAside = 2s;
constexpr unsigned kMostDoublings = 2;
/// A failure so soon after it came back is the same trouble.
constexpr Duration kSameTrouble = 3s;
constexpr Duration kRemembered = 20s;

}  // namespace

void failing_engines::record(const BackendId& engine, call_trouble trouble, Timestamp now) {
  const auto [entry, first] = engines_.try_emplace(engine);
  history& known = entry->second;
  const bool again = known.aside_until.count() != 0 && now < known.aside_until + kSameTrouble;
  const bool together = !first && now - known.failed_at < kTogether;
  known.failed_at = now;
  if (now < known.aside_until) {
    return;  // calls that were sent before
  }
  if (trouble != call_trouble::unreachable && !together && !again) {
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
  std::erase_if(engines_, [now](const auto& entry) { return now - entry.second.failed_at > kRemembered; });
}

}  // namespace madderdeck::placement
