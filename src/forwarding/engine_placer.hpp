#pragma once
/// @file Interface through which a gateway asks for the engine of a forwarded request where it does not choose itself.

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "common/environment.hpp"
#include "common/strong_id.hpp"
#include "policy/call_order.hpp"

namespace madderdeck::forwarding {

/// A request that needs an engine. Immutable.
struct placement_query {
  std::string request;  ///< The caller's id, for the log.
  std::string pool;
  std::string affinity_key;      ///< Shared by requests with the same prompt prefix; empty: no engine is preferred.
  std::set<BackendId> excluded;  ///< Engines that the request was sent to before.
  /// Software version that wrote the events which the caller already has; empty: the stream has not begun.
  std::optional<std::string> software_version;
  std::optional<BackendId> first;  ///< The engine that affinity prefers, regardless of its load.
  Duration reading{};              ///< Prefill time that a cached prefix saves an engine; zero: negligible.
  Duration holding{};              ///< Average time for which a call like this uses its slot; zero: not known.
  Duration due{};                  ///< Time left until a start is too late to meet the request's target.
  Duration patience{};             ///< Time left until the request is given up.
  policy::call_rank rank;
};

/// The engine to send a request to.
struct engine_assignment {
  BackendId engine;
  bool needs_yield = false;  ///< A batch call on the engine has to free its slot.
  bool keeps_start = false;  ///< The engine has likely cached the prompt prefix.
};

/// Result of a placement_query. Immutable.
struct placement_outcome {
  placement_outcome(std::nullopt_t) {}  // NOLINT(google-explicit-constructor): no result
  placement_outcome(engine_assignment answer) : place(std::move(answer)) {}  // NOLINT(google-explicit-constructor)
  placement_outcome(std::optional<engine_assignment> answer)
      : place(std::move(answer)) {}  // NOLINT(google-explicit-constructor)
  /// No slot will be free before the caller gives up; one is likely to be free after @p retry_after.
  static placement_outcome rejected(Duration retry_after) {
    placement_outcome outcome{std::nullopt};
    outcome.retry_after = retry_after;
    return outcome;
  }

  std::optional<engine_assignment> place;  ///< Empty where no reply came in time or no engine accepts requests.
  std::optional<Duration> retry_after;     ///< Set where the request is to be rejected.
};

/// Chooses engines for a whole zone or fleet.
class engine_placer {
 public:
  using placed = std::function<void(const placement_outcome&)>;
  using ticket = std::uint64_t;

  virtual ~engine_placer() = default;
  /// @return whether gateways are to ask this placer; otherwise they choose engines themselves.
  virtual bool active() const = 0;
  /// Called before a request is sent. @param long_start whether its prompt has a long shared prefix.
  virtual void note_request(bool long_start) = 0;
  /// Asks for an engine. @p done may run before this returns; where every slot is in use, it runs once a slot is free
  /// for this request.
  /// @return the ticket that withdraw() takes.
  virtual ticket place(const placement_query& query, placed done) = 0;
  /// Cancels a query whose request no longer needs an engine; its callback does not run.
  virtual void withdraw(ticket question) = 0;
  /// Called when the request cannot use the @p engine that it was assigned.
  virtual void return_unused(const BackendId& engine) = 0;
};

}  // namespace madderdeck::forwarding
