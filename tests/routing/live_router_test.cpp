#include "routing/live_router.hpp"

#include <catch2/catch.hpp>

#include "support/fake_backends.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::routing;

namespace {
struct RouterFixture {
  /// @param versions software versions of the four engines; empty: they state none.
  explicit RouterFixture(const std::vector<std::string>& versions = {}) {
    std::vector<config::Entry> entries;
    for (unsigned number = 1; number <= 4; ++number) {
      config::Machine machine;
      machine.pools = {"m"};
      machine.slots = 2;
      machine.software_version = versions.empty() ? "" : versions.at(number - 1);
      entries.push_back({{"machine", "10.0.0." + std::to_string(number) + ":1"},
                         versions.empty() ? R"({"pool":"m","slots":2})" : config::format_machine(machine),
                         number,
                         false});
    }
    registry.update(table, table.apply(0, 4, entries));
    for (const auto& [id, backend] : registry.backends()) {
      registry.on_report(id, {}, environment.now());
    }
  }
  void start() {
    LiveEvents events;
    events.token = [this](std::string_view piece) { text.append(piece); };
    events.finished = [this](std::uint32_t) { finished = true; };
    events.refused = [this](const Refusal& given) { refusal = given; };
    router.start({"m", "prompt", 3, 10s}, std::move(events));
  }
  tests::TestEnvironment environment;
  Counters counters;
  config::VersionedTable table;
  Registry registry{environment, counters, "node"};
  tests::FakeBackends backends;
  LiveRouter router{environment, counters, registry, backends, [](const BackendId&, std::uint32_t) {}};
  std::string text;
  bool finished = false;
  std::optional<Refusal> refusal;
};
}  // namespace

TEST_CASE("a broken stream is resumed on another engine after the last token") {
  RouterFixture fixture;
  fixture.start();
  auto first = fixture.backends.engine_calls.at(0);
  first.events.token(0, "a");
  first.events.failed(CallFailure::broken);
  REQUIRE(fixture.backends.engine_calls.size() == 2);
  const auto second = fixture.backends.engine_calls.at(1);
  CHECK(second.call.resume_from == 1);
  CHECK(second.engine != first.engine);
  first.events.token(1, "LATE");  // from the failed attempt; must be dropped
  second.events.token(0, "a");    // the caller already has it
  second.events.token(1, "b");
  second.events.token(2, "c");
  second.events.finished(3);
  CHECK(fixture.finished);
  CHECK(fixture.text == "abc");
}

TEST_CASE("a generation was resumed on an engine of another software version") {
  RouterFixture fixture({"v1", "v2", "v3", "v4"});
  fixture.start();
  const auto version_of = [&](std::size_t call) {
    return fixture.registry.find(fixture.backends.engine_calls.at(call).engine)->machine.software_version;
  };
  fixture.backends.engine_calls[0].events.token(0, "a");
  fixture.backends.engine_calls[0].events.failed(CallFailure::broken);
  REQUIRE(fixture.backends.engine_calls.size() == 2);
  CHECK(version_of(1) == version_of(0));
}

TEST_CASE("a generation whose software version is gone is refused, since it can only be begun anew") {
  RouterFixture fixture({"v1", "v1", "v1", "v1"});
  fixture.start();
  const auto first = fixture.backends.engine_calls.at(0);
  first.events.token(0, "a");
  std::vector<config::Entry> entries;
  std::vector<config::EntryKey> keys;
  for (const auto& [id, backend] : fixture.registry.backends()) {
    config::Machine machine = backend.machine;
    machine.software_version = "v2";
    keys.push_back({"machine", id.str()});
    entries.push_back({keys.back(), config::format_machine(machine), 10 + entries.size(), false});
  }
  fixture.table.apply(4, 20, entries);
  fixture.registry.update(fixture.table, keys);
  first.events.failed(CallFailure::broken);
  CHECK(fixture.backends.engine_calls.size() == 1);
  REQUIRE(fixture.refusal);
  CHECK(fixture.refusal->error.kind == ErrorKind::version_gone);
  CHECK(fixture.refusal->ran == Ran::unknown);
}

