#include "routing/registry.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace madderdeck::routing {
namespace {
constexpr std::uint32_t kFailuresToEject = 3;
constexpr Duration kBaseEjectionTime = 2s;
constexpr std::uint32_t kMaxEjectionDoublings = 4;
constexpr Duration kReportFresh = 3s;
constexpr Duration kUnattributedValidFor = 1s;
constexpr double kLatencySmoothing = 0.2;
constexpr std::size_t kMaxEjectedDivisor = 2;  ///< At most one in this many back ends of a pool is ejected.
/// Entries that disappear within this time count as having disappeared together.
constexpr Duration kMassDelistingWindow = 2s;
/// The store of the machine list may apply a back end's last heartbeat this long after its removal. The entry then
/// stays listed until three heartbeats are missed: without this rule 25 requests in 1.5 s went to an engine that had
/// left.
constexpr Duration kLateWriteWindow = 1s;
/// Three heartbeats of 1.2 s plus the time until this node learns of a change: a back end that is still listed then is
/// running.
constexpr Duration kRelistProbation = 4s;
constexpr Duration kMaxStartAhead = 3'600s;            ///< By which a back end's clock may be ahead of this node's.
constexpr Duration kGracePeriodCheckInterval = 450ms;  ///< How often a back end that is no longer listed is checked.
}  // namespace

Registry::Registry(Environment& environment, Counters& counters, const std::string& node, RegistryGuards guards)
    : environment_(environment), counters_(counters), node_hash_(stable_hash(node)), guards_(guards) {}

void Registry::update(const config::VersionedTable& table, const std::vector<config::EntryKey>& keys,
                      Timestamp unchanged_until, bool restored) {
  std::set<std::string> touched;
  for (const config::EntryKey& key : keys) {
    if (key.kind != config::kMachineKind) {
      continue;
    }
    const BackendId id(key.name);
    const config::Entry* entry = table.find(key);
    if (const auto known = backends_.find(id); known != backends_.end()) {
      if (entry == nullptr && known->second.unlisted) {
        continue;  // reported again by another reader of the list; the remaining time is not extended
      }
      const std::vector<std::string>& left = known->second.machine.pools;
      touched.insert(left.begin(), left.end());
      if (entry == nullptr && !known->second.machine.leaving) {
        recently_delisted_[id] = RecentlyDelisted{known->second, {environment_.now(), unchanged_until}};
      }
      remove(id, entry == nullptr);
    }
    if (entry == nullptr) {
      continue;
    }
    const auto parsed = config::parse_machine(key.name, entry->body);
    if (!succeeded(parsed)) {
      counters_["machine_entries_invalid_total"]++;
      continue;
    }
    auto [position, inserted] = backends_.try_emplace(id);
    apply_machine_entry(position->second, with_possible_start(value_of(parsed)));
    position->second.unlisted.reset();
    warm_up_for(position->second, std::chrono::milliseconds(position->second.machine.warm_up_left_ms));
    if (inserted) {
      position->second.life = ++incarnations_;
      withhold_if_just_delisted(position->second);
      position->second.added_at = environment_.now();
    }
    set_restored(position->second, restored);
    recently_delisted_.erase(id);
    join_pools(position->second);
    const std::vector<std::string>& joined = position->second.machine.pools;
    touched.insert(joined.begin(), joined.end());
  }
  version_ += touched.empty() ? 0 : 1;
  for (const std::string& pool : touched) {
    reinstate_delisted(pool);
  }
}

void Registry::join_pools(Backend& backend) {
  for (const std::string& pool : backend.machine.pools) {
    pools_[pool].add(node_hash_, backend);
    versions_.add(pool, backend.machine.software_version, environment_.now());
  }
}

void Registry::remove(const BackendId& id, bool forget) {
  const Backend& backend = backends_.at(id);
  for (const std::string& pool : backend.machine.pools) {
    pools_[pool].remove(node_hash_, backend);
    versions_.remove(pool, backend.machine.software_version, environment_.now());
  }
  if (forget) {
    with_open_calls_.erase(id);
    with_latency_.erase(id);
    unidentified_.erase(id);
    backends_.erase(id);
  }
}

