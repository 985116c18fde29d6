#pragma once
/// @file Which disks that a group names are gone for good, as far as this node can know it: for operators only, nothing
/// is decided by it.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/environment.hpp"
#include "ledger/groups.hpp"

namespace madderdeck::ledger {

/// Why a disk is taken to be gone for good.
enum class gone_reason {
  disk_replaced,     ///< Its node runs, or ran, with another disk.
  emptied,           ///< The emptying of its node is completed.
  dead_as_it_left,   ///< Its node was being emptied and is dead; whether that was completed is not known here.
  dead_for_long,     ///< Its node has been dead for longer than the policy's time.
  unknown_for_long,  ///< The same time has passed without word of its node.
};

/// @return the name that logs and the command line show.
const char* name_of(gone_reason reason);

/// A disk that will not come back.
struct gone_disk {
  ReplicaIdentity identity;
  gone_reason reason = gone_reason::disk_replaced;
  std::string why;  ///< For operators.
};

/// @return "node/disk reason" of each.
std::string text_of(const std::vector<gone_disk>& disks);

/// What a node knows of disks and machines.
struct disk_knowledge {
  /// What is believed of a node; null when it is not known.
  std::function<const wire::MemberT*(const NodeId&)> member;
  /// Whether a later epoch has named the node with another disk; may be empty.
  std::function<bool(const ReplicaIdentity&)> is_obsolete;
  /// Without word of a node for so long its disk is taken to be gone; empty: that is not known.
  std::function<Duration()> patience;
  /// Whether the emptying of a node is completed; nothing, or empty: this node does not hear of that.
  std::function<std::optional<bool>(const NodeId&)> is_emptied;
};

/// Keeps since when the nodes that groups name have been away. Owned by one node, single threaded.
class gone_disks {
 public:
  gone_disks(Environment& environment, disk_knowledge known);

  disk_knowledge& known() { return known_; }
  /// Notes which nodes that @p groups name are away now; to be called regularly.
  void look(const std::vector<ReplicaGroup>& groups);
  /// @return the disks that @p group names, members and leaving ones, that are gone for good.
  std::vector<gone_disk> named_by(const ReplicaGroup& group) const;

 private:
  std::optional<gone_disk> judge(const ReplicaIdentity& identity) const;
  /// @return whether @p node is dead or not known.
  bool is_away(const NodeId& node) const;
  Duration away_for(const NodeId& node) const;

  Environment& environment_;
  disk_knowledge known_;
  std::map<NodeId, Timestamp> away_since_;
};

}  // namespace madderdeck::ledger
