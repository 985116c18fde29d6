#include "routing/limits.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace madderdeck;
using namespace madderdeck::routing;

TEST_CASE("a bucket never gives more than capacity and rate allow") {
  rc::prop("bounded", [](const std::vector<std::uint16_t>& gaps_ms) {
    TokenBucket bucket(10, 5);
    Timestamp now{1'000'000};
    const Timestamp start = now;
    double taken = 0;
    for (const std::uint16_t gap : gaps_ms) {
      now += std::chrono::milliseconds(gap % 300);
      taken += bucket.take(now) ? 1 : 0;
    }
    const double elapsed = std::chrono::duration<double>(now - start).count();
    RC_ASSERT(taken <= 5 + 10 * elapsed + 1e-6);
  });
}

TEST_CASE("retries stay within their share") {
  rc::prop("bounded", [](const std::vector<bool>& fails) {
    RetryBudget budget;
    budget.set_percent(10);
    double requests = 0;
    double retries = 0;
    for (const bool failed : fails) {
      budget.on_request();
      ++requests;
      retries += failed && budget.try_spend() ? 1 : 0;
    }
    RC_ASSERT(retries <= 3 + requests * 0.1 + 1e-6);
  });
}

TEST_CASE("gateways share a tenant's rate, and a refusal says when to come back") {
  TenantLimiter limiter;
  const Timestamp now{10'000'000};
  unsigned admitted = 0;
  Duration wait{};
  for (int request = 0; request < 100; ++request) {
    wait = limiter.admit("tenant", 40, 40, 4, now);
    admitted += wait.count() == 0 ? 1 : 0;
  }
  CHECK(admitted == 10);
  CHECK(wait > 0us);
  CHECK(wait <= 100ms);
  CHECK(limiter.admit("another", 40, 40, 4, now).count() == 0);
}
