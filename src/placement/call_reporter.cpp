#include "placement/call_reporter.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "forwarding/engine_choice.hpp"

namespace madderdeck::placement {
namespace {

constexpr Duration kReportDelay = 5ms;
/// The start of a call can be reported late: the coordinator counted the call when it assigned the engine, and drops it
/// only after shared_calls::kExpectedCallTimeout.
constexpr Duration kStartReportDelay = 40ms;
constexpr Duration kFullReportInterval = 1s;
constexpr Duration kCheckInterval = 100ms;

}  // namespace

call_reporter::call_reporter(Environment& environment, Counters& counters, routing::Registry& registry,
                             const place_client& places, const duties& node_duties, const wire::MemberT& self,
                             coordinator& own)
    : environment_(environment),
      counters_(counters),
      registry_(registry),
      places_(places),
      duties_(node_duties),
      self_(self),
      own_coordinator_(own),
      message_numbers_(environment) {}

void call_reporter::start() {
  environment_.after(kFullReportInterval, lifetime_.guard([this] { report_periodically(); }));
  environment_.after(kCheckInterval, lifetime_.guard([this] { check_periodically(); }));
}

void call_reporter::changed(const BackendId& engine) {
  changed_engines_.insert(engine);
  busy_engines_.insert(engine);
  const routing::Backend* backend = registry_.find(engine);
  std::uint32_t& last = last_live_calls_[engine];
  const std::uint32_t live = backend == nullptr ? 0 : backend->online_in_flight;
  const bool only_more = live > last;
  last = live;
  schedule_report(only_more ? kStartReportDelay : kReportDelay);
}

void call_reporter::schedule_report(Duration delay) {
  bool& scheduled = delay > kReportDelay ? report_scheduled_ : report_scheduled_soon_;
  if (scheduled || report_scheduled_soon_) {
    return;
  }
  scheduled = true;
  environment_.after(delay, lifetime_.guard([this, &scheduled] {
    scheduled = false;
    report_changes();
  }));
}

void call_reporter::first_token(const BackendId& engine, double milliseconds) {
  first_token_ms_[engine] = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(milliseconds));
  changed_engines_.insert(engine);
  schedule_report(kStartReportDelay);
}

void call_reporter::failed(const BackendId& engine, call_failure_kind trouble) {
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
    message.unreachable = trouble == call_failure_kind::unreachable;
    if (member->id == self_.id) {
      own_coordinator_.handle(message);
    } else {
      send_message(environment_, PeerAddress(member->peer_address), std::move(message));
    }
  }
}

void call_reporter::add_entry(messages& to, const BackendId& engine, const routing::Backend* backend, bool complete) {
  const bool open = backend != nullptr && backend->online_in_flight + backend->batch_in_flight > 0;
  std::set<PeerAddress> receivers;
  if (const auto before = last_receiver_.find(engine); before != last_receiver_.end()) {
    receivers.insert(before->second);
    last_receiver_.erase(before);
  }
  if (backend != nullptr) {
    for (const std::string& pool : backend->machine.pools) {
      const wire::MemberT* member = places_.coordinator_for(domain_of(registry_, *backend, pool));
      if (member != nullptr) {
        receivers.insert(PeerAddress(member->peer_address));
        if (open) {
          last_receiver_.insert_or_assign(engine, PeerAddress(member->peer_address));
        }
      }
    }
  }
  receivers.erase(PeerAddress(self_.peer_address));
  const auto first = first_token_ms_.extract(engine);
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
    message.number = message_numbers_.next();
    message.yield_us = static_cast<std::uint32_t>(time_to_yield_.count());
    send_message(environment_, receiver, std::move(message));
    counters_["calls_reported_total"]++;
  }
}

void call_reporter::report_changes() {
  std::set<BackendId> engines;
  std::swap(engines, changed_engines_);
  if (engines.empty()) {
    return;
  }
  if (!places_.active()) {
    first_token_ms_.clear();
    return;
  }
  messages to;
  for (const BackendId& engine : engines) {
    add_entry(to, engine, registry_.find(engine), false);
  }
  send(std::move(to));
}

void call_reporter::report_periodically() {
  environment_.after(kFullReportInterval, lifetime_.guard([this] { report_periodically(); }));
  report_all();
}

void call_reporter::report_all() {
  if (!places_.active()) {
    return;
  }
  messages to;
  std::set<BackendId> engines = busy_engines_;
  for (const auto& [engine, receiver] : last_receiver_) {
    engines.insert(engine);
  }
  for (const BackendId& engine : engines) {
    const routing::Backend* backend = registry_.find(engine);
    const bool open = backend != nullptr && backend->online_in_flight + backend->batch_in_flight > 0;
    if (!open) {
      busy_engines_.erase(engine);
      last_live_calls_.erase(engine);
    }
    add_entry(to, engine, backend, true);
  }
  send(std::move(to));
}

/// @return whether @p engine is now coordinated by another node than @p receiver, the last receiver of a report about
/// it.
bool call_reporter::coordinator_changed(const BackendId& engine, const PeerAddress& receiver) const {
  const routing::Backend* backend = registry_.find(engine);
  if (backend == nullptr) {
    return false;
  }
  const std::vector<std::string>& pools = backend->machine.pools;
  return std::none_of(pools.begin(), pools.end(), [&](const std::string& pool) {
    const wire::MemberT* member = places_.coordinator_for(domain_of(registry_, *backend, pool));
    return member == nullptr || PeerAddress(member->peer_address) == receiver;
  });
}

void call_reporter::check_periodically() {
  environment_.after(kCheckInterval, lifetime_.guard([this] { check_periodically(); }));
  check_unresponsive_engines();
  check_coordinators();
}

void call_reporter::check_coordinators() {
  const bool changed = std::any_of(last_receiver_.begin(), last_receiver_.end(), [this](const auto& entry) {
    return coordinator_changed(entry.first, entry.second);
  });
  if (changed) {
    counters_["coordinator_changes_seen_total"]++;
    report_all();
  }
}

/// Reports engines that became unresponsive or responsive since the last check.
void call_reporter::check_unresponsive_engines() {
  std::set<BackendId> unresponsive;
  for (const BackendId& engine : registry_.called()) {
    if (forwarding::silent(*registry_.find(engine), environment_.now())) {
      unresponsive.insert(engine);
    }
  }
  std::vector<BackendId> changed_state;
  std::set_symmetric_difference(unresponsive.begin(), unresponsive.end(), unresponsive_.begin(), unresponsive_.end(),
                                std::back_inserter(changed_state));
  std::swap(unresponsive, unresponsive_);
  for (const BackendId& engine : changed_state) {
    counters_["engines_fallen_silent_total"] += unresponsive_.contains(engine) ? 1 : 0;
    changed(engine);
  }
}

}  // namespace madderdeck::placement
