#include "placement/coordinator.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "placement/call_reporter.hpp"
#include "placement/fleet_members.hpp"
#include "placement/place_client.hpp"

using namespace madderdeck;
using namespace madderdeck::placement;
using namespace madderdeck::tests;

namespace {

constexpr std::uint32_t kSlots = 4;
const std::string kPool = "p";

/// A gateway of a large fleet, with @p engines engines that are distributed evenly over the five zones.
struct gateway_fixture {
  explicit gateway_fixture(unsigned engines = 30) : fleet(60) {
    registry.set_subset_size(1000);
    std::vector<config::Entry> entries;
    std::vector<config::EntryKey> keys;
    for (unsigned number = 0; number < engines; ++number) {
      config::Machine machine;
      machine.id = BackendId("e" + std::to_string(number));
      machine.pools = {kPool};
      machine.zone = "z" + std::to_string(number % fleet_members::kZones);
      machine.slots = kSlots;
      entries.push_back({{config::kMachineKind, machine.id.str()}, config::format_machine(machine), number + 1, false});
      keys.push_back(entries.back().key);
    }
    table.apply(0, engines, entries);
    registry.update(table, keys);
  }
  const wire::MemberT& self() const { return fleet.members.self(); }
  forwarding::placement_query query() const {
    forwarding::placement_query query;
    query.pool = kPool;
    return query;
  }
  wire::EngineActivityT activity_report(const std::string& node, const std::string& engine, std::uint32_t live,
                                        std::uint32_t batch, bool silent = false) const {
    wire::EngineActivityT message;
    message.node = node;
    auto entry = std::make_unique<wire::EngineCallsT>();
    entry->engine = engine;
    entry->live = live;
    entry->batch = batch;
    entry->silent = silent;
    message.engines.push_back(std::move(entry));
    return message;
  }
  void fill_zone(const std::string& zone) {
    for (const auto& [id, backend] : registry.backends()) {
      if (backend.machine.zone == zone) {
        own.take(activity_report("other", id.str(), kSlots, 0));
      }
    }
  }
  std::size_t sent(wire::Message type) const { return fleet.environment.sent_of(type); }
  /// @return the receiver of the last request for an engine.
  PeerAddress last_asked() const {
    for (auto message = fleet.environment.sent.rbegin(); message != fleet.environment.sent.rend(); ++message) {
      if (message->body.type == wire::Message::PlaceRequest) {
        return message->to;
      }
    }
    FAIL("no request");
    return {};
  }
  const wire::PlaceRequestT& last_request() const {
    for (auto message = fleet.environment.sent.rbegin(); message != fleet.environment.sent.rend(); ++message) {
      if (message->body.type == wire::Message::PlaceRequest) {
        return *message->body.AsPlaceRequest();
      }
    }
    FAIL("no request");
    static const wire::PlaceRequestT none;
    return none;
  }

  fleet_members fleet;
  NoDecisionLog log;
  config::VersionedTable table;
  routing::Registry registry{fleet.environment, fleet.counters, "node-0", {true, true, false, true}};
  coordinator own{fleet.environment, fleet.counters, log, registry, fleet.who, self()};
  place_client client{fleet.environment, fleet.counters, log, registry, fleet.who, self(), own};
};

const engine_domain kOwnDomain{kPool, "z0"};

}  // namespace

TEST_CASE("calls are placed on free slots of the zone while there are any, each slot once") {
  rc::prop("whatever the engines run already", [] {
    gateway_fixture fixture;
    std::map<BackendId, std::uint32_t> live;
    std::uint32_t free = 0;
    for (const auto& [id, backend] : fixture.registry.backends()) {
      if (backend.machine.zone != kOwnDomain.zone) {
        continue;
      }
      live[id] = *rc::gen::inRange<std::uint32_t>(0, kSlots + 1);
      free += kSlots - live[id];
      fixture.own.take(fixture.activity_report("other", id.str(), live[id], 0));
    }
    for (std::uint32_t call = 0; call < free; ++call) {
      const placement_choice choice = fixture.own.choose(caller{"asker"}, kOwnDomain, fixture.query(), true);
      RC_ASSERT(choice.place.has_value());
      RC_ASSERT(++live.at(choice.place->engine) <= kSlots);
    }
  });
}

