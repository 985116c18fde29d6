#include "batch/dispatcher.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <utility>

#include "placement/fleet_members.hpp"
#include "forwarding/route_table.hpp"
#include "support/fake_backends.hpp"

using namespace madderdeck;
using namespace madderdeck::batch;
using tests::FakeBackends;
using tests::fleet_members;

namespace {

constexpr char kPool[] = "m";
const PeerAddress kManager("node-0:1");

/// A dispatcher on node-0, at first the only member, with one engine of four slots.
struct dispatcher_fixture {
  dispatcher_fixture() : engine(engine_owned_by("node-1")) {
    list_engine(engine);
    config::VersionedTable objects;
    objects.apply(0, 1, {{{config::kTemplateKind, "t"}, R"({"pool":"m"})", 1}});
    catalog.update(objects, {{config::kTemplateKind, "t"}});
    dispatcher.start();
    fleet.environment.world.run_for(500ms);
  }

  /// @return an engine that @p node owns once node-1 has joined.
  static BackendId engine_owned_by(const std::string& node) {
    fleet_members both(2);
    for (int number = 0;; ++number) {
      BackendId id("e" + std::to_string(number));
      if (both.who.dispatcher_of(id.str(), "z0")->id == node) {
        return id;
      }
    }
  }
  void list_engine(const BackendId& id) {
    config::VersionedTable machines;
    config::Machine machine;
    machine.id = id;
    machine.pools = {kPool};
    machine.zone = "z0";
    machine.slots = 4;
    machines.apply(0, 1, {{{config::kMachineKind, id.str()}, config::format_machine(machine), 1}});
    registry.update(machines, {{config::kMachineKind, id.str()}});
    fleet.environment.world.run_for(300ms);
  }
  void give_item(const std::function<void(wire::WorkItemT&)>& change = {}) {
    std::uint64_t request = 0;
    for (const auto& message : fleet.environment.sent) {
      request = message.body.type == wire::Message::TakeItems ? message.body.AsTakeItems()->request : request;
    }
    wire::GiveItemsT items;
    items.request = request;
    auto item = std::make_unique<wire::WorkItemT>();
    item->job = "j";
    item->template_name = "t";
    item->body = R"({"prompt":"p"})";
    item->lease_ms = 30'000;
    item->index = given++;
    if (change) {
      change(*item);
    }
    items.items.push_back(std::move(item));
    dispatcher.handle(kManager, items);
    last_given = std::move(items);
  }
  /// Delivers the message of the last give_item() again.
  void repeat_item() { dispatcher.handle(kManager, last_given); }
  void add_other() {
    wire::MemberSyncT sync;
    sync.members.push_back(std::make_unique<wire::MemberT>(fleet_members::member(1, fleet_members::equal)));
    fleet.members.handle(PeerAddress("node-1:1"), sync);
  }

  wire::GiveItemsT last_given;
  std::uint32_t given = 0;
  const BackendId engine;
  fleet_members fleet{1};
  NoDecisionLog log;
  FakeBackends backends;
  config::Catalog catalog;
  routing::Registry registry{fleet.environment, fleet.counters, "node-0", {true, true, false, true}};
  ledger::Client ledger{fleet.environment, fleet.counters, [](const NodeId&) { return std::nullopt; }};
  policy::work_estimate estimate;
  Dispatcher dispatcher{fleet.environment,
                        fleet.counters,
                        ledger,
                        fleet.members,
                        catalog,
                        registry,
                        backends,
                        log,
                        fleet.who,
                        DispatchPolicies{value_of(policy::policy_set_builder().build()), &estimate, {}}};
};

}  // namespace

namespace {

/// A dispatcher with an engine of version v1 and another one of version v2.
struct two_versions_fixture : dispatcher_fixture {
  two_versions_fixture() {
    registry.set_versions_stated(true);
    list(engine, "v1", 3);  // two of them are headroom
    list(other, "v2", 4);
    fleet.environment.world.run_for(500ms);
  }
  void list(const BackendId& id, const std::string& version, std::uint32_t slots) {
    config::Machine machine;
    machine.pools = {kPool};
    machine.zone = "z0";
    machine.slots = slots;
    machine.software_version = version;
    const config::EntryKey key{config::kMachineKind, id.str()};
    machines.apply(revision, revision + 1, {{key, config::format_machine(machine), revision + 1}});
    ++revision;
    registry.update(machines, {key});
  }
  void give_partial(const std::string& version, std::uint32_t lease_ms = 30'000) {
    give_item([&version, lease_ms](wire::WorkItemT& item) {
      item.lease_ms = lease_ms;
      item.partial = "ab";
      item.partial_tokens = 2;
      item.partial_version = version;
    });
  }

