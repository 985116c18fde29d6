#include "batch/dispatcher.hpp"

#include <algorithm>

#include "batch/item.hpp"
#include "batch/item_failure.hpp"
#include "common/hash.hpp"

namespace madderdeck::batch {
namespace {
constexpr Duration kTick = 20ms;
constexpr Duration kIdleTick = 200ms;     ///< Tick while this node owns no engine and holds no item.
constexpr Duration kActivityMaxAge = 2s;  ///< A gateway's report of live calls counts for this long.
/// No item is started on an engine for this long after its items yielded or it refused one.
constexpr Duration kPauseAfterYield = 100ms;
constexpr std::size_t kMaxManagersAsked = 3;
/// In a large fleet few nodes manage jobs and a dispatcher has many slots. It asks up to this many managers, in
/// practice all, so that the items with the nearest deadlines go first.
constexpr std::size_t kMaxManagersAskedInLargeFleet = 16;
/// Runs are moved away from an engine that has sent nothing on any of its calls for this long.
constexpr Duration kUnresponsiveEngineTimeout = 1s;
/// A run without an event for this long is moved to another engine. One that waits in the queue of a busy engine gets
/// its first event earlier.
constexpr Duration kProgressTimeout = 5s;
/// A run whose engine works on it and sends no event is moved after this time all the same.
constexpr Duration kMaxSilentRun = 10s;
constexpr Duration kRunLookupInterval = 500ms;  ///< While an engine works on an item and sends nothing.
/// An engine that sent an event of a run this recently notices at once that the run's connection closes.
constexpr Duration kRecentProgress = 250ms;
/// An item whose run was stopped and goes on at its engine is handed to another one after this time all the same.
constexpr Duration kMaxLeaving = 5s;
constexpr Duration kOwnershipInterval = 250ms;
constexpr Duration kMinAskInterval = 20ms;
constexpr Duration kMaxAskIntervalBusy = 200ms;  ///< Longest interval while some manager is known to have items.
constexpr Duration kMaxAskIntervalIdle = 4s;     ///< Longest interval while no manager is known to have items.
constexpr unsigned kMaxFailedRuns = 20;          ///< Of an item whose route sets no limit.
constexpr Duration kReportMaxAge = 400ms;        ///< An engine's load report counts for this long.
/// Lower bound of the time to yield, also used before any was observed: message delays and one step of the engine.
constexpr Duration kMinTimeToYield = 10ms;
/// The same where calls are not reported, so that no gateway can observe why a live call waits.
constexpr Duration kMinTimeToYieldUnobserved = 50ms;
/// For this many slots that are free or run an item, one item is kept queued beyond the free slots, so that a slot that
/// becomes free need not wait for a request to a manager and its answer.
constexpr std::size_t kReadyItemsDivisor = 4;
constexpr Duration kRequestMaxAge = 5s;  ///< Answers to older requests for items are not used.
/// Interval at which held items are confirmed. A manager's item lease lasts three intervals (kItemLease in
/// job_manager.cpp).
constexpr Duration kConfirmHeldInterval = 1s;
/// An item with partial output waits for an engine of the same software version until this much of its lease is left.
constexpr Duration kLongestWaitLeft = 1s;
/// A queued item is returned once no engine of this node could run it for this long: other nodes' engines may.
constexpr Duration kMaxUnplaceableTime = 250ms;
constexpr Duration kRouteMissingLimit = 5s;  ///< Longer than a configuration change takes to reach all nodes.
/// Until the failure of an item is written again after the ledger has not taken it.
constexpr Duration kFailureRetryInterval = 250ms;

std::string_view error_name(const Result<ledger::OptionalValue>& result) {
  return error_kind_name(error_of(result).kind);
}

/// @return the decoded HTTP request of an item, or null if the item is none.
std::shared_ptr<const routing::HttpItemCall> decode_http_item(const wire::WorkItemT& work) {
  auto item = wire::decode_record<wire::HttpItemT>(work.body);
  if (!item) {
    return nullptr;
  }
  auto call = std::make_shared<routing::HttpItemCall>();
  call->id = std::move(item->id);
  call->method = std::move(item->method);
  call->target = std::move(item->target);
  call->host = work.host;
  call->tenant = work.tenant;
  for (const auto& field : item->headers) {
    call->headers.push_back({field->name, field->value});
  }
  call->body.assign(item->body.begin(), item->body.end());
  return call;
}

}  // namespace

Dispatcher::Dispatcher(Environment& environment, Counters& counters, ledger::Client& ledger,
                       membership::Membership& members, const config::Catalog& catalog, routing::Registry& registry,
                       routing::BackendClient& client, DecisionLog& log, const placement::duties& who,
                       DispatchPolicies policies, DispatchGuards guards)
    : environment_(environment),
      counters_(counters),
      ledger_(ledger),
      members_(members),
      catalog_(catalog),
      registry_(registry),
      client_(client),
      log_(log),
      duties_(who),
      policies_(std::move(policies)),
      guards_(guards) {}

void Dispatcher::start() { tick(); }

void Dispatcher::tick() {
  environment_.after(is_idle() ? kIdleTick : kTick, lifetime_.guard([this] { tick(); }));
  if (!draining_) {
    update_managers();
    requeue_from_unresponsive_engines();
    requeue_without_progress();
    requeue_from_lost_engines();
    fill_engines();
  }
  confirm_held_items();
  counters_["batch_items_running"] = static_cast<CounterValue>(running_.size());
  counters_["batch_items_queued"] = static_cast<CounterValue>(queue_.size());
}

bool Dispatcher::is_idle() const { return owned_engines_.empty() && queue_.empty() && active() == 0; }

void Dispatcher::refresh_ownership() {
  const bool unchanged =
      ownership_members_version_ == members_.version() && ownership_registry_version_ == registry_.version();
  // Limits how often the ranking is computed when the membership changes many times in a row.
  const bool too_soon =
      ownership_refreshed_at_.count() != 0 && environment_.now() - ownership_refreshed_at_ < kOwnershipInterval;
  if (unchanged || too_soon) {
    return;
  }
  ownership_refreshed_at_ = environment_.now();
  ownership_members_version_ = members_.version();
  ownership_registry_version_ = registry_.version();
  owned_engines_.clear();
  if (registry_.backends().size() > routing::kMaxBackendsBeforeFleetKnown && !members_.knows_fleet()) {
    ownership_registry_version_ = 0;  // forces another refresh
    return;
  }
  if (!duties_.dispatches()) {
    return;
  }
  for (const auto& [id, backend] : registry_.backends()) {
    if (backend.machine.target != config::Target::model || !duties_.dispatches_in(backend.machine.zone)) {
      continue;
    }
    const wire::MemberT* owner = duties_.dispatcher_of(id.str(), backend.machine.zone);
    if (owner != nullptr && owner->id == members_.self().id) {
      owned_engines_.insert(id);
    }
  }
}

bool Dispatcher::owns(const BackendId& engine) { return owned().contains(engine); }

const std::set<BackendId>& Dispatcher::owned() {
  refresh_ownership();
  return owned_engines_;
}

std::vector<BackendId> Dispatcher::engines_to_poll(std::uint64_t round) {
  std::vector<BackendId> found;
  for (const BackendId& id : owned()) {
    const routing::Backend* backend = registry_.find(id);
    const auto known = engines_.find(id);
    const bool live =
        known != engines_.end() && std::any_of(known->second.gateways.begin(), known->second.gateways.end(),
                                               [](const auto& gateway) { return gateway.second.in_flight > 0; });
    const bool batch = known != engines_.end() && known->second.running > 0;
    const bool others = backend != nullptr && registry_.unattributed(*backend) > 0;
    if (live || batch || others || (stable_hash(id.str()) + round) % kIdlePollRounds == 0) {
      found.push_back(id);
    }
  }
  return found;
}

std::vector<routing::Backend*> Dispatcher::open_owned_engines() {
  refresh_ownership();
  std::vector<routing::Backend*> open;
  for (const BackendId& id : owned_engines_) {
    routing::Backend* backend = registry_.find(id);
    if (backend != nullptr && registry_.open(*backend)) {
      open.push_back(backend);
    }
  }
  return open;
}

std::uint32_t Dispatcher::online_calls_on(const routing::Backend& backend, Engine& engine) const {
  std::uint32_t total = 0;
  for (const auto& [gateway, activity] : engine.gateways) {
    const bool heard = environment_.now() - activity.received_at < kActivityMaxAge;
    total += heard ? activity.in_flight : 0;
  }
  if (registry_.has_peer_call_reports()) {
    return total + registry_.unattributed(backend);
  }
  const bool fresh = backend.reported_at.count() != 0 && environment_.now() - backend.reported_at < kReportMaxAge;
  if (!fresh) {
    return total;
  }
  std::uint32_t reported = backend.report.running_online;
  if (!backend.report.separates_batch) {
    const auto own = static_cast<std::uint32_t>(engine.running);
    reported = reported + backend.report.waiting > own ? reported + backend.report.waiting - own : 0;
  }
  return std::max(total, reported);
}

std::size_t Dispatcher::headroom_of(const routing::Backend& backend, const Engine& engine) const {
  if (!guards_.keep_headroom) {
    return 0;
  }
  if (policies_.set.headroom == nullptr) {
    return catalog_.policy().batch_headroom_slots;
  }
  const Duration observed = policies_.time_to_yield ? policies_.time_to_yield() : Duration::zero();
  const Duration least = registry_.has_peer_call_reports() ? kMinTimeToYield : kMinTimeToYieldUnobserved;
  const Timestamp now = environment_.now();
  double rate = engine.live_call_rate.per_second(now);
  if (policies_.set.headroom_for_peaks && !owned_engines_.empty()) {
    // The peak is measured over all engines of this node: at a single engine a few calls that coincide by chance would
    // look like a burst.
    rate = std::max(rate, live_call_rate_.peak_per_second(now) / static_cast<double>(owned_engines_.size()));
  }
  return policies_.set.headroom->free_slots({rate, std::max(observed, least), backend.machine.slots});
}

std::size_t Dispatcher::free_slots_on(const routing::Backend& backend, Engine& engine) const {
  const std::size_t headroom = headroom_of(backend, engine);
  const std::size_t online = guards_.keep_headroom ? online_calls_on(backend, engine) : 0;
  const std::size_t taken = headroom + online + engine.running;
  return taken >= backend.machine.slots ? 0 : backend.machine.slots - taken;
}

policy::unfinished_item_state Dispatcher::outlook_of(const QueuedItem& work) const {
  const std::uint64_t now_ms = environment_.unix_milliseconds();
  const auto left_ms = static_cast<std::int64_t>(work.item.deadline_ms) - static_cast<std::int64_t>(now_ms);
  policy::unfinished_item_state outlook;
  outlook.time_left = work.item.deadline_ms == 0 ? Duration::max() : Duration(std::chrono::milliseconds(left_ms));
  outlook.work_left =
      policies_.estimate->time_left(work.item.template_name, work.item.tokens, work.item.partial_tokens);
  return outlook;
}

void Dispatcher::sort_queue() {
  std::vector<std::pair<policy::unfinished_item_state, QueuedItem>> waiting;
  waiting.reserve(queue_.size());
  for (QueuedItem& work : queue_) {
    waiting.emplace_back(outlook_of(work), std::move(work));
  }
  std::stable_sort(waiting.begin(), waiting.end(), [this](const auto& left, const auto& right) {
    return policies_.set.order->before(left.first, right.first);
  });
  queue_.clear();
  for (auto& [outlook, work] : waiting) {
    queue_.push_back(std::move(work));
  }
}

std::vector<routing::Backend*> Dispatcher::usable_engines() {
  std::vector<routing::Backend*> usable = open_owned_engines();
  std::erase_if(usable, [this](const routing::Backend* backend) {
    return !registry_.accepts_items(*backend) || registry_.warm_up_limit(*backend).has_value();
  });
  return usable;
}

void Dispatcher::fill_engines() {
  if (queue_.size() > 1) {
    sort_queue();
  }
  const std::vector<routing::Backend*> usable = usable_engines();
  std::size_t free_slots = 0;
  for (routing::Backend* backend : usable) {
    if (environment_.now() >= engines_[backend->machine.id].resume_after) {
      free_slots += fill_engine(*backend);
    }
  }
  return_unstartable_items(usable);
  const std::size_t wanted = usable.empty() ? 0 : free_slots + (free_slots + running_.size()) / kReadyItemsDivisor;
  return_surplus_items(wanted);
  if (wanted > queue_.size()) {
    request_items(wanted - queue_.size());
  }
}

std::size_t Dispatcher::fill_engine(routing::Backend& backend) {
  std::size_t room = free_slots_on(backend, engines_[backend.machine.id]);
  for (std::size_t position = 0; room > 0 && position < queue_.size();) {
    if (!can_run_on(queue_[position], backend) || waits_for_version(queue_[position], backend)) {
      ++position;
      continue;
    }
    QueuedItem work = std::move(queue_[position]);
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(position));
    if (guards_.respect_leases && environment_.now() >= work.start_before) {
      counters_["batch_items_lease_lapsed_total"]++;
      report(work, false);
      continue;
    }
    if (guards_.keep_failures && has_no_attempts_left(work)) {
      fail_item(std::move(work), wire::ItemFailure::RunsFailed);
      continue;
    }
    start_item(std::move(work), backend);
    --room;
  }
  return room;
}

