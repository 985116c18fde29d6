#pragma once
/// @file Empties this node's disk when an operator asks for it: the node leaves its replica groups,
/// waits until all that it held stands elsewhere, and says so.

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
  /// @param least_copies how many other disks have to hold each record before this one may go: as many disks as may be
  ///        lost at once, and one more.
  Retirement(Environment& environment, Counters& counters, DecisionLog& log, membership::Membership& members,
             ledger::Replica& replica, ledger::Client& ledger, PlatformClient& platform, std::size_t least_copies);

  void start();
  /// @return whether the emptying of @p node is completed, as the platform tells or as this node itself is; nothing
  ///         where that is not known while the platform does not answer.
  std::optional<bool> is_emptied(const NodeId& node) const;

 private:
  void watch();
  /// Takes which nodes were emptied.
  void note_emptied(const config::Entry& entry);
  void begin();
  void check();
  /// Nobody waits for the disk any more: says so once a restart would know it, too.
  void complete();
  /// Finds out whether epochs name this disk in which it has consented to take a place, where nobody tells it.
  void settle_open_places(const std::vector<ledger::open_place>& open);
  void settle(const ledger::open_place& place);
  /// Says, now and then, what the node waits for.
  void tell_pending(const std::vector<ledger::pending_handover>& pending, std::size_t open_places);
  void report(RetirementState state);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  membership::Membership& members_;
  ledger::Replica& replica_;
  ledger::Client& ledger_;
  PlatformClient& platform_;
  const std::size_t least_copies_;
  std::uint64_t revision_ = 0;
  Timestamp told_pending_at_{};
  bool begun_ = false;
  bool completed_ = false;
  bool asked_store_ = false;  ///< It has told whether this node is to be emptied.
  std::map<ledger::open_place, Timestamp> open_since_;
  std::set<std::uint32_t> settling_;  ///< Groups.
  std::set<NodeId> emptied_;          ///< As the platform told.
  bool told_lately_ = false;          ///< The platform answered the latest watch that has ended.
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
