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
                const duties& node_duties, const wire::MemberT& self, coordinator& own);

  void start();
  /// Schedules a report after this node's calls at @p engine have changed.
  void changed(const BackendId& engine);
  /// Reports at once, also to this node's own coordinator, that a call of this node failed at @p engine.
  void failed(const BackendId& engine, call_failure_kind trouble);
  /// Records that a call of this node got its first token from @p engine after @p milliseconds.
  void first_token(const BackendId& engine, double milliseconds);
  /// @param time how long live calls recently waited for batch work to yield its slot.
  void set_time_to_yield(Duration time) { time_to_yield_ = time; }

 private:
  using messages = std::map<PeerAddress, wire::EngineActivityT>;

  void add_entry(messages& to, const BackendId& engine, const routing::Backend* backend, bool complete);
  void send(messages to);
  void report_changes();
  void schedule_report(Duration delay);
  void report_periodically();
  void report_all();
  void check_periodically();
  void check_unresponsive_engines();
  /// Sends a complete report at once when an engine got another coordinator, which would otherwise assume that the
  /// engine is idle.
  void check_coordinators();
  bool coordinator_changed(const BackendId& engine, const PeerAddress& receiver) const;

  Environment& environment_;
  Counters& counters_;
  routing::Registry& registry_;
  const place_client& places_;
  const duties& duties_;
  const wire::MemberT& self_;
  coordinator& own_coordinator_;
  word_numbers message_numbers_;
  std::set<BackendId> changed_engines_;
  std::set<BackendId> unresponsive_;
  std::set<BackendId> busy_engines_;                   ///< Contains every engine with calls of this node.
  std::map<BackendId, std::uint32_t> first_token_ms_;  ///< Time to the first token, not reported yet.
  std::map<BackendId, PeerAddress> last_receiver_;  ///< The coordinator that last got a report of calls at an engine.
  Duration time_to_yield_{};
  std::map<BackendId, std::uint32_t> last_live_calls_;  ///< Open live calls per engine at the latest change.
  bool report_scheduled_ = false;                       ///< A report follows within kStartReportDelay.
  bool report_scheduled_soon_ = false;                  ///< A report follows within kReportDelay.
  Lifetime lifetime_;
};

}  // namespace madderdeck::placement
