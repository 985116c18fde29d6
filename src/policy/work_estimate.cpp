#include "policy/work_estimate.hpp"

#include <algorithm>

namespace madderdeck::policy {
namespace {

constexpr double kSmoothing = 0.1;
constexpr double kMaxStretch = 3;
constexpr std::uint32_t kMinEventsForPace = 4;  ///< A run with fewer events is too short to measure the time per event.

void update_average(double& average, double value) { average += average == 0 ? value : kSmoothing * (value - average); }

}  // namespace

void work_estimate::learn(const std::string& kind, const finished_run& run) {
  average& known = kinds_[kind];
  update_average(known.events, run.events);
  if (run.tokens > 0) {
    update_average(known.events_per_token, static_cast<double>(run.events) / run.tokens);
  }
  if (run.run_events >= kMinEventsForPace) {
    update_average(known.event_us, static_cast<double>(run.took.count()) / run.run_events);
  }
}

void work_estimate::update_wait_ratio(const std::string& kind, Duration took, Duration work) {
  if (work <= Duration::zero()) {
    return;
  }
  const double sample = static_cast<double>(took.count()) / static_cast<double>(work.count());
  update_average(kinds_[kind].stretch, std::clamp(sample, 1.0, kMaxStretch));
}

Duration work_estimate::time_left(const std::string& kind, std::uint32_t tokens, std::uint32_t events) const {
  const auto entry = kinds_.find(kind);
  const double stretch = entry == kinds_.end() ? 1 : entry->second.stretch;
  return Duration(static_cast<std::int64_t>(static_cast<double>(work_left(kind, tokens, events).count()) * stretch));
}

Duration work_estimate::work_left(const std::string& kind, std::uint32_t tokens, std::uint32_t events) const {
  const auto entry = kinds_.find(kind);
  if (entry == kinds_.end()) {
    return Duration::zero();
  }
  const average& known = entry->second;
  const double whole = tokens > 0 && known.events_per_token > 0 ? known.events_per_token * tokens : known.events;
  return Duration(static_cast<std::int64_t>(std::max(0.0, whole - events) * known.event_us));
}

}  // namespace madderdeck::policy