TEST_CASE("batch work yields where no slot is free, and the answer says so") {
  gateway_fixture fixture;
  for (const auto& [id, backend] : fixture.registry.backends()) {
    fixture.own.take(fixture.activity_report("other", id.str(), 1, kSlots - 1));
  }
  const placement_choice choice = fixture.own.choose(caller{"asker"}, kOwnDomain, fixture.query(), true);
  REQUIRE(choice.place);
  CHECK(choice.place->needs_yield);
}

TEST_CASE("a zone that is full names another one with room, while its word is fresh") {
  gateway_fixture fixture;
  fixture.fill_zone("z0");
  // No other zone has reported free slots.
  CHECK(fixture.own.choose(caller{"asker"}, kOwnDomain, fixture.query(), false).place);
  wire::PlaceRoomT room;
  room.pool = kPool;
  room.zone = "z3";
  room.free = 9;
  fixture.own.handle(room);
  const placement_choice choice = fixture.own.choose(caller{"asker"}, kOwnDomain, fixture.query(), false);
  CHECK_FALSE(choice.place);
  CHECK(choice.zone == "z3");
  CHECK(fixture.own.choose(caller{"asker"}, kOwnDomain, fixture.query(), true).place);
  fixture.fleet.environment.world.run_for(1s);
  CHECK(fixture.own.choose(caller{"asker"}, kOwnDomain, fixture.query(), false).place);
}

TEST_CASE("an engine that several nodes hear nothing of gets no calls while others speak") {
  gateway_fixture fixture;
  fixture.own.take(fixture.activity_report("a", "e0", 1, 0, true));
  fixture.own.take(fixture.activity_report("b", "e0", 1, 0, true));
  for (int call = 0; call < 10; ++call) {
    const placement_choice choice = fixture.own.choose(caller{"asker"}, kOwnDomain, fixture.query(), true);
    REQUIRE(choice.place);
    CHECK(choice.place->engine != BackendId("e0"));
  }
}

TEST_CASE("a small pool is looked after as a whole") {
  gateway_fixture fixture(5);
  CHECK(domain_in(fixture.registry, kPool, "z0") == engine_domain{kPool, ""});
  std::set<BackendId> used;
  for (unsigned call = 0; call < 5 * kSlots; ++call) {
    const placement_choice choice = fixture.own.choose(caller{"asker"}, {kPool, ""}, fixture.query(), false);
    REQUIRE(choice.place);
    used.insert(choice.place->engine);
  }
  CHECK(used.size() == 5);
}

TEST_CASE("a gateway asks its zone's coordinator and takes the answer") {
  gateway_fixture fixture;
  std::optional<forwarding::engine_assignment> answer;
  const wire::MemberT* coordinator = fixture.client.coordinator_for(kOwnDomain);
  REQUIRE(coordinator != nullptr);
  fixture.client.place(fixture.query(), [&](const auto& outcome) { answer = outcome.place; });
  if (coordinator->id != fixture.self().id) {
    wire::PlaceReplyT reply;
    reply.request = fixture.last_request().request;
    reply.engine = "e5";
    fixture.client.handle(fixture.last_asked(), reply);
    REQUIRE(answer);
    CHECK(answer->engine == BackendId("e5"));
  } else {
    CHECK(answer);
  }
}

