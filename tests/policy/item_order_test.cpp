#include "policy/item_order.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

#include "policy/policies.hpp"

using namespace madderdeck;
using namespace madderdeck::policy;

namespace {

std::vector<unfinished_item_state> any_items() {
  std::vector<unfinished_item_state> items;
  const auto count = *rc::gen::inRange(1, 40);
  for (int number = 0; number < count; ++number) {
    items.push_back({std::chrono::milliseconds(*rc::gen::inRange(-20'000, 20'000)),
                     std::chrono::milliseconds(*rc::gen::inRange(0, 8'000))});
  }
  return items;
}

}  // namespace

TEST_CASE("an item that can be in time goes before one that can't, whatever its deadline") {
  // With items ordered by deadline alone, 227 of 389 items were slightly late.
  const attainable_order order;
  const unfinished_item_state late{2s, 5s};
  const unfinished_item_state in_time{9s, 5s};
  CHECK(order.before(in_time, late));
  CHECK_FALSE(order.before(late, in_time));
  CHECK(deadline_order().before(late, in_time));
}

TEST_CASE("an item without a deadline is never late and goes after those that have one") {
  const attainable_order order;
  const unfinished_item_state no_deadline{Duration::max(), 5s};
  CHECK(order.before({9s, 5s}, no_deadline));
  CHECK(order.before(no_deadline, {2s, 5s}));
}

TEST_CASE("items that can be in time come first, by deadline, and the late ones after them, by deadline") {
  rc::prop("sorted in two runs", [] {
    std::vector<unfinished_item_state> items = any_items();
    const attainable_order order;
    std::stable_sort(items.begin(), items.end(),
                     [&](const auto& left, const auto& right) { return order.before(left, right); });
    const auto late = [](const unfinished_item_state& item) { return item.slack() < Duration::zero(); };
    RC_ASSERT(std::is_partitioned(items.begin(), items.end(), [&](const auto& item) { return !late(item); }));
    const auto middle = std::find_if(items.begin(), items.end(), late);
    const auto by_deadline = [](const auto& left, const auto& right) { return left.time_left < right.time_left; };
    RC_ASSERT(std::is_sorted(items.begin(), middle, by_deadline));
    RC_ASSERT(std::is_sorted(middle, items.end(), by_deadline));
  });
}

TEST_CASE("a policy that is not known is refused with what is allowed") {
  const auto unknown = policy_set_builder().item_order("fastest").build();
  REQUIRE_FALSE(succeeded(unknown));
  CHECK(error_of(unknown).kind == ErrorKind::invalid_argument);
  CHECK(error_of(unknown).detail.find("arrival, deadline or attainable") != std::string::npos);
  CHECK_FALSE(succeeded(policy_set_builder().headroom("none").build()));
  CHECK_FALSE(succeeded(policy_set_builder().engine_choice("best").build()));
  CHECK(succeeded(policy_set_builder().headroom("observed").item_order("attainable").engine_choice("shared").build()));
}
