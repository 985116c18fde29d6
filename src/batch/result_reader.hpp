#pragma once
/// @file Reads batch jobs whose results have lasting positions: a position, once read, keeps its
/// content at every node.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "batch/records.hpp"
#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "ledger/client.hpp"

namespace madderdeck::batch {

/// Results at positions from ResultPage::from on.
struct ResultPage {
  std::uint32_t total = 0;  ///< Items of the job.
  std::uint32_t from = 0;
  std::vector<wire::ResultRecordT> results;
};
/// ErrorKind::not_found: no such job. ErrorKind::unavailable: no majority of replicas answered.
using ResultPageDone = std::function<void(Result<ResultPage>)>;
/// As above; not_found also when the job has no such item.
using ItemBodyDone = std::function<void(Result<wire::HttpItemT>)>;

/// Reads through the ledger; remembers what cannot change. Single threaded.
class ResultReader {
 public:
  ResultReader(Environment& environment, Counters& counters, ledger::Client& ledger, DecisionLog& log);

  /// Reads the results from position @p from on, at most @p max_bytes and at least one if there is
  /// any. Waits up to @p wait for one to exist. Answers within kAnswerWithin beyond that, with what has come by then.
  void read(const JobId& job, std::uint32_t from, std::size_t max_bytes, Duration wait, ResultPageDone done);
  /// Reads an item as it was submitted. Answers within kAnswerWithin.
  void read_item(const JobId& job, const std::string& item_id, ItemBodyDone done);

  /// Callers leave 1.5 s beyond the wait that they allow; the answer needs the rest of it for its way and for a busy
  /// machine. What is done for a caller after it has left keeps its next try waiting.
  static constexpr Duration kAnswerWithin = 1100ms;

 private:
  /// A question ends so long before the answer that waits for it: what the replicas did is told, not only that the time
  /// is over.
  static constexpr Duration kReasonMargin = 20ms;

  /// What is known of a job and will not change.
  struct Known {
    std::uint32_t total = 0;
    std::string submission;
    std::vector<std::uint32_t> order;
    std::map<std::uint32_t, wire::ResultRecordT> results;
    std::size_t bytes = 0;
    Timestamp used_at{};
    unsigned readers = 0;  ///< Readings under way; the job is not forgotten meanwhile.
  };
  struct Reading {
    JobId job;
    std::uint32_t from = 0;
    std::size_t max_bytes = 0;
    Timestamp deadline{};   ///< Until then it waits for a result to exist.
    Timestamp answer_by{};  ///< Whatever has come by then is the answer.
    Timestamp started{};
    bool holds_job = false;   ///< Counted in Known::readers.
    bool order_read = false;  ///< Before, no results known means nothing.
    bool answered = false;
    ResultPageDone done;
  };
  using ReadingPointer = std::shared_ptr<Reading>;

  void with_job(const JobId& job, Timestamp until, std::function<void(Result<Known*>)> next);
  void read_order(const ReadingPointer& reading);
  void read_results(const ReadingPointer& reading);
  void take_results(const ReadingPointer& reading, const Result<ledger::ScanPage>& result);
  void remember(Known& known, wire::ResultRecordT record);
  /// Answers with the results that are known from the reading's position on.
  /// @param failure why the first of them may be missing.
  void answer(const ReadingPointer& reading, const std::string& failure);
  /// Answers that the results cannot be read now, and says in the log what was met.
  void fail(const ReadingPointer& reading, const char* stage, const std::string& reason);
  void finish(const ReadingPointer& reading, Result<ResultPage> result);
  /// @return for how long records may be waited for, so that the answer can say why they did not come.
  Duration left_until(Timestamp until) const {
    return std::max<Duration>(until - kReasonMargin - environment_.now(), 1ms);
  }
  void forget_old();

  Environment& environment_;
  Counters& counters_;
  ledger::Client& ledger_;
  DecisionLog& log_;
  std::map<JobId, Known> known_;
  std::size_t bytes_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::batch
