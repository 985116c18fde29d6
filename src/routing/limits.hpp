#pragma once
/// @file Retry budget.

#include <cstdint>

namespace madderdeck::routing {

/// Limits retries to a share of all requests, whatever the cause of the failures. Single threaded.
class RetryBudget {
 public:
  void set_percent(std::uint32_t percent) { percent_ = percent; }
  void on_request();
  /// Takes one retry from the budget.
  /// @return whether the retry may be made.
  bool try_spend();

 private:
  static constexpr double kInitialBalance = 3.0;  ///< Lets a node with little traffic retry at all.
  static constexpr double kMaxBalance = 50.0;
  std::uint32_t percent_ = 10;
  double balance_ = kInitialBalance;
};

}  // namespace madderdeck::routing
