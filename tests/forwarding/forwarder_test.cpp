#include "forwarding/forwarder.hpp"

#include <catch2/catch.hpp>

#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::forwarding;
using madderdeck::routing::CallFailure;

namespace {

/// Back ends whose callbacks the test calls.
class FakeUpstream : public Upstream {
 public:
  struct Call {
    UpstreamCall call;
    UpstreamEvents events;
    bool cancelled = false;
  };
  routing::CallId start(UpstreamCall call, UpstreamEvents events) override {
    calls.push_back({std::move(call), std::move(events)});
    return calls.size();
  }
  void cancel(routing::CallId call) override {
    if (call > 0) {
      calls.at(call - 1).cancelled = true;
    }
  }
  void pause(routing::CallId) override {}
  void resume(routing::CallId) override {}
  void find_run(const BackendId&, const std::string& id, routing::RunFound done) override {
    lookups.push_back(id);
    done(presence);
  }

  std::vector<Call> calls;
  std::vector<std::string> lookups;
  routing::run_presence presence = routing::run_presence::unreachable;  ///< What each back end tells of any request.
};

/// Replies with the engines that the test chooses, when the test calls the stored callbacks.
class scripted_placer : public engine_placer {
 public:
  bool active() const override { return on; }
  void note_request(bool long_start) override { long_starts += long_start ? 1 : 0; }
  ticket place(const placement_query& query, placed done) override {
    queries.push_back(query);
    answers.push_back(std::move(done));
    return answers.size();
  }
  void withdraw(ticket question) override { withdrawn.push_back(question); }
  void return_unused(const BackendId& engine) override { unused.push_back(engine); }

  bool on = true;
  std::vector<placement_query> queries;
  std::vector<placed> answers;
  std::vector<ticket> withdrawn;
  std::vector<BackendId> unused;
  int long_starts = 0;
};

/// Answers lookups when the test calls the stored callbacks.
class scripted_directory : public stream_directory {
 public:
  void record(const stream_key& key, const stream_origin& origin, Duration /*valid_for*/,
              bool /*several_pools*/) override {
    recorded.emplace_back(key, origin);
  }
  ticket look_up(stream_query query, found done) override {
    queries.push_back(std::move(query));
    answers.push_back(std::move(done));
    return answers.size();
  }
  void withdraw(ticket lookup) override { withdrawn.push_back(lookup); }

  std::vector<std::pair<stream_key, stream_origin>> recorded;
  std::vector<stream_query> queries;
  std::vector<found> answers;
  std::vector<ticket> withdrawn;
};

/// Records what the caller has received.
struct Caller {
  std::optional<AnswerHead> head;
  std::string body;
  bool finished = false;
  bool broken = false;
  std::optional<routing::Refusal> refusal;

  ForwardEvents events() {
    ForwardEvents result;
    result.head = [this](const AnswerHead& answer, std::optional<std::string> whole) {
      head = answer;
      body.append(whole.value_or(""));
      finished = whole.has_value();
    };
    result.piece = [this](std::string_view piece) { body.append(piece); };
    result.finished = [this] { finished = true; };
    result.broken = [this] { broken = true; };
    result.refused = [this](routing::Refusal given) { refusal = std::move(given); };
    return result;
  }
};

struct Fixture {
  /// @param versions software versions of the back ends, by number; back ends beyond them state none.
  explicit Fixture(std::size_t backends = 3, const std::vector<std::string>& versions = {}) {
    std::vector<config::Entry> entries;
    for (std::size_t number = 0; number < backends; ++number) {
      config::Machine machine;
      machine.address = "10.0.0." + std::to_string(number) + ":80";
      machine.pools = {"pool"};
      machine.slots = 8;
      machine.software_version = number < versions.size() ? versions[number] : "";
      const config::EntryKey key{config::kMachineKind, "engine-" + std::to_string(number)};
      entries.push_back({key, config::format_machine(machine), number + 1, false});
      keys.push_back(key);
    }
    table.apply(0, backends + 1, entries);
    registry.update(table, keys);
    registry.set_versions_stated(!versions.empty());
    route->name = "route";
    route->kind = RouteKind::repeatable;
    route->pools = {{"pool", 1}};
    route->timeout_ms = 1000;
    route->target_ms = 300;
    route->max_attempts = 2;
  }
  ForwardId start(std::optional<Duration> patience = std::nullopt) {
    auto request = std::make_shared<ForwardedRequest>();
    request->id = "r1";
    request->patience = patience;
    return forwarder.start(request, route, caller.events());
  }
  FakeUpstream::Call& call(std::size_t number) { return upstream.calls.at(number); }
  void answer(std::size_t number, unsigned status, const std::string& body, bool event_stream = false) {
    call(number).events.head(AnswerHead{status, {}, event_stream});
    call(number).events.piece(body);
  }

  tests::TestEnvironment environment;
  Counters counters;
  NoDecisionLog log;
  routing::Registry registry{environment, counters, "node", routing::RegistryGuards{true, true, false}};
  config::VersionedTable table;
  std::vector<config::EntryKey> keys;
  FakeUpstream upstream;
  Forwarder forwarder{environment, counters, log, registry, upstream, [](const BackendId&, std::uint32_t) {}};
  std::shared_ptr<Route> route = std::make_shared<Route>();
  Caller caller;
};

}  // namespace

