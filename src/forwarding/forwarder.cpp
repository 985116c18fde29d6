#include "forwarding/forwarder.hpp"

#include <algorithm>
#include <utility>

#include "common/histogram.hpp"
#include "forwarding/engine_choice.hpp"

namespace madderdeck::forwarding {
namespace {

using routing::Backend;
using routing::CallFailure;
using routing::Ran;

constexpr std::uint32_t kMaxSends =
    6;  ///< Sends of one request, including those that a back end refused without running it.
constexpr Duration kRetryAfterBusy = 300ms;
constexpr Duration kRetryAfterOutage = 500ms;
constexpr Duration kMinTimeLeft = 5ms;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kRetryPercent = 20;
constexpr Duration kMinFirstByteTimeout = 400ms;
constexpr Duration kRunLookupInterval = 500ms;  ///< While a back end has a request and sends nothing.
constexpr Duration kMinPrefillTime = 30ms;
constexpr Duration kMaxPrefillTime = 1s;
constexpr int kCallTimeSmoothing = 8;
constexpr int kFirstByteSmoothing = 8;
constexpr std::size_t kMinSamples = 4;
/// Of an answer that is forwarded once it is complete: twice the largest body that callers may send.
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxCollectedBytes = 64 * 1024 * 1024;  ///< Over all such answers of this node.
/// How often the answers are added up, in bytes of one of them.
constexpr std::size_t kCollectedCheckBytes = 256 * 1024;
/// Call reports that are at most this late count as exact: all engines are compared.
constexpr Duration kExactReportDelay = 25ms;

}  // namespace

Forwarder::Forwarder(Environment& environment, Counters& counters, DecisionLog& log, routing::Registry& registry,
                     Upstream& upstream, BackendActivityHook on_activity, ForwardGuards guards)
    : environment_(environment),
      counters_(counters),
      log_(log),
      registry_(registry),
      upstream_(upstream),
      on_activity_(std::move(on_activity)),
      guards_(guards) {
  budget_.set_percent(kRetryPercent);
}

ForwardId Forwarder::start(ForwardedRequestPointer request, std::shared_ptr<const Route> route, ForwardEvents events) {
  const ForwardId id = ++next_id_;
  Active active;
  active.request = std::move(request);
  active.route = std::move(route);
  active.events = std::move(events);
  active.started = environment_.now();
  active.pool = choose_pool(*active.route);
  active.last_event = active.request->resume_after;
  Duration held = std::chrono::milliseconds(active.route->timeout_ms);
  if (active.request->patience && (held.count() == 0 || *active.request->patience < held)) {
    held = *active.request->patience;
  }
  active.give_up_at = active.started + held;
  requests_.emplace(id, std::move(active));
  counters_["forwarded_requests_total"]++;
  budget_.on_request();
  if (held.count() > 0) {
    environment_.after(held, lifetime_.guard([this, id] { on_give_up(id); }));
  }
  attempt(id);
  return id;
}

const std::string& Forwarder::choose_pool(const Route& route) {
  if (route.pools.size() == 1) {
    return route.pools.front().pool;
  }
  auto& credits = pool_credit_[route.name];
  std::int64_t total = 0;
  const WeightedPool* best = nullptr;
  for (const WeightedPool& pool : route.pools) {
    credits[pool.pool] += pool.weight;
    total += pool.weight;
    if (best == nullptr || credits[pool.pool] > credits[best->pool]) {
      best = &pool;
    }
  }
  credits[best->pool] -= total;
  return best->pool;
}

std::vector<Backend*> Forwarder::untried_backends(const Active& active) {
  std::vector<Backend*> found = registry_.candidates(active.pool, active.stream_version);
  std::vector<Backend*> untried;
  for (Backend* backend : found) {
    if (!active.tried.contains(backend->machine.id)) {
      untried.push_back(backend);
    }
  }
  return untried;
}

std::vector<Backend*> Forwarder::untried_warming_backend(const Active& active) {
  for (Backend* backend : registry_.warming(active.pool)) {
    const bool usable =
        !active.tried.contains(backend->machine.id) && registry_.may_run_at(*backend, active.stream_version);
    if (usable && allow_warming_ && allow_warming_(*backend)) {
      return {backend};
    }
  }
  return {};
}

/// The placer may name any engine of the pool, while this node itself chooses only among a subset of them.
Backend* Forwarder::named_backend(const Active& active, const std::vector<Backend*>& open, const BackendId& id) {
  Backend* backend = registry_.find(id);
  if (backend != nullptr && std::find(open.begin(), open.end(), backend) != open.end()) {
    return backend;
  }
  if (backend == nullptr || active.tried.contains(id) || !registry_.open(*backend)) {
    return nullptr;
  }
  if (guards_.check_assigned_version && !registry_.may_run_at(*backend, active.stream_version)) {
    return nullptr;
  }
  const std::vector<std::string>& pools = backend->machine.pools;
  const bool offers = std::find(pools.begin(), pools.end(), active.pool) != pools.end();
  return offers && environment_.now() >= backend->ejected_until ? backend : nullptr;
}

const routing::crash_suspects& Forwarder::suspects_of(Active& active) {
  if (!active.suspects) {
    active.suspects = crash_suspects_of(*active.request);
  }
  return *active.suspects;
}

bool Forwarder::refuse_if_quarantined(ForwardId id, routing::send_stage stage) {
  if (repeats_ == nullptr || !repeats_->has_records()) {
    return false;
  }
  Active& active = requests_.at(id);
  if (!repeats_->is_quarantined(suspects_of(active), active.request->id, stage)) {
    return false;
  }
  counters_["forward_refused_quarantined_total"]++;
  end_unanswered(id, ErrorKind::quarantined,
                 "back ends ended each time they ran this request, or others with a part of its prompt");
  return true;
}

std::vector<ForwardId> Forwarder::requests_waiting_for_placer() const {
  std::vector<ForwardId> waiting;
  for (const auto& [id, active] : requests_) {
    if (active.placer_query != 0) {
      waiting.push_back(id);
    }
  }
  return waiting;
}

void Forwarder::end_quarantined() {
  for (const ForwardId id : requests_waiting_for_placer()) {
    const auto entry = requests_.find(id);
    if (entry == requests_.end()) {
      continue;
    }
    const engine_placer::ticket ticket = entry->second.ticket;
    if (refuse_if_quarantined(id, routing::send_stage::before_choice)) {
      placer_->withdraw(ticket);
      counters_["forward_waiting_ended_quarantined_total"]++;
    }
  }
}

void Forwarder::stop_first_sends_at(Timestamp at) {
  first_sends_end_at_ = at;
  const Duration left = std::max(Duration::zero(), at - environment_.now());
  environment_.after(left, lifetime_.guard([this] { end_waiting_unsent(); }));
}

void Forwarder::end_waiting_unsent() {
  for (const ForwardId id : requests_waiting_for_placer()) {
    const auto entry = requests_.find(id);
    if (entry == requests_.end()) {
      continue;
    }
    const engine_placer::ticket ticket = entry->second.ticket;
    if (refuse_if_stopping(id)) {
      placer_->withdraw(ticket);
    }
  }
}

bool Forwarder::refuse_if_stopping(ForwardId id) {
  const bool stopped = first_sends_end_at_ && environment_.now() >= *first_sends_end_at_;
  if (!stopped || requests_.at(id).sends > 0) {
    return false;
  }
  counters_["forward_refused_stopping_total"]++;
  end_unanswered(id, ErrorKind::unavailable, "this node is stopping");
  return true;
}

/// Waiting avoids two faults: refusing a request because of a concurrent request that terminated the back end, and
/// sending it while the report of a third termination is in transit.
bool Forwarder::wait_if_undecided(ForwardId id) {
  if (repeats_ == nullptr || !repeats_->has_records()) {
    return false;
  }
  Active& active = requests_.at(id);
  const Duration wait = repeats_->undecided_wait(suspects_of(active));
  if (wait <= Duration::zero()) {
    return false;
  }
  counters_["forward_waited_undecided_total"]++;
  active.attempt = 0;
  environment_.after(wait, lifetime_.guard([this, id] {
    if (requests_.contains(id)) {
      attempt(id);
    }
  }));
  return true;
}

void Forwarder::attempt(ForwardId id) {
  if (refuse_if_stopping(id) || wait_if_undecided(id) ||
      refuse_if_quarantined(id, routing::send_stage::before_choice) || look_up_origin(id)) {
    return;
  }
  Active& active = requests_.at(id);
  std::vector<Backend*> open = untried_backends(active);
  const bool placed = placer_ != nullptr && placer_->active();
  if (open.empty() && !placed) {
    open = untried_warming_backend(active);
  }
  // While a placer is active, only the placer chooses back ends that warm up.
  if (open.empty() && (!placed || !warms_up(active))) {
    refuse_without_backend(id);
    return;
  }
  const std::string key = active.route->prefix_affinity ? affinity_key(active.request->prompt) : std::string();
  if (placer_ != nullptr) {
    placer_->note_request(!key.empty());
  }
  if (placer_ != nullptr && placer_->active()) {
    query_placer(id, open, key);
    return;
  }
  Backend& backend = choose(active, open, key);
  if (!key.empty()) {
    announce_prefill(backend);
  }
  send_to(id, backend, open);
}

bool Forwarder::warms_up(const Active& active) {
  const std::vector<Backend*> warming = registry_.warming(active.pool);
  return std::any_of(warming.begin(), warming.end(),
                     [&](const Backend* backend) { return registry_.may_run_at(*backend, active.stream_version); });
}

void Forwarder::refuse_without_backend(ForwardId id) {
  const Active& active = requests_.at(id);
  if (active.stream_version && !registry_.serves_version(active.pool, active.stream_version)) {
    counters_["forward_refused_version_gone_total"]++;
    end_unanswered(id, ErrorKind::version_gone,
                   "no back end has software version '" + *active.stream_version + "', which began the stream");
    return;
  }
  const bool tried = !active.tried.empty();
  counters_[tried ? "forward_refused_busy_total" : "forward_refused_no_backend_total"]++;
  end_unanswered(id, ErrorKind::unavailable,
                 tried ? "every back end of the pool refused" : "the pool has no back end that takes requests");
}

Duration Forwarder::longest_stream(const Route& route) {
  constexpr Duration kWithoutTimeout = 60s;
  constexpr int kAttempts = 2;  // a caller that resumes has the route's time again
  return route.timeout_ms == 0 ? kWithoutTimeout : kAttempts * Duration(std::chrono::milliseconds(route.timeout_ms));
}

bool Forwarder::look_up_origin(ForwardId id) {
  Active& active = requests_.at(id);
  if (active.looks_up_origin) {
    return true;
  }
  const bool resumes = active.route->resumable && active.request->resume_after > 0;
  if (active.origin_settled || !resumes || directory_ == nullptr || !registry_.versions_stated()) {
    return false;
  }
  active.looks_up_origin = true;
  stream_query query;
  query.request = active.request->id;
  query.longest_stream = longest_stream(*active.route);
  if (!active.request->first_attempt.empty()) {
    query.key = stream_key_of(*active.request, active.request->first_attempt);
  }
  for (const WeightedPool& pool : active.route->pools) {
    query.pools.push_back(pool.pool);
  }
  const auto ticket = directory_->look_up(
      std::move(query),
      lifetime_.guard([this, id](const std::optional<stream_origin>& origin) { on_origin(id, origin); }));
  const auto entry = requests_.find(id);
  if (entry != requests_.end() && entry->second.looks_up_origin) {
    entry->second.lookup = ticket;
  }
  return true;
}

void Forwarder::on_origin(ForwardId id, const std::optional<stream_origin>& origin) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return;
  }
  Active& active = entry->second;
  active.looks_up_origin = false;
  active.origin_settled = true;
  if (!origin || origin->software_version.empty()) {
    counters_["forward_refused_version_unknown_total"]++;
    end_unanswered(id, ErrorKind::version_unknown, "the software version that began the stream is not known");
    return;
  }
  active.pool = origin->pool;
  active.stream_version = origin->software_version;
  attempt(id);
}

