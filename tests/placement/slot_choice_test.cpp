#include "placement/slot_choice.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::placement;

namespace {

const call_view kShort{0ms, 700ms, 20ms, 15ms};
const call_view kLong{150ms, 700ms, 20ms, 15ms};

engine_view engine(double live, double batch, double slots = 6) { return {live, batch, slots}; }

}  // namespace

TEST_CASE("a free slot is preferred to one that batch work must yield, and a full engine is not chosen") {
  CHECK(choose_slot({engine(3, 3), engine(5, 0), engine(6, 0)}, kShort) == 1U);
  CHECK(choose_slot({engine(6, 0), engine(3, 3)}, kShort) == 1U);
  CHECK_FALSE(choose_slot({engine(6, 0), engine(7, 0)}, kShort));
  CHECK_FALSE(choose_slot({}, kShort));
}

TEST_CASE(
    "of two engines with free slots, the one with less load is chosen, and not one that is slow or busy with prefill") {
  CHECK(choose_slot({engine(4, 0), engine(2, 0)}, kShort) == 1U);
  engine_view slow = engine(0, 0);
  slow.slowness = 4;
  CHECK(choose_slot({slow, engine(5, 0)}, kShort) == 1U);
  engine_view reading = engine(0, 0);
  reading.prefill_left = 100ms;
  CHECK(choose_slot({reading, engine(4, 1)}, kShort) == 1U);
}

TEST_CASE("a cached prefix is worth the time that its prefill takes") {
  engine_view keeps = engine(4, 2);
  keeps.prefix_cached = true;
  CHECK(choose_slot({engine(0, 0), keeps}, kLong) == 1U);
  CHECK(choose_slot({engine(0, 0), keeps}, kShort) == 0U);
  keeps.live = 6;
  keeps.batch = 0;
  CHECK(choose_slot({engine(0, 0), keeps}, kLong) == 1U);  // the next call ends in 117 ms
  keeps.live = 7;
  CHECK(choose_slot({engine(0, 0), keeps}, kLong) == 0U);
  keeps.live = 1;
  keeps.prefill_left = 200ms;
  CHECK(choose_slot({engine(0, 0), keeps}, kLong) == 0U);
}

TEST_CASE("ties between engines are broken by rank, so that all coordinators agree") {
  engine_view first = engine(0, 0);
  engine_view second = engine(0, 0);
  second.rank = 7;
  CHECK(choose_slot({first, second}, kLong) == 1U);
  first.rank = 9;
  CHECK(choose_slot({first, second}, kLong) == 0U);
}
