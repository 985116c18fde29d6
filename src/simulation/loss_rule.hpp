#pragma once
/// @file Which disks may be lost: the rule of the users' pages for losses that overlap.

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "common/environment.hpp"

namespace madderdeck::simulation {

/// Machines may be away in any number, but no more disks than tolerated are lost at once. A lost disk counts until all
/// machines with a disk have been back together for the time that a machine is given to catch up.
class LossRule {
 public:
  LossRule(std::size_t tolerated, Duration catch_up) : tolerated_(tolerated), catch_up_(catch_up) {}

  /// A machine with a disk is seen.
  /// @param back whether it runs and reaches all others
  /// @param disturbed_at when it last started, woke or was cut off
  void observe(unsigned node, bool back, Timestamp disturbed_at, Timestamp now);
  /// A machine was taken away; its disk counts as lost until its successor has caught up.
  void machine_removed(unsigned node);
  void disk_lost(unsigned node, Timestamp now);
  /// A machine was taken away that had said that its disk was emptied: no loss.
  void machine_departed(unsigned node) { machines_.erase(node); }
  /// Forgets disks that have had their time.
  void expire(Timestamp now);

  /// @return whether the disk of @p node may be lost now.
  bool may_lose(unsigned node) const;
  /// @return since when all machines have been back; nothing while one is away.
  std::optional<Timestamp> all_back_since() const;

 private:
  struct Standing {
    bool back = true;
    Timestamp since{};  ///< When it came back.
  };
  const std::size_t tolerated_;
  const Duration catch_up_;
  std::map<unsigned, Standing> machines_;
  std::set<unsigned> lost_;
};

}  // namespace madderdeck::simulation
