#pragma once
/// @file Forwards requests: chooses the back end, retries where that is allowed, resumes a broken
/// stream on another back end, and answers the caller before the deadline.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "forwarding/engine_placer.hpp"
#include "forwarding/answer_reader.hpp"
#include "forwarding/route_table.hpp"
#include "forwarding/stream_directory.hpp"
#include "forwarding/upstream.hpp"
#include "routing/limits.hpp"
#include "routing/outcome.hpp"
#include "routing/registry.hpp"
#include "routing/repeat_guard.hpp"
#include "routing/shared_calls.hpp"

namespace madderdeck::forwarding {

/// Callbacks that receive the answer. The last one is finished, broken or refused, or head with a body.
struct ForwardEvents {
  /// @param whole the complete body, where it is known already; empty when pieces follow.
  std::function<void(const AnswerHead& head, std::optional<std::string> whole)> head;
  std::function<void(std::string_view piece)> piece;
  std::function<void()> finished;
  std::function<void()> broken;  ///< The answer has begun and will not be completed.
  std::function<void(routing::Refusal)> refused;
  /// Returns whether the caller has closed its connection; checked before each send. Empty: it has not.
  std::function<bool()> caller_has_left;
};

using ForwardId = std::uint64_t;
/// Called when a back end is sent a long prompt. @c expected is the expected duration of its prefill.
using PrefillHook = std::function<void(const BackendId&, Duration expected)>;
using BackendActivityHook = std::function<void(const BackendId&, std::uint32_t in_flight)>;

/// Rules of forwarding that the simulation can switch off; always on in the daemon.
struct ForwardGuards {
  bool repeat_only_if_allowed = true;  ///< A request that may have run is sent again only if its route allows that.
  bool complete_events_only = true;    ///< Only complete events of a stream are forwarded.
  bool check_answer_ends = true;       ///< An answer is complete only if its answer_reader says so.
  bool keep_event_order = true;        ///< Repeated or early events of a resumable stream are not forwarded.
  bool check_assigned_version = true;  ///< An engine that the placer chose has to have the stream's software version.
  bool stay_where_run_is = true;       ///< A request leaves an unresponsive back end only if that does not have it.
  bool send_only_for_present_callers = true;  ///< A request whose caller has left is not sent.
};

/// All forwarded requests of one node. Single threaded.
class Forwarder {
 public:
  Forwarder(Environment& environment, Counters& counters, DecisionLog& log, routing::Registry& registry,
            Upstream& upstream, BackendActivityHook on_activity, ForwardGuards guards = {});

  /// Starts a request on @p route. Before this returns, only the callback for a refusal may run.
  ForwardId start(ForwardedRequestPointer request, std::shared_ptr<const Route> route, ForwardEvents events);
  /// Called when the caller has closed its connection: cancels the request at its back end.
  void cancel(ForwardId id);
  void pause(ForwardId id);
  void resume(ForwardId id);
  std::size_t active() const { return requests_.size(); }
  /// Refuses the requests that wait for an engine and have been quarantined meanwhile.
  void end_quarantined();
  /// From @p at on no request is sent that was not sent before; those that wait for an engine then are refused.
  void stop_first_sends_at(Timestamp at);
  void on_prefill(PrefillHook hook) { on_prefill_ = std::move(hook); }
  /// From now on engines are chosen by the open calls that the other gateways report.
  /// @param delay time by which these reports are late.
  void use_shared_calls(const routing::shared_calls& calls, Duration delay) {
    shared_ = &calls;
    shared_delay_ = delay;
  }
  /// From now on requests that terminate back ends are not sent again. @p guard outlives this forwarder.
  void set_repeat_guard(routing::repeat_guard& guard) { repeats_ = &guard; }
  /// From now on @p placer is asked for engines while it is active. It outlives this forwarder.
  void use_placer(engine_placer& placer) { placer_ = &placer; }
  /// From now on @p directory knows where streams began that callers resume at another gateway. It outlives this
  /// forwarder.
  void use_directory(stream_directory& directory) { directory_ = &directory; }
  /// @param allow returns whether this node may send a request to a back end that warms up now, and if so counts it;
  ///        called only where no other back end is left and there is no placer.
  void allow_warming(std::function<bool(const routing::Backend&)> allow) { allow_warming_ = std::move(allow); }
  /// @return moving average of the extra time to the first token of a live call where a batch call has to free its
  /// slot.
  Duration time_to_yield() const { return time_to_yield_; }

