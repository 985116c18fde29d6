#pragma once
/// @file Determines which disks should hold a replica group in its next epoch, from what the node that maintains the
/// group believes about the fleet.

#include <optional>
#include <string>
#include <vector>

#include "ledger/groups.hpp"

namespace madderdeck::ledger {

/// State of a replica of a group.
enum class replica_state {
  present,
  disk_replaced,  ///< Its node runs with another disk; the old disk will never vote again.
  missing,        ///< Its node has been unreachable for long.
  retiring,       ///< An operator has requested to drain its node.
  stopping,       ///< Its process is shutting down and may not restart.
};

/// @return the name used in logs.
const char* name_of(replica_state state);

/// A disk that may hold replicas.
struct disk_place {
  ReplicaIdentity identity;
  std::string zone;
  bool declined = false;  ///< It recently declined a place or did not answer; other disks are preferred.
};

/// This node's view of the fleet, which may be out of date.
class fleet_view {
 public:
  virtual ~fleet_view() = default;

  virtual replica_state state_of(const ReplicaIdentity& replica) = 0;
  /// @return whether the node of @p replica is up and uses that disk.
  virtual bool is_there(const ReplicaIdentity& replica) const = 0;
  /// @return whether the disk of @p leaver, a former member, is gone for certain, so that nothing waits for what it
  ///         holds.
  virtual bool is_permanently_gone(const ReplicaIdentity& leaver) = 0;
  /// @return whether an operator has requested to drain @p node, whichever disk it has.
  virtual bool is_retiring(const NodeId& node) const = 0;
  /// @return the disks that accept new records.
  virtual std::vector<disk_place> places() const = 0;
  /// @return whether the disk @p spare, one of places(), has no place in any group except those of @p stopping: it was
  ///         added to replace that node, or is unused.
  virtual bool is_spare_for(const ReplicaIdentity& spare, const ReplicaIdentity& stopping) const = 0;
};

/// The next description of a group and which members have to agree on it.
struct epoch_change {
  ReplicaGroup next;
  EpochRule rule;
  std::string reason;  ///< For operators: the member and its state, or what else the group needs.
};

/// Rules for membership changes. The simulation can turn each of them off.
struct change_guards {
  bool new_members_consent = true;      ///< A disk becomes a member only with its own consent.
  bool exclude_leaving_members = true;  ///< A leaving member of a group is never a substitute in that group.
  bool protect_members_seen_up = true;  ///< A member that another member considers up is not given up as unresponsive.
};

/// @param replicas intended number of replicas of a group
/// @return the next description of @p group if a change is needed. Each step makes one replacement; the next
///         replacement waits for the group to be examined again.
std::optional<epoch_change> next_epoch_change(const ReplicaGroup& group, fleet_view& view, std::size_t replicas,
                                              const change_guards& guards = {});

}  // namespace madderdeck::ledger