void Forwarder::record_origin(Active& active) {
  const ForwardedRequest& request = *active.request;
  const bool resumed = request.resume_after > 0;
  if (directory_ == nullptr || !registry_.versions_stated() || (resumed && request.first_attempt.empty())) {
    return;
  }
  const Duration valid_for = active.give_up_at - environment_.now() + longest_stream(*active.route);
  directory_->record(stream_key_of(request, resumed ? request.first_attempt : request.id),
                     {active.pool, active.stream_version.value_or("")}, valid_for, active.route->pools.size() > 1);
}

void Forwarder::query_placer(ForwardId id, const std::vector<Backend*>& open, const std::string& key) {
  Active& active = requests_.at(id);
  const std::uint64_t placer_query = ++next_placer_query_;
  active.placer_query = placer_query;
  const auto ticket = placer_->place(make_placer_query(active, open, key),
                                     lifetime_.guard([this, id, placer_query](const placement_outcome& outcome) {
                                       on_placer_reply(id, placer_query, outcome);
                                     }));
  const auto entry = requests_.find(id);
  if (entry != requests_.end() && entry->second.placer_query == placer_query) {
    entry->second.ticket = ticket;
  }
}

placement_query Forwarder::make_placer_query(const Active& active, const std::vector<Backend*>& open,
                                             const std::string& key) const {
  const Timestamp now = environment_.now();
  placement_query query;
  query.request = active.request->id;
  query.pool = active.pool;
  query.excluded = active.tried;
  query.software_version = active.stream_version;
  if (!key.empty()) {
    query.affinity_key = key;
    query.first = open.empty() ? std::optional<BackendId>() : preferred_backend(open, key).machine.id;
    query.reading = std::clamp(prefill_time_ - cached_prefill_time_, kMinPrefillTime, kMaxPrefillTime);
  }
  const auto held = average_call_time_.find(active.pool);
  query.holding = held == average_call_time_.end() ? Duration::zero() : held->second;
  query.patience = active.give_up_at - now;
  if (active.route->silence_ms > 0) {
    const Timestamp given_up_at = active.started + std::chrono::milliseconds(active.route->silence_ms);
    query.patience = std::min(query.patience, given_up_at - now);
  }
  query.due = active.route->target_ms == 0 ? query.patience
                                           : active.started + std::chrono::milliseconds(active.route->target_ms) - now;
  query.due -= key.empty() ? average_first_byte_time_ : prefill_time_;
  query.rank = {active.request->tenant_priority, active.route->priority};
  return query;
}

