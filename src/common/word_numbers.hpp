#pragma once
/// @file Numbers for words of which only the latest counts.

#include <cstdint>

#include "common/environment.hpp"

namespace madderdeck {

/// Each number is greater than those before, also than those that this node gave before it started anew.
class word_numbers {
 public:
  explicit word_numbers(const Environment& environment)
      : last_(environment.unix_milliseconds() << kBitsPerMillisecond) {}

  std::uint64_t next() { return ++last_; }

 private:
  /// More words than a node sends in a millisecond of its life, on average.
  static constexpr unsigned kBitsPerMillisecond = 12;
  std::uint64_t last_;
};

/// Remembers the greatest number of one sender. Words of a version that gives none (0) all count.
class latest_word {
 public:
  /// @return whether word @p number is later than all before; remembers it then.
  bool take(std::uint64_t number) {
    const bool later = number == 0 || number > last_;
    last_ = later && number != 0 ? number : last_;
    return later;
  }

 private:
  std::uint64_t last_ = 0;
};

}  // namespace madderdeck
