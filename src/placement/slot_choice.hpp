#pragma once
/// @file Chooses the engine that is expected to give a call its first token soonest.

#include <cstdint>
#include <optional>
#include <vector>

#include "common/environment.hpp"

namespace madderdeck::placement {

/// The state of an engine as its coordinator knows it. Immutable.
struct engine_view {
  double live = 0;   ///< Live calls at the engine.
  double batch = 0;  ///< Batch items at the engine; they yield their slots to live calls.
  double slots = 1;
  double slowness = 1;         ///< Ratio of its time to the first token to the median over the engines; at least 1.
  Duration prefill_left{};     ///< Expected time until it has prefilled the long prompts that were sent to it.
  bool prefix_cached = false;  ///< The prefix of the call's prompt is likely in its cache.
  std::uint64_t rank = 0;      ///< Breaks ties between engines; the greatest rank wins.

  bool has_free_slot() const { return live + batch < slots; }
  /// @return whether a slot is free or used by batch work, which yields it to a live call.
  bool has_slot_for_live_call() const { return live < slots; }
};

/// The times of a call that the choice depends on. Immutable.
struct call_view {
  Duration prefill{};        ///< Prefill time that a cached prefix saves; zero if the prompt has no long prefix.
  Duration holding{};        ///< How long a call holds its slot, on average.
  Duration first_token{};    ///< Median time to the first token.
  Duration time_to_yield{};  ///< Time that batch work takes to yield a slot.
};

/// @return the expected time until @p engine gives @p call its first token, beyond the time that an idle engine takes.
Duration expected_wait(const engine_view& engine, const call_view& call);

/// @return the index of the engine with the least expected wait; nothing if all engines are full. An engine without a
///         slot counts as full unless the prompt's prefix is cached there and its queue is short: then waiting may take
///         less time than prefill elsewhere.
std::optional<std::size_t> choose_slot(const std::vector<engine_view>& engines, const call_view& call);

}  // namespace madderdeck::placement
