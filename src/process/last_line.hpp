#pragma once
/// @file Log lines that are written directly to standard error: before there is a log, and when the process ends.

#include <array>
#include <cstddef>
#include <cstdint>

namespace madderdeck::process {

/// Composes one line of the log's form in a buffer of its own. Allocates nothing, takes no lock, and may be used in
/// handlers of signals. What does not fit is cut off.
class line_writer {
 public:
  line_writer(const char* level, const char* event);
  /// Adds a field. @p value: quotes and backslashes are escaped, other signs below a space become spaces.
  line_writer& text(const char* name, const char* value);
  line_writer& number(const char* name, std::int64_t value);
  /// Writes the line to standard error.
  void write();

 private:
  static constexpr std::size_t kMaxBytes = 1024;
  void append(char sign);
  void append_raw(const char* signs);
  void append_number(std::int64_t value);
  void begin_field(const char* name);

  std::array<char, kMaxBytes> bytes_;
  std::size_t size_ = 0;
};

}  // namespace madderdeck::process
