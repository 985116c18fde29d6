#pragma once
/// @file Histograms of durations, stored as counters.

#include <array>

#include "common/counters.hpp"
#include "common/environment.hpp"

namespace madderdeck {

/// Adds @p time to the histogram @p name: increments NAME_ms_le_BOUND_total for the lowest bound that is not exceeded,
/// or NAME_ms_more_total if @p time exceeds all bounds, and updates NAME_ms_sum_total and NAME_count_total. The buckets
/// are not cumulative.
inline void observe(Counters& counters, const std::string& name, Duration time) {
  constexpr std::array kBoundsMs = {5, 10, 20, 50, 100, 200, 500, 1'000, 2'000, 5'000, 10'000, 20'000};
  counters[name + "_count_total"]++;
  counters[name + "_ms_sum_total"] += time / 1ms;
  for (const int bound : kBoundsMs) {
    if (time <= std::chrono::milliseconds(bound)) {
      counters[name + "_ms_le_" + std::to_string(bound) + "_total"]++;
      return;
    }
  }
  counters[name + "_ms_more_total"]++;
}

}  // namespace madderdeck
