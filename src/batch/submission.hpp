#pragma once
/// @file Submits a job: stores the items in chunks as they arrive, then writes one job record that accepts the job as a
/// whole.

#include <functional>
#include <numeric>
#include <string>
#include <string_view>

#include "batch/records.hpp"
#include "batch/submission_window.hpp"
#include "common/counters.hpp"
#include "ledger/client.hpp"

namespace madderdeck::batch {

struct JobRequest {
  std::string tenant;
  std::string idempotency_key;
  std::string template_name;         ///< Of items that are HTTP requests, the name of the job's route.
  std::uint32_t priority = 0;        ///< Jobs with a greater value go first.
  std::uint64_t deadline_ms = 0;     ///< Unix milliseconds; 0 is none.
  std::string host;                  ///< Host of items that are HTTP requests; otherwise empty.
  std::string route_prefix;          ///< Path prefix of that route.
  std::uint64_t routes_version = 0;  ///< Version of the routes that have it.
  std::uint64_t give_up_at_ms = 0;   ///< Unix milliseconds after which unfinished items fail; 0 is never.
  std::size_t max_item_bytes = kMaxItemBytes;
};

/// The job that is stored after a submission.
struct SubmittedJob {
  wire::JobRecordT record;
  bool existed = false;  ///< It was stored by an earlier submission with the same key and items.
};
using SubmitDone = std::function<void(Result<SubmittedJob>)>;

/// One submission in progress. Its memory is bounded by kMaxChunksInFlight chunks, whatever the size of the job. Single
/// threaded.
class Submission {
 public:
  Submission(Environment& environment, Counters& counters, ledger::Client& ledger, submission_window& window,
             JobRequest request);
  /// Releases the submission's share of the window if it has not finished.
  ~Submission();
  Submission(const Submission&) = delete;
  Submission& operator=(const Submission&) = delete;

  /// Adds one item, a JSON text or an encoded HTTP item.
  /// @return ErrorKind::limit_exceeded if the item breaks a limit, or the error of an earlier write; the submission
  /// cannot continue after an error.
  /// @param tokens stated size of prompt and answer; 0 if none is stated.
  Status add(std::string_view item, std::uint32_t tokens = 0);
  /// @return whether the caller should add no more items until the hook of set_ready_hook() runs.
  bool congested() const { return chunks_in_flight_ >= kMaxChunksInFlight; }
  void set_ready_hook(std::function<void()> hook) { room_hook_ = std::move(hook); }
  /// Called once all items have been added; @p done gets the stored job.
  void finish(SubmitDone done);
  std::uint32_t items() const { return items_; }
  /// @return the time after which to retry a submission that failed with ErrorKind::unavailable.
  Duration retry_after() const { return window_.retry_after(); }
  /// @return the sum of the stated tokens of all items.
  std::uint64_t tokens() const { return std::accumulate(tokens_.begin(), tokens_.end(), std::uint64_t{0}); }
  const JobId& job() const { return job_; }

  static constexpr std::size_t kMaxChunksInFlight = 8;

 private:
  void write_chunk();
  /// @return whether the window allows writing @p bytes more to the ledger.
  bool enter_window(std::size_t bytes);
  void leave_window(submission_end end);
  void on_chunk_written(const Result<ledger::OptionalValue>& result);
  void accept_job();
  void complete(Result<SubmittedJob> result);

  Environment& environment_;
  Counters& counters_;
  ledger::Client& ledger_;
  submission_window& window_;
  const JobRequest request_;
  const JobId job_;
  const std::string submission_;
  wire::ChunkRecordT chunk_;
  std::uint32_t items_ = 0;
  std::uint32_t chunks_ = 0;
  std::vector<std::uint32_t> tokens_;  ///< Indexed by item; empty if no item states any.
  std::uint64_t digest_ = 0;
  std::size_t chunks_in_flight_ = 0;
  std::size_t window_bytes_ = 0;  ///< Bytes of this submission that count in the window.
  Timestamp entered_at_{};
  std::optional<Error> failure_;
  std::function<void()> room_hook_;
  SubmitDone done_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::batch
