#include "routing/live_router.hpp"

namespace madderdeck::routing {
namespace {
constexpr Duration kRetryAfterBusy = 1s;
constexpr Duration kRetryAfterOutage = 2s;
}  // namespace

LiveRouter::LiveRouter(Environment& environment, Counters& counters, Registry& registry, BackendClient& client,
                       OnlineActivityHook on_activity, LiveGuards guards)
    : environment_(environment),
      counters_(counters),
      registry_(registry),
      client_(client),
      on_activity_(std::move(on_activity)),
      guards_(guards),
      picker_(make_picker(policy_.routing)) {}

void LiveRouter::set_policy(const config::FleetPolicy& policy) {
  if (policy.routing != policy_.routing) {
    picker_ = make_picker(policy.routing);
  }
  policy_ = policy;
  budget_.set_percent(policy.retry_percent);
  registry_.set_subset_size(policy.subset_size);
}

LiveId LiveRouter::start(LiveRequest request, LiveEvents events) {
  const LiveId id = ++next_id_;
  Active active;
  active.request = std::move(request);
  active.events = std::move(events);
  active.started = environment_.now();
  const Duration timeout = active.request.timeout;
  requests_.emplace(id, std::move(active));
  counters_["live_requests_total"]++;
  budget_.on_request();
  environment_.after(timeout, lifetime_.guard([this, id] { on_timeout(id); }));
  attempt(id);
  return id;
}

std::vector<Backend*> LiveRouter::choices(const Active& active) {
  std::vector<Backend*> found = registry_.candidates(active.request.model, active.stream_version);
  std::vector<Backend*> untried;
  for (Backend* backend : found) {
    if (!active.tried.contains(backend->machine.id)) {
      untried.push_back(backend);
    }
  }
  // A broken stream may return to an engine that it already tried, but only if there is no untried one.
  return untried.empty() && active.delivered > 0 ? found : untried;
}

EngineCall LiveRouter::engine_call_for(const Active& active) {
  EngineCall call;
  call.attempt = active.attempt;
  call.model = active.request.model;
  call.prompt = active.request.prompt;
  call.max_tokens = active.request.max_tokens;
  call.resume_from = active.delivered;
  return call;
}

bool LiveRouter::refuse_if_quarantined(LiveId id, send_stage stage) {
  if (repeats_ == nullptr || !repeats_->has_records() ||
      !repeats_->is_quarantined(fingerprint_of(engine_call_for(requests_.at(id))), std::to_string(id), stage)) {
    return false;
  }
  counters_["live_refused_quarantined_total"]++;
  refuse(id, ErrorKind::quarantined, "engines terminated each time they ran this request", Duration::zero());
  return true;
}

bool LiveRouter::wait_if_undecided(LiveId id) {
  if (repeats_ == nullptr || !repeats_->has_records()) {
    return false;
  }
  const Duration wait = repeats_->undecided_wait(fingerprint_of(engine_call_for(requests_.at(id))));
  if (wait <= Duration::zero()) {
    return false;
  }
  counters_["live_waited_undecided_total"]++;
  environment_.after(wait, lifetime_.guard([this, id] {
    if (requests_.contains(id)) {
      attempt(id);
    }
  }));
  return true;
}

void LiveRouter::attempt(LiveId id) {
  if (wait_if_undecided(id) || refuse_if_quarantined(id, send_stage::before_choice)) {
    return;
  }
  Active& active = requests_.at(id);
  std::vector<Backend*> open = choices(active);
  if (open.empty() && active.stream_version && !registry_.serves_version(active.request.model, active.stream_version)) {
    counters_["live_refused_version_gone_total"]++;
    refuse(id, ErrorKind::version_gone,
           "no engine has software version '" + *active.stream_version + "', which began the stream", Duration::zero());
    return;
  }
  if (open.empty()) {
    refuse(id, ErrorKind::unavailable, "no engine accepts requests for " + active.request.model, kRetryAfterOutage);
    return;
  }
  const double gateways_per_engine = registry_.gateways_per_engine(active.request.model);
  std::erase_if(open, [this, gateways_per_engine](const Backend* backend) {
    return backend->online_in_flight * gateways_per_engine * 100 >=
           backend->machine.slots * policy_.online_queue_percent;
  });
  if (open.empty()) {
    counters_["live_refused_saturated_total"]++;
    refuse(id, ErrorKind::limit_exceeded, "all engines for " + active.request.model + " are full", kRetryAfterBusy);
    return;
  }
  if (refuse_if_quarantined(id, send_stage::before_send)) {
    return;
  }
  Backend& backend =
      picker_->pick({open, active.request.prompt, environment_.now(), environment_.random(), gateways_per_engine});
  active.engine = backend.machine.id;
  active.software_version = backend.machine.software_version;
  active.tried.insert(active.engine);
  active.attempt = environment_.random();
  active.attempt_started = environment_.now();
  active.first_token_at.reset();
  on_activity_(active.engine, ++backend.online_in_flight);
  const EngineCall call = engine_call_for(active);
  const std::uint64_t attempt = active.attempt;
  EngineEvents events;
  events.token = lifetime_.guard(
      [this, id, attempt](std::uint32_t offset, std::string_view text) { on_token(id, attempt, offset, text); });
  events.finished = lifetime_.guard([this, id, attempt](std::uint32_t total) { on_finished(id, attempt, total); });
  events.failed = lifetime_.guard([this, id, attempt](CallFailure failure) { on_failed(id, attempt, failure); });
  active.call = client_.start(active.engine, call, std::move(events));
}

bool LiveRouter::is_current(LiveId id, std::uint64_t attempt) const {
  const auto entry = requests_.find(id);
  return entry != requests_.end() && entry->second.attempt == attempt;
}

void LiveRouter::on_token(LiveId id, std::uint64_t attempt, std::uint32_t offset, std::string_view text) {
  if (!is_current(id, attempt)) {
    counters_["live_stale_events_total"]++;
    return;
  }
  Active& active = requests_.at(id);
  if (offset < active.delivered && guards_.drop_repeated_tokens) {
    counters_["live_repeated_tokens_total"]++;
    return;
  }
  if (offset > active.delivered && guards_.resume_after_gaps) {
    counters_["live_token_gaps_total"]++;
    client_.cancel(active.call);
    on_failed(id, attempt, CallFailure::broken);
    return;
  }
  active.first_token_at = active.first_token_at.value_or(environment_.now());
  if (active.delivered == 0) {
    const auto elapsed = std::chrono::duration<double, std::milli>(environment_.now() - active.attempt_started);
    registry_.on_first_token(active.engine, elapsed.count());
  }
  if (!active.stream_version) {
    active.stream_version = active.software_version;
  }
  ++active.delivered;
  active.events.token(text);
}

void LiveRouter::on_finished(LiveId id, std::uint64_t attempt, std::uint32_t total) {
  if (!is_current(id, attempt)) {
    counters_["live_stale_events_total"]++;
    return;
  }
  if (requests_.at(id).delivered < total && guards_.resume_after_gaps) {
    counters_["live_token_gaps_total"]++;
    on_failed(id, attempt, CallFailure::broken);
    return;
  }
  auto node = requests_.extract(id);
  release_engine(node.mapped());
  registry_.on_success(node.mapped().engine);
  if (repeats_ != nullptr) {
    repeats_->call_answered(fingerprint_of(engine_call_for(node.mapped())));
  }
  counters_["live_answered_total"]++;
  node.mapped().events.finished(node.mapped().delivered);
}

void LiveRouter::on_failed(LiveId id, std::uint64_t attempt, CallFailure failure) {
  if (!is_current(id, attempt)) {
    counters_["live_stale_events_total"]++;
    return;
  }
  Active& active = requests_.at(id);
  release_engine(active);
  registry_.on_failure(active.engine, failure);
  active.call = 0;
  active.last_failure = failure;
  active.maybe_ran = active.maybe_ran || (guards_.unknown_after_sending && !certainly_not_run(failure));
  if (failure == CallFailure::invalid) {
    refuse(id, ErrorKind::invalid_argument, "the engine rejected the request", Duration::zero());
    return;
  }
  if (repeats_ == nullptr || failure != CallFailure::broken) {
    retry_or_end(id);
    return;
  }
  const Timestamp now = environment_.now();
  const Duration answered_for = now - active.first_token_at.value_or(now);
  const broken_call broken{fingerprint_of(engine_call_for(active)), std::to_string(attempt), active.engine,
                           answered_for};
  active.attempt = 0;
  // The slot is released; a time-out or a cancel before the next attempt must not release it again.
  active.engine = BackendId();
  active.breaks.report(*repeats_, broken, lifetime_.guard([this, id] {
    if (requests_.contains(id)) {
      retry_or_end(id);
    }
  }));
}

void LiveRouter::retry_or_end(LiveId id) {
  Active& active = requests_.at(id);
  if (!active.breaks.may_run_again()) {
    counters_["live_ended_engines_total"]++;
    refuse(id, ErrorKind::upstream_failed, "two engines terminated while they ran the request", Duration::zero());
    return;
  }
  if (!budget_.try_spend()) {
    counters_["live_retries_over_budget_total"]++;
    refuse(id, ErrorKind::unavailable, "the engine failed and the retry budget is exhausted", kRetryAfterBusy);
    return;
  }
  counters_[active.delivered > 0 ? "live_resumed_total" : "live_retried_total"]++;
  attempt(id);
}

void LiveRouter::on_timeout(LiveId id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return;
  }
  Active& active = entry->second;
  client_.cancel(active.call);
  active.maybe_ran = true;
  registry_.on_failure(active.engine, CallFailure::timed_out);
  release_engine(active);
  counters_["live_timeouts_total"]++;
  refuse(id, ErrorKind::unavailable, "no complete answer within the template's timeout", kRetryAfterBusy);
}

void LiveRouter::cancel(LiveId id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return;
  }
  client_.cancel(entry->second.call);
  release_engine(entry->second);
  counters_["live_cancelled_total"]++;
  requests_.erase(entry);
}

void LiveRouter::pause(LiveId id) {
  if (const auto entry = requests_.find(id); entry != requests_.end()) {
    client_.pause(entry->second.call);
  }
}

void LiveRouter::resume(LiveId id) {
  if (const auto entry = requests_.find(id); entry != requests_.end()) {
    client_.resume(entry->second.call);
  }
}

void LiveRouter::release_engine(Active& active) {
  Backend* backend = registry_.find(active.engine);
  if (backend != nullptr && backend->online_in_flight > 0) {
    on_activity_(active.engine, --backend->online_in_flight);
  }
}

void LiveRouter::refuse(LiveId id, ErrorKind kind, const std::string& detail, Duration retry_after) {
  auto node = requests_.extract(id);
  counters_["live_refused_total"]++;
  const Ran ran = node.mapped().maybe_ran ? Ran::unknown : Ran::no;
  node.mapped().events.refused(Refusal{Error{kind, detail}, ran, retry_after});
}

}  // namespace madderdeck::routing