void Dispatcher::return_unstartable_items(const std::vector<routing::Backend*>& usable) {
  std::erase_if(queue_, [this, &usable](QueuedItem& work) {
    if (route_missing_too_long(work)) {
      fail_item(std::move(work), wire::ItemFailure::RouteGone);
      return true;
    }
    const bool lapsed = guards_.respect_leases && environment_.now() >= work.start_before;
    const bool unplaceable = unplaceable_too_long(work, usable);
    if (lapsed || unplaceable) {
      counters_["batch_items_unplaceable_total"] += unplaceable ? 1 : 0;
      report(work, false);
    }
    return lapsed || unplaceable;
  });
}

bool Dispatcher::unplaceable_too_long(QueuedItem& work, const std::vector<routing::Backend*>& usable) const {
  const bool placeable = std::any_of(usable.begin(), usable.end(),
                                     [&](const routing::Backend* backend) { return can_run_on(work, *backend); });
  if (placeable) {
    work.unplaceable_since.reset();
    return false;
  }
  const Timestamp since = work.unplaceable_since.value_or(environment_.now());
  work.unplaceable_since = since;
  return environment_.now() - since > kMaxUnplaceableTime;
}

const forwarding::Route* Dispatcher::route_of(const QueuedItem& work) const {
  const forwarding::RouteTablePointer& routes = catalog_.routes();
  const wire::WorkItemT& item = work.item;
  return routes == nullptr ? nullptr : routes->find_batch_route(item.host, item.template_name, item.route_prefix);
}

