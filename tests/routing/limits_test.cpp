#include "routing/limits.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace madderdeck;
using namespace madderdeck::routing;

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
