#pragma once
/// @file Policies that choose an engine for a live request from a snapshot.

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "config/objects.hpp"
#include "routing/registry.hpp"

namespace madderdeck::routing {

/// The input of a policy.
struct PickInput {
  std::vector<Backend*> candidates;  ///< Never empty.
  std::string_view prompt;
  Timestamp now{};
  std::uint64_t random = 0;
  double gateways_per_engine = 1;  ///< Average number of gateways that use the same engine.
};

/// Chooses one of the candidates. A policy may keep state; single threaded.
class Picker {
 public:
  virtual ~Picker() = default;
  virtual Backend& pick(const PickInput& input) = 0;
};

/// Uses the candidates in turn.
class RoundRobinPicker : public Picker {
 public:
  Backend& pick(const PickInput& input) override;

 private:
  std::size_t next_ = 0;
};

/// Chooses the less loaded of two random candidates.
class LeastConnectionsPicker : public Picker {
 public:
  Backend& pick(const PickInput& input) override;
};

/// Prefers the engine whose cache probably holds the start of the prompt, as long as that
/// engine's load is near the average; otherwise chooses the next engine in rendezvous order.
class PrefixAffinityPicker : public Picker {
 public:
  Backend& pick(const PickInput& input) override;
};

std::unique_ptr<Picker> make_picker(config::RoutingPolicyName name);

/// @return the estimated load of @p backend per slot, raised for a new back end. The estimate is the greater of two
///         numbers: this node's own calls, which are known exactly, times @p gateways_per_engine; and the load that the
///         back end reported, which is out of date.
double load_of(const Backend& backend, Timestamp now, double gateways_per_engine);

}  // namespace madderdeck::routing
