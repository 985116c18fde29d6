#pragma once
/// @file The rate of events, which rises at once and falls slowly.

#include <algorithm>
#include <cmath>

#include "common/environment.hpp"

namespace madderdeck::policy {

/// The greater of a short and a long average. Single threaded.
class rate_meter {
 public:
  void count(Timestamp now, double events) {
    short_.add(now, events);
    long_.add(now, events);
  }
  /// @return events a second.
  double per_second(Timestamp now) const { return std::max(short_.at(now), long_.at(now)); }

 private:
  /// Exponentially weighted.
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

  average short_{500ms};
  average long_{8s};
};

}  // namespace madderdeck::policy
