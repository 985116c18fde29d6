#include "placement/waiting_calls.hpp"

#include <algorithm>

namespace madderdeck::placement {
namespace {

/// A call is removed after this time without a request for it; three consecutive repeats may get lost.
constexpr Duration kRequestLifetime = 4 * waiting_calls::kRepeatInterval;

const std::vector<waiting_call> kNoCalls;

}  // namespace

std::size_t waiting_calls::size(const engine_domain& domain) const {
  const auto calls = calls_.find(domain);
  return calls == calls_.end() ? 0 : calls->second.size();
}

std::vector<engine_domain> waiting_calls::domains() const {
  std::vector<engine_domain> found;
  for (const auto& [domain, calls] : calls_) {
    found.push_back(domain);
  }
  return found;
}

bool waiting_calls::refresh(const engine_domain& domain, const caller& origin, Timestamp now) {
  const auto calls = calls_.find(domain);
  if (calls == calls_.end()) {
    return false;
  }
  for (waiting_call& call : calls->second) {
    if (call.origin.same_request(origin)) {
      call.last_request_at = now;
      return true;
    }
  }
  return false;
}

void waiting_calls::add(const engine_domain& domain, waiting_call call) {
  calls_[domain].push_back(std::move(call));
  ++count_;
}

void waiting_calls::withdraw(const caller& origin) {
  for (auto entry = calls_.begin(); entry != calls_.end();) {
    count_ -=
        std::erase_if(entry->second, [&origin](const waiting_call& call) { return call.origin.same_request(origin); });
    entry = entry->second.empty() ? calls_.erase(entry) : std::next(entry);
  }
}

std::size_t waiting_calls::ahead_of(const engine_domain& domain, const waiting_call& call, Timestamp now) const {
  const auto calls = calls_.find(domain);
  if (calls == calls_.end()) {
    return 0;
  }
  const policy::waiting_call_state own = call.outlook(now);
  return static_cast<std::size_t>(std::count_if(calls->second.begin(), calls->second.end(), [&](const auto& other) {
    return !order_.before(own, other.outlook(now));
  }));
}

const std::vector<waiting_call>& waiting_calls::in_order(const engine_domain& domain, Timestamp now) {
  const auto calls = calls_.find(domain);
  if (calls == calls_.end()) {
    return kNoCalls;
  }
  std::stable_sort(calls->second.begin(), calls->second.end(), [this, now](const auto& left, const auto& right) {
    return order_.before(left.outlook(now), right.outlook(now));
  });
  return calls->second;
}

waiting_call waiting_calls::take(const engine_domain& domain, std::size_t position) {
  const auto calls = calls_.find(domain);
  const auto entry = calls->second.begin() + static_cast<std::ptrdiff_t>(position);
  waiting_call call = std::move(*entry);
  calls->second.erase(entry);
  --count_;
  if (calls->second.empty()) {
    calls_.erase(calls);
  }
  return call;
}

std::size_t waiting_calls::remove_expired(Timestamp now) {
  const std::size_t before = count_;
  for (auto entry = calls_.begin(); entry != calls_.end();) {
    count_ -= std::erase_if(entry->second, [now](const waiting_call& call) {
      return now - call.last_request_at > kRequestLifetime || now >= call.expires_at;
    });
    entry = entry->second.empty() ? calls_.erase(entry) : std::next(entry);
  }
  return before - count_;
}

}  // namespace madderdeck::placement
