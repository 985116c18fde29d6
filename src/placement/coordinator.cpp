#include "placement/coordinator.hpp"

#include <algorithm>

#include "common/hash.hpp"
#include "common/histogram.hpp"
#include "forwarding/engine_choice.hpp"

namespace madderdeck::placement {
namespace {

constexpr Duration kMaintenanceInterval = 1s;
constexpr Duration kFreeSlotReportInterval = 100ms;
/// Older reports of another zone's free slots are ignored.
constexpr Duration kFreeSlotReportLifetime = 500ms;
/// Free slots that another zone must have: its own callers may take some before a referred call gets there.
constexpr std::uint32_t kMinFreeSlotsElsewhere = 4;
/// Unresponsive and ejected engines are left out only while at least one engine in this many is healthy.
constexpr std::size_t kHealthyEnginesDivisor = 3;
constexpr double kMicrosecondsPerMillisecond = 1'000;
/// Not 0 before any time to the first token was observed, so that the crowding term spreads calls.
constexpr Duration kMinFirstTokenTime = 1ms;
constexpr Duration kMinTimeToYield = 10ms;  ///< Covers messages and an engine step before any was observed.
/// A retry after less than this would most likely be rejected again; the round trip alone takes some milliseconds.
constexpr Duration kMinRetryAfter = 100ms;
/// Reports of freed slots within this time share one pass over the waiting calls. It is about a hundredth of the time
/// for which a call holds a slot.
constexpr Duration kServeDelay = 2ms;
/// Interval between passes without reports: counts also fall when entries expire.
constexpr Duration kServeInterval = 10ms;
/// Waiting calls tried in one pass. A call cannot use a free slot of an engine that it has tried before, so that the
/// calls behind it must be tried, too.
constexpr std::size_t kMaxCallsTried = 8;
const policy::arrival_call_order kNoOrder;  ///< Placeholder for a coordinator that queues no calls.
/// Several times the interval between two calls at an engine. An engine that was slow and got no calls since is tried
/// again after this time.
constexpr Duration kLatencyLifetime = 3s;
/// A domain that no caller has asked for within this time has moved to another coordinator.
constexpr Duration kDomainLifetime = 3s;

}  // namespace

coordinator::coordinator(Environment& environment, Counters& counters, DecisionLog& log, routing::Registry& registry,
                         const duties& node_duties, const wire::MemberT& self,
                         std::shared_ptr<const policy::call_order> order)
    : environment_(environment),
      counters_(counters),
      log_(log),
      registry_(registry),
      duties_(node_duties),
      self_(self),
      order_(std::move(order)),
      waiting_(order_ == nullptr ? kNoOrder : *order_) {}

void coordinator::start() {
  environment_.after(kMaintenanceInterval, lifetime_.guard([this] { maintain(); }));
}

void coordinator::maintain() {
  environment_.after(kMaintenanceInterval, lifetime_.guard([this] { maintain(); }));
  calls_.forget_unresponsive_nodes(environment_.now());
  failing_engines_.remove_expired(environment_.now());
  cached_prefixes_.remove_expired(environment_.now());
  warm_up_pace_.forget_old(environment_.now());
  registry_.forget_latencies(kLatencyLifetime);
}

std::vector<routing::Backend*> coordinator::candidates(const engine_domain& domain,
                                                       const forwarding::placement_query& query) {
  std::vector<routing::Backend*> found;
  for (routing::Backend* backend : registry_.candidates(domain.pool, query.software_version)) {
    if (domain.contains(*backend) && !query.excluded.contains(backend->machine.id)) {
      found.push_back(backend);
    }
  }
  const std::vector<routing::Backend*> warming = warming_candidates(domain, query);
  found.insert(found.end(), warming.begin(), warming.end());
  std::vector<routing::Backend*> healthy;
  for (routing::Backend* backend : found) {
    if (!is_unhealthy(backend->machine.id)) {
      healthy.push_back(backend);
    } else if (calls_.at(backend->machine.id).silent()) {
      registry_.note_possible_restart(backend->machine.id);
    }
  }
  // If most engines seem to fail, the cause is likely elsewhere, and the few healthy ones could not carry the load.
  return kHealthyEnginesDivisor * healthy.size() < found.size() ? found : healthy;
}

std::vector<routing::Backend*> coordinator::warming_candidates(const engine_domain& domain,
                                                               const forwarding::placement_query& query) {
  std::vector<routing::Backend*> found;
  for (routing::Backend* backend : registry_.warming(domain.pool)) {
    const BackendId& id = backend->machine.id;
    const std::optional<double> limit = registry_.warm_up_limit(*backend);
    const bool usable = !query.excluded.contains(id) && registry_.may_run_at(*backend, query.software_version);
    if (domain.contains(*backend) && usable && limit && warm_up_pace_.allows(id, *limit, environment_.now())) {
      found.push_back(backend);
    }
  }
  return found;
}

double coordinator::warm_up_rate(const engine_domain& domain, const forwarding::placement_query& query) {
  double per_second = 0;
  for (const routing::Backend* backend : registry_.warming(domain.pool)) {
    const bool usable = domain.contains(*backend) && registry_.may_run_at(*backend, query.software_version);
    per_second += usable ? registry_.warm_up_limit(*backend).value_or(0) : 0;
  }
  return per_second;
}

bool coordinator::is_unhealthy(const BackendId& engine) const {
  return calls_.at(engine).silent() || failing_engines_.is_ejected(engine, environment_.now());
}

bool coordinator::all_unhealthy(const std::vector<routing::Backend*>& engines) const {
  return std::all_of(engines.begin(), engines.end(),
                     [this](const routing::Backend* engine) { return is_unhealthy(engine->machine.id); });
}

void coordinator::handle(const wire::EngineFailureT& message) {
  const BackendId engine(message.engine);
  if (message.unreachable) {
    registry_.note_possible_restart(engine);
  }
  const bool before = failing_engines_.is_ejected(engine, environment_.now());
  failing_engines_.record(engine, message.unreachable ? call_failure_kind::unreachable : call_failure_kind::broken,
                          environment_.now());
  if (!before && failing_engines_.is_ejected(engine, environment_.now())) {
    counters_["engines_set_aside_total"]++;
    log_.record("engine_set_aside", {{"engine", message.engine}, {"unreachable", message.unreachable}});
  }
}

placement_choice coordinator::choose(const caller& origin, const engine_domain& domain,
                                     const forwarding::placement_query& query, bool final) {
  last_asked_[domain] = environment_.now();
  if (!reports_free_slots_) {
    reports_free_slots_ = true;
    environment_.after(kFreeSlotReportInterval, lifetime_.guard([this] { report_free_slots(); }));
  }
  calls_.forget_unreported_calls(environment_.now());
  if (waiting_.refresh(domain, origin, environment_.now())) {
    placement_choice choice;
    choice.waiting = true;
    return choice;
  }
  const std::vector<routing::Backend*> open = candidates(domain, query);
  if (!final && all_unhealthy(open)) {
    if (const auto zone = zone_with_free_slots(domain)) {
      counters_["placements_passed_on_total"]++;
      return {std::nullopt, *zone};
    }
  }
  if (open.empty() && (order_ == nullptr || warm_up_rate(domain, query) == 0)) {
    counters_["placements_without_engine_total"]++;
    return {};
  }
  routing::Backend* engine = find_slot(open, query);
  if (engine == nullptr) {
    return handle_full_domain(origin, domain, query, open, final);
  }
  const forwarding::known_calls known = forwarding::calls_at(*engine, calls_, environment_.now());
  const bool full = known.live + known.batch >= known.slots;
  if (full && !final && query.affinity_key.empty()) {
    if (const auto zone = zone_with_free_slots(domain)) {
      counters_["placements_passed_on_total"]++;
      return {std::nullopt, *zone};
    }
  }
  counters_[full ? "placements_at_full_engines_total" : "placements_total"]++;
  return assign(origin.node, *engine, query);
}

routing::Backend* coordinator::find_slot(const std::vector<routing::Backend*>& open,
                                         const forwarding::placement_query& query) {
  const double median = forwarding::median_latency(open);
  call_view call;
  call.prefill = query.affinity_key.empty() ? Duration::zero() : query.reading;
  call.holding = query.holding;
  call.first_token =
      std::max(kMinFirstTokenTime, Duration(static_cast<std::int64_t>(median * kMicrosecondsPerMillisecond)));
  call.time_to_yield = std::max(kMinTimeToYield, calls_.time_to_yield());
  std::vector<engine_view> engines;
  engines.reserve(open.size());
  const Timestamp now = environment_.now();
  for (const routing::Backend* backend : open) {
    const forwarding::known_calls known = forwarding::calls_at(*backend, calls_, now);
    engine_view view{known.live, known.batch, known.slots, forwarding::slowness(*backend, median)};
    view.prefill_left = std::max(Duration::zero(), backend->prefill_until - now);
    if (!query.affinity_key.empty()) {
      view.prefix_cached = cached_prefixes_.likely_cached(query.affinity_key, backend->machine.id, now);
      view.rank = rendezvous_weight(query.affinity_key, backend->machine.id.str());
    }
    engines.push_back(view);
  }
  const auto position = choose_slot(engines, call);
  return position ? open[*position] : nullptr;
}

placement_choice coordinator::assign(const std::string& node, routing::Backend& engine,
                                     const forwarding::placement_query& query) {
  const BackendId& id = engine.machine.id;
  const forwarding::known_calls known = forwarding::calls_at(engine, calls_, environment_.now());
  forwarding::engine_assignment answer{id, known.needs_yield()};
  failing_engines_.count_call(id, environment_.now());
  if (registry_.warm_up_limit(engine)) {
    warm_up_pace_.count(id, environment_.now());
    counters_["placements_at_warming_engines_total"]++;
  }
  if (node != self_.id) {
    calls_.expect(node, id, environment_.now());
  }
  if (!query.affinity_key.empty()) {
    answer.keeps_start = cached_prefixes_.likely_cached(query.affinity_key, id, environment_.now());
    cached_prefixes_.record_use(query.affinity_key, id, environment_.now());
    if (!answer.keeps_start) {
      registry_.on_prefill(id, query.reading);
    }
  }
  placement_choice choice;
  choice.place = std::move(answer);
  return choice;
}

placement_choice coordinator::handle_full_domain(const caller& origin, const engine_domain& domain,
                                                 const forwarding::placement_query& query,
                                                 const std::vector<routing::Backend*>& open, bool final) {
  if (!final) {
    if (const auto zone = zone_with_free_slots(domain)) {
      counters_["placements_passed_on_total"]++;
      return {std::nullopt, *zone};
    }
  }
  if (order_ == nullptr) {
    counters_["placements_at_full_engines_total"]++;
    routing::Backend* shortest =
        *std::min_element(open.begin(), open.end(), [this](const auto* left, const auto* right) {
          const auto queued = [this](const routing::Backend& backend) {
            const auto known = forwarding::calls_at(backend, calls_, environment_.now());
            return known.live / known.slots;
          };
          return queued(*left) < queued(*right);
        });
    return assign(origin.node, *shortest, query);
  }
  const Timestamp now = environment_.now();
  waiting_call call{origin, query, now, now + query.due, now + query.patience, now};
  const std::size_t ahead = waiting_.ahead_of(domain, call, now);
  const Duration expected = expected_wait(domain, query, open, ahead);
  placement_choice choice;
  if (expected >= query.patience || waiting_.size() >= waiting_calls::kMaxCalls) {
    counters_["placements_rejected_total"]++;
    choice.retry_after = std::max(kMinRetryAfter, expected);
    log_.record("call_rejected", {{"request", query.request},
                                  {"pool", domain.pool},
                                  {"zone", domain.zone},
                                  {"ahead", ahead},
                                  {"expected_ms", expected / 1ms},
                                  {"patience_ms", query.patience / 1ms}});
    return choice;
  }
  counters_["placements_held_total"]++;
  waiting_.add(domain, std::move(call));
  schedule_serving();
  choice.waiting = true;
  return choice;
}

Duration coordinator::expected_wait(const engine_domain& domain, const forwarding::placement_query& query,
                                    const std::vector<routing::Backend*>& open, std::size_t ahead) {
  const auto slots_of = [](const std::vector<routing::Backend*>& engines) {
    double slots = 0;
    for (const routing::Backend* backend : engines) {
      slots += backend->machine.slots;
    }
    return slots;
  };
  const double slots = slots_of(open);
  const double holding_s = std::chrono::duration<double>(query.holding).count();
  double wait_s = 0;
  if (slots == 0) {
    wait_s = static_cast<double>(ahead + 1) / warm_up_rate(domain, query);
  } else if (query.software_version) {
    // The calls ahead take the slots of all engines, this one only those of its version.
    forwarding::placement_query any = query;
    any.software_version.reset();
    wait_s =
        holding_s * static_cast<double>(ahead) / std::max(slots, slots_of(candidates(domain, any))) + holding_s / slots;
  } else {
    wait_s = holding_s * static_cast<double>(ahead + 1) / slots;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait_s));
}

