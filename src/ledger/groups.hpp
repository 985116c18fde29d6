#pragma once
/// @file Replica groups: which disks hold which records.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/strong_id.hpp"
#include "wire/messages_generated.h"

namespace madderdeck::ledger {

/// A replica is a node together with the disk that it had when it was admitted.
struct ReplicaIdentity {
  NodeId node;
  DiskId disk;
  auto operator<=>(const ReplicaIdentity&) const = default;
};

/// The replicas of one group. Every change of them increments the epoch.
struct ReplicaGroup {
  std::uint64_t epoch = 0;
  std::vector<ReplicaIdentity> replicas;
  /// Former members that still hold records which the others may lack; copied from before they are removed.
  std::vector<ReplicaIdentity> leaving;

  std::size_t majority() const { return replicas.size() / 2 + 1; }
  /// @return the members and the leaving former members.
  std::vector<ReplicaIdentity> all() const;
  /// @return the position of @p identity, if it is a member.
  std::optional<std::uint32_t> index_of(const ReplicaIdentity& identity) const;
  /// @return the source of copies with the given number: replicas are numbered first, then leaving members.
  const ReplicaIdentity& source(std::uint32_t number) const {
    return number < replicas.size() ? replicas[number] : leaving.at(number - replicas.size());
  }
  /// @return the source number of @p identity, if it is one.
  std::optional<std::uint32_t> source_number_of(const ReplicaIdentity& identity) const;
  bool operator==(const ReplicaGroup&) const = default;
};

/// All groups. The number of groups is fixed when the fleet is founded.
struct GroupMap {
  std::vector<ReplicaGroup> groups;

  /// @return the group of @p key. Keys have the form "kind/partition/..." and all keys of one partition share a group,
  ///         so that a job's records can be scanned in one place.
  std::uint32_t group_of(std::string_view key) const;
};

/// Returns how many of @p members have to agree on their group's next epoch.
/// @param one_lost whether the disk of one of them is proven lost. A lost disk no longer takes part, so that half of an
///        even group is enough: any two halves of the remaining members intersect, and each intersects every majority.
std::size_t decision_quorum(std::size_t members, bool one_lost);

/// Which of a group's members must agree on its next epoch. All members may vote on it, whatever they hold. However,
/// either as many as have to agree must be admitted, so that together they hold all confirmed records, or one of them
/// must be whole, that is, hold every confirmed record.
struct EpochRule {
  std::size_t quorum = 0;               ///< Number of members that must agree; 0: the majority.
  std::optional<ReplicaIdentity> sole;  ///< Only the answer of this member counts, and it has to be whole.
  /// A majority has to be whole: records on a disk that is given up may be held by no other disk.
  bool whole_majority = false;
  std::size_t least_whole = 0;  ///< With whole_majority: minimum number of whole members, however small the group is.
  /// Member that leaves since its node is being drained or shut down; it does not count among the whole ones.
  std::optional<ReplicaIdentity> let_go;
  /// Member considered unreachable or lost; an answer from it ends the decision.
  std::optional<ReplicaIdentity> given_up;
};

/// @return the key of the record by which the members of epoch - 1 decide the replicas of @p group at @p epoch.
std::string group_config_key(std::uint32_t group, std::uint64_t epoch);

/// @return whether @p key is the key of a decision about a group's replicas.
bool is_decision(std::string_view key);

wire::GroupDescriptionT to_wire(const ReplicaGroup& group);
ReplicaGroup from_wire(const wire::GroupDescriptionT& description);

/// @return "node/disk" as used in logs.
std::string text_of(const ReplicaIdentity& identity);
/// @return the same for each of @p identities, separated by commas.
std::string text_of(const std::vector<ReplicaIdentity>& identities);

/// Finds a node's peer address in the current membership table.
using AddressLookup = std::function<std::optional<PeerAddress>(const NodeId&)>;

}  // namespace madderdeck::ledger
