#pragma once
/// @file Which disks hold which records.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/strong_id.hpp"
#include "wire/messages_generated.h"

namespace madderdeck::ledger {

/// A replica is a node together with the disk it had when it was admitted.
struct ReplicaIdentity {
  NodeId node;
  DiskId disk;
  auto operator<=>(const ReplicaIdentity&) const = default;
};

/// The replicas of one group; every change of them raises the epoch by one.
struct ReplicaGroup {
  std::uint64_t epoch = 0;
  std::vector<ReplicaIdentity> replicas;
  /// Former members that still hold what the others may lack; copied from before they go.
  std::vector<ReplicaIdentity> leaving;

  std::size_t majority() const { return replicas.size() / 2 + 1; }
  /// @return members and former members that leave.
  std::vector<ReplicaIdentity> all() const;
  /// @return the position of @p identity, if it is a member.
  std::optional<std::uint32_t> index_of(const ReplicaIdentity& identity) const;
  /// @return the source of copies with that number: replicas first, then those that leave.
  const ReplicaIdentity& source(std::uint32_t number) const {
    return number < replicas.size() ? replicas[number] : leaving.at(number - replicas.size());
  }
  /// @return the number of @p identity among all sources of copies.
  std::optional<std::uint32_t> source_number_of(const ReplicaIdentity& identity) const;
  bool operator==(const ReplicaGroup&) const = default;
};

/// All groups. The number of groups is fixed when the fleet is founded.
struct GroupMap {
  std::vector<ReplicaGroup> groups;

  /// @return the group of @p key. Keys look like "kind/partition/..." and all keys of one
  ///         partition share a group, so that a job's records can be scanned in one place.
  std::uint32_t group_of(std::string_view key) const;
};

/// How many of @p members have to agree on their group's next epoch.
/// @param one_lost whether the disk of one of them is proven lost. It takes no part any more, so that half of an even
///        group is enough: any two halves of the others share a member, and each shares one with any majority.
std::size_t decision_quorum(std::size_t members, bool one_lost);

/// Who of a group's members must agree on its next epoch. All may, whatever they hold; but either as many have to be
/// admitted as have to agree, so that together they hold what was confirmed, or one of them has to be whole.
struct EpochRule {
  std::size_t quorum = 0;               ///< How many; 0: the majority.
  std::optional<ReplicaIdentity> sole;  ///< Only this one's word counts, and it has to be whole.
  /// A majority has to be whole: what a disk holds that is given up may stand nowhere else.
  bool whole_majority = false;
  std::size_t least_whole = 0;              ///< With whole_majority: not fewer, however small the group is.
  std::optional<ReplicaIdentity> let_go;    ///< Is to be emptied: does not count among the whole ones.
  std::optional<ReplicaIdentity> given_up;  ///< Taken for silent or lost: an answer of it ends the decision.
};

/// @return the key under which the members of epoch - 1 decide who holds @p group at @p epoch.
std::string group_config_key(std::uint32_t group, std::uint64_t epoch);

/// @return whether @p key is that of a decision on who holds a group.
bool is_decision(std::string_view key);

wire::GroupDescriptionT to_wire(const ReplicaGroup& group);
ReplicaGroup from_wire(const wire::GroupDescriptionT& description);

/// @return "node/disk", as logs show it.
std::string text_of(const ReplicaIdentity& identity);
/// @return the same of each, with commas between.
std::string text_of(const std::vector<ReplicaIdentity>& identities);

/// Finds where a node hears its peers, from the current membership.
using AddressLookup = std::function<std::optional<PeerAddress>(const NodeId&)>;

}  // namespace madderdeck::ledger
