#pragma once
/// @file Changes of replica groups that are wanted in a controller's view and not made yet.

#include <cstdint>
#include <map>
#include <string>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "common/error.hpp"
#include "ledger/epoch_change.hpp"

namespace madderdeck::object_store {

/// The maintainers of the groups in a controller's view.
struct change_makers {
  std::string first;      ///< The nodes that rank first, separated by commas.
  std::int64_t rank = 0;  ///< Of this node; -1: it accepts no new work.
};

/// The turns in which a node may propose a change that stays pending.
struct proposal_turns {
  std::size_t first = 0;  ///< Number of the node's first turn.
  std::size_t cycle = 1;  ///< Number of turns from one of the node's turns to the next.
};

/// Records since when each change has been wanted and the outcome of this node's attempts at it, and logs changes that
/// stay pending. Single threaded.
class pending_changes {
 public:
  pending_changes(Environment& environment, Counters& counters, DecisionLog& log)
      : environment_(environment), counters_(counters), log_(log) {}

  /// Records that @p change of the group is wanted.
  void note_wanted(std::uint32_t group, const ledger::epoch_change& change);
  /// Records that no change of the group is wanted.
  void note_unwanted(std::uint32_t group) { pending_.erase(group); }
  /// Records that this node proposes the change.
  void note_attempt(std::uint32_t group);
  /// Records the error that ended this node's attempt; ignored if the change is not pending any more.
  void note_outcome(std::uint32_t group, const Error& why);
  /// @return for how long the current change of the group has been wanted; zero if none is.
  Duration wanted_for(std::uint32_t group) const;
  /// Takes this node's turn to propose the group's change, if one of its @p turns has begun that it has not taken yet.
  /// The first turn begins 1 s after the change became wanted.
  /// @return whether it took a turn.
  bool take_turn(std::uint32_t group, const proposal_turns& turns);
  /// Logs the changes whose log line is due, a limited number at a time.
  void log_due(const change_makers& makers);

 private:
  struct pending_change {
    std::uint64_t from_epoch = 0;
    std::string reason;
    Timestamp since{};
    Timestamp log_at{};
    Duration log_interval{};
    unsigned attempts = 0;  ///< By this node.
    Timestamp attempted_at{};
    std::size_t turns_taken = 0;
    std::string outcome = "none";
    std::string detail;
  };

  void record(std::uint32_t group, const pending_change& change, const change_makers& makers) const;

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  std::map<std::uint32_t, pending_change> pending_;
};

}  // namespace madderdeck::object_store
