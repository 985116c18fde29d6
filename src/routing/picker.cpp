#include "routing/picker.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace madderdeck::routing {
namespace {
constexpr Duration kSlowStart = 3s;
constexpr Duration kLoadReportMaxAge = 1s;
constexpr std::size_t kPrefixBytes = 256;
constexpr double kAffinityLoadSlack = 0.25;  ///< Allowed load above the average, as a share of an engine's slots.
constexpr double kSlowFactor = 2.0;          ///< An engine is slow if its latency exceeds the median by this factor.
}  // namespace

double load_of(const Backend& backend, Timestamp now, double gateways_per_engine) {
  const double own = backend.online_in_flight * gateways_per_engine;
  const bool fresh = backend.reported_at.count() != 0 && now - backend.reported_at < kLoadReportMaxAge;
  const double reported = fresh ? backend.report.running_online + backend.report.waiting : 0;
  double load = std::max(own, reported) / backend.machine.slots;
  const Duration age = now - backend.added_at;
  if (age < kSlowStart) {
    load += 0.5 * (1.0 - static_cast<double>(age.count()) / static_cast<double>(kSlowStart.count()));
  }
  return load;
}

Backend& RoundRobinPicker::pick(const PickInput& input) { return *input.candidates[next_++ % input.candidates.size()]; }

Backend& LeastConnectionsPicker::pick(const PickInput& input) {
  const std::size_t count = input.candidates.size();
  Backend& first = *input.candidates[input.random % count];
  Backend& second = *input.candidates[(input.random >> 32) % count];
  return load_of(first, input.now, input.gateways_per_engine) <= load_of(second, input.now, input.gateways_per_engine)
             ? first
             : second;
}

Backend& PrefixAffinityPicker::pick(const PickInput& input) {
  const std::string_view prefix = input.prompt.substr(0, kPrefixBytes);
  double total = 0;
  std::vector<double> latencies;
  for (const Backend* candidate : input.candidates) {
    total += load_of(*candidate, input.now, input.gateways_per_engine);
    latencies.push_back(candidate->latency_ms);
  }
  std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2),
                   latencies.end());
  const double median = latencies[latencies.size() / 2];
  const double bound = total / static_cast<double>(input.candidates.size()) + kAffinityLoadSlack;
  Backend* best = nullptr;
  std::uint64_t best_weight = 0;
  for (Backend* candidate : input.candidates) {
    const bool slow = median > 0 && candidate->latency_ms > kSlowFactor * median + 1.0;
    // A slow engine still gets one request in 64, so that its recovery is noticed.
    const bool skip_slow = slow && input.random % 64 != 0;
    if (skip_slow || load_of(*candidate, input.now, input.gateways_per_engine) > bound) {
      continue;
    }
    const std::uint64_t weight = rendezvous_weight(prefix, candidate->machine.id.str());
    if (best == nullptr || weight > best_weight) {
      best = candidate;
      best_weight = weight;
    }
  }
  if (best != nullptr) {
    return *best;
  }
  return **std::min_element(input.candidates.begin(), input.candidates.end(),
                            [&](const Backend* left, const Backend* right) {
                              return load_of(*left, input.now, input.gateways_per_engine) <
                                     load_of(*right, input.now, input.gateways_per_engine);
                            });
}

std::unique_ptr<Picker> make_picker(config::RoutingPolicyName name) {
  switch (name) {
    case config::RoutingPolicyName::round_robin:
      return std::make_unique<RoundRobinPicker>();
    case config::RoutingPolicyName::least_connections:
      return std::make_unique<LeastConnectionsPicker>();
    case config::RoutingPolicyName::prefix_affinity:
      break;
  }
  return std::make_unique<PrefixAffinityPicker>();
}

}  // namespace madderdeck::routing
