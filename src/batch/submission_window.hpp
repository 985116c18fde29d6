#pragma once
/// @file Limits what this node writes of new batch jobs at a time to what the ledger stores in time.

#include <cstddef>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"

namespace madderdeck::batch {

enum class submission_end {
  stored,
  failed,     ///< The ledger did not store it in time.
  abandoned,  ///< Its caller has left, or it was refused for what it holds.
};

struct submission_window_limits {
  std::size_t first_bytes = 8 << 20;  ///< Window of a node that has just started.
  std::size_t least_bytes = 1 << 20;
  std::size_t most_bytes = 16 << 20;
  Duration good_within = 1s;    ///< A job stored faster lets the window grow.
  Duration bad_after = 2500ms;  ///< One that took longer, or failed, halves it; writes end after 4 s.
  Duration cut_pause = 1s;      ///< Between two cuts: jobs of one moment fail together.
  Duration least_retry_after = 500ms;
  Duration most_retry_after = 10s;
};

/// Jobs are stored whole or not at all, so more than the ledger takes in the time of a write means that none is stored.
/// The window grows by a job's size for each windowful that was stored in time, and is halved when one was not
/// (additive increase, multiplicative decrease). A job of any size passes while no other is being written. Single
/// threaded.
class submission_window {
 public:
  submission_window(Environment& environment, Counters& counters, DecisionLog& log,
                    submission_window_limits limits = {});

  /// @return whether a job of @p bytes may be written now; where not, that is counted and told.
  bool has_room(std::size_t bytes);
  /// Asks to write @p bytes of a new job.
  /// @return whether it may; leave() is called at its end then.
  bool enter(std::size_t bytes);
  /// Counts @p bytes more of a job that has entered.
  void add(std::size_t bytes);
  /// The job that had entered with so many bytes has ended; it took @p took.
  void leave(std::size_t bytes, Duration took, submission_end end);
  /// @return when one that may not enter is likely to find room.
  Duration retry_after() const;
  std::size_t window_bytes() const { return window_; }

 private:
  void note_rate(std::size_t bytes, Duration took);
  void grow(std::size_t bytes);
  void cut();
  void publish();

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  const submission_window_limits limits_;
  std::size_t window_;
  std::size_t in_flight_ = 0;
  double bytes_per_second_ = 0;  ///< Stored, smoothed; 0: none yet.
  Timestamp last_stored_at_{};
  Timestamp cut_at_{};
};

}  // namespace madderdeck::batch