bool Dispatcher::can_run_on(const QueuedItem& work, const routing::Backend& backend) const {
  const auto& pools = backend.machine.pools;
  const auto offers = [&pools](const std::string& pool) {
    return std::find(pools.begin(), pools.end(), pool) != pools.end();
  };
  if (work.http) {
    const forwarding::Route* route = route_of(work);
    return route != nullptr && std::any_of(route->pools.begin(), route->pools.end(),
                                           [&](const forwarding::WeightedPool& pool) { return offers(pool.pool); });
  }
  const auto kind = catalog_.find_template(work.item.template_name);
  return kind != nullptr && offers(kind->pool);
}

bool Dispatcher::waits_for_version(const QueuedItem& work, const routing::Backend& backend) {
  const std::string& version = work.item.partial_version;
  if (work.item.partial_tokens == 0 || registry_.may_run_at(backend, version)) {
    return false;
  }
  const bool soon_returned = environment_.now() + kLongestWaitLeft >= work.start_before;
  const std::vector<routing::Backend*> open = open_owned_engines();
  return !soon_returned && std::any_of(open.begin(), open.end(), [&](const routing::Backend* other) {
    return can_run_on(work, *other) && registry_.may_run_at(*other, version);
  });
}

void Dispatcher::begin_anew_if_necessary(QueuedItem& work, const routing::Backend& backend) {
  if (work.item.partial_tokens > 0 && !registry_.may_run_at(backend, work.item.partial_version)) {
    discard_output(work, "software_version " + backend.machine.software_version);
  }
}

void Dispatcher::discard_output(QueuedItem& work, const std::string& reason) {
  wire::WorkItemT& item = work.item;
  counters_["batch_items_begun_anew_total"]++;
  log_.record("item_begun_anew", {{"job", item.job},
                                  {"index", item.index},
                                  {"item", item_id_of(work)},
                                  {"events", item.partial_tokens},
                                  {"partial_version", item.partial_version},
                                  {"reason", reason}});
  item.partial.clear();
  item.partial_tokens = 0;
  item.partial_version.clear();
}

bool Dispatcher::route_missing_too_long(const QueuedItem& work) {
  const forwarding::RouteTablePointer& routes = catalog_.routes();
  // An older table than the one that accepted the job does not tell whether its route is gone.
  if (!work.http || !routes || routes->version < work.item.routes_version) {
    return false;
  }
  if (route_of(work) != nullptr) {
    route_missing_since_.erase(work.item.job);
    return false;
  }
  const auto [since, first] = route_missing_since_.try_emplace(work.item.job, environment_.now());
  if (first) {
    counters_["batch_routes_missing_total"]++;
    log_.record("job_route_missing", {{"job", work.item.job},
                                      {"route", work.item.template_name},
                                      {"host", work.item.host},
                                      {"path_prefix", work.item.route_prefix},
                                      {"accepted_at_version", work.item.routes_version},
                                      {"routes_version", routes->version}});
  }
  return environment_.now() - since->second > kRouteMissingLimit;
}

