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
  Retirement(Environment& environment, Counters& counters, DecisionLog& log, membership::Membership& members,
             ledger::Replica& replica, PlatformClient& platform);

  void start();

 private:
  void watch();
  void begin();
  void check();
  void report(RetirementState state);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  membership::Membership& members_;
  ledger::Replica& replica_;
  PlatformClient& platform_;
  std::uint64_t revision_ = 0;
  bool begun_ = false;
  bool completed_ = false;
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
