#pragma once
/// @file Reports to the other gateways how many calls this node has open at each engine.

#include <functional>
#include <set>
#include <vector>

#include "common/counters.hpp"
#include "common/word_numbers.hpp"
#include "common/environment.hpp"
#include "routing/registry.hpp"

namespace madderdeck::routing {

/// Sends changes in batches: all changes within delay() share one message. The delay grows with the number of peers,
/// which bounds the number of messages a node receives per second. Once a second a complete report is sent. Single
/// threaded.
class call_announcer {
 public:
  using peers = std::function<std::vector<PeerAddress>()>;
  using owner_check = std::function<bool(const BackendId&)>;

  /// @param to returns the peers that choose engines.
  /// @param own returns whether this node also reports the requests that an engine's load report contains but no call
  ///        report does.
  call_announcer(Environment& environment, Counters& counters, Registry& registry, std::string node, peers to,
                 owner_check own);

  void start();
  /// Call this when the number of this node's calls at @p engine changes.
  void changed(const BackendId& engine);
  /// @param time how long live calls recently waited for batch work to free a slot.
  void set_time_to_yield(Duration time) { time_to_yield_ = time; }
  /// @return the longest time between a change and its report; the peers' reports are out of date by up to as much.
  Duration delay() const { return delay_; }

 private:
  void tell(bool complete);
  void refresh();

  Environment& environment_;
  Counters& counters_;
  Registry& registry_;
  const std::string node_;
  const peers announce_peers_;
  const owner_check owns_;
  word_numbers numbers_;
  std::set<BackendId> changed_;
  Duration time_to_yield_{};
  Duration delay_{};
  bool scheduled_ = false;
  Lifetime lifetime_;
};

}  // namespace madderdeck::routing