void coordinator::withdraw(const caller& origin) { waiting_.withdraw(origin); }

void coordinator::handle(const wire::PlaceWithdrawalT& message) { withdraw({message.node, message.request, {}}); }

void coordinator::on_calls_changed() { schedule_serving(); }

/// Reports of freed slots come in bursts; those within kServeDelay share one pass.
void coordinator::schedule_serving() {
  if (serving_scheduled_ || waiting_.empty()) {
    return;
  }
  serving_scheduled_ = true;
  environment_.after(kServeDelay, lifetime_.guard([this] {
    serving_scheduled_ = false;
    serve_waiting();
    if (!waiting_.empty()) {
      // Slots also become free without a report, when expected calls expire.
      environment_.after(kServeInterval, lifetime_.guard([this] { schedule_serving(); }));
    }
  }));
}

void coordinator::serve_waiting() {
  calls_.forget_unreported_calls(environment_.now());
  const std::size_t dropped = waiting_.remove_expired(environment_.now());
  counters_["placements_held_dropped_total"] += static_cast<CounterValue>(dropped);
  for (const engine_domain& domain : waiting_.domains()) {
    while (waiting_.size(domain) > 0 && serve_first(domain)) {
    }
  }
  counters_["placements_held"] = static_cast<CounterValue>(waiting_.size());
}

