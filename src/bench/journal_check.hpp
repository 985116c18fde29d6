#pragma once
/// @file The bench's oracle for requests that may not be repeated.

#include <map>
#include <string>
#include <vector>

#include "bench/load.hpp"

namespace madderdeck::bench {

/// What the services' journals say against what callers were told.
struct JournalCheck {
  std::uint64_t keys = 0;
  std::uint64_t answered = 0;
  std::uint64_t ran = 0;
  std::uint64_t ran_twice = 0;
  std::uint64_t answered_but_not_run = 0;
  std::uint64_t not_run_but_ran = 0;  ///< Every word to callers was "not run", and yet it ran.
  std::uint64_t unknown = 0;

  bool clean() const { return ran_twice == 0 && answered_but_not_run == 0 && not_run_but_ran == 0; }
};

/// @param journal one JSON object a line, with the member "key".
JournalCheck check_journal(const std::map<std::string, BookingRecord>& records,
                           const std::vector<std::string>& journal);

}  // namespace madderdeck::bench
