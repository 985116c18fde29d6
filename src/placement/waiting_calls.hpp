#pragma once
/// @file Queue of live calls that wait at a coordinator for a free slot.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "forwarding/engine_placer.hpp"
#include "placement/engine_domain.hpp"

namespace madderdeck::placement {

/// Origin of a request for an engine.
struct caller {
  std::string node;
  std::uint64_t request = 0;  ///< Number of the request, unique at its node.
  PeerAddress address;        ///< Peer address to which replies are sent.

  bool same_request(const caller& other) const { return node == other.node && request == other.request; }
};

/// A call that waits for a slot.
struct waiting_call {
  caller origin;
  forwarding::placement_query query;
  Timestamp arrived{};
  Timestamp due_at{};      ///< A call that starts later misses its latency target.
  Timestamp expires_at{};  ///< The caller stops waiting at this time.
  Timestamp last_request_at{};

  policy::waiting_call_state outlook(Timestamp now) const { return {query.rank, due_at - now, now - arrived}; }
};

/// Holds only the requests for engines: the call itself stays at its gateway, which repeats the request every
/// kRepeatInterval and turns to another coordinator when this node fails. Single threaded.
class waiting_calls {
 public:
  /// Interval at which a gateway repeats the request for a call that waits.
  static constexpr Duration kRepeatInterval = 300ms;
  /// Maximum number of calls that wait at one coordinator; each takes about 300 bytes.
  static constexpr std::size_t kMaxCalls = 8'192;

  /// @param order outlives this.
  explicit waiting_calls(const policy::call_order& order) : order_(order) {}

  bool empty() const { return count_ == 0; }
  std::size_t size() const { return count_; }
  std::size_t size(const engine_domain& domain) const;
  std::vector<engine_domain> domains() const;
  /// Marks a waiting call as still wanted by its gateway.
  /// @return whether the call is in the queue.
  bool refresh(const engine_domain& domain, const caller& origin, Timestamp now);
  void add(const engine_domain& domain, waiting_call call);
  void withdraw(const caller& origin);
  /// @return how many waiting calls of @p domain would be served before @p call.
  std::size_t ahead_of(const engine_domain& domain, const waiting_call& call, Timestamp now) const;
  /// @return the waiting calls of @p domain in the order in which they are to be served at @p now.
  const std::vector<waiting_call>& in_order(const engine_domain& domain, Timestamp now);
  /// Removes and returns the call at @p position of in_order().
  waiting_call take(const engine_domain& domain, std::size_t position);
  /// Removes calls whose gateway no longer repeats the request, or whose caller has stopped waiting.
  /// @return how many calls were removed.
  std::size_t remove_expired(Timestamp now);

 private:
  const policy::call_order& order_;
  std::map<engine_domain, std::vector<waiting_call>> calls_;
  std::size_t count_ = 0;
};

}  // namespace madderdeck::placement
