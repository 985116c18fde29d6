#include "policy/call_order.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace madderdeck;
using namespace madderdeck::policy;

namespace {

waiting_call_state any_outlook() {
  return {{*rc::gen::inRange<std::uint32_t>(0, 3), *rc::gen::inRange<std::uint32_t>(0, 3)},
          std::chrono::milliseconds(*rc::gen::inRange(-3, 4)),
          std::chrono::milliseconds(*rc::gen::inRange(0, 4))};
}

}  // namespace

TEST_CASE("orders of waiting calls are strict weak orderings") {
  rc::prop("any three calls", [] {
    const waiting_call_state a = any_outlook();
    const waiting_call_state b = any_outlook();
    const waiting_call_state c = any_outlook();
    const arrival_call_order arrival;
    const attainable_call_order attainable;
    for (const call_order* order :
         {static_cast<const call_order*>(&arrival), static_cast<const call_order*>(&attainable)}) {
      RC_ASSERT(!order->before(a, a));
      RC_ASSERT(!(order->before(a, b) && order->before(b, a)));
      RC_ASSERT(!(order->before(a, b) && order->before(b, c)) || order->before(a, c));
      const auto equal = [order](const waiting_call_state& x, const waiting_call_state& y) {
        return !order->before(x, y) && !order->before(y, x);
      };
      RC_ASSERT(!(equal(a, b) && equal(b, c)) || equal(a, c));
    }
  });
}

TEST_CASE("what can be in time goes before what cannot, then by tenant, route and time") {
  const attainable_call_order order;
  const waiting_call_state soon{{1, 1}, 10ms, 0ms};
  CHECK(order.before(soon, {{0, 0}, -1ms, 5s}));
  CHECK(order.before({{0, 9}, 200ms, 0ms}, soon));
  CHECK(order.before({{1, 0}, 200ms, 0ms}, soon));
  CHECK(order.before(soon, {{1, 1}, 20ms, 1s}));
  CHECK(order.before({{1, 1}, -1ms, 5s}, {{1, 1}, -9ms, 4s}));
}
