#include "forwarding/engine_choice.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace madderdeck::forwarding {
namespace {

using routing::Backend;

constexpr Duration kReportMaxAge = 4s;
constexpr Duration kUnresponsiveAfter = 500ms;
constexpr Duration kUnattributedMaxAge = 1s;
/// A back end is chosen by affinity while its load is at most this part of its slots above the average load.
constexpr double kAffinitySlack = 0.25;
constexpr double kMaxSlowness = 8.0;
/// Added to the load of a back end while it prefills a long prompt, as a part of its slots.
constexpr double kReadingPenalty = 0.5;

bool uses_shared(const ChoiceInput& input) { return input.shared != nullptr && input.shared->has_reports(); }

/// @return expected cost of one more live call: below 1 a slot is free; from 1 to below 2 a batch call has to free its
///         slot; from 2 on the call waits for another live call to end.
double live_call_cost(const known_calls& calls) {
  const double live = (calls.live + 1) / calls.slots;
  if (calls.live + calls.batch < calls.slots) {
    return (calls.live + calls.batch + 1) / calls.slots;
  }
  return calls.live < calls.slots ? 1 + live : 2 + live - 1;
}

double load(const Backend& backend, const ChoiceInput& input) {
  if (uses_shared(input)) {
    return live_call_cost(calls_at(backend, *input.shared, input.now));
  }
  return (estimated_requests(backend, input.now, input.gateways_per_engine) + 1) / backend.machine.slots;
}

/// @return load that counts for affinity: where calls are shared, without batch calls, since these free their slots for
///         live calls.
double affinity_load(const Backend& backend, const ChoiceInput& input) {
  if (!uses_shared(input)) {
    return load(backend, input);
  }
  const known_calls calls = calls_at(backend, *input.shared, input.now);
  return (calls.live + 1) / calls.slots;
}

Backend* backend_by_affinity(const std::vector<Backend*>& candidates, const ChoiceInput& input, double median) {
  double total = 0;
  for (const Backend* candidate : candidates) {
    total += affinity_load(*candidate, input);
  }
  const double bound = std::min(1.0, total / static_cast<double>(candidates.size()) + kAffinitySlack);
  Backend* best = nullptr;
  std::uint64_t best_weight = 0;
  for (Backend* candidate : candidates) {
    const bool reading = input.now < candidate->prefill_until;
    if (reading || affinity_load(*candidate, input) > bound || slowness(*candidate, median) > input.affinity_slowness) {
      continue;
    }
    const std::uint64_t weight = rendezvous_weight(input.affinity_key, candidate->machine.id.str());
    if (best == nullptr || weight > best_weight) {
      best = candidate;
      best_weight = weight;
    }
  }
  return best;
}

/// @return up to @p count of @p candidates, drawn at random without replacement.
std::vector<Backend*> draw(std::vector<Backend*> candidates, std::size_t count, std::uint64_t random) {
  constexpr std::uint64_t kMultiplier = 6364136223846793005ULL;
  const std::size_t drawn = std::min(count, candidates.size());
  for (std::size_t position = 0; position < drawn; ++position) {
    random = random * kMultiplier + 1;
    const std::size_t other = position + (random >> 33) % (candidates.size() - position);
    std::swap(candidates[position], candidates[other]);
  }
  candidates.resize(drawn);
  return candidates;
}

}  // namespace

double median_latency(const std::vector<Backend*>& candidates) {
  std::vector<double> latencies;
  for (const Backend* candidate : candidates) {
    if (candidate->latency_ms > 0) {
      latencies.push_back(candidate->latency_ms);
    }
  }
  if (latencies.empty()) {
    return 0;
  }
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

double slowness(const Backend& backend, double median) {
  constexpr double kNoise = 1.5;
  if (median <= 0 || backend.latency_ms < kNoise * median) {
    return 1;
  }
  return std::min(backend.latency_ms / median, kMaxSlowness);
}

known_calls calls_at(const Backend& backend, const routing::shared_calls& shared, Timestamp now) {
  const routing::open_calls others = shared.at(backend.machine.id);
  const std::uint32_t unattributed = now - backend.reported_at < kUnattributedMaxAge ? backend.unattributed : 0;
  return {static_cast<double>(backend.online_in_flight + others.live + unattributed),
          static_cast<double>(backend.batch_in_flight + others.batch), static_cast<double>(backend.machine.slots)};
}

double estimated_requests(const Backend& backend, Timestamp now, double gateways_per_engine) {
  const double own = backend.online_in_flight;
  const bool fresh = backend.reported_at.count() != 0 && now - backend.reported_at < kReportMaxAge;
  if (!fresh) {
    return own * gateways_per_engine;
  }
  const double reported = backend.report.running_online + backend.report.running_batch + backend.report.waiting;
  const double sent_since = std::max(0.0, own - backend.online_in_flight_at_report);
  return std::max(own, reported + sent_since);
}

bool silent(const Backend& backend, Timestamp now) {
  return backend.open_calls > 0 && now - backend.last_data_at > kUnresponsiveAfter;
}

Backend& preferred_backend(const std::vector<Backend*>& candidates, std::string_view key) {
  const std::uint64_t key_hash = stable_hash(key);
  return **std::max_element(candidates.begin(), candidates.end(),
                            [key_hash](const Backend* left, const Backend* right) {
                              return rendezvous_weight(key_hash, stable_hash(left->machine.id.str())) <
                                     rendezvous_weight(key_hash, stable_hash(right->machine.id.str()));
                            });
}

Backend& choose_backend(const ChoiceInput& input) {
  std::vector<Backend*> candidates;
  for (Backend* candidate : input.candidates) {
    if (!silent(*candidate, input.now)) {
      candidates.push_back(candidate);
    }
  }
  if (candidates.empty()) {
    candidates = input.candidates;
  }
  const double median = median_latency(candidates);
  if (!input.affinity_key.empty()) {
    if (Backend* affine = backend_by_affinity(candidates, input, median)) {
      return *affine;
    }
  }
  Backend* best = nullptr;
  double best_cost = 0;
  for (Backend* candidate : draw(std::move(candidates), input.samples, input.random)) {
    const double penalty = input.now < candidate->prefill_until ? kReadingPenalty : 0;
    const double cost = (load(*candidate, input) + penalty) * slowness(*candidate, median);
    if (best == nullptr || cost < best_cost) {
      best = candidate;
      best_cost = cost;
    }
  }
  return *best;
}

}  // namespace madderdeck::forwarding
