#pragma once
/// @file Calls that other nodes have open at each engine, as they tell them.

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "common/environment.hpp"
#include "common/word_numbers.hpp"

namespace madderdeck::routing {

/// Calls open at one engine.
struct open_calls {
  std::uint32_t live = 0;
  std::uint32_t batch = 0;
  std::uint32_t nodes = 0;         ///< That have calls open there.
  std::uint32_t silent_nodes = 0;  ///< Those of them that have heard nothing of it for long.

  /// @return whether the engine says nothing to most of the nodes that have calls open there.
  bool silent() const { return silent_nodes > 0 && 2 * silent_nodes >= nodes; }
  auto operator<=>(const open_calls&) const = default;
};

/// Sums over the nodes that were heard of lately. Single threaded.
class shared_calls {
 public:
  /// Takes what another node tells. A complete message replaces all that it told before.
  void take(const wire::EngineActivityT& message, Timestamp now);
  /// Counts one live call more of @p node at @p engine, until that node tells itself, at most for kExpected.
  void expect(const std::string& node, const BackendId& engine, Timestamp now);
  /// Longer than an answer and the node's own word of the call take. A call that was expected and is not told by then
  /// went elsewhere.
  static constexpr Duration kExpected = 150ms;
  void forget_unfulfilled(Timestamp now);
  /// Forgets nodes that have been silent for long.
  void forget_silent(Timestamp now);
  /// @return calls of all other nodes at @p engine.
  open_calls at(const BackendId& engine) const;
  /// @return whether any other node is heard of.
  bool any_heard() const { return !nodes_.empty(); }
  /// @return the longest time that live calls have lately waited for batch to yield, over all nodes; zero when unknown.
  Duration time_to_yield() const;

 private:
  struct expectation {
    std::string node;
    BackendId engine;
    Timestamp until{};
    std::uint64_t word = 0;  ///< Of the node's words about the engine, the last one before.
  };
  struct told {
    std::map<BackendId, open_calls> engines;
    std::map<BackendId, std::uint64_t> words;  ///< How many there were about an engine.
    std::uint64_t complete_words = 0;
    latest_word latest;
    Duration time_to_yield{};
    Timestamp heard_at{};
  };

  void replace(open_calls& known, const BackendId& engine, open_calls value);
  void drop(const told& node);

  static std::uint64_t words_about(const told& node, const BackendId& engine);

  std::map<std::string, told> nodes_;
  std::deque<expectation> expected_;
  std::unordered_map<BackendId, open_calls> totals_;
};

}  // namespace madderdeck::routing