TEST_CASE("an answer that is not a stream is forwarded once it is complete, with its status") {
  Fixture fixture;
  fixture.start();
  fixture.answer(0, 404, "no such slot");
  CHECK_FALSE(fixture.caller.head);  // not before it is complete
  fixture.call(0).events.finished();
  REQUIRE(fixture.caller.head);
  CHECK(fixture.caller.head->status == 404);
  CHECK(fixture.caller.body == "no such slot");
  CHECK(fixture.forwarder.active() == 0);
}

TEST_CASE("a repeatable request whose answer breaks off is sent to another back end") {
  Fixture fixture;
  fixture.start();
  fixture.answer(0, 200, "hal");
  fixture.call(0).events.failed(CallFailure::broken);
  REQUIRE(fixture.upstream.calls.size() == 2);
  CHECK(fixture.call(1).call.backend != fixture.call(0).call.backend);
  fixture.answer(1, 200, "whole");
  fixture.call(1).events.finished();
  CHECK(fixture.caller.body == "whole");
}

TEST_CASE("an unrepeatable request that may have run is not sent again") {
  Fixture fixture;
  fixture.route->kind = RouteKind::unrepeatable;
  fixture.start();
  fixture.call(0).events.failed(CallFailure::broken);
  CHECK(fixture.upstream.calls.size() == 1);
  REQUIRE(fixture.caller.refusal);
  CHECK(fixture.caller.refusal->ran == routing::Ran::unknown);
}

TEST_CASE(
    "a request that certainly did not run is sent to other back ends, and is refused as not run when all refuse it") {
  Fixture fixture;
  fixture.route->kind = RouteKind::unrepeatable;
  fixture.start();
  fixture.call(0).events.failed(CallFailure::refused);
  fixture.call(1).events.failed(CallFailure::not_sent);
  fixture.call(2).events.failed(CallFailure::leaving);
  CHECK(fixture.upstream.calls.size() == 3);
  REQUIRE(fixture.caller.refusal);
  CHECK(fixture.caller.refusal->ran == routing::Ran::no);
  CHECK(fixture.caller.refusal->retry_after > Duration::zero());
}

TEST_CASE("a request runs on no more back ends than its route allows") {
  Fixture fixture;
  fixture.start();
  fixture.call(0).events.failed(CallFailure::broken);
  fixture.call(1).events.failed(CallFailure::broken);
  CHECK(fixture.upstream.calls.size() == 2);
  REQUIRE(fixture.caller.refusal);
  CHECK(fixture.caller.refusal->ran == routing::Ran::unknown);
}

TEST_CASE("a request is refused at the route's timeout or the caller's, whichever is earlier") {
  Fixture fixture;
  fixture.route->kind = RouteKind::unrepeatable;
  fixture.start(400ms);
  fixture.environment.world.run_for(399ms);
  CHECK_FALSE(fixture.caller.refusal);
  fixture.environment.world.run_for(2ms);
  REQUIRE(fixture.caller.refusal);
  CHECK(fixture.caller.refusal->error.kind == ErrorKind::deadline_exceeded);
  CHECK(fixture.call(0).cancelled);
}

TEST_CASE("each send states the time left until the deadline") {
  Fixture fixture;
  fixture.start();
  CHECK(fixture.call(0).call.time_left == 1s);
  fixture.environment.world.run_for(250ms);
  fixture.call(0).events.failed(CallFailure::broken);
  CHECK(fixture.call(1).call.time_left == 750ms);
}

TEST_CASE("cancelling a request cancels its call at the back end") {
  Fixture fixture;
  const ForwardId id = fixture.start();
  fixture.forwarder.cancel(id);
  CHECK(fixture.call(0).cancelled);
  CHECK(fixture.forwarder.active() == 0);
}

