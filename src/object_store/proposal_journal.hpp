#pragma once
/// @file Logs the outcome of each epoch of a group that this node proposed. For diagnosis only; no decision uses it.

#include <cstdint>
#include <map>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "ledger/decision_votes.hpp"
#include "ledger/epoch_change.hpp"
#include "object_store/proposer_view.hpp"

namespace madderdeck::object_store {

/// Writes one log line per proposal and counts the proposals by outcome. Owned by one node, single threaded.
class proposal_journal {
 public:
  proposal_journal(Environment& environment, Counters& counters, DecisionLog& log,
                   const membership::Membership& members);

  /// Records that this node proposes @p asked, with its current view of the members.
  void note_proposed(std::uint32_t group, const ledger::epoch_change& asked);
  /// Records the members' votes on the proposal; its outcome follows.
  void note_votes(std::uint32_t group, const ledger::decision_votes& votes);
  /// Logs the outcome of the proposal: the decided description, or why none was decided.
  void log_outcome(std::uint32_t group, const ledger::epoch_change& asked, const Result<ledger::ReplicaGroup>& result);
  /// Logs that the disk that was to become a member refused, or did not reply; the members were not asked.
  void log_declined(std::uint32_t group, const ledger::epoch_change& asked, const Error& why);
  /// Logs that the store did not let one member decide alone; the members were not asked.
  void log_not_granted(std::uint32_t group, const ledger::epoch_change& asked, const Error& why);

 private:
  struct proposal {
    proposer_view view;
    ledger::decision_votes votes;
  };

  proposal take(std::uint32_t group);
  void record(std::uint32_t group, const ledger::epoch_change& asked, const Result<ledger::ReplicaGroup>& result,
              ledger::refusal_reason ground, const proposal& how);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  const membership::Membership& members_;
  std::map<std::uint32_t, proposal> open_;
};

}  // namespace madderdeck::object_store
