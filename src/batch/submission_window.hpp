#pragma once
/// @file Limits the bytes of new batch jobs that this node writes at a time to what the ledger can store in time.

#include <cstddef>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"

namespace madderdeck::batch {

enum class submission_end {
  stored,
  failed,     ///< The ledger did not store the job in time.
  abandoned,  ///< The caller disconnected, or the job was refused for its content.
};

struct submission_window_limits {
  std::size_t initial_window_bytes = 8 << 20;  ///< Initial window of a node.
  std::size_t min_window_bytes = 1 << 20;
  std::size_t max_window_bytes = 16 << 20;
  Duration grow_within = 1s;    ///< The window grows when a job is stored within this time.
  Duration cut_after = 2500ms;  ///< The window is halved when a job took longer or failed; writes time out after 4 s.
  Duration min_cut_interval = 1s;  ///< Least time between two cuts, since jobs written at the same time fail together.
  Duration min_retry_after = 500ms;
  Duration max_retry_after = 10s;
};

/// Congestion window for job submissions. A job is stored whole or not at all, so if more bytes are written than the
/// ledger can store before the writes time out, no job is stored. The window grows by a job's size for each window of
/// bytes stored in time, and is halved when a job was not stored in time (additive increase, multiplicative decrease).
/// A job of any size is admitted while no other is being written. Single threaded.
class submission_window {
 public:
  submission_window(Environment& environment, Counters& counters, DecisionLog& log,
                    submission_window_limits limits = {});

  /// @return whether a job of @p bytes may be written now; a refusal is counted and logged.
  bool has_capacity(std::size_t bytes);
  /// Admits a new job of which @p bytes are to be written.
  /// @return whether the job was admitted; if so, the caller calls leave() when the job ends.
  bool enter(std::size_t bytes);
  /// Counts @p bytes more of a job that was admitted.
  void add(std::size_t bytes);
  /// Ends a job that was admitted and added up to @p bytes; writing it took @p took.
  void leave(std::size_t bytes, Duration took, submission_end end);
  /// @return the time after which a refused job is likely to be admitted.
  Duration retry_after() const;
  std::size_t window_bytes() const { return window_bytes_; }

 private:
  void note_rate(std::size_t bytes, Duration took);
  void grow(std::size_t bytes);
  void cut();
  void publish();

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  const submission_window_limits limits_;
  std::size_t window_bytes_;
  std::size_t in_flight_bytes_ = 0;
  double bytes_per_second_ = 0;  ///< Smoothed rate of stored bytes; 0 before the first.
  Timestamp last_stored_at_{};
  Timestamp cut_at_{};
};

}  // namespace madderdeck::batch
