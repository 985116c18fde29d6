#include "ledger/epoch_change.hpp"

#include <algorithm>
#include <climits>
#include <map>

namespace madderdeck::ledger {
namespace {

constexpr std::size_t kPair = 2;  ///< Members of the smallest group that has no majority without all.

/// @return the disk that takes the place of @p lost in @p group, if there is one.
std::optional<ReplicaIdentity> substitute(const ReplicaGroup& group, const ReplicaIdentity& lost,
                                          const std::vector<disk_place>& places) {
  std::map<std::string, int> members_in_zone;
  for (const disk_place& place : places) {
    for (const ReplicaIdentity& replica : group.replicas) {
      if (replica.node == place.identity.node && replica != lost) {
        ++members_in_zone[place.zone];
      }
    }
  }
  std::optional<ReplicaIdentity> best;
  int best_rank = INT_MIN;
  for (const disk_place& place : places) {
    const bool member_already = std::any_of(group.replicas.begin(), group.replicas.end(), [&](const auto& replica) {
      return replica.node == place.identity.node && replica.node != lost.node;
    });
    if (member_already) {
      continue;
    }
    // The same node with its new disk first, then the zone that the others use least.
    const int rank = place.identity.node == lost.node ? 1 : -members_in_zone[place.zone];
    if (rank > best_rank) {
      best = place.identity;
      best_rank = rank;
    }
  }
  return best;
}

/// @return the other member of a pair, if it is there; nothing for any other group.
std::optional<ReplicaIdentity> survivor_of(const ReplicaGroup& group, std::size_t lost, const group_view& view) {
  if (group.replicas.size() != kPair) {
    return std::nullopt;
  }
  const ReplicaIdentity& other = group.replicas[1 - lost];
  return view.is_there(other) ? std::optional(other) : std::nullopt;
}

}  // namespace

std::optional<epoch_change> wanted_change(const ReplicaGroup& group, group_view& view, std::size_t replicas) {
  epoch_change change;
  change.next = group;
  ++change.next.epoch;
  // A member that leaves is copied from until it is gone.
  std::erase_if(change.next.leaving, [&view](const ReplicaIdentity& leaver) { return !view.is_there(leaver); });
  for (std::size_t index = 0; index < group.replicas.size(); ++index) {
    const ReplicaIdentity& replica = group.replicas[index];
    const replica_state state = view.state_of(replica);
    if (state == replica_state::present) {
      continue;
    }
    const auto other = substitute(group, replica, view.places());
    const auto survivor = state == replica_state::missing ? survivor_of(group, index, view) : std::nullopt;
    const auto position = change.next.replicas.begin() + static_cast<std::ptrdiff_t>(index);
    if (other) {
      *position = *other;
    } else if (survivor || (state == replica_state::retiring && group.replicas.size() >= replicas)) {
      change.next.replicas.erase(position);
    } else {
      continue;
    }
    if (state == replica_state::retiring) {
      change.next.leaving.push_back(replica);
    }
    if (state == replica_state::disk_replaced) {
      change.rule.quorum = decision_quorum(group.replicas.size(), true);
    } else if (survivor) {
      change.rule = {1, survivor};
    }
    return change;
  }
  if (group.replicas.size() < replicas) {
    if (const auto other = substitute(group, ReplicaIdentity{}, view.places())) {
      change.next.replicas.push_back(*other);
      return change;
    }
  }
  return std::nullopt;
}

}  // namespace madderdeck::ledger
