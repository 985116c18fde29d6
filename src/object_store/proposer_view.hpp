#pragma once
/// @file A controller's view of the disks that it named in a proposed epoch of a group, and the age of that view. For
/// diagnosis only; no decision uses it.

#include <optional>
#include <string>
#include <vector>

#include "ledger/groups.hpp"
#include "membership/membership.hpp"

namespace madderdeck::object_store {

/// The state of one disk in the proposer's view.
struct disk_view {
  ledger::ReplicaIdentity identity;
  std::optional<wire::MemberState> state;             ///< Of its node; nothing: the proposer did not know that node.
  bool retiring = false;                              ///< Its node was known to be draining.
  DiskId other_disk;                                  ///< The disk of its node, if that was another one.
  std::optional<membership::member_contact> contact;  ///< Latest report about its node.

  /// @return "node/disk state age", as "b/disk-b retiring 40ms".
  std::string text() const;
};

/// The proposer's view of the disks at the time of the proposal.
struct proposer_view {
  Timestamp taken_at{};
  std::vector<disk_view> disks;

  /// @return the age of the oldest report that the view is based on; nothing if a disk's node was not known.
  std::optional<Duration> age() const;
  /// @return the texts of the disks, separated by commas.
  std::string text() const;
};

/// @return the state in @p members of the disks that @p next names.
proposer_view view_of(const ledger::ReplicaGroup& next, const membership::Membership& members, Timestamp now);

}  // namespace madderdeck::object_store
