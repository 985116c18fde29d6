#include "node/node_core.hpp"

#include "membership/ranking.hpp"

namespace madderdeck::node {
namespace {
/// A request that a stopping node sends later than this before its end would likely be cut off.
constexpr Duration kTimeToRunBeforeEnd = 2s;
constexpr Duration kActivityIncreaseDelay = 2ms;   ///< Changes within this time share a message.
constexpr Duration kActivityDecreaseDelay = 20ms;  ///< Delay for reports of a lower count.
constexpr Duration kActivityRefreshInterval = 1s;
constexpr Duration kStartupPeriod = 2s;
constexpr Duration kQueueReportInterval = 250ms;
constexpr int kCoordinatedPollFactor = 4;
/// Requests that a dead node had sent keep running for some seconds, and only the back ends' load reports show them.
constexpr Duration kPollAllAfterDeath = 5s;
/// In fleets of at most this many nodes the complete list of back ends is small, so a starting node pulls it from any
/// peer.
constexpr std::size_t kSmallFleetNodes = 200;
/// Time for which dead nodes still get suspicion messages. A node that was declared dead by mistake has refuted it
/// after this time, even if 30 in 100 messages are lost.
constexpr Duration kSuspicionsToDeadFor = 10s;
/// A node from which this node received a message within this time counts as reachable, whatever others report of it.
constexpr Duration kReachableAfterMessage = 1s;
/// A node to which most others became unreachable within this time assumes that it is disconnected itself; members that
/// died longer ago count as gone.
constexpr Duration kDisconnectionWindow = 60s;
constexpr Duration kIdentityCheckInterval = 100ms;
constexpr Duration kIdentityRetryInterval = 1s;
constexpr std::size_t kMaxIdentitiesAskedAtOnce = 32;  ///< In each kIdentityCheckInterval.
constexpr Duration kUnknownKindLogInterval = 10s;  ///< Minimum time between log lines about messages of unknown kinds.
}  // namespace

using membership::has_role;
using membership::Role;

NodeCore::NodeCore(NodeDependencies dependencies, NodeOptions options)
    : environment(dependencies.environment),
      counters(dependencies.counters),
      log(dependencies.log),
      guards_(options.guards),
      storage_(dependencies.storage),
      backends_(dependencies.backends),
      platform_(dependencies.platform),
      load_poll_(options.load_poll),
      loads_pushed_(options.loads_pushed),
      key_trust_(options.key_trust),
      handover_copies_(ledger::least_copies(options.controller.replicas)),
      objects(
          environment, counters, wire::TableId::Objects,
          [this](std::size_t count) { return members.random_peers(count); },
          [this](const std::vector<config::EntryKey>& keys) {
            store_change(wire::TableId::Objects, keys);
            on_objects_changed(keys);
          }),
      machines(
          environment, counters, wire::TableId::Machines,
          [this](std::size_t count) { return members.random_peers(count); },
          [this](const std::vector<config::EntryKey>& keys) {
            store_change(wire::TableId::Machines, keys);
            on_machines_changed(keys);
          }),
      groups(
          environment, counters, wire::TableId::Groups,
          [this](std::size_t count) { return members.random_peers(count); },
          [this](const std::vector<config::EntryKey>& keys) {
            store_change(wire::TableId::Groups, keys);
            on_objects_changed(keys);
          }),
      evacuations(
          environment, counters, wire::TableId::Evacuations,
          [this](std::size_t count) { return members.random_peers(count); },
          [this](const std::vector<config::EntryKey>& keys) {
            store_change(wire::TableId::Evacuations, keys);
            on_evacuations_changed();
          }),
      members(environment, counters, options.self, options.seeds, make_hooks(), options.membership),
      remembered_peers(environment, counters, log, members),
      duties(members),
      ledger(
          environment, counters, [this](const NodeId& node) { return members.address_of(node); }, options.ledger,
          [this](const NodeId& node) { return members.distance_to(node); }),
      results(environment, counters, ledger, log),
      submissions(environment, counters, log),
      registry(environment, counters, options.self.id, options.guards.registry),
      claims(environment, ledger, options.guards.claims),
      live(
          environment, counters, registry, dependencies.backends,
          [this](const BackendId& engine, std::uint32_t in_flight) { on_online_activity(engine, in_flight); },
          options.guards.live),
      services(environment, counters, registry, dependencies.backends, claims, options.guards.service),
      detector(environment, counters, log, dependencies.backends),
      quarantine(
          environment, counters, log, detector, [this] { return suspicion_peers(); },
          [this](const BackendId& backend) { return is_leaving(backend); }, options.guards.quarantine),
      streams(environment, counters, log, registry, members, options.guards.streams),
      limiter(environment, counters, log, members, options.rate_window),
      declarations(environment, counters, dependencies.platform, options.guards.declarations) {
  objects.table().reject_older_entries = options.guards.reject_older_config;
  if (dependencies.upstream != nullptr) {
    forwarder = std::make_unique<forwarding::Forwarder>(
        environment, counters, log, registry, *dependencies.upstream,
        [this](const BackendId& engine, std::uint32_t in_flight) { on_online_activity(engine, in_flight); },
        options.guards.forward);
    forwarder->set_repeat_guard(quarantine);
    quarantine.on_quarantined = [this] { forwarder->end_quarantined(); };
    forwarder->use_directory(streams);
    forwarder->allow_warming([this](const routing::Backend& backend) { return allows_warming(backend); });
    forwarder->on_prefill([this](const BackendId& engine, Duration expected) { announce_prefill(engine, expected); });
  }
  machines.prefer_near(
      [this](const PeerAddress& peer) { return members.live_count() <= kSmallFleetNodes || members.is_near(peer); });
  registry.set_leave_notice(options.leave_notice);
  registry.set_versions_stated(dependencies.platform.states_software_versions());
  registry.use_list_age([this] { return environment.now() - machines.as_of(); });
  registry.on_lapse = [this](const BackendId& backend, bool kept, const routing::lapse& how) {
    log.record(kept ? "backend_lapse_doubted" : "backend_lapse_believed",
               {{"backend", backend.str()},
                {"heard_ms_ago", (environment.now() - how.heard_at) / 1ms},
                {"listed_ms_ago", (environment.now() - how.unchanged_until) / 1ms},
                {"list_age_ms", machines.age_ms()},
                {"revision", machines.table().revision()}});
  };
  registry.on_restart = [this](const routing::Backend& backend) {
    log.record("backend_restarted",
               {{"backend", backend.machine.id.str()}, {"started_unix_ms", backend.machine.started_unix_ms}});
  };
  live.set_repeat_guard(quarantine);
  services.set_repeat_guard(quarantine);
  shares_calls_ = options.policies.shared_calls;
  coordinates_ = options.policies.coordinated;
  call_order_ = options.policies.calls;
  catalog.set_default_policy(options.default_policy);
  registry.set_subset_size(options.default_policy.subset_size);
  if (has_role(options.self, Role::ledger) && dependencies.storage != nullptr) {
    replica = std::make_unique<ledger::Replica>(
        environment, *dependencies.storage, counters, NodeId(options.self.id), DiskId(options.self.disk_id),
        [this](const NodeId& node) { return members.address_of(node); }, options.guards.replica);
    replica_journal = std::make_unique<ledger::replica_journal>(environment, log, *replica);
    keep_tables();
    if (options.guards.changes.protect_members_seen_up) {
      // If most of the fleet is unreachable, this node itself is probably disconnected, so no member counts as gone.
      replica->is_there = [this](const ledger::ReplicaIdentity& member) {
        return is_there(member) || most_of_fleet_unreachable();
      };
    }
  }
  group_health = std::make_unique<ledger::group_health>(environment, counters, log, ledger, replica.get(),
                                                        [this](const NodeId& node) { return members.find(node); });
  group_health->set_loss_criteria(
      // Uses the fleet policy's time rather than a deployment's shorter one: members are replaced after that time, but
      // most of their machines come back.
      [this]() -> Duration { return std::chrono::seconds(catalog.policy().replace_ledger_node_after_s); },
      [this](const NodeId& node) { return retirement ? retirement->is_drained(node) : std::nullopt; });
  if (has_role(options.self, Role::scheduler)) {
    jobs = std::make_unique<batch::JobManager>(environment, counters, ledger, members, duties, log,
                                               options.policies.order, estimate, options.guards.manager);
    queues = std::make_unique<batch::queue_limiter>(environment, counters, ledger, members, log);
    batch::DispatchPolicies policies{options.policies, &estimate, [this] { return observed_time_to_yield(); }};
    dispatcher = std::make_unique<batch::Dispatcher>(environment, counters, ledger, members, catalog, registry,
                                                     dependencies.backends, log, duties, std::move(policies),
                                                     options.guards.dispatch);
  }
  if (replica && dependencies.platform.has_retirements()) {
    retirement = std::make_unique<object_store::Retirement>(environment, counters, log, members, *replica, ledger,
                                                            dependencies.platform, handover_copies_);
  }
  if (has_role(options.self, Role::controller)) {
    object_store::ControllerOptions controller_options = options.controller;
    controller_options.changes = options.guards.changes;
    controller = std::make_unique<object_store::Controller>(environment, counters, members, objects, machines, groups,
                                                            evacuations, catalog, ledger, dependencies.platform,
                                                            declarations, log, controller_options);
  }
}

void NodeCore::keep_tables() {
  kept_tables =
      std::make_unique<stored_tables>(environment, counters, log, members, [this] { return disks_of_own_groups(); });
  kept_tables->add(wire::TableId::Objects, objects);
  kept_tables->add(wire::TableId::Machines, machines);
  kept_tables->add(wire::TableId::Groups, groups);
  kept_tables->add(wire::TableId::Evacuations, evacuations);
}

std::set<ledger::ReplicaIdentity> NodeCore::disks_of_own_groups() const {
  std::set<ledger::ReplicaIdentity> disks;
  for (const auto& [group, description] : replica->descriptions()) {
    disks.insert(description.replicas.begin(), description.replicas.end());
  }
  return disks;
}

void NodeCore::store_change(wire::TableId id, const std::vector<config::EntryKey>& keys) {
  if (kept_tables) {
    kept_tables->on_changed(id, keys);
  }
}

void NodeCore::note_confirmed(const config::TableReplicator& table) {
  log.record("restored_table_confirmed", {{"table", table.name()},
                                          {"revision", table.table().revision()},
                                          {"age_ms", table.age_ms()},
                                          {"up_ms", (environment.now() - started_at_) / 1ms}});
  if (&table == &machines) {
    registry.trust_restored();
  }
}

membership::Hooks NodeCore::make_hooks() {
  membership::Hooks hooks;
  hooks.local_revisions = [this] {
    return membership::TableRevisions{objects.table().revision(), machines.table().revision(),
                                      groups.table().revision(),  objects.age_ms(),
                                      machines.age_ms(),          evacuations.table().revision()};
  };
  hooks.on_peer_revisions = [this](const PeerAddress& peer, const membership::TableRevisions& revisions) {
    objects.on_peer_revision(peer, revisions.objects, revisions.objects_age_ms);
    machines.on_peer_revision(peer, revisions.machines, revisions.machines_age_ms);
    groups.on_peer_revision(peer, revisions.groups);
    evacuations.on_peer_revision(peer, revisions.evacuations);
  };
  hooks.on_change = [this](const wire::MemberT& member) {
    if (member.state == wire::MemberState::Dead) {
      poll_all_until_ = environment.now() + kPollAllAfterDeath;
    } else if (member.id != members.self().id) {
      streams.on_member_found();
    }
    if (on_member_change) {
      on_member_change(member);
    }
  };
  hooks.on_self_refuted = [this] {
    if (replica) {
      replica->catch_up();
    }
  };
  hooks.on_fleet_not_found = [this](const membership::fleet_search& search) { log_fleet_not_found(search); };
  hooks.on_fleet_found = [this](const membership::fleet_search& search, const PeerAddress& by,
                                membership::discovery_source who) {
    log.record("fleet_joined", {{"node", members.self().id},
                                {"by", membership::name_of(who)},
                                {"address", by.str()},
                                {"alone_ms", search.alone(environment.now()) / 1ms},
                                {"at_start", search.at_start()},
                                {"seeds_asked", search.seeds_asked},
                                {"remembered_asked", search.remembered_asked}});
  };
  return hooks;
}

void NodeCore::log_fleet_not_found(const membership::fleet_search& search) {
  constexpr std::size_t kSeedsNamed = 8;
  std::string seeds;
  for (std::size_t number = 0; number < std::min(kSeedsNamed, members.seeds().size()); ++number) {
    seeds += (seeds.empty() ? "" : ", ") + members.seeds()[number].str();
  }
  log.record("fleet_not_found", {{"node", members.self().id},
                                 {"alone_ms", search.alone(environment.now()) / 1ms},
                                 {"at_start", search.at_start()},
                                 {"seeds", seeds},
                                 {"seeds_asked", search.seeds_asked},
                                 {"remembered_peers", members.remembered().size()},
                                 {"remembered_asked", search.remembered_asked},
                                 {"dead_members", members.members().size() - 1}});
}

void NodeCore::start() {
  started_at_ = environment.now();
  poll_all_until_ = started_at_ + kPollAllAfterDeath;
  if (replica) {
    remembered_peers.store_in(*storage_);
  }
  members.start();
  limiter.start();
  if (replica) {
    quarantine.store_in(*storage_);
  }
  quarantine.list_in_store(platform_);
  quarantine.start();
  for (config::TableReplicator* table : {&objects, &machines, &groups, &evacuations}) {
    table->on_confirmed = [this, table] { note_confirmed(*table); };
  }
  if (replica) {
    replica_journal->start();
    replica->restore();
    kept_tables->store_in(*storage_);
  }
  start_watching_groups();
  if (retirement) {
    retirement->start();
  }
  if (jobs) {
    jobs->start();
    dispatcher->start();
    queues->start();
    report_queues();
  }
  if (controller) {
    controller->start();
  }
  if (shares_calls_) {
    start_sharing_calls();
  }
  if (coordinates_ && forwarder) {
    start_coordination();
  }
  refresh_activity();
  poll_loads();
}

void NodeCore::start_watching_groups() {
  ledger.on_request_sent = [this](const NodeId& node) { group_health->on_request_sent(node); };
  ledger.on_refusal = [this](const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch,
                             wire::ReplicaStatus status) { group_health->on_refusal(sender, group, epoch, status); };
  ledger.on_granted = [this](const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch) {
    group_health->on_granted(sender, group, epoch);
  };
  group_health->start();
}

void NodeCore::start_sharing_calls() {
  announcer = std::make_unique<routing::call_announcer>(
      environment, counters, registry, members.self().id, [this] { return other_gateways(); },
      [this](const BackendId& engine) { return dispatcher && dispatcher->owns(engine); });
  registry.set_shared_calls(&shared_calls);
  announcer->start();
  if (dispatcher) {
    dispatcher->on_batch_activity = [this](const BackendId& engine) { on_calls_changed(engine); };
  }
}

void NodeCore::start_coordination() {
  const wire::MemberT& self = members.self();
  coordinator =
      std::make_unique<placement::coordinator>(environment, counters, log, registry, duties, self, call_order_);
  places = std::make_unique<placement::place_client>(environment, counters, log, registry, duties, self, *coordinator);
  call_reporter =
      std::make_unique<placement::call_reporter>(environment, counters, registry, *places, duties, self, *coordinator);
  coordinator->start();
  call_reporter->start();
  forwarder->use_placer(*places);
  places->on_unused_assignment = [this](const BackendId& engine) { call_reporter->changed(engine); };
  registry.on_first_token_time = [this](const BackendId& engine, double milliseconds) {
    call_reporter->first_token(engine, milliseconds);
  };
  registry.on_call_failure = [this](const BackendId& engine, routing::CallFailure failure) {
    const bool unreachable = failure == routing::CallFailure::not_sent;
    call_reporter->failed(
        engine, unreachable ? placement::call_failure_kind::unreachable : placement::call_failure_kind::broken);
  };
}

void NodeCore::on_calls_changed(const BackendId& engine) {
  if (call_reporter) {
    call_reporter->changed(engine);
    coordinator->on_calls_changed();
  }
  if (announcer) {
    announcer->changed(engine);
  }
}

std::vector<PeerAddress> NodeCore::other_gateways() const {
  std::vector<PeerAddress> others;
  for (const wire::MemberT* gateway : members.available(Role::gateway)) {
    if (gateway->id != members.self().id) {
      others.emplace_back(gateway->peer_address);
    }
  }
  return others;
}

std::vector<PeerAddress> NodeCore::suspicion_peers() const {
  // Includes recently dead nodes, since a node that is wrongly declared dead keeps sending requests: in two groups of
  // nodes that declared each other dead, one request terminated three engines in each group.
  std::set<PeerAddress> others;
  for (const wire::MemberT* member : members.others_except_long_dead(kSuspicionsToDeadFor)) {
    if (has_role(*member, Role::gateway) || has_role(*member, Role::scheduler) || has_role(*member, Role::ledger)) {
      others.insert(PeerAddress(member->peer_address));
    }
  }
  others.erase(PeerAddress(members.self().peer_address));
  return {others.begin(), others.end()};
}

bool NodeCore::is_leaving(const BackendId& backend) {
  const routing::Backend* known = registry.find(backend);
  return known != nullptr && (known->machine.leaving || known->reported_leaving);
}

Duration NodeCore::observed_time_to_yield() const {
  const Duration own = forwarder ? forwarder->time_to_yield() : Duration::zero();
  return std::max(own, coordinated() ? coordinator->calls().time_to_yield() : shared_calls.time_to_yield());
}

void NodeCore::on_objects_changed(const std::vector<config::EntryKey>& keys) {
  const bool of_groups = !keys.empty() && keys.front().kind == config::kReplicaGroupsKind;
  const bool apart = of_groups && groups.table().find(keys.front()) != nullptr;
  catalog.update(apart ? groups.table() : objects.table(), keys);
  live.set_policy(catalog.policy());
  services.set_policy(catalog.policy());
  if (catalog.routes() != reported_routes_) {
    reported_routes_ = catalog.routes();
    for (const forwarding::Pool& pool : reported_routes_->pools) {
      registry.set_warm_up(pool.name, {std::chrono::milliseconds(pool.warm_up_ms), pool.warm_up_per_second});
    }
    log.record("routes_taken", {{"version", reported_routes_->version},
                                {"routes", reported_routes_->routes.size()},
                                {"revision", objects.table().revision()},
                                {"restored", objects.is_restored()}});
    if (queues) {
      std::uint64_t least = 0;
      for (const forwarding::Route& route : reported_routes_->routes) {
        const std::uint64_t limit = route.max_queued_tokens;
        least = limit > 0 && (least == 0 || limit < least) ? limit : least;
      }
      queues->set_lowest_limit(least);
    }
    if (on_routes_change) {
      on_routes_change(*reported_routes_);
    }
    begin_identifying();
    tell_configured();
  }
  for (const config::EntryKey& key : keys) {
    if (key.kind == config::kReplicaGroupsKind) {
      ledger.on_group_map(catalog.groups());
      if (replica) {
        exchange_group_epochs();
      }
    }
  }
}

void NodeCore::exchange_group_epochs() {
  // The replica's disk may hold later epochs than the platform's store, and perhaps no other node knows them any more.
  for (const auto& [group, description] : replica->descriptions()) {
    ledger.learn(group, description);
  }
  replica->on_group_map(ledger.group_map());
}

void NodeCore::on_disk_refused() {
  if (replica) {
    replica->suspend();
  }
}

void NodeCore::on_disk_opened(const DiskId& disk) {
  if (!replica) {
    return;
  }
  members.set_disk(disk.str());
  replica->set_disk(disk);
  quarantine.store_in(*storage_);
  on_disk_regained();
}

void NodeCore::on_disk_regained() {
  if (replica) {
    remembered_peers.store_in(*storage_);
    replica->resume();
    exchange_group_epochs();
    kept_tables->store_in(*storage_);
  }
}

void NodeCore::on_evacuations_changed() {
  std::set<std::string> zones;
  for (const config::Entry* entry : evacuations.table().list(config::kEvacuationKind)) {
    zones.insert(entry->key.name);
    log.record("zone_evacuated", {{"zone", entry->key.name}, {"revision", entry->revision}});
  }
  log.record("evacuations_taken", {{"zones", zones.size()}, {"revision", evacuations.table().revision()}});
  registry.set_evacuated(std::move(zones));
}

void NodeCore::on_machines_changed(const std::vector<config::EntryKey>& keys) {
  registry.update(machines.table(), keys, machines.unchanged_until(), machines.is_restored());
  streams.on_back_ends_changed();
  begin_identifying();
  tell_configured();
  // A starting node learns of all back ends at once; one line per back end would be most of its log.
  constexpr std::size_t kMaxListedSeparately = 16;
  const bool apart = keys.size() <= kMaxListedSeparately;
  if (!apart) {
    log.record("backends_listed", {{"changed", keys.size()},
                                   {"known", registry.backends().size()},
                                   {"revision", machines.table().revision()},
                                   {"list_age_ms", machines.age_ms()}});
  }
  for (const config::EntryKey& key : keys) {
    const routing::Backend* backend = registry.find(BackendId(key.name));
    if (apart) {
      log.record("backend_listed",
                 {{"backend", key.name},
                  {"state", backend == nullptr ? "gone" : (backend->machine.leaving ? "leaving" : "live")},
                  {"revision", machines.table().revision()},
                  {"list_age_ms", machines.age_ms()}});
    }
    // Requests that this node and others sent in an earlier incarnation may still run, and only load reports show them.
    // In a large fleet the dispatchers fetch the reports; otherwise each start would cause one load report for each
    // pair of node and engine.
    const bool few = registry.backends().size() <= routing::kMaxBackendsBeforeFleetKnown;
    const bool just_started = few && environment.now() - started_at_ < kStartupPeriod;
    if (just_started && shares_calls_ && !duties.divided() && forwarder && backend != nullptr &&
        backend->reported_at.count() == 0) {
      fetch_load(backend->machine.id);
    }
  }
}

void NodeCore::begin_identifying() {
  if (identifies_ || !catalog.routes() || !registry.has_unidentified()) {
    return;  // the routes name the paths at which back ends are asked
  }
  identifying_since_ = environment.now();
  identify_restored();
}

void NodeCore::identify_restored() {
  const Timestamp asked_before = environment.now() - kIdentityRetryInterval;
  for (const BackendId& id : registry.take_unidentified(asked_before, kMaxIdentitiesAskedAtOnce)) {
    ask_identity(id);
  }
  identifies_ = registry.has_unidentified();
  if (identifies_) {
    environment.after(kIdentityCheckInterval, lifetime_.guard([this] { identify_restored(); }));
  }
}

std::optional<std::string> NodeCore::health_path_of(const BackendId& id) const {
  const auto backend = registry.backends().find(id);
  if (backend == registry.backends().end()) {
    return std::nullopt;
  }
  for (const std::string& name : backend->second.machine.pools) {
    const forwarding::Pool* pool = catalog.routes()->find_pool(name);
    if (pool != nullptr) {
      return pool->health_path;
    }
  }
  return std::string();
}

void NodeCore::ask_identity(const BackendId& id) {
  const std::optional<std::string> path = health_path_of(id);
  if (!path) {
    return;
  }
  if (path->empty()) {
    registry.on_identity(id);
    return;
  }
  counters["restored_backends_asked_total"]++;
  backends_.check_identity(id, *path, lifetime_.guard([this, id](routing::identity_answer found) {
    const bool same = found == routing::identity_answer::same;
    log.record("restored_backend_asked", {{"backend", id.str()},
                                          {"outcome", routing::identity_answer_name(found)},
                                          {"revision", machines.table().revision()}});
    if (same) {
      registry.on_identity(id);
      tell_configured();
    }
  }));
}

/// Handles a message of a kind that only a later version knows, while versions run side by side. The other messages of
/// its frame are still processed.
void NodeCore::note_unknown_kind(const PeerAddress& sender, unsigned kind) {
  counters["peer_messages_unknown_total"]++;
  if (unknown_kind_logged_at_ && environment.now() - *unknown_kind_logged_at_ < kUnknownKindLogInterval) {
    return;
  }
  unknown_kind_logged_at_ = environment.now();
  log.record("peer_message_unknown",
             {{"peer", sender.str()}, {"kind", kind}, {"in_all", counters["peer_messages_unknown_total"]}});
}

void NodeCore::handle(const wire::Incoming& incoming) {
  const wire::MessageUnion& body = incoming.body;
  const PeerAddress& sender = incoming.sender;
  if (body.value == nullptr && body.type != wire::Message::NONE) {
    note_unknown_kind(sender, static_cast<unsigned>(body.type));
    return;
  }
  const auto table_of = [this](wire::TableId id) -> config::TableReplicator& {
    switch (id) {
      case wire::TableId::Machines:
        return machines;
      case wire::TableId::Groups:
        return groups;
      case wire::TableId::Evacuations:
        return evacuations;
      case wire::TableId::Objects:
        break;
    }
    return objects;
  };
  switch (body.type) {
    case wire::Message::Ping:
      members.handle(sender, *body.AsPing());
      break;
    case wire::Message::PingRequest:
      members.handle(sender, *body.AsPingRequest());
      break;
    case wire::Message::Ack:
      members.handle(sender, *body.AsAck());
      break;
    case wire::Message::MemberSync:
      members.handle(sender, *body.AsMemberSync());
      break;
    case wire::Message::MemberDigests:
      members.handle(sender, *body.AsMemberDigests());
      break;
    case wire::Message::RevisionNotice:
      table_of(body.AsRevisionNotice()->table)
          .on_peer_revision(sender, body.AsRevisionNotice()->revision, body.AsRevisionNotice()->age_ms);
      break;
    case wire::Message::RevisionQuestion:
      if (!kept_tables || !kept_tables->handle(sender, *body.AsRevisionQuestion())) {
        table_of(body.AsRevisionQuestion()->table).handle(sender, *body.AsRevisionQuestion());
      }
      break;
    case wire::Message::RevisionAnswer:
      if (!kept_tables || !kept_tables->handle(sender, *body.AsRevisionAnswer())) {
        table_of(body.AsRevisionAnswer()->table).handle(*body.AsRevisionAnswer());
      }
      break;
    case wire::Message::TablePull:
      table_of(body.AsTablePull()->table).handle(sender, *body.AsTablePull());
      break;
    case wire::Message::TableDelta:
      table_of(body.AsTableDelta()->table).handle(sender, *body.AsTableDelta());
      break;
    case wire::Message::Prepare:
      if (replica) {
        replica->handle(sender, *body.AsPrepare());
      }
      break;
    case wire::Message::Accept:
      if (replica) {
        replica->handle(sender, *body.AsAccept());
      }
      break;
    case wire::Message::ScanRequest:
      if (replica) {
        replica->handle(sender, *body.AsScanRequest());
      }
      break;
    case wire::Message::CopyRequest:
      if (replica) {
        replica->handle(sender, *body.AsCopyRequest());
        if (body.AsCopyRequest()->description) {
          ledger.learn(body.AsCopyRequest()->group, ledger::from_wire(*body.AsCopyRequest()->description));
        }
      }
      break;
    case wire::Message::CopyReply:
      if (replica) {
        replica->handle(sender, *body.AsCopyReply());
      }
      break;
    case wire::Message::Promise:
      group_health->on_heard(sender);
      ledger.handle(sender, *body.AsPromise());
      break;
    case wire::Message::Accepted:
      group_health->on_heard(sender);
      ledger.handle(sender, *body.AsAccepted());
      break;
    case wire::Message::ScanReply:
      group_health->on_heard(sender);
      ledger.handle(sender, *body.AsScanReply());
      break;
    case wire::Message::AdoptGroup:
      if (body.AsAdoptGroup()->description) {
        const ledger::ReplicaGroup description = ledger::from_wire(*body.AsAdoptGroup()->description);
        ledger.learn(body.AsAdoptGroup()->group, description);
        if (replica) {
          replica->adopt_group(body.AsAdoptGroup()->group, description);
        }
      }
      break;
    case wire::Message::CopyStatusRequest:
      if (replica) {
        replica->handle(sender, *body.AsCopyStatusRequest());
      }
      break;
    case wire::Message::CopyStatus:
      if (replica) {
        replica->handle(*body.AsCopyStatus());
      }
      group_health->handle(sender, *body.AsCopyStatus());
      if (controller) {
        controller->handle(sender, *body.AsCopyStatus());
      }
      break;
    case wire::Message::JobNotice:
      if (jobs) {
        jobs->handle(*body.AsJobNotice());
        if (body.AsJobNotice()->cancelled) {
          queues->close(JobId(body.AsJobNotice()->job));
        }
        dispatcher->handle(*body.AsJobNotice());
      }
      break;
    case wire::Message::QueueReport:
      if (queues) {
        queues->handle(*body.AsQueueReport());
      }
      break;
    case wire::Message::QueueGrantRequest:
      if (queues) {
        queues->handle(sender, *body.AsQueueGrantRequest());
      }
      break;
    case wire::Message::QueueGrantReply:
      if (queues) {
        queues->handle(*body.AsQueueGrantReply());
      }
      break;
    case wire::Message::TakeItems:
      if (jobs) {
        jobs->handle(sender, *body.AsTakeItems());
      }
      break;
    case wire::Message::GiveItems:
      if (dispatcher) {
        dispatcher->handle(sender, *body.AsGiveItems());
      }
      break;
    case wire::Message::ItemSettled:
      if (jobs) {
        jobs->handle(sender, *body.AsItemSettled());
      }
      break;
    case wire::Message::ItemsHeld:
      if (jobs) {
        jobs->handle(sender, *body.AsItemsHeld());
      }
      break;
    case wire::Message::OnlineActivity:
      if (dispatcher) {
        dispatcher->handle(*body.AsOnlineActivity());
      }
      break;
    case wire::Message::EngineActivity:
      if (coordinated()) {
        coordinator->take(*body.AsEngineActivity());
      } else {
        shared_calls.take(*body.AsEngineActivity(), environment.now());
      }
      break;
    case wire::Message::PlaceRequest:
      if (coordinator) {
        coordinator->handle(sender, *body.AsPlaceRequest());
      }
      break;
    case wire::Message::PlaceReply:
      if (places) {
        places->handle(sender, *body.AsPlaceReply());
      }
      break;
    case wire::Message::PlaceWithdrawal:
      if (coordinator) {
        coordinator->handle(*body.AsPlaceWithdrawal());
      }
      break;
    case wire::Message::EngineFailure:
      if (coordinator) {
        coordinator->handle(*body.AsEngineFailure());
      }
      break;
    case wire::Message::PlaceRoom:
      if (coordinator) {
        coordinator->handle(*body.AsPlaceRoom());
      }
      break;
    case wire::Message::RateRequest:
      limiter.handle(sender, *body.AsRateRequest());
      break;
    case wire::Message::RateReply:
      limiter.handle(*body.AsRateReply());
      break;
    case wire::Message::SuspicionNews:
      quarantine.handle(sender, *body.AsSuspicionNews());
      break;
    case wire::Message::SuspicionDigest:
      quarantine.handle(sender, *body.AsSuspicionDigest());
      break;
    case wire::Message::SuspicionSync:
      quarantine.handle(sender, *body.AsSuspicionSync());
      break;
    case wire::Message::StreamRecord:
      streams.handle(*body.AsStreamRecord());
      break;
    case wire::Message::StreamQuestion:
      streams.handle(sender, *body.AsStreamQuestion());
      break;
    case wire::Message::StreamAnswer:
      streams.handle(sender, *body.AsStreamAnswer());
      break;
    case wire::Message::SuspicionTaken:
      quarantine.handle(sender, *body.AsSuspicionTaken());
      break;
    case wire::Message::PromptReading:
      registry.on_prefill(BackendId(body.AsPromptReading()->engine),
                          std::chrono::milliseconds(body.AsPromptReading()->expected_ms));
      break;
    case wire::Message::NONE:
      counters["peer_messages_invalid_total"]++;
      break;
  }
}

void NodeCore::drain() {
  draining_ = true;
  members.leave();
  if (replica) {
    replica->begin_stopping();
  }
  if (replica && controller && !handover) {
    const ledger::ReplicaIdentity self{NodeId(members.self().id), DiskId(members.self().disk_id)};
    handover = std::make_unique<object_store::stopping_handover>(environment, counters, log, *replica, *controller,
                                                                 self, handover_copies_);
    handover->start();
  }
  if (dispatcher) {
    dispatcher->drain();
    jobs->drain();
  }
}

bool NodeCore::is_there(const ledger::ReplicaIdentity& member) const {
  const wire::MemberT* known = members.find(member.node);
  if (known == nullptr || known->disk_id != member.disk.str()) {
    return false;
  }
  // Peers may report a node as dead from which this node has just received a message.
  const auto word = members.last_contact_of(member.node);
  const bool received_recently = word && word->received_directly && word->age < kReachableAfterMessage;
  return known->state == wire::MemberState::Alive || received_recently;
}

bool NodeCore::most_of_fleet_unreachable() const {
  const std::size_t lately_known = members.others_except_long_dead(kDisconnectionWindow).size() + 1;
  return 2 * members.live_count() < lately_known;
}

void NodeCore::stop_taking_work(Timestamp ends_at) {
  takes_work_ = false;
  if (forwarder) {
    forwarder->stop_first_sends_at(ends_at - kTimeToRunBeforeEnd);
  }
}

bool NodeCore::drained() const { return has_finished_calls() && !hands_over_records(); }

bool NodeCore::hands_over_records() const { return handover && handover->is_pending(); }

bool NodeCore::has_finished_calls() const {
  const bool live_done = live.active() == 0 || !guards_.drain_waits;
  const bool services_done = services.active() == 0 || !guards_.drain_waits_for_services;
  const bool forwards_done = !forwarder || forwarder->active() == 0;
  return live_done && services_done && forwards_done && (!dispatcher || dispatcher->active() == 0);
}

std::optional<start_need> NodeCore::missing_for_start() const {
  if (draining_) {
    return start_need::drain;
  }
  if (forwarder && !catalog.routes()) {
    return start_need::configuration;
  }
  if (forwarder && (machines.table().revision() == 0 || awaits_identities())) {
    return start_need::machines;
  }
  if (!forwarder && (objects.table().revision() == 0 || catalog.groups().groups.empty())) {
    return start_need::groups;
  }
  return replica && !replica_is_current() ? std::optional(start_need::own_records) : std::nullopt;
}

bool NodeCore::replica_is_current() const {
  const auto& groups = ledger.group_map().groups;
  if (!replica || groups.empty() || !replica->synchronized()) {
    return false;
  }
  const NodeId self(members.self().id);
  const DiskId disk(members.self().disk_id);
  return std::none_of(groups.begin(), groups.end(), [&](const ledger::ReplicaGroup& group) {
    return std::any_of(group.replicas.begin(), group.replicas.end(), [&](const ledger::ReplicaIdentity& member) {
      return member.node == self && member.disk != disk;  // this node's former disk is still a member
    });
  });
}

bool NodeCore::configured() const {
  return catalog.routes() != nullptr && machines.table().revision() > 0 && !awaits_identities();
}

bool NodeCore::awaits_identities() const {
  return registry.all_unidentified() && environment.now() - identifying_since_ < kIdentityRetryInterval;
}

void NodeCore::when_configured(std::function<void(bool)> done) {
  /// Maximum number of waiting requests; more would only be refused later.
  constexpr std::size_t kMaxWaitingRequests = 2'000;
  if (configured() || awaiting_configuration_.size() >= kMaxWaitingRequests) {
    done(configured());
    return;
  }
  const std::uint64_t number = ++next_awaiting_;
  awaiting_configuration_.emplace(number, std::move(done));
  counters["requests_before_configuration_total"]++;
  environment.after(kConfigurationTimeout, lifetime_.guard([this, number] {
    auto node = awaiting_configuration_.extract(number);
    if (!node.empty()) {
      node.mapped()(false);
    }
  }));
}

void NodeCore::tell_configured() {
  if (!configured()) {
    return;
  }
  std::map<std::uint64_t, std::function<void(bool)>> waiting;
  std::swap(waiting, awaiting_configuration_);
  for (auto& [number, done] : waiting) {
    done(true);
  }
}

tenancy::identity NodeCore::authenticate(const tenancy::credentials& shown) const {
  const std::uint32_t age_ms = objects.age_ms();
  const Duration age =
      age_ms == config::TableReplicator::kUnknownAge ? Duration::max() : Duration(std::chrono::milliseconds(age_ms));
  return tenancy::authenticate(catalog.routes()->tenants, shown, key_trust_, age);
}

std::size_t NodeCore::gateway_count() const { return members.available(Role::gateway).size(); }

// --- jobs -----------------------------------------------------------------------------------

void NodeCore::announce_job(const JobId& job, bool cancelled) {
  const wire::MemberT* manager = duties.manager_of(job.str());
  std::set<PeerAddress> told;
  if (cancelled || !duties.divided()) {
    // Items may still run on schedulers that had the duties before.
    for (const wire::MemberT* scheduler : members.available(Role::scheduler)) {
      told.insert(PeerAddress(scheduler->peer_address));
    }
  } else {
    const std::vector<PeerAddress> dispatchers = duties.dispatchers();
    told.insert(dispatchers.begin(), dispatchers.end());
    if (manager != nullptr) {
      told.insert(PeerAddress(manager->peer_address));
    }
  }
  for (const PeerAddress& scheduler : told) {
    wire::JobNoticeT notice;
    notice.job = job.str();
    notice.cancelled = cancelled;
    notice.manager = manager == nullptr ? "" : manager->peer_address;
    send_message(environment, scheduler, std::move(notice));
  }
}

void NodeCore::cancel_job(const JobId& job, std::function<void(Result<wire::JobRecordT>)> done) {
  const bool durable = guards_.cancel_is_durable;
  const auto mark_cancelled = [durable](const ledger::OptionalValue& current) -> ledger::OptionalValue {
    auto record = current ? wire::decode_record<wire::JobRecordT>(*current) : std::nullopt;
    if (!record || record->state != wire::JobState::Accepted || !durable) {
      return std::nullopt;
    }
    record->state = wire::JobState::Cancelled;
    return wire::encode_record(*record);
  };
  ledger.change(
      batch::job_key(job), mark_cancelled, lifetime_.guard([this, job, done](Result<ledger::OptionalValue> result) {
        if (!succeeded(result)) {
          done(error_of(result));
          return;
        }
        auto record = value_of(result) ? wire::decode_record<wire::JobRecordT>(*value_of(result)) : std::nullopt;
        if (!record) {
          done(Error{ErrorKind::not_found, "no job " + job.str()});
          return;
        }
        if (!guards_.cancel_is_durable) {
          record->state = wire::JobState::Cancelled;
        }
        if (record->state == wire::JobState::Cancelled) {
          counters["jobs_cancelled_total"]++;
          announce_job(job, true);
        }
        done(*record);
      }));
}

// --- back end directory for connections -------------------------------------------------------

/// In a fleet without coordinators, only one gateway uses a back end that warms up, because the warm-up limit applies
/// to all gateways together.
bool NodeCore::allows_warming(const routing::Backend& backend) {
  const auto gateways = duties.coordinators_of(backend.machine.id.str(), std::string());
  const std::optional<double> limit = registry.warm_up_limit(backend);
  const Timestamp now = environment.now();
  const bool own = !gateways.empty() && gateways.front()->id == members.self().id;
  if (!own || !limit || !warm_up_pace_.allows(backend.machine.id, *limit, now)) {
    return false;
  }
  warm_up_pace_.count(backend.machine.id, now);
  return true;
}

std::string NodeCore::address_of(const BackendId& backend) const {
  const auto entry = registry.backends().find(backend);
  return entry == registry.backends().end() ? std::string() : entry->second.machine.address;
}

bool NodeCore::accepts_work(const BackendId& backend) const {
  const auto entry = registry.backends().find(backend);
  return entry != registry.backends().end() && registry.open(entry->second);
}

bool NodeCore::is_leaving(const BackendId& backend) const {
  const auto entry = registry.backends().find(backend);
  return entry == registry.backends().end() || entry->second.machine.leaving || entry->second.reported_leaving ||
         entry->second.unlisted;
}

std::size_t NodeCore::connection_share(const BackendId& backend) const {
  constexpr std::size_t kMinConnectionShare = 4;
  constexpr std::size_t kUnlimited = 10'000;
  constexpr std::size_t kReservePercent = 90;  ///< The rest is reserved for gateways that this node does not know yet.
  const auto entry = registry.backends().find(backend);
  if (entry == registry.backends().end() || !catalog.routes()) {
    return kUnlimited;
  }
  for (const std::string& name : entry->second.machine.pools) {
    const forwarding::Pool* pool = catalog.routes()->find_pool(name);
    if (pool != nullptr && pool->max_connections > 0) {
      const std::size_t gateways = std::max<std::size_t>(1, gateway_count());
      const std::size_t all = pool->max_connections * kReservePercent / 100;
      // The engine's only dispatcher must be able to use all its slots. With many gateways, an equal share of the
      // connections would be fewer than the slots.
      const std::size_t for_batch = std::min<std::size_t>(entry->second.machine.slots, all / 2);
      const std::size_t share = std::max(kMinConnectionShare, (all - for_batch) / gateways);
      return dispatcher && dispatcher->owns(backend) ? share + for_batch : share;
    }
  }
  return kUnlimited;
}

void NodeCore::on_load(const BackendId& backend, const routing::LoadReport& report) {
  registry.on_report(backend, report, environment.now());
}

// --- load of back ends ----------------------------------------------------------------------

std::set<BackendId> NodeCore::polled_backends() {
  ++poll_round_;
  if (loads_pushed_ && dispatcher && coordinated() && environment.now() >= poll_all_until_) {
    const std::vector<BackendId> asked = dispatcher->engines_to_poll(poll_round_);
    return {asked.begin(), asked.end()};
  }
  std::set<BackendId> polled = dispatcher ? dispatcher->owned() : std::set<BackendId>();
  if (!loads_pushed_) {
    for (const auto& [id, backend] : registry.backends()) {
      if (registry.in_subset(id)) {
        polled.insert(id);
      }
    }
  }
  return polled;
}

void NodeCore::report_unattributed_calls(const BackendId& id) {
  const routing::Backend* backend = registry.find(id);
  if (announcer && backend != nullptr && registry.unattributed(*backend) > 0) {
    announcer->changed(id);
  }
}

void NodeCore::poll_loads() {
  // Coordinators know all calls, so load reports are only needed to find calls that dead nodes have left running.
  const Duration pause = coordinated() ? kCoordinatedPollFactor * load_poll_ : load_poll_;
  environment.after(pause, lifetime_.guard([this] { poll_loads(); }));
  for (const BackendId& id : polled_backends()) {
    fetch_load(id);
  }
}

void NodeCore::fetch_load(const BackendId& id) {
  const Timestamp asked_at = environment.now();
  backends_.fetch_load(id, lifetime_.guard([this, id, asked_at](const std::optional<routing::LoadReport>& report) {
    if (report) {
      registry.on_report(id, *report, asked_at);
      report_unattributed_calls(id);
    }
  }));
}

// --- live activity, reported to the schedulers that dispatch to the same engines ------------

void NodeCore::on_online_activity(const BackendId& engine, std::uint32_t in_flight) {
  ReportedActivity& entry = activity_[engine];
  entry.in_flight = in_flight;
  on_calls_changed(engine);
  if (entry.scheduled || !guards_.tell_activity) {
    return;
  }
  entry.scheduled = true;
  const Duration delay = in_flight > entry.told ? kActivityIncreaseDelay : kActivityDecreaseDelay;
  environment.after(delay, lifetime_.guard([this, engine] { report_activity(engine); }));
}

void NodeCore::report_activity(const BackendId& engine) {
  ReportedActivity& entry = activity_[engine];
  entry.scheduled = false;
  const routing::Backend* backend = registry.find(engine);
  const std::string zone = backend == nullptr ? std::string() : backend->machine.zone;
  const wire::MemberT* owner = duties.dispatcher_of(engine.str(), zone);
  if (owner == nullptr) {
    return;
  }
  entry.told = entry.in_flight;
  wire::OnlineActivityT message;
  message.engine = engine.str();
  message.gateway = members.self().id;
  message.in_flight = entry.in_flight;
  message.number = report_numbers_.next();
  send_message(environment, PeerAddress(owner->peer_address), std::move(message));
}

/// Tells the other gateways that @p engine computes a prefill. Lost messages do no harm: a request may then only wait
/// for the prefill to end.
void NodeCore::announce_prefill(const BackendId& engine, Duration expected) {
  if (coordinated()) {
    return;  // the coordinator that chose the engine knows about it
  }
  for (const wire::MemberT* gateway : members.available(Role::gateway)) {
    if (gateway->id == members.self().id) {
      continue;
    }
    wire::PromptReadingT message;
    message.engine = engine.str();
    message.expected_ms = static_cast<std::uint32_t>(expected / 1ms);
    send_message(environment, PeerAddress(gateway->peer_address), std::move(message));
    counters["prompt_readings_told_total"]++;
  }
}

void NodeCore::report_queues() {
  environment.after(kQueueReportInterval, lifetime_.guard([this] { report_queues(); }));
  const std::vector<wire::QueuedJobT> closed = jobs->take_ended_jobs();
  if (!queues->limited()) {
    return;
  }
  for (const wire::QueuedJobT& job : closed) {
    queues->close(job.route, JobId(job.job));
  }
  queues->set_managed_jobs(jobs->queued_jobs());
}

void NodeCore::refresh_activity() {
  environment.after(kActivityRefreshInterval, lifetime_.guard([this] { refresh_activity(); }));
  const auto tables = {&objects, &machines, &groups, &evacuations};
  counters["tables_restored_in_use"] =
      std::count_if(tables.begin(), tables.end(), [](const auto* table) { return table->is_restored(); });
  registry.set_gateways(gateway_count());
  warm_up_pace_.forget_old(environment.now());
  if (call_reporter && forwarder) {
    registry.set_shared_calls(coordinated() ? &coordinator->calls() : &shared_calls);
    call_reporter->set_time_to_yield(forwarder->time_to_yield());
  }
  if (announcer) {
    shared_calls.forget_unresponsive_nodes(environment.now());
    if (forwarder) {
      forwarder->use_shared_calls(shared_calls, announcer->delay());
      announcer->set_time_to_yield(forwarder->time_to_yield());
    }
  }
  for (auto entry = activity_.begin(); entry != activity_.end();) {
    const bool idle = entry->second.in_flight == 0 && entry->second.told == 0 && !entry->second.scheduled;
    if (idle) {
      entry = activity_.erase(entry);
      continue;
    }
    if (!entry->second.scheduled && guards_.tell_activity) {
      report_activity(entry->first);
    }
    ++entry;
  }
}

}  // namespace madderdeck::node
