#pragma once
/// @file Determines which disks named by a group are permanently gone, as far as this node knows. Reported to operators
/// only; no decision depends on it.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/environment.hpp"
#include "ledger/groups.hpp"

namespace madderdeck::ledger {

/// Why a disk is considered permanently gone.
enum class gone_reason {
  disk_replaced,    ///< Its node runs, or last ran, with another disk.
  emptied,          ///< Its node has been drained completely.
  dead_as_it_left,  ///< Its node was being drained and is dead; this node does not know whether draining was completed.
  dead_for_long,    ///< Its node has been dead for longer than the policy allows.
  unknown_for_long,  ///< Its node has been unknown for the same time.
};

/// @return the name used in logs and by the command line tool.
const char* name_of(gone_reason reason);

/// A disk that is considered permanently gone.
struct gone_disk {
  ReplicaIdentity identity;
  gone_reason reason = gone_reason::disk_replaced;
  std::string why;  ///< For operators.
};

/// @return "node/disk reason" of each disk.
std::string text_of(const std::vector<gone_disk>& disks);

/// Sources of what this node knows about disks and machines.
struct disk_knowledge {
  /// Returns the membership entry of a node; null when the node is not known.
  std::function<const wire::MemberT*(const NodeId&)> member;
  /// Returns whether a later epoch names the node with another disk; may be empty.
  std::function<bool(const ReplicaIdentity&)> is_obsolete;
  /// Time without contact after which a node's disk is considered gone; empty: not known.
  std::function<Duration()> patience;
  /// Returns whether a node has been drained; an empty result or function means that this node is not informed.
  std::function<std::optional<bool>(const NodeId&)> is_drained;
};

/// Tracks since when the nodes named by groups have been away. Owned by one node, single-threaded.
class gone_disks {
 public:
  gone_disks(Environment& environment, disk_knowledge known);

  disk_knowledge& known() { return known_; }
  /// Records which nodes named by @p groups are away now; has to be called regularly.
  void look(const std::vector<ReplicaGroup>& groups);
  /// @return the disks named by @p group, members and leaving members, that are permanently gone.
  std::vector<gone_disk> named_by(const ReplicaGroup& group) const;

 private:
  std::optional<gone_disk> evaluate(const ReplicaIdentity& identity) const;
  /// @return whether @p node is dead or not known.
  bool is_away(const NodeId& node) const;
  Duration away_for(const NodeId& node) const;

  Environment& environment_;
  disk_knowledge known_;
  std::map<NodeId, Timestamp> away_since_;
};

}  // namespace madderdeck::ledger
