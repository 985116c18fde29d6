#pragma once
/// @file Latency samples and their quantiles.

#include <algorithm>
#include <vector>

namespace madderdeck::bench {

/// One measured latency and when, in the run, it was due.
struct Sample {
  double at_s = 0;
  double value_ms = 0;
};

/// Exact quantiles of a run's samples.
class Samples {
 public:
  void add(double at_s, double value_ms) { samples_.push_back({at_s, value_ms}); }
  std::size_t size() const { return samples_.size(); }
  const std::vector<Sample>& all() const { return samples_; }

  /// @return quantile @p share (0 to 1) of the samples due from @p from_s to @p to_s; 0 when
  ///         there are none.
  double quantile(double share, double from_s = 0, double to_s = 1e18) const {
    std::vector<double> values;
    for (const Sample& sample : samples_) {
      if (sample.at_s >= from_s && sample.at_s < to_s) {
        values.push_back(sample.value_ms);
      }
    }
    if (values.empty()) {
      return 0;
    }
    const auto rank = std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
    return values[rank];
  }

 private:
  std::vector<Sample> samples_;
};

}  // namespace madderdeck::bench