void Registry::set_restored(Backend& backend, bool restored) {
  backend.restored = restored;
  if (restored) {
    unidentified_.insert(backend.machine.id);
  } else {
    unidentified_.erase(backend.machine.id);
  }
}

void Registry::trust_restored() {
  for (const BackendId& id : std::exchange(unidentified_, {})) {
    backends_.at(id).restored = false;
  }
}

void Registry::on_identity(const BackendId& id) {
  if (const auto backend = backends_.find(id); backend != backends_.end()) {
    set_restored(backend->second, false);
  }
}

std::vector<BackendId> Registry::take_unidentified(Timestamp asked_before, std::size_t limit) {
  std::vector<BackendId> due;
  for (const BackendId& id : unidentified_) {
    Backend& backend = backends_.at(id);
    if (due.size() < limit && backend.identity_asked_at <= asked_before) {
      backend.identity_asked_at = environment_.now();
      due.push_back(id);
    }
  }
  return due;
}

bool Registry::is_possible_start(std::uint64_t started_unix_ms) const {
  return started_unix_ms <= environment_.unix_milliseconds() + kMaxStartAhead / 1ms;
}

/// A start in the future would make all later entries of the back end look like those of an earlier incarnation.
config::Machine Registry::with_possible_start(config::Machine machine) {
  if (!is_possible_start(machine.started_unix_ms)) {
    counters_["backend_starts_in_future_total"]++;
    machine.started_unix_ms = 0;
  }
  return machine;
}

void Registry::apply_machine_entry(Backend& backend, config::Machine machine) {
  const std::uint64_t started = backend.machine.started_unix_ms;
  if (started != 0 && machine.started_unix_ms != 0 && machine.started_unix_ms < started) {
    // A late write of the earlier incarnation; the current one writes its entry again with its next heartbeat.
    counters_["backend_entries_of_earlier_life_total"]++;
    return;
  }
  const bool leaves = backend.machine.leaving && !backend.machine.pools.empty();
  const bool same_life = machine.started_unix_ms <= started;
  const bool takes_back = leaves && !machine.leaving && same_life && leave_notice_.count() > 0;
  backend.machine = std::move(machine);
  if (takes_back) {
    backend.machine.leaving = true;
    counters_["backend_returns_doubted_total"]++;
  }
  if (backend.machine.started_unix_ms == 0) {
    backend.machine.started_unix_ms = started;  // an unreadable entry has no start time
  } else if (started != 0 && backend.machine.started_unix_ms > started) {
    begin_incarnation(backend);
  }
}

void Registry::withhold_if_just_delisted(Backend& backend) {
  const auto gone = recently_delisted_.find(backend.machine.id);
  if (gone == recently_delisted_.end() || leave_notice_.count() == 0) {
    return;
  }
  const lapse& how = gone->second.how;
  const bool late_write =
      environment_.now() - how.heard_at < kLateWriteWindow && !list_was_unavailable(how, leave_notice_);
  const bool same_life = backend.machine.started_unix_ms <= gone->second.backend.machine.started_unix_ms;
  if (late_write && same_life) {
    backend.withheld_until = environment_.now() + kRelistProbation;
    counters_["backend_returns_doubted_total"]++;
  }
}

void Registry::begin_incarnation(Backend& backend) {
  Backend anew;
  anew.machine = std::move(backend.machine);
  anew.unlisted = backend.unlisted;
  anew.restored = backend.restored;
  anew.life = ++incarnations_;
  anew.added_at = environment_.now();
  anew.warm_up_until = backend.warm_up_until;
  with_open_calls_.erase(anew.machine.id);
  backend = std::move(anew);
  warm_up_for(backend, warm_up_length(backend));
  counters_["backend_restarts_seen_total"]++;
  if (on_restart) {
    on_restart(backend);
  }
}