  const BackendId other{"another"};
  config::VersionedTable machines;
  std::uint64_t revision = 0;
};

}  // namespace

TEST_CASE("the result of a batch item was written by two software versions") {
  for (const char* version : {"v1", "v2"}) {
    two_versions_fixture fixture;
    fixture.give_partial(version);
    REQUIRE(fixture.backends.engine_calls.size() == 1);
    CHECK(fixture.registry.find(fixture.backends.engine_calls[0].engine)->machine.software_version == version);
    CHECK(fixture.backends.engine_calls[0].call.resume_from == 2);
  }
}

TEST_CASE("a batch item begins anew where no engine has the software version that wrote its partial output") {
  for (const char* version : {"v3", ""}) {
    two_versions_fixture fixture;
    fixture.give_partial(version);
    REQUIRE(fixture.backends.engine_calls.size() == 1);
    CHECK(fixture.backends.engine_calls[0].call.resume_from == 0);
    CHECK(fixture.fleet.counters["batch_items_begun_anew_total"] == 1);
  }
}

TEST_CASE("a batch item waits a bounded time for a busy engine of its software version") {
  two_versions_fixture fixture;
  fixture.list(fixture.other, "v2", 3);
  fixture.give_partial("v1");
  REQUIRE(fixture.backends.engine_calls.size() == 1);  // the only slot of v1
  fixture.give_partial("v1", 1'500);
  fixture.fleet.environment.world.run_for(400ms);
  CHECK(fixture.backends.engine_calls.size() == 1);
  fixture.fleet.environment.world.run_for(200ms);
  REQUIRE(fixture.backends.engine_calls.size() == 2);
  CHECK(fixture.backends.engine_calls[1].engine == fixture.other);
  CHECK(fixture.backends.engine_calls[1].call.resume_from == 0);
}

TEST_CASE("a run on an engine that another dispatcher owns by now is requeued with its progress") {
  dispatcher_fixture fixture;
  fixture.give_item();
  REQUIRE(fixture.backends.engine_calls.size() == 1);
  CHECK(fixture.backends.engine_calls[0].engine == fixture.engine);
  fixture.fleet.environment.world.run_for(400ms);
  CHECK_FALSE(fixture.backends.engine_calls[0].cancelled);
  // The engine's owner joins: live calls are reported only to it, so this run would never yield to them.
  fixture.add_other();
  fixture.fleet.environment.world.run_for(300ms);
  CHECK(fixture.backends.engine_calls[0].cancelled);
  CHECK(fixture.fleet.counters["batch_items_left_lost_engines_total"] == 1);
}

namespace {

/// @return the number of messages that told @p manager that item 0 of job "j" is held.
std::size_t confirmations(dispatcher_fixture& fixture, const PeerAddress& manager) {
  std::size_t told = 0;
  for (const auto& message : fixture.fleet.environment.sent) {
    if (message.to != manager || message.body.type != wire::Message::ItemsHeld) {
      continue;
    }
    for (const auto& job : message.body.AsItemsHeld()->jobs) {
      told += job->job == "j" && job->indexes == std::vector<std::uint32_t>{0} ? 1 : 0;
    }
  }
  return told;
}

}  // namespace

TEST_CASE("a held item is confirmed every second, while it runs and while its result is written") {
  dispatcher_fixture fixture;
  fixture.give_item();
  REQUIRE(fixture.backends.engine_calls.size() == 1);
  fixture.fleet.environment.world.run_for(2100ms);
  CHECK(confirmations(fixture, kManager) >= 2);
  fixture.fleet.environment.sent.clear();
  // No ledger group answers, so writing the result takes some seconds.
  fixture.backends.engine_calls[0].events.token(0, "text");
  fixture.backends.engine_calls[0].events.finished(1);
  fixture.fleet.environment.world.run_for(2100ms);
  CHECK(confirmations(fixture, kManager) >= 2);
}

TEST_CASE("a held item is confirmed to the manager that handed it out and to the job's current manager") {
  dispatcher_fixture fixture;
  fixture.list_engine(dispatcher_fixture::engine_owned_by("node-0"));
  fixture.registry.on_failure(fixture.engine, routing::CallFailure::not_sent);  // its owner will be another node
  fixture.give_item();
  REQUIRE(fixture.backends.engine_calls.size() == 1);
  REQUIRE(fixture.backends.engine_calls[0].engine != fixture.engine);
  fixture.add_other();
  // Checks the job's current manager, which may be another node than the one that handed out the item.
  fixture.fleet.environment.sent.clear();
  for (std::uint32_t event = 0; event < 11; ++event) {
    fixture.backends.engine_calls[0].events.token(event, "x");
    fixture.fleet.environment.world.run_for(100ms);
  }
  const std::string present = fixture.fleet.who.manager_of("j")->peer_address;
  CHECK(confirmations(fixture, kManager) >= 1);
  CHECK(confirmations(fixture, PeerAddress(present)) >= 1);
}

// Guards against polling idle engines too often: in an idle fleet of 10,000 engines, all 10,000 were polled for their
// load each second by nodes that had no call there.
TEST_CASE("an idle engine is polled for its load in one of ten rounds, an engine with calls in every round") {
  dispatcher_fixture fixture;
  REQUIRE(fixture.dispatcher.owns(fixture.engine));
  const auto asked = [&fixture] {
    std::size_t times = 0;
    for (std::uint64_t round = 0; round < Dispatcher::kIdlePollRounds; ++round) {
      times += fixture.dispatcher.engines_to_poll(round).size();
    }
    return times;
  };
  CHECK(asked() == 1);
  wire::OnlineActivityT activity;
  activity.engine = fixture.engine.str();
  activity.gateway = "gateway-1";
  activity.in_flight = 1;
  fixture.dispatcher.handle(activity);
  CHECK(asked() == Dispatcher::kIdlePollRounds);
  activity.in_flight = 0;
  fixture.dispatcher.handle(activity);
  CHECK(asked() == 1);
  fixture.give_item();
  CHECK(asked() == Dispatcher::kIdlePollRounds);
}

// The network may duplicate a message. An item that arrived twice was run twice at the same time; an item during whose
// runs engines had terminated was withheld and returned twice, so that its one further attempt was made on two engines.
TEST_CASE("an item whose message is duplicated by the network is accepted once") {
  dispatcher_fixture fixture;
  fixture.give_item();
  fixture.repeat_item();
  CHECK(fixture.backends.engine_calls.size() == 1);
  CHECK(fixture.fleet.counters["batch_items_repeated_total"] == 1);
}

// Guards against output of the program's own interface that was produced again after each end of a run.
TEST_CASE("a batch item of a generation is returned with what it has so far when its run breaks off") {
  dispatcher_fixture fixture;
  fixture.give_item();
  REQUIRE(fixture.backends.engine_calls.size() == 1);
  const routing::EngineEvents events = fixture.backends.engine_calls[0].events;
  events.token(0, "x");
  fixture.fleet.environment.sent.clear();
  events.failed(routing::CallFailure::broken);
  std::size_t returned = 0;
  for (const auto& message : fixture.fleet.environment.sent) {
    const bool settles = message.to == kManager && message.body.type == wire::Message::ItemSettled;
    returned += settles && message.body.AsItemSettled()->partial_tokens == 1 ? 1 : 0;
  }
  CHECK(returned == 1);
}

namespace {

/// Stands in for the manager of item 0 of job "j": hands it out again, with its progress, whenever it was returned.
class item_manager {
 public:
  explicit item_manager(dispatcher_fixture& fixture) : fixture_(fixture) { give({}); }

  /// Lets time pass until the item has been started @p times times.
  /// @return whether that took at most @p limit.
  bool await_start(std::size_t times, Duration limit) {
    for (Duration waited{}; waited <= limit && fixture_.backends.engine_calls.size() < times; waited += kStep) {
      fixture_.dispatcher.handle(notice());
      fixture_.fleet.environment.world.run_for(kStep);
      give_if_returned();
    }
    return fixture_.backends.engine_calls.size() == times;
  }

 private:
  static constexpr Duration kStep = 100ms;

  static wire::JobNoticeT notice() {
    wire::JobNoticeT message;
    message.manager = kManager.str();
    return message;
  }
  /// Items are handed out in answer to requests only.
  void give_if_returned() {
    bool asked = false;
    for (const auto& message : fixture_.fleet.environment.sent) {
      if (message.to == kManager && message.body.type == wire::Message::ItemSettled) {
        returned_ = *message.body.AsItemSettled();
        CHECK_FALSE(returned_->completed);
      }
      asked = asked ||
              (message.body.type == wire::Message::TakeItems && message.body.AsTakeItems()->request > last_answered_);
    }
    std::erase_if(fixture_.fleet.environment.sent,
                  [](const auto& message) { return message.body.type == wire::Message::ItemSettled; });
    if (returned_ && asked) {
      give(*std::exchange(returned_, std::nullopt));
    }
  }
  void give(const wire::ItemSettledT& progress) {
    for (const auto& message : fixture_.fleet.environment.sent) {
      const bool asks = message.body.type == wire::Message::TakeItems;
      last_answered_ = asks ? message.body.AsTakeItems()->request : last_answered_;
    }
    fixture_.give_item([&progress](wire::WorkItemT& item) {
      item.index = 0;
      item.partial = progress.partial;
      item.partial_tokens = progress.partial_tokens;
      item.failed_runs = progress.failed_runs;
    });
  }

  dispatcher_fixture& fixture_;
  std::optional<wire::ItemSettledT> returned_;
  std::uint64_t last_answered_ = 0;  ///< Number of the latest request for items that was answered.
};

}  // namespace

// Guards against a sound item that is set aside, failed or left waiting since engines ended under it, and against
// output that is lost then.
TEST_CASE("a batch item is started again within 3 s after each of 1 to 50 engines that ended under it") {
  constexpr std::uint32_t kEnds = 50;
  dispatcher_fixture fixture;
  item_manager manager(fixture);
  for (std::uint32_t end = 1; end <= kEnds; ++end) {
    INFO("end " << end);
    REQUIRE(manager.await_start(end, 3s));
    CHECK(fixture.backends.engine_calls.back().call.resume_from == end - 1);
    const routing::EngineEvents events = fixture.backends.engine_calls.back().events;
    events.token(end - 1, "x");
    events.failed(routing::CallFailure::broken);
  }
  CHECK(manager.await_start(kEnds + 1, 3s));
  CHECK(fixture.fleet.counters["batch_results_written_total"] == 0);
}
// Guards against an item that waits in the queue of a node whose engines are gone while others have room.
TEST_CASE("a queued item that no engine of its node can run is returned soon") {
  dispatcher_fixture fixture;
  for (int items = 0; items < 4; ++items) {  // two slots are headroom, two items wait
    fixture.give_item();
  }
  REQUIRE(fixture.backends.engine_calls.size() == 2);
  fixture.fleet.environment.sent.clear();
  fixture.registry.on_failure(fixture.engine, routing::CallFailure::not_sent);  // it is ejected
  fixture.fleet.environment.world.run_for(500ms);
  CHECK(fixture.fleet.environment.sent_of(wire::Message::ItemSettled) >= 2);
  CHECK(fixture.fleet.counters["batch_items_unplaceable_total"] == 2);
}

// Guards against an item that waits for an engine whose bytes are no events.
TEST_CASE("a run without an event for 5 s is moved, though its engine is heard on other calls") {
  dispatcher_fixture fixture;
  fixture.give_item();
  fixture.give_item();
  REQUIRE(fixture.backends.engine_calls.size() == 2);
  for (std::uint32_t event = 0; event < 52; ++event) {
    fixture.backends.engine_calls[1].events.token(event, "x");
    fixture.fleet.environment.world.run_for(100ms);
  }
  CHECK(fixture.backends.engine_calls[0].cancelled);
  CHECK_FALSE(fixture.backends.engine_calls[1].cancelled);
  CHECK(fixture.fleet.counters["batch_items_without_progress_total"] == 1);
}

// An item was handed to the next engine while the one before, silent on its connection alone, still ran it.
TEST_CASE("an item stays at a silent engine that works on it, up to 10 s") {
  dispatcher_fixture fixture;
  fixture.give_item();
  REQUIRE(fixture.backends.engine_calls.size() == 1);
  fixture.backends.presence = routing::run_presence::running;
  fixture.fleet.environment.world.run_for(9500ms);
  CHECK(fixture.backends.engine_calls.size() == 1);
  CHECK_FALSE(fixture.backends.engine_calls[0].cancelled);
  CHECK(fixture.backends.lookups.front() == std::to_string(fixture.backends.engine_calls[0].call.attempt));
  SECTION("and is moved when the engine does not have it any more") {
    fixture.backends.presence = routing::run_presence::absent;
    fixture.fleet.environment.world.run_for(600ms);
    CHECK(fixture.backends.engine_calls[0].cancelled);
  }
  SECTION("and is moved after that time") {
    fixture.fleet.environment.world.run_for(1s);
    CHECK(fixture.backends.engine_calls[0].cancelled);
  }
}

// After a machine had stood still, its manager handed out anew what its dispatcher still ran: the item ran twice there.
TEST_CASE("an item that this node holds and is handed out again is not run twice") {
  dispatcher_fixture fixture;
  fixture.give_item();
  REQUIRE(fixture.backends.engine_calls.size() == 1);
  fixture.backends.presence = routing::run_presence::running;
  fixture.fleet.environment.world.run_for(4500ms);  // it asks for items again
  fixture.give_item([](wire::WorkItemT& item) { item.index = 0; });
  CHECK(fixture.backends.engine_calls.size() == 1);
  CHECK(fixture.fleet.counters["batch_items_already_held_total"] == 1);
  CHECK(fixture.fleet.environment.sent_of(wire::Message::ItemSettled) == 1);  // claims the item
}

// An engine that was silent on an item's connection went on with it beside the engine to which the item was moved.
TEST_CASE("an item that left a silent engine runs again when that does not have it any more, or after 5 s") {
  dispatcher_fixture fixture;
  fixture.give_item();
  REQUIRE(fixture.backends.engine_calls.size() == 1);
  fixture.fleet.environment.world.run_for(1s);
  fixture.backends.presence = routing::run_presence::running;
  fixture.add_other();
  fixture.fleet.environment.world.run_for(1s);
  REQUIRE(fixture.backends.engine_calls[0].cancelled);  // another dispatcher owns the engine
  CHECK(fixture.dispatcher.active() == 1);
  SECTION("the former") { fixture.backends.presence = routing::run_presence::absent; }
  SECTION("the latter") { fixture.fleet.environment.world.run_for(4s); }
  fixture.fleet.environment.world.run_for(1s);
  CHECK(fixture.dispatcher.active() == 0);
}

namespace {

/// @return what the dispatcher has told its manager of item 0.
std::vector<wire::ItemSettledT> reports_of(const dispatcher_fixture& fixture) {
  std::vector<wire::ItemSettledT> reports;
  for (const auto& message : fixture.fleet.environment.sent) {
    if (message.to == kManager && message.body.type == wire::Message::ItemSettled) {
      reports.push_back(*message.body.AsItemSettled());
    }
  }
  return reports;
}

}  // namespace

// Guards against the reason of a failure that is listed before the output of an item.
TEST_CASE("an item that is rejected while the ledger is away keeps its output apart from the reason") {
  for (const std::uint32_t events : {0U, 1U, 3U}) {
    dispatcher_fixture fixture;  // its ledger has no members, so that nothing can be written
    fixture.give_item();
    REQUIRE(fixture.backends.engine_calls.size() == 1);
    const routing::EngineEvents run = fixture.backends.engine_calls[0].events;
    for (std::uint32_t event = 0; event < events; ++event) {
      run.token(event, "x");
    }
    run.failed(routing::CallFailure::invalid);
    fixture.fleet.environment.world.run_for(12s);
    const std::vector<wire::ItemSettledT> reports = reports_of(fixture);
    CAPTURE(events);
    REQUIRE_FALSE(reports.empty());
    for (const wire::ItemSettledT& report : reports) {
      CHECK_FALSE(report.completed);
      CHECK(report.partial == std::string(events, 'x'));
      CHECK(report.partial_tokens == events);
    }
  }
}

// Guards against a failure that is forgotten, or an item that is run once more, where the ledger is away for long.
TEST_CASE(
    "an item that failed for good while the ledger is away stays with its dispatcher until the failure is written") {
  dispatcher_fixture fixture;
  fixture.give_item();
  fixture.backends.engine_calls.at(0).events.failed(routing::CallFailure::invalid);
  fixture.fleet.environment.world.run_for(12s);
  CHECK(fixture.dispatcher.active() == 1);
  CHECK(fixture.backends.engine_calls.size() == 1);
  for (const wire::ItemSettledT& report : reports_of(fixture)) {
    CHECK(report.held);
    CHECK(report.failure == wire::ItemFailure::Rejected);
  }
  fixture.repeat_item();
  fixture.fleet.environment.world.run_for(1s);
  CHECK(fixture.backends.engine_calls.size() == 1);
  fixture.fleet.environment.sent.clear();
  fixture.dispatcher.drain();
  fixture.fleet.environment.world.run_for(5s);  // a write that had begun fails first
  bool returned = false;
  for (const wire::ItemSettledT& report : reports_of(fixture)) {
    returned = returned || (!report.held && report.failure == wire::ItemFailure::Rejected);
  }
  CHECK(returned);
  CHECK(fixture.dispatcher.active() == 0);
}

// Guards against attempts that are forgotten where the manager is of an earlier version and hands the item out again.
TEST_CASE("an item that failed as often as it may is not run again") {
  dispatcher_fixture fixture;
  fixture.give_item([](wire::WorkItemT& item) { item.failed_runs = 20; });
  fixture.fleet.environment.world.run_for(1s);
  CHECK(fixture.backends.engine_calls.empty());
}

// Guards against a reason that an earlier version left in an item's output, and that a run continues.
TEST_CASE("an item that is given with a reason in place of output begins anew") {
  dispatcher_fixture fixture;
  fixture.give_item([](wire::WorkItemT& item) {
    item.partial = "the engine rejects the item\nx";
    item.partial_tokens = 2;
  });
  REQUIRE(fixture.backends.engine_calls.size() == 1);
  CHECK(fixture.backends.engine_calls[0].call.resume_from == 0);
}

namespace {

/// A dispatcher whose items are HTTP requests with the path /live/1, of a job on the route "bulk" below /jobs/.
struct routes_fixture : dispatcher_fixture {
  static constexpr char kHost[] = "h";
  static constexpr std::uint64_t kAcceptedAt = 5;

  routes_fixture() { take(kAcceptedAt, {bulk()}); }

  static forwarding::Route route(const std::string& name, const std::string& prefix, const std::string& pool) {
    forwarding::Route made;
    made.name = name;
    made.host = kHost;
    made.path_prefix = prefix;
    made.kind = forwarding::RouteKind::stream;
    made.pools = {{pool, 1}};
    return made;
  }
  static forwarding::Route bulk() {
    forwarding::Route made = route("bulk", "/jobs/", kPool);
    made.kind = forwarding::RouteKind::batch;
    made.max_attempts = 3;
    return made;
  }
  void take(std::uint64_t version, std::vector<forwarding::Route> routes) {
    forwarding::RouteTable table;
    table.version = version;
    table.routes = std::move(routes);
    const config::EntryKey key{forwarding::kRouteTableKind, "main"};
    objects.apply(revision, revision + 1, {{key, forwarding::format_route_table(table), revision + 1}});
    ++revision;
    catalog.update(objects, {key});
    fleet.environment.world.run_for(100ms);
  }
  void give_http(const std::function<void(wire::WorkItemT&)>& change = {}) {
    give_item([&change](wire::WorkItemT& item) {
      wire::HttpItemT request;
      request.id = "item";
      request.method = "POST";
      request.target = "/live/1";
      const wire::Bytes encoded = wire::encode_record(request);
      item.body.assign(encoded.begin(), encoded.end());
      item.host = kHost;
      item.template_name = "bulk";
      item.route_prefix = "/jobs/";
      item.routes_version = kAcceptedAt;
      if (change) {
        change(item);
      }
    });
  }
  /// @return whether the item that was given last has been started; otherwise it is taken back.
  bool runs() {
    fleet.environment.world.run_for(200ms);
    return backends.engine_calls.size() == given;
  }
  bool given_up() { return fleet.counters["batch_items_failed_total"] > 0; }
  /// Hands the item out again and again, as its manager does with one that is returned.
  void keep_giving(Duration length) {
    for (Duration passed{}; passed < length; passed += 500ms) {
      give_http();
      fleet.environment.world.run_for(500ms);
    }
  }

  config::VersionedTable objects;
  std::uint64_t revision = 0;
};

}  // namespace

// Guards against items that are given up, or run elsewhere, because of a live route that has their path.
TEST_CASE("a live route with the path of a batch item decides about the item") {
  forwarding::Route few = routes_fixture::route("live", "/live/", "other");
  few.max_attempts = 1;
  const forwarding::Route all = routes_fixture::route("all", "/", "other");
  const forwarding::Route longer = routes_fixture::route("longer", "/live/1", "other");
  forwarding::Route below = routes_fixture::route("below", "/jobs/live/", "other");
  forwarding::Route other_job = routes_fixture::bulk();
  other_job.name = "other bulk";
  other_job.path_prefix = "/live/";
  other_job.pools = {{"other", 1}};
  forwarding::Route other_host = routes_fixture::bulk();
  other_host.host = "other";
  other_host.pools = {{"other", 1}};
  const forwarding::Route bulk = routes_fixture::bulk();
  const std::vector<std::vector<forwarding::Route>> tables = {
      {bulk},
      {few, bulk},
      {bulk, few},
      {all, bulk, longer},
      {below, few, bulk},
      {other_job, bulk},
      {other_host, bulk, few},
  };
  for (std::size_t before = 0; before < tables.size(); ++before) {
    for (std::size_t after = 0; after < tables.size(); ++after) {
      routes_fixture fixture;
      CAPTURE(before, after);
      fixture.take(6, tables[before]);
      fixture.give_http();
      REQUIRE(fixture.runs());
      fixture.take(7, tables[after]);
      for (std::uint32_t failed = 1; failed < 3; ++failed) {
        fixture.backends.engine_calls.back().events.failed(routing::CallFailure::failed_run);
        CHECK_FALSE(fixture.given_up());
        fixture.give_http([failed](wire::WorkItemT& item) { item.failed_runs = failed; });
        REQUIRE(fixture.runs());
      }
      fixture.backends.engine_calls.back().events.failed(routing::CallFailure::failed_run);
      CHECK(fixture.given_up());
    }
  }
}

// Guards against items that outlive the route of their job, or that end with it while it is only put back.
TEST_CASE("the items of a job whose own route is removed end 5 s later unless it is put back") {
  for (const auto& [away, ends] : {std::pair{1s, false}, {4s, false}, {6s, true}}) {
    routes_fixture fixture;
    CAPTURE(away.count());
    fixture.take(6, {routes_fixture::route("live", "/live/", kPool)});
    fixture.keep_giving(away);
    CHECK(fixture.given_up() == ends);
    CHECK(fixture.backends.engine_calls.empty());
    fixture.take(7, {routes_fixture::bulk()});
    fixture.backends.engine_calls.clear();
    fixture.give_http();
    fixture.fleet.environment.world.run_for(200ms);
    CHECK_FALSE(fixture.backends.engine_calls.empty());
  }
}

// Guards against items that a node gives up because it has not heard yet of the route that accepted their job.
TEST_CASE("the items of a job are given up by a dispatcher whose routes are older than the job") {
  routes_fixture fixture;
  fixture.take(6, {});
  for (int second = 0; second < 16; ++second) {
    fixture.give_http([](wire::WorkItemT& item) { item.routes_version = 7; });
    fixture.fleet.environment.world.run_for(1s);
  }
  CHECK_FALSE(fixture.given_up());
  CHECK(fixture.backends.engine_calls.empty());
}

// Guards against jobs whose items find no route: accepted by an earlier version, or whose route has another name now.
TEST_CASE("the items of a job find its route by name, or by its prefix where no route has the name") {
  routes_fixture fixture;
  fixture.give_http([](wire::WorkItemT& item) {
    item.route_prefix.clear();
    item.routes_version = 0;
  });
  CHECK(fixture.runs());
  forwarding::Route renamed = routes_fixture::bulk();
  renamed.name = "renamed";
  fixture.take(6, {routes_fixture::route("jobs", "/jobs/", "other"), renamed});
  fixture.give_http();
  CHECK(fixture.runs());
}
