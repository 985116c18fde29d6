#include "policy/headroom.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>

using namespace madderdeck;
using namespace madderdeck::policy;

namespace {

constexpr double kMaxMissedShare = 0.05;

/// @return the probability that more than @p free calls arrive within the time to yield.
double missed(const engine_demand& demand, std::uint32_t free) {
  const double expected = demand.live_per_second * std::chrono::duration<double>(demand.time_to_yield).count();
  double term = std::exp(-expected);
  double covered = term;
  for (std::uint32_t arrivals = 1; arrivals <= free; ++arrivals) {
    term *= expected / arrivals;
    covered += term;
  }
  return 1 - covered;
}

}  // namespace

TEST_CASE("an engine without live calls needs no headroom, a busy one with slow yielding some") {
  const observed_headroom policy(kMaxMissedShare);
  CHECK(policy.free_slots({0, 20ms, 8}) == 0);
  CHECK(policy.free_slots({1, 20ms, 8}) == 0);
  CHECK(policy.free_slots({10, 20ms, 8}) == 1);
  CHECK(policy.free_slots({10, 200ms, 8}) == 5);
}

TEST_CASE("fixed headroom never exceeds the engine's slots") {
  CHECK(fixed_headroom(4).free_slots({10, 20ms, 8}) == 4);
  CHECK(fixed_headroom(4).free_slots({10, 20ms, 2}) == 2);
}

TEST_CASE("headroom is the least that covers the arrivals within the time to yield") {
  rc::prop("covers all but the missed share, and one slot less would not", [] {
    const engine_demand demand{static_cast<double>(*rc::gen::inRange(0, 400)) / 10,
                               std::chrono::milliseconds(*rc::gen::inRange(1, 500)),
                               static_cast<std::uint32_t>(*rc::gen::inRange(1, 32))};
    const std::uint32_t free = observed_headroom(kMaxMissedShare).free_slots(demand);
    RC_ASSERT(free <= demand.slots);
    if (free < demand.slots) {
      RC_ASSERT(missed(demand, free) <= kMaxMissedShare + 1e-9);
    }
    if (free > 0) {
      RC_ASSERT(missed(demand, free - 1) > kMaxMissedShare - 1e-9);
    }
  });
}
