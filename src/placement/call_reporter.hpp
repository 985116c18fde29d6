#pragma once
/// @file Tells the coordinators which calls this node has open at their engines.

#include <functional>
#include <map>
#include <set>

#include "common/counters.hpp"
#include "common/word_numbers.hpp"
#include "common/environment.hpp"
#include "placement/place_client.hpp"
#include "routing/registry.hpp"

namespace madderdeck::placement {

/// Changes within a few milliseconds share a message to each coordinator, those that only begin calls within some tens:
/// the coordinator has counted them since it named the engine. Once a second those that look after engines
/// with calls of this node are told everything. Single threaded.
class call_reporter {
 public:
  call_reporter(Environment& environment, Counters& counters, routing::Registry& registry, const place_client& places,
                const duties& who, const wire::MemberT& self, coordinator& own);

  void start();
  /// This node's calls at @p engine are others than before.
  void changed(const BackendId& engine);
  /// A call of this node failed at @p engine; told at once, also to this node's own coordinator.
  void failed(const BackendId& engine, call_trouble trouble);
  /// A call of this node had its first token after @p milliseconds.
  void first_token(const BackendId& engine, double milliseconds);
  /// @param time how long live calls lately waited for batch work to yield.
  void set_time_to_yield(Duration time) { time_to_yield_ = time; }

 private:
  using messages = std::map<PeerAddress, wire::EngineActivityT>;

  void add(messages& to, const BackendId& engine, const routing::Backend* backend, bool complete);
  void send(messages to);
  void tell_changes();
  void tell_within(Duration delay);
  void tell_all();
  void tell_everything();
  void watch();
  void watch_silences();
  /// A coordinator that takes over hears at once what runs at its engines: it would take them for empty.
  void watch_coordinators();
  bool changed_hands(const BackendId& engine, const PeerAddress& told) const;

  Environment& environment_;
  Counters& counters_;
  routing::Registry& registry_;
  const place_client& places_;
  const duties& duties_;
  const wire::MemberT& self_;
  coordinator& own_;
  word_numbers numbers_;
  std::set<BackendId> changed_;
  std::set<BackendId> silent_;
  std::set<BackendId> busy_;                     ///< Has every engine with calls of this node.
  std::map<BackendId, std::uint32_t> first_ms_;  ///< Not told yet.
  std::map<BackendId, PeerAddress> told_;        ///< The coordinator last told of calls at an engine.
  Duration time_to_yield_{};
  std::map<BackendId, std::uint32_t> last_live_;  ///< Open live calls at the latest change.
  bool scheduled_ = false;                        ///< A word follows within kStartDelay,
  bool scheduled_soon_ = false;                   ///< or within kDelay.
  Lifetime lifetime_;
};

}  // namespace madderdeck::placement
