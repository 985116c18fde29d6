#include "placement/call_reporter.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "forwarding/engine_choice.hpp"

namespace madderdeck::placement {
namespace {

constexpr Duration kDelay = 5ms;
/// The start of a call can be reported late: the coordinator counted the call when it assigned the engine, and drops it
/// only after shared_calls::kExpected.
constexpr Duration kStartDelay = 40ms;
constexpr Duration kRefresh = 1s;
constexpr Duration kWatch = 100ms;

}  // namespace

call_reporter::call_reporter(Environment& environment, Counters& counters, routing::Registry& registry,
                             const place_client& places, const duties& who, const wire::MemberT& self, coordinator& own)
    : environment_(environment),
      counters_(counters),
      registry_(registry),
      places_(places),
      duties_(who),
      self_(self),
      own_(own),
      numbers_(environment) {}

void call_reporter::start() {
  environment_.after(kRefresh, lifetime_.guard([this] { tell_all(); }));
  environment_.after(kWatch, lifetime_.guard([this] { watch(); }));
}

void call_reporter::changed(const BackendId& engine) {
  changed_.insert(engine);
  busy_.insert(engine);
  const routing::Backend* backend = registry_.find(engine);
  std::uint32_t& last = last_live_[engine];
  const std::uint32_t live = backend == nullptr ? 0 : backend->online_in_flight;
  const bool only_more = live > last;
  last = live;
  tell_within(only_more ? kStartDelay : kDelay);
}

void call_reporter::tell_within(Duration delay) {
  bool& scheduled = delay > kDelay ? scheduled_ : scheduled_soon_;
  if (scheduled || scheduled_soon_) {
    return;
  }
  scheduled = true;
  environment_.after(delay, lifetime_.guard([this, &scheduled] {
    scheduled = false;
    tell_changes();
  }));
}

void call_reporter::first_token(const BackendId& engine, double milliseconds) {
  first_ms_[engine] = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(milliseconds));
  changed_.insert(engine);
  tell_within(kStartDelay);
}

void call_reporter::failed(const BackendId& engine, call_trouble trouble) {
  const routing::Backend* backend = registry_.find(engine);
  if (backend == nullptr || !places_.active()) {
    return;
  }
  for (const std::string& pool : backend->machine.pools) {
    const wire::MemberT* member = places_.coordinator_for(domain_of(registry_, *backend, pool));
    if (member == nullptr) {
      continue;
    }
    wire::EngineFailureT message;
    message.engine = engine.str();
    message.unreachable = trouble == call_trouble::unreachable;
    if (member->id == self_.id) {
      own_.handle(message);
    } else {
      send_message(environment_, PeerAddress(member->peer_address), std::move(message));
    }
  }
}

void call_reporter::add(messages& to, const BackendId& engine, const routing::Backend* backend, bool complete) {
  const bool open = backend != nullptr && backend->online_in_flight + backend->batch_in_flight > 0;
  std::set<PeerAddress> receivers;
  if (const auto before = told_.find(engine); before != told_.end()) {
    receivers.insert(before->second);
    told_.erase(before);
  }
  if (backend != nullptr) {
    for (const std::string& pool : backend->machine.pools) {
      const wire::MemberT* member = places_.coordinator_for(domain_of(registry_, *backend, pool));
      if (member != nullptr) {
        receivers.insert(PeerAddress(member->peer_address));
        if (open) {
          told_.insert_or_assign(engine, PeerAddress(member->peer_address));
        }
      }
    }
  }
  receivers.erase(PeerAddress(self_.peer_address));
  const auto first = first_ms_.extract(engine);
  for (const PeerAddress& receiver : receivers) {
    wire::EngineActivityT& message = to[receiver];
    message.complete = complete;
    auto entry = std::make_unique<wire::EngineCallsT>();
    entry->engine = engine.str();
    entry->live = backend == nullptr ? 0 : backend->online_in_flight;
    entry->batch = backend == nullptr ? 0 : backend->batch_in_flight;
    entry->silent = backend != nullptr && forwarding::silent(*backend, environment_.now());
    entry->first_ms = first.empty() ? 0 : first.mapped();
    message.engines.push_back(std::move(entry));
  }
}

void call_reporter::send(messages to) {
  for (auto& [receiver, message] : to) {
    message.node = self_.id;
    message.number = numbers_.next();
    message.yield_us = static_cast<std::uint32_t>(time_to_yield_.count());
    send_message(environment_, receiver, std::move(message));
    counters_["calls_reported_total"]++;
  }
}

void call_reporter::tell_changes() {
  std::set<BackendId> told;
  std::swap(told, changed_);
  if (told.empty()) {
    return;
  }
  if (!places_.active()) {
    first_ms_.clear();
    return;
  }
  messages to;
  for (const BackendId& engine : told) {
    add(to, engine, registry_.find(engine), false);
  }
  send(std::move(to));
}

void call_reporter::tell_all() {
  environment_.after(kRefresh, lifetime_.guard([this] { tell_all(); }));
  tell_everything();
}

void call_reporter::tell_everything() {
  if (!places_.active()) {
    return;
  }
  messages to;
  std::set<BackendId> engines = busy_;
  for (const auto& [engine, receiver] : told_) {
    engines.insert(engine);
  }
  for (const BackendId& engine : engines) {
    const routing::Backend* backend = registry_.find(engine);
    const bool open = backend != nullptr && backend->online_in_flight + backend->batch_in_flight > 0;
    if (!open) {
      busy_.erase(engine);
      last_live_.erase(engine);
    }
    add(to, engine, backend, true);
  }
  send(std::move(to));
}

/// @return whether @p engine is now coordinated by another node than @p told, the last receiver of a report about it.
bool call_reporter::changed_hands(const BackendId& engine, const PeerAddress& told) const {
  const routing::Backend* backend = registry_.find(engine);
  if (backend == nullptr) {
    return false;
  }
  const std::vector<std::string>& pools = backend->machine.pools;
  return std::none_of(pools.begin(), pools.end(), [&](const std::string& pool) {
    const wire::MemberT* member = places_.coordinator_for(domain_of(registry_, *backend, pool));
    return member == nullptr || PeerAddress(member->peer_address) == told;
  });
}

void call_reporter::watch() {
  environment_.after(kWatch, lifetime_.guard([this] { watch(); }));
  watch_silences();
  watch_coordinators();
}

void call_reporter::watch_coordinators() {
  const bool changed = std::any_of(told_.begin(), told_.end(),
                                   [this](const auto& told) { return changed_hands(told.first, told.second); });
  if (changed) {
    counters_["coordinator_changes_seen_total"]++;
    tell_everything();
  }
}

/// Reports engines that became unresponsive or responsive since the last check.
void call_reporter::watch_silences() {
  std::set<BackendId> silent;
  for (const BackendId& engine : registry_.called()) {
    if (forwarding::silent(*registry_.find(engine), environment_.now())) {
      silent.insert(engine);
    }
  }
  std::vector<BackendId> others;
  std::set_symmetric_difference(silent.begin(), silent.end(), silent_.begin(), silent_.end(),
                                std::back_inserter(others));
  std::swap(silent, silent_);
  for (const BackendId& engine : others) {
    counters_["engines_fallen_silent_total"] += silent_.contains(engine) ? 1 : 0;
    changed(engine);
  }
}

}  // namespace madderdeck::placement