bool Registry::is_incarnation(const BackendId& id, std::uint64_t life) const {
  const auto backend = backends_.find(id);
  return backend != backends_.end() && backend->second.life == life;
}

std::size_t Registry::listed_count(const std::string& pool) const {
  const auto known = pools_.find(pool);
  return known == pools_.end() ? 0 : known->second.listed();
}

void Registry::reinstate_delisted(const std::string& pool) {
  if (!guards_.keep_on_mass_delisting) {
    return;
  }
  std::erase_if(recently_delisted_, [this](const auto& entry) {
    return environment_.now() - entry.second.how.heard_at > kMassDelistingWindow;
  });
  std::vector<BackendId> gone;
  for (const auto& [id, vanished] : recently_delisted_) {
    const auto& pools = vanished.backend.machine.pools;
    if (std::find(pools.begin(), pools.end(), pool) != pools.end()) {
      gone.push_back(id);
    }
  }
  const std::size_t listed = listed_count(pool);
  const std::size_t unlisted = pools_[pool].size() - listed;
  if (gone.size() + unlisted <= listed) {
    return;
  }
  for (const BackendId& id : gone) {
    auto node = recently_delisted_.extract(id);
    Backend& backend = backends_[id];
    backend = std::move(node.mapped().backend);
    backend.unlisted = node.mapped().how;
    join_pools(backend);
    if (backend.open_calls > 0) {
      with_open_calls_.insert(id);
    }
    if (backend.latency_ms > 0) {
      with_latency_.insert(id);
    }
    counters_["backend_lapses_doubted_total"]++;
    notify_delisting(id, true, *backend.unlisted);
    end_grace_period(id);
  }
}

Duration Registry::grace_period_left(const Backend& backend) const {
  const std::vector<std::string>& pools = backend.machine.pools;
  const bool whole_pool =
      std::any_of(pools.begin(), pools.end(), [this](const std::string& pool) { return listed_count(pool) == 0; });
  return usable_until(*backend.unlisted, leave_notice_, whole_pool) - environment_.now();
}

void Registry::end_grace_period(const BackendId& id) {
  const Backend* backend = find(id);
  if (backend == nullptr || !backend->unlisted) {
    return;
  }
  const lapse how = *backend->unlisted;
  const Duration left = grace_period_left(*backend);
  if (left.count() > 0 || !guards_.bound_grace_period) {
    // Checked again before the time is over: it shortens once other back ends of the pool are listed again.
    const Duration look = std::clamp(left, Duration(1ms), kGracePeriodCheckInterval);
    environment_.after(look, lifetime_.guard([this, id] { end_grace_period(id); }));
    return;
  }
  remove(id, true);
  notify_delisting(id, false, how);
  ++version_;
}

void Registry::notify_delisting(const BackendId& id, bool kept, const lapse& how) const {
  if (on_lapse) {
    on_lapse(id, kept, how);
  }
}

