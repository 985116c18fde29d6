#pragma once
/// @file Chooses the back end for a forwarded request from a snapshot of the candidates.

#include <cstdint>
#include <string_view>
#include <vector>

#include "routing/registry.hpp"
#include "routing/shared_calls.hpp"

namespace madderdeck::forwarding {

/// Input of choose_backend().
struct ChoiceInput {
  std::vector<routing::Backend*> candidates;  ///< Never empty.
  std::string_view affinity_key;  ///< Shared by requests with the same prompt prefix; empty: no back end is preferred.
  Timestamp now{};
  std::uint64_t random = 0;
  double gateways_per_engine = 1;                 ///< Average number of gateways that use the same back end.
  const routing::shared_calls* shared = nullptr;  ///< Open calls of the other nodes; null without call reports.
  /// An engine that is more than this many times as slow as the median is not chosen by affinity.
  double affinity_slowness = 1;
  std::size_t samples = 4;  ///< Number of random candidates to compare; fewer where call reports arrive late.
};

/// Calls of all nodes that are open at a back end.
struct known_calls {
  double live = 0;
  double batch = 0;
  double slots = 1;

  /// @return whether one more live call has to wait until a batch call frees its slot.
  bool needs_yield() const { return live + batch >= slots && live < slots; }
  auto operator<=>(const known_calls&) const = default;
};

/// @return calls that this node and the other nodes have open at @p backend, plus the requests of its load reports that
///         no node has reported.
known_calls calls_at(const routing::Backend& backend, const routing::shared_calls& shared, Timestamp now);

/// @return estimated number of requests running and waiting at @p backend. While its last load report is recent, this
/// is
///         the reported number plus what this node has sent since; otherwise this node's own calls times @p
///         gateways_per_engine.
double estimated_requests(const routing::Backend& backend, Timestamp now, double gateways_per_engine);

/// @return the median time to the first token, in milliseconds, of the @p candidates with a measured time; 0 where none
/// has one.
double median_latency(const std::vector<routing::Backend*>& candidates);

/// @return the time to the first token of @p backend as a multiple of @p median (0: not known); at least 1.
double slowness(const routing::Backend& backend, double median);

/// @return whether @p backend is unresponsive: it has open calls and sent no data on any of them for some time.
bool silent(const routing::Backend& backend, Timestamp now);

/// @return the one of @p candidates (never empty) that affinity prefers for @p key, regardless of its load.
routing::Backend& preferred_backend(const std::vector<routing::Backend*>& candidates, std::string_view key);

/// Chooses the back end with the least expected wait among a few random candidates; with an affinity key, the one that
/// has likely cached the prompt prefix, while its load is near the average. Unresponsive back ends are chosen only
/// where there is no other.
routing::Backend& choose_backend(const ChoiceInput& input);

}  // namespace madderdeck::forwarding
