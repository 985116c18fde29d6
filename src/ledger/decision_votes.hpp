#pragma once
/// @file The answers of a group's members to a proposal of its next epoch. Reported to operators only; no decision
/// depends on them.

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "ledger/groups.hpp"

namespace madderdeck::ledger {

/// Why a member did not grant a proposal, or why no next epoch was decided.
enum class refusal_reason {
  none,              ///< The proposal was granted, or the epoch decided.
  silent,            ///< No attempt was answered.
  no_address,        ///< The proposer does not know the member's address.
  not_admitted,      ///< The member is still copying records.
  unknown_epoch,     ///< The member knows only an earlier epoch.
  stale_epoch,       ///< The member knows a later epoch.
  outbid,            ///< The member has promised a higher ballot.
  corrupted,         ///< The member cannot read its record of the decision.
  not_whole,         ///< Enough members granted, but they may lack confirmed records.
  given_up_answers,  ///< The member that was to be given up has answered.
  member_there,      ///< The member considers the one to be given up to be up.
  epoch_passed,      ///< The group entered another epoch before the decision ended.
  store,             ///< The store did not permit one member to decide alone.
  candidate,         ///< The disk that would become a member did not consent.
  other,
};

/// All values in declaration order.
inline constexpr std::array kRefusalReasons = {refusal_reason::none,          refusal_reason::silent,
                                               refusal_reason::no_address,    refusal_reason::not_admitted,
                                               refusal_reason::unknown_epoch, refusal_reason::stale_epoch,
                                               refusal_reason::outbid,        refusal_reason::corrupted,
                                               refusal_reason::not_whole,     refusal_reason::given_up_answers,
                                               refusal_reason::member_there,  refusal_reason::epoch_passed,
                                               refusal_reason::store,         refusal_reason::candidate,
                                               refusal_reason::other};

/// @return the name used in logs and counters.
const char* name_of(refusal_reason ground);
/// @return the reason that corresponds to a member's answer.
refusal_reason refusal_reason_of(wire::ReplicaStatus status);

/// The last answer of one member.
struct member_vote {
  ReplicaIdentity member;
  refusal_reason ground = refusal_reason::silent;
  bool whole = true;   ///< For a member that granted: it did not report that it may lack confirmed records.
  bool counts = true;  ///< Whether its answer counts; false where another member is the sole decider.
};

/// The answers of the members of one epoch to a proposal of the next one.
struct decision_votes {
  std::size_t needed = 0;
  std::vector<member_vote> members;

  /// @return the number of members whose grants count.
  std::size_t granted() const;
  /// @return "node/disk" of each member that granted, followed by " not_whole" if it may lack confirmed records.
  std::string granted_text() const;
  /// @return "node/disk reason" of each member that did not grant.
  std::string refused_text() const;
};

/// @return why a decision ended with @p error. Where members refused, it is the most frequent reason of the refusals;
///         of equally frequent ones the first in declaration order.
refusal_reason refusal_reason_of(const Error& error, const decision_votes& votes);

}  // namespace madderdeck::ledger
