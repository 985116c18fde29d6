#include "routing/service_router.hpp"

#include "common/hash.hpp"
#include "routing/picker.hpp"

namespace madderdeck::routing {
namespace {
constexpr Duration kRetryAfter = 1s;
constexpr Duration kClaimPoll = 50ms;
/// How long after its time-out a call's late answer is still recorded.
constexpr Duration kLateAnswerWindow = 60s;
}  // namespace

ServiceRouter::ServiceRouter(Environment& environment, Counters& counters, Registry& registry, BackendClient& client,
                             ClaimStore& claims, ServiceGuards guards)
    : environment_(environment),
      counters_(counters),
      registry_(registry),
      client_(client),
      claims_(claims),
      guards_(guards) {}

void ServiceRouter::call(ServiceRequest request, ServiceDone done) {
  const RequestId id = ++next_id_;
  Active active;
  active.request = std::move(request);
  active.done = std::move(done);
  active.attempt = environment_.random();
  active.deadline = environment_.now() + active.request.timeout;
  const bool needs_claim = !active.request.repeatable && guards_.claim_before_sending;
  const Duration timeout = active.request.timeout;
  requests_.emplace(id, std::move(active));
  counters_["service_requests_total"]++;
  budget_.on_request();
  environment_.after(timeout, lifetime_.guard([this, id] { on_deadline(id); }));
  if (needs_claim) {
    claim(id);
  } else {
    send(id);
  }
}

void ServiceRouter::claim(RequestId id) {
  const Active& active = requests_.at(id);
  const std::uint64_t fingerprint = stable_hash(active.request.service + "\n" + active.request.body);
  claims_.claim(active.request.key, active.attempt, fingerprint,
                lifetime_.guard([this, id](Result<ClaimResult> result) { on_claim(id, std::move(result)); }));
}

void ServiceRouter::on_claim(RequestId id, Result<ClaimResult> result) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return;
  }
  Active& active = entry->second;
  if (!succeeded(result)) {
    counters_["claims_failed_total"]++;
    // Nothing was sent and nothing will be. A claim that may still take effect must be released.
    if (error_of(result).kind == ErrorKind::ambiguous) {
      claims_.release(active.request.key, active.attempt, [](bool) {});
    }
    refuse(id, ErrorKind::unavailable, "no durable claim could be stored", Ran::no, kRetryAfter);
    forget(id);
    return;
  }
  if (!value_of(result).won) {
    on_existing_claim(id, value_of(result).record);
    return;
  }
  active.claimed = true;
  if (!active.done) {
    // The caller was told "not run" while the claim was being stored, so the request must not be sent.
    claims_.release(active.request.key, active.attempt, [](bool) {});
    forget(id);
    return;
  }
  send(id);
}

void ServiceRouter::on_existing_claim(RequestId id, const wire::ClaimRecordT& record) {
  Active& active = requests_.at(id);
  counters_["claims_found_total"]++;
  const std::uint64_t fingerprint = stable_hash(active.request.service + "\n" + active.request.body);
  if (record.fingerprint != fingerprint) {
    refuse(id, ErrorKind::conflict, "the Idempotency-Key was used for another request", Ran::no, Duration::zero());
    forget(id);
    return;
  }
  if (record.state == wire::ClaimState::Done) {
    counters_["claims_replayed_total"]++;
    answer_caller(id, ServiceAnswer{record.http_status, record.body});
    forget(id);
    return;
  }
  if (record.state == wire::ClaimState::Released) {
    claim(id);
    return;
  }
  active.maybe_ran = true;
  environment_.after(kClaimPoll, lifetime_.guard([this, id] { poll_claim(id); }));
}

void ServiceRouter::poll_claim(RequestId id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end() || !entry->second.done) {
    forget(id);
    return;
  }
  claims_.look_up(entry->second.request.key, lifetime_.guard([this, id](Result<ClaimResult> result) {
    const auto waiting = requests_.find(id);
    if (waiting == requests_.end() || !waiting->second.done) {
      forget(id);
      return;
    }
    if (succeeded(result)) {
      on_existing_claim(id, value_of(result).record);
      return;
    }
    environment_.after(kClaimPoll, lifetime_.guard([this, id] { poll_claim(id); }));
  }));
}

