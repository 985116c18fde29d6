#pragma once
/// @file Chooses engines for the live calls of a zone, knowing all calls there.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "forwarding/engine_placer.hpp"
#include "placement/duties.hpp"
#include "placement/engine_domain.hpp"
#include "placement/failing_engines.hpp"
#include "routing/registry.hpp"
#include "routing/shared_calls.hpp"

namespace madderdeck::placement {

/// What a coordinator answers.
struct placement_choice {
  std::optional<forwarding::place_answer> place;
  std::string zone;  ///< Another zone that has more room; empty: none.
};

/// Every gateway has one; only that of the gateway that the duties name is asked. It keeps nothing that must last:
/// after a change of coordinator the callers' next words fill the new one. Single threaded.
class coordinator {
 public:
  coordinator(Environment& environment, Counters& counters, DecisionLog& log, routing::Registry& registry,
              const duties& who, const wire::MemberT& self);

  void start();
  /// Chooses an engine of @p domain for a call of @p node, and counts that call from now on.
  /// @param final no other zone may be named.
  placement_choice choose(const std::string& node, const engine_domain& domain, const forwarding::place_query& query,
                          bool final);
  void handle(const PeerAddress& sender, const wire::PlaceRequestT& message);
  void handle(const wire::PlaceRoomT& message);
  void handle(const wire::EngineFailureT& message);
  /// Takes what a gateway or dispatcher tells of its calls.
  void take(const wire::EngineActivityT& message);
  /// @return calls of the other nodes, as they told them here.
  const routing::shared_calls& calls() const { return calls_; }

 private:
  struct room {
    std::uint32_t free = 0;
    Timestamp heard_at{};
  };

  std::vector<routing::Backend*> candidates(const engine_domain& domain, const std::set<BackendId>& excluded);
  /// @return whether @p engine says nothing to its callers or fails their calls.
  bool in_trouble(const BackendId& engine) const;
  /// @return another zone of the pool with room to spare; nothing when none is known.
  std::optional<std::string> roomier_zone(const engine_domain& domain);
  void tell_room();
  void maintain();

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  routing::Registry& registry_;
  const duties& duties_;
  const wire::MemberT& self_;
  routing::shared_calls calls_;
  failing_engines failing_;
  std::map<engine_domain, room> rooms_;           ///< Of other coordinators.
  std::map<engine_domain, Timestamp> asked_for_;  ///< Domains that this node is coordinator of, by the askers.
  Lifetime lifetime_;
};

}  // namespace madderdeck::placement