void Forwarder::on_placer_reply(ForwardId id, std::uint64_t placer_query, const placement_outcome& outcome) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end() || entry->second.placer_query != placer_query) {
    counters_["forward_places_unused_total"]++;
    return;
  }
  Active& active = entry->second;
  active.placer_query = 0;
  if (outcome.retry_after) {
    counters_["forward_refused_full_total"]++;
    active.retry_after = outcome.retry_after;
    end_unanswered(id, ErrorKind::unavailable, "no slot will be free before the deadline");
    return;
  }
  const std::optional<engine_assignment>& answer = outcome.place;
  if (end_if_caller_left(id)) {
    if (answer) {
      placer_->return_unused(answer->engine);
    }
    return;
  }
  const std::vector<Backend*> open = untried_backends(active);
  if (Backend* named = answer ? named_backend(active, open, answer->engine) : nullptr) {
    active.awaits_yield = answer->needs_yield;
    active.keeps_start = answer->keeps_start;
    send_to(id, *named, open);
    return;
  }
  if (answer) {
    placer_->return_unused(answer->engine);
  }
  if (open.empty()) {
    refuse_without_backend(id);
    return;
  }
  // The placer sent no reply in time, or named an engine that this node does not know or use: the node chooses itself.
  counters_["forward_places_own_choice_total"]++;
  const std::string key = active.route->prefix_affinity ? affinity_key(active.request->prompt) : std::string();
  send_to(id, choose(active, open, key), open);
}

