#pragma once
/// @file HTML report of experiments, with plots.

#include <string>
#include <vector>

#include "bench/samples.hpp"

namespace madderdeck::bench {

/// What one experiment gave.
struct ExperimentResult {
  std::string name;
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t wrong = 0;
  double p50_ms = 0;
  double p95_ms = 0;
  double p99_ms = 0;
  double batch_items_a_second = 0;
  double prefill_tokens = 0;
  double steps_behind_batch = 0;
  double yielded = 0;
  Samples first_token;
  std::vector<Sample> batch_items_over_time;  ///< value_ms holds the count.
};

/// @return a page that needs nothing else: a table, and for each run the tail of the time to
///         first token and the batch items over time.
std::string html_report(const std::vector<ExperimentResult>& results);

}  // namespace madderdeck::bench
