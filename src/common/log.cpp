#include "common/log.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

namespace madderdeck {
namespace {

log4cxx::LoggerPtr logger() {
  static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("madderdeck");
  return instance;
}

log4cxx::LevelPtr to_log4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::debug:
      return log4cxx::Level::getDebug();
    case LogLevel::info:
      return log4cxx::Level::getInfo();
    case LogLevel::warning:
      return log4cxx::Level::getWarn();
    case LogLevel::error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

}  // namespace

void configure_logging(LogLevel level, const std::string& file) {
  const auto layout = std::make_shared<log4cxx::JSONLayout>();
  log4cxx::AppenderPtr appender;
  if (file.empty()) {
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    appender = console;
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
  }
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::Logger::getRootLogger()->addAppender(appender);
  log4cxx::Logger::getRootLogger()->setLevel(to_log4cxx(level));
}

void log_event(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  for (const LogField& field : fields) {
    log4cxx::MDC::put(std::string(field.name), field.value);
  }
  logger()->log(to_log4cxx(level), std::string(event), log4cxx::spi::LocationInfo::getLocationUnavailable());
  for (const LogField& field : fields) {
    log4cxx::MDC::remove(std::string(field.name));
  }
}

bool parse_log_level(std::string_view text, LogLevel& level) {
  if (text == "debug") {
    level = LogLevel::debug;
  } else if (text == "info") {
    level = LogLevel::info;
  } else if (text == "warning") {
    level = LogLevel::warning;
  } else if (text == "error") {
    level = LogLevel::error;
  } else {
    return false;
  }
  return true;
}

}  // namespace madderdeck
