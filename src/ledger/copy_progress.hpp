#pragma once
/// @file Progress of copying a group to this disk. Reported to operators only; no decision depends on it.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/environment.hpp"
#include "ledger/groups.hpp"

namespace madderdeck::ledger {

/// What one source of a copy has sent so far.
struct source_progress {
  std::uint64_t pages = 0;    ///< Pages of ballots or of values.
  std::uint64_t records = 0;  ///< Number of values.
  std::uint64_t bytes = 0;    ///< Size of these values.
};

/// Progress of copying one group. A copy that restarts before the replica votes, also in a later epoch, counts as the
/// same copy.
struct copy_progress {
  Timestamp began_at{};
  bool to_vote = false;  ///< The replica does not vote until this copy is complete; otherwise the replica votes already
                         ///< and catches up.
  std::uint64_t restarts = 0;
  std::map<ReplicaIdentity, source_progress> sources;

  /// @return the totals over all sources.
  source_progress total() const;
};

/// A source that has not sent all of its pages yet.
struct awaited_source {
  ReplicaIdentity identity;
  Timestamp asked_at{};  ///< When the current page was requested; zero: not requested yet.
};

/// The role of a replica in a group.
enum class replica_role {
  voting,
  copying,    ///< Its disk is new in the group; it votes once it has copied the records.
  returning,  ///< Others copy from it; it votes again once it has copied the records.
  former,     ///< No longer a member; others copy from it until the disk is removed.
  left,       ///< The group no longer names its disk.
};

/// Why a replica has to copy the records before it votes.
enum class copy_reason {
  none,
  new_disk,             ///< Its disk holds none or not all of the group's records.
  not_copied_before,    ///< Its copy was incomplete in the previous epoch.
  epochs_missed,        ///< In the epochs that it missed its place may have belonged to another disk.
  was_former,           ///< It had left the group before.
  members_not_covered,  ///< A member is gone, and this replica lacked what a leaving member held.
};

/// A replica's transition to an epoch, or its return to an epoch when its process starts.
struct epoch_step {
  std::uint32_t group = 0;
  std::uint64_t from_epoch = 0;  ///< Equal to the new epoch when its process starts; 0: none.
  const ReplicaGroup& description;
  replica_role role = replica_role::voting;
  copy_reason reason = copy_reason::none;
};

/// @return the names used in logs.
const char* name_of(replica_role role);
const char* name_of(copy_reason reason);

/// @return the size in short form: "812 KB", "3.1 MB".
std::string short_bytes(std::uint64_t bytes);

}  // namespace madderdeck::ledger
