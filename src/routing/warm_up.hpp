#pragma once
/// @file Back ends that have just started bear few requests for a while.

#include <deque>
#include <map>

#include "common/environment.hpp"
#include "common/strong_id.hpp"

namespace madderdeck::routing {

/// What the back ends of a pool bear after a start. Immutable.
struct warm_up {
  Duration length{};      ///< From a start on.
  double per_second = 0;  ///< Requests that one back end bears meanwhile, of all callers; 0: any number.

  /// @return whether there is anything to limit.
  bool limits() const { return per_second > 0; }
  bool operator==(const warm_up&) const = default;
};

/// Spaces the requests that this node allows at back ends that warm up. The limit is one of the whole fleet, so for
/// each back end one node alone allows them. Single threaded.
class warm_up_pace {
 public:
  /// @return whether one more request to @p back_end keeps to @p per_second in each second.
  bool allows(const BackendId& back_end, double per_second, Timestamp now) const;
  void count(const BackendId& back_end, Timestamp now);
  void forget_old(Timestamp now);

 private:
  std::map<BackendId, std::deque<Timestamp>> recent_;  ///< When requests of the last second were allowed.
};

}  // namespace madderdeck::routing
