#pragma once
/// @file Measures the rate of events; the measured rate rises immediately and falls slowly.

#include <algorithm>
#include <cmath>

#include "common/environment.hpp"

namespace madderdeck::policy {

/// The greater of a short and a long moving average. Single threaded.
class rate_meter {
 public:
  void count(Timestamp now, double events) {
    const double held = decayed_peak(now);
    short_.add(now, events);
    long_.add(now, events);
    peak_ = std::max(held, short_.at(now));
    peak_at_ = now;
  }
  /// @return the current rate in events per second.
  double per_second(Timestamp now) const { return std::max(short_.at(now), long_.at(now)); }
  /// @return the peak rate of the latest bursts in events per second. With traffic in waves it predicts the rate of the
  ///         next wave.
  double peak_per_second(Timestamp now) const { return std::max(per_second(now), decayed_peak(now)); }

 private:
  /// Exponentially weighted moving average.
  class average {
   public:
    explicit average(Duration window) : window_s_(std::chrono::duration<double>(window).count()) {}
    double at(Timestamp now) const {
      const double passed = std::chrono::duration<double>(now - as_of_).count();
      return rate_ * std::exp(-passed / window_s_);
    }
    void add(Timestamp now, double events) {
      rate_ = at(now) + events / window_s_;
      as_of_ = now;
    }

   private:
    double window_s_;
    double rate_ = 0;
    Timestamp as_of_{};
  };

  /// Time constant with which a peak decays; several waves of traffic fall within it.
  static constexpr Duration kPeakDecayTime = 20s;

  double decayed_peak(Timestamp now) const {
    const double passed = std::chrono::duration<double>(now - peak_at_).count();
    return peak_ * std::exp(-passed / std::chrono::duration<double>(kPeakDecayTime).count());
  }

  double peak_ = 0;  ///< Peak of the short average, as of peak_at_.
  Timestamp peak_at_{};
  average short_{500ms};
  average long_{8s};
};

}  // namespace madderdeck::policy