TEST_CASE("a resumable stream is resumed after its last complete event and keeps its first head") {
  Fixture fixture;
  fixture.route->kind = RouteKind::stream;
  fixture.route->resumable = true;
  fixture.start();
  fixture.answer(0, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", true);
  fixture.call(0).events.failed(CallFailure::broken);
  REQUIRE(fixture.upstream.calls.size() == 2);
  CHECK(fixture.call(1).call.resume_after == 2);
  fixture.answer(1, 200, "id: 3\ndata: c\n\n", true);
  fixture.call(1).events.finished();
  CHECK(fixture.caller.finished);
  CHECK(fixture.caller.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

TEST_CASE("repeated events are dropped, and a stream with a gap is resumed on another back end") {
  Fixture fixture;
  fixture.route->kind = RouteKind::stream;
  fixture.route->resumable = true;
  fixture.start();
  fixture.answer(0, 200, "id: 1\ndata: a\n\nid: 1\ndata: a\n\nid: 3\ndata: c\n\n", true);
  CHECK(fixture.caller.body == "id: 1\ndata: a\n\n");
  CHECK(fixture.call(0).cancelled);
  REQUIRE(fixture.upstream.calls.size() == 2);
  CHECK(fixture.call(1).call.resume_after == 1);
}

TEST_CASE("a stream that broke off went on at a back end of another software version") {
  Fixture fixture(4, {"v1", "v2", "v2", "v1"});
  fixture.route->kind = RouteKind::stream;
  fixture.route->resumable = true;
  fixture.route->max_attempts = 4;
  fixture.start();
  fixture.answer(0, 200, "id: 1\ndata: a\n\n", true);
  const BackendId first = fixture.call(0).call.backend;
  fixture.call(0).events.failed(CallFailure::broken);
  REQUIRE(fixture.upstream.calls.size() == 2);
  const std::string version = fixture.registry.find(first)->machine.software_version;
  CHECK(fixture.registry.find(fixture.call(1).call.backend)->machine.software_version == version);
  fixture.call(1).events.failed(CallFailure::broken);
  CHECK(fixture.upstream.calls.size() == 2);  // the other back ends have another version
  CHECK(fixture.caller.broken);
}

TEST_CASE("continuations of streams are counted") {
  Fixture fixture(2, {"v1", "v1"});
  fixture.route->kind = RouteKind::stream;
  fixture.route->resumable = true;
  fixture.start();
  fixture.answer(0, 200, "id: 1\ndata: a\n\n", true);
  fixture.call(0).events.failed(CallFailure::broken);
  REQUIRE(fixture.upstream.calls.size() == 2);
  CHECK(fixture.counters["forward_streams_continued_total"] == 1);
  CHECK(fixture.counters["forward_streams_continued_at_other_version_total"] == 0);
}

TEST_CASE("a stream that is not resumable is broken off when its back end fails") {
  Fixture fixture;
  fixture.route->kind = RouteKind::stream;
  fixture.start();
  fixture.answer(0, 200, "id: 1\ndata: a\n\n", true);
  fixture.call(0).events.failed(CallFailure::broken);
  CHECK(fixture.caller.broken);
  CHECK_FALSE(fixture.caller.finished);
  CHECK(fixture.upstream.calls.size() == 1);
}

// Guards against an incomplete event being forwarded as the last one and the answer being finished as if it were
// complete.
TEST_CASE("a stream that is not resumable and ends inside an event is broken off after its last complete event") {
  const std::string first = "id: 1\ndata: a\n\n";
  const std::string second = "id: 2\r\ndata: b\r\n\r\n";
  for (std::size_t cut = 1; cut < second.size(); ++cut) {
    Fixture fixture;
    fixture.route->kind = RouteKind::stream;
    fixture.start();
    fixture.answer(0, 200, first + second.substr(0, cut), true);
    fixture.call(0).events.finished();
    CHECK(fixture.caller.broken);
    CHECK_FALSE(fixture.caller.finished);
    CHECK(fixture.caller.body == first);
    CHECK(fixture.counters["answers_ended_inside_event_total"] == 1);
  }
}

TEST_CASE("a request whose stream ends inside its first event is refused as one that may have run") {
  Fixture fixture;
  fixture.route->kind = RouteKind::stream;
  fixture.start();
  fixture.answer(0, 200, "id: 1\ndata: a\n", true);
  fixture.call(0).events.finished();
  CHECK_FALSE(fixture.caller.head);
  REQUIRE(fixture.caller.refusal);
  CHECK(fixture.caller.refusal->ran == routing::Ran::unknown);
}

TEST_CASE("events of a stream that is not resumable are forwarded unchanged and immediately") {
  Fixture fixture;
  fixture.route->kind = RouteKind::stream;
  fixture.start();
  const std::string events = ": hello\n\nid: 7\ndata: a\n\nid: 7\ndata: again\n\nid: 3\ndata: b\n\n";
  fixture.answer(0, 200, events + "\r\n", true);
  CHECK(fixture.caller.body == events);
  fixture.call(0).events.finished();
  CHECK(fixture.caller.finished);
  CHECK(fixture.caller.body == events + "\r\n");
}

TEST_CASE(
    "a successful answer with an empty body is complete if it has a length, and broken off if it ends by closing") {
  for (const bool stream : {true, false}) {
    for (const net::body_framing framing : {net::body_framing::until_close, net::body_framing::length}) {
      Fixture fixture;
      fixture.route->kind = stream ? RouteKind::stream : RouteKind::unrepeatable;
      fixture.start();
      fixture.call(0).events.head(AnswerHead{200, {}, stream, framing});
      fixture.call(0).events.finished();
      const bool whole = framing == net::body_framing::length;
      CHECK(fixture.caller.finished == whole);
      CHECK(fixture.caller.refusal.has_value() != whole);
    }
  }
}

TEST_CASE("a stream whose event exceeds the size limit is cancelled") {
  Fixture fixture;
  fixture.route->kind = RouteKind::stream;
  fixture.start();
  fixture.answer(0, 200, "data: ", true);
  const std::string piece(64 * 1024, 'x');
  for (int number = 0; number < 17; ++number) {
    fixture.call(0).events.piece(piece);
  }
  CHECK(fixture.call(0).cancelled);
  CHECK(fixture.caller.refusal);
  CHECK(fixture.counters["forward_events_too_long_total"] == 1);
}

TEST_CASE("a request leaves an unresponsive back end after a timeout, but not one that answers other calls") {
  Fixture fixture(2);
  fixture.start();
  fixture.environment.world.run_for(390ms);
  fixture.registry.on_heard(fixture.call(0).call.backend);
  fixture.environment.world.run_for(100ms);
  CHECK(fixture.upstream.calls.size() == 1);
  Fixture unresponsive(2);
  unresponsive.route->target_ms = 600;
  unresponsive.start();
  unresponsive.environment.world.run_for(610ms);
  CHECK(unresponsive.call(0).cancelled);
  CHECK(unresponsive.upstream.calls.size() == 2);
}

// A request went on at another back end while the first one, silent on its connection alone, still ran it.
TEST_CASE("a request stays at a silent back end as long as that has it") {
  const auto stays = GENERATE(routing::run_presence::running, routing::run_presence::may_wait);
  Fixture fixture(2);
  fixture.route->timeout_ms = 5000;
  fixture.route->target_ms = 600;
  fixture.upstream.presence = stays;
  fixture.start();
  fixture.environment.world.run_for(3s);
  CHECK(fixture.upstream.calls.size() == 1);
  CHECK(fixture.upstream.lookups.size() > 2);
  CHECK(fixture.upstream.lookups.front() == "r1");
  fixture.upstream.presence = routing::run_presence::absent;
  fixture.environment.world.run_for(600ms);
  CHECK(fixture.call(0).cancelled);
  CHECK(fixture.upstream.calls.size() == 2);
}

TEST_CASE("a request whose caller has left is not sent") {
  Fixture fixture;
  bool left = true;
  auto request = std::make_shared<ForwardedRequest>();
  request->id = "r1";
  ForwardEvents events = fixture.caller.events();
  events.caller_has_left = [&left] { return left; };
  SECTION("for the first time") {
    fixture.forwarder.start(request, fixture.route, std::move(events));
    CHECK(fixture.upstream.calls.empty());
  }
  SECTION("again") {
    left = false;
    fixture.forwarder.start(request, fixture.route, std::move(events));
    left = true;
    fixture.call(0).events.failed(CallFailure::broken);
    CHECK(fixture.upstream.calls.size() == 1);
  }
  CHECK(fixture.forwarder.active() == 0);
  CHECK_FALSE(fixture.caller.refusal);
}

TEST_CASE("pools get requests in proportion to their weights") {
  Fixture fixture;
  fixture.route->pools = {{"pool", 3}, {"other", 1}};
  unsigned sent = 0;
  for (int request = 0; request < 40; ++request) {
    const std::size_t before = fixture.upstream.calls.size();
    fixture.start();
    sent += fixture.upstream.calls.size() > before ? 1 : 0;
  }
  CHECK(sent == 30);  // the other pool has no back end
}

TEST_CASE("callbacks of an earlier send are ignored") {
  Fixture fixture;
  fixture.start();
  fixture.call(0).events.failed(CallFailure::broken);
  fixture.answer(0, 200, "late");
  fixture.call(0).events.finished();
  CHECK_FALSE(fixture.caller.head);
  CHECK(fixture.forwarder.active() == 1);
}

namespace {

/// A forwarder with a placer that chooses its engines.
struct placed_fixture : Fixture {
  explicit placed_fixture(std::size_t backends = 3) : Fixture(backends) { forwarder.use_placer(placer); }
  scripted_placer placer;
};

}  // namespace

namespace {

/// A resumable stream whose caller has three events of another attempt, r0.
struct resumed_fixture : Fixture {
  explicit resumed_fixture(const std::vector<std::string>& versions) : Fixture(versions.size(), versions) {
    forwarder.use_directory(directory);
    route->kind = RouteKind::stream;
    route->resumable = true;
    resumed->id = "r1";
    resumed->resume_after = 3;
    resumed->first_attempt = "r0";
  }
  ForwardId resume() { return forwarder.start(resumed, route, caller.events()); }
  std::string version_of_call(std::size_t number) {
    return registry.find(call(number).call.backend)->machine.software_version;
  }

  std::shared_ptr<ForwardedRequest> resumed = std::make_shared<ForwardedRequest>();
  scripted_directory directory;
};

}  // namespace

TEST_CASE("a stream that its caller resumes goes on only at the software version that began it") {
  resumed_fixture fixture({"v1", "v2", "v1", "v1"});
  fixture.resume();
  CHECK(fixture.upstream.calls.empty());
  REQUIRE(fixture.directory.queries.size() == 1);
  CHECK(fixture.directory.queries[0].key == stream_key_of(*fixture.resumed, "r0"));
  fixture.directory.answers[0](stream_origin{"pool", "v2"});
  REQUIRE(fixture.upstream.calls.size() == 1);
  CHECK(fixture.version_of_call(0) == "v2");
  fixture.answer(0, 200, "id: 4\ndata: d\n\n", true);
  REQUIRE(fixture.directory.recorded.size() == 1);
  CHECK(fixture.directory.recorded[0].first == stream_key_of(*fixture.resumed, "r0"));
  CHECK(fixture.directory.recorded[0].second == stream_origin{"pool", "v2"});
}

TEST_CASE("a stream whose software version is gone or unknown is refused at once as not run, without a retry time") {
  for (const bool known : {true, false}) {
    resumed_fixture fixture({"v1", "v1"});
    fixture.resume();
    fixture.directory.answers[0](known ? std::optional(stream_origin{"pool", "v2"}) : std::nullopt);
    CHECK(fixture.upstream.calls.empty());
    REQUIRE(fixture.caller.refusal);
    CHECK(fixture.caller.refusal->error.kind == (known ? ErrorKind::version_gone : ErrorKind::version_unknown));
    CHECK(fixture.caller.refusal->ran == routing::Ran::no);
    CHECK(fixture.caller.refusal->retry_after == Duration::zero());
  }
}

TEST_CASE("a stream whose software version is only busy is refused with a retry time") {
  resumed_fixture fixture({"v1", "v2"});
  fixture.resume();
  fixture.directory.answers[0](stream_origin{"pool", "v2"});
  fixture.call(0).events.failed(CallFailure::refused);
  CHECK(fixture.upstream.calls.size() == 1);
  REQUIRE(fixture.caller.refusal);
  CHECK(fixture.caller.refusal->error.kind == ErrorKind::unavailable);
  CHECK(fixture.caller.refusal->retry_after > Duration::zero());
}

TEST_CASE("a stream is recorded with its first event, before its caller has the event") {
  resumed_fixture fixture({"v1", "v1"});
  auto request = std::make_shared<ForwardedRequest>();
  request->id = "r7";
  ForwardEvents events = fixture.caller.events();
  std::size_t recorded_before = 0;
  events.piece = [&](std::string_view) { recorded_before = fixture.directory.recorded.size(); };
  fixture.forwarder.start(request, fixture.route, std::move(events));
  CHECK(fixture.directory.queries.empty());
  fixture.answer(0, 200, "id: 1\ndata: a\n\n", true);
  CHECK(recorded_before == 1);
  fixture.call(0).events.piece("id: 2\ndata: b\n\n");
  REQUIRE(fixture.directory.recorded.size() == 1);
  CHECK(fixture.directory.recorded[0].second == stream_origin{"pool", "v1"});
}

TEST_CASE("a resumed stream goes to the pool in which it began") {
  resumed_fixture fixture({"v1", "v1"});
  fixture.route->pools = {{"other", 100}, {"pool", 1}};
  fixture.resume();
  fixture.directory.answers[0](stream_origin{"pool", "v1"});
  CHECK(fixture.upstream.calls.size() == 1);
}

TEST_CASE("a lookup ends with its request, at the caller's leaving and at the deadline") {
  resumed_fixture fixture({"v1", "v2"});
  fixture.forwarder.cancel(fixture.resume());
  CHECK(fixture.directory.withdrawn.size() == 1);
  fixture.directory.answers[0](stream_origin{"pool", "v1"});
  CHECK(fixture.upstream.calls.empty());
  resumed_fixture late({"v1", "v2"});
  late.resume();
  late.environment.world.run_for(2s);
  REQUIRE(late.caller.refusal);
  CHECK(late.caller.refusal->error.kind == ErrorKind::deadline_exceeded);
  CHECK(late.caller.refusal->ran == routing::Ran::no);
}

TEST_CASE("where back ends state no versions, resumed streams are not looked up") {
  resumed_fixture fixture({"", "", ""});
  fixture.registry.set_versions_stated(false);
  fixture.resume();
  CHECK(fixture.directory.queries.empty());
  CHECK(fixture.upstream.calls.size() == 1);
}

// A coordinator of an earlier build, or one with an older list, does not know the version.
TEST_CASE("an engine of another software version that the placer chose for a begun stream is returned unused") {
  resumed_fixture fixture({"v1", "v2", "v2"});
  scripted_placer placer;
  fixture.forwarder.use_placer(placer);
  fixture.resume();
  fixture.directory.answers[0](stream_origin{"pool", "v2"});
  REQUIRE(placer.queries.size() == 1);
  CHECK(placer.queries[0].software_version == "v2");
  placer.answers[0](engine_assignment{BackendId("engine-0")});
  CHECK(placer.unused == std::vector<BackendId>{BackendId("engine-0")});
  REQUIRE(fixture.upstream.calls.size() == 1);
  CHECK(fixture.version_of_call(0) == "v2");
}

TEST_CASE("a request is sent to the engine that the placer chose") {
  placed_fixture fixture;
  fixture.start();
  CHECK(fixture.upstream.calls.empty());
  fixture.placer.answers.at(0)(engine_assignment{BackendId("engine-2"), false});
  REQUIRE(fixture.upstream.calls.size() == 1);
  CHECK(fixture.call(0).call.backend == BackendId("engine-2"));
}

// Guards against gateways ignoring engines outside their own subset: in a fleet of 10,000 engines with subsets of
// 1,000, nine in ten of the engines that coordinators chose were outside, and the gateways chose others themselves.
TEST_CASE("an engine that the placer chose is used even if it is outside this node's subset") {
  constexpr std::size_t kEngines = 40;
  placed_fixture fixture(kEngines);
  fixture.registry.set_subset_size(4);
  const auto own = fixture.registry.candidates("pool");
  std::string other;
  for (std::size_t number = 0; number < kEngines && other.empty(); ++number) {
    const BackendId id("engine-" + std::to_string(number));
    other = fixture.registry.in_subset(id) ? "" : id.str();
  }
  fixture.start();
  SECTION("an engine that accepts requests") {
    fixture.placer.answers.at(0)(engine_assignment{BackendId(other), false});
    REQUIRE(fixture.upstream.calls.size() == 1);
    CHECK(fixture.call(0).call.backend.str() == other);
    CHECK(fixture.counters["forward_places_own_choice_total"] == 0);
  }
  SECTION("an engine that this node could not reach") {
    fixture.registry.on_failure(BackendId(other), CallFailure::not_sent);
    fixture.placer.answers.at(0)(engine_assignment{BackendId(other), false});
    REQUIRE(fixture.upstream.calls.size() == 1);
    CHECK(fixture.call(0).call.backend.str() != other);
  }
}

TEST_CASE("engines that warm up are used if the placer chose them or, without a placer, if the gateway is allowed to") {
  placed_fixture fixture;
  fixture.registry.set_warm_up("pool", {3s, 5});
  for (const auto& key : fixture.keys) {
    fixture.registry.note_possible_restart(BackendId(key.name));
  }
  SECTION("active placer") {
    fixture.start();
    REQUIRE(fixture.placer.answers.size() == 1);
    fixture.placer.answers.at(0)(engine_assignment{BackendId("engine-1"), false});
    CHECK(fixture.call(0).call.backend.str() == "engine-1");
  }
  SECTION("no placer, gateway not allowed") {
    fixture.placer.on = false;
    fixture.start();
    CHECK(fixture.upstream.calls.empty());
    REQUIRE(fixture.caller.refusal);
    CHECK(fixture.caller.refusal->ran == routing::Ran::no);
  }
  SECTION("no placer, gateway allowed") {
    fixture.placer.on = false;
    fixture.forwarder.allow_warming(
        [](const routing::Backend& backend) { return backend.machine.id == BackendId("engine-2"); });
    fixture.start();
    REQUIRE(fixture.upstream.calls.size() == 1);
    CHECK(fixture.call(0).call.backend.str() == "engine-2");
  }
}

TEST_CASE("the forwarder chooses an engine itself if the placer names none or an unknown one") {
  placed_fixture fixture;
  fixture.start();
  SECTION("no engine") { fixture.placer.answers.at(0)(std::nullopt); }
  SECTION("unknown engine") { fixture.placer.answers.at(0)(engine_assignment{BackendId("elsewhere"), false}); }
  CHECK(fixture.upstream.calls.size() == 1);
  CHECK(fixture.counters["forward_places_own_choice_total"] == 1);
}

TEST_CASE("a second send queries the placer again and excludes the first engine") {
  placed_fixture fixture;
  fixture.start();
  fixture.placer.answers.at(0)(engine_assignment{BackendId("engine-1"), false});
  fixture.call(0).events.failed(CallFailure::not_sent);
  REQUIRE(fixture.placer.queries.size() == 2);
  CHECK(fixture.placer.queries.at(1).excluded.contains(BackendId("engine-1")));
  fixture.placer.answers.at(1)(
      engine_assignment{BackendId("engine-1"), false});  // was tried before, so it is not used again
  REQUIRE(fixture.upstream.calls.size() == 2);
  CHECK(fixture.call(1).call.backend != BackendId("engine-1"));
}

TEST_CASE("a request that is cancelled during a placer query is removed, and a late reply sends nothing") {
  placed_fixture fixture;
  const ForwardId id = fixture.start();
  fixture.forwarder.cancel(id);
  CHECK(fixture.forwarder.active() == 0);
  fixture.placer.answers.at(0)(engine_assignment{BackendId("engine-1"), false});
  CHECK(fixture.upstream.calls.empty());
}

TEST_CASE("an engine that the placer chose for a caller that has left meanwhile is returned unused") {
  placed_fixture fixture;
  auto request = std::make_shared<ForwardedRequest>();
  request->id = "r1";
  ForwardEvents events = fixture.caller.events();
  events.caller_has_left = [] { return true; };
  fixture.forwarder.start(request, fixture.route, std::move(events));
  fixture.placer.answers.at(0)(engine_assignment{BackendId("engine-2"), false});
  CHECK(fixture.upstream.calls.empty());
  CHECK(fixture.placer.unused == std::vector<BackendId>{BackendId("engine-2")});
  CHECK(fixture.forwarder.active() == 0);
}

TEST_CASE("a request that reaches its deadline during a placer query has not run") {
  placed_fixture fixture;
  fixture.start();
  fixture.environment.world.run_for(1100ms);
  REQUIRE(fixture.caller.refusal);
  CHECK(fixture.caller.refusal->ran == routing::Ran::no);
  fixture.placer.answers.at(0)(engine_assignment{BackendId("engine-1"), false});
  CHECK(fixture.upstream.calls.empty());
}

TEST_CASE("a request that may have run before is refused as unknown at a deadline during a placer query") {
  placed_fixture fixture;
  fixture.start();
  fixture.placer.answers.at(0)(engine_assignment{BackendId("engine-1"), false});
  fixture.call(0).events.failed(CallFailure::broken);
  REQUIRE(fixture.placer.queries.size() == 2);
  fixture.environment.world.run_for(1100ms);
  REQUIRE(fixture.caller.refusal);
  CHECK(fixture.caller.refusal->ran == routing::Ran::unknown);
}

TEST_CASE("an inactive placer is not queried") {
  placed_fixture fixture;
  fixture.placer.on = false;
  fixture.start();
  CHECK(fixture.placer.queries.empty());
  CHECK(fixture.upstream.calls.size() == 1);
}

namespace {

/// Records the reported calls; the test decides whether a back end terminated.
class scripted_guard : public routing::repeat_guard {
 public:
  bool has_records() const override { return suspected || held; }
  bool suspects(const routing::crash_suspects&) const override { return suspected; }
  bool is_quarantined(const routing::crash_suspects&, const std::string&, routing::send_stage) override { return held; }
  void call_broke(const routing::broken_call& call, decided done) override {
    broken.push_back(call);
    verdicts.push_back(std::move(done));
  }
  void call_answered(const routing::crash_suspects&) override { ++answered; }
  Duration undecided_wait(const routing::crash_suspects&) const override { return undecided; }

  Duration undecided = Duration::zero();
  bool suspected = false;
  bool held = false;
  std::vector<routing::broken_call> broken;
  std::vector<decided> verdicts;
  int answered = 0;
};

}  // namespace

TEST_CASE("a quarantined request is refused at once as not run, without a retry time") {
  Fixture fixture;
  scripted_guard guard;
  guard.held = true;
  fixture.forwarder.set_repeat_guard(guard);
  fixture.start();
  CHECK(fixture.upstream.calls.empty());
  REQUIRE(fixture.caller.refusal);
  CHECK(fixture.caller.refusal->error.kind == ErrorKind::quarantined);
  CHECK(fixture.caller.refusal->ran == routing::Ran::no);
  CHECK(fixture.caller.refusal->retry_after == Duration::zero());
}

TEST_CASE("a request whose quarantine is undecided waits for the decision and is sent at most once") {
  Fixture fixture;
  scripted_guard guard;
  guard.suspected = true;
  guard.undecided = 60ms;
  fixture.forwarder.set_repeat_guard(guard);
  fixture.start();
  fixture.environment.world.run_for(59ms);
  CHECK(fixture.upstream.calls.empty());
  CHECK_FALSE(fixture.caller.refusal);
  guard.undecided = Duration::zero();
  SECTION("the request is not quarantined") {
    fixture.environment.world.run_for(2ms);
    CHECK(fixture.upstream.calls.size() == 1);
    CHECK_FALSE(fixture.caller.refusal);
  }
  SECTION("the request is quarantined") {
    guard.held = true;
    fixture.environment.world.run_for(2ms);
    CHECK(fixture.upstream.calls.empty());
    REQUIRE(fixture.caller.refusal);
    CHECK(fixture.caller.refusal->error.kind == ErrorKind::quarantined);
  }
}

TEST_CASE("a request that is quarantined during a placer query is not sent") {
  Fixture fixture;
  scripted_guard guard;
  scripted_placer placer;
  fixture.forwarder.set_repeat_guard(guard);
  fixture.forwarder.use_placer(placer);
  fixture.start();
  REQUIRE(placer.answers.size() == 1);
  guard.held = true;
  placer.answers[0](engine_assignment{BackendId("engine-1")});
  CHECK(fixture.upstream.calls.empty());
  REQUIRE(fixture.caller.refusal);
  CHECK(fixture.caller.refusal->error.kind == ErrorKind::quarantined);
}

// The decision is awaited after a placer query as well. Otherwise a request whose engine a coordinator chose was
// refused because of a concurrent request that terminated the back end.
TEST_CASE(
    "a request whose quarantine is undecided when the placer replies queries the placer again after the decision") {
  Fixture fixture;
  scripted_guard guard;
  scripted_placer placer;
  fixture.forwarder.set_repeat_guard(guard);
  fixture.forwarder.use_placer(placer);
  fixture.start();
  REQUIRE(placer.answers.size() == 1);
  guard.held = true;
  guard.undecided = 60ms;
  placer.answers[0](engine_assignment{BackendId("engine-1")});
  CHECK(fixture.upstream.calls.empty());
  CHECK_FALSE(fixture.caller.refusal);
  guard.held = false;
  guard.undecided = Duration::zero();
  fixture.environment.world.run_for(61ms);
  REQUIRE(placer.answers.size() == 2);
  placer.answers[1](engine_assignment{BackendId("engine-1")});
  CHECK(fixture.upstream.calls.size() == 1);
}

TEST_CASE("a call that is not suspected is retried at once after its first broken connection") {
  Fixture fixture;
  scripted_guard guard;
  fixture.forwarder.set_repeat_guard(guard);
  fixture.start();
  fixture.call(0).events.failed(CallFailure::broken);
  CHECK(guard.broken.size() == 1);
  REQUIRE(fixture.upstream.calls.size() == 2);
  fixture.answer(1, 200, "whole");
  fixture.call(1).events.finished();
  CHECK(fixture.caller.body == "whole");
  CHECK(guard.answered == 1);  // a later crash is judged by the good ends before it
}

TEST_CASE("a suspected call is retried only once it is known whether its back end terminated") {
  Fixture fixture;
  scripted_guard guard;
  guard.suspected = true;
  fixture.forwarder.set_repeat_guard(guard);
  fixture.start();
  fixture.call(0).events.failed(CallFailure::broken);
  CHECK(fixture.upstream.calls.size() == 1);
  guard.verdicts.at(0)(false);  // only the connection was lost
  REQUIRE(fixture.upstream.calls.size() == 2);
  fixture.answer(1, 200, "whole");
  fixture.call(1).events.finished();
  CHECK(guard.answered == 1);
}

TEST_CASE("a call that terminated two back ends is not sent to a third one") {
  Fixture fixture(5);
  fixture.route->max_attempts = 5;
  scripted_guard guard;
  fixture.forwarder.set_repeat_guard(guard);
  fixture.start();
  fixture.call(0).events.failed(CallFailure::broken);
  guard.verdicts.at(0)(true);
  REQUIRE(fixture.upstream.calls.size() == 2);
  fixture.call(1).events.failed(CallFailure::broken);
  CHECK_FALSE(fixture.caller.refusal);
  guard.verdicts.at(1)(true);
  CHECK(fixture.upstream.calls.size() == 2);
  REQUIRE(fixture.caller.refusal);
  CHECK(fixture.caller.refusal->error.kind == ErrorKind::upstream_failed);
  CHECK(fixture.caller.refusal->ran == routing::Ran::unknown);
}

TEST_CASE("a request cancelled before the decision about its back end is neither sent again nor refused") {
  Fixture fixture;
  scripted_guard guard;
  guard.suspected = true;
  fixture.forwarder.set_repeat_guard(guard);
  const ForwardId id = fixture.start();
  fixture.call(0).events.failed(CallFailure::broken);
  fixture.forwarder.cancel(id);
  guard.verdicts.at(0)(true);
  CHECK(fixture.upstream.calls.size() == 1);
  CHECK_FALSE(fixture.caller.refusal);
  CHECK(fixture.forwarder.active() == 0);
}

// Guards against an answer without end that fills the memory of this node before its deadline.
TEST_CASE("an answer that is collected is broken off beyond 8 MiB, and the longest of several beyond 64 MiB together") {
  const std::string mebibyte(1024 * 1024, 'a');
  Fixture fixture;
  fixture.start();
  fixture.answer(0, 200, "");
  for (int piece = 0; piece < 8; ++piece) {
    fixture.call(0).events.piece(mebibyte);
  }
  CHECK_FALSE(fixture.call(0).cancelled);
  fixture.call(0).events.piece("a");
  CHECK(fixture.call(0).cancelled);
  CHECK(fixture.counters["answers_ended_too_long_total"] == 1);
  REQUIRE(fixture.upstream.calls.size() == 2);  // it may run elsewhere

  Fixture many;
  constexpr std::size_t kAnswers = 10;
  for (std::size_t number = 0; number < kAnswers; ++number) {
    many.start();
    many.answer(number, 200, "");
  }
  for (int piece = 0; piece < 7; ++piece) {
    for (std::size_t number = 0; number < kAnswers; ++number) {
      if (!many.call(number).cancelled) {
        many.call(number).events.piece(mebibyte);
      }
    }
  }
  CHECK(many.counters["forward_collected_answers_over_limit_total"] >= 1);
}

TEST_CASE("a stream of lines that are no event is broken off beyond 1 MiB") {
  Fixture fixture;
  fixture.route->kind = RouteKind::stream;
  fixture.start();
  const std::string comments = ": nothing\n\n";
  fixture.call(0).events.head(AnswerHead{200, {}, true});
  std::string piece;
  while (piece.size() < 64 * 1024) {
    piece += comments;
  }
  for (int number = 0; number < 17 && !fixture.call(0).cancelled; ++number) {
    fixture.call(0).events.piece(piece);
  }
  CHECK(fixture.call(0).cancelled);
  CHECK(fixture.counters["forward_events_too_long_total"] == 1);
}

// Guards against a request that waits for its deadline at an engine that sends lines now and then, but no event.
TEST_CASE("a repeatable stream that brings lines but no event in time goes on at another back end") {
  Fixture fixture;
  fixture.route->kind = RouteKind::stream;
  fixture.route->resumable = true;
  fixture.start();
  fixture.call(0).events.head(AnswerHead{200, {}, true});
  fixture.call(0).events.piece(": nothing\n\n");
  CHECK_FALSE(fixture.caller.head);  // the caller has nothing of it yet
  fixture.environment.world.run_for(500ms);
  REQUIRE(fixture.upstream.calls.size() == 2);
  CHECK(fixture.call(0).cancelled);
  fixture.call(1).events.head(AnswerHead{200, {}, true});
  fixture.call(1).events.piece(": sound\n\nid: 1\ndata: one\n\n");
  fixture.call(1).events.finished();
  CHECK(fixture.caller.body == ": sound\n\nid: 1\ndata: one\n\n");
}

// Guards against requests that wait for an engine in a planned stop, are sent late, and are cut off at its end.
TEST_CASE("a request that waits for an engine while its node stops is sent although it would be cut off") {
  placed_fixture fixture;
  fixture.start();
  REQUIRE(fixture.placer.answers.size() == 1);
  fixture.forwarder.stop_first_sends_at(fixture.environment.now() + 300ms);
  fixture.environment.world.run_for(250ms);
  CHECK_FALSE(fixture.caller.refusal);
  fixture.environment.world.run_for(100ms);
  REQUIRE(fixture.caller.refusal);
  CHECK(fixture.caller.refusal->error.kind == ErrorKind::unavailable);
  CHECK(fixture.caller.refusal->ran == routing::Ran::no);
  CHECK(fixture.upstream.calls.empty());
  CHECK(fixture.forwarder.active() == 0);
}

TEST_CASE("a request that was sent before its node stops is sent again where it may be") {
  Fixture fixture;
  fixture.start();
  fixture.forwarder.stop_first_sends_at(fixture.environment.now());
  fixture.environment.world.run_for(10ms);
  fixture.call(0).events.failed(CallFailure::not_sent);
  CHECK(fixture.upstream.calls.size() == 2);
}
