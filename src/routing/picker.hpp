#pragma once
/// @file Policies that choose an engine for a live request from a snapshot.

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "config/objects.hpp"
#include "routing/registry.hpp"

namespace madderdeck::routing {

/// What a policy may look at.
struct PickInput {
  std::vector<Backend*> candidates;  ///< Never empty.
  std::string_view prompt;
  Timestamp now{};
  std::uint64_t random = 0;
  double sharing = 1;  ///< Gateways that use the same engine, on average.
};

/// Chooses one of the candidates. Policies may keep state of their own; single threaded.
class Picker {
 public:
  virtual ~Picker() = default;
  virtual Backend& pick(const PickInput& input) = 0;
};

/// One after the other.
class RoundRobinPicker : public Picker {
 public:
  Backend& pick(const PickInput& input) override;

 private:
  std::size_t next_ = 0;
};

/// The better of two random candidates by load.
class LeastConnectionsPicker : public Picker {
 public:
  Backend& pick(const PickInput& input) override;
};

/// Prefers the engine whose cache likely holds the start of the prompt, as long as that
/// engine's load stays near the average; otherwise the next in rendezvous order.
class PrefixAffinityPicker : public Picker {
 public:
  Backend& pick(const PickInput& input) override;
};

std::unique_ptr<Picker> make_picker(config::RoutingPolicyName name);

/// @return estimated load of @p backend per slot, more for a new one. Own calls are known
///         exactly and stand for those of the gateways that share it; reports are late, and
///         count where they say more.
double load_of(const Backend& backend, Timestamp now, double sharing);

}  // namespace madderdeck::routing
