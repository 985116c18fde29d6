#include "simulation/fleet.hpp"

#include <algorithm>
#include <array>
#include <ostream>

#include "simulation/earlier_version.hpp"
#include "simulation/support.hpp"

namespace madderdeck::simulation {
namespace {

constexpr Duration kMachineListLag = 1s;
constexpr std::uint64_t kQuietChecksToStop = 5;
/// A node that drains waits no longer for others to copy its records.
constexpr Duration kHandoverPatience = 7s;
constexpr unsigned kLedgerNodes = 3;
constexpr unsigned kNobody = 240;  ///< Addresses from this number on belong to no node.
constexpr Duration kRareGroupCheck = 5s;
/// As deploy/ledger.toml has them.
constexpr Duration kDeployedProbePeriod = 500ms;
constexpr Duration kDeployedGroupCheck = 300ms;
constexpr Duration kDeployedReplaceAfter = 700ms;
/// As the users' sites have it: a node that was disturbed may be behind the others for so long.
constexpr Duration kContact = 3s;
constexpr Duration kEngineRestart = 3s;
constexpr Duration kKnowledgeLook = 500us;
constexpr Duration kLookForKnowledge = 10s;

/// The port stands for the incarnation, so that an engine that replaces another one has another id.
constexpr unsigned kFirstEnginePort = 9000;
constexpr Duration kEntryLapse = 3600ms;  ///< Of an engine that has crashed.
/// Shares of the first of the versions, from 1:1 to 11:1.
constexpr std::array<unsigned, 4> kCommonVersionPercents = {50, 75, 86, 92};
std::string service_name(unsigned number) { return "10.2.0." + std::to_string(number) + ":9000"; }

}  // namespace

std::optional<Profile> find_profile(const std::string& name) {
  Profile profile;
  if (name == "qasr") {
    return profile;
  }
  profile.name = name;
  if (name == "ravelin") {
    profile.engines = 6;
    profile.engine_step = 5ms;
    profile.batch_tokens = 120;
    profile.job_items = 40;
    return profile;
  }
  if (name == "large") {
    profile.nodes = 12;
    profile.engines = 16;
    profile.services = 4;
    return profile;
  }
  return std::nullopt;
}

// --- node environment -----------------------------------------------------------------------

Timestamp SimEnvironment::now() const {
  return fleet_.world.now() -
         (fleet_.guards.clock_counts_suspension ? Duration::zero() : fleet_.nodes[node_]->suspended);
}
std::uint64_t SimEnvironment::unix_milliseconds() const {
  return static_cast<std::uint64_t>((fleet_.world.now() - fleet_.nodes[node_]->clock_behind) / 1ms);
}
std::uint64_t SimEnvironment::random() { return fleet_.world.random.next(); }
void SimEnvironment::after(Duration delay, std::function<void()> task) {
  fleet_.nodes[node_]->process.schedule(delay, std::move(task));
}
void SimEnvironment::send(const PeerAddress& to, wire::MessageUnion message) {
  if (fleet_.on_sent) {
    fleet_.on_sent(node_, message);
  }
  if (fleet_.keeps_from(number_of(to.str()), message.type)) {
    return;
  }
  const bool reduced = fleet_.speak_earlier_version(node_, number_of(to.str()));
  if (reduced && !reduce_to_earlier_version(message)) {
    return;
  }
  const Duration on_the_way = message.type == wire::Message::CopyReply ? fleet_.copy_page_time : Duration::zero();
  std::vector<wire::MessageUnion> messages;
  messages.push_back(std::move(message));
  fleet_.deliver_message(node_, to, wire::encode_frame(SimFleet::address_of(node_), messages), on_the_way);
}

// --- the fleet ------------------------------------------------------------------------------

void TracedDecisions::record(std::string_view event, std::initializer_list<DecisionField> fields) {
  out_ << world_.now() / 1ms << " ms node-" << node_ << " " << event;
  for (const DecisionField& field : fields) {
    out_ << " " << field.name << "=";
    std::visit([this](const auto& value) { out_ << value; }, field.value);
  }
  out_ << "\n";
}

SimFleet::SimFleet(World& simulated_world, Oracle& checks, Profile shape, node::Guards node_guards,
                   std::ostream* decisions)
    : world(simulated_world), oracle(checks), profile(std::move(shape)), guards(node_guards), decisions_(decisions) {
  conditions.loss_percent = profile.loss_percent;
  conditions.late_percent = profile.late_percent;
  platform_process = std::make_unique<SimProcess>(world);
  platform_process->start();
  platform_environment = std::make_unique<EngineEnvironment>(world, *platform_process);
  objects = std::make_unique<emulator::WatchedTable>(*platform_environment);
  machines = std::make_unique<emulator::WatchedTable>(*platform_environment);
  retirements = std::make_unique<emulator::WatchedTable>(*platform_environment);
  emulator::EngineProfile engine_profile;
  engine_profile.slots = profile.engine_slots;
  engine_profile.step = profile.engine_step;
  // The nodes alone have to keep batch out of the way.
  engine_profile.preempts = false;
  if (profile.engine_versions > 0) {
    common_version_percent_ = kCommonVersionPercents.at(world.random.below(kCommonVersionPercents.size()));
  }
  for (unsigned number = 0; number < profile.engines; ++number) {
    engines.push_back(std::make_unique<SimEngine>(world, engine_profile));
    engines.back()->process.start();
    engines.back()->version = profile.engine_versions > 0 ? draw_version() : "";
    publish_engine(number);
  }
  for (unsigned number = 0; number < profile.services; ++number) {
    services.push_back(std::make_unique<SimService>(world));
    services.back()->process.start();
    publish_service(number);
  }
  if (profile.seeds_drawn) {
    draw_seeds();
  }
  for (unsigned number = 0; number < profile.nodes; ++number) {
    add_node("zone-" + std::to_string(number % 3), number < kLedgerNodes);
    start_node(number);
  }
}

void SimFleet::add_node(std::string zone, bool has_disk) {
  nodes.push_back(std::make_unique<SimNode>(world));
  SimNode& node = *nodes.back();
  node.zone = std::move(zone);
  node.has_disk = has_disk;
  node.disk_id = has_disk ? "disk-" + hex64(world.random.next()) : "";
}

SimFleet::~SimFleet() = default;

void SimFleet::draw_seeds() {
  std::set<unsigned> drawn;
  while (drawn.size() < seeds_.size()) {
    drawn.insert(static_cast<unsigned>(world.random.below(profile.nodes)));
  }
  seeds_.assign(drawn.begin(), drawn.end());
}

std::vector<PeerAddress> SimFleet::seeds_of(unsigned number) const {
  if (nodes[number]->own_seeds) {
    return *nodes[number]->own_seeds;
  }
  std::vector<PeerAddress> seeds;
  for (const unsigned seed : seeds_) {
    seeds.push_back(address_of(seed));
  }
  return seeds;
}

void SimFleet::set_seeds_of(unsigned number, const std::vector<unsigned>& seeds) {
  nodes[number]->own_seeds.emplace();
  for (const unsigned seed : seeds) {
    nodes[number]->own_seeds->push_back(address_of(seed));
  }
}

void SimFleet::make_seeds_stale(unsigned number) {
  if (profile.seeds_go_stale) {
    set_seeds_of(number, {kNobody, kNobody + 1, kNobody + 2});
  }
}

bool SimFleet::can_find_nobody(unsigned number) const {
  const SimNode& node = *nodes[number];
  return node.own_seeds && node.has_disk && !node.disk_whole;
}

void SimFleet::correct_seeds(unsigned number) {
  SimNode& node = *nodes[number];
  if (!node.own_seeds) {
    return;
  }
  node.own_seeds.reset();
  if (node.process.up()) {
    node.apart_at = world.now();
    node.life.core->members.set_seeds(seeds_of(number));
  }
}

std::unique_ptr<DecisionLog> SimFleet::make_log(unsigned number) {
  if (decisions_ == nullptr) {
    return std::make_unique<NoDecisionLog>();
  }
  return std::make_unique<TracedDecisions>(*decisions_, world, number);
}

void SimFleet::note_engine(unsigned number, std::string_view what, std::string_view by) const {
  if (decisions_ != nullptr) {
    *decisions_ << world.now() / 1ms << " ms engine-" << number << " " << what << " " << by << "\n";
  }
}

void SimFleet::start_node(unsigned number) {
  SimNode& node = *nodes[number];
  if (node.process.up() || node.removed) {
    return;
  }
  node.process.start();
  node.disturbed_at = world.now();
  node.apart_at = world.now();
  node.clock_behind = node.next_clock_behind;
  if (!guards.disks_keep_identity && node.has_disk) {
    node.disk_id = "disk-" + hex64(world.random.next());
  }
  if (!node.ran_with.empty() && node.ran_with != node.disk_id) {
    gone.replaced.try_emplace({NodeId("node-" + std::to_string(number)), DiskId(node.ran_with)}, world.now());
  }
  node.ran_with = node.disk_id;
  node.draining = false;
  node.quiet_checks = 0;
  node.open_requests.clear();
  node::NodeOptions options;
  options.self.id = "node-" + std::to_string(number);
  options.self.zone = node.zone;
  options.self.peer_address = address_of(number).str();
  options.self.disk_id = node.disk_id;
  using membership::Role;
  options.self.roles = static_cast<std::uint32_t>(Role::gateway) | static_cast<std::uint32_t>(Role::scheduler) |
                       static_cast<std::uint32_t>(Role::controller) |
                       (node.has_disk ? static_cast<std::uint32_t>(Role::ledger) : 0);
  options.self.incarnation = static_cast<std::uint64_t>((world.now() - node.clock_behind) / 1ms);
  options.seeds = seeds_of(number);
  options.controller.group_count = 4;
  options.controller.keep_within(kLeaveNotice);  // as the deployed program does
  options.leave_notice = kLeaveNotice;
  options.guards = guards;
  if (profile.loss_series) {
    use_deployed_times(options);
  }
  if (!guards.groups_checked_in_time) {
    options.controller.group_check = kRareGroupCheck;
  }
  NodeLife life;
  life.log = make_log(number);
  life.environment = std::make_unique<SimEnvironment>(*this, number);
  life.backends = std::make_unique<SimBackends>(*this, number);
  life.upstream = std::make_unique<SimUpstream>(*this, number);
  life.platform = std::make_unique<SimPlatformClient>(*this, number);
  life.core = std::make_unique<node::NodeCore>(
      node::NodeDependencies{*life.environment, node.counters, node.has_disk ? &node.storage : nullptr, *life.backends,
                             *life.platform, *life.log, life.upstream.get()},
      options);
  if (life.core->dispatcher) {
    life.core->dispatcher->on_item_started = [this](const JobId& job, std::uint32_t index) {
      oracle.item_started(job.str(), index, world.now());
    };
  }
  node.life = std::move(life);
  node.life.core->start();
}

void SimFleet::use_deployed_times(node::NodeOptions& options) {
  options.membership.period = kDeployedProbePeriod;
  options.membership.ack_timeout = std::min<Duration>(options.membership.ack_timeout, kDeployedProbePeriod / 2);
  options.controller.group_check = kDeployedGroupCheck;
  options.controller.replace_after = kDeployedReplaceAfter;
}

void SimFleet::crash_node(unsigned number) {
  nodes[number]->storage.crash();
  end_process(number);
}

void SimFleet::kill_node(unsigned number) { end_process(number); }

void SimFleet::cut_power(unsigned number) {
  nodes[number]->storage.lose_power();
  end_process(number);
}

void SimFleet::end_process(unsigned number) {
  SimNode& node = *nodes[number];
  count_suspension(node);
  node.process.crash();
  node.open_requests.clear();
  node.draining = false;
  ended_lives_.push_back(std::move(node.life));
  node.life = NodeLife();
}

void SimFleet::lose_disk(unsigned number) {
  crash_node(number);
  empty_disk(number);
  start_node(number);
}

void SimFleet::empty_disk(unsigned number) {
  SimNode& node = *nodes[number];
  node.storage.wipe();
  node.disk_whole = false;
  node.disk_id = "disk-" + hex64(world.random.next());
}

unsigned SimFleet::replace_machine(unsigned number) {
  if (nodes[number]->process.up()) {
    crash_node(number);
  }
  remove_machine(number);
  return add_successor(number);
}

unsigned SimFleet::add_successor(unsigned number) {
  add_node(nodes[number]->zone, true);
  const auto successor = static_cast<unsigned>(nodes.size() - 1);
  std::replace(seeds_.begin(), seeds_.end(), number, successor);
  return successor;
}

void SimFleet::remove_machine(unsigned number) { nodes[number]->removed = true; }

std::vector<unsigned> SimFleet::disk_nodes() const {
  std::vector<unsigned> found;
  for (unsigned number = 0; number < nodes.size(); ++number) {
    if (nodes[number]->has_disk && !nodes[number]->removed) {
      found.push_back(number);
    }
  }
  return found;
}

void SimFleet::retire_disk(unsigned number) {
  nodes[number]->retiring = true;
  retirements->store({{"retirement", "node-" + std::to_string(number)}, "", 0, false}, "", Duration::zero());
}

void SimFleet::replace_emptied() {
  for (unsigned number = 0; number < kLedgerNodes; ++number) {
    SimNode& node = *nodes[number];
    if (node.retiring && node.emptied) {
      node.retiring = false;
      node.emptied = false;
      retirements->store({{"retirement", "node-" + std::to_string(number)}, "", 0, true}, "", Duration::zero());
      wake_node(number);
      lose_disk(number);
    }
  }
}

void SimFleet::take_away(unsigned number) {
  SimNode& node = *nodes[number];
  node.retiring = false;
  retirements->store({{"retirement", "node-" + std::to_string(number)}, "", 0, true}, "", Duration::zero());
  wake_node(number);
  if (node.process.up()) {
    crash_node(number);
  }
  remove_machine(number);
  for (unsigned other = 0; other < nodes.size(); ++other) {
    if (!nodes[other]->removed && std::find(seeds_.begin(), seeds_.end(), other) == seeds_.end()) {
      std::replace(seeds_.begin(), seeds_.end(), number, other);
      return;
    }
  }
}

void SimFleet::note_emptied(unsigned number) {
  SimNode& node = *nodes[number];
  node.emptied = node.retiring;
  if (node.emptied) {
    gone.emptied.try_emplace(identity_of(number), world.now());
  }
}

ledger::ReplicaIdentity SimFleet::identity_of(unsigned number) const {
  return {NodeId("node-" + std::to_string(number)), DiskId(nodes[number]->disk_id)};
}

void SimFleet::suspend_node(unsigned number) {
  if (nodes[number]->process.up() && !nodes[number]->suspended_at) {
    nodes[number]->process.freeze();
    nodes[number]->suspended_at = world.now();
  }
}

void SimFleet::count_suspension(SimNode& node) const {
  if (node.suspended_at) {
    node.suspended += world.now() - *node.suspended_at;
    node.suspended_at.reset();
  }
}

void SimFleet::wake_node(unsigned number) {
  SimNode& node = *nodes[number];
  count_suspension(node);
  if (node.process.frozen()) {
    node.process.thaw();
  }
}

void SimFleet::observe_disk(unsigned number) {
  SimNode& node = *nodes[number];
  if (!node.process.up() || node.disk_whole) {
    return;
  }
  const auto& groups = node.life.core->ledger.group_map().groups;
  const ledger::ReplicaIdentity self = identity_of(number);
  bool whole = !groups.empty();
  for (std::uint32_t number_of_group = 0; number_of_group < groups.size(); ++number_of_group) {
    const ledger::ReplicaGroup& group = groups[number_of_group];
    // The node's client may know of an epoch that its replica has not heard of, and copied nothing for.
    const bool held = node.life.core->replica->holds(number_of_group, group.epoch);
    whole = whole && group.index_of(self).has_value() && held;
  }
  node.disk_whole = whole;
}

void SimFleet::drain_node(unsigned number) {
  SimNode& node = *nodes[number];
  node.draining = true;
  node.draining_since = world.now();
  node.life.core->drain();
  ++oracle.counts.planned_stops;
}

void SimFleet::check_drains() {
  for (unsigned number = 0; number < nodes.size(); ++number) {
    SimNode& node = *nodes[number];
    if (!node.process.up() || node.process.frozen() || !node.draining) {
      continue;
    }
    const bool waits = world.now() - node.draining_since < kHandoverPatience && node.life.core->hands_over_records();
    node.quiet_checks = node.life.core->has_finished_calls() && !waits ? node.quiet_checks + 1 : 0;
    if (node.quiet_checks < kQuietChecksToStop) {
      continue;
    }
    if (!node.open_requests.empty()) {
      oracle.violated(Promise::planned_stop_cuts_nothing,
                      "node " + std::to_string(number) + " ended with open requests", world.now());
    }
    crash_node(number);
  }
}

void SimFleet::crash_engine(unsigned number) {
  engines[number]->process.crash();
  engines[number]->model.reset();
}

void SimFleet::note_sent(unsigned node, const std::string& body) {
  if (body.starts_with(kFatalRequest)) {
    oracle.fatal_request_sent(body, in_touch(node), world.now());
  }
}

std::size_t SimFleet::ends_known(unsigned node, const routing::request_fingerprint& request) const {
  const SimNode& at = *nodes[node];
  return at.process.up() && at.life.core ? at.life.core->quarantine.history().ends(request) : 0;
}

void SimFleet::end_engine_if_fatal(fatal_send send, const routing::request_fingerprint& request) {
  if (!send.body.starts_with(kFatalRequest) || fatal_requests_are_sound) {
    return;
  }
  SimProcess& process = engines[send.engine]->process;
  world.schedule(jitter(world, 20ms, 40ms), [this, send = std::move(send), request, &process, life = process.life()] {
    if (!process.up() || process.life() != life) {
      return;  // ended by another one that ran beside it
    }
    crash_engine(send.engine);
    note_engine(send.engine, "ends under", send.body);
    oracle.engine_ended_under(send.body, world.now());
    sent_fatal.ended(send, world.now());
    await_knowledge(send.body, request);
    world.schedule(kEngineRestart, [&process] { process.start(); });
  });
}

void SimFleet::crash_under_parts(const forwarding::ForwardedRequest& request, unsigned node, unsigned engine) {
  SimProcess& process = engines[engine]->process;
  for (const forwarding::PromptPart& part : request.prompt) {
    if (!part.id.starts_with(kFatalPart)) {
      continue;
    }
    oracle.fatal_part_sent(part.id, in_touch(node), world.now());
    world.schedule(jitter(world, 20ms, 40ms), [this, id = part.id, engine, &process, life = process.life()] {
      if (!process.up() || process.life() != life) {
        return;  // ended by another one that ran beside it
      }
      crash_engine(engine);
      note_engine(engine, "ends under", id);
      oracle.engine_ended_under_part(id, world.now());
      world.schedule(kEngineRestart, [&process] { process.start(); });
    });
  }
}

void SimFleet::crash_under_item(const std::string& body, unsigned engine) {
  if (!item_crashes_left.contains(body)) {
    return;
  }
  SimProcess& process = engines[engine]->process;
  const Duration runs_for = jitter(world, 20ms, world.random.chance(50) ? 60ms : 500ms);
  world.schedule(runs_for, [this, body, engine, &process, life = process.life()] {
    const auto left = item_crashes_left.find(body);
    const bool runs = process.up() && process.life() == life && engines[engine]->model.holds(body);
    if (!runs || left == item_crashes_left.end() || left->second == 0) {
      return;
    }
    --left->second;
    note_engine(engine, "crashes under", body);
    oracle.engine_ended_under_item(body);
    crash_engine(engine);
    world.schedule(jitter(world, 200ms, 1s), [&process] { process.start(); });
  });
}

void SimFleet::crash_engines(unsigned percent, Duration away) {
  constexpr unsigned kWhole = 100;
  const auto total = static_cast<unsigned>(engines.size());
  const unsigned count = std::max(1U, total * percent / kWhole);
  const auto first = static_cast<unsigned>(world.random.below(total));
  for (unsigned number = 0; number < count; ++number) {
    const unsigned engine = (first + number) % total;
    SimProcess& process = engines[engine]->process;
    if (!process.up()) {
      continue;
    }
    note_engine(engine, "crashes in", "a burst");
    crash_engine(engine);
    world.schedule(away, [&process] { process.start(); });
  }
}

bool SimFleet::in_some_engine(const std::string& prompt) const {
  return std::any_of(engines.begin(), engines.end(),
                     [&prompt](const auto& engine) { return engine->model.holds(prompt); });
}

void SimFleet::await_knowledge(const std::string& body, const routing::request_fingerprint& request) {
  if (!sent_fatal.awaits_knowledge(body)) {
    return;
  }
  for (unsigned node = 0; node < nodes.size(); ++node) {
    if (ends_known(node, request) >= fatal_sends::kEndsThatTell) {
      sent_fatal.known(body, world.now());
      return;
    }
  }
  if (world.now() - sent_fatal.third_end_at(body) < kLookForKnowledge) {
    world.schedule(kKnowledgeLook, [this, body, request] { await_knowledge(body, request); });
  }
}

bool SimFleet::platform_sound() const {
  const bool well = !conditions.platform_down && conditions.platform_delay < 100ms;
  return well && world.now() - conditions.platform_disturbed_at > kContact;
}

bool SimFleet::in_touch(unsigned node) const { return world.now() - nodes[node]->disturbed_at > kContact; }

void SimFleet::observe_disturbances() {
  for (unsigned number = 0; number < nodes.size(); ++number) {
    if (is_cut_off(number) || nodes[number]->process.frozen()) {
      nodes[number]->disturbed_at = world.now();
    }
    if (is_apart(number) || nodes[number]->process.frozen()) {
      nodes[number]->apart_at = world.now();
    }
  }
}

void SimFleet::unlist_engine(unsigned number) {
  engines[number]->unlisted_since = world.now() + kMachineListLag;
  machines->store({{"machine", engine_id(number)}, "", 0, true}, "", kMachineListLag);
}

std::string SimFleet::engine_id(unsigned number) const {
  return "10.1.0." + std::to_string(number) + ":" + std::to_string(kFirstEnginePort + engines[number]->incarnation);
}

std::string SimFleet::draw_version() {
  if (world.random.chance(common_version_percent_)) {
    return "v0";
  }
  return "v" + std::to_string(1 + world.random.below(profile.engine_versions - 1));
}

std::size_t SimFleet::serving_engines(const std::string& version) const {
  return static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [&version](const auto& engine) {
    return engine->version == version && engine->process.up() && !engine->model.leaving() && !engine->unlisted_since;
  }));
}