TEST_CASE("a stream that ends before its total is resumed, not reported as finished") {
  RouterFixture fixture;
  fixture.start();
  fixture.backends.engine_calls[0].events.token(0, "a");
  fixture.backends.engine_calls[0].events.finished(3);
  CHECK_FALSE(fixture.finished);
  REQUIRE(fixture.backends.engine_calls.size() == 2);
  CHECK(fixture.backends.engine_calls[1].call.resume_from == 1);
}

TEST_CASE("a request that all engines refused is reported as not run, one whose stream broke once as unknown") {
  RouterFixture refused;
  refused.start();
  for (std::size_t call = 0; call < refused.backends.engine_calls.size(); ++call) {
    refused.backends.engine_calls[call].events.failed(CallFailure::refused);
  }
  REQUIRE(refused.refusal);
  CHECK(refused.refusal->ran == Ran::no);
  CHECK(refused.refusal->retry_after > 0us);

  RouterFixture broken;
  broken.start();
  for (std::size_t call = 0; call < broken.backends.engine_calls.size(); ++call) {
    broken.backends.engine_calls[call].events.failed(call == 0 ? CallFailure::broken : CallFailure::refused);
  }
  REQUIRE(broken.refusal);
  CHECK(broken.refusal->ran == Ran::unknown);
}

TEST_CASE("a full pool refuses requests immediately") {
  RouterFixture fixture;
  for (int request = 0; request < 16; ++request) {
    fixture.start();
  }
  CHECK_FALSE(fixture.refusal);
  fixture.start();
  REQUIRE(fixture.refusal);
  CHECK(fixture.refusal->error.kind == ErrorKind::limit_exceeded);
}

TEST_CASE("a time-out cancels the call on the engine") {
  RouterFixture fixture;
  fixture.start();
  fixture.environment.world.run_for(11s);
  REQUIRE(fixture.refusal);
  CHECK(fixture.refusal->ran == Ran::unknown);
  CHECK(fixture.backends.engine_calls[0].cancelled);
  CHECK(fixture.router.active() == 0);
}

namespace {

/// Suspects every request; the test decides whether an engine terminated.
class suspicious_guard : public repeat_guard {
 public:
  bool has_records() const override { return true; }
  bool suspects(const crash_suspects&) const override { return true; }
  bool is_quarantined(const crash_suspects&, const std::string&, send_stage) override { return held; }
  void call_broke(const broken_call&, decided done) override { verdicts.push_back(std::move(done)); }
  void call_answered(const crash_suspects&) override {}

  bool held = false;
  std::vector<decided> verdicts;
};

}  // namespace

TEST_CASE(
    "a generation that waits to learn whether its engine terminated holds no slot there, even when it times out") {
  RouterFixture fixture;
  suspicious_guard guard;
  fixture.router.set_repeat_guard(guard);
  fixture.start();
  routing::Backend* engine = fixture.registry.find(fixture.backends.engine_calls.at(0).engine);
  fixture.backends.engine_calls.at(0).events.failed(CallFailure::broken);
  CHECK(engine->online_in_flight == 0);
  engine->online_in_flight = 1;  // another call, which is still open
  fixture.environment.world.run_for(10s);
  REQUIRE(fixture.refusal);
  CHECK(fixture.refusal->ran == Ran::unknown);
  CHECK(engine->online_in_flight == 1);
  guard.verdicts.at(0)(true);  // too late
  CHECK(fixture.router.active() == 0);
}

TEST_CASE("a quarantined generation is refused immediately") {
  RouterFixture fixture;
  suspicious_guard guard;
  guard.held = true;
  fixture.router.set_repeat_guard(guard);
  fixture.start();
  CHECK(fixture.backends.engine_calls.empty());
  REQUIRE(fixture.refusal);
  CHECK(fixture.refusal->error.kind == ErrorKind::quarantined);
  CHECK(fixture.refusal->ran == Ran::no);
}
