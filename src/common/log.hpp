#pragma once
/// @file Structured logs through log4cxx: one JSON object a line. Callers never wait: lines go
/// through a bounded queue to a thread of its own, and what does not fit is counted and said.

#include <memory>
#include <string>
#include <string_view>

#include "common/decision_log.hpp"

namespace madderdeck {

enum class LogLevel { debug, info, warning, error };

/// Bounds on what one process writes.
struct LogLimits {
  std::size_t lines_per_second = 600;
  std::size_t bytes_per_second = 256 * 1024;
  std::size_t queued_bytes = 512 * 1024;  ///< Waiting for a slow reader of the log.
};

/// Sets up the process-wide log.
/// @param level least level that is written.
/// @param file path of the log file; empty for standard output.
void configure_logging(LogLevel level, const std::string& file, const LogLimits& limits = {});

/// Writes one line. Lines of this kind are rare (start, stop, changes of state) and go before others.
void log_event(LogLevel level, std::string_view event, std::initializer_list<DecisionField> fields = {});

/// Writes what is queued and ends the log's thread; waits at most @p patience_ms for a slow reader.
void stop_logging(unsigned patience_ms = 200);

/// @return lines that were dropped so far.
std::int64_t log_lines_dropped();

/// @return whether @p text names a level; @p level receives it.
bool parse_log_level(std::string_view text, LogLevel& level);

/// Decisions as lines of the process-wide log at level info.
class ProcessDecisionLog : public DecisionLog {
 public:
  void record(std::string_view event, std::initializer_list<DecisionField> fields) override;
};

}  // namespace madderdeck