void SimFleet::replace_engine(unsigned number, std::string version, Duration away, bool announced) {
  SimEngine& engine = *engines[number];
  if (!engine.process.up() || engine.unlisted_since || engine.model.leaving()) {
    return;
  }
  const std::uint64_t life = engine.process.life();
  if (announced) {
    set_engine_leaving(number, true);
  } else {
    crash_engine(number);
  }
  world.schedule(announced ? kLeaveNotice + 500ms : kEntryLapse,
                 [this, number, life, announced, id = engine_id(number)] {
                   machines->store({{"machine", id}, "", 0, true}, "", kMachineListLag);
                   if (announced && engines[number]->process.life() == life) {
                     crash_engine(number);
                   }
                 });
  world.schedule(kEntryLapse + away,
                 [this, number, version = std::move(version)] { begin_engine_incarnation(number, version); });
}

void SimFleet::begin_engine_incarnation(unsigned number, const std::string& version) {
  SimEngine& engine = *engines[number];
  if (engine.process.up()) {
    crash_engine(number);
  }
  ++engine.incarnation;
  ++engine.starts;
  engine.version = version;
  engine.model.set_leaving(false);
  engine.process.start();
  note_engine(number, "starts with", version);
  publish_engine(number);
}

void SimFleet::publish_engine(unsigned number) {
  engines[number]->unlisted_since.reset();
  const bool leaving = engines[number]->model.leaving();
  const std::string& version = engines[number]->version;
  const std::string stated = version.empty() ? "" : ",\"software_version\":\"" + version + "\"";
  machines->store({{"machine", engine_id(number)},
                   "{\"target\":\"model\",\"pool\":\"model\",\"slots\":" + std::to_string(profile.engine_slots) +
                       ",\"state\":\"" + (leaving ? "leaving" : "live") +
                       "\",\"started_ms\":" + std::to_string(engines[number]->starts) + stated + "}",
                   0,
                   false},
                  "", kMachineListLag);
}

