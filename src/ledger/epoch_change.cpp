#include "ledger/epoch_change.hpp"

#include <algorithm>
#include <climits>
#include <map>

#include "ledger/handover.hpp"

namespace madderdeck::ledger {
namespace {

constexpr std::size_t kPairSize = 2;         ///< Size of the smallest group, in which a majority needs all members.
constexpr int kDeclinedPenalty = 1'000'000;  ///< Exceeds the number of members in any zone.

bool contains(const std::vector<ReplicaIdentity>& list, const ReplicaIdentity& identity) {
  return std::find(list.begin(), list.end(), identity) != list.end();
}

/// @return the disk to replace @p lost in @p group, if there is one.
std::optional<ReplicaIdentity> substitute(const ReplicaGroup& group, const ReplicaIdentity& lost,
                                          const std::vector<disk_place>& places, const change_guards& guards) {
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
    const bool leaves = guards.exclude_leaving_members &&
                        std::any_of(group.leaving.begin(), group.leaving.end(),
                                    [&](const auto& leaver) { return leaver.node == place.identity.node; });
    if (member_already || leaves) {
      continue;
    }
    // The same node with its new disk first, then the zone that the others use least.
    const int preference = place.identity.node == lost.node ? 1 : -members_in_zone[place.zone];
    const int rank = place.declined ? preference - kDeclinedPenalty : preference;
    if (rank > best_rank) {
      best = place.identity;
      best_rank = rank;
    }
  }
  return best;
}

/// @return the disks that may replace @p stopping, whose process is shutting down.
std::vector<disk_place> spares_for(const ReplicaIdentity& stopping, const fleet_view& view) {
  std::vector<disk_place> spares = view.places();
  std::erase_if(spares, [&](const disk_place& place) { return !view.is_spare_for(place.identity, stopping); });
  return spares;
}

/// @return the state of @p replica. A process that is shutting down may only be restarting: without a spare disk that
///         would replace its disk, the replica remains present.
replica_state standing_of(const ReplicaGroup& group, const ReplicaIdentity& replica, fleet_view& view,
                          const change_guards& guards) {
  const replica_state state = view.state_of(replica);
  const bool stays = state == replica_state::stopping && !substitute(group, replica, spares_for(replica, view), guards);
  return stays ? replica_state::present : state;
}

/// @return a former member that was given up as unresponsive and is up again.
std::optional<ReplicaIdentity> returned_member(const ReplicaGroup& group, const fleet_view& view) {
  for (const disk_place& place : view.places()) {
    if (contains(group.leaving, place.identity) && !view.is_retiring(place.identity.node)) {
      return place.identity;
    }
  }
  return std::nullopt;
}

/// @return a former member that is being drained and still up, for a pair of which one member is gone. Without it the
///         other member alone would confirm records that no other disk holds.
std::optional<ReplicaIdentity> draining_former_member(const ReplicaGroup& group, const fleet_view& view) {
  if (group.replicas.size() != kPairSize) {
    return std::nullopt;
  }
  const auto leaver = std::find_if(group.leaving.begin(), group.leaving.end(), [&view](const auto& former) {
    return view.is_retiring(former.node) && view.is_there(former);
  });
  return leaver == group.leaving.end() ? std::nullopt : std::optional(*leaver);
}

/// @return the other member of a pair, if it is up; nothing for groups of other sizes.
std::optional<ReplicaIdentity> remaining_member_of(const ReplicaGroup& group, std::size_t lost,
                                                   const fleet_view& view) {
  if (group.replicas.size() != kPairSize) {
    return std::nullopt;
  }
  const ReplicaIdentity& other = group.replicas[1 - lost];
  return view.is_there(other) ? std::optional(other) : std::nullopt;
}

/// Removes the member with number @p index, whose disk or node is gone, from the group described by @p change.
/// @return whether this is possible.
bool replace_gone(epoch_change& change, const ReplicaGroup& group, std::size_t index, replica_state state,
                  const fleet_view& view, const change_guards& guards) {
  const ReplicaIdentity& replica = group.replicas[index];
  const bool lost = state == replica_state::disk_replaced;
  auto other = substitute(group, replica, view.places(), guards);
  if (!other) {
    other = returned_member(group, view);
  }
  const auto survivor = lost ? std::nullopt : remaining_member_of(group, index, view);
  if (!other && survivor) {
    other = draining_former_member(group, view);
  }
  // The member was being drained and its records are lost. Without this its place would stay empty forever.
  const bool lost_while_draining = lost && view.is_retiring(replica.node) && group.replicas.size() > 1;
  const auto position = change.next.replicas.begin() + static_cast<std::ptrdiff_t>(index);
  if (other) {
    *position = *other;
    std::erase(change.next.leaving, *other);
  } else if (survivor || lost_while_draining) {
    change.next.replicas.erase(position);
  } else {
    return false;
  }
  change.rule.given_up = replica;
  if (lost) {
    change.rule.quorum = decision_quorum(group.replicas.size(), true);
    return true;
  }
  if (other) {
    // The member may only be unreachable, and its records may be held only by it and the member that is lost next.
    change.next.leaving.push_back(replica);
  }
  if (survivor) {
    change.rule.quorum = 1;
    change.rule.sole = survivor;
  }
  return true;
}

/// Removes the member with number @p index, whose node is being drained or whose process is shutting down.
/// @param present number of members that are neither gone nor about to leave
/// @return whether this leaves the group a majority of members that already vote.
bool let_go(epoch_change& change, const ReplicaGroup& group, std::size_t index, replica_state state,
            std::size_t present, std::size_t replicas, const fleet_view& view, const change_guards& guards) {
  const ReplicaIdentity& replica = group.replicas[index];
  const bool stopping = state == replica_state::stopping;
  const auto other = substitute(group, replica, stopping ? spares_for(replica, view) : view.places(), guards);
  const std::size_t members = group.replicas.size() - (other ? 0 : 1);
  if ((!other && group.replicas.size() < replicas) || present < members / 2 + 1) {
    return false;
  }
  const auto position = change.next.replicas.begin() + static_cast<std::ptrdiff_t>(index);
  if (other) {
    *position = *other;
  } else {
    change.next.replicas.erase(position);
  }
  change.next.leaving.push_back(replica);
  // The member votes until others hold everything: a replacement may still be copying.
  change.rule.whole_majority = true;
  change.rule.let_go = replica;
  return true;
}

std::string reason_of(const ReplicaIdentity& replica, replica_state state) {
  return text_of(replica) + " " + name_of(state);
}

}  // namespace