std::vector<PeerAddress> Dispatcher::managers_to_ask() {
  std::vector<PeerAddress> candidates(managers_with_items_.begin(), managers_with_items_.end());
  if (candidates.empty()) {
    // No manager is known to have items, but a notice may have been lost.
    candidates = duties_.managers();
  }
  const std::size_t most = duties_.divided() ? kMaxManagersAskedInLargeFleet : kMaxManagersAsked;
  while (candidates.size() > most) {
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(environment_.random() % candidates.size()));
  }
  return candidates;
}

void Dispatcher::request_items(std::size_t free_slots) {
  if (environment_.now() < next_request_at_) {
    return;
  }
  ask_interval_ = std::clamp(ask_interval_ * 2, kMinAskInterval,
                             managers_with_items_.empty() ? kMaxAskIntervalIdle : kMaxAskIntervalBusy);
  next_request_at_ = environment_.now() + ask_interval_;
  std::erase_if(requests_,
                [this](const auto& entry) { return environment_.now() - entry.second.asked_at > kRequestMaxAge; });
  requests_[++next_request_] = Request{environment_.now(), {}};
  const std::vector<PeerAddress> managers = managers_to_ask();
  const std::size_t share = (free_slots + managers.size() - 1) / std::max<std::size_t>(1, managers.size());
  for (const PeerAddress& manager : managers) {
    wire::TakeItemsT request;
    request.request = next_request_;
    request.capacity = static_cast<std::uint32_t>(share);
    send_message(environment_, manager, std::move(request));
  }
}

void Dispatcher::handle(const PeerAddress& sender, const wire::GiveItemsT& message) {
  const auto requested = requests_.find(message.request);
  const bool known = requested != requests_.end();
  bool usable = false;
  std::size_t repeated = 0;
  for (const auto& item : message.items) {
    if (known && !requested->second.taken.emplace(sender, item->job, item->index).second) {
      counters_["batch_items_repeated_total"]++;
      ++repeated;
      continue;
    }
    QueuedItem work;
    work.item = *item;
    work.manager = sender;
    if (!item->host.empty()) {
      work.http = decode_http_item(*item);
    }
    work.start_before = (known ? requested->second.asked_at : Timestamp{}) + std::chrono::milliseconds(item->lease_ms);
    if (begins_with_reason_of_earlier_version(work.item.partial)) {
      discard_output(work, "reason_as_output");
    }
    if (draining_ || (!known && guards_.respect_leases)) {
      report(work, false);
    } else if (guards_.hold_items_once && holds_already(work)) {
      counters_["batch_items_already_held_total"]++;
      report_held(work);
    } else {
      usable = usable || environment_.now() < work.start_before;
      queue_.push_back(std::move(work));
    }
  }
  if (repeated > 0 && repeated == message.items.size()) {
    return;
  }
  // Items whose lease expired before they arrived are returned. Asking for them again at once could loop forever.
  if (usable) {
    managers_with_items_.insert(sender);
    ask_interval_ = Duration::zero();
    next_request_at_ = Timestamp{};
  } else {
    managers_with_items_.erase(sender);
  }
  if (!draining_) {
    fill_engines();
  }
}

/// A manager whose lease has lapsed while this node or its own stood still hands the item out again.
bool Dispatcher::holds_already(const QueuedItem& given) {
  const auto is_same = [&given](const std::string& job, std::uint32_t index) {
    return index == given.item.index && job == given.item.job;
  };
  for (QueuedItem& work : queue_) {
    if (is_same(work.item.job, work.item.index)) {
      work.manager = given.manager;
      work.start_before = given.start_before;
      return true;
    }
  }
  for (auto& [id, run] : running_) {
    if (is_same(run.work.item.job, run.work.item.index)) {
      run.work.manager = given.manager;
      return true;
    }
  }
  for (auto& [id, left] : leaving_) {
    if (is_same(left.work.item.job, left.work.item.index)) {
      left.work.manager = given.manager;
      left.work.start_before = given.start_before;
      return true;
    }
  }
  for (auto& [id, work] : unwritten_failures_) {
    if (is_same(work.item.job, work.item.index)) {
      work.manager = given.manager;
      return true;
    }
  }
  return std::any_of(settling_.begin(), settling_.end(),
                     [&](const auto& entry) { return is_same(entry.second.job, entry.second.index); });
}

Result<routing::EngineCall> Dispatcher::engine_call_for(const QueuedItem& work) const {
  routing::EngineCall call;
  call.http = work.http;
  if (!work.http) {
    const auto kind = catalog_.find_template(work.item.template_name);
    const auto parsed = parse_item(work.item.body);
    if (!succeeded(parsed)) {
      return error_of(parsed);
    }
    call.model = kind->pool;
    const auto tenant = catalog_.find_tenant(work.item.tenant);
    call.prompt = tenant ? config::fill_parameters(kind->system_prompt, *tenant) : kind->system_prompt;
    call.prompt += value_of(parsed).prompt;
    call.max_tokens = value_of(parsed).max_tokens.value_or(kind->max_tokens);
    call.max_tokens = std::min(call.max_tokens, kind->max_tokens);
  }
  call.resume_from = work.item.partial_tokens;
  call.priority = routing::Priority::batch;
  return call;
}

