#pragma once
/// @file Which engine gives a call its first token soonest.

#include <cstdint>
#include <optional>
#include <vector>

#include "common/environment.hpp"

namespace madderdeck::placement {

/// One engine as its coordinator knows it. Immutable.
struct engine_view {
  double live = 0;   ///< Live calls there.
  double batch = 0;  ///< Batch items there; they make room for live calls.
  double slots = 1;
  double slowness = 1;       ///< Its time to the first token against the median's; at least 1.
  Duration reading_left{};   ///< Until it has likely read the long prompts that it was sent.
  bool keeps_start = false;  ///< It has likely read the start of the call's prompt already.
  std::uint64_t rank = 0;    ///< Of engines that are equally good the greatest is taken.

  bool has_free_slot() const { return live + batch < slots; }
  bool has_slot() const { return live < slots; }
};

/// What a call costs and saves. Immutable.
struct call_view {
  Duration reading{};        ///< What a kept start saves; zero where the prompt has no long one.
  Duration holding{};        ///< How long a call keeps its slot, on average.
  Duration first_token{};    ///< Median time to the first token.
  Duration time_to_yield{};  ///< Until batch work has made room.
};

/// @return the expected time until @p engine gives @p call its first token, beyond that at an idle one.
Duration expected_wait(const engine_view& engine, const call_view& call);

/// @return the position of the engine with the least expected wait among those with a slot, or with so short a queue
///         that waiting there is less than reading the prompt's start again elsewhere; nothing where all are full.
std::optional<std::size_t> choose_slot(const std::vector<engine_view>& engines, const call_view& call);

}  // namespace madderdeck::placement
