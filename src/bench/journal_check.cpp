#include "bench/journal_check.hpp"

#include <boost/json.hpp>

namespace madderdeck::bench {

JournalCheck check_journal(const std::map<std::string, BookingRecord>& records,
                           const std::vector<std::string>& journal) {
  std::map<std::string, std::uint64_t> runs;
  for (const std::string& line : journal) {
    boost::system::error_code failure;
    const boost::json::value entry = boost::json::parse(line, failure);
    if (!failure && entry.is_object()) {
      ++runs[std::string(entry.at("key").as_string())];
    }
  }
  JournalCheck check;
  for (const auto& [key, record] : records) {
    const auto entry = runs.find(key);
    const std::uint64_t times = entry == runs.end() ? 0 : entry->second;
    ++check.keys;
    check.answered += record.answered ? 1 : 0;
    check.unknown += !record.answered && record.unknown ? 1 : 0;
    check.ran += times > 0 ? 1 : 0;
    check.ran_twice += times > 1 ? 1 : 0;
    check.answered_but_not_run += record.answered && times == 0 ? 1 : 0;
    const bool only_not_run = !record.answered && !record.unknown && !record.open;
    check.not_run_but_ran += only_not_run && times > 0 ? 1 : 0;
  }
  return check;
}

}  // namespace madderdeck::bench
