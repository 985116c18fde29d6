#include "object_store/stopping_handover.hpp"

#include <algorithm>

namespace madderdeck::object_store {
namespace {
constexpr Duration kCheckInterval = 100ms;
/// By then, a proposer that offered the disk a place before the stop request has the epoch decided.
constexpr Duration kOpenPlaceTimeout = 1s;
}  // namespace

stopping_handover::stopping_handover(Environment& environment, Counters& counters, DecisionLog& log,
                                     ledger::Replica& replica, Controller& controller, ledger::ReplicaIdentity self,
                                     std::size_t min_copies)
    : environment_(environment),
      counters_(counters),
      log_(log),
      replica_(replica),
      controller_(controller),
      self_(std::move(self)),
      min_copies_(min_copies) {}

void stopping_handover::start() {
  began_at_ = environment_.now();
  check();
}

bool stopping_handover::is_pending(const ledger::pending_handover& handover) const {
  return !handover.is_member || controller_.wants_place_of(handover.group, self_);
}

std::size_t stopping_handover::pending_groups() const {
  const auto pending = replica_.pending_handovers(min_copies_);
  const auto handovers = static_cast<std::size_t>(
      std::count_if(pending.begin(), pending.end(), [this](const auto& one) { return is_pending(one); }));
  const bool awaits_decisions = environment_.now() - began_at_ < kOpenPlaceTimeout;
  return handovers + (awaits_decisions ? replica_.open_places().size() : 0);
}

void stopping_handover::check() {
  groups_pending_ = pending_groups();
  counters_["handover_groups_pending"] = static_cast<CounterValue>(groups_pending_);
  if (is_pending() != logged_pending_) {
    logged_pending_ = is_pending();
    log_event(logged_pending_ ? "handover_begun" : "handover_ended");
  }
  replica_.ask_copy_status();
  environment_.after(kCheckInterval, lifetime_.guard([this] { check(); }));
}

void stopping_handover::log_event(std::string_view event) const {
  log_.record(event, {{"groups", groups_pending_}, {"stopping_for_ms", (environment_.now() - began_at_) / 1ms}});
}

}  // namespace madderdeck::object_store
