#include "object_store/proposal_journal.hpp"

namespace madderdeck::object_store {
namespace {

constexpr std::int64_t kUnknownAge = -1;

std::string counter_of(ledger::refusal_reason ground) {
  const bool decided = ground == ledger::refusal_reason::none;
  return decided ? "ledger_epochs_decided_total"
                 : std::string("ledger_epochs_refused_") + ledger::name_of(ground) + "_total";
}

}  // namespace

proposal_journal::proposal_journal(Environment& environment, Counters& counters, DecisionLog& log,
                                   const membership::Membership& members)
    : environment_(environment), counters_(counters), log_(log), members_(members) {
  for (const ledger::refusal_reason ground : ledger::kRefusalReasons) {
    counters_[counter_of(ground)] += 0;  // exported from the start, so that the first increment is visible
  }
}

void proposal_journal::note_proposed(std::uint32_t group, const ledger::epoch_change& asked) {
  open_[group] = {view_of(asked.next, members_, environment_.now()), {}};
}

void proposal_journal::note_votes(std::uint32_t group, const ledger::decision_votes& votes) {
  open_[group].votes = votes;
}

void proposal_journal::log_outcome(std::uint32_t group, const ledger::epoch_change& asked,
                                   const Result<ledger::ReplicaGroup>& result) {
  const proposal how = take(group);
  const auto ground =
      succeeded(result) ? ledger::refusal_reason::none : ledger::refusal_reason_of(error_of(result), how.votes);
  record(group, asked, result, ground, how);
}

void proposal_journal::log_declined(std::uint32_t group, const ledger::epoch_change& asked, const Error& why) {
  record(group, asked, why, ledger::refusal_reason::candidate, take(group));
}

void proposal_journal::log_not_granted(std::uint32_t group, const ledger::epoch_change& asked, const Error& why) {
  record(group, asked, why, ledger::refusal_reason::store, take(group));
}

proposal_journal::proposal proposal_journal::take(std::uint32_t group) {
  const auto node = open_.extract(group);
  return node.empty() ? proposal{} : node.mapped();
}

void proposal_journal::record(std::uint32_t group, const ledger::epoch_change& asked,
                              const Result<ledger::ReplicaGroup>& result, ledger::refusal_reason ground,
                              const proposal& how) {
  counters_[counter_of(ground)]++;
  const std::uint64_t before = asked.next.epoch - 1;
  const bool decided = succeeded(result);
  const ledger::ReplicaGroup& told = decided ? value_of(result) : asked.next;
  const std::optional<Duration> view_age = how.view.age();
  log_.record("group_changed", {{"group", group},
                                {"from_epoch", before},
                                {"epoch", decided ? told.epoch : before},
                                {"outcome", decided ? "decided" : error_kind_name(error_of(result).kind)},
                                {"ground", decided ? "" : ledger::name_of(ground)},
                                {"proposer", members_.self().id},
                                {"as_asked", decided && told == asked.next},
                                {"reason", asked.reason},
                                {"why", decided ? "" : error_of(result).detail},
                                {"members", ledger::text_of(told.replicas)},
                                {"leaving", ledger::text_of(told.leaving)},
                                {"granted", how.votes.granted_text()},
                                {"refused", how.votes.refused_text()},
                                {"view", how.view.text()},
                                {"view_age_ms", view_age ? *view_age / 1ms : kUnknownAge},
                                {"took_ms", (environment_.now() - how.view.taken_at) / 1ms},
                                {"sole_decider", asked.rule.sole ? ledger::text_of(*asked.rule.sole) : ""}});
}

}  // namespace madderdeck::object_store
