#pragma once
/// @file Chooses the back end for a passed-on request from a snapshot of the candidates.

#include <cstdint>
#include <string_view>
#include <vector>

#include "routing/registry.hpp"
#include "routing/shared_calls.hpp"

namespace madderdeck::forwarding {

/// What the choice may look at.
struct ChoiceInput {
  std::vector<routing::Backend*> candidates;  ///< Never empty.
  std::string_view affinity_key;              ///< Empty: any back end is as good.
  Timestamp now{};
  std::uint64_t random = 0;
  double sharing = 1;                             ///< Gateways that use the same back end, on average.
  const routing::shared_calls* shared = nullptr;  ///< Calls of the other nodes; null where they are not told.
  /// An engine this many times as slow as the median is not the one for a shared prompt start.
  double affinity_slowness = 1;
  std::size_t samples = 4;  ///< Candidates that are compared; fewer where calls are told late.
};

/// Calls open at a back end, of all nodes.
struct known_calls {
  double live = 0;
  double batch = 0;
  double slots = 1;

  /// @return whether a further live call waits until batch work has yielded.
  bool needs_yield() const { return live + batch >= slots && live < slots; }
  auto operator<=>(const known_calls&) const = default;
};

/// @return what this node and the others have open at @p backend, and what it runs besides by its own reports.
known_calls calls_at(const routing::Backend& backend, const routing::shared_calls& shared, Timestamp now);

/// @return estimated requests on @p backend, running and waiting. The last report counts while it is
///         fresh, with what this node has sent since; otherwise this node's own calls stand for
///         those of the others.
double estimated_requests(const routing::Backend& backend, Timestamp now, double sharing);

/// @return the median time to the first token, in milliseconds, of those of @p candidates that have one; 0 where none
/// has.
double median_latency(const std::vector<routing::Backend*>& candidates);

/// @return how many times as long as @p median (0: not known) @p backend takes to its first token; from 1 on.
double slowness(const routing::Backend& backend, double median);

/// @return whether calls are open to @p backend and it has been silent on all of them for long.
bool silent(const routing::Backend& backend, Timestamp now);

/// @return the one of @p candidates (never empty) that affinity names for @p key, whatever its load.
routing::Backend& preferred_backend(const std::vector<routing::Backend*>& candidates, std::string_view key);

/// Least expected wait among a few random candidates; with an affinity key the back end that likely
/// holds the prompt's start, while its load stays near the average. Silent ones come last.
routing::Backend& choose_backend(const ChoiceInput& input);

}  // namespace madderdeck::forwarding
