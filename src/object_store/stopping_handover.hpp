#pragma once
/// @file Hands the records of a node that was requested to stop over to remaining disks.

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "ledger/replica.hpp"
#include "object_store/controller.hpp"

namespace madderdeck::object_store {

/// The maintainers of the replica groups give the places of a stopping node to a spare disk. The node serves as a
/// source of copies until enough other disks hold its records. Runs from the stop request on. Single threaded.
class stopping_handover {
 public:
  /// @param min_copies how many other disks have to hold each record before this node may stop.
  stopping_handover(Environment& environment, Counters& counters, DecisionLog& log, ledger::Replica& replica,
                    Controller& controller, ledger::ReplicaIdentity self, std::size_t min_copies);

  void start();
  /// @return whether other nodes still have to copy records of this node. Groups in which it keeps its place do not
  ///         count.
  bool is_pending() const { return groups_pending_ > 0; }

 private:
  void check();
  std::size_t pending_groups() const;
  bool is_pending(const ledger::pending_handover& handover) const;
  void log_event(std::string_view event) const;

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  ledger::Replica& replica_;
  Controller& controller_;
  const ledger::ReplicaIdentity self_;
  const std::size_t min_copies_;
  std::size_t groups_pending_ = 0;
  Timestamp began_at_{};
  bool logged_pending_ = false;
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
