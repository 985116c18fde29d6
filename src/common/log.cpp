#include "common/log.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <atomic>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "process/thread.hpp"

namespace madderdeck {
namespace {

using namespace std::chrono_literals;

constexpr auto kBatchTime = 100ms;  ///< Lines within this time are written together: a wake-up costs more than a line.

log4cxx::LoggerPtr logger() {
  static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("madderdeck");
  return instance;
}

std::string_view level_name(LogLevel level) {
  switch (level) {
    case LogLevel::debug:
      return "debug";
    case LogLevel::info:
      return "info";
    case LogLevel::warning:
      return "warning";
    case LogLevel::error:
      return "error";
  }
  return "info";
}

void append_text(std::string& line, std::string_view text) {
  line.push_back('"');
  for (const char sign : text) {
    if (sign == '"' || sign == '\\') {
      line.push_back('\\');
      line.push_back(sign);
    } else if (static_cast<unsigned char>(sign) < 0x20) {
      line.push_back(' ');
    } else {
      line.push_back(sign);
    }
  }
  line.push_back('"');
}

template <class Number>
void append_number(std::string& line, Number number) {
  char text[32];
  const auto written = std::to_chars(text, text + sizeof text, number);
  line.append(text, written.ptr);
}

void append_value(std::string& line, const DecisionValue& value) {
  if (const auto* text = std::get_if<std::string_view>(&value)) {
    append_text(line, *text);
  } else if (const auto* whole = std::get_if<std::int64_t>(&value)) {
    append_number(line, *whole);
  } else if (const auto* number = std::get_if<double>(&value)) {
    append_number(line, *number);
  } else {
    line.append(std::get<bool>(value) ? "true" : "false");
  }
}

std::string format_line(LogLevel level, std::string_view event, std::initializer_list<DecisionField> fields) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  std::string line;
  line.reserve(256);
  line.append("{\"time_ms\":");
  append_number(line, std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  line.append(",\"level\":");
  append_text(line, level_name(level));
  line.append(",\"event\":");
  append_text(line, event);
  for (const DecisionField& field : fields) {
    line.push_back(',');
    append_text(line, field.name);
    line.push_back(':');
    append_value(line, field.value);
  }
  line.push_back('}');
  return line;
}

/// Queue of log lines and the thread that writes them. Thread safe.
class LogQueue {
 public:
  LogQueue(LogLevel least, LogLimits limits) : least_(least), limits_(limits) {}

  /// @return ErrorKind::unavailable if the thread cannot be created.
  Status start() {
    auto created = process::start_thread("log", [this] { write_lines(); });
    if (!succeeded(created)) {
      return error_of(created);
    }
    writer_ = std::move(value_of(created));
    return Ok{};
  }

  bool wanted(LogLevel level) const { return level >= least_; }

  /// @param bounded whether the line is dropped once the limits per second are reached.
  void push(std::string line, bool bounded) {
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    if (now - second_began_ > 1s) {
      second_began_ = now;
      lines_ = 0;
      bytes_ = 0;
    }
    const bool over = lines_ >= limits_.lines_per_second || bytes_ + line.size() > limits_.bytes_per_second;
    if ((bounded && over) || queued_.size() + line.size() > limits_.queued_bytes) {
      ++dropped_;
      return;
    }
    ++lines_;
    bytes_ += line.size();
    const bool was_empty = queued_.empty();
    queued_.append(queued_.empty() ? "" : "\n").append(line);
    pending_ = true;
    if (was_empty) {
      ready_.notify_one();
    }
  }

  std::int64_t dropped() {
    const std::lock_guard lock(mutex_);
    return dropped_;
  }

  bool pending() const { return pending_; }

  void stop(std::chrono::milliseconds patience) {
    std::unique_lock lock(mutex_);
    stopping_ = true;
    ready_.notify_one();
    const bool done = ended_.wait_for(lock, patience, [this] { return finished_; });
    lock.unlock();
    if (done) {
      writer_.join();
    } else {
      writer_.detach();  // the log's reader does not read; the process must still be able to exit
    }
  }

 private:
  void write_lines() {
    std::unique_lock lock(mutex_);
    std::int64_t reported_dropped = 0;
    while (!stopping_ || !queued_.empty()) {
      ready_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
      if (!stopping_) {
        ready_.wait_for(lock, kBatchTime, [this] { return stopping_; });
      }
      std::string lines;
      std::swap(lines, queued_);
      if (dropped_ != reported_dropped) {
        lines.append(lines.empty() ? "" : "\n")
            .append(format_line(LogLevel::warning, "log_lines_dropped", {{"lines", dropped_ - reported_dropped}}));
        reported_dropped = dropped_;
      }
      lock.unlock();
      if (!lines.empty()) {
        logger()->log(log4cxx::Level::getInfo(), lines, log4cxx::spi::LocationInfo::getLocationUnavailable());
      }
      lock.lock();
      pending_ = !queued_.empty();
    }
    finished_ = true;
    ended_.notify_all();
  }

  const LogLevel least_;
  const LogLimits limits_;
  std::mutex mutex_;
  std::condition_variable ready_;
  std::condition_variable ended_;
  std::string queued_;
  std::atomic<bool> pending_ = false;  ///< Whether a line is not written yet; read without the lock.
  std::chrono::steady_clock::time_point second_began_{};
  std::size_t lines_ = 0;
  std::size_t bytes_ = 0;
  std::int64_t dropped_ = 0;
  bool stopping_ = false;
  bool finished_ = false;
  std::thread writer_;
};

/// Null before configure_logging() and after stop_logging(); lines are dropped while it is null.
LogQueue* process_queue = nullptr;

}  // namespace

Status configure_logging(LogLevel level, const std::string& file, const LogLimits& limits) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  log4cxx::AppenderPtr appender;
  if (file.empty()) {
    appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
  }
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::Logger::getRootLogger()->addAppender(appender);
  log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
  stop_logging();
  auto queue = std::make_unique<LogQueue>(level, limits);
  if (const Status started = queue->start(); !succeeded(started)) {
    return started;
  }
  process_queue = queue.release();  // never deleted, as it has to outlive all callers
  return Ok{};
}

void log_event(LogLevel level, std::string_view event, std::initializer_list<DecisionField> fields) {
  if (process_queue != nullptr && process_queue->wanted(level)) {
    process_queue->push(format_line(level, event, fields), false);
  }
}

void stop_logging(unsigned patience_ms) {
  if (process_queue != nullptr) {
    process_queue->stop(std::chrono::milliseconds(patience_ms));
    process_queue = nullptr;
  }
}

bool is_logging() { return process_queue != nullptr; }

bool log_lines_pending() { return process_queue != nullptr && process_queue->pending(); }

std::int64_t log_lines_dropped() { return process_queue == nullptr ? 0 : process_queue->dropped(); }

void ProcessDecisionLog::record(std::string_view event, std::initializer_list<DecisionField> fields) {
  if (process_queue != nullptr && process_queue->wanted(LogLevel::info)) {
    process_queue->push(format_line(LogLevel::info, event, fields), true);
  }
}

bool parse_log_level(std::string_view text, LogLevel& level) {
  for (const LogLevel known : {LogLevel::debug, LogLevel::info, LogLevel::warning, LogLevel::error}) {
    if (level_name(known) == text) {
      level = known;
      return true;
    }
  }
  return false;
}

}  // namespace madderdeck