bool Forwarder::end_if_caller_left(ForwardId id) {
  const Active& active = requests_.at(id);
  if (!guards_.send_only_for_present_callers || !active.events.caller_has_left || !active.events.caller_has_left()) {
    return false;
  }
  counters_["forward_callers_left_before_send_total"]++;
  cancel(id);
  return true;
}

void Forwarder::send_to(ForwardId id, Backend& backend, const std::vector<Backend*>& open) {
  if (end_if_caller_left(id)) {
    return;
  }
  // While the request waited for its engine, it or a concurrent request may have been found to terminate back ends.
  if (refuse_if_stopping(id) || wait_if_undecided(id) || refuse_if_quarantined(id, routing::send_stage::before_send)) {
    return;
  }
  Active& active = requests_.at(id);
  const routing::shared_calls nothing_shared;
  const routing::shared_calls& shared = shared_ == nullptr ? nothing_shared : *shared_;
  const known_calls known = calls_at(backend, shared, environment_.now());
  const auto free_elsewhere = std::count_if(open.begin(), open.end(), [&](const Backend* other) {
    const known_calls calls = calls_at(*other, shared, environment_.now());
    return other != &backend && calls.live + calls.batch < calls.slots;
  });
  log_.record("request_sent", {{"request", active.request->id},
                               {"route", active.route->name},
                               {"pool", active.pool},
                               {"backend", backend.machine.id.str()},
                               {"candidates", open.size()},
                               {"own_calls", backend.online_in_flight},
                               {"known_calls", known.live + known.batch},
                               {"known_live", known.live},
                               {"slots", backend.machine.slots},
                               {"free_elsewhere", free_elsewhere},
                               {"reported", backend.report.running_online + backend.report.waiting},
                               {"report_age_ms", (environment_.now() - backend.reported_at) / 1ms},
                               {"list_age_ms", registry_.list_age_ms()},
                               {"software_version", backend.machine.software_version},
                               {"unlisted", backend.unlisted.has_value()},
                               {"send", active.sends + 1},
                               {"resume_after", active.last_event},
                               {"left_ms", (active.give_up_at - environment_.now()) / 1ms}});
  record_continuation(active, backend);
  send(id, backend);
}

void Forwarder::record_continuation(const Active& active, const Backend& backend) {
  if (active.last_event == 0) {
    return;
  }
  const std::string& version = backend.machine.software_version;
  const bool changes = active.stream_version && *active.stream_version != version;
  counters_["forward_streams_continued_total"]++;
  counters_["forward_streams_continued_at_other_version_total"] += changes ? 1 : 0;
  log_.record("stream_continued", {{"request", active.request->id},
                                   {"first_attempt", active.request->first_attempt},
                                   {"after_event", active.last_event},
                                   {"by_caller", active.forwarded_events == 0},
                                   {"stream_version", active.stream_version.value_or("unknown")},
                                   {"backend", backend.machine.id.str()},
                                   {"software_version", version}});
}

/// Where call reports arrive late, comparing all engines would make all gateways choose the same ones.
Backend& Forwarder::choose(const Active& active, const std::vector<Backend*>& open, const std::string& key) {
  ChoiceInput input{open, key, environment_.now(), environment_.random(), registry_.gateways_per_engine(active.pool)};
  input.shared = shared_;
  if (shared_ != nullptr) {
    const auto all = static_cast<std::int64_t>(open.size());
    const std::int64_t fresh = all * kExactReportDelay.count() / std::max(kExactReportDelay, shared_delay_).count();
    input.samples = std::max(kMinSamples, static_cast<std::size_t>(fresh));
  }
  return choose_backend(input);
}

void Forwarder::send(ForwardId id, Backend& backend) {
  Active& active = requests_.at(id);
  if (placer_ == nullptr || !placer_->active()) {
    active.awaits_yield = shared_ != nullptr && calls_at(backend, *shared_, environment_.now()).needs_yield();
  }
  active.backend = backend.machine.id;
  active.software_version = backend.machine.software_version;
  active.tried.insert(active.backend);
  active.attempt = ++next_attempt_;
  active.sent_at = environment_.now();
  active.head_seen = false;
  active.has_first_byte = false;
  active.body.clear();
  active.comments.clear();
  active.answer.begin({});
  ++active.sends;
  ++backend.online_in_flight;
  active.incarnation = registry_.on_sent(active.backend);
  on_activity_(active.backend, backend.online_in_flight);
  UpstreamCall call;
  call.backend = active.backend;
  call.request = active.request;
  call.time_left = std::max(active.give_up_at - active.sent_at, Duration(kMinTimeLeft));
  call.resume_after = active.last_event;
  call.may_repeat = active.route->may_repeat();
  const std::uint64_t attempt = active.attempt;
  UpstreamEvents events;
  events.head = lifetime_.guard([this, id, attempt](AnswerHead head) { on_head(id, attempt, std::move(head)); });
  events.piece = lifetime_.guard([this, id, attempt](std::string_view piece) { on_piece(id, attempt, piece); });
  events.finished = lifetime_.guard([this, id, attempt] { on_finished(id, attempt); });
  events.failed = lifetime_.guard([this, id, attempt](send_failure failure) { on_failed(id, attempt, failure); });
  events.skipped = lifetime_.guard([this, id, attempt](unsigned status) { on_skipped(id, attempt, status); });
  active.call = upstream_.start(std::move(call), std::move(events));
  start_first_byte_timeout(id);
}

