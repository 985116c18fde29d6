#pragma once
/// @file Retry budget.

#include <cstdint>

namespace madderdeck::routing {

/// Allows retries as a share of requests, whatever goes wrong. Single threaded.
class RetryBudget {
 public:
  void set_percent(std::uint32_t percent) { percent_ = percent; }
  void on_request();
  /// @return whether one retry may be made, and spends it.
  bool try_spend();

 private:
  static constexpr double kReserve = 3.0;  ///< So that a quiet node can retry at all.
  static constexpr double kMaxSaved = 50.0;
  std::uint32_t percent_ = 10;
  double balance_ = kReserve;
};

}  // namespace madderdeck::routing
