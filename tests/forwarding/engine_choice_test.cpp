#include "forwarding/engine_choice.hpp"

#include <catch2/catch.hpp>

#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::forwarding;

namespace {

constexpr unsigned kEngines = 4;

/// Idle engines of eight slots.
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
  /// @return how often @p engine is chosen among many draws.
  std::size_t draws_of(const routing::Backend& engine, std::string_view key = "") {
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

TEST_CASE("short requests keep away from an engine that reads a long prompt") {
  // Day quiet-1 of ravelin-deck: live replies waited 300 to 470 ms behind a prompt that another gateway had sent.
  ChoiceFixture fixture;
  CHECK(fixture.draws_of(fixture.engines[1]) > 0);
  fixture.engines[1].reading_until = fixture.now + 200ms;
  // Four draws out of four may still all fall on it.
  CHECK(fixture.draws_of(fixture.engines[1]) < 10);
  fixture.engines[1].reading_until = fixture.now;
  CHECK(fixture.draws_of(fixture.engines[1]) > 10);
}

TEST_CASE("an engine that reads a long prompt is still taken when the others are far fuller") {
  ChoiceFixture fixture;
  fixture.engines[1].reading_until = fixture.now + 200ms;
  for (const unsigned other : {0U, 2U, 3U}) {
    fixture.engines[other].online_in_flight = 6;
  }
  CHECK(fixture.draws_of(fixture.engines[1]) > 100);
}

TEST_CASE("a long prompt goes to the next engine in its order while the first one reads another") {
  ChoiceFixture fixture;
  const routing::Backend& first = choose_backend({fixture.candidates(), "key", fixture.now, 1});
  CHECK(fixture.draws_of(first, "key") == 200);
  const_cast<routing::Backend&>(first).reading_until = fixture.now + 200ms;
  const routing::Backend& second = choose_backend({fixture.candidates(), "key", fixture.now, 1});
  CHECK(&second != &first);
  CHECK(fixture.draws_of(second, "key") == 200);
}

namespace {

/// What another gateway tells of one engine.
wire::EngineActivityT told_of(const BackendId& engine, std::uint32_t live, std::uint32_t batch) {
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

TEST_CASE("a live call goes where a slot is free, then where batch yields, then where fewest wait") {
  // bmpua-deck in a burst: 5 to 10 in 100 live replies waited for a slot while other engines had one.
  ChoiceFixture fixture;
  routing::shared_calls shared;
  shared.take(told_of(fixture.engines[0].machine.id, 8, 0), fixture.now);
  shared.take(told_of(fixture.engines[1].machine.id, 2, 6), fixture.now);
  shared.take(told_of(fixture.engines[2].machine.id, 7, 0), fixture.now);
  shared.take(told_of(fixture.engines[3].machine.id, 12, 0), fixture.now);
  ChoiceInput input{fixture.candidates(), "", fixture.now, 1};
  input.shared = &shared;
  CHECK(&choose_backend(input) == &fixture.engines[2]);
  shared.take(told_of(fixture.engines[2].machine.id, 8, 0), fixture.now);
  CHECK(&choose_backend(input) == &fixture.engines[1]);
  shared.take(told_of(fixture.engines[1].machine.id, 9, 0), fixture.now);
  CHECK(&choose_backend(input) != &fixture.engines[3]);
}

TEST_CASE("an engine that still runs what a dead node has sent counts as taken") {
  // Day trouble-1 of bmpua-deck, after a loss of power: requests waited 2 s at engines that nobody told of.
  ChoiceFixture fixture;
  routing::shared_calls shared;
  shared.take(told_of(fixture.engines[1].machine.id, 1, 0), fixture.now);
  fixture.engines[0].reported_at = fixture.now - 100ms;
  fixture.engines[0].unexplained = 8;
  CHECK(calls_at(fixture.engines[0], shared, fixture.now).live == 8);
  CHECK(calls_at(fixture.engines[0], shared, fixture.now + 5s).live == 0);
  ChoiceInput input{fixture.candidates(), "", fixture.now, 1};
  input.shared = &shared;
  for (std::uint64_t draw = 0; draw < 50; ++draw) {
    input.random = draw;
    CHECK(&choose_backend(input) != &fixture.engines[0]);
  }
}
