#include "tenancy/rate_keeper.hpp"

#include <algorithm>
#include <cmath>

namespace madderdeck::tenancy {
namespace {

/// How long the share of an unreachable node is reserved. A node that is unreachable for longer has lost its callers,
/// too, so that its share becomes available to the others.
constexpr Duration kReservedFor = 30s;
/// A retry after less than this would most likely be refused again.
constexpr Duration kLeastRetry = 100ms;
/// A single grant is at most this fraction of the node's equal share of what is free.
constexpr double kPartAtOnce = 0.5;

}  // namespace

double rate_keeper::allowed(const rate_limit& limit) const {
  return limit.per_second * std::chrono::duration<double>(span()).count() + limit.burst;
}

double rate_keeper::level(const user& one, Timestamp now) const {
  const bool counts = now - one.reported_at < span();
  return std::max(one.granted.sum(now), counts ? one.reported + one.granted_since : 0);
}

double rate_keeper::used(account& of, const reachable& is_reachable, Timestamp now) {
  double total = 0;
  double lost_now = 0;
  for (auto& [node, one] : of.users) {
    if (is_reachable(node)) {
      one.lost_at = Timestamp{};
      one.reserved = 0;
      total += level(one, now);
    } else if (one.lost_at.count() == 0) {
      lost_now += level(one, now);
    } else if (now - one.lost_at < kReservedFor) {
      total += std::max(one.reserved, level(one, now));
    }
  }
  total += lost_now;
  const double scale = lost_now > 0 ? std::max(1.0, allowed(of.rate.limit) / total) : 1;
  for (auto& [node, one] : of.users) {
    if (one.lost_at.count() == 0 && !is_reachable(node)) {
      one.lost_at = now;
      one.reserved = level(one, now) * scale;
      total += one.reserved - level(one, now);
    }
  }
  return total;
}

rate_answer rate_keeper::decide(const rate_question& question, const reachable& is_reachable, std::size_t nodes,
                                Timestamp now) {
  account& of = accounts_.try_emplace(question.rate.tenant, span()).first->second;
  if (question.rate.version >= of.rate.version) {
    of.rate = question.rate;
  }
  user& asker = of.users.try_emplace(question.node, span()).first->second;
  asker.reported = question.recent;
  asker.granted_since = 0;
  asker.reported_at = now;
  rate_answer answer;
  answer.used = used(of, is_reachable, now);
  answer.allowed = allowed(of.rate.limit);
  if (!of.rate.limit.limited()) {
    answer.granted = question.wanted;
    return answer;
  }
  const double free = answer.allowed - answer.used;
  if (free < 1) {
    const auto missing = static_cast<std::uint32_t>(std::ceil(1 - free));
    answer.retry_after = std::max<Duration>(kLeastRetry, of.all.until_freed(now, missing));
    return answer;
  }
  const double at_once = std::max(1.0, kPartAtOnce * free / static_cast<double>(std::max<std::size_t>(1, nodes)));
  answer.granted = static_cast<std::uint32_t>(std::min<double>(question.wanted, std::floor(at_once)));
  asker.granted.add(now, answer.granted);
  asker.granted_since += answer.granted;
  of.all.add(now, answer.granted);
  return answer;
}

void rate_keeper::forget_idle(Timestamp now) {
  for (auto entry = accounts_.begin(); entry != accounts_.end();) {
    std::erase_if(entry->second.users, [&](const auto& one) {
      const bool reserved = one.second.lost_at.count() != 0 && now - one.second.lost_at < kReservedFor;
      return !reserved && level(one.second, now) == 0;
    });
    entry = entry->second.users.empty() ? accounts_.erase(entry) : std::next(entry);
  }
}

}  // namespace madderdeck::tenancy
