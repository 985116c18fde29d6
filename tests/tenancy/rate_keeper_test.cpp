#include "tenancy/rate_keeper.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck/catch.h>

using namespace madderdeck;
using namespace madderdeck::tenancy;

namespace {

constexpr Duration kWindow = 5s;

rate_query query(const std::string& node, rate_limit limit, std::uint32_t recent = 0, std::uint32_t wanted = 1,
                 std::uint64_t version = 1) {
  return {node, {"tenant", version, limit}, wanted, recent};
}

bool all_reachable(const std::string& /*node*/) { return true; }

/// Sends one request per millisecond, from 50 nodes in turn.
/// @return how many requests were admitted.
unsigned flood(rate_keeper& keeper, rate_limit limit, Timestamp from, Duration time) {
  unsigned let_in = 0;
  for (Timestamp now = from; now < from + time; now += 1ms) {
    const std::string node = "n" + std::to_string((now / 1ms) % 50);
    let_in += keeper.decide(query(node, limit), all_reachable, 50, now).granted;
  }
  return let_in;
}

}  // namespace

TEST_CASE("no sliding window holds more than the limit and the grants' lifetime allow, whatever is asked") {
  rc::prop("over all nodes", [] {
    rate_keeper keeper(kWindow);
    const rate_limit limit{static_cast<double>(*rc::gen::inRange(1, 40)),
                           static_cast<double>(*rc::gen::inRange(0, 40))};
    std::deque<std::pair<Timestamp, std::uint32_t>> grants;
    std::map<std::string, std::uint32_t> by_node;
    Timestamp now{1'000'000};
    for (int step = 0; step < 400; ++step) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
      const std::string node = "n" + std::to_string(*rc::gen::inRange(0, 8));
      const auto wanted = static_cast<std::uint32_t>(*rc::gen::inRange(1, 12));
      const rate_answer answer = keeper.decide(query(node, limit, 0, wanted), all_reachable, 8, now);
      RC_ASSERT(answer.granted <= wanted);
      RC_ASSERT((answer.granted > 0) == (answer.retry_after.count() == 0));
      grants.emplace_back(now, answer.granted);
      std::uint32_t sum = 0;
      for (const auto& [at, granted] : grants) {
        sum += now - at <= kWindow + kGrantLifetime ? granted : 0;
      }
      RC_ASSERT(sum <= keeper.allowed(limit));
    }
  });
}

TEST_CASE("a tenant far over its limit gets all of it and not more") {
  rate_keeper keeper(kWindow);
  const rate_limit limit{20, 20};
  const unsigned let_in = flood(keeper, limit, 10s, 30s);
  CHECK(let_in <= 6 * 125);
  CHECK(let_in >= 30 * 20);
}

TEST_CASE("a tenant below its limit is never refused") {
  rate_keeper keeper(kWindow);
  for (int request = 0; request < 1'000; ++request) {
    const Timestamp now = 10s + request * 55ms;  // 18 per second of 20
    REQUIRE(keeper.decide(query("n" + std::to_string(request % 50), {20, 0}), all_reachable, 50, now).granted == 1);
  }
}

TEST_CASE("a refusal says when there is room") {
  rate_keeper keeper(kWindow);
  const rate_limit limit{2, 0};
  Timestamp now = 10s;
  while (keeper.decide(query("a", limit), all_reachable, 2, now).granted > 0) {
    now += 10ms;
  }
  const rate_answer refused = keeper.decide(query("a", limit), all_reachable, 2, now);
  REQUIRE(refused.granted == 0);
  CHECK(refused.retry_after <= kWindow + 300ms);
  CHECK(keeper.decide(query("a", limit), all_reachable, 2, now + refused.retry_after + 1ms).granted == 1);
}

TEST_CASE("a keeper that takes over learns from the first questions what was granted before") {
  rate_keeper keeper(kWindow);
  const rate_limit limit{20, 0};  // 105 requests within the window plus the lifetime of a grant
  const Timestamp now = 10s;
  CHECK(keeper.decide(query("a", limit, 60), all_reachable, 2, now).granted == 1);
  CHECK(keeper.decide(query("b", limit, 44), all_reachable, 2, now).granted == 0);
  CHECK(keeper.decide(query("b", limit, 43), all_reachable, 2, now).granted == 1);
}

TEST_CASE("what a node that is cut off used stays reserved, scaled up to the limit") {
  rate_keeper keeper(kWindow);
  const rate_limit limit{20, 0};
  const Timestamp now = 10s;
  for (int request = 0; request < 20; ++request) {
    keeper.decide(query("a", limit), all_reachable, 2, now);
    keeper.decide(query("b", limit), all_reachable, 2, now);
  }
  const auto without_b = [](const std::string& node) { return node != "b"; };
  unsigned granted = 0;
  for (int request = 0; request < 200; ++request) {
    granted += keeper.decide(query("a", limit, 20 + granted), without_b, 2, now + 100ms).granted;
  }
  // Node a has used half of 105 by now. The other half stays reserved for b, even after b's grants have left the
  // window.
  CHECK(granted >= 31);
  CHECK(granted <= 33);
  const rate_answer later = keeper.decide(query("a", limit), without_b, 2, now + 8s);
  CHECK(later.used >= 50);
  // The reservation of b ends after a long time, when its callers have turned to other nodes.
  keeper.remove_idle(now + 40s);
  CHECK(keeper.decide(query("a", limit), without_b, 2, now + 40s).used <= 1);
}

TEST_CASE("the limit of the latest version counts, whoever asks") {
  rate_keeper keeper(kWindow);
  const Timestamp now = 10s;
  for (int request = 0; request < 50; ++request) {
    keeper.decide(query("a", {100, 0}, 0, 1, 1), all_reachable, 2, now);
  }
  CHECK(keeper.decide(query("b", {2, 0}, 0, 1, 2), all_reachable, 2, now).granted == 0);
  CHECK(keeper.decide(query("a", {100, 0}, 0, 1, 1), all_reachable, 2, now).granted == 0);
  CHECK(keeper.decide(query("a", {100, 0}, 0, 1, 3), all_reachable, 2, now).granted == 1);
}
