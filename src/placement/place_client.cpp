#include "placement/place_client.hpp"

#include <utility>

namespace madderdeck::placement {
namespace {

/// Reply timeout. A round trip within a region takes 1 to 2 ms; rather than wait for longer, a gateway chooses by
/// reports.
constexpr Duration kReplyTimeout = 20ms;
/// A single datagram may get lost; two consecutive requests without a reply count as an unresponsive coordinator.
constexpr unsigned kMaxUnanswered = 2;
/// How long an unresponsive coordinator is avoided; by then, probes have shown whether it has failed.
constexpr Duration kAvoidedTime = 2s;

}  // namespace

place_client::place_client(Environment& environment, Counters& counters, DecisionLog& log, routing::Registry& registry,
                           const duties& node_duties, const wire::MemberT& self, coordinator& own)
    : environment_(environment),
      counters_(counters),
      log_(log),
      registry_(registry),
      duties_(node_duties),
      self_(self),
      own_coordinator_(own),
      next_request_(environment.random()) {
  own.on_own_call_decided = [this](std::uint64_t request, const placement_choice& choice) { take(request, choice); };
}

const wire::MemberT* place_client::coordinator_for(const engine_domain& domain) const {
  const auto ranked = duties_.coordinators_of(domain.key(), domain.zone);
  for (const wire::MemberT* member : ranked) {
    const auto unresponsive = reply_states_.find(PeerAddress(member->peer_address));
    if (unresponsive == reply_states_.end() || environment_.now() >= unresponsive->second.avoided_until) {
      return member;
    }
  }
  return nullptr;
}

/// A call with an engine preferred by affinity uses that engine's domain; other calls use the domain of this node's
/// zone.
engine_domain place_client::domain_for(const forwarding::placement_query& query) const {
  if (query.first) {
    const auto first = registry_.backends().find(*query.first);
    if (first != registry_.backends().end()) {
      return domain_of(registry_, first->second, query.pool);
    }
  }
  return domain_in(registry_, query.pool, self_.zone);
}

void place_client::note_request(bool long_start) {
  constexpr double kSmoothing = 1.0 / 256;
  const bool before = long_prefix_share_ < kMaxLongPrefixShare;
  long_prefix_share_ += ((long_start ? 1.0 : 0.0) - long_prefix_share_) * kSmoothing;
  const bool after = long_prefix_share_ < kMaxLongPrefixShare;
  if (before != after && duties_.divided()) {
    log_.record("engine_choice_changed",
                {{"by", after ? "coordinators" : "affinity and reports"}, {"long_starts", long_prefix_share_}});
  }
}

place_client::ticket place_client::place(const forwarding::placement_query& query, placed done) {
  const ticket request_id = ++next_request_;
  pending call;
  call.query = query;
  call.done = std::move(done);
  call.domain = domain_for(query);
  call.started = environment_.now();
  pending_.emplace(request_id, std::move(call));
  ask(request_id);
  return request_id;
}

void place_client::withdraw(ticket request_id) {
  const auto node = pending_.extract(request_id);
  if (node.empty()) {
    return;
  }
  if (node.mapped().coordinator_address == PeerAddress(self_.peer_address)) {
    own_coordinator_.withdraw({self_.id, request_id, {}});
    return;
  }
  wire::PlaceWithdrawalT message;
  message.request = request_id;
  message.node = self_.id;
  send_message(environment_, node.mapped().coordinator_address, std::move(message));
}

void place_client::return_unused(const BackendId& engine) {
  if (on_unused_assignment) {
    on_unused_assignment(engine);
  }
}

void place_client::ask(ticket request_id) {
  pending& call = pending_.at(request_id);
  ++call.attempt;
  call.asked_at = environment_.now();
  const wire::MemberT* member = coordinator_for(call.domain);
  if (member == nullptr) {
    counters_["placements_without_coordinator_total"]++;
    finish(request_id, std::nullopt);
    return;
  }
  call.waiting = call.waiting && call.coordinator_address == PeerAddress(member->peer_address);
  call.coordinator_address = PeerAddress(member->peer_address);
  // These times are relative to now, so that the time since the call began must be subtracted.
  forwarding::placement_query query = call.query;
  const Duration passed = environment_.now() - call.started;
  query.due -= passed;
  query.patience -= passed;
  if (member->id == self_.id) {
    take(request_id, own_coordinator_.choose({self_.id, request_id, {}}, call.domain, query, call.final));
    return;
  }
  counters_["placements_asked_total"]++;
  environment_.after(kReplyTimeout, lifetime_.guard([this, request_id, attempt = call.attempt] {
    on_reply_timeout(request_id, attempt);
  }));
  pending current = call;
  current.query = std::move(query);
  send_request(request_id, current, *member);
}

void place_client::send_request(ticket request_id, const pending& call, const wire::MemberT& member) {
  wire::PlaceRequestT request;
  request.request = request_id;
  request.node = self_.id;
  request.pool = call.domain.pool;
  request.zone = call.domain.zone;
  request.affinity_key = call.query.affinity_key;
  for (const BackendId& engine : call.query.excluded) {
    request.excluded.push_back(engine.str());
  }
  request.reading_us = static_cast<std::uint32_t>(call.query.reading.count());
  request.final = call.final;
  request.caller_request = call.query.request;
  request.holding_us = static_cast<std::uint32_t>(call.query.holding.count());
  request.due_us = call.query.due.count();
  request.patience_us = call.query.patience.count();
  request.tenant_priority = call.query.rank.tenant;
  request.route_priority = call.query.rank.route;
  request.continues = call.query.software_version.has_value();
  request.software_version = call.query.software_version.value_or("");
  send_message(environment_, PeerAddress(member.peer_address), std::move(request));
}

void place_client::handle(const PeerAddress& sender, const wire::PlaceReplyT& message) {
  const auto call = pending_.find(message.request);
  // A coordinator that was asked earlier may reply after the call was passed on to another one.
  if (call == pending_.end() || call->second.coordinator_address != sender) {
    counters_["placements_answered_late_total"]++;
    if (!message.engine.empty()) {
      return_unused(BackendId(message.engine));
    }
    return;
  }
  reply_states_.erase(sender);
  placement_choice choice;
  choice.zone = message.zone;
  choice.waiting = message.waiting;
  if (message.rejected) {
    choice.retry_after = Duration(message.retry_us);
  } else if (!message.engine.empty()) {
    choice.place = forwarding::engine_assignment{BackendId(message.engine), message.needs_yield, message.keeps_start};
  }
  take(message.request, choice);
}

void place_client::take(ticket request_id, const placement_choice& choice) {
  const auto entry = pending_.find(request_id);
  if (entry == pending_.end()) {
    return;
  }
  pending& call = entry->second;
  if (choice.waiting) {
    call.waiting = true;
    ++call.attempt;
    schedule_repeat(request_id);
  } else if (choice.retry_after) {
    finish(request_id, forwarding::placement_outcome::rejected(*choice.retry_after));
  } else if (choice.place) {
    finish(request_id, choice.place);
  } else if (!choice.zone.empty() && !call.final) {
    call.domain.zone = choice.zone;
    call.final = true;
    call.waiting = false;
    ask(request_id);
  } else {
    finish(request_id, std::nullopt);
  }
}

void place_client::finish(ticket request_id, const forwarding::placement_outcome& outcome) {
  auto node = pending_.extract(request_id);
  node.mapped().done(outcome);
}

void place_client::schedule_repeat(ticket request_id) {
  const std::uint64_t attempt = pending_.at(request_id).attempt;
  environment_.after(waiting_calls::kRepeatInterval, lifetime_.guard([this, request_id, attempt] {
    const auto call = pending_.find(request_id);
    if (call != pending_.end() && call->second.attempt == attempt) {
      ask(request_id);
    }
  }));
}

void place_client::on_reply_timeout(ticket request_id, std::uint64_t attempt) {
  const auto entry = pending_.find(request_id);
  if (entry == pending_.end() || entry->second.attempt != attempt) {
    return;
  }
  pending& call = entry->second;
  counters_["placements_unanswered_total"]++;
  reply_state& state = reply_states_[call.coordinator_address];
  if (++state.unanswered >= kMaxUnanswered) {
    state.unanswered = 0;
    state.avoided_until = environment_.now() + kAvoidedTime;
    log_.record("coordinator_avoided", {{"address", call.coordinator_address.str()},
                                        {"pool", call.query.pool},
                                        {"silent_ms", (environment_.now() - call.asked_at) / 1ms}});
  }
  if (call.waiting) {
    ask(request_id);  // the next coordinator in rank queues the call, whose deadlines count from its start
    return;
  }
  finish(request_id, std::nullopt);
}

}  // namespace madderdeck::placement
