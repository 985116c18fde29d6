#include "tenancy/usage_window.hpp"

#include <algorithm>

namespace madderdeck::tenancy {
namespace {

constexpr Duration kStep = 50ms;

}  // namespace

Timestamp usage_window::expires_at(const step& one) const { return kStep * (one.number + 1) + span_; }

void usage_window::remove_expired(Timestamp now) {
  while (!steps_.empty() && expires_at(steps_.front()) <= now) {
    sum_ -= steps_.front().count;
    steps_.pop_front();
  }
}

void usage_window::add(Timestamp now, std::uint32_t count) {
  remove_expired(now);
  const std::int64_t number = now / kStep;
  if (steps_.empty() || steps_.back().number < number) {
    steps_.push_back({number, 0});
  }
  steps_.back().count += count;
  sum_ += count;
}

std::uint32_t usage_window::sum(Timestamp now) const {
  std::uint32_t left = sum_;
  for (auto one = steps_.begin(); one != steps_.end() && expires_at(*one) <= now; ++one) {
    left -= one->count;
  }
  return left;
}

Duration usage_window::time_until_freed(Timestamp now, std::uint32_t count) const {
  std::uint32_t freed = 0;
  for (const step& one : steps_) {
    freed += expires_at(one) > now ? one.count : 0;
    if (freed >= count) {
      return std::max<Duration>(Duration::zero(), expires_at(one) - now);
    }
  }
  return span_;
}

}  // namespace madderdeck::tenancy
