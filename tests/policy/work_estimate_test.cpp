#include "policy/work_estimate.hpp"

#include <catch2/catch.hpp>

#include "policy/rate_meter.hpp"

using namespace madderdeck;
using namespace madderdeck::policy;

TEST_CASE("the estimated work left follows from the tokens and the events of earlier runs") {
  work_estimate estimate;
  CHECK(estimate.work_left("quotes", 1000, 0) == Duration::zero());
  estimate.learn("quotes", {1000, 200, 200, 4s});
  CHECK(estimate.work_left("quotes", 1000, 0) == 4s);
  CHECK(estimate.work_left("quotes", 2000, 0) == 8s);
  CHECK(estimate.work_left("quotes", 1000, 150) == 1s);
  CHECK(estimate.work_left("quotes", 1000, 300) == Duration::zero());
  CHECK(estimate.work_left("others", 1000, 0) == Duration::zero());
}

TEST_CASE("a resumed run updates the time per event by its own events only") {
  work_estimate estimate;
  estimate.learn("quotes", {1000, 200, 50, 1s});
  CHECK(estimate.work_left("quotes", 1000, 0) == 4s);
}

TEST_CASE("the estimated time left includes the times of yielding, within bounds") {
  work_estimate estimate;
  estimate.learn("quotes", {1000, 200, 200, 4s});
  CHECK(estimate.time_left("quotes", 1000, 0) == 4s);
  for (int sample = 0; sample < 200; ++sample) {
    estimate.update_wait_ratio("quotes", 8s, 4s);
  }
  CHECK(estimate.time_left("quotes", 1000, 0) > 7900ms);
  CHECK(estimate.time_left("quotes", 1000, 0) <= 8s);
  for (int sample = 0; sample < 200; ++sample) {
    estimate.update_wait_ratio("quotes", 100s, 4s);
  }
  CHECK(estimate.time_left("quotes", 1000, 0) <= 12s);
}

TEST_CASE("a measured rate rises immediately and falls slowly") {
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

// With traffic in waves of 2.4 s every 5.8 s, batch work left free only the slots that the pause before a wave needed,
// and the first calls of each wave waited for batch work to yield.
TEST_CASE("the peak rate of the latest wave is kept through the pause that follows it") {
  rate_meter meter;
  constexpr Duration kWave = 2400ms;
  constexpr Duration kCycle = 5800ms;
  constexpr Duration kStep = 10ms;
  double least_after_a_wave = 1e9;
  for (Timestamp now = 1s; now < 40s; now += kStep) {
    const bool high = now % kCycle < kWave;
    meter.count(now, high ? 1.87 : 0.38);
    if (now > kCycle + 1s) {
      least_after_a_wave = std::min(least_after_a_wave, meter.peak_per_second(now));
    }
  }
  constexpr double kWaveRate = 187;
  CHECK(least_after_a_wave > 0.75 * kWaveRate);
  CHECK(meter.peak_per_second(40s) < 1.1 * kWaveRate);
  CHECK(meter.per_second(40s) <= meter.peak_per_second(40s));
  CHECK(meter.peak_per_second(140s) < 0.05 * kWaveRate);  // the peak decays after the traffic has ended
}