void SimFleet::publish_service(unsigned number) {
  machines->store({{"machine", service_name(number)},
                   std::string("{\"target\":\"service\",\"pool\":\"service\",\"slots\":64,\"state\":\"") +
                       (services[number]->leaving ? "leaving" : "live") +
                       "\",\"started_ms\":" + std::to_string(services[number]->starts) + "}",
                   0,
                   false},
                  "", kMachineListLag);
}

void SimFleet::set_engine_leaving(unsigned number, bool leaving) {
  engines[number]->model.set_leaving(leaving);
  engines[number]->leaving_since = world.now();
  engines[number]->starts += leaving ? 0 : 1;  // who left does not come back but by a start
  publish_engine(number);
}

void SimFleet::set_service_leaving(unsigned number, bool leaving) {
  services[number]->leaving = leaving;
  services[number]->leaving_since = world.now();
  services[number]->starts += leaving ? 0 : 1;
  publish_service(number);
}

bool SimFleet::cut_between(unsigned one, unsigned other) const {
  return conditions.cuts.contains({std::min(one, other), std::max(one, other)});
}

bool SimFleet::cut_from_to(unsigned from, unsigned to) const {
  return cut_between(from, to) || conditions.one_way_cuts.contains({from, to});
}

bool SimFleet::keeps_from(unsigned number, wire::Message type) const {
  const bool membership = type == wire::Message::Ping || type == wire::Message::PingRequest ||
                          type == wire::Message::Ack || type == wire::Message::MemberSync ||
                          type == wire::Message::MemberDigests;
  return (membership ? conditions.datagrams_lost_to : conditions.streams_lost_to).contains(number);
}