Backend* Registry::find(const BackendId& id) {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

/// Back ends of a zone that was evacuated may have restarted meanwhile, and their entries may not show it yet.
void Registry::set_evacuated(std::set<std::string> zones) {
  std::swap(evacuated_, zones);
  for (const std::string& zone : zones) {
    if (!evacuated_.contains(zone)) {
      note_possible_restarts(zone);
    }
  }
  ++version_;
}

bool Registry::open(const Backend& backend) const {
  if (!evacuated_.empty() && evacuated_.contains(backend.machine.zone)) {
    return false;
  }
  if (guards_.honour_machine_list && backend.machine.leaving) {
    return false;
  }
  if (environment_.now() < backend.withheld_until || backend.restored) {
    return false;
  }
  // Its time is over, even if end_grace_period has not run yet.
  if (backend.unlisted && guards_.bound_grace_period && grace_period_left(backend).count() <= 0) {
    return false;
  }
  // No recent report: the back end may have begun to leave meanwhile, or this node was frozen.
  if (guards_.need_fresh_reports && environment_.now() - backend.reported_at > kReportFresh) {
    return false;
  }
  // A back end that said it is leaving gets no work until its own load report says otherwise.
  return !guards_.honour_leaving_reports || !backend.reported_leaving;
}

double Registry::gateways_per_engine(const std::string& pool) const {
  const std::size_t size = pool_size(pool);
  if (size == 0) {
    return 1;
  }
  const double share = static_cast<double>(std::min<std::size_t>(size, subset_size_)) / static_cast<double>(size);
  return std::max(1.0, share * static_cast<double>(gateways_));
}

std::vector<Backend*> Registry::subset_of(const std::string& pool) const {
  std::vector<Backend*> used;
  const auto known = pools_.find(pool);
  if (known == pools_.end()) {
    return used;
  }
  const std::set<ranked_pool::member>& members = known->second.in_order();
  used.reserve(std::min<std::size_t>(members.size(), subset_size_));
  for (auto member = members.begin(); member != members.end() && used.size() < subset_size_; ++member) {
    used.push_back(member->backend);
  }
  return used;
}

bool Registry::in_subset(const BackendId& id) const {
  const auto backend = backends_.find(id);
  if (backend == backends_.end()) {
    return false;
  }
  const auto& pools = backend->second.machine.pools;
  return std::any_of(pools.begin(), pools.end(), [this, &backend](const std::string& pool) {
    const std::vector<Backend*> used = subset_of(pool);
    return std::find(used.begin(), used.end(), &backend->second) != used.end();
  });
}

std::vector<Backend*> Registry::candidates(const std::string& pool) {
  std::vector<Backend*> usable;
  std::vector<Backend*> ejected;
  for (Backend* backend : subset_of(pool)) {
    if (open(*backend) && !warm_up_limit(*backend)) {
      (environment_.now() < backend->ejected_until ? ejected : usable).push_back(backend);
    }
  }
  return usable.empty() ? ejected : usable;
}

std::vector<Backend*> Registry::candidates(const std::string& pool, const std::optional<std::string>& version) {
  if (!version || (version->empty() && !versions_stated_)) {
    return candidates(pool);
  }
  const auto known = pools_.find(pool);
  if (known == pools_.end()) {
    return {};
  }
  std::vector<Backend*> usable;
  std::vector<Backend*> ejected;
  for (const ranked_pool::member& member : known->second.in_order()) {
    Backend* backend = member.backend;
    if (may_run_at(*backend, version) && open(*backend) && !warm_up_limit(*backend)) {
      (environment_.now() < backend->ejected_until ? ejected : usable).push_back(backend);
    }
  }
  return usable.empty() ? ejected : usable;
}

bool Registry::may_run_at(const Backend& backend, const std::optional<std::string>& version) const {
  if (!version || !guards_.match_software_version) {
    return true;
  }
  const std::string& own = backend.machine.software_version;
  const bool unstated = version->empty() || own.empty();
  return unstated ? !versions_stated_ : own == *version;
}

bool Registry::serves_version(const std::string& pool, const std::optional<std::string>& version) const {
  const auto known = pools_.find(pool);
  if (known == pools_.end()) {
    return false;
  }
  const std::set<ranked_pool::member>& members = known->second.in_order();
  return std::any_of(members.begin(), members.end(), [&](const ranked_pool::member& member) {
    return may_run_at(*member.backend, version) && !member.backend->machine.leaving && !member.backend->unlisted;
  });
}

void Registry::set_software_version(Backend& backend, std::string version) {
  for (const std::string& pool : backend.machine.pools) {
    versions_.remove(pool, backend.machine.software_version, environment_.now());
    versions_.add(pool, version, environment_.now());
  }
  backend.machine.software_version = std::move(version);
}

std::optional<double> Registry::warm_up_limit(const Backend& backend) const {
  if (environment_.now() >= backend.warm_up_until) {
    return std::nullopt;
  }
  std::optional<double> least;
  for (const std::string& pool : backend.machine.pools) {
    const auto known = warm_ups_.find(pool);
    if (known != warm_ups_.end() && known->second.limits()) {
      least = std::min(least.value_or(known->second.per_second), known->second.per_second);
    }
  }
  return least;
}

Duration Registry::warm_up_length(const Backend& backend) const {
  Duration longest{};
  for (const std::string& pool : backend.machine.pools) {
    const auto known = warm_ups_.find(pool);
    if (known != warm_ups_.end() && known->second.limits()) {
      longest = std::max(longest, known->second.length);
    }
  }
  return longest;
}

void Registry::warm_up_for(Backend& backend, Duration time) {
  if (time <= Duration::zero()) {
    return;
  }
  backend.warm_up_until = std::max(backend.warm_up_until, environment_.now() + time);
  warming_.insert(backend.machine.id);
}

void Registry::note_possible_restart(const BackendId& id) {
  if (Backend* backend = find(id)) {
    warm_up_for(*backend, warm_up_length(*backend));
  }
}

void Registry::note_possible_restarts(const std::string& zone) {
  for (auto& [id, backend] : backends_) {
    if (backend.machine.zone == zone) {
      warm_up_for(backend, warm_up_length(backend));
    }
  }
}

std::vector<Backend*> Registry::warming(const std::string& pool) {
  std::vector<Backend*> found;
  std::erase_if(warming_, [&](const BackendId& id) {
    Backend* backend = find(id);
    if (backend == nullptr || environment_.now() >= backend->warm_up_until) {
      return true;
    }
    const std::vector<std::string>& pools = backend->machine.pools;
    const bool offers = std::find(pools.begin(), pools.end(), pool) != pools.end();
    if (offers && warm_up_limit(*backend) && open(*backend) && environment_.now() >= backend->ejected_until) {
      found.push_back(backend);
    }
    return false;
  });
  return found;
}

std::vector<Backend*> Registry::all_open() {
  std::vector<Backend*> found;
  for (auto& [id, backend] : backends_) {
    if (open(backend)) {
      found.push_back(&backend);
    }
  }
  return found;
}

std::uint64_t Registry::on_sent(const BackendId& id) {
  Backend* backend = find(id);
  if (backend == nullptr) {
    return 0;
  }
  if (backend->open_calls == 0) {
    backend->last_data_at = environment_.now();
    with_open_calls_.insert(id);
  }
  ++backend->open_calls;
  return backend->life;
}

void Registry::on_heard(const BackendId& id) {
  if (Backend* backend = find(id)) {
    backend->last_data_at = environment_.now();
  }
}

void Registry::on_ended(const BackendId& id, std::uint64_t life) {
  Backend* backend = find(id);
  if (backend == nullptr || backend->life != life || backend->open_calls == 0) {
    return;
  }
  if (--backend->open_calls == 0) {
    with_open_calls_.erase(id);
  }
}

void Registry::on_prefill(const BackendId& id, Duration expected) {
  constexpr Duration kMaxPrefill = 1s;  // limits the value that a peer sends
  if (Backend* backend = find(id)) {
    backend->prefill_until = std::max(backend->prefill_until, environment_.now() + std::min(expected, kMaxPrefill));
  }
}

void Registry::on_first_token(const BackendId& id, double milliseconds) {
  if (Backend* backend = find(id)) {
    const double before = backend->latency_ms == 0 ? milliseconds : backend->latency_ms;
    backend->latency_ms = before + kLatencySmoothing * (milliseconds - before);
    backend->latency_at = environment_.now();
    with_latency_.insert(id);
  }
}

void Registry::forget_latencies(Duration age) {
  std::erase_if(with_latency_, [this, age](const BackendId& id) {
    Backend& backend = backends_.at(id);
    const bool old = environment_.now() - backend.latency_at > age;
    backend.latency_ms = old ? 0 : backend.latency_ms;
    return old;
  });
}

void Registry::on_success(const BackendId& id) {
  if (Backend* backend = find(id)) {
    backend->consecutive_failures = 0;
    backend->ejections = 0;
  }
}

void Registry::on_failure(const BackendId& id, CallFailure failure) {
  Backend* backend = find(id);
  if (backend == nullptr || failure == CallFailure::invalid) {
    return;
  }
  if (failure == CallFailure::leaving) {
    backend->reported_leaving = true;
    counters_["backend_said_leaving_total"]++;
    return;
  }
  if (failure == CallFailure::refused || failure == CallFailure::failed_run) {
    return;  // the back end is busy or answers with errors, but it is reachable
  }
  if (on_call_failure) {
    on_call_failure(id, failure);
  }
  if (failure == CallFailure::not_sent) {
    note_possible_restart(id);
  }
  ++backend->consecutive_failures;
  const bool backend_unreachable = failure == CallFailure::not_sent;
  if (backend_unreachable || backend->consecutive_failures >= kFailuresToEject) {
    eject(*backend);
  }
}

void Registry::on_failure_answer(const BackendId& id) {
  if (on_call_failure && backends_.contains(id)) {
    on_call_failure(id, CallFailure::failed_run);
  }
}

std::size_t Registry::ejected_count(const std::string& pool) const {
  const auto known = pools_.find(pool);
  if (known == pools_.end()) {
    return 0;
  }
  const std::set<ranked_pool::member>& members = known->second.in_order();
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [this](const auto& member) {
    return environment_.now() < member.backend->ejected_until;
  }));
}

