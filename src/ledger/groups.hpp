#pragma once
/// @file Which disks hold which records.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/strong_id.hpp"

namespace madderdeck::ledger {

/// A replica is a node together with the disk it had when it was admitted.
struct ReplicaIdentity {
  NodeId node;
  DiskId disk;
  bool operator==(const ReplicaIdentity&) const = default;
};

/// The replicas of one group; every change of them raises the epoch by one.
struct ReplicaGroup {
  std::uint64_t epoch = 0;
  std::vector<ReplicaIdentity> replicas;

  std::size_t majority() const { return replicas.size() / 2 + 1; }
  /// @return the position of @p identity, if it is a member.
  std::optional<std::uint32_t> index_of(const ReplicaIdentity& identity) const;
};

/// All groups. The number of groups is fixed when the fleet is founded.
struct GroupMap {
  std::vector<ReplicaGroup> groups;

  /// @return the group of @p key. Keys look like "kind/partition/..." and all keys of one
  ///         partition share a group, so that a job's records can be scanned in one place.
  std::uint32_t group_of(std::string_view key) const;
};

/// Finds where a node hears its peers, from the current membership.
using AddressLookup = std::function<std::optional<PeerAddress>(const NodeId&)>;

}  // namespace madderdeck::ledger
