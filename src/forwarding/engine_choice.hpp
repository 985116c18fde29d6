#pragma once
/// @file Chooses the back end for a passed-on request from a snapshot of the candidates.

#include <cstdint>
#include <string_view>
#include <vector>

#include "routing/registry.hpp"

namespace madderdeck::forwarding {

/// What the choice may look at.
struct ChoiceInput {
  std::vector<routing::Backend*> candidates;  ///< Never empty.
  std::string_view affinity_key;              ///< Empty: any back end is as good.
  Timestamp now{};
  std::uint64_t random = 0;
  double sharing = 1;  ///< Gateways that use the same back end, on average.
};

/// @return estimated requests on @p backend, running and waiting. The last report counts while it is
///         fresh, with what this node has sent since; otherwise this node's own calls stand for
///         those of the others.
double estimated_requests(const routing::Backend& backend, Timestamp now, double sharing);

/// @return whether calls are open to @p backend and it has been silent on all of them for long.
bool silent(const routing::Backend& backend, Timestamp now);

/// Least expected wait among a few random candidates; with an affinity key the back end that likely
/// holds the prompt's start, while its load stays near the average. Silent ones come last.
routing::Backend& choose_backend(const ChoiceInput& input);

}  // namespace madderdeck::forwarding