 private:
  struct Active {
    ForwardedRequestPointer request;
    std::shared_ptr<const Route> route;
    ForwardEvents events;
    Timestamp started{};
    Timestamp give_up_at{};
    Timestamp sent_at{};
    std::string pool;
    BackendId backend;
    std::uint64_t incarnation = 0;  ///< Incarnation of the back end when the current send went there.
    std::string software_version;   ///< Of that back end, as listed then; empty: not stated.
    routing::CallId call = 0;
    std::uint64_t placer_query = 0;  ///< Number of the pending query to the placer; 0: none.
    engine_placer::ticket ticket = 0;
    bool origin_settled = false;          ///< It was looked up where the caller's events come from.
    bool looks_up_origin = false;         ///< A lookup is pending.
    stream_directory::ticket lookup = 0;  ///< Of that lookup.
    std::optional<Duration> retry_after;  ///< Given by the placer when it rejected the request.
    bool keeps_start = false;             ///< Of the current send: the engine has likely cached the prompt prefix.
    std::uint64_t attempt = 0;            ///< Number of the current send; callbacks of other sends are ignored.
    std::uint32_t sends = 0;
    std::uint32_t runs = 0;  ///< Sends that the back end may have run.
    std::set<BackendId> tried;
    routing::break_history breaks;
    std::optional<routing::crash_suspects> suspects;  ///< Computed at its first use.
    bool head_seen = false;                           ///< Of the current send.
    bool head_forwarded = false;
    Timestamp first_sent_at{};    ///< Time at which the first part of the answer was sent to the caller.
    bool has_first_byte = false;  ///< Of the current send: the back end has sent any byte.
    Timestamp first_byte_at{};    ///< Of the current send: time of its first byte.
    bool awaits_yield = false;    ///< Of the current send: a batch call has to free a slot of the engine.
    AnswerHead head;
    std::string body;      ///< Of an answer that is forwarded only once it is complete.
    std::string comments;  ///< Bytes before the first event of the current send that are no event.
    answer_reader answer;  ///< Of the current send.
    std::uint64_t last_event = 0;
    std::optional<std::string> stream_version;  ///< Software version that wrote the caller's events; empty: none yet.
    std::uint64_t forwarded_events = 0;
    std::uint64_t forwarded_bytes = 0;  ///< Of the body.
  };

