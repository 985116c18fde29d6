#pragma once
/// @file Budget for the memory that callers, peers, jobs and engines can make a process hold. Does no I/O.

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "common/counters.hpp"
#include "common/decision_log.hpp"

namespace madderdeck {

/// What a process holds memory for. New work is refused in this order as the budget is used up: first jobs, then live
/// requests, last messages of peers.
enum class memory_holder : std::size_t {
  job_bodies,     ///< Bodies of new batch jobs, until the job is stored or refused.
  live_bodies,    ///< Bodies of other requests, until their responses have ended.
  peer_frames,    ///< Frames of peers that are being received.
  peer_outboxes,  ///< Messages to peers that wait or are being sent. Belongs to accepted work: never refused.
  backlogs,       ///< Responses that their callers have not read yet. Never refused.
};
inline constexpr std::size_t kMemoryHolders = 5;

/// @return the name of @p holder in counters and log lines.
const char* name_of(memory_holder holder);

/// Bytes that one process may hold in all. Reservations come before the bytes: what does not fit is refused before it
/// is read. Work in hand is counted without a limit, so that it only keeps new work out. Single threaded.
class memory_budget {
 public:
  /// Memory of the program itself: code, stacks, tables of configuration, peers and engines, caches of its libraries.
  static constexpr std::int64_t kProgramBytes = 64'000'000;
  /// Least budget, however little memory there is: a node without any could serve nothing.
  static constexpr std::int64_t kLeastBytes = 24'000'000;
  /// A reservation for a frame of a peer up to this size is always granted: votes, notices and answers keep records
  /// moving.
  static constexpr std::int64_t kSmallFrameBytes = 256 * 1024;
  /// The same for other requests: few callers send more, and who sends so little gains nothing by being refused.
  static constexpr std::int64_t kSmallLiveBytes = 16 * 1024;
  /// Of the whole budget: what may be in use, by all holders, after a reservation for one of these.
  static constexpr std::int64_t kJobPercent = 60;
  static constexpr std::int64_t kLivePercent = 85;

  /// @param memory_bytes what the process may use in all; 0: unknown, and then nothing is refused.
  /// @param counters,log used by reserve() and publish() only; both have to outlive the last call of these.
  memory_budget(std::int64_t memory_bytes, Counters& counters, DecisionLog& log);

  /// @return whether @p bytes more are granted to @p holder. If not, this is counted and logged with what holds the
  ///         memory. While there is no other, a job may take as much as live requests.
  bool reserve(memory_holder holder, std::int64_t bytes) { return grow(holder, 0, bytes); }
  /// As reserve(), for an object that grows from @p had to @p wanted bytes; its whole size tells whether it is small.
  bool grow(memory_holder holder, std::int64_t had, std::int64_t wanted);
  /// @return whether an object of @p bytes could be granted while nothing else is held. If not, it never can be.
  bool could_hold(memory_holder holder, std::int64_t bytes) const;
  /// Counts @p bytes (negative: fewer) that @p holder has in any case.
  void add(memory_holder holder, std::int64_t bytes);

  /// @return bytes for all holders together; 0: no limit.
  std::int64_t capacity() const { return capacity_; }
  std::int64_t held() const { return held_; }
  std::int64_t held_by(memory_holder holder) const { return by_holder_.at(static_cast<std::size_t>(holder)); }
  /// Sets the gauges memory_budget_bytes, memory_held_bytes and memory_held_HOLDER_bytes.
  void publish();

 private:
  bool fits(memory_holder holder, std::int64_t had, std::int64_t wanted) const;
  void note_refused(memory_holder holder, std::int64_t bytes);
  /// @return the holders that hold any, the largest first, as "job_bodies 81000000, backlogs 300".
  std::string describe() const;

  const std::int64_t capacity_;
  Counters& counters_;
  DecisionLog& log_;
  std::int64_t held_ = 0;
  std::array<std::int64_t, kMemoryHolders> by_holder_{};
};

/// Bytes of one object that count in a budget until this ends. Without a budget everything is granted.
class memory_hold {
 public:
  memory_hold() = default;
  memory_hold(std::shared_ptr<memory_budget> budget, memory_holder holder)
      : budget_(std::move(budget)), holder_(holder) {}
  ~memory_hold() { set(0); }
  memory_hold(const memory_hold&) = delete;
  memory_hold& operator=(const memory_hold&) = delete;

  /// @return whether the object may have @p bytes in all; if not, it keeps what it has.
  bool grow_to(std::int64_t bytes);
  /// @return whether grow_to(@p bytes) could succeed while the budget holds nothing else.
  bool could_grow_to(std::int64_t bytes) const { return !budget_ || budget_->could_hold(holder_, bytes); }
  /// The object has @p bytes in all, whether or not they fit.
  void set(std::int64_t bytes);
  std::int64_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<memory_budget> budget_;
  memory_holder holder_ = memory_holder::live_bodies;
  std::int64_t bytes_ = 0;
};

}  // namespace madderdeck
