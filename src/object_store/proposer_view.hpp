#pragma once
/// @file What a controller believed of the disks that it named in a group's next description, and how old that belief
/// was: for operators only, nothing is decided by it.

#include <optional>
#include <string>
#include <vector>

#include "ledger/groups.hpp"
#include "membership/membership.hpp"

namespace madderdeck::object_store {

/// One disk as its proposer believed it to stand.
struct believed_disk {
  ledger::ReplicaIdentity identity;
  std::optional<wire::MemberState> state;       ///< Of its node; nothing: the proposer did not know that node.
  bool retiring = false;                        ///< Its node was taken to be emptied.
  DiskId other_disk;                            ///< The disk that its node ran with, if that was another one.
  std::optional<membership::member_word> word;  ///< The latest one of its node.

  /// @return "node/disk state age", as "b/disk-b retiring 40ms".
  std::string text() const;
};

/// What a proposer believed of the members when it proposed.
struct proposer_view {
  Timestamp taken_at{};
  std::vector<believed_disk> disks;

  /// @return the age of the oldest word that it rests on; nothing where a disk's node was not known.
  std::optional<Duration> age() const;
  /// @return the text of each disk, with commas between.
  std::string text() const;
};

/// @return what @p members says of the disks that @p next names.
proposer_view view_of(const ledger::ReplicaGroup& next, const membership::Membership& members, Timestamp now);

}  // namespace madderdeck::object_store
