#pragma once
/// @file How much work an item is, learnt from finished ones.

#include <cstdint>
#include <map>
#include <string>

#include "common/environment.hpp"

namespace madderdeck::policy {

/// One finished run of an item.
struct finished_run {
  std::uint32_t tokens = 0;      ///< What the item was stated to need, prompt and answer; 0 where nothing is stated.
  std::uint32_t events = 0;      ///< Of the whole item.
  std::uint32_t run_events = 0;  ///< Of this run.
  Duration took{};               ///< This run.
};

/// Moving averages for each kind of item. Single threaded.
class work_estimate {
 public:
  void learn(const std::string& kind, const finished_run& run);
  /// An item was done in time: @p took from its first start, with all times in which it had to yield.
  /// @param work what it was estimated to need in a slot.
  void learn_stretch(const std::string& kind, Duration took, Duration work);
  /// @param events made by earlier runs.
  /// @return time in a slot that the rest likely takes; zero while nothing is known of @p kind.
  Duration work_left(const std::string& kind, std::uint32_t tokens, std::uint32_t events) const;
  /// @return the same with the times in which it will likely have to yield.
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
