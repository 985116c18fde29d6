#include "placement/place_client.hpp"

#include <utility>

namespace madderdeck::placement {
namespace {

/// A round trip within a region takes 1 to 2 ms; beyond this a gateway does better to choose by reports.
constexpr Duration kPatience = 20ms;
/// One datagram may get lost; two in a row say that nobody is there.
constexpr unsigned kMostUnanswered = 2;
/// By then probes have shown whether the coordinator is gone.
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
      next_request_(environment.random()) {}

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

/// Affinity names an engine and so a zone; other calls stay in their own zone, if it has engines of the pool.
engine_domain place_client::domain_for(const forwarding::place_query& query) const {
  if (query.first) {
    const auto first = registry_.backends().find(*query.first);
    if (first != registry_.backends().end()) {
      return domain_of(registry_, first->second, query.pool);
    }
  }
  return domain_in(registry_, query.pool, self_.zone);
}

void place_client::place(const forwarding::place_query& query, placed done) {
  ask(domain_for(query), query, false, std::move(done));
}

void place_client::ask(const engine_domain& domain, const forwarding::place_query& query, bool final, placed done) {
  const wire::MemberT* member = coordinator_for(domain);
  if (member == nullptr) {
    counters_["placements_without_coordinator_total"]++;
    done(std::nullopt);
    return;
  }
  if (member->id == self_.id) {
    const placement_choice choice = own_.choose(self_.id, domain, query, final);
    if (!choice.place && !choice.zone.empty()) {
      ask({domain.pool, choice.zone}, query, true, std::move(done));
    } else {
      done(choice.place);
    }
    return;
  }
  wire::PlaceRequestT request;
  request.request = ++next_request_;
  request.node = self_.id;
  request.pool = domain.pool;
  request.zone = domain.zone;
  request.affinity_key = query.affinity_key;
  for (const BackendId& engine : query.excluded) {
    request.excluded.push_back(engine.str());
  }
  request.reading_us = static_cast<std::uint32_t>(query.reading.count());
  request.final = final;
  const PeerAddress address(member->peer_address);
  pending_.emplace(request.request, pending{query, std::move(done), address, environment_.now()});
  counters_["placements_asked_total"]++;
  environment_.after(kPatience, lifetime_.guard([this, number = request.request] { on_silence(number); }));
  send_message(environment_, address, std::move(request));
}

void place_client::handle(const wire::PlaceReplyT& message) {
  auto node = pending_.extract(message.request);
  if (node.empty()) {
    counters_["placements_answered_late_total"]++;
    return;
  }
  pending& asked = node.mapped();
  silences_.erase(asked.asked);
  if (message.engine.empty() && !message.zone.empty()) {
    ask({asked.query.pool, message.zone}, asked.query, true, std::move(asked.done));
  } else if (message.engine.empty()) {
    asked.done(std::nullopt);
  } else {
    asked.done(forwarding::place_answer{BackendId(message.engine), message.needs_yield});
  }
}

void place_client::on_silence(std::uint64_t request) {
  auto node = pending_.extract(request);
  if (node.empty()) {
    return;
  }
  counters_["placements_unanswered_total"]++;
  silence& state = silences_[node.mapped().asked];
  if (++state.unanswered >= kMostUnanswered) {
    state.unanswered = 0;
    state.avoided_until = environment_.now() + kAvoided;
    log_.record("coordinator_avoided", {{"address", node.mapped().asked.str()},
                                        {"pool", node.mapped().query.pool},
                                        {"silent_ms", (environment_.now() - node.mapped().asked_at) / 1ms}});
  }
  node.mapped().done(std::nullopt);
}

}  // namespace madderdeck::placement
