#include "policy/work_estimate.hpp"

#include <catch2/catch.hpp>

#include "policy/rate_meter.hpp"

using namespace madderdeck;
using namespace madderdeck::policy;

TEST_CASE("work left follows tokens and what earlier runs have made") {
  work_estimate estimate;
  CHECK(estimate.work_left("quotes", 1000, 0) == Duration::zero());
  estimate.learn("quotes", {1000, 200, 200, 4s});
  CHECK(estimate.work_left("quotes", 1000, 0) == 4s);
  CHECK(estimate.work_left("quotes", 2000, 0) == 8s);
  CHECK(estimate.work_left("quotes", 1000, 150) == 1s);
  CHECK(estimate.work_left("quotes", 1000, 300) == Duration::zero());
  CHECK(estimate.work_left("others", 1000, 0) == Duration::zero());
}

TEST_CASE("a resumed run teaches the pace by its own events only") {
  work_estimate estimate;
  estimate.learn("quotes", {1000, 200, 50, 1s});
  CHECK(estimate.work_left("quotes", 1000, 0) == 4s);
}

TEST_CASE("the time left counts the pauses of yielding, within bounds") {
  work_estimate estimate;
  estimate.learn("quotes", {1000, 200, 200, 4s});
  CHECK(estimate.time_left("quotes", 1000, 0) == 4s);
  for (int sample = 0; sample < 200; ++sample) {
    estimate.learn_stretch("quotes", 8s, 4s);
  }
  CHECK(estimate.time_left("quotes", 1000, 0) > 7900ms);
  CHECK(estimate.time_left("quotes", 1000, 0) <= 8s);
  for (int sample = 0; sample < 200; ++sample) {
    estimate.learn_stretch("quotes", 100s, 4s);
  }
  CHECK(estimate.time_left("quotes", 1000, 0) <= 12s);
}

TEST_CASE("a rate rises at once and falls slowly") {
  rate_meter meter;
  Timestamp now = 10s;
  for (int call = 0; call < 50; ++call) {
    meter.count(now, 1);
    now += 10ms;
  }
  const double in_burst = meter.per_second(now);
  CHECK(in_burst > 50);
  CHECK(meter.per_second(now + 4s) > 2);
  CHECK(meter.per_second(now + 4s) < in_burst / 5);
  CHECK(meter.per_second(now + 60s) < 0.1);
}
