#pragma once
/// @file Estimates the work of a batch item from finished ones.

#include <cstdint>
#include <map>
#include <string>

#include "common/environment.hpp"

namespace madderdeck::policy {

/// One finished run of an item.
struct finished_run {
  std::uint32_t tokens = 0;      ///< Declared tokens of the item, prompt and answer; 0 if not declared.
  std::uint32_t events = 0;      ///< Events of the whole item.
  std::uint32_t run_events = 0;  ///< Events of this run.
  Duration took{};               ///< Duration of this run.
};

/// Keeps moving averages for each kind of item. Single threaded.
class work_estimate {
 public:
  void learn(const std::string& kind, const finished_run& run);
  /// Call this when an item was done in time.
  /// @param took time since its first start, including the times in which it had yielded its slot to live calls.
  /// @param work the estimated time that it needed in a slot.
  void update_wait_ratio(const std::string& kind, Duration took, Duration work);
  /// @param events number of events that earlier runs produced.
  /// @return the estimated time in a slot for the rest of the item; zero if nothing is known about @p kind.
  Duration work_left(const std::string& kind, std::uint32_t tokens, std::uint32_t events) const;
  /// @return work_left() plus the estimated times in which the item will have yielded its slot to live calls.
  Duration time_left(const std::string& kind, std::uint32_t tokens, std::uint32_t events) const;

 private:
  struct average {
    double events_per_token = 0;
    double events = 0;
    double event_us = 0;
    double stretch = 1;
  };
  std::map<std::string, average> kinds_;
};

}  // namespace madderdeck::policy
