#pragma once
/// @file Where a gateway asks for the engine of a passed-on request, when it does not choose itself.

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "common/environment.hpp"
#include "common/strong_id.hpp"

namespace madderdeck::forwarding {

/// A request that needs an engine. Immutable.
struct place_query {
  std::string pool;
  std::string affinity_key;        ///< Empty: any engine is as good.
  std::set<BackendId> excluded;    ///< Tried before.
  std::optional<BackendId> first;  ///< The engine that affinity would choose, whatever its load.
  Duration reading{};              ///< How long the engine will likely read the prompt; zero: not worth telling.
};

/// The engine to send a request to.
struct place_answer {
  BackendId engine;
  bool needs_yield = false;  ///< Batch work there has to make room.
};

/// Chooses engines for a whole zone or fleet.
class engine_placer {
 public:
  /// Gets nothing where no answer came in time, or no engine takes requests.
  using placed = std::function<void(std::optional<place_answer>)>;

  virtual ~engine_placer() = default;
  /// @return whether to ask here; otherwise the gateway chooses itself.
  virtual bool active() const = 0;
  /// Asks for an engine. @p done may run before this returns.
  virtual void place(const place_query& query, placed done) = 0;
};

}  // namespace madderdeck::forwarding
