#include "simulation/fleet.hpp"

#include <algorithm>

namespace madderdeck::simulation {
namespace {

constexpr Duration kMachineListLag = 1s;
/// A leaving back end may get new work for this long.
constexpr Duration kLeavingGrace = 5s;
constexpr std::uint64_t kQuietChecksToStop = 5;
constexpr unsigned kLedgerNodes = 3;

Duration jitter(World& world, Duration least, Duration spread) {
  return least + Duration(static_cast<Duration::rep>(world.random.below(static_cast<std::uint64_t>(spread.count()))));
}

std::string engine_name(unsigned number) { return "10.1.0." + std::to_string(number) + ":9000"; }
std::string service_name(unsigned number) { return "10.2.0." + std::to_string(number) + ":9000"; }

/// @return the number in an address "10.x.0.N:port".
unsigned number_of(const std::string& address) {
  const std::size_t dot = address.rfind('.');
  return static_cast<unsigned>(std::stoul(address.substr(dot + 1)));
}

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

// --- disks ----------------------------------------------------------------------------------

Result<std::optional<wire::Bytes>> SimStorage::get(const std::string& key) const {
  const auto found = visible_.find(key);
  return found == visible_.end() ? std::optional<wire::Bytes>() : std::optional(found->second);
}

void SimStorage::put(const std::string& key, const wire::Bytes& value) {
  visible_[key] = value;
  unflushed_[key] = value;
}

void SimStorage::scan(const std::string& prefix, const std::string& after,
                      const std::function<bool(std::string_view, std::string_view)>& visit) const {
  auto entry = after > prefix ? visible_.upper_bound(after) : visible_.lower_bound(prefix);
  for (; entry != visible_.end() && entry->first.starts_with(prefix); ++entry) {
    const auto& bytes = entry->second;
    if (!visit(entry->first, std::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()))) {
      return;
    }
  }
}

void SimStorage::flush(std::function<void(Status)> done) {
  auto writes = std::make_shared<std::map<std::string, wire::Bytes>>(unflushed_);
  process_.schedule(jitter(world_, 500us, 2ms), [this, writes, done = std::move(done)] {
    for (const auto& [key, value] : *writes) {
      durable_[key] = value;
      const auto pending = unflushed_.find(key);
      if (pending != unflushed_.end() && pending->second == value) {
        unflushed_.erase(pending);
      }
    }
    done(Ok{});
  });
}

void SimStorage::crash() {
  visible_ = durable_;
  unflushed_.clear();
}

void SimStorage::wipe() {
  visible_.clear();
  durable_.clear();
  unflushed_.clear();
}

// --- node environment -----------------------------------------------------------------------

Timestamp SimEnvironment::now() const { return fleet_.world.now(); }
std::uint64_t SimEnvironment::unix_milliseconds() const { return static_cast<std::uint64_t>(fleet_.world.now() / 1ms); }
std::uint64_t SimEnvironment::random() { return fleet_.world.random.next(); }
void SimEnvironment::after(Duration delay, std::function<void()> task) {
  fleet_.nodes[node_]->process.schedule(delay, std::move(task));
}
void SimEnvironment::send(const PeerAddress& to, wire::MessageUnion message) {
  std::vector<wire::MessageUnion> messages;
  messages.push_back(std::move(message));
  fleet_.deliver_message(node_, to, wire::encode_frame(SimFleet::address_of(node_), messages));
}

// --- engines and services as a node reaches them --------------------------------------------

struct SimBackends::EngineStream {
  routing::CallId id = 0;
  unsigned engine = 0;
  std::uint64_t engine_life = 0;
  emulator::GenerationId generation = 0;
  routing::EngineCall call;
  routing::EngineEvents events;
  bool cancelled = false;
  bool broken = false;
  bool talks_after_break = false;
  bool ended = false;
  int breaks_after = -1;      ///< Tokens; -1 for never.
  Timestamp last_delivery{};  ///< Keeps one stream's events in order.
};

SimBackends::SimBackends(SimFleet& fleet, unsigned node)
    : fleet_(fleet), node_(node), life_(fleet.nodes[node]->process.life()) {}

bool SimBackends::node_gone() const { return fleet_.nodes[node_]->process.life() != life_; }

void SimBackends::at_node(std::function<void()> event) {
  SimProcess& process = fleet_.nodes[node_]->process;
  fleet_.world.schedule(
      jitter(fleet_.world, 200us, 800us),
      [&process, life = life_, event = std::move(event)]() mutable { process.deliver(life, std::move(event)); });
}

routing::CallId SimBackends::start(const BackendId& engine, const routing::EngineCall& call,
                                   routing::EngineEvents events) {
  auto stream = std::make_shared<EngineStream>();
  stream->id = ++next_;
  stream->engine = number_of(engine.str());
  stream->call = call;
  stream->events = std::move(events);
  if (fleet_.world.random.chance(fleet_.conditions.break_percent)) {
    stream->breaks_after = static_cast<int>(fleet_.world.random.below(8));
    stream->talks_after_break = fleet_.world.random.chance(fleet_.conditions.late_answer_percent);
  }
  streams_[stream->id] = stream;
  fleet_.world.schedule(jitter(fleet_.world, 200us, 800us), [this, stream] { begin_stream(stream); });
  return stream->id;
}

void SimBackends::begin_stream(const std::shared_ptr<EngineStream>& stream) {
  SimEngine& engine = *fleet_.engines[stream->engine];
  const auto fail = [&](routing::CallFailure failure) {
    at_node([stream, failure] {
      if (!stream->cancelled) {
        stream->events.failed(failure);
      }
    });
  };
  if (stream->cancelled || node_gone()) {
    return;
  }
  if (!engine.process.up()) {
    fail(routing::CallFailure::not_sent);
    return;
  }
  if (engine.model.leaving() && fleet_.world.now() - engine.leaving_since > kLeavingGrace) {
    fleet_.oracle.violated(Promise::leaving_gets_no_work, "engine " + std::to_string(stream->engine) + " was sent work",
                           fleet_.world.now());
  }
  emulator::Generation generation{stream->call.model, stream->call.prompt, stream->call.max_tokens,
                                  stream->call.resume_from, stream->call.priority};
  emulator::GenerationEvents events;
  const auto in_order = [this, stream](std::function<void()> event) {
    // A stream keeps its order, except where a sick engine mixes it up.
    World& world = fleet_.world;
    Duration delay = jitter(world, 200us, 800us);
    if (world.random.chance(fleet_.conditions.late_answer_percent / 8)) {
      delay += 30ms;
    } else {
      stream->last_delivery = std::max(stream->last_delivery + 1us, world.now() + delay);
      delay = stream->last_delivery - world.now();
    }
    SimProcess& process = fleet_.nodes[node_]->process;
    world.schedule(delay, [&process, life = life_, event = std::move(event)]() mutable {
      process.deliver(life, std::move(event));
    });
  };
  events.token = [this, stream, in_order](std::uint32_t offset, const std::string& text) {
    if (stream->breaks_after >= 0 && stream->breaks_after-- == 0 && !stream->broken) {
      break_stream(stream);
    }
    if (!stream->broken || stream->talks_after_break) {
      const bool doubled = fleet_.world.random.chance(fleet_.conditions.late_answer_percent / 4);
      for (int times = 0; times < (doubled ? 2 : 1); ++times) {
        in_order([stream, offset, text] {
          if (!stream->cancelled) {
            stream->events.token(offset, text);
          }
        });
      }
    }
  };
  events.finished = [stream, in_order](std::uint32_t total) {
    stream->ended = true;
    if (!stream->broken || stream->talks_after_break) {
      in_order([stream, total] {
        if (!stream->cancelled) {
          stream->events.finished(total);
        }
      });
    }
  };
  const auto taken = engine.model.submit(std::move(generation), std::move(events));
  if (const auto* refusal = std::get_if<emulator::EngineRefusal>(&taken)) {
    fail(*refusal == emulator::EngineRefusal::leaving ? routing::CallFailure::leaving : routing::CallFailure::refused);
    return;
  }
  fleet_.oracle.engine_took(stream->call.prompt);
  stream->generation = std::get<emulator::GenerationId>(taken);
  stream->engine_life = engine.process.life();
  watch_stream(stream);
}

void SimBackends::watch_stream(const std::shared_ptr<EngineStream>& stream) {
  constexpr Duration kNotice = 20ms;
  fleet_.world.schedule(kNotice, [this, weak = std::weak_ptr<EngineStream>(stream)] {
    const auto watched = weak.lock();
    if (!watched || watched->cancelled || watched->broken || watched->ended) {
      return;
    }
    SimEngine& engine = *fleet_.engines[watched->engine];
    if (node_gone()) {
      engine.model.cancel(watched->generation);  // the engine sees its caller go
    } else if (engine.process.life() != watched->engine_life) {
      break_stream(watched);
    } else {
      watch_stream(watched);
    }
  });
}

void SimBackends::break_stream(const std::shared_ptr<EngineStream>& stream) {
  stream->broken = true;
  if (!stream->talks_after_break) {
    fleet_.engines[stream->engine]->model.cancel(stream->generation);
  }
  at_node([stream] {
    if (!stream->cancelled) {
      stream->events.failed(routing::CallFailure::broken);
    }
  });
}

void SimBackends::cancel(routing::CallId call) {
  const auto node = streams_.extract(call);
  if (node.empty()) {
    return;
  }
  const auto stream = node.mapped();
  stream->cancelled = true;
  fleet_.world.schedule(jitter(fleet_.world, 200us, 500us), [this, stream] {
    if (stream->generation != 0) {
      fleet_.engines[stream->engine]->model.cancel(stream->generation);
    }
  });
}

routing::CallId SimBackends::start(const BackendId& backend, const routing::ServiceCall& call,
                                   routing::ServiceEvents events) {
  World& world = fleet_.world;
  const unsigned number = number_of(backend.str());
  const bool breaks = world.random.chance(fleet_.conditions.break_percent);
  const bool breaks_before = breaks && world.random.chance(50);
  const Duration work = fleet_.conditions.services_slow ? Duration(3s) : jitter(world, 2ms, 10ms);
  world.schedule(jitter(world, 200us, 800us), [this, number, call, events, breaks, breaks_before, work] {
    if (node_gone()) {
      return;
    }
    SimService& service = *fleet_.services[number];
    if (!service.process.up()) {
      at_node([events] { events.failed(routing::CallFailure::not_sent); });
      return;
    }
    if (service.leaving) {
      if (fleet_.world.now() - service.leaving_since > kLeavingGrace) {
        fleet_.oracle.violated(Promise::leaving_gets_no_work, "service " + std::to_string(number) + " was sent work",
                               fleet_.world.now());
      }
      at_node([events] { events.failed(routing::CallFailure::leaving); });
      return;
    }
    if (breaks_before) {
      at_node([events] { events.failed(routing::CallFailure::broken); });
      return;
    }
    fleet_.oracle.service_ran(call.idempotency_key, fleet_.world.now());
    service.process.schedule(work, [this, call, events, breaks] {
      at_node([events, breaks, key = call.idempotency_key] {
        if (breaks) {
          events.failed(routing::CallFailure::broken);
        } else {
          events.answered({200, "answer to " + key});
        }
      });
    });
  });
  return ++next_;
}

void SimBackends::fetch_load(const BackendId& backend, routing::ReportDone done) {
  fleet_.world.schedule(jitter(fleet_.world, 200us, 800us), [this, backend, done] {
    std::optional<routing::LoadReport> report;
    const unsigned number = number_of(backend.str());
    const bool is_service = backend.str().starts_with("10.2.");
    if (is_service && fleet_.services[number]->process.up()) {
      report = routing::LoadReport{0, 0, 0, fleet_.services[number]->leaving};
    } else if (!is_service && fleet_.engines[number]->process.up()) {
      report = fleet_.engines[number]->model.report();
    }
    at_node([done, report] { done(report); });
  });
}

// --- platform as a node reaches it ----------------------------------------------------------

void SimPlatformClient::watch_objects(std::uint64_t since, Duration wait, platform::ChangesDone done) {
  watch(*fleet_.objects, since, wait, std::move(done));
}
void SimPlatformClient::watch_machines(std::uint64_t since, Duration wait, platform::ChangesDone done) {
  watch(*fleet_.machines, since, wait, std::move(done));
}

void SimPlatformClient::watch(emulator::WatchedTable& table, std::uint64_t since, Duration wait,
                              platform::ChangesDone done) {
  SimProcess& process = fleet_.nodes[node_]->process;
  const std::uint64_t life = process.life();
  const auto answer = [&process, life, done](Result<platform::ChangeList> result) {
    process.deliver(life, [done, result = std::move(result)] { done(result); });
  };
  fleet_.world.schedule(fleet_.conditions.platform_delay, [this, &table, since, wait, answer] {
    if (fleet_.conditions.platform_down) {
      answer(Error{ErrorKind::unavailable, "down"});
      return;
    }
    table.watch(since, wait, [this, answer](const platform::ChangeList& changes) {
      fleet_.world.schedule(fleet_.conditions.platform_delay, [this, answer, changes] {
        if (fleet_.conditions.platform_down) {
          answer(Error{ErrorKind::unavailable, "down"});
        } else {
          answer(changes);
        }
      });
    });
  });
}

void SimPlatformClient::get(const config::EntryKey& key, platform::GetDone done) {
  SimProcess& process = fleet_.nodes[node_]->process;
  const std::uint64_t life = process.life();
  fleet_.world.schedule(fleet_.conditions.platform_delay, [this, key, done, &process, life] {
    Result<std::optional<platform::StoredObject>> result = std::optional<platform::StoredObject>();
    if (fleet_.conditions.platform_down) {
      result = Error{ErrorKind::unavailable, "down"};
    } else if (const auto* found = fleet_.objects->find(key)) {
      result = std::optional(*found);
    }
    process.deliver(life, [done, result] { done(result); });
  });
}

void SimPlatformClient::put(const platform::PutRequest& request, platform::PutDone done) {
  SimProcess& process = fleet_.nodes[node_]->process;
  const std::uint64_t life = process.life();
  fleet_.world.schedule(fleet_.conditions.platform_delay, [this, request, done, &process, life] {
    Result<std::uint64_t> result = Error{ErrorKind::unavailable, "down"};
    if (!fleet_.conditions.platform_down) {
      result = emulator::compare_and_set(*fleet_.objects, request);
      if (fleet_.world.random.chance(fleet_.conditions.platform_lost_answers)) {
        result = Error{ErrorKind::ambiguous, "answer lost"};
      }
    } else if (fleet_.world.random.chance(50)) {
      result = Error{ErrorKind::ambiguous, "no answer"};
    }
    process.deliver(life, [done, result] { done(result); });
  });
}

// --- the fleet ------------------------------------------------------------------------------

SimFleet::SimFleet(World& simulated_world, Oracle& checks, Profile shape, node::Guards node_guards)
    : world(simulated_world), oracle(checks), profile(std::move(shape)), guards(node_guards) {
  platform_process = std::make_unique<SimProcess>(world);
  platform_process->start();
  platform_environment = std::make_unique<EngineEnvironment>(world, *platform_process);
  objects = std::make_unique<emulator::WatchedTable>(*platform_environment);
  machines = std::make_unique<emulator::WatchedTable>(*platform_environment);
  emulator::EngineProfile engine_profile;
  engine_profile.slots = profile.engine_slots;
  engine_profile.step = profile.engine_step;
  // The nodes alone have to keep batch out of the way.
  engine_profile.preempts = false;
  for (unsigned number = 0; number < profile.engines; ++number) {
    engines.push_back(std::make_unique<SimEngine>(world, engine_profile));
    engines.back()->process.start();
    publish_engine(number);
  }
  for (unsigned number = 0; number < profile.services; ++number) {
    services.push_back(std::make_unique<SimService>(world));
    services.back()->process.start();
    publish_service(number);
  }
  for (unsigned number = 0; number < profile.nodes; ++number) {
    nodes.push_back(std::make_unique<SimNode>(world));
    SimNode& node = *nodes.back();
    node.zone = "zone-" + std::to_string(number % 3);
    node.has_disk = number < kLedgerNodes;
    node.disk_id = node.has_disk ? "disk-" + hex64(world.random.next()) : "";
    start_node(number);
  }
}

SimFleet::~SimFleet() = default;

void SimFleet::start_node(unsigned number) {
  SimNode& node = *nodes[number];
  if (node.process.up()) {
    return;
  }
  node.process.start();
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
  options.self.incarnation = static_cast<std::uint64_t>(world.now() / 1ms);
  for (unsigned seed = 0; seed < kLedgerNodes; ++seed) {
    options.seeds.push_back(address_of(seed));
  }
  options.controller.group_count = 4;
  options.guards = guards;
  NodeLife life;
  life.environment = std::make_unique<SimEnvironment>(*this, number);
  life.backends = std::make_unique<SimBackends>(*this, number);
  life.platform = std::make_unique<SimPlatformClient>(*this, number);
  life.core = std::make_unique<node::NodeCore>(
      node::NodeDependencies{*life.environment, node.counters, node.has_disk ? &node.storage : nullptr, *life.backends,
                             *life.platform},
      options);
  if (life.core->dispatcher) {
    life.core->dispatcher->on_start = [this](const JobId& job, std::uint32_t index) {
      oracle.item_started(job.str(), index, world.now());
    };
  }
  node.life = std::move(life);
  node.life.core->start();
}

void SimFleet::crash_node(unsigned number) {
  SimNode& node = *nodes[number];
  node.process.crash();
  node.storage.crash();
  node.open_requests.clear();
  node.draining = false;
  ended_lives_.push_back(std::move(node.life));
  node.life = NodeLife();
}

void SimFleet::lose_disk(unsigned number) {
  SimNode& node = *nodes[number];
  crash_node(number);
  node.storage.wipe();
  node.disk_whole = false;
  node.disk_id = "disk-" + hex64(world.random.next());
  start_node(number);
}

void SimFleet::observe_disk(unsigned number) {
  SimNode& node = *nodes[number];
  if (!node.process.up() || node.disk_whole) {
    return;
  }
  const auto& groups = node.life.core->catalog.groups().groups;
  const ledger::ReplicaIdentity self{NodeId("node-" + std::to_string(number)), DiskId(node.disk_id)};
  const bool member = !groups.empty() &&
                      std::all_of(groups.begin(), groups.end(),
                                  [&](const ledger::ReplicaGroup& group) { return group.index_of(self).has_value(); });
  node.disk_whole = member && node.life.core->replica->synchronized();
}

void SimFleet::drain_node(unsigned number) {
  SimNode& node = *nodes[number];
  node.draining = true;
  node.life.core->drain();
  ++oracle.planned_stops;
}

void SimFleet::check_drains() {
  for (unsigned number = 0; number < nodes.size(); ++number) {
    SimNode& node = *nodes[number];
    if (!node.process.up() || node.process.frozen() || !node.draining) {
      continue;
    }
    node.quiet_checks = node.life.core->drained() ? node.quiet_checks + 1 : 0;
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

void SimFleet::publish_engine(unsigned number) {
  const bool leaving = engines[number]->model.leaving();
  machines->store({{"machine", engine_name(number)},
                   "{\"target\":\"model\",\"pool\":\"model\",\"slots\":" + std::to_string(profile.engine_slots) +
                       ",\"state\":\"" + (leaving ? "leaving" : "live") + "\"}",
                   0,
                   false},
                  "", kMachineListLag);
}

void SimFleet::publish_service(unsigned number) {
  machines->store({{"machine", service_name(number)},
                   std::string("{\"target\":\"service\",\"pool\":\"service\",\"slots\":64,\"state\":\"") +
                       (services[number]->leaving ? "leaving" : "live") + "\"}",
                   0,
                   false},
                  "", kMachineListLag);
}

void SimFleet::set_engine_leaving(unsigned number, bool leaving) {
  engines[number]->model.set_leaving(leaving);
  engines[number]->leaving_since = world.now();
  publish_engine(number);
}

void SimFleet::set_service_leaving(unsigned number, bool leaving) {
  services[number]->leaving = leaving;
  services[number]->leaving_since = world.now();
  publish_service(number);
}

bool SimFleet::cut_between(unsigned one, unsigned other) const {
  return conditions.cuts.contains({std::min(one, other), std::max(one, other)});
}

void SimFleet::deliver_message(unsigned from, const PeerAddress& to, const wire::Bytes& frame) {
  const unsigned target = number_of(to.str());
  if (target >= nodes.size() || cut_between(from, target)) {
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
    world.schedule(own ? Duration(0) : delay, [this, from, target, life, frame] {
      if (cut_between(from, target)) {
        return;
      }
      nodes[target]->process.deliver(life, [this, target, frame] {
        const std::string_view bytes(reinterpret_cast<const char*>(frame.data()), frame.size());
        world.trace(bytes);
        const auto decoded = wire::decode_frame(bytes);
        for (const wire::Incoming& incoming : value_of(decoded)) {
          if (nodes[target]->life.core) {
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

void SimFleet::heal() {
  conditions = Conditions();
  conditions.loss_percent = 0;
  conditions.duplicate_percent = 0;
  conditions.late_percent = 0;
  for (unsigned number = 0; number < nodes.size(); ++number) {
    if (nodes[number]->process.frozen()) {
      nodes[number]->process.thaw();
    }
    start_node(number);
  }
  for (unsigned number = 0; number < engines.size(); ++number) {
    engines[number]->process.start();
    if (engines[number]->model.leaving()) {
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