request_fingerprint ServiceRouter::fingerprint_of(const ServiceRequest& request) {
  return routing::fingerprint_of({request.key.tenant, "call", request.service, request.body});
}

bool ServiceRouter::wait_if_undecided(RequestId id) {
  if (repeats_ == nullptr || !repeats_->has_records()) {
    return false;
  }
  const Duration wait = repeats_->undecided_wait(fingerprint_of(requests_.at(id).request));
  if (wait <= Duration::zero()) {
    return false;
  }
  counters_["service_waited_undecided_total"]++;
  environment_.after(wait, lifetime_.guard([this, id] {
    const auto entry = requests_.find(id);
    if (entry == requests_.end()) {
      return;
    }
    const Active& active = entry->second;
    if (active.done) {
      send(id);
      return;
    }
    if (active.claimed && !active.maybe_ran) {
      claims_.release(active.request.key, active.attempt, [](bool) {});  // the caller was told "not run"
    }
    forget(id);
  }));
  return true;
}

bool ServiceRouter::refuse_if_quarantined(RequestId id, send_stage stage) {
  const Active& active = requests_.at(id);
  if (repeats_ == nullptr || !repeats_->has_records() ||
      !repeats_->is_quarantined(fingerprint_of(active.request), std::to_string(active.attempt), stage)) {
    return false;
  }
  counters_["service_refused_quarantined_total"]++;
  end_without_answer(id, ErrorKind::quarantined, "back ends terminated each time they ran this request");
  return true;
}

void ServiceRouter::send(RequestId id) {
  if (wait_if_undecided(id) || refuse_if_quarantined(id, send_stage::before_choice)) {
    return;
  }
  Active& active = requests_.at(id);
  std::vector<Backend*> open = registry_.candidates(active.request.service);
  std::erase_if(open, [&](const Backend* backend) { return active.tried.contains(backend->machine.id); });
  if (open.empty()) {
    end_without_answer(id, ErrorKind::unavailable, "no back end accepts calls for " + active.request.service);
    return;
  }
  if (refuse_if_quarantined(id, send_stage::before_send)) {
    return;
  }
  Backend* chosen = open.front();
  for (Backend* candidate : open) {
    if (load_of(*candidate, environment_.now(), 1) < load_of(*chosen, environment_.now(), 1)) {
      chosen = candidate;
    }
  }
  active.backend = chosen->machine.id;
  active.tried.insert(active.backend);
  ++chosen->online_in_flight;
  ServiceCall call;
  call.attempt = active.attempt;
  call.service = active.request.service;
  call.idempotency_key = active.request.key.idempotency_key;
  call.body = active.request.body;
  call.timeout_ms = static_cast<std::uint32_t>((active.request.timeout + kLateAnswerWindow) / 1ms);
  ServiceEvents events;
  events.answered = lifetime_.guard([this, id](const ServiceAnswer& answer) { on_answer(id, answer); });
  events.failed = lifetime_.guard([this, id](CallFailure failure) { on_failure(id, failure); });
  client_.start(active.backend, call, std::move(events));
}

void ServiceRouter::release_backend(Active& active) {
  Backend* backend = registry_.find(active.backend);
  if (backend != nullptr && backend->online_in_flight > 0) {
    --backend->online_in_flight;
  }
}

void ServiceRouter::on_answer(RequestId id, const ServiceAnswer& answer) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return;
  }
  Active& active = entry->second;
  release_backend(active);
  registry_.on_success(active.backend);
  counters_["service_answered_total"]++;
  if (repeats_ != nullptr) {
    repeats_->call_answered(fingerprint_of(active.request));
  }
  if (!active.claimed) {
    answer_caller(id, answer);
    forget(id);
    return;
  }
  claims_.record_answer(active.request.key, active.attempt, answer.http_status, answer.body,
                        lifetime_.guard([this, id, answer](bool stored) {
                          counters_[stored ? "claims_recorded_total" : "claims_not_recorded_total"]++;
                          if (requests_.contains(id)) {
                            answer_caller(id, answer);
                            forget(id);
                          }
                        }));
}

