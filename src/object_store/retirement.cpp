#include "object_store/retirement.hpp"

namespace madderdeck::object_store {
namespace {
/// The store is asked by every ledger node, and each call has its price: as long as the store lets a watch wait,
/// nearly.
constexpr Duration kWatchWait = 25s;
constexpr Duration kStoreRetry = 300ms;
constexpr Duration kCheckInterval = 200ms;
constexpr Duration kTellPending = 2s;  ///< Between two lines on what is waited for.
}  // namespace

Retirement::Retirement(Environment& environment, Counters& counters, DecisionLog& log, membership::Membership& members,
                       ledger::Replica& replica, PlatformClient& platform, std::size_t least_copies)
    : environment_(environment),
      counters_(counters),
      log_(log),
      members_(members),
      replica_(replica),
      platform_(platform),
      least_copies_(least_copies) {}

void Retirement::start() { watch(); }

void Retirement::watch() {
  const auto take = [this](Result<ChangeList> result) {
    if (!succeeded(result)) {
      environment_.after(kStoreRetry, lifetime_.guard([this] { watch(); }));
      return;
    }
    const ChangeList& changes = value_of(result);
    revision_ = changes.up_to;
    for (const config::Entry& entry : changes.entries) {
      if (entry.key.name == members_.self().id && !entry.deleted) {
        begin();
      }
    }
    watch();
  };
  platform_.watch_retirements(revision_, kWatchWait, lifetime_.guard(take));
}

void Retirement::begin() {
  if (begun_) {
    return;
  }
  begun_ = true;
  counters_["retirements_total"]++;
  log_.record("retirement_begun", {{"node", members_.self().id}, {"revision", revision_}});
  members_.retire();
  report(RetirementState::running);
  check();
}

void Retirement::check() {
  if (completed_) {
    return;
  }
  const std::vector<ledger::pending_handover> pending = replica_.pending_handovers(least_copies_);
  counters_["retirement_groups_pending"] = static_cast<CounterValue>(pending.size());
  if (replica_.left_all_groups(least_copies_)) {
    completed_ = true;
    log_.record("retirement_completed", {{"node", members_.self().id}});
    report(RetirementState::completed);
    return;
  }
  tell_pending(pending);
  replica_.ask_copy_status();
  environment_.after(kCheckInterval, lifetime_.guard([this] { check(); }));
}

void Retirement::tell_pending(const std::vector<ledger::pending_handover>& pending) {
  const Timestamp now = environment_.now();
  const bool told_lately = told_pending_at_.count() != 0 && now - told_pending_at_ < kTellPending;
  if (pending.empty() || told_lately) {
    return;
  }
  told_pending_at_ = now;
  const ledger::pending_handover& first = pending.front();
  log_.record("retirement_pending", {{"node", members_.self().id},
                                     {"groups", pending.size()},
                                     {"group", first.group},
                                     {"epoch", first.epoch},
                                     {"member", first.is_member},
                                     {"copies", first.copies},
                                     {"needed", first.needed}});
}

void Retirement::report(RetirementState state) {
  platform_.report_retirement(NodeId(members_.self().id), state, lifetime_.guard([this, state](const Status& status) {
    const bool superseded = state == RetirementState::running && completed_;
    if (!succeeded(status) && !superseded) {
      environment_.after(kStoreRetry, lifetime_.guard([this, state] { report(state); }));
    }
  }));
}

}  // namespace madderdeck::object_store
