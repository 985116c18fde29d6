#pragma once
/// @file Assigns keys to members of a role by rendezvous hashing.

#include "common/hash.hpp"
#include "membership/membership.hpp"

namespace madderdeck::membership {

/// @return the member of @p candidates that is responsible for @p key; null if @p candidates is empty.
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

/// @return the scheduler that is responsible for @p key (a job, an engine, a limit) in this node's view of the fleet;
/// null if no available scheduler is known.
inline const wire::MemberT* responsible_scheduler(const Membership& members, std::string_view key) {
  return first_ranked(members.available(Role::scheduler), key);
}

}  // namespace madderdeck::membership
