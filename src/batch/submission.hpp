#pragma once
/// @file Taking a job: items are stored chunk by chunk as they arrive, then one record makes
/// the whole job accepted, or none of it.

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
  std::string template_name;
  std::uint32_t priority = 0;       ///< Greater goes first among batch work.
  std::uint64_t deadline_ms = 0;    ///< Unix milliseconds; 0 is none.
  std::string host;                 ///< For items that are HTTP requests; otherwise empty.
  std::uint64_t give_up_at_ms = 0;  ///< Unix milliseconds from when on unfinished items are failed; 0 is never.
  std::size_t max_item_bytes = kMaxItemBytes;
};

/// The job that stands after a submission.
struct SubmittedJob {
  wire::JobRecordT record;
  bool existed = false;  ///< An earlier submission under the same key, with the same items.
};
using SubmitDone = std::function<void(Result<SubmittedJob>)>;

/// One submission in progress. Memory is bounded by kMaxChunksInFlight chunks, whatever the
/// size of the job. Single threaded.
class Submission {
 public:
  Submission(Environment& environment, Counters& counters, ledger::Client& ledger, submission_window& window,
             JobRequest request);
  /// One that is given up counts no longer.
  ~Submission();
  Submission(const Submission&) = delete;
  Submission& operator=(const Submission&) = delete;

  /// Takes one item, a JSON text.
  /// @return a typed refusal of the item (limits); the submission cannot go on after it.
  /// @param tokens what it is stated to need, prompt and answer; 0 where nothing is stated.
  Status add(std::string_view item, std::uint32_t tokens = 0);
  /// @return whether more items should be held back until on_room runs.
  bool congested() const { return chunks_in_flight_ >= kMaxChunksInFlight; }
  void on_room(std::function<void()> hook) { room_ = std::move(hook); }
  /// All items have been added; @p done gets the job that stands.
  void finish(SubmitDone done);
  std::uint32_t items() const { return items_; }
  /// @return when a submission that failed as unavailable may succeed.
  Duration retry_after() const { return window_.retry_after(); }
  /// @return what all items are stated to need.
  std::uint64_t tokens() const { return std::accumulate(tokens_.begin(), tokens_.end(), std::uint64_t{0}); }
  const JobId& job() const { return job_; }

  static constexpr std::size_t kMaxChunksInFlight = 8;

 private:
  void write_chunk();
  /// @return whether the ledger may be given @p bytes more.
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
  std::vector<std::uint32_t> tokens_;  ///< By item; empty where none is stated.
  std::uint64_t digest_ = 0;
  std::size_t chunks_in_flight_ = 0;
  std::size_t window_bytes_ = 0;  ///< Counted in the window.
  Timestamp entered_at_{};
  std::optional<Error> failure_;
  std::function<void()> room_;
  SubmitDone done_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::batch
