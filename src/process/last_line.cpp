#include "process/last_line.hpp"

#include <time.h>
#include <unistd.h>

namespace madderdeck::process {
namespace {

constexpr std::size_t kEndBytes = 3;  ///< A quote, a brace and the end of the line.

std::int64_t unix_milliseconds() {
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  return std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1'000'000;
}

}  // namespace

line_writer::line_writer(const char* level, const char* event) {
  append_raw("{\"time_ms\":");
  append_number(unix_milliseconds());
  text("level", level);
  text("event", event);
}

line_writer& line_writer::text(const char* name, const char* value) {
  begin_field(name);
  append('"');
  for (const char* sign = value; *sign != '\0' && size_ + 2 * kEndBytes < kMaxBytes; ++sign) {
    if (*sign == '"' || *sign == '\\') {
      append('\\');
      append(*sign);
    } else {
      append(static_cast<unsigned char>(*sign) < 0x20 ? ' ' : *sign);
    }
  }
  bytes_[size_++] = '"';
  return *this;
}

line_writer& line_writer::number(const char* name, std::int64_t value) {
  begin_field(name);
  append_number(value);
  return *this;
}

void line_writer::write() {
  bytes_[size_++] = '}';
  bytes_[size_++] = '\n';
  [[maybe_unused]] const ssize_t written = ::write(STDERR_FILENO, bytes_.data(), size_);
  size_ -= 2;
}

void line_writer::append(char sign) {
  if (size_ + kEndBytes < kMaxBytes) {
    bytes_[size_++] = sign;
  }
}

void line_writer::append_raw(const char* signs) {
  for (; *signs != '\0'; ++signs) {
    append(*signs);
  }
}

void line_writer::append_number(std::int64_t value) {
  std::array<char, 20> digits;
  std::size_t count = 0;
  auto rest = value < 0 ? 0 - static_cast<std::uint64_t>(value) : static_cast<std::uint64_t>(value);
  do {
    digits.at(count++) = static_cast<char>('0' + rest % 10);
    rest /= 10;
  } while (rest != 0);
  if (value < 0) {
    append('-');
  }
  while (count > 0) {
    append(digits.at(--count));
  }
}

void line_writer::begin_field(const char* name) {
  append(',');
  append('"');
  append_raw(name);
  append('"');
  append(':');
}

}  // namespace madderdeck::process
