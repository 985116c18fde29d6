#pragma once
/// @file Sequence numbers for reports of which only the latest counts.

#include <cstdint>

#include "common/environment.hpp"

namespace madderdeck {

/// Generates increasing sequence numbers. Numbers after a restart are greater than those before it, as the sequence
/// starts at the current Unix time.
class word_numbers {
 public:
  explicit word_numbers(const Environment& environment)
      : last_(environment.unix_milliseconds() << kBitsPerMillisecond) {}

  std::uint64_t next() { return ++last_; }

 private:
  /// Leaves 2^12 numbers per millisecond since the start: more than the average number of reports that a node sends.
  static constexpr unsigned kBitsPerMillisecond = 12;
  std::uint64_t last_;
};

/// Keeps the highest sequence number of one sender. Reports from a version without numbers (0) are always accepted.
class latest_message_number {
 public:
  /// Accepts report @p number if it is later than all reports before it.
  /// @return whether it was accepted.
  bool take(std::uint64_t number) {
    const bool later = number == 0 || number > last_;
    last_ = later && number != 0 ? number : last_;
    return later;
  }

 private:
  std::uint64_t last_ = 0;
};

}  // namespace madderdeck
