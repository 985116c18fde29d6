#pragma once
/// @file Changes of replica groups that a controller sees wanted and not made.

#include <cstdint>
#include <map>
#include <string>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "common/error.hpp"
#include "ledger/epoch_change.hpp"

namespace madderdeck::object_store {

/// Who makes changes of groups, as a controller sees it.
struct change_makers {
  std::string first;      ///< The nodes that rank first, with commas between.
  std::int64_t rank = 0;  ///< Of this node; -1: it takes no new work.
};

/// Which turns of a node are its own at a change that stays undone.
struct proposal_turns {
  std::size_t first = 0;  ///< The number of its first one.
  std::size_t cycle = 1;  ///< From one of its own to the next.
};

/// Keeps since when each change has been wanted and what became of this node's own attempts at it, and tells operators
/// of those that stay undone. Single threaded.
class pending_changes {
 public:
  pending_changes(Environment& environment, Counters& counters, DecisionLog& log)
      : environment_(environment), counters_(counters), log_(log) {}

  /// The group is wanted to become what @p change says.
  void note_wanted(std::uint32_t group, const ledger::epoch_change& change);
  /// Nothing is to be changed about the group.
  void note_calm(std::uint32_t group) { pending_.erase(group); }
  /// This node tries to have the change made.
  void note_attempt(std::uint32_t group);
  /// What became of this node's attempt; nothing is kept where the group has moved on.
  void note_outcome(std::uint32_t group, const Error& why);
  /// @return for how long the present change of the group has been wanted; zero where none is.
  Duration wanted_for(std::uint32_t group) const;
  /// @return whether one of this node's @p turns at the group's change has begun that it has not taken yet; it has
  /// taken
  ///         it with that. The first turn of all begins when the change has stayed undone for a while.
  bool take_turn(std::uint32_t group, const proposal_turns& turns);
  /// Tells of those whose line is due, of a few at a time.
  void tell(const change_makers& makers);

 private:
  struct pending_change {
    std::uint64_t from_epoch = 0;
    std::string reason;
    Timestamp since{};
    Timestamp tell_at{};
    Duration pause{};
    unsigned attempts = 0;  ///< Of this node.
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
