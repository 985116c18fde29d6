#pragma once
/// @file Engines at which calls of several nodes fail, as their coordinator hears of it.

#include <map>
#include <vector>

#include "common/environment.hpp"
#include "common/strong_id.hpp"
#include "policy/rate_meter.hpp"

namespace madderdeck::placement {

/// How a call failed at an engine.
enum class call_trouble {
  unreachable,  ///< No byte could be sent.
  broken,       ///< The connection ended, nothing came in time, or the answer was the engine's own failure.
};

/// An engine that breaks its calls is empty soon and would get all new ones. Two failures within a second that are a
/// quarter of its calls or more, or one that could not be reached, set it aside; when calls fail again soon after it
/// came back, for twice as long. Where an engine has 40 calls a second and more, two in a second fail at a sound one,
/// too. Single threaded.
class failing_engines {
 public:
  /// A call goes to @p engine.
  void count_call(const BackendId& engine, Timestamp now);
  void record(const BackendId& engine, call_trouble trouble, Timestamp now);
  /// @return whether @p engine is to get no calls at @p now, while others are there.
  bool aside(const BackendId& engine, Timestamp now) const;
  /// Forgets engines whose last failure is long ago.
  void forget_old(Timestamp now);

 private:
  struct history {
    Timestamp failed_at{};
    std::vector<Timestamp> failures;  ///< Of the last second.
    Timestamp aside_until{};
    unsigned doublings = 0;
  };

  std::map<BackendId, history> engines_;
  std::map<BackendId, policy::rate_meter> calls_;
};

}  // namespace madderdeck::placement
