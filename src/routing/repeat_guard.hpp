#pragma once
/// @file The senders' interface to the quarantine, which keeps requests that terminate back ends from being sent again.

#include <functional>
#include <memory>
#include <string>

#include "common/environment.hpp"
#include "routing/request_fingerprint.hpp"

namespace madderdeck::routing {

/// A call whose connection broke after bytes of the request had been sent.
struct broken_call {
  crash_suspects suspects;
  std::string id;  ///< The caller's id for the request, for the log.
  BackendId backend;
  Duration answered_for{};  ///< Time since the answer began; zero if none of it had arrived.
};

/// When a sender asks whether a request may be sent.
enum class send_stage : std::uint8_t {
  before_choice,  ///< No back end is chosen yet, and there may be none.
  before_send,    ///< It is sent at once if it may be.
};

/// Decides whether a live request may be sent, from the back ends that terminated while they ran it. Batch items are
/// not asked about and not reported: an item under which back ends terminated is still owed. Single threaded.
class repeat_guard {
 public:
  using decided = std::function<void(bool ended)>;

  virtual ~repeat_guard() = default;
  /// @return whether any request is recorded; otherwise callers need not compute fingerprints.
  virtual bool has_records() const = 0;
  /// @return whether a back end is known to have terminated while it ran the request of @p call.
  virtual bool suspects(const crash_suspects& call) const = 0;
  /// @return whether @p call is quarantined and may not be sent. If so, it is counted and logged under @p id. From time
  ///         to time one quarantined call is let through before_send, to try it again.
  virtual bool is_quarantined(const crash_suspects& call, const std::string& id, send_stage stage) = 0;
  /// @return how long the caller must wait until it is known whether @p call may be sent; zero: it is known now.
  ///         After several back ends have terminated, the nodes need a moment to report which requests ran there.
  virtual Duration undecided_wait(const crash_suspects&) const { return Duration::zero(); }
  /// Determines whether the back end terminated, and records it. @p done may run before this returns.
  virtual void call_broke(const broken_call& call, decided done) = 0;
  /// Call this when @p call was answered completely: it does not terminate back ends.
  virtual void call_answered(const crash_suspects& call) = 0;
};

/// Counts the back ends that terminated while they ran one call. After a broken connection the call waits until it is
/// known whether the back end terminated if its request is suspected or if a connection broke under the call before.
/// Otherwise the call continues immediately.
class break_history {
 public:
  /// @param go_on runs exactly once, possibly before this returns.
  void report(repeat_guard& guard, const broken_call& call, std::function<void()> go_on);
  /// @return whether another back end may run the call. The limit is two terminated back ends: a third would identify
  ///         the request to all nodes, but would cost one more engine and all the work that runs on it.
  bool may_run_again() const { return *terminations_ < kMaxTerminations; }

 private:
  static constexpr unsigned kMaxTerminations = 2;

  std::shared_ptr<unsigned> terminations_ = std::make_shared<unsigned>(0);
  bool broke_before_ = false;
};

}  // namespace madderdeck::routing
