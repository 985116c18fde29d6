#pragma once
/// @file How the members of a group answered a proposal of its next epoch: for operators only, nothing is decided by
/// it.

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "ledger/groups.hpp"

namespace madderdeck::ledger {

/// Why a member did not grant a proposal, or why no next epoch was decided.
enum class refusal_ground {
  none,              ///< Granted; decided.
  silent,            ///< No answer came to any attempt.
  no_address,        ///< The proposer does not know where the member is.
  not_admitted,      ///< The member still copies.
  unknown_epoch,     ///< The member knows an earlier epoch only.
  stale_epoch,       ///< The member knows a later epoch.
  outbid,            ///< The member has promised itself to another proposal.
  corrupted,         ///< The member cannot read its record.
  not_whole,         ///< Enough granted, but those may lack confirmed records.
  given_up_answers,  ///< The member that was to be given up has answered.
  member_there,      ///< The member knows the one that was to be given up to be there.
  epoch_passed,      ///< The group had another epoch before the decision ended.
  store,             ///< The store did not let one member decide alone.
  candidate,         ///< The disk that was to become a member did not consent.
  other,
};

/// All of them, in their order.
inline constexpr std::array kRefusalGrounds = {refusal_ground::none,          refusal_ground::silent,
                                               refusal_ground::no_address,    refusal_ground::not_admitted,
                                               refusal_ground::unknown_epoch, refusal_ground::stale_epoch,
                                               refusal_ground::outbid,        refusal_ground::corrupted,
                                               refusal_ground::not_whole,     refusal_ground::given_up_answers,
                                               refusal_ground::member_there,  refusal_ground::epoch_passed,
                                               refusal_ground::store,         refusal_ground::candidate,
                                               refusal_ground::other};

/// @return the name that logs and counters show.
const char* name_of(refusal_ground ground);
/// @return the ground that a member's answer states.
refusal_ground ground_of(wire::ReplicaStatus status);

/// What one member answered last.
struct member_vote {
  ReplicaIdentity member;
  refusal_ground ground = refusal_ground::silent;
  bool whole = true;   ///< Of one that granted: it did not say that it may lack confirmed records.
  bool counts = true;  ///< Whether its answer counts; not where another one was named the sole decider.
};

/// How the members of one epoch answered a proposal of the next one.
struct decision_votes {
  std::size_t needed = 0;
  std::vector<member_vote> members;

  /// @return members whose grants count.
  std::size_t granted() const;
  /// @return "node/disk" of each member that granted, and " not_whole" of one that may lack confirmed records.
  std::string granted_text() const;
  /// @return "node/disk ground" of each member that did not grant.
  std::string refused_text() const;
};

/// @return why a decision ended with @p error: where members did not grant it, the ground of most of them, and of
///         several with as many the first in their order.
refusal_ground ground_of(const Error& error, const decision_votes& votes);

}  // namespace madderdeck::ledger
