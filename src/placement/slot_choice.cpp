#include "placement/slot_choice.hpp"

#include <algorithm>

namespace madderdeck::placement {
namespace {

/// Each call more makes every token of an engine a little later.
constexpr double kCrowdingPart = 0.1;
/// A queue at one engine is a bet on its next end: no more than one call takes it.
constexpr double kMostQueued = 1;

Duration scaled(Duration time, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

Duration expected_wait(const engine_view& engine, const call_view& call) {
  const double taken = (engine.live + engine.batch) / engine.slots;
  Duration wait = scaled(call.first_token, engine.slowness - 1 + kCrowdingPart * taken);
  if (!engine.has_slot()) {
    // Ends come evenly: the next one after the time of a call through the slots.
    wait += scaled(call.holding, (engine.live - engine.slots + 1) / engine.slots);
  } else if (!engine.has_free_slot()) {
    wait += call.time_to_yield;
  }
  wait += engine.reading_left;
  return engine.keeps_start ? wait : wait + call.reading;
}

std::optional<std::size_t> choose_slot(const std::vector<engine_view>& engines, const call_view& call) {
  std::optional<std::size_t> best;
  Duration least{};
  for (std::size_t position = 0; position < engines.size(); ++position) {
    const engine_view& engine = engines[position];
    const bool queues = engine.keeps_start && call.reading.count() > 0 && engine.live < engine.slots + kMostQueued;
    if (!engine.has_slot() && !queues) {
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