/// Lets other gateways avoid @p backend until it has likely finished the prefill of the prompt.
void Forwarder::announce_prefill(Backend& backend) {
  const Duration expected = std::clamp(prefill_time_, kMinPrefillTime, kMaxPrefillTime);
  const Timestamp until = environment_.now() + expected;
  backend.prefill_until = std::max(backend.prefill_until, until);
  if (on_prefill_) {
    on_prefill_(backend.machine.id, expected);
  }
}

/// An unresponsive back end reports no failure. A repeatable request is therefore sent to another one after a timeout.
void Forwarder::start_first_byte_timeout(ForwardId id) {
  const Active& active = requests_.at(id);
  if (!active.route->may_repeat() || active.runs + 1 >= active.route->max_attempts) {
    return;
  }
  const Duration timeout = std::max<Duration>(kMinFirstByteTimeout, std::chrono::milliseconds(active.route->target_ms));
  check_first_byte_after(id, active.attempt, timeout);
}

void Forwarder::check_first_byte_after(ForwardId id, std::uint64_t attempt, Duration delay) {
  environment_.after(delay, lifetime_.guard([this, id, attempt] { check_first_byte(id, attempt); }));
}

void Forwarder::check_first_byte(ForwardId id, std::uint64_t attempt) {
  if (!is_current(id, attempt)) {
    return;
  }
  const Active& active = requests_.at(id);
  if (!may_leave_unresponsive(active)) {
    return;
  }
  if (active.answer.lacks_event() || !guards_.stay_where_run_is) {
    leave_unresponsive(id, attempt);
    return;
  }
  // It may be silent on this connection alone, and notice no closed connection while it is: both runs would go on.
  upstream_.find_run(
      active.backend, active.request->id,
      lifetime_.guard([this, id, attempt](routing::run_presence found) { on_run_found(id, attempt, found); }));
}

bool Forwarder::may_leave_unresponsive(const Active& active) {
  const bool sends_no_event = active.answer.lacks_event();
  if (active.has_first_byte && !sends_no_event) {
    return false;
  }
  const Backend* backend = registry_.find(active.backend);
  // A back end that answers other calls is only slow or full: the request stays there.
  const bool unresponsive = sends_no_event || backend == nullptr || silent(*backend, environment_.now());
  return unresponsive && !untried_backends(active).empty();
}

void Forwarder::on_run_found(ForwardId id, std::uint64_t attempt, routing::run_presence found) {
  if (!is_current(id, attempt)) {
    return;
  }
  const Active& active = requests_.at(id);
  counters_["forward_runs_found_" + std::string(run_presence_name(found)) + "_total"]++;
  log_.record("run_looked_up", {{"request", active.request->id},
                                {"backend", active.backend.str()},
                                {"found", run_presence_name(found)},
                                {"after_ms", (environment_.now() - active.sent_at) / 1ms}});
  if (!may_leave_unresponsive(active)) {
    return;
  }
  const bool has_run = found == routing::run_presence::running || found == routing::run_presence::may_wait;
  if (has_run) {
    check_first_byte_after(id, attempt, kRunLookupInterval);
  } else {
    leave_unresponsive(id, attempt);
  }
}

void Forwarder::leave_unresponsive(ForwardId id, std::uint64_t attempt) {
  counters_["forward_first_byte_timeouts_total"]++;
  upstream_.cancel(requests_.at(id).call);
  on_failed(id, attempt, {CallFailure::timed_out, answer_end::silent, send_ender::gateway});
}

bool Forwarder::is_current(ForwardId id, std::uint64_t attempt) const {
  const auto entry = requests_.find(id);
  return entry != requests_.end() && entry->second.attempt == attempt;
}

void Forwarder::on_data_received(Active& active) {
  registry_.on_heard(active.backend);
  if (active.has_first_byte) {
    return;
  }
  active.has_first_byte = true;
  active.first_byte_at = environment_.now();
  const Duration elapsed = environment_.now() - active.sent_at;
  if (active.request->prompt.empty() || affinity_key(active.request->prompt).empty()) {
    const double milliseconds = std::chrono::duration<double, std::milli>(elapsed).count();
    registry_.on_first_token(active.backend, milliseconds);
    if (registry_.on_first_token_time) {
      registry_.on_first_token_time(active.backend, milliseconds);
    }
    update_first_byte_time(active, elapsed);
  } else {
    update_prefill_time(active, elapsed);
  }
}

void Forwarder::update_prefill_time(const Active& active, Duration elapsed) {
  Duration& average = active.keeps_start ? cached_prefill_time_ : prefill_time_;
  average += (elapsed - average) / kCallTimeSmoothing;
}

void Forwarder::update_call_time(const Active& active) {
  const Duration took = environment_.now() - active.sent_at;
  Duration& average = average_call_time_.try_emplace(active.pool, took).first->second;
  average += (took - average) / kCallTimeSmoothing;
}

void Forwarder::update_first_byte_time(const Active& active, Duration elapsed) {
  if (active.route->kind != RouteKind::stream) {
    return;
  }
  if (!active.awaits_yield) {
    average_first_byte_time_ += (elapsed - average_first_byte_time_) / kFirstByteSmoothing;
    return;
  }
  const Duration waited = std::max(Duration::zero(), elapsed - average_first_byte_time_);
  time_to_yield_ += (waited - time_to_yield_) / kFirstByteSmoothing;
  observe(counters_, "time_to_yield", waited);
}

