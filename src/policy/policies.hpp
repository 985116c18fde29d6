#pragma once
/// @file The policies of one node, chosen by its settings.

#include <memory>
#include <string>

#include "common/error.hpp"
#include "policy/call_order.hpp"
#include "policy/headroom.hpp"
#include "policy/item_order.hpp"

namespace madderdeck::policy {

/// The policies of one node. Immutable; shared by its components.
struct policy_set {
  std::shared_ptr<const headroom_policy> headroom;  ///< Null: the fixed number of the fleet policy.
  /// Whether batch work leaves slots free for the rate of the latest bursts of live calls, not only for the current
  /// rate.
  bool headroom_for_peaks = false;
  std::shared_ptr<const item_order> order;  ///< Order of batch items; never null.
  /// Order of live calls for which no slot is free; null: such calls wait at an engine.
  std::shared_ptr<const call_order> calls;
  bool shared_calls = false;  ///< Gateways report their calls to each other and choose engines by these counts.
  /// Whether, in fleets too large for shared_calls, a coordinator in each zone collects the calls and chooses the
  /// engines.
  bool coordinated = false;
};

/// Builds a policy_set from the names used in the settings; see docs/operators/settings.md.
class policy_set_builder {
 public:
  /// @param name "fixed", "observed" or "waves".
  policy_set_builder& headroom(std::string name);
  /// @param name "arrival", "deadline" or "attainable".
  policy_set_builder& item_order(std::string name);
  /// @param name "reports", "shared" or "coordinated".
  policy_set_builder& engine_choice(std::string name);
  /// @param name "engine", "arrival" or "attainable".
  policy_set_builder& call_order(std::string name);
  /// @return the set, or ErrorKind::invalid_argument with the key and the unknown name.
  Result<policy_set> build() const;

 private:
  std::string headroom_ = "fixed";
  std::string item_order_ = "deadline";
  std::string engine_choice_ = "reports";
  std::string call_order_ = "engine";
};

}  // namespace madderdeck::policy
