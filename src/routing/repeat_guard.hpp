#pragma once
/// @file Keeps requests under which back ends end from being sent again, as those who send see it.

#include <functional>
#include <memory>
#include <string>

#include "common/environment.hpp"
#include "routing/request_fingerprint.hpp"

namespace madderdeck::routing {

/// A call that broke off after bytes of it had been sent.
struct broken_call {
  request_fingerprint request;
  std::string id;  ///< The caller's, for the log.
  BackendId backend;
  Duration answered_for{};  ///< Since the first of the answer; zero when none had come.
};

/// Single threaded.
class repeat_guard {
 public:
  using decided = std::function<void(bool ended)>;

  virtual ~repeat_guard() = default;
  /// @return whether anything is remembered; otherwise no fingerprint is needed.
  virtual bool remembers_any() const = 0;
  /// @return whether a back end is known to have ended while it ran @p request.
  virtual bool suspects(const request_fingerprint& request) const = 0;
  /// @return whether @p request may not be sent any more. Counted and logged under @p id when it may not.
  virtual bool holds_back(const request_fingerprint& request, const std::string& id) = 0;
  /// @return how long it is too early to say whether @p request may be sent; zero: it can be said now. Several back
  /// ends
  ///         ended a moment ago, and who ran there besides is still being told.
  virtual Duration undecided_for(const request_fingerprint&) const { return Duration::zero(); }
  /// @return whether work that nobody waits for, though held back, may be tried once more by itself: what ran beside a
  ///         fatal request three times would otherwise be lost with it.
  virtual bool allows_retrial(const request_fingerprint& request) const = 0;
  /// @return whether a retrial has failed, too.
  virtual bool beyond_doubt(const request_fingerprint& request) const = 0;
  /// Finds out whether the back end ended, and remembers it. @p done may run before this returns.
  virtual void call_broke(const broken_call& call, decided done) = 0;
  /// A run of @p request came to a good end: it is not one that ends back ends.
  virtual void call_answered(const request_fingerprint& request) = 0;
};

/// What one call has seen of back ends that ended under it. A call whose request is suspected, or under which one
/// connection broke before, waits until it is known whether the back end ended; others go on at once.
class call_breaks {
 public:
  /// @param go_on runs once, perhaps before this returns.
  void report(repeat_guard& guard, const broken_call& call, std::function<void()> go_on);
  /// @return whether another back end may run the call. Two that ended are enough: a third would make the request known
  ///         to all, at the price of an engine and of all that runs on it.
  bool may_run_again() const { return *ends_ < kMostEnds; }

 private:
  static constexpr unsigned kMostEnds = 2;

  std::shared_ptr<unsigned> ends_ = std::make_shared<unsigned>(0);
  bool broke_before_ = false;
};

}  // namespace madderdeck::routing
