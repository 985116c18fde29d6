#pragma once
/// @file Hands the records of a node that was told to stop over to disks that stay.

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "ledger/replica.hpp"
#include "object_store/controller.hpp"

namespace madderdeck::object_store {

/// Whoever looks after the replica groups gives the places of a node that stops to free disks. The node serves as a
/// source of copies until as many disks hold its records as have to. Runs from the moment it was told to stop. Single
/// threaded.
class stopping_handover {
 public:
  /// @param least_copies how many other disks have to hold each record before this one may go.
  stopping_handover(Environment& environment, Counters& counters, DecisionLog& log, ledger::Replica& replica,
                    const Controller& controller, std::size_t least_copies);

  void start();
  /// @return whether records of this node are still to be copied by others. Groups without a free disk do not count:
  ///         this node keeps its places there.
  bool is_pending() const { return pending_groups() > 0; }

 private:
  void check();
  std::size_t pending_groups() const;
  void tell(std::string_view event, std::size_t groups) const;

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  ledger::Replica& replica_;
  const Controller& controller_;
  const std::size_t least_copies_;
  Timestamp began_at_{};
  bool told_pending_ = false;
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
