#pragma once
/// @file Reads the results of batch jobs whose positions never change: a position that was read once has the same
/// content on every node.

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
/// Gets ErrorKind::not_found if there is no such job, ErrorKind::unavailable if no majority of replicas answered in
/// time.
using ResultPageDone = std::function<void(Result<ResultPage>)>;
/// Same errors as ResultPageDone; ErrorKind::not_found also if the job has no such item.
using ItemBodyDone = std::function<void(Result<wire::HttpItemT>)>;

/// Reads through the ledger and caches records that cannot change. Single threaded.
class ResultReader {
 public:
  ResultReader(Environment& environment, Counters& counters, ledger::Client& ledger, DecisionLog& log);

  /// Reads the results from position @p from on, at most @p max_bytes but at least one result if there is any. Waits up
  /// to @p wait for a result to exist. Calls @p done at most kAnswerTimeout later, with the results read by then.
  void read(const JobId& job, std::uint32_t from, std::size_t max_bytes, Duration wait, ResultPageDone done);
  /// Reads an item as it was submitted. Calls @p done within kAnswerTimeout.
  void read_item(const JobId& job, const std::string& item_id, ItemBodyDone done);

  /// Callers time out 1.5 s after the wait that they allow; the difference is left for network transfer and busy
  /// machines. Work for a caller that has timed out would only delay its retry.
  static constexpr Duration kAnswerTimeout = 1100ms;

 private:
  /// A ledger request times out this long before the answer is due, so that the log can say what the replicas answered
  /// and not only that the time ran out.
  static constexpr Duration kReplyMargin = 20ms;

  /// Cached records of a job; none of them can change.
  struct CachedJob {
    std::uint32_t total = 0;
    std::string submission;
    std::vector<std::uint32_t> order;
    std::map<std::uint32_t, wire::ResultRecordT> results;
    std::size_t bytes = 0;
    Timestamp used_at{};
    unsigned readers = 0;  ///< Reads in progress; the job is not evicted meanwhile.
  };
  struct ReadOperation {
    JobId job;
    std::uint32_t from = 0;
    std::size_t max_bytes = 0;
    Timestamp deadline{};   ///< End of the wait for a result to exist.
    Timestamp answer_by{};  ///< The results read by then are the answer.
    Timestamp started{};
    bool counted_as_reader = false;  ///< Counted in CachedJob::readers.
    bool order_read = false;         ///< Until then, a lack of known results does not mean that there are none.
    bool answered = false;
    ResultPageDone done;
  };
  using ReadOperationPointer = std::shared_ptr<ReadOperation>;

  void with_cached_job(const JobId& job, Timestamp until, std::function<void(Result<CachedJob*>)> next);
  void read_order(const ReadOperationPointer& reading);
  void read_results(const ReadOperationPointer& reading);
  void take_results(const ReadOperationPointer& reading, const Result<ledger::ScanPage>& result);
  void cache_result(CachedJob& known, wire::ResultRecordT record);
  /// Answers with the cached results from the requested position on.
  /// @param failure reason to log if the first of them is missing.
  void answer(const ReadOperationPointer& reading, const std::string& failure);
  /// Answers with ErrorKind::unavailable and logs @p stage and @p reason.
  void fail(const ReadOperationPointer& reading, const char* stage, const std::string& reason);
  void finish(const ReadOperationPointer& reading, Result<ResultPage> result);
  /// @return the timeout for a ledger request whose outcome is needed kReplyMargin before @p until.
  Duration time_left_until(Timestamp until) const {
    return std::max<Duration>(until - kReplyMargin - environment_.now(), 1ms);
  }
  void evict_old_jobs();

  Environment& environment_;
  Counters& counters_;
  ledger::Client& ledger_;
  DecisionLog& log_;
  std::map<JobId, CachedJob> cached_jobs_;
  std::size_t cached_bytes_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::batch
