#pragma once
/// @file Engines at which calls of several nodes fail, as their coordinator hears of it.

#include <map>

#include "common/environment.hpp"
#include "common/strong_id.hpp"

namespace madderdeck::placement {

/// How a call failed at an engine.
enum class call_trouble {
  unreachable,  ///< No byte could be sent.
  broken,       ///< The connection ended, nothing came in time, or the answer was the engine's own failure.
};

/// An engine that breaks its calls is empty soon and would get all new ones. Two failures within a second, or one that
/// could not be reached, set it aside; when calls fail again soon after it came back, for twice as long. Single
/// threaded.
class failing_engines {
 public:
  void record(const BackendId& engine, call_trouble trouble, Timestamp now);
  /// @return whether @p engine is to get no calls at @p now, while others are there.
  bool aside(const BackendId& engine, Timestamp now) const;
  /// Forgets engines whose last failure is long ago.
  void forget_old(Timestamp now);

 private:
  struct history {
    Timestamp failed_at{};
    Timestamp aside_until{};
    unsigned doublings = 0;
  };

  std::map<BackendId, history> engines_;
};

}  // namespace madderdeck::placement
