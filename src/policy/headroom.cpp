#include "policy/headroom.hpp"

#include <algorithm>
#include <cmath>

namespace madderdeck::policy {

std::uint32_t fixed_headroom::free_slots(const engine_demand& demand) const { return std::min(slots_, demand.slots); }

std::uint32_t observed_headroom::free_slots(const engine_demand& demand) const {
  const double expected = demand.live_per_second * std::chrono::duration<double>(demand.time_to_yield).count();
  // The arrivals from many independent callers are close to a Poisson process, so the terms of its distribution are
  // summed.
  double probability = std::exp(-expected);
  double covered = probability;
  std::uint32_t free = 0;
  while (covered < 1 - missed_share_ && free < demand.slots) {
    ++free;
    probability *= expected / free;
    covered += probability;
  }
  return free;
}

}  // namespace madderdeck::policy
