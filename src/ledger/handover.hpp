#pragma once
/// @file Determines when the disk of a drained node may be removed: its records have to be held by enough other disks.

#include <cstddef>
#include <cstdint>
#include <set>

#include "ledger/groups.hpp"

namespace madderdeck::ledger {

/// @param replicas intended number of members of a group
/// @return how many disks have to hold each record: a majority. One copy then remains if as many disks are lost as a
///         group of that size tolerates.
constexpr std::size_t least_copies(std::size_t replicas) { return replicas / 2 + 1; }

/// A group that still keeps the disk of a former member from being removed.
struct pending_handover {
  std::uint32_t group = 0;
  std::uint64_t epoch = 0;
  std::size_t copies = 0;  ///< Number of members that hold all that it held.
  std::size_t needed = 0;  ///< Number of members that have to.
  bool is_member = false;  ///< This disk, or an earlier disk of its node, is still a member.
  auto operator<=>(const pending_handover&) const = default;
};

/// @param least_copies how many disks have to hold each record, so that one copy survives the tolerated losses
/// @return how many members of @p group have to hold what a former member held before its disk may be removed: all of
///         them, and no fewer than @p least_copies. A group that lost members therefore waits for their successors.
std::size_t copies_needed(const ReplicaGroup& group, std::size_t least_copies);

/// Counts the members that hold all that a former member held, within one epoch.
class handover_progress {
 public:
  /// Resets the count when a later epoch begins: it applies to one epoch.
  void begin_epoch() { copied_by_.clear(); }
  /// Records that the member with the given number holds everything.
  void note_copied(std::uint32_t member) { copied_by_.insert(member); }
  bool is_copied_by(std::uint32_t member) const { return copied_by_.contains(member); }
  std::size_t copies() const { return copied_by_.size(); }

 private:
  std::set<std::uint32_t> copied_by_;
};

}  // namespace madderdeck::ledger
