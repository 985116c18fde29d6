#pragma once
/// @file How a node looks for the fleet while it knows no living member. For operators only: nothing is decided by it.

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>

#include "common/environment.hpp"

namespace madderdeck::membership {

/// Whose word ended a search.
enum class found_by { seed, remembered_peer, peer };

/// @return its name in logs.
std::string_view name_of(found_by who);

/// A search begins when a node starts, or has lost all members, and ends with the first word of a living one.
class fleet_search {
 public:
  /// @param at_start whether the node has just started; otherwise all members that it knew are dead.
  void begin(Timestamp now, bool at_start);
  void end() { active_ = false; }
  bool active() const { return active_; }
  bool at_start() const { return at_start_; }
  Duration alone(Timestamp now) const { return now - began_at_; }
  /// @return whether it is time to tell of it: after kFirstWord, then with pauses that double. Asking counts as
  /// telling.
  bool take_word(Timestamp now);

  std::size_t seeds_asked = 0;       ///< Messages to seeds, in this search.
  std::size_t remembered_asked = 0;  ///< To peers that the disk remembers.

  static constexpr Duration kFirstWord = 3s;
  static constexpr Duration kLongestPause = 10min;

 private:
  bool active_ = false;
  bool at_start_ = false;
  Timestamp began_at_{};
  Timestamp next_word_{};
  Duration pause_{};
};

}  // namespace madderdeck::membership