void Forwarder::on_head(ForwardId id, std::uint64_t attempt, AnswerHead head) {
  if (!is_current(id, attempt)) {
    counters_["forward_stale_events_total"]++;
    return;
  }
  Active& active = requests_.at(id);
  on_data_received(active);
  active.head_seen = true;
  active.answer.begin(head);
  // A stream that is resumed on another back end keeps its first head.
  if (!active.head_forwarded) {
    active.head = std::move(head);
  } else if (!head.event_stream || head.status >= 300) {
    upstream_.cancel(active.call);
    on_failed(id, attempt,
              {head.status >= kFirstServerError ? CallFailure::failed_run : CallFailure::broken, answer_end::malformed,
               send_ender::gateway});
  }
}

void Forwarder::forward_head(Active& active) {
  if (!active.head_forwarded) {
    active.head_forwarded = true;
    active.first_sent_at = environment_.now();
    active.events.head(active.head, std::nullopt);
  }
}

void Forwarder::on_piece(ForwardId id, std::uint64_t attempt, std::string_view piece) {
  if (!is_current(id, attempt)) {
    counters_["forward_stale_events_total"]++;
    return;
  }
  Active& active = requests_.at(id);
  on_data_received(active);
  if (!active.head.event_stream) {
    active.answer.read(piece, {});
    collect(id, attempt, piece);
  } else if (guards_.complete_events_only) {
    forward_events(id, attempt, piece);
  } else {
    active.answer.read(piece, [&active](const StreamEvent&) { ++active.forwarded_events; });
    forward_piece(active, piece);
  }
}

void Forwarder::on_skipped(ForwardId id, std::uint64_t attempt, unsigned status) {
  counters_["forward_answers_skipped_total"]++;
  if (!is_current(id, attempt)) {
    return;
  }
  const Active& active = requests_.at(id);
  log_.record("answer_skipped", {{"request", active.request->id},
                                 {"backend", active.backend.str()},
                                 {"status", status},
                                 {"after_ms", (environment_.now() - active.sent_at) / 1ms}});
}

void Forwarder::collect(ForwardId id, std::uint64_t attempt, std::string_view piece) {
  std::string& body = requests_.at(id).body;
  const std::size_t before = body.size();
  body.append(piece);
  if (body.size() > kMaxAnswerBytes) {
    counters_["forward_answers_too_long_total"]++;
    break_off(id, attempt, answer_end::too_long);
  } else if (before / kCollectedCheckBytes != body.size() / kCollectedCheckBytes) {
    limit_collected();
  }
}

void Forwarder::limit_collected() {
  std::size_t total = 0;
  auto longest = requests_.end();
  for (auto entry = requests_.begin(); entry != requests_.end(); ++entry) {
    const std::size_t size = entry->second.body.size();
    total += size;
    longest = longest == requests_.end() || size > longest->second.body.size() ? entry : longest;
  }
  if (total > kMaxCollectedBytes) {
    counters_["forward_collected_answers_over_limit_total"]++;
    break_off(longest->first, longest->second.attempt, answer_end::too_long);
  }
}

void Forwarder::forward_piece(Active& active, std::string_view piece) {
  forward_head(active);
  active.forwarded_bytes += piece.size();
  active.events.piece(piece);
}

Forwarder::event_position Forwarder::position_of(const Active& active, const StreamEvent& event) const {
  if (!active.route->resumable || event.number == 0 || !guards_.keep_event_order) {
    return event_position::next;
  }
  if (event.number <= active.last_event) {
    return event_position::repeated;
  }
  return event.number == active.last_event + 1 ? event_position::next : event_position::too_early;
}

void Forwarder::forward_events(ForwardId id, std::uint64_t attempt, std::string_view piece) {
  Active& active = requests_.at(id);
  std::string passed;
  bool gap = false;
  bool begins = false;
  active.answer.read(piece, [&](const StreamEvent& event) {
    const event_position place = position_of(active, event);
    if (gap || place == event_position::repeated) {
      counters_["forward_events_repeated_total"]++;
      return;
    }
    if (place == event_position::too_early) {
      gap = true;
      return;
    }
    if (!event.has_fields && !active.head_forwarded) {
      active.comments.append(event.bytes);  // the request may still be sent to another back end
      return;
    }
    active.last_event = active.route->resumable && event.number != 0 ? event.number : active.last_event;
    begins = begins || active.forwarded_events == 0;
    if (!active.stream_version) {
      active.stream_version = active.software_version;
    }
    passed.append(std::exchange(active.comments, {}));
    passed.append(event.bytes);
    ++active.forwarded_events;
  });
  if (begins && active.route->resumable) {
    record_origin(active);  // before the caller has the event, and may resume after it
  }
  if (!passed.empty()) {
    forward_piece(active, passed);
  }
  if (!is_current(id, attempt)) {
    return;
  }
  if (gap) {
    counters_["forward_event_gaps_total"]++;
    break_off(id, attempt, answer_end::out_of_order);
  } else if (active.answer.is_endless()) {
    counters_["forward_events_too_long_total"]++;
    break_off(id, attempt, answer_end::too_long);
  }
}

