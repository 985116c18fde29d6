#pragma once
/// @file Chooses engines for the live calls of a zone, knowing all calls there.

#include <functional>
#include <map>
#include <memory>
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
#include "placement/kept_starts.hpp"
#include "placement/slot_choice.hpp"
#include "placement/waiting_calls.hpp"
#include "routing/registry.hpp"
#include "routing/shared_calls.hpp"

namespace madderdeck::placement {

/// What a coordinator answers.
struct placement_choice {
  std::optional<forwarding::place_answer> place;
  std::string zone;      ///< Another zone that has more room; empty: none.
  bool waiting = false;  ///< An engine is named once a slot is free.
  /// Set where the call would wait for longer than its caller does: when a slot is likely.
  std::optional<Duration> retry_after;
};

/// Every gateway has one; only that of the gateway that the duties name is asked. It keeps nothing that must last:
/// after a change of coordinator the callers' next words fill the new one. Single threaded.
class coordinator {
 public:
  /// @param order of calls for which no slot is free; null: they are sent to an engine at once and wait there.
  coordinator(Environment& environment, Counters& counters, DecisionLog& log, routing::Registry& registry,
              const duties& who, const wire::MemberT& self, std::shared_ptr<const policy::call_order> order = nullptr);

  void start();
  /// Chooses an engine of @p domain for a call, and counts that call from now on. Asked again for a call that waits, it
  /// answers that it does.
  /// @param final no other zone may be named.
  placement_choice choose(const caller& who, const engine_domain& domain, const forwarding::place_query& query,
                          bool final);
  /// The call needs no engine any more.
  void withdraw(const caller& who);
  /// Told of what becomes of this node's own calls that waited.
  std::function<void(std::uint64_t request, const placement_choice&)> on_own_call;
  /// This node's own calls are others than before: a slot may be free.
  void on_calls_changed();
  void handle(const PeerAddress& sender, const wire::PlaceRequestT& message);
  void handle(const wire::PlaceRoomT& message);
  void handle(const wire::PlaceWithdrawalT& message);
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
  /// @return engines of @p domain that warm up and bear one more request now.
  std::vector<routing::Backend*> warming_candidates(const engine_domain& domain, const std::set<BackendId>& excluded);
  /// @return how many calls a second the engines of @p domain that warm up bear together.
  double warm_up_rate(const engine_domain& domain);
  /// @return in what time a call behind @p ahead others gets an engine, slots falling free evenly.
  Duration expected_wait(const engine_domain& domain, const forwarding::place_query& query,
                         const std::vector<routing::Backend*>& open, std::size_t ahead);
  /// @return the engine that gives the call its first token soonest; null where all are full.
  routing::Backend* find_slot(const std::vector<routing::Backend*>& open, const forwarding::place_query& query);
  /// Counts the call at @p engine from now on.
  placement_choice grant(const std::string& node, routing::Backend& engine, const forwarding::place_query& query);
  /// Where every engine is full: another zone, a place among those that wait, or a rejection.
  placement_choice hold(const caller& who, const engine_domain& domain, const forwarding::place_query& query,
                        const std::vector<routing::Backend*>& open, bool final);
  void serve_soon();
  void serve_waiting();
  /// @return whether a waiting call of @p domain was given an engine or another zone.
  bool serve_first(const engine_domain& domain);
  void answer(const PeerAddress& to, std::uint64_t request, const placement_choice& choice);
  void deliver(const engine_domain& domain, const waiting_call& call, const placement_choice& choice);
  /// @return whether @p engine says nothing to its callers or fails their calls.
  bool in_trouble(const BackendId& engine) const;
  bool all_in_trouble(const std::vector<routing::Backend*>& engines) const;
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
  const std::shared_ptr<const policy::call_order> order_;
  routing::shared_calls calls_;
  kept_starts starts_;
  routing::warm_up_pace pace_;
  waiting_calls waiting_;
  bool serving_soon_ = false;
  bool tells_room_ = false;  ///< While domains are asked for.
  failing_engines failing_;
  std::map<engine_domain, room> rooms_;           ///< Of other coordinators.
  std::map<engine_domain, Timestamp> asked_for_;  ///< Domains that this node is coordinator of, by the askers.
  Lifetime lifetime_;
};

}  // namespace madderdeck::placement
