#include "object_store/pending_changes.hpp"

#include <algorithm>

namespace madderdeck::object_store {
namespace {

/// A change takes a few round trips when its members can agree; one that is pending for longer is logged.
constexpr Duration kLogDelay = 3s;
/// By then the maintainers have checked and proposed, and most changes are made.
constexpr Duration kFirstTurnDelay = 1s;
/// Members that can agree do so within one turn, so that two proposers seldom compete.
constexpr Duration kTurnDuration = 1s;
constexpr Duration kMaxLogInterval = 80s;
/// Log lines per call: a node that leaves may be a member of hundreds of groups.
constexpr unsigned kMaxLinesPerCall = 8;

}  // namespace

void pending_changes::note_wanted(std::uint32_t group, const ledger::epoch_change& change) {
  const std::uint64_t from_epoch = change.next.epoch - 1;
  const auto [entry, inserted] = pending_.try_emplace(group);
  pending_change& pending = entry->second;
  if (inserted || pending.from_epoch != from_epoch) {
    const Timestamp now = environment_.now();
    pending = pending_change{};
    pending.from_epoch = from_epoch;
    pending.since = now;
    pending.log_at = now + kLogDelay;
    pending.log_interval = kLogDelay;
  }
  pending.reason = change.reason;
}

void pending_changes::note_attempt(std::uint32_t group) {
  const auto entry = pending_.find(group);
  if (entry == pending_.end()) {
    return;
  }
  ++entry->second.attempts;
  entry->second.attempted_at = environment_.now();
  entry->second.outcome = "under_way";
  entry->second.detail.clear();
}

void pending_changes::note_outcome(std::uint32_t group, const Error& why) {
  const auto entry = pending_.find(group);
  if (entry == pending_.end()) {
    return;
  }
  entry->second.outcome = error_kind_name(why.kind);
  entry->second.detail = why.detail;
}

Duration pending_changes::wanted_for(std::uint32_t group) const {
  const auto entry = pending_.find(group);
  return entry == pending_.end() ? Duration::zero() : environment_.now() - entry->second.since;
}

bool pending_changes::take_turn(std::uint32_t group, const proposal_turns& turns) {
  const Duration overdue_for = wanted_for(group) - kFirstTurnDelay;
  if (overdue_for < Duration::zero()) {
    return false;
  }
  const auto begun = static_cast<std::size_t>(overdue_for / kTurnDuration);
  if (begun < turns.first) {
    return false;
  }
  const std::size_t own = (begun - turns.first) / turns.cycle + 1;
  std::size_t& taken = pending_.at(group).turns_taken;
  const bool takes = own > taken;
  taken = own;
  return takes;
}

void pending_changes::log_due(const change_makers& makers) {
  const Timestamp now = environment_.now();
  CounterValue overdue = 0;
  unsigned lines = 0;
  for (auto& [group, change] : pending_) {
    overdue += now - change.since >= kLogDelay ? 1 : 0;
    if (now < change.log_at || lines == kMaxLinesPerCall) {
      continue;
    }
    record(group, change, makers);
    ++lines;
    change.log_interval = std::min(change.log_interval * 2, kMaxLogInterval);
    change.log_at = now + change.log_interval;
  }
  counters_["ledger_group_changes_pending"] = overdue;
}

void pending_changes::record(std::uint32_t group, const pending_change& change, const change_makers& makers) const {
  const Timestamp now = environment_.now();
  log_.record("group_change_pending",
              {{"group", group},
               {"epoch", change.from_epoch},
               {"reason", change.reason},
               {"pending_ms", (now - change.since) / 1ms},
               {"rank", makers.rank},
               {"makers", makers.first},
               {"attempts", change.attempts},
               {"attempt_ms_ago", change.attempts == 0 ? std::int64_t{-1} : (now - change.attempted_at) / 1ms},
               {"outcome", change.outcome},
               {"detail", change.detail}});
}

}  // namespace madderdeck::object_store