bool coordinator::serve_first(const engine_domain& domain) {
  const Timestamp now = environment_.now();
  const std::vector<waiting_call>& calls = waiting_.in_order(domain, now);
  std::size_t tried = 0;
  std::size_t continuations_tried = 0;
  for (std::size_t position = 0; position < calls.size() && tried < kMaxCallsTried; ++position) {
    const forwarding::placement_query& query = calls[position].query;
    // Counted apart: streams that wait for one version must not keep the calls behind them from other engines.
    std::size_t& count = query.software_version ? continuations_tried : tried;
    if (count == kMaxCallsTried) {
      continue;
    }
    ++count;
    const std::vector<routing::Backend*> engines = candidates(domain, query);
    if (routing::Backend* engine = find_slot(engines, query)) {
      const waiting_call call = waiting_.take(domain, position);
      deliver(domain, call, assign(call.origin.node, *engine, call.query));
      return true;
    }
    if (engines.empty() && query.software_version && warm_up_rate(domain, query) == 0) {
      counters_["placements_without_engine_total"]++;
      deliver(domain, waiting_.take(domain, position), {});
      return true;
    }
  }
  if (const auto zone = zone_with_free_slots(domain)) {
    counters_["placements_passed_on_total"]++;
    deliver(domain, waiting_.take(domain, 0), {std::nullopt, *zone});
    return true;
  }
  return false;
}

