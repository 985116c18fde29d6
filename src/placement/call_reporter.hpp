#pragma once
/// @file Reports this node's open calls to the coordinators of the engines that run them.

#include <functional>
#include <map>
#include <set>

#include "common/counters.hpp"
#include "common/word_numbers.hpp"
#include "common/environment.hpp"
#include "placement/place_client.hpp"
#include "routing/registry.hpp"

namespace madderdeck::placement {

/// Changes within a few milliseconds are sent to each coordinator in one message. Changes that only begin calls may
/// wait for some tens of milliseconds, because the coordinator has counted these calls since it assigned the engine.
/// Once a second, each coordinator of an engine with calls of this node gets a complete report. Single threaded.
class call_reporter {
 public:
  call_reporter(Environment& environment, Counters& counters, routing::Registry& registry, const place_client& places,
                const duties& who, const wire::MemberT& self, coordinator& own);

  void start();
  /// Schedules a report after this node's calls at @p engine have changed.
  void changed(const BackendId& engine);
  /// Reports at once, also to this node's own coordinator, that a call of this node failed at @p engine.
  void failed(const BackendId& engine, call_trouble trouble);
  /// Records that a call of this node got its first token from @p engine after @p milliseconds.
  void first_token(const BackendId& engine, double milliseconds);
  /// @param time how long live calls recently waited for batch work to yield its slot.
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
  /// Sends a complete report at once when an engine got another coordinator, which would otherwise assume that the
  /// engine is idle.
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
  std::set<BackendId> busy_;                     ///< Contains every engine with calls of this node.
  std::map<BackendId, std::uint32_t> first_ms_;  ///< Time to the first token, not reported yet.
  std::map<BackendId, PeerAddress> told_;        ///< The coordinator that last got a report of calls at an engine.
  Duration time_to_yield_{};
  std::map<BackendId, std::uint32_t> last_live_;  ///< Open live calls per engine at the latest change.
  bool scheduled_ = false;                        ///< A report follows within kStartDelay.
  bool scheduled_soon_ = false;                   ///< A report follows within kDelay.
  Lifetime lifetime_;
};

}  // namespace madderdeck::placement
