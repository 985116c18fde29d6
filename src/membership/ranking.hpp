#pragma once
/// @file Who of the fleet looks after what: rendezvous ranking of the members with a role.

#include "common/hash.hpp"
#include "membership/membership.hpp"

namespace madderdeck::membership {

/// @return the one of @p candidates that looks after @p key; null where there is none.
inline const wire::MemberT* first_ranked(const std::vector<const wire::MemberT*>& candidates, std::string_view key) {
  const wire::MemberT* first = nullptr;
  std::uint64_t first_weight = 0;
  for (const wire::MemberT* candidate : candidates) {
    const std::uint64_t weight = rendezvous_weight(key, candidate->id);
    if (first == nullptr || weight > first_weight) {
      first = candidate;
      first_weight = weight;
    }
  }
  return first;
}

/// @return the scheduler that looks after @p key (a job, an engine, a limit) by this node's view; null where none is
/// known.
inline const wire::MemberT* ranked_scheduler(const Membership& members, std::string_view key) {
  return first_ranked(members.available(Role::scheduler), key);
}

}  // namespace madderdeck::membership