const char* name_of(replica_state state) {
  switch (state) {
    case replica_state::present:
      return "present";
    case replica_state::disk_replaced:
      return "disk_replaced";
    case replica_state::missing:
      return "missing";
    case replica_state::retiring:
      return "retiring";
    case replica_state::stopping:
      return "stopping";
  }
  return "unknown";
}

std::optional<epoch_change> next_epoch_change(const ReplicaGroup& group, fleet_view& view, std::size_t replicas,
                                              const change_guards& guards) {
  epoch_change change;
  change.next = group;
  ++change.next.epoch;
  std::erase_if(change.next.leaving, [&view](const ReplicaIdentity& leaver) {
    return view.is_permanently_gone(leaver) && view.state_of(leaver) == replica_state::disk_replaced;
  });
  std::vector<replica_state> states;
  for (const ReplicaIdentity& replica : group.replicas) {
    states.push_back(standing_of(group, replica, view, guards));
  }
  // Lost disks come first: removing one needs at most as many members to agree as removing an unresponsive one, for
  // which too few members may be left.
  for (const replica_state gone : {replica_state::disk_replaced, replica_state::missing}) {
    for (std::size_t index = 0; index < states.size(); ++index) {
      if (states[index] == gone && replace_gone(change, group, index, gone, view, guards)) {
        change.reason = reason_of(group.replicas[index], gone);
        return change;
      }
    }
  }
  // Leaving members come after lost ones: they still vote, and a replacement copies from all other members first.
  const auto present = static_cast<std::size_t>(std::count(states.begin(), states.end(), replica_state::present));
  for (std::size_t index = 0; index < states.size(); ++index) {
    const bool goes = states[index] == replica_state::retiring || states[index] == replica_state::stopping;
    if (goes && let_go(change, group, index, states[index], present, replicas, view, guards)) {
      change.reason = reason_of(group.replicas[index], states[index]);
      return change;
    }
  }
  if (group.replicas.size() < replicas) {
    auto other = substitute(group, ReplicaIdentity{}, view.places(), guards);
    // A member that is being drained cannot be removed before another disk has joined.
    const bool keeps_retiring = std::find(states.begin(), states.end(), replica_state::retiring) != states.end();
    if (!other && keeps_retiring) {
      other = returned_member(group, view);
    }
    if (other) {
      change.next.replicas.push_back(*other);
      std::erase(change.next.leaving, *other);
      change.reason = std::to_string(group.replicas.size()) + " members of " + std::to_string(replicas);
      return change;
    }
  }
  // A leaving member is copied from until it is gone.
  const auto given_up = std::erase_if(
      change.next.leaving, [&view](const ReplicaIdentity& leaver) { return view.is_permanently_gone(leaver); });
  change.rule.whole_majority = given_up > 0;
  change.rule.least_whole = least_copies(replicas);
  change.reason = "leaving members are gone: " + text_of(group.leaving);
  return change.next.leaving.size() < group.leaving.size() ? std::optional(change) : std::nullopt;
}

}  // namespace madderdeck::ledger
