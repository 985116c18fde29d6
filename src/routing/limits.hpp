#pragma once
/// @file Retry budget and per-tenant rate limits.

#include <map>
#include <string>

#include "common/environment.hpp"

namespace madderdeck::routing {

/// Tokens that refill with time up to a cap. Single threaded.
class TokenBucket {
 public:
  TokenBucket() = default;
  TokenBucket(double per_second, double capacity) : per_second_(per_second), capacity_(capacity), tokens_(capacity) {}

  /// Changes rate and capacity and keeps the fill.
  void reshape(double per_second, double capacity);
  bool take(Timestamp now);
  /// @return time until a token will be there.
  Duration wait_time() const;

 private:
  double per_second_ = 0;
  double capacity_ = 0;
  double tokens_ = 0;
  Timestamp refilled_at_{};
};

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

/// Splits each tenant's rate evenly over the gateways, without a central counter.
class TenantLimiter {
 public:
  /// @return zero when the request may pass, otherwise how long to wait before the next try.
  Duration admit(const std::string& tenant, double per_second, double burst, std::size_t gateways, Timestamp now);

 private:
  std::map<std::string, TokenBucket> buckets_;
};

}  // namespace madderdeck::routing
