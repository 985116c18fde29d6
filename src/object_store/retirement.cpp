#include "object_store/retirement.hpp"

#include <algorithm>
#include <utility>

namespace madderdeck::object_store {
namespace {
/// Every ledger node watches the store, and each call is billed: a little less than the longest wait that the store
/// allows.
constexpr Duration kWatchWait = 25s;
constexpr Duration kStoreRetry = 300ms;
constexpr Duration kCheckInterval = 200ms;
constexpr Duration kPendingLogInterval = 2s;  ///< Interval between log lines about pending groups.
/// A proposer that offered this disk a place has the epoch decided and reported by then, unless it is down.
constexpr Duration kOpenPlaceTimeout = 1s;
}  // namespace

Retirement::Retirement(Environment& environment, Counters& counters, DecisionLog& log, membership::Membership& members,
                       ledger::Replica& replica, ledger::Client& ledger, PlatformClient& platform,
                       std::size_t min_copies)
    : environment_(environment),
      counters_(counters),
      log_(log),
      members_(members),
      replica_(replica),
      ledger_(ledger),
      platform_(platform),
      min_copies_(min_copies) {}

void Retirement::start() { watch(); }

void Retirement::watch() {
  const auto take = [this](Result<ChangeList> result) {
    last_watch_succeeded_ = succeeded(result);
    if (!succeeded(result)) {
      environment_.after(kStoreRetry, lifetime_.guard([this] { watch(); }));
      return;
    }
    const ChangeList& changes = value_of(result);
    revision_ = changes.up_to;
    for (const config::Entry& entry : changes.entries) {
      update_drained(entry);
      if (entry.key.name == members_.self().id && !entry.deleted) {
        begin();
      }
    }
    if (!std::exchange(store_replied_, true) && !begun_) {
      replica_.cancel_draining();
    }
    watch();
  };
  platform_.watch_retirements(revision_, kWatchWait, lifetime_.guard(take));
}

void Retirement::update_drained(const config::Entry& entry) {
  const NodeId node(entry.key.name);
  if (!entry.deleted && entry.body == kCompletedRetirement) {
    drained_.insert(node);
  } else {
    drained_.erase(node);
  }
}

std::optional<bool> Retirement::is_drained(const NodeId& node) const {
  if (drained_.contains(node) || (completed_ && node.str() == members_.self().id)) {
    return true;
  }
  return last_watch_succeeded_ ? std::optional(false) : std::nullopt;
}

void Retirement::begin() {
  if (begun_) {
    return;
  }
  begun_ = true;
  counters_["retirements_total"]++;
  log_.record("retirement_begun", {{"node", members_.self().id}, {"revision", revision_}});
  members_.retire();
  replica_.begin_draining();
  report(RetirementState::running);
  check();
}

void Retirement::check() {
  if (completed_) {
    return;
  }
  const std::vector<ledger::pending_handover> pending = replica_.pending_handovers(min_copies_);
  counters_["retirement_groups_pending"] = static_cast<CounterValue>(pending.size());
  if (replica_.left_all_groups(min_copies_)) {
    complete();
    return;
  }
  const std::vector<ledger::open_place> open = replica_.open_places();
  settle_open_places(open);
  log_pending(pending, open.size());
  replica_.ask_copy_status();
  environment_.after(kCheckInterval, lifetime_.guard([this] { check(); }));
}

void Retirement::complete() {
  replica_.note_emptied(lifetime_.guard([this](const Status& status) {
    if (!succeeded(status)) {
      counters_["retirement_notes_failed_total"]++;
      environment_.after(kCheckInterval, lifetime_.guard([this] { check(); }));
      return;
    }
    completed_ = true;
    log_.record("retirement_completed", {{"node", members_.self().id}});
    report(RetirementState::completed);
  }));
}

void Retirement::settle_open_places(const std::vector<ledger::open_place>& open) {
  const Timestamp now = environment_.now();
  std::erase_if(open_since_,
                [&open](const auto& entry) { return std::find(open.begin(), open.end(), entry.first) == open.end(); });
  for (const ledger::open_place& place : open) {
    const Timestamp since = open_since_.try_emplace(place, now).first->second;
    if (now - since >= kOpenPlaceTimeout && settling_.insert(place.group).second) {
      settle(place);
    }
  }
}

void Retirement::settle(const ledger::open_place& place) {
  counters_["retirement_places_settled_total"]++;
  const auto take = [this, place](const Result<ledger::ReplicaGroup>& result) {
    settling_.erase(place.group);
    if (place.group < ledger_.group_map().groups.size()) {
      replica_.adopt_group(place.group, ledger_.group_map().groups[place.group]);
    }
    log_.record("open_place_settled",
                {{"group", place.group},
                 {"consented_epoch", place.epoch},
                 {"known_epoch", replica_.known_epoch(place.group)},
                 {"outcome", succeeded(result) ? "decided" : error_kind_name(error_of(result).kind)}});
  };
  ledger_.decide_next_unchanged(place.group, lifetime_.guard(take));
}

void Retirement::log_pending(const std::vector<ledger::pending_handover>& pending, std::size_t open_places) {
  const Timestamp now = environment_.now();
  const bool logged_recently = pending_logged_at_.count() != 0 && now - pending_logged_at_ < kPendingLogInterval;
  if ((pending.empty() && open_places == 0) || logged_recently) {
    return;
  }
  pending_logged_at_ = now;
  const ledger::pending_handover first = pending.empty() ? ledger::pending_handover{} : pending.front();
  log_.record("retirement_pending", {{"node", members_.self().id},
                                     {"groups", pending.size()},
                                     {"open_places", open_places},
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
