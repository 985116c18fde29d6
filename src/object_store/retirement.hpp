#pragma once
/// @file Empties this node's disk when an operator asks for it: the node leaves its replica groups,
/// waits until all that it held stands elsewhere, and says so.

#include "common/counters.hpp"
#include "common/decision_log.hpp"
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
             ledger::Replica& replica, PlatformClient& platform, std::size_t least_copies);

  void start();

 private:
  void watch();
  void begin();
  void check();
  /// Says, now and then, what the node waits for.
  void tell_pending(const std::vector<ledger::pending_handover>& pending);
  void report(RetirementState state);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  membership::Membership& members_;
  ledger::Replica& replica_;
  PlatformClient& platform_;
  const std::size_t least_copies_;
  std::uint64_t revision_ = 0;
  Timestamp told_pending_at_{};
  bool begun_ = false;
  bool completed_ = false;
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