TEST_CASE("a coordinator that does not answer keeps a call for 20 ms, and after two such calls the next one is asked") {
  gateway_fixture fixture;
  fixture.fleet.set_member_state(fixture.self().id, wire::MemberState::Alive);
  const engine_domain other{kPool, "z1"};  // this node is never its coordinator
  forwarding::placement_query query = fixture.query();
  query.first = BackendId("e1");
  query.affinity_key = "shared";
  const std::string first = fixture.client.coordinator_for(other)->id;
  for (int call = 0; call < 2; ++call) {
    bool told = false;
    fixture.client.place(query, [&told](const auto& outcome) { told = !outcome.place; });
    fixture.fleet.environment.world.run_for(19ms);
    CHECK_FALSE(told);
    fixture.fleet.environment.world.run_for(2ms);
    CHECK(told);
  }
  CHECK(fixture.client.coordinator_for(other)->id != first);
  fixture.fleet.environment.world.run_for(2100ms);
  CHECK(fixture.client.coordinator_for(other)->id == first);
}

TEST_CASE("a late answer is counted and changes nothing") {
  gateway_fixture fixture;
  forwarding::placement_query query = fixture.query();
  query.first = BackendId("e1");
  int answers = 0;
  fixture.client.place(query, [&answers](const auto&) { ++answers; });
  fixture.fleet.environment.world.run_for(30ms);
  wire::PlaceReplyT reply;
  reply.request = fixture.last_request().request;
  reply.engine = "e1";
  fixture.client.handle(fixture.last_asked(), reply);
  CHECK(answers == 1);
  CHECK(fixture.fleet.counters["placements_answered_late_total"] == 1);
}

TEST_CASE("calls are told to the coordinator of their engine's zone alone") {
  gateway_fixture fixture;
  call_reporter reporter(fixture.fleet.environment, fixture.fleet.counters, fixture.registry, fixture.client,
                         fixture.fleet.who, fixture.self(), fixture.own);
  fixture.registry.find(BackendId("e1"))->online_in_flight = 3;
  reporter.changed(BackendId("e1"));
  fixture.fleet.environment.world.run_for(35ms);
  CHECK(fixture.sent(wire::Message::EngineActivity) == 0);  // the start of a call is reported after 40 ms
  fixture.registry.find(BackendId("e1"))->online_in_flight = 2;
  reporter.changed(BackendId("e1"));
  fixture.fleet.environment.world.run_for(4ms);
  CHECK(fixture.sent(wire::Message::EngineActivity) == 0);
  fixture.fleet.environment.world.run_for(2ms);
  REQUIRE(fixture.sent(wire::Message::EngineActivity) == 1);
  const SentMessage& message = fixture.fleet.environment.sent.back();
  CHECK(message.to.str() == fixture.client.coordinator_for({kPool, "z1"})->peer_address);
  CHECK(message.body.AsEngineActivity()->engines.at(0)->live == 2);
}

// Guards against a new coordinator that takes its engines for idle until each gateway's next complete report, up to a
// second later. This happened after a power loss, because the check for changed coordinators ran only once, before any
// engine was known.
TEST_CASE("a coordinator that takes over is told of open calls within 100 ms") {
  gateway_fixture fixture;
  call_reporter reporter(fixture.fleet.environment, fixture.fleet.counters, fixture.registry, fixture.client,
                         fixture.fleet.who, fixture.self(), fixture.own);
  reporter.start();
  const BackendId engine("e2");
  routing::Backend& backend = *fixture.registry.find(engine);
  backend.online_in_flight = 1;
  reporter.changed(engine);
  fixture.fleet.environment.world.run_for(60ms);
  const engine_domain domain = domain_of(fixture.registry, backend, kPool);
  const std::string first = fixture.client.coordinator_for(domain)->id;
  fixture.fleet.set_member_state(first, wire::MemberState::Dead);
  const PeerAddress next(fixture.client.coordinator_for(domain)->peer_address);
  fixture.fleet.environment.sent.clear();
  fixture.fleet.environment.world.run_for(101ms);
  const auto told = std::find_if(
      fixture.fleet.environment.sent.begin(), fixture.fleet.environment.sent.end(),
      [&next](const SentMessage& sent) { return sent.to == next && sent.body.type == wire::Message::EngineActivity; });
  REQUIRE(told != fixture.fleet.environment.sent.end());
  CHECK(told->body.AsEngineActivity()->engines.at(0)->live == 1);
}

