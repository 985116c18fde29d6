#include "forwarding/engine_choice.hpp"

#include <catch2/catch.hpp>

#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::forwarding;

namespace {

constexpr unsigned kEngines = 4;

/// Idle engines with eight slots each.
struct ChoiceFixture {
  ChoiceFixture() {
    for (unsigned number = 0; number < kEngines; ++number) {
      engines[number].machine.id = BackendId("e" + std::to_string(number));
      engines[number].machine.slots = 8;
    }
  }
  std::vector<routing::Backend*> candidates() {
    std::vector<routing::Backend*> all;
    for (routing::Backend& engine : engines) {
      all.push_back(&engine);
    }
    return all;
  }
  /// @return how often @p engine is chosen in 200 choices.
  std::size_t times_chosen(const routing::Backend& engine, std::string_view key = "") {
    std::size_t drawn = 0;
    for (std::size_t draw = 0; draw < 200; ++draw) {
      drawn += &choose_backend({candidates(), key, now, environment.random()}) == &engine ? 1 : 0;
    }
    return drawn;
  }

  tests::TestEnvironment environment;
  const Timestamp now = 10s;
  std::array<routing::Backend, kEngines> engines;
};

}  // namespace

TEST_CASE("short requests avoid an engine that prefills a long prompt") {
  // Guards against live replies that wait 300 to 470 ms behind the prefill of a prompt sent by another gateway.
  ChoiceFixture fixture;
  CHECK(fixture.times_chosen(fixture.engines[1]) > 0);
  fixture.engines[1].prefill_until = fixture.now + 200ms;
  // The bound leaves room for rare choices of an engine in prefill; it does not require that there are none.
  CHECK(fixture.times_chosen(fixture.engines[1]) < 10);
  fixture.engines[1].prefill_until = fixture.now;
  CHECK(fixture.times_chosen(fixture.engines[1]) > 10);
}

TEST_CASE("an engine that prefills a long prompt is still chosen when the others have far more load") {
  ChoiceFixture fixture;
  fixture.engines[1].prefill_until = fixture.now + 200ms;
  for (const unsigned other : {0U, 2U, 3U}) {
    fixture.engines[other].online_in_flight = 6;
  }
  CHECK(fixture.times_chosen(fixture.engines[1]) > 100);
}

TEST_CASE("a long prompt goes to the next engine in affinity order while the preferred one prefills another prompt") {
  ChoiceFixture fixture;
  const routing::Backend& first = choose_backend({fixture.candidates(), "key", fixture.now, 1});
  CHECK(fixture.times_chosen(first, "key") == 200);
  const_cast<routing::Backend&>(first).prefill_until = fixture.now + 200ms;
  const routing::Backend& second = choose_backend({fixture.candidates(), "key", fixture.now, 1});
  CHECK(&second != &first);
  CHECK(fixture.times_chosen(second, "key") == 200);
}

namespace {

/// @return another gateway's call report about one engine.
wire::EngineActivityT call_report(const BackendId& engine, std::uint32_t live, std::uint32_t batch) {
  wire::EngineActivityT message;
  message.node = "other";
  auto entry = std::make_unique<wire::EngineCallsT>();
  entry->engine = engine.str();
  entry->live = live;
  entry->batch = batch;
  message.engines.push_back(std::move(entry));
  return message;
}

}  // namespace

TEST_CASE(
    "a live call goes to a free slot, else to an engine with batch calls, else to the one with the fewest waiting "
    "calls") {
  // Guards against bursts in which 5 to 10 in 100 live replies waited for a slot while other engines had a free one.
  ChoiceFixture fixture;
  routing::shared_calls shared;
  shared.take(call_report(fixture.engines[0].machine.id, 8, 0), fixture.now);
  shared.take(call_report(fixture.engines[1].machine.id, 2, 6), fixture.now);
  shared.take(call_report(fixture.engines[2].machine.id, 7, 0), fixture.now);
  shared.take(call_report(fixture.engines[3].machine.id, 12, 0), fixture.now);
  ChoiceInput input{fixture.candidates(), "", fixture.now, 1};
  input.shared = &shared;
  CHECK(&choose_backend(input) == &fixture.engines[2]);
  shared.take(call_report(fixture.engines[2].machine.id, 8, 0), fixture.now);
  CHECK(&choose_backend(input) == &fixture.engines[1]);
  shared.take(call_report(fixture.engines[1].machine.id, 9, 0), fixture.now);
  CHECK(&choose_backend(input) != &fixture.engines[3]);
}

TEST_CASE("unattributed requests of an engine, such as those of a failed node, count as its load") {
  // Guards against requests that waited 2 s at engines busy with calls of a node that had lost power, since no other
  // node reported these calls.
  ChoiceFixture fixture;
  routing::shared_calls shared;
  shared.take(call_report(fixture.engines[1].machine.id, 1, 0), fixture.now);
  fixture.engines[0].reported_at = fixture.now - 100ms;
  fixture.engines[0].unattributed = 8;
  CHECK(calls_at(fixture.engines[0], shared, fixture.now).live == 8);
  CHECK(calls_at(fixture.engines[0], shared, fixture.now + 5s).live == 0);
  ChoiceInput input{fixture.candidates(), "", fixture.now, 1};
  input.shared = &shared;
  for (std::uint64_t draw = 0; draw < 50; ++draw) {
    input.random = draw;
    CHECK(&choose_backend(input) != &fixture.engines[0]);
  }
}
