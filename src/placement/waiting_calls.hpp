#pragma once
/// @file Live calls that wait at a coordinator until a slot is free.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "forwarding/engine_placer.hpp"
#include "placement/engine_domain.hpp"

namespace madderdeck::placement {

/// Who asks for an engine.
struct caller {
  std::string node;
  std::uint64_t request = 0;  ///< Number of the question, unique at its node.
  PeerAddress address;        ///< Where the node hears answers.

  bool same_question(const caller& other) const { return node == other.node && request == other.request; }
};

/// A call that waits.
struct waiting_call {
  caller who;
  forwarding::place_query query;
  Timestamp arrived{};
  Timestamp due_at{};   ///< Later starts miss the target.
  Timestamp gone_at{};  ///< The caller is given up on then.
  Timestamp heard_at{};

  policy::call_outlook outlook(Timestamp now) const { return {query.rank, due_at - now, now - arrived}; }
};

/// Only the question waits here: the request itself stays with its gateway, which asks again every kRefresh and goes
/// elsewhere when this node dies. Single threaded.
class waiting_calls {
 public:
  /// How often a gateway repeats the question of a call that waits.
  static constexpr Duration kRefresh = 300ms;
  /// Questions that one coordinator keeps; about 300 bytes each.
  static constexpr std::size_t kMost = 8'192;

  /// @param order outlives this.
  explicit waiting_calls(const policy::call_order& order) : order_(order) {}

  bool empty() const { return count_ == 0; }
  std::size_t size() const { return count_; }
  std::size_t size(const engine_domain& domain) const;
  std::vector<engine_domain> domains() const;
  /// @return whether the call waits already; it has been heard of again.
  bool refresh(const engine_domain& domain, const caller& who, Timestamp now);
  void add(const engine_domain& domain, waiting_call call);
  void withdraw(const caller& who);
  /// @return how many calls of @p domain go before @p call.
  std::size_t ahead_of(const engine_domain& domain, const waiting_call& call, Timestamp now) const;
  /// @return the calls of @p domain, the first one first.
  const std::vector<waiting_call>& in_order(const engine_domain& domain, Timestamp now);
  /// Takes the call at @p position of in_order() out.
  waiting_call take(const engine_domain& domain, std::size_t position);
  /// Drops calls whose gateway has not asked again, or whose time is over.
  /// @return how many.
  std::size_t drop_silent(Timestamp now);

 private:
  const policy::call_order& order_;
  std::map<engine_domain, std::vector<waiting_call>> calls_;
  std::size_t count_ = 0;
};

}  // namespace madderdeck::placement
