#pragma once
/// @file Drains this node's disk when an operator requests it: the node leaves its replica groups,
/// waits until other disks hold all of its records, and reports completion.

#include <optional>
#include <set>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "ledger/client.hpp"
#include "ledger/replica.hpp"
#include "membership/membership.hpp"
#include "object_store/platform_client.hpp"

namespace madderdeck::object_store {

/// Runs on ledger nodes. Single threaded.
class Retirement {
 public:
  /// @param min_copies how many other disks have to hold each record before this disk may be removed: the number of
  ///        disks that may be lost at once, plus one.
  Retirement(Environment& environment, Counters& counters, DecisionLog& log, membership::Membership& members,
             ledger::Replica& replica, ledger::Client& ledger, PlatformClient& platform, std::size_t min_copies);

  void start();
  /// @return whether the draining of @p node is completed, as reported by the platform or known for this node itself;
  ///         nothing if that is not known because the platform does not reply.
  std::optional<bool> is_drained(const NodeId& node) const;

 private:
  void watch();
  /// Updates the set of drained nodes.
  void update_drained(const config::Entry& entry);
  void begin();
  void check();
  /// Reports completion, after persisting it so that it survives a restart; no group needs the disk any more.
  void complete();
  /// Determines whether epochs in which this disk consented to take a place name it, if no proposer reports that in
  /// time.
  void settle_open_places(const std::vector<ledger::open_place>& open);
  void settle(const ledger::open_place& place);
  /// Logs from time to time which groups the node waits for.
  void log_pending(const std::vector<ledger::pending_handover>& pending, std::size_t open_places);
  void report(RetirementState state);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  membership::Membership& members_;
  ledger::Replica& replica_;
  ledger::Client& ledger_;
  PlatformClient& platform_;
  const std::size_t min_copies_;
  std::uint64_t revision_ = 0;
  Timestamp pending_logged_at_{};
  bool begun_ = false;
  bool completed_ = false;
  bool store_replied_ = false;  ///< The store has reported whether this node is to be drained.
  std::map<ledger::open_place, Timestamp> open_since_;
  std::set<std::uint32_t> settling_;   ///< Groups with a settle request in progress.
  std::set<NodeId> drained_;           ///< Drained nodes, as reported by the platform.
  bool last_watch_succeeded_ = false;  ///< The latest finished watch succeeded.
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
