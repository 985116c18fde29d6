#pragma once
/// @file How the copy of a group to this disk goes: for operators only, nothing is decided by it.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/environment.hpp"
#include "ledger/groups.hpp"

namespace madderdeck::ledger {

/// What one source of a copy has sent.
struct source_progress {
  std::uint64_t pages = 0;    ///< Of ballots or of values.
  std::uint64_t records = 0;  ///< Values.
  std::uint64_t bytes = 0;    ///< Of these values.
};

/// The copy of one group. A copy that starts again before the replica votes, also in a later epoch, is the same one.
struct copy_progress {
  Timestamp began_at{};
  bool to_vote = false;  ///< The replica does not vote before it is done; otherwise it catches up.
  std::uint64_t restarts = 0;
  std::map<ReplicaIdentity, source_progress> sources;

  /// @return what has come from all sources together.
  source_progress total() const;
};

/// A source whose pages have not all come.
struct awaited_source {
  ReplicaIdentity identity;
  Timestamp asked_at{};  ///< For the present page; zero: not asked yet.
};

/// What a replica's part in a group is.
enum class replica_role {
  voting,
  copying,    ///< Its disk is new in the group: it votes once it has copied.
  returning,  ///< It is copied from, and votes again once it has copied.
  former,     ///< No member any more; copied from until it is gone.
  left,       ///< The group names its disk no more.
};

/// Why a replica does not vote before it has copied.
enum class copy_reason {
  none,
  new_disk,             ///< Its disk holds nothing of the group yet, or not all.
  not_copied_before,    ///< It had not copied to the end in the epoch before.
  epochs_missed,        ///< In those it has not seen its place may have been another's.
  was_former,           ///< It had left the group.
  members_not_covered,  ///< A member has gone while what a leaving one held was not here.
};

/// A replica's step into an epoch, or its return to it when its process starts.
struct epoch_step {
  std::uint32_t group = 0;
  std::uint64_t from_epoch = 0;  ///< The same when its process starts; 0: none.
  const ReplicaGroup& description;
  replica_role role = replica_role::voting;
  copy_reason reason = copy_reason::none;
};

/// @return the names that logs show.
const char* name_of(replica_role role);
const char* name_of(copy_reason reason);

/// @return as many bytes in few characters: "812 KB", "3.1 MB".
std::string short_bytes(std::uint64_t bytes);

}  // namespace madderdeck::ledger
