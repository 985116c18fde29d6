#pragma once
/// @file Calls that the other nodes have open at each engine, as these nodes report them.

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "common/environment.hpp"
#include "common/word_numbers.hpp"

namespace madderdeck::routing {

/// Open calls at one engine.
struct open_calls {
  std::uint32_t live = 0;
  std::uint32_t batch = 0;
  std::uint32_t nodes = 0;               ///< Nodes with open calls at the engine.
  std::uint32_t unresponsive_nodes = 0;  ///< Those of these nodes to which the engine has long sent nothing.

  /// @return whether the engine is unresponsive to at least half of the nodes with open calls there.
  bool silent() const { return unresponsive_nodes > 0 && 2 * unresponsive_nodes >= nodes; }
  auto operator<=>(const open_calls&) const = default;
};

/// Sums the calls over all nodes that recently sent a call report. Single threaded.
class shared_calls {
 public:
  /// Applies another node's call report. A complete report replaces all earlier reports of that node.
  void take(const wire::EngineActivityT& message, Timestamp now);
  /// Counts one more live call of @p node at @p engine until that node reports its calls there, for at most
  /// kExpectedCallTimeout.
  void expect(const std::string& node, const BackendId& engine, Timestamp now);
  /// Longer than it takes to answer the node and to receive the node's own report of the call. An expected call that is
  /// not reported by then went to another engine.
  static constexpr Duration kExpectedCallTimeout = 150ms;
  void forget_unreported_calls(Timestamp now);
  /// Forgets nodes that have sent no call report for 3 s.
  void forget_unresponsive_nodes(Timestamp now);
  /// @return the calls of all other nodes at @p engine.
  open_calls at(const BackendId& engine) const;
  /// @return whether any other node has recently sent a call report.
  bool has_reports() const { return !nodes_.empty(); }
  /// @return the longest time that live calls recently waited for batch work to free a slot, over all nodes; zero if
  ///         unknown.
  Duration time_to_yield() const;

 private:
  struct expected_call {
    std::string node;
    BackendId engine;
    Timestamp until{};
    std::uint64_t reports_before = 0;  ///< The node's report count for the engine when the call was expected.
  };
  struct node_calls {
    std::map<BackendId, open_calls> engines;
    std::map<BackendId, std::uint64_t> report_counts;  ///< Reports of each engine since the last complete report.
    std::uint64_t complete_reports = 0;
    latest_message_number latest;
    Duration time_to_yield{};
    Timestamp heard_at{};
  };

  void replace(open_calls& known, const BackendId& engine, open_calls value);
  void drop(const node_calls& node);

  static std::uint64_t count_reports_of(const node_calls& node, const BackendId& engine);

  std::map<std::string, node_calls> nodes_;
  std::deque<expected_call> expected_;
  std::unordered_map<BackendId, open_calls> totals_;
};

}  // namespace madderdeck::routing