bool SimFleet::is_cut_off(unsigned number) const {
  if (conditions.datagrams_lost_to.contains(number) || conditions.streams_lost_to.contains(number)) {
    return true;
  }
  const auto touches = [this, number](const auto& pair) {
    const bool part = !nodes[pair.first]->removed && !nodes[pair.second]->removed;
    return part && (pair.first == number || pair.second == number);
  };
  return std::any_of(conditions.cuts.begin(), conditions.cuts.end(), touches) ||
         std::any_of(conditions.one_way_cuts.begin(), conditions.one_way_cuts.end(), touches) ||
         conditions.platform_cuts.contains(number);
}

bool SimFleet::reaches_no_disk(unsigned number) const {
  if (nodes[number]->has_disk) {
    return false;
  }
  const auto disks = disk_nodes();
  return std::all_of(disks.begin(), disks.end(), [this, number](unsigned disk) { return cut_between(number, disk); });
}

bool SimFleet::is_apart(unsigned number) const {
  if (conditions.datagrams_lost_to.contains(number) || conditions.streams_lost_to.contains(number)) {
    return true;
  }
  const auto touches = [this, number](const auto& pair) {
    if (pair.first != number && pair.second != number) {
      return false;
    }
    const unsigned other = pair.first == number ? pair.second : pair.first;
    return !nodes[other]->removed && !nodes[number]->removed && !reaches_no_disk(other);
  };
  return std::any_of(conditions.cuts.begin(), conditions.cuts.end(), touches) ||
         std::any_of(conditions.one_way_cuts.begin(), conditions.one_way_cuts.end(), touches) ||
         conditions.platform_cuts.contains(number);
}

