#include "placement/place_client.hpp"

#include <utility>

namespace madderdeck::placement {
namespace {

/// Reply timeout. A round trip within a region takes 1 to 2 ms; rather than wait for longer, a gateway chooses by
/// reports.
constexpr Duration kPatience = 20ms;
/// A single datagram may get lost; two consecutive requests without a reply count as an unresponsive coordinator.
constexpr unsigned kMostUnanswered = 2;
/// How long an unresponsive coordinator is avoided; by then, probes have shown whether it has failed.
constexpr Duration kAvoided = 2s;

}  // namespace

place_client::place_client(Environment& environment, Counters& counters, DecisionLog& log, routing::Registry& registry,
                           const duties& who, const wire::MemberT& self, coordinator& own)
    : environment_(environment),
      counters_(counters),
      log_(log),
      registry_(registry),
      duties_(who),
      self_(self),
      own_(own),
      next_request_(environment.random()) {
  own.on_own_call = [this](std::uint64_t request, const placement_choice& choice) { take(request, choice); };
}

const wire::MemberT* place_client::coordinator_for(const engine_domain& domain) const {
  const auto ranked = duties_.coordinators_of(domain.key(), domain.zone);
  for (const wire::MemberT* member : ranked) {
    const auto silent = silences_.find(PeerAddress(member->peer_address));
    if (silent == silences_.end() || environment_.now() >= silent->second.avoided_until) {
      return member;
    }
  }
  return nullptr;
}

/// A call with an engine preferred by affinity uses that engine's domain; other calls use the domain of this node's
/// zone.
engine_domain place_client::domain_for(const forwarding::place_query& query) const {
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
  const bool before = long_starts_ < kMostLongStarts;
  long_starts_ += ((long_start ? 1.0 : 0.0) - long_starts_) * kSmoothing;
  const bool after = long_starts_ < kMostLongStarts;
  if (before != after && duties_.divided()) {
    log_.record("engine_choice_changed",
                {{"by", after ? "coordinators" : "affinity and reports"}, {"long_starts", long_starts_}});
  }
}

place_client::ticket place_client::place(const forwarding::place_query& query, placed done) {
  const ticket question = ++next_request_;
  pending asked;
  asked.query = query;
  asked.done = std::move(done);
  asked.domain = domain_for(query);
  asked.started = environment_.now();
  pending_.emplace(question, std::move(asked));
  ask(question);
  return question;
}

void place_client::withdraw(ticket question) {
  const auto node = pending_.extract(question);
  if (node.empty()) {
    return;
  }
  if (node.mapped().asked == PeerAddress(self_.peer_address)) {
    own_.withdraw({self_.id, question, {}});
    return;
  }
  wire::PlaceWithdrawalT message;
  message.request = question;
  message.node = self_.id;
  send_message(environment_, node.mapped().asked, std::move(message));
}

void place_client::ask(ticket question) {
  pending& asked = pending_.at(question);
  ++asked.round;
  asked.asked_at = environment_.now();
  const wire::MemberT* member = coordinator_for(asked.domain);
  if (member == nullptr) {
    counters_["placements_without_coordinator_total"]++;
    finish(question, std::nullopt);
    return;
  }
  asked.waiting = asked.waiting && asked.asked == PeerAddress(member->peer_address);
  asked.asked = PeerAddress(member->peer_address);
  // These times are relative to now, so that the time since the call began must be subtracted.
  forwarding::place_query query = asked.query;
  const Duration passed = environment_.now() - asked.started;
  query.due -= passed;
  query.patience -= passed;
  if (member->id == self_.id) {
    take(question, own_.choose({self_.id, question, {}}, asked.domain, query, asked.final));
    return;
  }
  counters_["placements_asked_total"]++;
  environment_.after(kPatience,
                     lifetime_.guard([this, question, round = asked.round] { on_silence(question, round); }));
  pending current = asked;
  current.query = std::move(query);
  send_question(question, current, *member);
}

void place_client::send_question(ticket question, const pending& asked, const wire::MemberT& member) {
  wire::PlaceRequestT request;
  request.request = question;
  request.node = self_.id;
  request.pool = asked.domain.pool;
  request.zone = asked.domain.zone;
  request.affinity_key = asked.query.affinity_key;
  for (const BackendId& engine : asked.query.excluded) {
    request.excluded.push_back(engine.str());
  }
  request.reading_us = static_cast<std::uint32_t>(asked.query.reading.count());
  request.final = asked.final;
  request.caller_request = asked.query.request;
  request.holding_us = static_cast<std::uint32_t>(asked.query.holding.count());
  request.due_us = asked.query.due.count();
  request.patience_us = asked.query.patience.count();
  request.tenant_priority = asked.query.rank.tenant;
  request.route_priority = asked.query.rank.route;
  send_message(environment_, PeerAddress(member.peer_address), std::move(request));
}

void place_client::handle(const PeerAddress& sender, const wire::PlaceReplyT& message) {
  const auto asked = pending_.find(message.request);
  // A coordinator that was asked earlier may reply after the call was passed on to another one.
  if (asked == pending_.end() || asked->second.asked != sender) {
    counters_["placements_answered_late_total"]++;
    if (!message.engine.empty() && on_unused) {
      on_unused(BackendId(message.engine));
    }
    return;
  }
  silences_.erase(sender);
  placement_choice choice;
  choice.zone = message.zone;
  choice.waiting = message.waiting;
  if (message.rejected) {
    choice.retry_after = Duration(message.retry_us);
  } else if (!message.engine.empty()) {
    choice.place = forwarding::place_answer{BackendId(message.engine), message.needs_yield, message.keeps_start};
  }
  take(message.request, choice);
}

void place_client::take(ticket question, const placement_choice& choice) {
  const auto entry = pending_.find(question);
  if (entry == pending_.end()) {
    return;
  }
  pending& asked = entry->second;
  if (choice.waiting) {
    asked.waiting = true;
    ++asked.round;
    ask_again_later(question);
  } else if (choice.retry_after) {
    finish(question, forwarding::place_outcome::rejected(*choice.retry_after));
  } else if (choice.place) {
    finish(question, choice.place);
  } else if (!choice.zone.empty() && !asked.final) {
    asked.domain.zone = choice.zone;
    asked.final = true;
    asked.waiting = false;
    ask(question);
  } else {
    finish(question, std::nullopt);
  }
}

void place_client::finish(ticket question, const forwarding::place_outcome& outcome) {
  auto node = pending_.extract(question);
  node.mapped().done(outcome);
}

void place_client::ask_again_later(ticket question) {
  const std::uint64_t round = pending_.at(question).round;
  environment_.after(waiting_calls::kRefresh, lifetime_.guard([this, question, round] {
    const auto asked = pending_.find(question);
    if (asked != pending_.end() && asked->second.round == round) {
      ask(question);
    }
  }));
}

void place_client::on_silence(ticket question, std::uint64_t round) {
  const auto entry = pending_.find(question);
  if (entry == pending_.end() || entry->second.round != round) {
    return;
  }
  pending& asked = entry->second;
  counters_["placements_unanswered_total"]++;
  silence& state = silences_[asked.asked];
  if (++state.unanswered >= kMostUnanswered) {
    state.unanswered = 0;
    state.avoided_until = environment_.now() + kAvoided;
    log_.record("coordinator_avoided", {{"address", asked.asked.str()},
                                        {"pool", asked.query.pool},
                                        {"silent_ms", (environment_.now() - asked.asked_at) / 1ms}});
  }
  if (asked.waiting) {
    ask(question);  // the next coordinator in rank queues the call, whose deadlines count from its start
    return;
  }
  finish(question, std::nullopt);
}

}  // namespace madderdeck::placement
