#include "tenancy/rate_keeper.hpp"

#include <algorithm>
#include <cmath>

namespace madderdeck::tenancy {
namespace {

/// How long the share of an unreachable node is reserved. A node that is unreachable for longer has lost its callers,
/// too, so that its share becomes available to the others.
constexpr Duration kReservationTime = 30s;
/// A retry after less than this would most likely be refused again.
constexpr Duration kMinRetryAfter = 100ms;
/// A single grant is at most this fraction of the node's equal share of what is free.
constexpr double kMaxGrantFraction = 0.5;

}  // namespace

double rate_keeper::allowed(const rate_limit& limit) const {
  return limit.per_second * std::chrono::duration<double>(span()).count() + limit.burst;
}

double rate_keeper::node_total(const node_usage& usage, Timestamp now) const {
  const bool counts = now - usage.reported_at < span();
  return std::max(usage.granted.sum(now), counts ? usage.reported + usage.granted_since : 0);
}

double rate_keeper::total_usage(account& tenant_account, const reachable& is_reachable, Timestamp now) {
  double total = 0;
  double newly_unreachable = 0;
  for (auto& [node, usage] : tenant_account.usage_by_node) {
    if (is_reachable(node)) {
      usage.unreachable_since = Timestamp{};
      usage.reserved = 0;
      total += node_total(usage, now);
    } else if (usage.unreachable_since.count() == 0) {
      newly_unreachable += node_total(usage, now);
    } else if (now - usage.unreachable_since < kReservationTime) {
      total += std::max(usage.reserved, node_total(usage, now));
    }
  }
  total += newly_unreachable;
  const double scale = newly_unreachable > 0 ? std::max(1.0, allowed(tenant_account.rate.limit) / total) : 1;
  for (auto& [node, usage] : tenant_account.usage_by_node) {
    if (usage.unreachable_since.count() == 0 && !is_reachable(node)) {
      usage.unreachable_since = now;
      usage.reserved = node_total(usage, now) * scale;
      total += usage.reserved - node_total(usage, now);
    }
  }
  return total;
}

rate_answer rate_keeper::decide(const rate_query& query, const reachable& is_reachable, std::size_t nodes,
                                Timestamp now) {
  account& tenant_account = accounts_.try_emplace(query.rate.tenant, span()).first->second;
  if (query.rate.version >= tenant_account.rate.version) {
    tenant_account.rate = query.rate;
  }
  node_usage& asker = tenant_account.usage_by_node.try_emplace(query.node, span()).first->second;
  asker.reported = query.recent;
  asker.granted_since = 0;
  asker.reported_at = now;
  rate_answer answer;
  answer.used = total_usage(tenant_account, is_reachable, now);
  answer.allowed = allowed(tenant_account.rate.limit);
  if (!tenant_account.rate.limit.limited()) {
    answer.granted = query.wanted;
    return answer;
  }
  const double free = answer.allowed - answer.used;
  if (free < 1) {
    const auto missing = static_cast<std::uint32_t>(std::ceil(1 - free));
    answer.retry_after = std::max<Duration>(kMinRetryAfter, tenant_account.all_grants.time_until_freed(now, missing));
    return answer;
  }
  const double at_once = std::max(1.0, kMaxGrantFraction * free / static_cast<double>(std::max<std::size_t>(1, nodes)));
  answer.granted = static_cast<std::uint32_t>(std::min<double>(query.wanted, std::floor(at_once)));
  asker.granted.add(now, answer.granted);
  asker.granted_since += answer.granted;
  tenant_account.all_grants.add(now, answer.granted);
  return answer;
}

void rate_keeper::remove_idle(Timestamp now) {
  for (auto entry = accounts_.begin(); entry != accounts_.end();) {
    std::erase_if(entry->second.usage_by_node, [&](const auto& usage) {
      const bool reserved =
          usage.second.unreachable_since.count() != 0 && now - usage.second.unreachable_since < kReservationTime;
      return !reserved && node_total(usage.second, now) == 0;
    });
    entry = entry->second.usage_by_node.empty() ? accounts_.erase(entry) : std::next(entry);
  }
}

}  // namespace madderdeck::tenancy