bool SimFleet::speak_earlier_version(unsigned one, unsigned other) const {
  return profile.mixed_versions && (one % 2 == 1 || other % 2 == 1);
}

void SimFleet::deliver_message(unsigned from, const PeerAddress& to, const wire::Bytes& frame, Duration on_the_way) {
  const unsigned target = number_of(to.str());
  if (target >= nodes.size() || cut_from_to(from, target)) {
    return;
  }
  const bool own = from == target;
  if (!own && world.random.chance(conditions.loss_percent)) {
    return;
  }
  const int copies = !own && world.random.chance(conditions.duplicate_percent) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const std::uint64_t life = nodes[target]->process.life();
    const bool late = !own && world.random.chance(conditions.late_percent);
    const Duration delay = late ? jitter(world, 10ms, 3s) : jitter(world, 300us, 1500us);
    world.schedule(own ? Duration(0) : delay + on_the_way, [this, from, target, life, frame] {
      if (cut_from_to(from, target)) {
        return;
      }
      nodes[target]->process.deliver(life, [this, from, target, frame] {
        const std::string_view bytes(reinterpret_cast<const char*>(frame.data()), frame.size());
        world.trace(bytes);
        auto decoded = wire::decode_frame(bytes);
        for (wire::Incoming& incoming : value_of(decoded)) {
          const bool dropped = !guards.copies_arrive && incoming.body.type == wire::Message::CopyReply;
          const bool passed = !passes || passes(from, target, incoming);
          if (nodes[target]->life.core && !dropped && passed) {
            nodes[target]->life.core->handle(incoming);
          }
        }
      });
    });
  }
}

