#include "object_store/stopping_handover.hpp"

#include <algorithm>

namespace madderdeck::object_store {
namespace {
constexpr Duration kCheckInterval = 100ms;
}  // namespace

stopping_handover::stopping_handover(Environment& environment, Counters& counters, DecisionLog& log,
                                     ledger::Replica& replica, const Controller& controller, std::size_t least_copies)
    : environment_(environment),
      counters_(counters),
      log_(log),
      replica_(replica),
      controller_(controller),
      least_copies_(least_copies) {}

void stopping_handover::start() {
  began_at_ = environment_.now();
  check();
}

std::size_t stopping_handover::pending_groups() const {
  const auto descriptions = replica_.descriptions();
  const auto pending = replica_.pending_handovers(least_copies_);
  const auto waits = [&](const ledger::pending_handover& one) {
    const auto description = descriptions.find(one.group);
    if (description == descriptions.end()) {
      return false;  // of a disk that this node had before
    }
    return !one.is_member || controller_.has_free_disk(description->second);
  };
  return static_cast<std::size_t>(std::count_if(pending.begin(), pending.end(), waits));
}

void stopping_handover::check() {
  const std::size_t groups = pending_groups();
  counters_["handover_groups_pending"] = static_cast<CounterValue>(groups);
  if (groups > 0 && !told_pending_) {
    told_pending_ = true;
    tell("handover_begun", groups);
  }
  if (groups == 0 && told_pending_) {
    told_pending_ = false;
    tell("handover_ended", groups);
  }
  replica_.ask_copy_status();
  environment_.after(kCheckInterval, lifetime_.guard([this] { check(); }));
}

void stopping_handover::tell(std::string_view event, std::size_t groups) const {
  log_.record(event, {{"groups", groups}, {"stopping_for_ms", (environment_.now() - began_at_) / 1ms}});
}

}  // namespace madderdeck::object_store
