#pragma once
/// @file Whether a back end ended when a call to it broke off, or only the connection did.

#include <functional>
#include <map>
#include <vector>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "routing/backend.hpp"
#include "routing/repeat_guard.hpp"

namespace madderdeck::quarantine {

/// Asks the back end's address for a connection: one that is refused means that the process is gone. Silence does not
/// (a cut or frozen machine says nothing either), nor does a reset while connections are taken, twice: a process that
/// ends may reset its connections a little before its address refuses new ones. With one look eight engines ended under
/// a request instead of three (one of 39 runs with real processes). Calls that broke together share one question.
/// Single threaded.
class end_detector {
 public:
  using decided = routing::repeat_guard::decided;

  /// @param client outlives this.
  end_detector(Environment& environment, Counters& counters, DecisionLog& log, routing::BackendClient& client)
      : environment_(environment), counters_(counters), log_(log), client_(client) {}

  /// @p done may run before this returns, and runs within kPatience.
  void call_broke(const routing::broken_call& call, decided done);

  /// A back end that still took connections when a call to it broke has ended a moment later.
  std::function<void(const routing::broken_call&)> on_late_end;

  /// Ends are told apart from one another by this: a back end takes longer to start again. Reports of calls that broke
  /// together lie a few milliseconds apart.
  static constexpr Duration kSameEnd = 500ms;
  /// Between the looks; the kernel closes all that a process had open within a few milliseconds.
  static constexpr Duration kSecondLook = 20ms;
  /// After a connection broke while its back end lived on: one that ends by the request ends 20 to 110 ms after it has
  /// begun to run it, whether the connection still stands or not.
  static constexpr Duration kLateLook = 150ms;
  /// Longest wait for an answer; across zones one takes a few milliseconds.
  static constexpr Duration kPatience = 250ms;

 private:
  struct question {
    std::vector<decided> waiting;
    std::vector<routing::broken_call> calls;
    std::uint64_t number = 0;
    bool looked_before = false;
  };

  void look(const BackendId& backend, std::uint64_t number);
  void on_look(const BackendId& backend, std::uint64_t number, routing::reachability found);
  void settle(const BackendId& backend, std::uint64_t number, routing::reachability found);
  void look_once_more(const BackendId& backend, std::vector<routing::broken_call> calls);
  void note_end(const BackendId& backend);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  routing::BackendClient& client_;
  std::map<BackendId, question> questions_;
  std::map<BackendId, Timestamp> ended_at_;  ///< Of the last kSameEnd.
  std::uint64_t next_question_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::quarantine
