#pragma once
/// @file Tells the other gateways which calls this node has open at which engines.

#include <functional>
#include <set>
#include <vector>

#include "common/counters.hpp"
#include "common/word_numbers.hpp"
#include "common/environment.hpp"
#include "routing/registry.hpp"

namespace madderdeck::routing {

/// Changes within a time that grows with the number of peers share a message, so that no node gets more than a bounded
/// number of messages a second; once a second everything is told. Single threaded.
class call_announcer {
 public:
  using peers = std::function<std::vector<PeerAddress>()>;
  using looks_after = std::function<bool(const BackendId&)>;

  /// @param to the peers that choose engines.
  /// @param own whether this node tells what an engine reports and nobody has told of.
  call_announcer(Environment& environment, Counters& counters, Registry& registry, std::string node, peers to,
                 looks_after own);

  void start();
  /// This node's calls at @p engine are others than before.
  void changed(const BackendId& engine);
  /// @param time how long live calls lately waited for batch work to yield.
  void set_time_to_yield(Duration time) { time_to_yield_ = time; }
  /// @return how late a change may reach the peers; the age of what they tell.
  Duration delay() const { return delay_; }

 private:
  void tell(bool complete);
  void refresh();

  Environment& environment_;
  Counters& counters_;
  Registry& registry_;
  const std::string node_;
  const peers to_;
  const looks_after own_;
  word_numbers numbers_;
  std::set<BackendId> changed_;
  Duration time_to_yield_{};
  Duration delay_{};
  bool scheduled_ = false;
  Lifetime lifetime_;
};

}  // namespace madderdeck::routing