  void attempt(ForwardId id);
  /// Looks up which software version began a stream that the caller resumes.
  /// @return whether the attempt waits for that, or was refused since it is not known.
  bool look_up_origin(ForwardId id);
  void on_origin(ForwardId id, const std::optional<stream_origin>& origin);
  /// Records where a stream began, with the first event that this answer brings.
  void record_origin(Active& active);
  /// @return the time within which a stream of @p route is over, resumed or not.
  static Duration longest_stream(const Route& route);
  /// @return whether a back end warms up that @p active may be sent to.
  bool warms_up(const Active& active);
  /// Refuses a request for which no back end is left.
  void refuse_without_backend(ForwardId id);
  /// Asks the placer for the engine of a request.
  void query_placer(ForwardId id, const std::vector<routing::Backend*>& open, const std::string& key);
  /// @return the placer's input for the choice.
  placement_query make_placer_query(const Active& active, const std::vector<routing::Backend*>& open,
                                    const std::string& key) const;
  void on_placer_reply(ForwardId id, std::uint64_t placer_query, const placement_outcome& outcome);
  /// Sends a request to @p backend, one of @p open.
  void send_to(ForwardId id, routing::Backend& backend, const std::vector<routing::Backend*>& open);
  void send(ForwardId id, routing::Backend& backend);
  /// Counts and logs that a stream of which the caller already has events goes on at @p backend.
  void record_continuation(const Active& active, const routing::Backend& backend);
  void announce_prefill(routing::Backend& backend);
  routing::Backend& choose(const Active& active, const std::vector<routing::Backend*>& open, const std::string& key);
  void update_call_time(const Active& active);
  void update_prefill_time(const Active& active, Duration elapsed);
  void update_first_byte_time(const Active& active, Duration elapsed);
  void start_first_byte_timeout(ForwardId id);
  void check_first_byte_after(ForwardId id, std::uint64_t attempt, Duration delay);
  /// Asks an unresponsive back end whether it has the request.
  void check_first_byte(ForwardId id, std::uint64_t attempt);
  /// Closes the current send and goes on at another back end.
  void leave_unresponsive(ForwardId id, std::uint64_t attempt);
  /// @return whether the back end of the current send is unresponsive and there is another one.
  bool may_leave_unresponsive(const Active& active);
  /// The back end of an overdue send has told whether it has the request.
  void on_run_found(ForwardId id, std::uint64_t attempt, routing::run_presence found);
  void on_head(ForwardId id, std::uint64_t attempt, AnswerHead head);
  void on_piece(ForwardId id, std::uint64_t attempt, std::string_view piece);
  void on_skipped(ForwardId id, std::uint64_t attempt, unsigned status);
  /// Adds a piece to an answer that is forwarded only once it is complete.
  void collect(ForwardId id, std::uint64_t attempt, std::string_view piece);
  /// Breaks off the longest of these answers if they hold too much memory together.
  void limit_collected();
  void forward_events(ForwardId id, std::uint64_t attempt, std::string_view piece);
  /// Cancels the current send since its back end violates the protocol of event streams.
  void break_off(ForwardId id, std::uint64_t attempt, answer_end end);
  enum class event_position { next, repeated, too_early };
  /// @return where @p event stands in a resumable stream; always next for other streams and events without a number.
  event_position position_of(const Active& active, const StreamEvent& event) const;
  void on_finished(ForwardId id, std::uint64_t attempt);
  void on_failed(ForwardId id, std::uint64_t attempt, send_failure failure);
  void on_give_up(ForwardId id);
  void retry_or_end(ForwardId id, routing::CallFailure failure);
  void complete(ForwardId id);
  /// Reports a complete answer to the quarantine.
  void report_answered(Active& active);
  void forward_piece(Active& active, std::string_view piece);
  void count_end(answer_end end);
  /// Counts and logs that the answer of the current send will not be complete.
  void record_broken_off(const Active& active, answer_end end);
  void end_unanswered(ForwardId id, ErrorKind kind, const std::string& detail);
  Duration retry_delay(const Active& active) const;
  void on_data_received(Active& active);
  void forward_head(Active& active);
  void release_backend(Active& active);
  bool is_current(ForwardId id, std::uint64_t attempt) const;
  const std::string& choose_pool(const Route& route);
  std::vector<routing::Backend*> untried_backends(const Active& active);
  /// @return one back end that warms up and that this node may send @p active to; empty where there is none.
  std::vector<routing::Backend*> untried_warming_backend(const Active& active);
  /// @return the back end with @p id if @p active may be sent to it; null otherwise.
  routing::Backend* named_backend(const Active& active, const std::vector<routing::Backend*>& open,
                                  const BackendId& id);
  bool may_send_again(const Active& active) const;
  /// Delays the attempt while it is not known yet whether the request terminates back ends.
  /// @return whether the attempt was delayed.
  bool wait_if_undecided(ForwardId id);
  /// Refuses a quarantined request, which must not be sent to any back end.
  /// @return whether the request was refused.
  bool refuse_if_quarantined(ForwardId id, routing::send_stage stage);
  /// @return whether the request was refused, since it would be sent for the first time by a node that stops soon.
  bool refuse_if_stopping(ForwardId id);
  void end_waiting_unsent();
  std::vector<ForwardId> requests_waiting_for_placer() const;
  /// Ends a request whose caller has closed its connection, which this node may not have noticed yet.
  /// @return whether the request was ended.
  bool end_if_caller_left(ForwardId id);
  static const routing::crash_suspects& suspects_of(Active& active);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  routing::Registry& registry_;
  Upstream& upstream_;
  const BackendActivityHook on_activity_;
  const ForwardGuards guards_;
  routing::RetryBudget budget_;
  std::map<ForwardId, Active> requests_;
  /// Smooth weighted round robin over a route's pools, by route name and pool.
  std::map<std::string, std::map<std::string, std::int64_t>> pool_credit_;
  Duration prefill_time_ = 100ms;  ///< Moving average from sending a long prompt to its first token.
  /// Moving average of the time to the first byte, for short prompts where a slot is free.
  Duration average_first_byte_time_{};
  Duration time_to_yield_{};
  Duration cached_prefill_time_{};  ///< As prefill_time_, where the engine has cached the prompt prefix.
  /// Moving average of the time from sending to the end of the answer, by pool.
  std::map<std::string, Duration> average_call_time_;
  const routing::shared_calls* shared_ = nullptr;
  Duration shared_delay_{};
  engine_placer* placer_ = nullptr;
  stream_directory* directory_ = nullptr;
  std::function<bool(const routing::Backend&)> allow_warming_;
  routing::repeat_guard* repeats_ = nullptr;
  std::uint64_t next_placer_query_ = 0;
  PrefillHook on_prefill_;
  ForwardId next_id_ = 0;
  std::uint64_t next_attempt_ = 0;
  std::optional<Timestamp> first_sends_end_at_;  ///< Set once the node stops.
  Lifetime lifetime_;
};

}  // namespace madderdeck::forwarding
