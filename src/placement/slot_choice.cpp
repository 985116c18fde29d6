#include "placement/slot_choice.hpp"

#include <algorithm>

namespace madderdeck::placement {
namespace {

/// Each additional call delays every token of an engine a little.
constexpr double kCrowdingFactor = 0.1;
/// At most one call queues at an engine, since the time at which its next call ends is uncertain.
constexpr double kMaxQueuedCalls = 1;

Duration scaled(Duration time, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

Duration expected_wait(const engine_view& engine, const call_view& call) {
  const double load = (engine.live + engine.batch) / engine.slots;
  Duration wait = scaled(call.first_token, engine.slowness - 1 + kCrowdingFactor * load);
  if (!engine.has_slot_for_live_call()) {
    // Calls are assumed to end at an even rate: the next one ends after the mean holding time divided by the slots.
    wait += scaled(call.holding, (engine.live - engine.slots + 1) / engine.slots);
  } else if (!engine.has_free_slot()) {
    wait += call.time_to_yield;
  }
  wait += engine.prefill_left;
  return engine.prefix_cached ? wait : wait + call.prefill;
}

std::optional<std::size_t> choose_slot(const std::vector<engine_view>& engines, const call_view& call) {
  std::optional<std::size_t> best;
  Duration least{};
  for (std::size_t position = 0; position < engines.size(); ++position) {
    const engine_view& engine = engines[position];
    const bool may_queue =
        engine.prefix_cached && call.prefill.count() > 0 && engine.live < engine.slots + kMaxQueuedCalls;
    if (!engine.has_slot_for_live_call() && !may_queue) {
      continue;
    }
    const Duration wait = expected_wait(engine, call);
    if (!best || wait < least || (wait == least && engine.rank > engines[*best].rank)) {
      best = position;
      least = wait;
    }
  }
  return best;
}

}  // namespace madderdeck::placement
