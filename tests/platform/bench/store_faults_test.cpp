#include "store_faults.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck::users_platform::bench;

TEST_CASE("a fault of the store's stand-in strikes at its address, a general one at all") {
  store_faults faults;
  CHECK(faults.treat("a") == call_treatment::served);
  faults.set("a", "busy");
  CHECK(faults.treat("a") == call_treatment::unavailable);
  CHECK(faults.treat("b") == call_treatment::served);
  CHECK(faults.strikes("a"));
  CHECK_FALSE(faults.strikes("b"));
  CHECK_FALSE(faults.is_general());
  faults.set("", "silent");
  CHECK(faults.is_general());
  CHECK(faults.treat("a") == call_treatment::held);
  CHECK(faults.treat("b") == call_treatment::held);
  faults.set("", "");
  CHECK(faults.treat("a") == call_treatment::unavailable);
  faults.set("b", "many");
  faults.set("a", "");
  CHECK(faults.treat("a") == call_treatment::served);
  CHECK(faults.treat("b") == call_treatment::too_many);
  faults.set("b", "reset");
  CHECK(faults.treat("b") == call_treatment::reset);
  faults.clear();
  CHECK(faults.treat("b") == call_treatment::served);
}

TEST_CASE("a throttled address of the store's stand-in and one whose connections are dropped are served at times") {
  store_faults faults;
  faults.set("a", "throttled");
  faults.set("b", "dropping");
  std::uint64_t served_at_a = 0;
  std::uint64_t served_at_b = 0;
  constexpr std::uint64_t kCalls = 10 * kThrottledShare * kDroppedShare;
  for (std::uint64_t number = 0; number < kCalls; ++number) {
    const call_treatment at_a = faults.treat("a");
    const call_treatment at_b = faults.treat("b");
    served_at_a += at_a == call_treatment::served ? 1 : 0;
    served_at_b += at_b == call_treatment::served ? 1 : 0;
    CHECK((at_a == call_treatment::served || at_a == call_treatment::too_many));
    CHECK((at_b == call_treatment::served || at_b == call_treatment::dropped));
  }
  CHECK(served_at_a == kCalls / kThrottledShare);
  CHECK(served_at_b == kCalls / kDroppedShare);
}