// Guards against periodic work for engines without calls: an idle node of a fleet with 10,000 engines checked each of
// them ten times a second.
TEST_CASE("a node tells of the engines that it calls, and of no others") {
  gateway_fixture fixture(2'000);
  call_reporter reporter(fixture.fleet.environment, fixture.fleet.counters, fixture.registry, fixture.client,
                         fixture.fleet.who, fixture.self(), fixture.own);
  reporter.start();
  routing::Backend& backend = *fixture.registry.find(BackendId("e7"));
  backend.online_in_flight = 1;
  reporter.changed(BackendId("e7"));
  fixture.fleet.environment.world.run_for(3s);
  backend.online_in_flight = 0;
  reporter.changed(BackendId("e7"));
  fixture.fleet.environment.world.run_for(1500ms);
  std::size_t entries = 0;
  for (const SentMessage& sent : fixture.fleet.environment.sent) {
    entries += sent.body.type == wire::Message::EngineActivity ? sent.body.AsEngineActivity()->engines.size() : 0;
  }
  CHECK(entries >= 4);
  CHECK(entries <= 6);  // the call's start, its end, and a complete report every second
  fixture.fleet.environment.sent.clear();
  fixture.fleet.environment.world.run_for(3s);
  CHECK(fixture.sent(wire::Message::EngineActivity) == 0);
}

TEST_CASE("an engine that falls silent under a call is told of within 100 ms") {
  gateway_fixture fixture;
  call_reporter reporter(fixture.fleet.environment, fixture.fleet.counters, fixture.registry, fixture.client,
                         fixture.fleet.who, fixture.self(), fixture.own);
  reporter.start();
  const BackendId engine("e1");
  fixture.registry.find(engine)->online_in_flight = 1;
  fixture.registry.on_sent(engine);
  const auto silent_told = [&fixture] {
    std::size_t told = 0;
    for (const SentMessage& message : fixture.fleet.environment.sent) {
      told += message.body.type == wire::Message::EngineActivity && message.body.AsEngineActivity()->engines[0]->silent;
    }
    return told;
  };
  fixture.fleet.environment.world.run_for(450ms);
  CHECK(silent_told() == 0);
  fixture.fleet.environment.world.run_for(200ms);
  CHECK(silent_told() >= 1);
  fixture.registry.on_heard(engine);
  fixture.fleet.environment.world.run_for(110ms);
  REQUIRE(fixture.fleet.environment.sent.back().body.type == wire::Message::EngineActivity);
  CHECK_FALSE(fixture.fleet.environment.sent.back().body.AsEngineActivity()->engines[0]->silent);
}

TEST_CASE("an engine that breaks its calls is empty, and gets no more of them") {
  gateway_fixture fixture;
  wire::EngineFailureT failure;
  failure.engine = "e0";
  fixture.own.handle(failure);
  fixture.own.handle(failure);
  for (int call = 0; call < 10; ++call) {
    const placement_choice choice = fixture.own.choose(caller{"asker"}, kOwnDomain, fixture.query(), true);
    REQUIRE(choice.place);
    CHECK(choice.place->engine != BackendId("e0"));
  }
  fixture.fleet.environment.world.run_for(2100ms);
  std::set<BackendId> used;
  for (int call = 0; call < 24; ++call) {
    used.insert(fixture.own.choose(caller{"asker"}, kOwnDomain, fixture.query(), true).place->engine);
  }
  CHECK(used.contains(BackendId("e0")));
}

TEST_CASE("a failed call is told to the coordinator of the engine's zone at once") {
  gateway_fixture fixture;
  call_reporter reporter(fixture.fleet.environment, fixture.fleet.counters, fixture.registry, fixture.client,
                         fixture.fleet.who, fixture.self(), fixture.own);
  reporter.failed(BackendId("e2"), call_failure_kind::unreachable);
  REQUIRE(fixture.sent(wire::Message::EngineFailure) == 1);
  CHECK(fixture.fleet.environment.sent.back().to.str() == fixture.client.coordinator_for({kPool, "z2"})->peer_address);
  CHECK(fixture.fleet.environment.sent.back().body.AsEngineFailure()->unreachable);
}

TEST_CASE("an engine that the gateways find slow gets fewer calls, and is tried again when nothing was heard for 3 s") {
  gateway_fixture fixture;
  fixture.own.start();
  const auto tell_times = [&fixture](std::uint32_t slow_ms) {
    for (const auto& [id, backend] : fixture.registry.backends()) {
      wire::EngineActivityT message = fixture.activity_report("other", id.str(), 0, 0);
      message.engines.front()->first_ms = id == BackendId("e0") ? slow_ms : 20;
      fixture.own.take(message);
    }
  };
  const auto used_by = [&fixture](int calls) {
    std::set<BackendId> used;
    for (int call = 0; call < calls; ++call) {
      used.insert(fixture.own.choose(caller{"asker"}, kOwnDomain, fixture.query(), true).place->engine);
    }
    return used;
  };
  tell_times(150);
  CHECK_FALSE(used_by(5).contains(BackendId("e0")));
  fixture.fleet.environment.world.run_for(5s);
  CHECK(used_by(6).contains(BackendId("e0")));
}

namespace {

/// A coordinator that queues calls while all slots are taken.
struct queueing_fixture : gateway_fixture {
  queueing_fixture() { fill_zone("z0"); }

  std::shared_ptr<const policy::call_order> order = std::make_shared<policy::attainable_call_order>();
  coordinator holder{fleet.environment, fleet.counters, log, registry, fleet.who, self(), order};

  void fill_zone(const std::string& zone) {
    for (const auto& [id, backend] : registry.backends()) {
      if (backend.machine.zone == zone) {
        holder.take(activity_report("other", id.str(), kSlots, 0));
      }
    }
  }
  placement_choice ask(std::uint64_t request, Duration due, Duration patience = 4s, policy::call_rank rank = {}) {
    forwarding::placement_query asked = query();
    asked.due = due;
    asked.patience = patience;
    asked.holding = 700ms;
    asked.rank = rank;
    return holder.choose({"asker", request, PeerAddress("asker:1")}, kOwnDomain, asked, true);
  }
  /// @return the numbers of the requests that were answered with an engine, in order.
  std::vector<std::uint64_t> granted() const {
    std::vector<std::uint64_t> found;
    for (const SentMessage& message : fleet.environment.sent) {
      const wire::PlaceReplyT* reply = message.body.AsPlaceReply();
      if (reply != nullptr && !reply->engine.empty()) {
        found.push_back(reply->request);
      }
    }
    return found;
  }
  void free_slots(std::uint32_t slots) { holder.take(activity_report("other", "e0", kSlots - slots, 0)); }
  void run_for(Duration time) { fleet.environment.world.run_for(time); }
};

}  // namespace

TEST_CASE("calls wait while every slot is taken, and those that can be in time go first, then the late ones") {
  queueing_fixture fixture;
  CHECK(fixture.ask(1, -50ms).waiting);  // has already missed its target
  CHECK(fixture.ask(2, 200ms).waiting);
  CHECK(fixture.ask(3, 100ms).waiting);
  CHECK(fixture.ask(4, 80ms, 4s, {0, 1}).waiting);  // on a less urgent route
  fixture.run_for(20ms);
  CHECK(fixture.granted().empty());
  fixture.free_slots(1);
  fixture.run_for(20ms);
  CHECK(fixture.granted() == std::vector<std::uint64_t>{3});
  fixture.free_slots(4);
  fixture.run_for(20ms);
  CHECK(fixture.granted() == std::vector<std::uint64_t>{3, 2, 4, 1});
}

TEST_CASE("a call that waits is asked for again without losing its place, and twice granted never") {
  queueing_fixture fixture;
  fixture.ask(1, 100ms);
  fixture.ask(2, 100ms);
  for (int repeat = 0; repeat < 10; ++repeat) {
    fixture.run_for(waiting_calls::kRepeatInterval);
    CHECK(fixture.ask(1, 100ms).waiting);
    CHECK(fixture.ask(2, 100ms).waiting);
  }
  fixture.free_slots(4);
  fixture.run_for(20ms);
  CHECK(fixture.granted().size() == 2);
}

TEST_CASE("who left or fell silent while it waited gets no slot") {
  queueing_fixture fixture;
  fixture.ask(1, 100ms);
  fixture.ask(2, 100ms);
  fixture.holder.withdraw({"asker", 1, {}});
  fixture.run_for(700ms);
  fixture.ask(3, 100ms);
  fixture.run_for(700ms);  // request 2 has not been repeated for 1.4 s
  fixture.free_slots(4);
  fixture.run_for(20ms);
  CHECK(fixture.granted() == std::vector<std::uint64_t>{3});
}

TEST_CASE("a call that would wait for longer than its caller is rejected at once, with the time to come back") {
  queueing_fixture fixture;
  // Calls hold a slot for 700 ms, so that only some of the zone's slots become free within 60 ms.
  std::optional<Duration> retry_after;
  std::uint64_t request = 0;
  while (!retry_after && request < 1'000) {
    retry_after = fixture.ask(++request, 50ms, 60ms).retry_after;
  }
  REQUIRE(retry_after);
  CHECK(request > 1);
  CHECK(*retry_after >= 60ms);
  CHECK(fixture.ask(5'000, 50ms, 4s).waiting);
}

namespace {

/// As above; of the zone's engines e0 has software version v1 and the others have v2.
struct versions_fixture : queueing_fixture {
  versions_fixture() {
    registry.set_versions_stated(true);
    for (const std::string& engine : engines_of_zone()) {
      set_version(engine, engine == "e0" ? "v1" : "v2");
    }
  }
  std::vector<std::string> engines_of_zone() const {
    std::vector<std::string> found;
    for (const auto& [id, backend] : registry.backends()) {
      if (backend.machine.zone == kOwnDomain.zone) {
        found.push_back(id.str());
      }
    }
    return found;
  }
  void set_version(const std::string& engine, const std::string& version) {
    config::Machine machine = registry.find(BackendId(engine))->machine;
    machine.software_version = version;
    const config::EntryKey key{config::kMachineKind, engine};
    const std::uint64_t revision = table.revision();
    table.apply(revision, revision + 1, {{key, config::format_machine(machine), revision + 1, false}});
    registry.update(table, {key});
  }
  placement_choice ask_for(std::uint64_t request, const std::string& version) {
    forwarding::placement_query asked = query();
    asked.due = 50ms;
    asked.patience = 4s;
    asked.holding = 700ms;
    asked.software_version = version;
    return holder.choose({"asker", request, PeerAddress("asker:1")}, kOwnDomain, asked, true);
  }
  /// @return the numbers of the requests that were told that there is no engine.
  std::vector<std::uint64_t> without_engine() const {
    std::vector<std::uint64_t> found;
    for (const SentMessage& message : fleet.environment.sent) {
      const wire::PlaceReplyT* reply = message.body.AsPlaceReply();
      if (reply != nullptr && reply->engine.empty() && !reply->waiting && !reply->rejected) {
        found.push_back(reply->request);
      }
    }
    return found;
  }
};

}  // namespace

TEST_CASE("a begun stream is placed only on engines of its software version") {
  versions_fixture fixture;
  CHECK(fixture.ask_for(1, "v2").waiting);
  fixture.free_slots(2);  // of e0
  fixture.run_for(20ms);
  CHECK(fixture.granted().empty());
  const placement_choice choice = fixture.ask_for(2, "v1");
  REQUIRE(choice.place);
  CHECK(choice.place->engine == BackendId("e0"));
}

TEST_CASE("begun streams that wait for one software version do not keep new calls from the engines of another") {
  versions_fixture fixture;
  for (std::uint64_t request = 1; request <= 20; ++request) {
    CHECK(fixture.ask_for(request, "v2").waiting);
  }
  CHECK(fixture.ask(21, 200ms).waiting);
  fixture.free_slots(1);  // of e0
  fixture.run_for(20ms);
  CHECK(fixture.granted() == std::vector<std::uint64_t>{21});
}

TEST_CASE("a begun stream does not wait for a software version that no engine has") {
  versions_fixture fixture;
  const placement_choice choice = fixture.ask_for(1, "v3");
  CHECK_FALSE(choice.place);
  CHECK_FALSE(choice.waiting);
  CHECK_FALSE(choice.retry_after);
  CHECK(fixture.ask_for(2, "v1").waiting);
  fixture.set_version("e0", "v2");  // the last engine of v1 has gone
  fixture.run_for(50ms);
  CHECK(fixture.without_engine() == std::vector<std::uint64_t>{2});
}

// Guards against gateways and coordinators that ignore the rate limit of engines that are warming up: an engine that
// had just started got 13 requests in one second, where 12.8 were allowed.
TEST_CASE("engines that warm up get no more calls a second than they bear, and the others wait") {
  gateway_fixture fixture;
  coordinator holder{fixture.fleet.environment,
                     fixture.fleet.counters,
                     fixture.log,
                     fixture.registry,
                     fixture.fleet.who,
                     fixture.self(),
                     std::make_shared<policy::attainable_call_order>()};
  constexpr double kPerSecond = 5;
  fixture.registry.set_warm_up(kPool, {20s, kPerSecond});
  std::map<BackendId, unsigned> calls;
  std::vector<BackendId> engines;
  for (const auto& [id, backend] : fixture.registry.backends()) {
    engines.push_back(id);
    calls[id] = 0;
  }
  for (const BackendId& id : engines) {
    fixture.registry.note_possible_restart(id);
  }
  unsigned held = 0;
  for (std::uint64_t number = 1; number <= 60; ++number) {
    forwarding::placement_query query = fixture.query();
    query.patience = 20s;
    query.due = 20s;
    const placement_choice choice = holder.choose({"asker", number, {}}, kOwnDomain, query, true);
    held += choice.waiting ? 1 : 0;
    if (choice.place) {
      ++calls[choice.place->engine];
    }
  }
  CHECK(held > 0);
  for (const auto& [id, count] : calls) {
    CHECK(count <= kPerSecond);
  }
  CHECK(fixture.fleet.counters["placements_rejected_total"] == 0);
}

TEST_CASE("a zone all of whose engines are silent passes its calls on to one that has room") {
  gateway_fixture fixture;
  for (const auto& [id, backend] : fixture.registry.backends()) {
    if (backend.machine.zone == kOwnDomain.zone) {
      fixture.own.take(fixture.activity_report("other", id.str(), 1, 0, true));
    }
  }
  wire::PlaceRoomT room;
  room.pool = kPool;
  room.zone = "z3";
  room.free = 9;
  fixture.own.handle(room);
  CHECK(fixture.own.choose(caller{"asker"}, kOwnDomain, fixture.query(), false).zone == "z3");
  CHECK(fixture.own.choose(caller{"asker"}, kOwnDomain, fixture.query(), true).place);
}

TEST_CASE("calls that wait are passed on to a zone that has room") {
  queueing_fixture fixture;
  fixture.ask(1, 100ms);
  wire::PlaceRoomT room;
  room.pool = kPool;
  room.zone = "z3";
  room.free = 9;
  fixture.holder.handle(room);
  fixture.run_for(20ms);
  const wire::PlaceReplyT* reply = fixture.fleet.environment.sent.back().body.AsPlaceReply();
  REQUIRE(reply != nullptr);
  CHECK(reply->zone == "z3");
}

TEST_CASE("a gateway asks again for a call that waits, and goes to the next coordinator when the first dies") {
  gateway_fixture fixture;
  fixture.fleet.set_member_state(fixture.self().id, wire::MemberState::Alive);
  forwarding::placement_query query = fixture.query();
  query.first = BackendId("e1");
  query.affinity_key = "shared";
  query.patience = 4s;
  int answers = 0;
  const auto ticket = fixture.client.place(query, [&answers](const auto&) { ++answers; });
  const PeerAddress first = fixture.last_asked();
  wire::PlaceReplyT reply;
  reply.request = ticket;
  reply.waiting = true;
  fixture.client.handle(first, reply);
  fixture.fleet.environment.world.run_for(290ms);
  CHECK(fixture.sent(wire::Message::PlaceRequest) == 1);
  fixture.fleet.environment.world.run_for(15ms);
  CHECK(fixture.sent(wire::Message::PlaceRequest) == 2);
  // Two consecutive requests without a reply make the client turn to the next coordinator.
  fixture.fleet.environment.world.run_for(45ms);
  CHECK(answers == 0);
  CHECK(fixture.last_asked() != first);
  CHECK(fixture.last_request().patience_us < Duration(4s).count());
  fixture.client.withdraw(ticket);
  CHECK(fixture.sent(wire::Message::PlaceWithdrawal) == 1);
  fixture.fleet.environment.world.run_for(1s);
  CHECK(answers == 0);
}

TEST_CASE("a prompt's start stays at its engine while waiting there is less than reading it again") {
  gateway_fixture fixture;
  forwarding::placement_query query = fixture.query();
  query.affinity_key = "shared";
  query.reading = 150ms;
  query.holding = 700ms;
  const auto first = fixture.own.choose(caller{"asker"}, kOwnDomain, query, true).place;
  REQUIRE(first);
  CHECK_FALSE(first->keeps_start);
  fixture.fleet.environment.world.run_for(200ms);
  // All slots are taken by calls of other nodes: the cached prefix is worth a short queue.
  fixture.own.take(fixture.activity_report("asker", first->engine.str(), 0, 0));
  fixture.own.take(fixture.activity_report("other", first->engine.str(), kSlots, 0));
  query.holding = 300ms;
  const auto queued = fixture.own.choose(caller{"asker"}, kOwnDomain, query, true).place;
  REQUIRE(queued);
  CHECK(queued->engine == first->engine);
  CHECK(queued->keeps_start);
  // It is not worth a long queue.
  fixture.own.take(fixture.activity_report("other", first->engine.str(), kSlots + 3, 0));
  const auto elsewhere = fixture.own.choose(caller{"asker"}, kOwnDomain, query, true).place;
  REQUIRE(elsewhere);
  CHECK(elsewhere->engine != first->engine);
}

TEST_CASE("where prompts have long shared starts, affinity and reports choose; where they end, coordinators again") {
  gateway_fixture fixture;
  CHECK(fixture.client.active());
  fixture.client.note_request(true);
  CHECK_FALSE(fixture.client.active());
  for (int request = 0; request < 300; ++request) {
    fixture.client.note_request(false);
  }
  CHECK_FALSE(fixture.client.active());
  for (int request = 0; request < 100; ++request) {
    fixture.client.note_request(false);
  }
  CHECK(fixture.client.active());
}