void coordinator::deliver(const engine_domain& domain, const waiting_call& call, const placement_choice& choice) {
  const Timestamp now = environment_.now();
  observe(counters_, "placement_wait", now - call.arrived);
  log_.record("call_held", {{"request", call.query.request},
                            {"pool", domain.pool},
                            {"zone", domain.zone},
                            {"waited_ms", (now - call.arrived) / 1ms},
                            {"due_ms", (call.due_at - now) / 1ms},
                            {"others", waiting_.size(domain)},
                            {"engine", choice.place ? choice.place->engine.str() : std::string()},
                            {"passed_to", choice.zone}});
  if (call.origin.node == self_.id) {
    if (on_own_call_decided) {
      on_own_call_decided(call.origin.request, choice);
    }
    return;
  }
  send_reply(call.origin.address, call.origin.request, choice);
}

std::optional<std::string> coordinator::zone_with_free_slots(const engine_domain& domain) {
  auto best = free_slot_reports_.end();
  for (auto entry = free_slot_reports_.begin(); entry != free_slot_reports_.end(); ++entry) {
    const bool usable = entry->first.pool == domain.pool && entry->first.zone != domain.zone &&
                        environment_.now() - entry->second.reported_at < kFreeSlotReportLifetime &&
                        entry->second.free >= kMinFreeSlotsElsewhere;
    if (usable && (best == free_slot_reports_.end() || entry->second.free > best->second.free)) {
      best = entry;
    }
  }
  if (best == free_slot_reports_.end()) {
    return std::nullopt;
  }
  --best->second.free;
  return best->first.zone;
}