std::vector<unsigned> SimFleet::running_nodes() const {
  std::vector<unsigned> running;
  for (unsigned number = 0; number < nodes.size(); ++number) {
    if (nodes[number]->process.up() && !nodes[number]->process.frozen() && !nodes[number]->draining) {
      running.push_back(number);
    }
  }
  return running;
}

std::optional<unsigned> SimFleet::pick_running(std::uint32_t choice) const {
  const auto running = running_nodes();
  return running.empty() ? std::nullopt : std::optional(running[choice % running.size()]);
}

void SimFleet::heal() {
  item_crashes_left.clear();
  conditions = Conditions();
  conditions.loss_percent = 0;
  conditions.duplicate_percent = 0;
  conditions.late_percent = 0;
  for (unsigned number = 0; number < nodes.size(); ++number) {
    wake_node(number);
    start_node(number);
    if (can_find_nobody(number)) {
      correct_seeds(number);
    }
  }
  for (unsigned number = 0; number < engines.size(); ++number) {
    engines[number]->process.start();
    if (engines[number]->model.leaving() || engines[number]->unlisted_since) {
      set_engine_leaving(number, false);
    }
  }
  for (unsigned number = 0; number < services.size(); ++number) {
    services[number]->process.start();
    if (services[number]->leaving) {
      set_service_leaving(number, false);
    }
  }
}

void SimFleet::observe_configuration() {
  for (unsigned number = 0; number < nodes.size(); ++number) {
    const SimNode& node = *nodes[number];
    if (!node.process.up() || !node.life.core) {
      continue;
    }
    const std::string life = "node-" + std::to_string(number) + "/" + std::to_string(node.process.life());
    const config::VersionedTable& table = node.life.core->objects.table();
    for (const auto& [name, declaration] : oracle.declarations()) {
      const config::Entry* entry = table.find({config::kTemplateKind, name});
      if (entry != nullptr) {
        oracle.node_holds(life, name, entry->revision, world.now());
      }
    }
  }
}

}  // namespace madderdeck::simulation
