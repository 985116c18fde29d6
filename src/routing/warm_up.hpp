#pragma once
/// @file Limits the request rate of back ends that have just started and are warming up.

#include <deque>
#include <map>

#include "common/environment.hpp"
#include "common/strong_id.hpp"

namespace madderdeck::routing {

/// The limit for the back ends of a pool while they warm up after a start. Immutable.
struct warm_up {
  Duration length{};      ///< Time after a start during which the limit applies.
  double per_second = 0;  ///< Requests per second at one back end during that time, of all callers; 0: unlimited.

  /// @return whether the pool has a limit.
  bool limits() const { return per_second > 0; }
  bool operator==(const warm_up&) const = default;
};

/// Paces the requests that this node allows at back ends that warm up. The limit applies to the whole fleet, so for
/// each back end only one node allows requests. Single threaded.
class warm_up_pace {
 public:
  /// @return whether one more request to @p back_end stays within @p per_second in every interval of one second.
  bool allows(const BackendId& back_end, double per_second, Timestamp now) const;
  void count(const BackendId& back_end, Timestamp now);
  void forget_old(Timestamp now);

 private:
  std::map<BackendId, std::deque<Timestamp>> recent_;  ///< When requests of the last second were allowed.
};

}  // namespace madderdeck::routing
