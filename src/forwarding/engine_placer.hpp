#pragma once
/// @file Where a gateway asks for the engine of a passed-on request, when it does not choose itself.

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "common/environment.hpp"
#include "common/strong_id.hpp"
#include "policy/call_order.hpp"

namespace madderdeck::forwarding {

/// A request that needs an engine. Immutable.
struct place_query {
  std::string request;  ///< The caller's id, for the log.
  std::string pool;
  std::string affinity_key;        ///< Empty: any engine is as good.
  std::set<BackendId> excluded;    ///< Tried before.
  std::optional<BackendId> first;  ///< The engine that affinity would choose, whatever its load.
  Duration reading{};              ///< What a kept prompt start saves an engine; zero: not worth telling.
  Duration holding{};              ///< How long a call like this keeps its slot, on average; zero: not known.
  Duration due{};                  ///< From now until a start is too late for the request's target.
  Duration patience{};             ///< From now until the request is given up on.
  policy::call_rank rank;
};

/// The engine to send a request to.
struct place_answer {
  BackendId engine;
  bool needs_yield = false;  ///< Batch work there has to make room.
  bool keeps_start = false;  ///< The engine has likely read the prompt's start already.
};

/// What became of a question. Immutable.
struct place_outcome {
  place_outcome(std::nullopt_t) {}  // NOLINT(google-explicit-constructor): nothing is known
  place_outcome(place_answer answer) : place(std::move(answer)) {}  // NOLINT(google-explicit-constructor)
  place_outcome(std::optional<place_answer> answer)
      : place(std::move(answer)) {}  // NOLINT(google-explicit-constructor)
  /// No slot will be free while the caller waits; one is likely after @p retry_after.
  static place_outcome rejected(Duration retry_after) {
    place_outcome outcome{std::nullopt};
    outcome.retry_after = retry_after;
    return outcome;
  }

  std::optional<place_answer> place;    ///< Nothing where no answer came in time or no engine takes requests.
  std::optional<Duration> retry_after;  ///< Set where the request is to be rejected.
};

/// Chooses engines for a whole zone or fleet.
class engine_placer {
 public:
  using placed = std::function<void(const place_outcome&)>;
  using ticket = std::uint64_t;

  virtual ~engine_placer() = default;
  /// @return whether to ask here; otherwise the gateway chooses itself.
  virtual bool active() const = 0;
  /// A request is about to be sent. @param long_start whether its prompt has a long shared start.
  virtual void note_request(bool long_start) = 0;
  /// Asks for an engine. @p done may run before this returns; where every slot is taken, it runs once one is free for
  /// this request.
  /// @return what withdraw() takes.
  virtual ticket place(const place_query& query, placed done) = 0;
  /// The request needs no engine any more; nothing follows.
  virtual void withdraw(ticket question) = 0;
};

}  // namespace madderdeck::forwarding
