#pragma once
/// @file The policies of one node, chosen by its settings.

#include <memory>
#include <string>

#include "common/error.hpp"
#include "policy/call_order.hpp"
#include "policy/headroom.hpp"
#include "policy/item_order.hpp"

namespace madderdeck::policy {

/// What a node decides by. Immutable; shared by its parts.
struct policy_set {
  std::shared_ptr<const headroom_policy> headroom;  ///< Null: the fleet policy's fixed number.
  /// Batch leaves room for the next wave of live calls as the latest ones were, not for the present rate alone.
  bool headroom_for_peaks = false;
  std::shared_ptr<const item_order> order;  ///< Never null.
  /// Of live calls for which no slot is free; null: they wait at an engine.
  std::shared_ptr<const call_order> calls;
  bool shared_calls = false;  ///< Gateways tell each other their calls, and choose engines by them.
  /// In fleets too large for that, a coordinator in each zone knows the calls and chooses the engines.
  bool coordinated = false;
};

/// Makes a policy_set from names as settings state them; see docs/operators/settings.md.
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
  /// @return the set, or ErrorKind::invalid_argument naming the policy that is not known.
  Result<policy_set> build() const;

 private:
  std::string headroom_ = "fixed";
  std::string item_order_ = "deadline";
  std::string engine_choice_ = "reports";
  std::string call_order_ = "engine";
};

}  // namespace madderdeck::policy