void Dispatcher::start_item(QueuedItem work, routing::Backend& backend) {
  const RunId id = ++next_run_;
  begin_anew_if_necessary(work, backend);
  Result<routing::EngineCall> built = engine_call_for(work);
  if (!succeeded(built)) {
    log_.record("item_invalid",
                {{"job", work.item.job}, {"index", work.item.index}, {"error", error_of(built).detail}});
    fail_item(std::move(work), wire::ItemFailure::Invalid);
    return;
  }
  routing::EngineCall& call = value_of(built);
  call.attempt = environment_.random();
  if (on_item_started) {
    on_item_started(JobId(work.item.job), work.item.index);
  }
  RunningItem running;
  running.work = std::move(work);
  running.engine = backend.machine.id;
  running.software_version = backend.machine.software_version;
  running.start_number = id;
  running.started_at = environment_.now();
  running.progress_at = running.started_at;
  running.resumed_from = running.work.item.partial_tokens;
  running.request_id = running.work.http ? running.work.http->id : std::to_string(call.attempt);
  Engine& engine = engines_[running.engine];
  change_running(running.engine, +1);
  log_.record("item_started", {{"job", running.work.item.job},
                               {"index", running.work.item.index},
                               {"item", item_id_of(running.work)},
                               {"backend", running.engine.str()},
                               {"batch_running", engine.running},
                               {"live", online_calls_on(backend, engine)},
                               {"report_age_ms", (environment_.now() - backend.reported_at) / 1ms},
                               {"list_age_ms", registry_.list_age_ms()},
                               {"software_version", backend.machine.software_version},
                               {"unlisted", backend.unlisted.has_value()},
                               {"resume_after", running.work.item.partial_tokens}});
  running_.emplace(id, std::move(running));
  counters_["batch_items_started_total"]++;
  routing::EngineEvents events;
  events.token =
      lifetime_.guard([this, id](std::uint32_t offset, std::string_view text) { on_token(id, offset, text); });
  events.finished = lifetime_.guard([this, id](std::uint32_t total) { on_finished(id, total); });
  events.failed = lifetime_.guard([this, id](routing::CallFailure failure) { on_failed(id, failure); });
  running_.at(id).life = registry_.on_sent(backend.machine.id);
  running_.at(id).call = client_.start(backend.machine.id, call, std::move(events));
}

Dispatcher::RunningItem Dispatcher::take_running(RunId id) {
  auto node = running_.extract(id);
  registry_.on_ended(node.mapped().engine, node.mapped().life);
  change_running(node.mapped().engine, -1);
  return std::move(node.mapped());
}

void Dispatcher::change_running(const BackendId& id, std::ptrdiff_t change) {
  Engine& engine = engines_[id];
  engine.running += static_cast<std::size_t>(change);
  if (routing::Backend* backend = registry_.find(id)) {
    backend->batch_in_flight = static_cast<std::uint32_t>(engine.running);
  }
  if (on_batch_activity) {
    on_batch_activity(id);
  }
}

void Dispatcher::on_token(RunId id, std::uint32_t offset, std::string_view text) {
  const auto entry = running_.find(id);
  if (entry == running_.end()) {
    return;
  }
  registry_.on_heard(entry->second.engine);
  wire::WorkItemT& item = entry->second.work.item;
  if (offset == item.partial_tokens) {
    const bool event_of_stream = entry->second.work.http != nullptr;
    if (item.partial_tokens == 0) {
      item.partial_version = entry->second.software_version;
    }
    entry->second.progress_at = environment_.now();
    item.partial.append(event_of_stream && item.partial_tokens > 0 ? "\n" : "").append(text);
    ++item.partial_tokens;
  } else if (offset > item.partial_tokens) {
    // A token is missing: the ones before it are kept and the rest is requested again.
    counters_["batch_token_gaps_total"]++;
    client_.cancel(entry->second.call);
    on_failed(id, routing::CallFailure::broken);
  }
}

void Dispatcher::on_finished(RunId id, std::uint32_t total) {
  const auto entry = running_.find(id);
  if (entry == running_.end()) {
    return;
  }
  if (entry->second.work.item.partial_tokens < total) {
    counters_["batch_token_gaps_total"]++;
    on_failed(id, routing::CallFailure::broken);
    return;
  }
  RunningItem running = take_running(id);
  registry_.on_success(running.engine);
  policies_.estimate->learn(
      running.work.item.template_name,
      {running.work.item.tokens, total, total - running.resumed_from, environment_.now() - running.started_at});
  write_result(std::move(running.work));
  if (!draining_) {
    fill_engines();
  }
}

void Dispatcher::on_failed(RunId id, routing::CallFailure failure) {
  if (!running_.contains(id)) {
    return;
  }
  RunningItem running = take_running(id);
  if (registry_.is_incarnation(running.engine, running.life)) {
    registry_.on_failure(running.engine, failure);
  }
  counters_["batch_item_failures_total"]++;
  QueuedItem& work = running.work;
  work.item.failed_runs += failure == routing::CallFailure::failed_run ? 1 : 0;
  log_.record("item_run_failed", {{"job", work.item.job},
                                  {"index", work.item.index},
                                  {"item", item_id_of(work)},
                                  {"backend", running.engine.str()},
                                  {"failure", routing::failure_name(failure)},
                                  {"failed_runs", work.item.failed_runs},
                                  {"events", work.item.partial_tokens}});
  if (failure == routing::CallFailure::invalid) {
    fail_item(std::move(work), wire::ItemFailure::Rejected);
    return;
  }
  if (has_no_attempts_left(work)) {
    fail_item(std::move(work), wire::ItemFailure::RunsFailed);
    return;
  }
  if (failure == routing::CallFailure::refused) {
    engines_[running.engine].resume_after = environment_.now() + kPauseAfterYield;
  }
  if (failure == routing::CallFailure::broken && !may_run_after_break(work)) {
    settling_[++next_run_] = {work.item.job, work.item.index, work.manager};
    return;
  }
  report(work, false);
}

