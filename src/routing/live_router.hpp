#pragma once
/// @file Live model requests: choice of engine, retries, resumption of a broken stream on another engine.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/counters.hpp"
#include "common/environment.hpp"
#include "routing/backend.hpp"
#include "routing/limits.hpp"
#include "routing/outcome.hpp"
#include "routing/picker.hpp"
#include "routing/registry.hpp"
#include "routing/repeat_guard.hpp"

namespace madderdeck::routing {

/// Rules of live routing; always on in the daemon.
struct LiveGuards {
  bool drop_repeated_tokens = true;   ///< A token that the caller already has is not delivered again.
  bool resume_after_gaps = true;      ///< A stream with a missing token is resumed on another engine.
  bool unknown_after_sending = true;  ///< A broken call is never reported as not run.
};

struct LiveRequest {
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  Duration timeout{};
};

/// Callbacks for the stream of one request. Exactly one of finished and refused runs, as the last callback.
struct LiveEvents {
  std::function<void(std::string_view text)> token;
  std::function<void(std::uint32_t tokens)> finished;
  std::function<void(Refusal)> refused;
};

using LiveId = std::uint64_t;

/// Called when the number of this node's live calls on an engine changes.
using OnlineActivityHook = std::function<void(const BackendId&, std::uint32_t in_flight)>;

/// All live model requests of one node. Single threaded.
class LiveRouter {
 public:
  LiveRouter(Environment& environment, Counters& counters, Registry& registry, BackendClient& client,
             OnlineActivityHook on_activity, LiveGuards guards = {});

  void set_policy(const config::FleetPolicy& policy);
  /// Starts a request. Of the callbacks only refused may run before this returns.
  LiveId start(LiveRequest request, LiveEvents events);
  /// Call this when the caller has disconnected: stops the work on the engine.
  void cancel(LiveId id);
  void pause(LiveId id);
  void resume(LiveId id);
  std::size_t active() const { return requests_.size(); }
  /// From now on, requests that terminate the engines that run them are not sent again. @p guard must outlive this.
  void set_repeat_guard(repeat_guard& guard) { repeats_ = &guard; }

 private:
  struct Active {
    LiveRequest request;
    LiveEvents events;
    Timestamp started{};
    Timestamp attempt_started{};
    std::optional<Timestamp> first_token_at;  ///< Within the current attempt.
    std::uint32_t delivered = 0;
    std::string software_version;               ///< Of the engine of the current attempt.
    std::optional<std::string> stream_version;  ///< Software version that wrote the delivered tokens; empty: none yet.
    BackendId engine;
    CallId call = 0;
    std::uint64_t attempt = 0;
    std::set<BackendId> tried;
    bool maybe_ran = false;
    break_history breaks;
    CallFailure last_failure = CallFailure::refused;
  };

  void attempt(LiveId id);
  void on_token(LiveId id, std::uint64_t attempt, std::uint32_t offset, std::string_view text);
  void on_finished(LiveId id, std::uint64_t attempt, std::uint32_t total);
  void on_failed(LiveId id, std::uint64_t attempt, CallFailure failure);
  void on_timeout(LiveId id);
  void refuse(LiveId id, ErrorKind kind, const std::string& detail, Duration retry_after);
  void release_engine(Active& active);
  bool is_current(LiveId id, std::uint64_t attempt) const;
  void retry_or_end(LiveId id);
  /// @return the engine call for the tokens that @p active has not delivered yet.
  static EngineCall engine_call_for(const Active& active);
  /// Postpones the attempt while the repeat guard cannot say yet whether the request may be sent.
  /// @return whether the attempt was postponed.
  bool wait_if_undecided(LiveId id);
  /// @return whether the request was refused.
  bool refuse_if_quarantined(LiveId id, send_stage stage);
  std::vector<Backend*> choices(const Active& active);

  Environment& environment_;
  Counters& counters_;
  Registry& registry_;
  BackendClient& client_;
  const OnlineActivityHook on_activity_;
  const LiveGuards guards_;
  config::FleetPolicy policy_;
  std::unique_ptr<Picker> picker_;
  RetryBudget budget_;
  repeat_guard* repeats_ = nullptr;
  std::map<LiveId, Active> requests_;
  LiveId next_id_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::routing