void coordinator::handle(const PeerAddress& sender, const wire::PlaceRequestT& message) {
  forwarding::placement_query query;
  query.pool = message.pool;
  query.affinity_key = message.affinity_key;
  for (const std::string& engine : message.excluded) {
    query.excluded.insert(BackendId(engine));
  }
  query.reading = Duration(message.reading_us);
  query.request = message.caller_request;
  query.holding = Duration(message.holding_us);
  query.due = Duration(message.due_us);
  query.patience = Duration(message.patience_us);
  query.rank = {message.tenant_priority, message.route_priority};
  if (message.continues) {
    query.software_version = message.software_version;
  }
  const caller origin{message.node, message.request, sender};
  send_reply(sender, message.request, choose(origin, {message.pool, message.zone}, query, message.final));
}

void coordinator::send_reply(const PeerAddress& to, std::uint64_t request, const placement_choice& choice) {
  wire::PlaceReplyT reply;
  reply.request = request;
  reply.zone = choice.zone;
  reply.waiting = choice.waiting;
  reply.rejected = choice.retry_after.has_value();
  reply.retry_us = static_cast<std::uint32_t>(choice.retry_after.value_or(Duration::zero()).count());
  if (choice.place) {
    reply.engine = choice.place->engine.str();
    reply.needs_yield = choice.place->needs_yield;
    reply.keeps_start = choice.place->keeps_start;
  }
  send_message(environment_, to, std::move(reply));
}

void coordinator::handle(const wire::PlaceRoomT& message) {
  free_slot_reports_[{message.pool, message.zone}] = {message.free, environment_.now()};
}

void coordinator::take(const wire::EngineActivityT& message) {
  calls_.take(message, environment_.now());
  schedule_serving();
  for (const auto& entry : message.engines) {
    if (entry->first_ms > 0) {
      registry_.on_first_token(BackendId(entry->engine), entry->first_ms);
    }
  }
}

void coordinator::report_free_slots() {
  std::erase_if(last_asked_, [this](const auto& entry) { return environment_.now() - entry.second > kDomainLifetime; });
  reports_free_slots_ = !last_asked_.empty();
  if (!reports_free_slots_) {
    return;
  }
  environment_.after(kFreeSlotReportInterval, lifetime_.guard([this] { report_free_slots(); }));
  for (const auto& [domain, asked_at] : last_asked_) {
    if (domain.zone.empty()) {
      continue;
    }
    wire::PlaceRoomT report;
    report.pool = domain.pool;
    report.zone = domain.zone;
    std::set<std::string> zones;
    for (const routing::Backend* backend : registry_.candidates(domain.pool)) {
      zones.insert(backend->machine.zone);
      if (backend->machine.zone != domain.zone) {
        continue;
      }
      const forwarding::known_calls known = forwarding::calls_at(*backend, calls_, environment_.now());
      const double free = known.slots - known.live - known.batch;
      report.free += free > 0 && !is_unhealthy(backend->machine.id) ? static_cast<std::uint32_t>(free) : 0;
    }
    for (const std::string& zone : zones) {
      const auto there = duties_.coordinators_of(engine_domain{domain.pool, zone}.key(), zone);
      if (zone != domain.zone && !there.empty()) {
        send_message(environment_, PeerAddress(there.front()->peer_address), report);
      }
    }
  }
}

}  // namespace madderdeck::placement