bool Dispatcher::may_run_after_break(const QueuedItem& work) {
  if (!guards_.max_broken_runs) {
    return guards_.return_broken_items;
  }
  return ++broken_runs_[{work.item.job, work.item.index}] < *guards_.max_broken_runs;
}

bool Dispatcher::has_no_attempts_left(const QueuedItem& work) const {
  if (work.item.failed_runs == 0) {
    return false;
  }
  if (!work.http) {
    return work.item.failed_runs >= kMaxFailedRuns;
  }
  const forwarding::Route* route = route_of(work);
  return route != nullptr && work.item.failed_runs >= route->max_attempts;
}

void Dispatcher::fail_item(QueuedItem work, wire::ItemFailure failure) {
  counters_["batch_items_failed_total"]++;
  work.item.failure = failure;
  write_result(std::move(work));
}

void Dispatcher::write_result(QueuedItem work) {
  wire::ResultRecordT record;
  record.index = work.item.index;
  record.failure = work.item.failure;
  record.failed = record.failure != wire::ItemFailure::None;
  record.body = record.failed ? failure_description(record.failure) : work.item.partial;
  record.item_id = work.http ? work.http->id : "";
  record.attempt = environment_.random();  // distinguishes results of two dispatchers
  const wire::Bytes encoded = wire::encode_record(record);
  const bool once = guards_.write_results_once;
  const auto first_stands = [encoded, once](const ledger::OptionalValue& current) -> ledger::OptionalValue {
    return current && (once || *current == encoded) ? std::nullopt : ledger::OptionalValue(encoded);
  };
  const RunId id = ++next_run_;
  settling_[id] = {work.item.job, work.item.index, work.manager};
  ledger_.change(result_key(JobId(work.item.job), work.item.index), first_stands,
                 lifetime_.guard([this, work, id](const Result<ledger::OptionalValue>& result) {
                   on_result_written(work, id, result);
                 }));
}

void Dispatcher::on_result_written(const QueuedItem& work, RunId id, const Result<ledger::OptionalValue>& result) {
  const bool written = succeeded(result);
  settling_.erase(id);
  log_.record("item_result", {{"job", work.item.job},
                              {"index", work.item.index},
                              {"item", item_id_of(work)},
                              {"failure", item_failure_name(work.item.failure)},
                              {"failed_runs", work.item.failed_runs},
                              {"events", work.item.partial_tokens},
                              {"outcome", written ? "written" : error_name(result)}});
  counters_[written ? "batch_results_written_total" : "batch_results_not_written_total"]++;
  if (written || work.item.failure == wire::ItemFailure::None || draining_) {
    report(work, written);
  } else if (guards_.keep_failures) {
    keep_failure(work);
  } else {
    report_failure_as_output(work);
  }
}

/// What the guard prevents.
void Dispatcher::report_failure_as_output(QueuedItem work) {
  work.item.partial = failure_description(work.item.failure);
  work.item.failure = wire::ItemFailure::None;
  report(work, false);
}

/// The manager learns of the failure now, in case this node ends before the ledger takes it.
void Dispatcher::keep_failure(QueuedItem work) {
  const RunId id = ++next_run_;
  work.manager = manager_of(work);
  report_held(work);
  unwritten_failures_.emplace(id, std::move(work));
  environment_.after(kFailureRetryInterval, lifetime_.guard([this, id] {
    if (auto entry = unwritten_failures_.extract(id)) {
      write_result(std::move(entry.mapped()));
    }
  }));
}

const std::string& Dispatcher::item_id_of(const QueuedItem& work) {
  static const std::string none;
  return work.http ? work.http->id : none;
}

wire::ItemSettledT Dispatcher::settled_message_of(const QueuedItem& work) const {
  wire::ItemSettledT message;
  message.job = work.item.job;
  message.index = work.item.index;
  message.failed_runs = work.item.failed_runs;
  message.partial = work.item.partial;
  message.partial_tokens = work.item.partial_tokens;
  message.partial_version = work.item.partial_version;
  message.failure = work.item.failure;
  return message;
}

PeerAddress Dispatcher::manager_of(const QueuedItem& work) const {
  const wire::MemberT* manager = duties_.manager_of(work.item.job);
  return manager == nullptr ? work.manager : PeerAddress(manager->peer_address);
}

void Dispatcher::report(const QueuedItem& work, bool completed) {
  wire::ItemSettledT message = settled_message_of(work);
  message.completed = completed;
  if (completed) {
    message.partial.clear();
  }
  const PeerAddress manager = manager_of(work);
  if (manager != work.manager) {
    // While a manager is leaving, nodes may disagree on its successor.
    send_message(environment_, work.manager, message);
  }
  send_message(environment_, manager, std::move(message));
}

void Dispatcher::confirm_held_items() {
  if (environment_.now() - confirmed_at_ < kConfirmHeldInterval) {
    return;
  }
  confirmed_at_ = environment_.now();
  std::map<PeerAddress, std::map<std::string, std::vector<std::uint32_t>>> held;
  const auto add = [&](const std::string& job, std::uint32_t index, const PeerAddress& manager) {
    held[manager][job].push_back(index);
    const wire::MemberT* present = duties_.manager_of(job);
    if (present != nullptr && manager != PeerAddress(present->peer_address)) {
      held[PeerAddress(present->peer_address)][job].push_back(index);
    }
  };
  for (const QueuedItem& work : queue_) {
    add(work.item.job, work.item.index, work.manager);
  }
  for (const auto& [id, run] : running_) {
    add(run.work.item.job, run.work.item.index, run.work.manager);
  }
  for (const auto& [id, left] : leaving_) {
    add(left.work.item.job, left.work.item.index, left.work.manager);
  }
  for (const auto& [id, work] : unwritten_failures_) {
    add(work.item.job, work.item.index, work.manager);
  }
  for (const auto& [id, one] : settling_) {
    add(one.job, one.index, one.manager);
  }
  for (auto& [manager, jobs] : held) {
    wire::ItemsHeldT message;
    for (auto& [job, indexes] : jobs) {
      auto items = std::make_unique<wire::HeldItemsT>();
      items->job = job;
      items->indexes = std::move(indexes);
      message.jobs.push_back(std::move(items));
    }
    send_message(environment_, manager, std::move(message));
  }
}