void Forwarder::break_off(ForwardId id, std::uint64_t attempt, answer_end end) {
  upstream_.cancel(requests_.at(id).call);
  on_failed(id, attempt, {CallFailure::broken, end, send_ender::gateway});
}

void Forwarder::on_finished(ForwardId id, std::uint64_t attempt) {
  if (!is_current(id, attempt)) {
    counters_["forward_stale_events_total"]++;
    return;
  }
  Active& active = requests_.at(id);
  const answer_end end = active.answer.end();
  if (end != answer_end::whole && guards_.check_answer_ends) {
    on_failed(id, attempt, {CallFailure::broken, end});
    return;
  }
  const bool failed = active.head.status >= kFirstServerError;
  if (failed) {
    registry_.on_failure_answer(active.backend);
  }
  if (failed && !active.head_forwarded && may_send_again(active)) {
    on_failed(id, attempt, {CallFailure::failed_run, answer_end::whole});
    return;
  }
  complete(id);
}

/// Only a run that wrote an answer shows that the parts of its prompt crash no back end.
void Forwarder::report_answered(Active& active) {
  if (repeats_ == nullptr || active.head.status >= kFirstServerError) {
    return;
  }
  if (active.head.status < kFirstRedirect) {
    repeats_->call_answered(suspects_of(active));
  } else {
    repeats_->call_answered(suspects_of(active).request);
  }
}

void Forwarder::complete(ForwardId id) {
  auto node = requests_.extract(id);
  Active& active = node.mapped();
  release_backend(active);
  registry_.on_success(active.backend);
  update_call_time(active);
  report_answered(active);
  counters_["forward_answered_total"]++;
  const answer_end end = active.answer.end();
  count_end(end);
  if (!active.head.event_stream) {
    active.forwarded_bytes = active.body.size();
  }
  const Timestamp first_sent_at = active.head_forwarded ? active.first_sent_at : environment_.now();
  log_.record("request_answered", {{"request", active.request->id},
                                   {"backend", active.backend.str()},
                                   {"status", active.head.status},
                                   {"sends", active.sends},
                                   {"framing", net::body_framing_name(active.answer.framing())},
                                   {"end", answer_end_name(end)},
                                   {"events", active.forwarded_events},
                                   {"bytes", active.forwarded_bytes},
                                   {"unfinished_bytes", active.answer.unfinished().size()},
                                   {"first_ms", (first_sent_at - active.started) / 1ms},
                                   {"took_ms", (environment_.now() - active.started) / 1ms}});
  if (!active.head_forwarded && !active.head.event_stream) {
    active.events.head(active.head, std::move(active.body));
    return;
  }
  forward_head(active);
  if (!active.comments.empty()) {
    active.events.piece(active.comments);
  }
  if (!active.answer.unfinished().empty() && guards_.complete_events_only) {
    active.events.piece(active.answer.unfinished());  // empty lines after the last event
  }
  active.events.finished();
}

void Forwarder::count_end(answer_end end) {
  counters_["answers_ended_" + std::string(answer_end_name(end)) + "_total"]++;
}

void Forwarder::record_broken_off(const Active& active, answer_end end) {
  if (!active.head_seen) {
    return;
  }
  count_end(end);
  log_.record("answer_broken_off", {{"request", active.request->id},
                                    {"backend", active.backend.str()},
                                    {"status", active.head.status},
                                    {"framing", net::body_framing_name(active.answer.framing())},
                                    {"end", answer_end_name(end)},
                                    {"events", active.forwarded_events},
                                    {"bytes", active.forwarded_bytes},
                                    {"unfinished_bytes", active.answer.unfinished().size()},
                                    {"begun", active.head_forwarded},
                                    {"after_ms", (environment_.now() - active.sent_at) / 1ms}});
}

bool Forwarder::may_send_again(const Active& active) const {
  const bool harmless = active.route->may_repeat() || !guards_.repeat_only_if_allowed;
  return harmless && active.runs + 1 < active.route->max_attempts && active.sends < kMaxSends &&
         environment_.now() + kMinTimeLeft < active.give_up_at;
}

void Forwarder::on_failed(ForwardId id, std::uint64_t attempt, send_failure failed) {
  if (!is_current(id, attempt)) {
    counters_["forward_stale_events_total"]++;
    return;
  }
  const CallFailure failure = failed.reason;
  Active& active = requests_.at(id);
  release_backend(active);
  if (registry_.is_incarnation(active.backend, active.incarnation)) {
    registry_.on_failure(active.backend, failure);
  }
  active.attempt = 0;
  record_broken_off(active, failed.end);
  counters_["sends_ended_" + std::string(answer_end_name(failed.end)) + "_total"]++;
  log_.record("send_failed", {{"request", active.request->id},
                              {"backend", active.backend.str()},
                              {"failure", routing::failure_name(failure)},
                              {"end", answer_end_name(failed.end)},
                              {"by", failed.by == send_ender::gateway ? "gateway" : "back_end"},
                              {"sends", active.sends},
                              {"events", active.last_event},
                              {"after_ms", (environment_.now() - active.sent_at) / 1ms}});
  if (repeats_ == nullptr || failure != CallFailure::broken) {
    retry_or_end(id, failure);
    return;
  }
  const Duration answered_for = active.has_first_byte ? environment_.now() - active.first_byte_at : Duration::zero();
  active.breaks.report(*repeats_, {suspects_of(active), active.request->id, active.backend, answered_for},
                       lifetime_.guard([this, id, failure] {
                         if (requests_.contains(id)) {
                           retry_or_end(id, failure);
                         }
                       }));
}

