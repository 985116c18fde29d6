#pragma once
/// @file Structured logs through log4cxx: one JSON object per line. Callers never wait: a dedicated thread writes the
/// lines from a bounded queue. Lines that do not fit are dropped; their number is logged.

#include <memory>
#include <string>
#include <string_view>

#include "common/decision_log.hpp"
#include "common/error.hpp"

namespace madderdeck {

enum class LogLevel { debug, info, warning, error };

/// Limits on the log output of one process.
struct LogLimits {
  std::size_t lines_per_second = 600;
  std::size_t bytes_per_second = 256 * 1024;
  std::size_t queued_bytes = 512 * 1024;  ///< Bytes that may wait for a slow reader of the log.
};

/// Sets up the process-wide log.
/// @param level lowest level that is written.
/// @param file path of the log file; empty for standard output.
/// @return ErrorKind::unavailable if the log's thread cannot be created; there is no log then, and a later call may
///         succeed.
Status configure_logging(LogLevel level, const std::string& file, const LogLimits& limits = {});

/// Writes one line. These lines are rare (start, stop, state changes), so they are exempt from the limits per second.
void log_event(LogLevel level, std::string_view event, std::initializer_list<DecisionField> fields = {});

/// Writes the queued lines and stops the log's thread; waits at most @p patience_ms for a slow reader.
void stop_logging(unsigned patience_ms = 200);

/// @return whether the log is set up; lines are dropped otherwise.
bool is_logging();

/// @return whether lines are queued that are not written yet. Takes no lock, so that a process that is about to end may
///         call it anywhere.
bool log_lines_pending();

/// @return the number of lines that were dropped so far.
std::int64_t log_lines_dropped();

/// @return whether @p text names a level; @p level receives it.
bool parse_log_level(std::string_view text, LogLevel& level);

/// Writes decision records to the process-wide log at level info.
class ProcessDecisionLog : public DecisionLog {
 public:
  void record(std::string_view event, std::initializer_list<DecisionField> fields) override;
};

}  // namespace madderdeck
