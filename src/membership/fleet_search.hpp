#pragma once
/// @file State of a node's search for the fleet while it knows no live member. Used for logs and metrics only; no
/// decision depends on it.

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>

#include "common/environment.hpp"

namespace madderdeck::membership {

/// How the sender of the message that ended a search was known to this node.
enum class discovery_source { seed, remembered_peer, peer };

/// @return the name of @p who in logs.
std::string_view name_of(discovery_source who);

/// A search begins when a node starts or all members it knew are dead. It ends when the node learns of a live member.
class fleet_search {
 public:
  /// @param at_start whether the node has just started; otherwise all members that it knew are dead.
  /// Resets the counters of messages sent.
  void begin(Timestamp now, bool at_start);
  void end() { active_ = false; }
  bool active() const { return active_; }
  bool at_start() const { return at_start_; }
  Duration alone(Timestamp now) const { return now - began_at_; }
  /// @return whether a report of the ongoing search is due: first after kFirstReportDelay, then at intervals that
  /// double up to kMaxReportInterval. If so, the next report is scheduled; the caller is expected to emit this one.
  bool take_due_report(Timestamp now);

  std::size_t seeds_asked = 0;       ///< Pings sent to seeds during this search.
  std::size_t remembered_asked = 0;  ///< Pings sent to peers read from the disk during this search.

  static constexpr Duration kFirstReportDelay = 3s;
  static constexpr Duration kMaxReportInterval = 10min;

 private:
  bool active_ = false;
  bool at_start_ = false;
  Timestamp began_at_{};
  Timestamp next_report_{};
  Duration report_interval_{};
};

}  // namespace madderdeck::membership
