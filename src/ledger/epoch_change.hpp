#pragma once
/// @file Which disks ought to hold a replica group next, as one who looks after the group believes the fleet to be.

#include <optional>
#include <string>
#include <vector>

#include "ledger/groups.hpp"

namespace madderdeck::ledger {

/// How a replica of a group stands.
enum class replica_state {
  present,
  disk_replaced,  ///< Its node runs with another disk: the old one will never vote again.
  missing,        ///< Nothing has been heard of its node for long.
  retiring,       ///< An operator wants its node emptied.
  stopping,       ///< Its process was told to stop, and may not come back.
};

/// @return the name that logs show.
const char* name_of(replica_state state);

/// A disk that may hold replicas.
struct disk_place {
  ReplicaIdentity identity;
  std::string zone;
  bool declined = false;  ///< It has refused a place, or not answered, a short time ago: others come first.
};

/// What is believed of the fleet. It may be out of date.
class fleet_view {
 public:
  virtual ~fleet_view() = default;

  virtual replica_state state_of(const ReplicaIdentity& replica) = 0;
  /// @return whether the node of @p replica is up and has that disk.
  virtual bool is_there(const ReplicaIdentity& replica) const = 0;
  /// @return whether the disk of @p leaver, a former member, is surely gone: nobody waits for what it holds any more.
  virtual bool has_gone(const ReplicaIdentity& leaver) = 0;
  /// @return whether an operator wants @p node emptied, whatever disk it has.
  virtual bool is_retiring(const NodeId& node) const = 0;
  /// @return the disks that take new records.
  virtual std::vector<disk_place> places() const = 0;
  /// @return whether the disk @p spare, one of places(), has no place in any group but those that @p stopping had: it
  ///         came to replace that node, or serves nobody.
  virtual bool is_spare_for(const ReplicaIdentity& spare, const ReplicaIdentity& stopping) const = 0;
};

/// The next description of a group and who has to agree on it.
struct epoch_change {
  ReplicaGroup next;
  EpochRule rule;
  std::string reason;  ///< For operators: the member and how it stands, or what else the group needs.
};

/// Which disks no group takes in, as rules that the simulation can leave out.
struct change_guards {
  bool new_members_consent = true;       ///< No disk becomes a member without its own word.
  bool leavers_stay_out = true;          ///< Whoever stands among a group's leaving members is no substitute.
  bool members_miss_silent_ones = true;  ///< No member is given up as silent that another one knows to be there.
};

/// @param replicas how many a group ought to have.
/// @return the next description of @p group, if there is a reason for one: one replacement a step, the next waits for a
///         new look at the group.
std::optional<epoch_change> wanted_change(const ReplicaGroup& group, fleet_view& view, std::size_t replicas,
                                          const change_guards& guards = {});

}  // namespace madderdeck::ledger
