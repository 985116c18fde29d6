#pragma once
/// @file When the disk of a node that is to be emptied may go: what it holds has to stand on enough other disks.

#include <cstddef>
#include <cstdint>
#include <set>

#include "ledger/groups.hpp"

namespace madderdeck::ledger {

/// @param replicas how many members a group ought to have.
/// @return how many disks have to hold each record: as many as a majority has. One is left when as many disks are lost
///         as a group of that size bears.
constexpr std::size_t least_copies(std::size_t replicas) { return replicas / 2 + 1; }

/// What a former member still waits for before its disk may go.
struct pending_handover {
  std::uint32_t group = 0;
  std::uint64_t epoch = 0;
  std::size_t copies = 0;  ///< Members that hold all that it held.
  std::size_t needed = 0;  ///< Members that have to.
  bool is_member = false;  ///< It, or a disk that its node had before, is a member still.
  auto operator<=>(const pending_handover&) const = default;
};

/// @param least_copies how many disks have to hold each record, so that the losses that are to be borne leave one.
/// @return how many members of @p group have to hold what a former member held before its disk may go: all of them, and
///         no fewer than @p least_copies. A group that lost members waits for their successors.
std::size_t copies_needed(const ReplicaGroup& group, std::size_t least_copies);

/// Counts the members that hold all that a former member held, within one epoch.
class handover_progress {
 public:
  /// A later epoch has begun: what was counted belongs to the one before.
  void begin_epoch() { copied_by_.clear(); }
  /// The member with that number holds everything.
  void note_copied(std::uint32_t member) { copied_by_.insert(member); }
  bool is_copied_by(std::uint32_t member) const { return copied_by_.contains(member); }
  std::size_t copies() const { return copied_by_.size(); }

 private:
  std::set<std::uint32_t> copied_by_;
};

}  // namespace madderdeck::ledger