void Registry::eject(Backend& backend) {
  for (const std::string& pool : backend.machine.pools) {
    const std::size_t size = pools_[pool].size();
    if (size > 1 && (ejected_count(pool) + 1) * kMaxEjectedDivisor > size) {
      counters_["backend_ejections_capped_total"]++;
      return;
    }
  }
  const std::uint32_t doublings = std::min(backend.ejections++, kMaxEjectionDoublings);
  backend.ejected_at = environment_.now();
  backend.ejected_until = environment_.now() + kBaseEjectionTime * (1U << doublings);
  counters_["backend_ejections_total"]++;
}

bool Registry::accepts_items(const Backend& backend) const {
  const Timestamp now = environment_.now();
  return now >= backend.ejected_until || now - backend.ejected_at >= kMaxEjectionForItems;
}

std::uint32_t Registry::unattributed(const Backend& backend) const {
  return environment_.now() - backend.reported_at < kUnattributedValidFor ? backend.unattributed : 0;
}

void Registry::on_report(const BackendId& id, const LoadReport& report, Timestamp asked_at) {
  Backend* backend = find(id);
  if (backend == nullptr || asked_at < backend->reported_at) {
    return;
  }
  if (report.started_unix_ms != 0 && report.started_unix_ms < backend->machine.started_unix_ms) {
    counters_["backend_reports_of_earlier_life_total"]++;
    return;
  }
  const bool restarted =
      backend->machine.started_unix_ms != 0 && report.started_unix_ms > backend->machine.started_unix_ms;
  if (restarted && is_possible_start(report.started_unix_ms)) {
    backend->machine.started_unix_ms = report.started_unix_ms;
    // The entry is of the earlier incarnation; the next one states the version.
    set_software_version(*backend, "");
    begin_incarnation(*backend);
  }
  const open_calls others = shared_ == nullptr ? open_calls{} : shared_->at(id);
  const std::uint32_t known = backend->online_in_flight + backend->batch_in_flight + others.live + others.batch;
  const std::uint32_t reported = report.running_online + report.running_batch + report.waiting;
  const std::uint32_t excess = reported > known ? reported - known : 0;
  // The excess of a single report may only mean that the report is out of date, so two must agree.
  const bool first = backend->reported_at.count() == 0;
  backend->unattributed = first ? excess : std::min(excess, backend->last_unattributed);
  backend->last_unattributed = excess;
  backend->report = report;
  backend->online_in_flight_at_report = backend->online_in_flight;
  backend->reported_at = asked_at;
  backend->reported_leaving = report.leaving;
}

}  // namespace madderdeck::routing
