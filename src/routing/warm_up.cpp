#include "routing/warm_up.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace madderdeck::routing {
namespace {

/// One second plus 100 ms: two requests may arrive at the back end closer together than they were allowed.
constexpr Duration kPaceWindow = 1100ms;
constexpr double kMinRequestsPerWindow = 1;  ///< With a lower limit the back end would never get a request.

}  // namespace

bool warm_up_pace::allows(const BackendId& back_end, double per_second, Timestamp now) const {
  const auto known = recent_.find(back_end);
  if (known == recent_.end()) {
    return true;
  }
  const auto in_window =
      std::count_if(known->second.begin(), known->second.end(), [now](Timestamp at) { return now - at < kPaceWindow; });
  return static_cast<double>(in_window) + 1 <= std::max(kMinRequestsPerWindow, std::floor(per_second));
}

void warm_up_pace::count(const BackendId& back_end, Timestamp now) { recent_[back_end].push_back(now); }

void warm_up_pace::forget_old(Timestamp now) {
  for (auto entry = recent_.begin(); entry != recent_.end();) {
    std::deque<Timestamp>& times = entry->second;
    while (!times.empty() && now - times.front() >= kPaceWindow) {
      times.pop_front();
    }
    entry = times.empty() ? recent_.erase(entry) : std::next(entry);
  }
}

}  // namespace madderdeck::routing