void ServiceRouter::on_failure(RequestId id, CallFailure failure) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return;
  }
  Active& active = entry->second;
  release_backend(active);
  registry_.on_failure(active.backend, failure);
  const bool not_run = certainly_not_run(failure);
  active.maybe_ran = active.maybe_ran || (!not_run && guards_.unknown_after_sending);
  if (!active.done) {
    forget(id);  // the caller already has its outcome
    return;
  }
  if (failure == CallFailure::invalid) {
    end_without_answer(id, ErrorKind::invalid_argument, "the back end rejected the call");
    return;
  }
  if (repeats_ == nullptr || failure != CallFailure::broken) {
    resend_or_end(id, failure);
    return;
  }
  const broken_call broken{fingerprint_of(active.request), std::to_string(active.attempt), active.backend};
  active.breaks.report(*repeats_, broken, lifetime_.guard([this, id, failure] {
    const auto waiting = requests_.find(id);
    if (waiting == requests_.end()) {
      return;
    }
    if (waiting->second.done) {
      resend_or_end(id, failure);
    } else {
      forget(id);  // the request has timed out meanwhile
    }
  }));
}

void ServiceRouter::resend_or_end(RequestId id, CallFailure failure) {
  const Active& active = requests_.at(id);
  const bool not_run = certainly_not_run(failure);
  const bool harmless = active.request.repeatable && active.breaks.may_run_again();
  const bool may_resend = not_run || harmless || !guards_.never_resend_after_break;
  if (may_resend && budget_.try_spend()) {
    counters_["service_retried_total"]++;
    send(id);
    return;
  }
  end_without_answer(id, ErrorKind::unavailable,
                     not_run ? "the back end did not accept the call" : "the connection broke after the call was sent");
}

void ServiceRouter::end_without_answer(RequestId id, ErrorKind kind, const std::string& detail) {
  Active& active = requests_.at(id);
  const Ran ran = active.maybe_ran ? Ran::unknown : Ran::no;
  const Duration retry_after = kind == ErrorKind::quarantined ? Duration::zero() : kRetryAfter;
  if (ran == Ran::no && active.claimed) {
    // Released before the caller is told "not run", so that its next try finds no claim.
    claims_.release(active.request.key, active.attempt, lifetime_.guard([this, id, kind, detail, retry_after](bool) {
      if (requests_.contains(id)) {
        refuse(id, kind, detail, Ran::no, retry_after);
        forget(id);
      }
    }));
    return;
  }
  refuse(id, kind, detail, ran, retry_after);
  forget(id);
}

void ServiceRouter::on_deadline(RequestId id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end() || !entry->second.done) {
    return;
  }
  Active& active = entry->second;
  counters_["service_timeouts_total"]++;
  const bool sent = !active.backend.empty();
  active.maybe_ran = active.maybe_ran || sent;
  const bool maybe_ran = active.maybe_ran && guards_.unknown_after_sending;
  refuse(id, ErrorKind::unavailable, "no answer before the deadline", maybe_ran ? Ran::unknown : Ran::no, kRetryAfter);
  // The call continues in the background: a late answer is recorded for a repeated request of the caller.
}

void ServiceRouter::refuse(RequestId id, ErrorKind kind, const std::string& detail, Ran ran, Duration retry_after) {
  counters_[ran == Ran::no ? "service_not_run_total" : "service_unknown_total"]++;
  answer_caller(id, Refusal{Error{kind, detail}, ran, retry_after});
}

void ServiceRouter::answer_caller(RequestId id, ServiceOutcome outcome) {
  ServiceDone done;
  std::swap(done, requests_.at(id).done);
  if (done) {
    done(std::move(outcome));
  }
}

void ServiceRouter::forget(RequestId id) { requests_.erase(id); }

}  // namespace madderdeck::routing
