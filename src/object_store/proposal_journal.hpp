#pragma once
/// @file Tells operators what became of each next epoch of a group that this node proposed: nothing is decided by it.

#include <cstdint>
#include <map>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "ledger/decision_votes.hpp"
#include "ledger/epoch_change.hpp"
#include "object_store/proposer_view.hpp"

namespace madderdeck::object_store {

/// Writes one line a proposal and counts them by how they ended. Owned by one node, single threaded.
class proposal_journal {
 public:
  proposal_journal(Environment& environment, Counters& counters, DecisionLog& log,
                   const membership::Membership& members);

  /// This node proposes what @p asked says, by what it believes now.
  void note_proposed(std::uint32_t group, const ledger::epoch_change& asked);
  /// The members have answered the proposal; its outcome follows.
  void note_votes(std::uint32_t group, const ledger::decision_votes& votes);
  /// The proposal has ended: with the description that stands, or why none was decided.
  void tell(std::uint32_t group, const ledger::epoch_change& asked, const Result<ledger::ReplicaGroup>& result);
  /// The disk that was to become a member has refused, or not answered: the members were not asked.
  void tell_declined(std::uint32_t group, const ledger::epoch_change& asked, const Error& why);
  /// The store did not let one member decide alone: the members were not asked.
  void tell_not_let(std::uint32_t group, const ledger::epoch_change& asked, const Error& why);

 private:
  struct proposal {
    proposer_view view;
    ledger::decision_votes votes;
  };

  proposal take(std::uint32_t group);
  void record(std::uint32_t group, const ledger::epoch_change& asked, const Result<ledger::ReplicaGroup>& result,
              ledger::refusal_ground ground, const proposal& how);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  const membership::Membership& members_;
  std::map<std::uint32_t, proposal> open_;
};

}  // namespace madderdeck::object_store
