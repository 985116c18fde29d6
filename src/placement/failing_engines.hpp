#pragma once
/// @file Ejects engines whose calls fail, based on the failures that all nodes report to the engines' coordinator.

#include <map>
#include <vector>

#include "common/environment.hpp"
#include "common/strong_id.hpp"
#include "policy/rate_meter.hpp"

namespace madderdeck::placement {

/// How a call failed at an engine.
enum class call_failure_kind {
  unreachable,  ///< No byte could be sent to the engine.
  broken,       ///< The connection ended, no response came in time, or the engine answered with an error of its own.
};

/// An engine that fails its calls soon has no calls left and would attract all new ones. It is therefore ejected after
/// two failures within a second that are at least a quarter of its calls, or after one call that could not reach it. If
/// calls fail again soon after its return, it is ejected for twice as long. The quarter matters for engines with 40
/// calls a second and more, where two failures in a second happen at a healthy engine, too. Single threaded.
class failing_engines {
 public:
  /// Counts a call that is sent to @p engine.
  void count_call(const BackendId& engine, Timestamp now);
  void record(const BackendId& engine, call_failure_kind trouble, Timestamp now);
  /// @return whether @p engine is ejected at @p now: it should get no calls while other engines are available.
  bool is_ejected(const BackendId& engine, Timestamp now) const;
  /// Removes engines whose last failure is long ago.
  void remove_expired(Timestamp now);

 private:
  struct failure_history {
    Timestamp failed_at{};
    std::vector<Timestamp> failures;  ///< Those of the last second.
    Timestamp ejected_until{};
    unsigned doublings = 0;
  };

  std::map<BackendId, failure_history> engines_;
  std::map<BackendId, policy::rate_meter> calls_;
};

}  // namespace madderdeck::placement