void Dispatcher::report_held(const QueuedItem& work) {
  wire::ItemSettledT message = settled_message_of(work);
  message.held = true;
  send_message(environment_, work.manager, std::move(message));
  counters_["batch_items_claimed_total"]++;
}

void Dispatcher::update_managers() {
  if (managers_members_version_ == members_.version()) {
    return;
  }
  managers_members_version_ = members_.version();
  for (auto& [id, running] : running_) {
    PeerAddress manager = manager_of(running.work);
    if (manager != running.work.manager) {
      running.work.manager = std::move(manager);
      report_held(running.work);
    }
  }
  for (auto& [id, left] : leaving_) {
    PeerAddress manager = manager_of(left.work);
    if (manager != left.work.manager) {
      left.work.manager = std::move(manager);
      report_held(left.work);
    }
  }
  std::erase_if(queue_, [this](const QueuedItem& work) {
    const bool moved = manager_of(work) != work.manager;
    if (moved) {
      report(work, false);
    }
    return moved;
  });
}

void Dispatcher::return_surplus_items(std::size_t wanted) {
  constexpr std::size_t kMinKeptItems = 2;
  const std::size_t kept = std::max(kMinKeptItems, 2 * wanted);
  while (queue_.size() > kept) {
    report(queue_.back(), false);
    queue_.pop_back();
  }
}

void Dispatcher::handle(const wire::OnlineActivityT& message) {
  const BackendId id(message.engine);
  Engine& engine = engines_[id];
  GatewayActivity& activity = engine.gateways[message.gateway];
  if (!activity.latest.take(message.number)) {
    return;  // a later message arrived first
  }
  if (message.in_flight > activity.in_flight) {
    const std::uint32_t begun = message.in_flight - activity.in_flight;
    engine.live_call_rate.count(environment_.now(), begun);
    live_call_rate_.count(environment_.now(), begun);
  }
  activity.in_flight = message.in_flight;
  activity.received_at = environment_.now();
  if (guards_.yield_to_online && catalog_.policy().batch_yields) {
    yield_on(id);
  }
}

void Dispatcher::yield_on(const BackendId& id) {
  const routing::Backend* backend = registry_.find(id);
  if (backend == nullptr) {
    return;
  }
  Engine& engine = engines_[id];
  const std::size_t online = online_calls_on(*backend, engine);
  const std::size_t allowed = backend->machine.slots > online ? backend->machine.slots - online : 0;
  while (engine.running > allowed) {
    auto youngest = running_.end();
    for (auto entry = running_.begin(); entry != running_.end(); ++entry) {
      if (entry->second.engine == id &&
          (youngest == running_.end() || entry->second.start_number > youngest->second.start_number)) {
        youngest = entry;
      }
    }
    if (youngest == running_.end()) {
      return;
    }
    requeue(youngest, stop_reason::yields, static_cast<std::uint32_t>(online));
    counters_["batch_items_yielded_total"]++;
    engine.resume_after = environment_.now() + kPauseAfterYield;
  }
}

void Dispatcher::requeue_from_unresponsive_engines() {
  const Timestamp now = environment_.now();
  for (const RunId id : runs_that([&](const RunningItem& run) {
         const routing::Backend* backend = registry_.find(run.engine);
         const bool silent =
             backend != nullptr && backend->open_calls > 0 && now - backend->last_data_at > kUnresponsiveEngineTimeout;
         // A run that has just started may still be waiting for its first event.
         return silent && now - run.started_at >= kUnresponsiveEngineTimeout;
       })) {
    look_up_run(id, stop_reason::engine_unresponsive);
  }
}

void Dispatcher::requeue_without_progress() {
  const Timestamp now = environment_.now();
  for (const RunId id : runs_that([&](const RunningItem& run) { return now - run.progress_at > kProgressTimeout; })) {
    look_up_run(id, stop_reason::no_progress);
  }
}

std::vector<Dispatcher::RunId> Dispatcher::runs_that(const std::function<bool(const RunningItem&)>& holds) const {
  std::vector<RunId> found;
  for (const auto& [id, run] : running_) {
    if (holds(run)) {
      found.push_back(id);
    }
  }
  return found;
}

/// The engine may be silent on this connection alone, and notice no closed connection while it is: the item would run
/// at two engines.
void Dispatcher::look_up_run(RunId id, stop_reason reason) {
  RunningItem& run = running_.at(id);
  if (!guards_.stay_where_run_is) {
    leave_unresponsive(id, reason);
    return;
  }
  if (run.looks_up || environment_.now() < run.next_lookup_at) {
    return;
  }
  run.looks_up = true;
  client_.find_run(run.engine, run.request_id, lifetime_.guard([this, id, reason](routing::run_presence found) {
    on_run_found(id, reason, found);
  }));
}

void Dispatcher::on_run_found(RunId id, stop_reason reason, routing::run_presence found) {
  const auto entry = running_.find(id);
  if (entry == running_.end()) {
    return;
  }
  RunningItem& run = entry->second;
  run.looks_up = false;
  run.next_lookup_at = environment_.now() + kRunLookupInterval;
  counters_["batch_runs_found_" + std::string(routing::run_presence_name(found)) + "_total"]++;
  log_.record("run_looked_up", {{"request", run.request_id},
                                {"backend", run.engine.str()},
                                {"found", routing::run_presence_name(found)},
                                {"after_ms", (environment_.now() - run.started_at) / 1ms}});
  // A run that only waits among others is moved as one that is lost: its engine drops it unrun as the connection
  // closes.
  const bool stays = found == routing::run_presence::running && environment_.now() - run.progress_at < kMaxSilentRun;
  if (!stays) {
    leave_unresponsive(id, reason);
  }
}

