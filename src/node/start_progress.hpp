#pragma once
/// @file What a node waited for between its start and the first request that it answered. Does no I/O.

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"

namespace madderdeck::node {

/// What a node needs before it is ready.
enum class start_need : std::size_t {
  configuration,  ///< Routes, from the platform's store or a peer.
  machines,       ///< The list of engines, as above.
  groups,         ///< The description of the replica groups, for a node that takes no requests.
  own_records,    ///< The records that the groups have placed on this node's disk.
  drain,          ///< It was told to stop before it was ready.
};
inline constexpr std::size_t kStartNeeds = 5;
/// @return the name in counters and log lines.
const char* name_of(start_need need);

/// Adds up for how long each need was the first that was missing. Single threaded.
class start_progress {
 public:
  /// A need that lasts for so long is reported while it lasts, then after twice the time, and so on.
  static constexpr Duration kFirstReport = 1s;

  /// @param counters gauges start_waited_NEED_ms, start_ready_ms and start_served_ms; outlives this object, as @p log.
  start_progress(std::string node, Timestamp began, Counters& counters, DecisionLog& log)
      : node_(std::move(node)), began_(began), last_look_(began), counters_(counters), log_(log) {}

  /// Takes note of the state now; called at intervals, which are its resolution.
  /// @param missing the first need that is missing; nothing: the node is ready.
  /// @param answered requests so far.
  void look(Timestamp now, std::optional<start_need> missing, std::int64_t answered);
  /// @return whether a request has been answered, after which nothing more is noted.
  bool is_over() const { return served_; }

 private:
  void report_wait(Timestamp now, start_need missing);
  void report_ready(Timestamp now);
  void report_served(Timestamp now);
  /// @return the needs that lasted, as "configuration 1200, machines 50"; in ms.
  std::string describe() const;

  const std::string node_;
  const Timestamp began_;
  Timestamp last_look_;
  Counters& counters_;
  DecisionLog& log_;
  std::array<Duration, kStartNeeds> waited_{};
  Duration next_report_ = kFirstReport;
  bool was_ready_ = false;
  bool served_ = false;
};

}  // namespace madderdeck::node
