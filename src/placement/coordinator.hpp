#pragma once
/// @file Assigns engines to the live calls of a zone, based on all calls open there.

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

/// A coordinator's reply to a request for an engine.
struct placement_choice {
  std::optional<forwarding::engine_assignment> place;
  std::string zone;      ///< Another zone with more free slots; empty: none.
  bool waiting = false;  ///< The call is queued; a second reply names an engine once a slot is free.
  /// Set if the call is rejected, since it would wait for longer than its caller does: time until a slot is likely
  /// free.
  std::optional<Duration> retry_after;
};

/// Every gateway has a coordinator, but callers ask only the one on the gateway that `duties` selects. A coordinator
/// has no durable state: after a change of coordinator, the callers' next reports rebuild it. Single threaded.
class coordinator {
 public:
  /// @param order order in which calls wait for a slot; null: calls are sent to an engine at once and wait there.
  coordinator(Environment& environment, Counters& counters, DecisionLog& log, routing::Registry& registry,
              const duties& node_duties, const wire::MemberT& self,
              std::shared_ptr<const policy::call_order> order = nullptr);

  void start();
  /// Assigns an engine of @p domain to a call, and counts that call from now on. A repeated request for a call that
  /// waits gets the reply that the call is waiting.
  /// @param final whether the reply must not refer the caller to another zone.
  placement_choice choose(const caller& origin, const engine_domain& domain, const forwarding::placement_query& query,
                          bool final);
  /// Removes a waiting call that needs no engine any more.
  void withdraw(const caller& origin);
  /// Called with the result for a call of this node that has waited.
  std::function<void(std::uint64_t request, const placement_choice&)> on_own_call_decided;
  /// Looks for free slots after this node's own calls have changed.
  void on_calls_changed();
  void handle(const PeerAddress& sender, const wire::PlaceRequestT& message);
  void handle(const wire::PlaceRoomT& message);
  void handle(const wire::PlaceWithdrawalT& message);
  void handle(const wire::EngineFailureT& message);
  /// Applies the report of a gateway or dispatcher about its calls.
  void take(const wire::EngineActivityT& message);
  /// @return calls of the other nodes, as these nodes reported them.
  const routing::shared_calls& calls() const { return calls_; }

 private:
  struct free_slot_report {
    std::uint32_t free = 0;
    Timestamp reported_at{};
  };

  /// @return the engines of @p domain that the call of @p query may be sent to, however busy they are.
  std::vector<routing::Backend*> candidates(const engine_domain& domain, const forwarding::placement_query& query);
  /// @return engines of @p domain that are warming up and whose rate limit admits another request now.
  std::vector<routing::Backend*> warming_candidates(const engine_domain& domain,
                                                    const forwarding::placement_query& query);
  /// @return the sum of the rate limits, in calls per second, of the engines of @p domain that are warming up and that
  ///         the call of @p query may be sent to.
  double warm_up_rate(const engine_domain& domain, const forwarding::placement_query& query);
  /// @return the time until a call behind @p ahead others gets an engine, if slots become free at an even rate.
  Duration expected_wait(const engine_domain& domain, const forwarding::placement_query& query,
                         const std::vector<routing::Backend*>& open, std::size_t ahead);
  /// @return the engine that is expected to give the call its first token soonest; null if all are full.
  routing::Backend* find_slot(const std::vector<routing::Backend*>& open, const forwarding::placement_query& query);
  /// Assigns the call to @p engine and counts it there from now on.
  placement_choice assign(const std::string& node, routing::Backend& engine, const forwarding::placement_query& query);
  /// Handles a call for which every engine is full: refers it to another zone, queues it or rejects it.
  placement_choice handle_full_domain(const caller& origin, const engine_domain& domain,
                                      const forwarding::placement_query& query,
                                      const std::vector<routing::Backend*>& open, bool final);
  void schedule_serving();
  void serve_waiting();
  /// @return whether a waiting call of @p domain was assigned an engine or referred to another zone.
  bool serve_first(const engine_domain& domain);
  void send_reply(const PeerAddress& to, std::uint64_t request, const placement_choice& choice);
  void deliver(const engine_domain& domain, const waiting_call& call, const placement_choice& choice);
  /// @return whether @p engine is unresponsive to its callers or ejected for failing their calls.
  bool is_unhealthy(const BackendId& engine) const;
  bool all_unhealthy(const std::vector<routing::Backend*>& engines) const;
  /// Counts one free slot of the zone that it returns as taken.
  /// @return the other zone of the pool with most free slots, as last reported; nothing if none is known to have
  /// enough.
  std::optional<std::string> zone_with_free_slots(const engine_domain& domain);
  void report_free_slots();
  void maintain();

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  routing::Registry& registry_;
  const duties& duties_;
  const wire::MemberT& self_;
  const std::shared_ptr<const policy::call_order> order_;
  routing::shared_calls calls_;
  prefix_cache_tracker cached_prefixes_;
  routing::warm_up_pace warm_up_pace_;
  waiting_calls waiting_;
  bool serving_scheduled_ = false;
  bool reports_free_slots_ = false;  ///< Whether the report timer runs: until no domain is asked for.
  failing_engines failing_engines_;
  std::map<engine_domain, free_slot_report> free_slot_reports_;  ///< Free slots that other coordinators reported.
  std::map<engine_domain, Timestamp> last_asked_;                ///< Latest request for engines of a domain.
  Lifetime lifetime_;
};

}  // namespace madderdeck::placement
