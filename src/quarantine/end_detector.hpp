#pragma once
/// @file Determines, after a call to a back end broke off, whether the back end terminated or only the connection
/// failed.

#include <functional>
#include <map>
#include <vector>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "routing/backend.hpp"
#include "routing/repeat_guard.hpp"

namespace madderdeck::quarantine {

/// Connects to the back end's address. A refused connection means that the process is gone. No answer does not (a
/// partitioned or frozen machine does not answer either), nor does a reset if two later connection attempts succeed.
/// Two are needed because a terminating process may reset its connections shortly before its address refuses new ones:
/// with a single check eight engines terminated under one request instead of three (in one of 39 runs with real
/// processes). Calls to one back end that break at the same time share one check. Single threaded.
class end_detector {
 public:
  using decided = routing::repeat_guard::decided;

  /// @param client outlives this.
  end_detector(Environment& environment, Counters& counters, DecisionLog& log, routing::BackendClient& client)
      : environment_(environment), counters_(counters), log_(log), client_(client) {}

  /// Checks whether the back end of @p call terminated.
  /// @param done receives true if the back end terminated. It runs within kCheckTimeout, possibly before this returns.
  void call_broke(const routing::broken_call& call, decided done);

  /// Called for each broken call whose back end still accepted connections at first but terminated shortly afterwards.
  std::function<void(const routing::broken_call&)> on_late_end;

  /// Calls to one back end that break within this time belong to one termination: a back end takes longer to restart,
  /// and the reports of calls that broke together are a few milliseconds apart.
  static constexpr Duration kSameEndWindow = 500ms;
  /// Time between the two checks. The kernel closes all sockets of a terminated process within a few milliseconds.
  static constexpr Duration kSecondCheckDelay = 20ms;
  /// Delay of the last check after a connection broke while its back end stayed up. A back end that a request crashes
  /// terminates 20 to 110 ms after it began to run the request, whether or not the connection is still open.
  static constexpr Duration kLateCheckDelay = 150ms;
  /// Timeout of a check. Across zones an answer takes a few milliseconds.
  static constexpr Duration kCheckTimeout = 250ms;

 private:
  /// A check of one back end, with the calls that broke since it began.
  struct pending_check {
    std::vector<decided> waiting;
    std::vector<routing::broken_call> calls;
    std::uint64_t number = 0;
    bool checked_before = false;
  };

  void check_backend(const BackendId& backend, std::uint64_t number);
  void on_check_result(const BackendId& backend, std::uint64_t number, routing::reachability found);
  void finish_check(const BackendId& backend, std::uint64_t number, routing::reachability found);
  void check_late(const BackendId& backend, std::vector<routing::broken_call> calls);
  void record_end(const BackendId& backend);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  routing::BackendClient& client_;
  std::map<BackendId, pending_check> pending_checks_;
  std::map<BackendId, Timestamp> ended_at_;  ///< Terminations within the last kSameEndWindow.
  std::uint64_t next_check_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::quarantine
