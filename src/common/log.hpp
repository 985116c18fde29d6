#pragma once
/// @file Structured logs through log4cxx: one JSON object a line, written for changes of state
/// only. What happens often is counted instead (common/counters.hpp).

#include <initializer_list>
#include <string>
#include <string_view>

namespace madderdeck {

enum class LogLevel { debug, info, warning, error };

/// One named value of a log line.
struct LogField {
  std::string_view name;
  std::string value;
};

/// Sets up the process-wide logger.
/// @param level least level that is written.
/// @param file path of the log file; empty for standard error.
void configure_logging(LogLevel level, const std::string& file);

/// Writes one line.
void log_event(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// @return whether @p text names a level; @p level receives it.
bool parse_log_level(std::string_view text, LogLevel& level);

}  // namespace madderdeck