void Forwarder::retry_or_end(ForwardId id, CallFailure failure) {
  Active& active = requests_.at(id);
  const bool not_run = certainly_not_run(failure);
  const bool in_time = environment_.now() + kMinTimeLeft < active.give_up_at;
  if (not_run && active.sends < kMaxSends && in_time) {
    counters_["forward_moved_on_total"]++;
    attempt(id);
    return;
  }
  const bool again = !not_run && may_send_again(active) && active.breaks.may_run_again();
  active.runs += not_run ? 0 : 1;
  if (again && budget_.try_spend()) {
    counters_[active.head_forwarded ? "forward_resumed_total" : "forward_retried_total"]++;
    attempt(id);
    return;
  }
  counters_["forward_retries_over_budget_total"] += again ? 1 : 0;
  end_unanswered(id, not_run ? ErrorKind::unavailable : ErrorKind::upstream_failed, "the back end failed");
}

Duration Forwarder::retry_delay(const Active& active) const {
  if (active.retry_after) {
    return *active.retry_after;
  }
  return active.tried.empty() ? kRetryAfterOutage : kRetryAfterBusy;
}

/// Ends a request without a complete answer and informs the caller at once.
void Forwarder::end_unanswered(ForwardId id, ErrorKind kind, const std::string& detail) {
  auto node = requests_.extract(id);
  Active& active = node.mapped();
  const bool may_have_run = active.runs > 0;
  counters_["forward_unanswered_total"]++;
  log_.record("request_given_up", {{"request", active.request->id},
                                   {"route", active.route->name},
                                   {"reason", error_kind_name(kind)},
                                   {"may_have_run", may_have_run},
                                   {"begun", active.head_forwarded},
                                   {"sends", active.sends},
                                   {"took_ms", (environment_.now() - active.started) / 1ms}});
  if (active.head_forwarded) {
    active.events.broken();
    return;
  }
  if (may_have_run && (kind == ErrorKind::unavailable || kind == ErrorKind::version_gone)) {
    kind = ErrorKind::upstream_failed;
  }
  const Ran ran = may_have_run ? Ran::unknown : Ran::no;
  const bool version_lost = kind == ErrorKind::version_gone || kind == ErrorKind::version_unknown;
  const bool retry_is_futile = may_have_run || version_lost || kind == ErrorKind::quarantined;
  active.events.refused(
      routing::Refusal{Error{kind, detail}, ran, retry_is_futile ? Duration::zero() : retry_delay(active)});
}

void Forwarder::on_give_up(ForwardId id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return;
  }
  Active& active = entry->second;
  if (active.looks_up_origin) {
    counters_["forward_timeouts_total"]++;
    directory_->withdraw(active.lookup);
    end_unanswered(id, ErrorKind::deadline_exceeded, "the software version of the stream was not found in time");
    return;
  }
  if (active.placer_query != 0) {
    counters_["forward_timeouts_total"]++;
    placer_->withdraw(active.ticket);
    end_unanswered(id, ErrorKind::deadline_exceeded, "no engine was assigned before the deadline");
    return;
  }
  upstream_.cancel(active.call);
  release_backend(active);
  record_broken_off(active, answer_end::given_up);
  const bool no_answer = !active.has_first_byte || active.answer.lacks_event();
  if (no_answer && registry_.is_incarnation(active.backend, active.incarnation)) {
    registry_.on_failure(active.backend, CallFailure::timed_out);
  }
  ++active.runs;
  counters_["forward_timeouts_total"]++;
  end_unanswered(id, ErrorKind::deadline_exceeded, "no complete answer before the deadline");
}

void Forwarder::cancel(ForwardId id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return;
  }
  Active& active = entry->second;
  if (active.placer_query != 0) {
    placer_->withdraw(active.ticket);
  }
  if (active.looks_up_origin) {
    directory_->withdraw(active.lookup);
  }
  upstream_.cancel(active.call);
  release_backend(active);
  record_broken_off(active, answer_end::caller_gone);
  counters_["forward_cancelled_total"]++;
  log_.record("request_cancelled", {{"request", active.request->id},
                                    {"backend", active.backend.str()},
                                    {"sends", active.sends},
                                    {"events", active.forwarded_events},
                                    {"begun", active.head_forwarded},
                                    {"took_ms", (environment_.now() - active.started) / 1ms}});
  requests_.erase(entry);
}

void Forwarder::pause(ForwardId id) {
  if (const auto entry = requests_.find(id); entry != requests_.end()) {
    upstream_.pause(entry->second.call);
  }
}

void Forwarder::resume(ForwardId id) {
  if (const auto entry = requests_.find(id); entry != requests_.end()) {
    upstream_.resume(entry->second.call);
  }
}

void Forwarder::release_backend(Active& active) {
  if (active.attempt == 0) {
    return;
  }
  registry_.on_ended(active.backend, active.incarnation);
  Backend* backend = registry_.find(active.backend);
  // A restarted back end has no calls of its previous incarnation.
  if (backend != nullptr && backend->life == active.incarnation && backend->online_in_flight > 0) {
    on_activity_(active.backend, --backend->online_in_flight);
  }
}

}  // namespace madderdeck::forwarding
