#include "routing/limits.hpp"

#include <algorithm>

namespace madderdeck::routing {

void TokenBucket::reshape(double per_second, double capacity) {
  per_second_ = per_second;
  capacity_ = capacity;
  tokens_ = std::min(tokens_, capacity);
}

bool TokenBucket::take(Timestamp now) {
  const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(capacity_, tokens_ + std::max(0.0, elapsed) * per_second_);
  refilled_at_ = now;
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

Duration TokenBucket::wait_time() const {
  const double missing = std::max(0.0, 1.0 - tokens_);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / per_second_));
}

void RetryBudget::on_request() { balance_ = std::min(kMaxSaved, balance_ + percent_ / 100.0); }

bool RetryBudget::try_spend() {
  if (balance_ < 1.0) {
    return false;
  }
  balance_ -= 1.0;
  return true;
}

Duration TenantLimiter::admit(const std::string& tenant, double per_second, double burst, std::size_t gateways,
                              Timestamp now) {
  const double share = static_cast<double>(std::max<std::size_t>(1, gateways));
  const double rate = per_second / share;
  const double capacity = std::max(1.0, burst / share);
  auto [position, inserted] = buckets_.try_emplace(tenant, rate, capacity);
  TokenBucket& bucket = position->second;
  bucket.reshape(rate, capacity);
  return bucket.take(now) ? Duration::zero() : std::max(Duration(1000), bucket.wait_time());
}

}  // namespace madderdeck::routing