void Dispatcher::leave_unresponsive(RunId id, stop_reason reason) {
  const auto run = running_.find(id);
  const BackendId engine = run->second.engine;
  const bool no_progress = reason == stop_reason::no_progress;
  if (no_progress && registry_.is_incarnation(engine, run->second.life)) {
    registry_.on_failure(engine, routing::CallFailure::timed_out);
  }
  engines_[engine].resume_after = environment_.now() + kUnresponsiveEngineTimeout;
  counters_[no_progress ? "batch_items_without_progress_total" : "batch_items_left_silent_engines_total"]++;
  requeue(run, reason, 0);
}

/// Live calls are reported only to the current owner of an engine, so runs of another node would never yield to them.
void Dispatcher::requeue_from_lost_engines() {
  refresh_ownership();
  if (requeued_for_ownership_at_ == ownership_refreshed_at_) {
    return;
  }
  requeued_for_ownership_at_ = ownership_refreshed_at_;
  for (auto entry = running_.begin(); entry != running_.end();) {
    const auto run = entry++;
    const bool listed = registry_.find(run->second.engine) != nullptr;
    if (listed && !owned_engines_.contains(run->second.engine)) {
      counters_["batch_items_left_lost_engines_total"]++;
      requeue(run, stop_reason::engine_lost, 0);
    }
  }
}

std::string_view Dispatcher::stop_reason_name(stop_reason reason) {
  switch (reason) {
    case stop_reason::yields:
      return "yields";
    case stop_reason::engine_unresponsive:
      return "engine_unresponsive";
    case stop_reason::no_progress:
      return "no_progress";
    case stop_reason::engine_lost:
      break;
  }
  return "engine_lost";
}

void Dispatcher::requeue(std::map<RunId, RunningItem>::iterator run, stop_reason reason, std::uint32_t live) {
  client_.cancel(run->second.call);
  RunningItem running = take_running(run->first);
  log_.record("item_yielded", {{"job", running.work.item.job},
                               {"index", running.work.item.index},
                               {"item", item_id_of(running.work)},
                               {"backend", running.engine.str()},
                               {"reason", stop_reason_name(reason)},
                               {"ran_ms", (environment_.now() - running.started_at) / 1ms},
                               {"live", live},
                               {"batch_running", engines_[running.engine].running},
                               {"events", running.work.item.partial_tokens}});
  const bool responds = environment_.now() - running.progress_at < kRecentProgress;
  if (responds || !guards_.stay_where_run_is) {
    queue_again(std::move(running.work));
    return;
  }
  const RunId id = ++next_run_;
  leaving_[id] = {std::move(running.work), running.engine, running.request_id, environment_.now()};
  await_leaving(id);
}

void Dispatcher::queue_again(QueuedItem work) {
  const policy::unfinished_item_state outlook = outlook_of(work);
  const auto later = std::find_if(queue_.begin(), queue_.end(), [&](const QueuedItem& waiting) {
    return !policies_.set.order->before(outlook_of(waiting), outlook);
  });
  queue_.insert(later, std::move(work));
}

void Dispatcher::await_leaving(RunId id) {
  const LeavingItem& left = leaving_.at(id);
  client_.find_run(left.engine, left.request_id,
                   lifetime_.guard([this, id](routing::run_presence found) { on_leaving_found(id, found); }));
}

void Dispatcher::on_leaving_found(RunId id, routing::run_presence found) {
  const auto entry = leaving_.find(id);
  if (entry == leaving_.end()) {
    return;
  }
  const Duration waited = environment_.now() - entry->second.since;
  if (found == routing::run_presence::running && waited < kMaxLeaving) {
    environment_.after(kRunLookupInterval, lifetime_.guard([this, id] {
      if (leaving_.contains(id)) {
        await_leaving(id);
      }
    }));
    return;
  }
  LeavingItem left = std::move(entry->second);
  leaving_.erase(entry);
  counters_["batch_runs_left_" + std::string(routing::run_presence_name(found)) + "_total"]++;
  log_.record("run_left", {{"request", left.request_id},
                           {"backend", left.engine.str()},
                           {"found", routing::run_presence_name(found)},
                           {"waited_ms", waited / 1ms}});
  queue_again(std::move(left.work));
}

void Dispatcher::handle(const wire::JobNoticeT& message) {
  if (!message.cancelled) {
    if (!message.manager.empty()) {
      managers_with_items_.insert(PeerAddress(message.manager));
    }
    ask_interval_ = Duration::zero();
    next_request_at_ = Timestamp{};
    return;
  }
  if (!guards_.stop_cancelled) {
    return;
  }
  std::erase_if(queue_, [&](const QueuedItem& work) { return work.item.job == message.job; });
  std::erase_if(leaving_, [&](const auto& entry) { return entry.second.work.item.job == message.job; });
  std::erase_if(unwritten_failures_, [&](const auto& entry) { return entry.second.item.job == message.job; });
  std::vector<RunId> stopped;
  for (const auto& [id, running] : running_) {
    if (running.work.item.job == message.job) {
      stopped.push_back(id);
    }
  }
  for (const RunId id : stopped) {
    client_.cancel(running_.at(id).call);
    take_running(id);
    counters_["batch_items_cancelled_total"]++;
  }
}

void Dispatcher::drain() {
  draining_ = true;
  for (const QueuedItem& work : queue_) {
    report(work, false);
  }
  queue_.clear();
  for (const auto& [id, left] : leaving_) {
    report(left.work, false);
  }
  leaving_.clear();
  for (const auto& [id, work] : unwritten_failures_) {
    report(work, false);
  }
  unwritten_failures_.clear();
  while (!running_.empty()) {
    const RunId id = running_.begin()->first;
    client_.cancel(running_.at(id).call);
    report(take_running(id).work, false);
  }
}

}  // namespace madderdeck::batch
