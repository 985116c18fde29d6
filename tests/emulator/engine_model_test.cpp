#include "emulator/engine_model.hpp"

#include <catch2/catch.hpp>

#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::emulator;
using madderdeck::tests::TestEnvironment;

namespace {
struct EngineFixture {
  explicit EngineFixture(std::uint32_t slots = 2) {
    EngineProfile profile;
    profile.slots = slots;
    engine = std::make_unique<EngineModel>(environment, profile, std::set<std::string>{"m"});
  }
  GenerationId submit(routing::Priority priority, std::uint32_t tokens, std::string& text,
                      std::uint32_t resume_from = 0) {
    GenerationEvents events;
    events.token = [&text](std::uint32_t, const std::string& piece) { text += piece; };
    events.finished = [&text](std::uint32_t) { text += "."; };
    return std::get<GenerationId>(engine->submit({"m", "prompt", tokens, resume_from, priority}, std::move(events)));
  }
  TestEnvironment environment;
  std::unique_ptr<EngineModel> engine;
};
}  // namespace

TEST_CASE("an answer is whole and can be resumed") {
  EngineFixture fixture;
  std::string whole;
  std::string rest;
  fixture.submit(routing::Priority::online, 5, whole);
  fixture.submit(routing::Priority::online, 5, rest, 2);
  fixture.environment.world.run_for(1s);
  CHECK(whole == full_answer("prompt", 5) + ".");
  CHECK(full_answer("prompt", 2) + rest == whole);
}

TEST_CASE("a live request takes the slot of the youngest batch sequence") {
  EngineFixture fixture;
  std::string batch;
  std::string live;
  fixture.submit(routing::Priority::batch, 100, batch);
  fixture.submit(routing::Priority::batch, 100, batch);
  fixture.environment.world.run_for(100ms);
  fixture.submit(routing::Priority::online, 3, live);
  fixture.environment.world.run_for(100ms);
  CHECK(live == full_answer("prompt", 3) + ".");
  CHECK(fixture.engine->totals().preemptions == 1);
  CHECK(fixture.engine->totals().online_steps_behind_batch == 0);
}

TEST_CASE("stale orders are refused") {
  EngineFixture fixture;
  CHECK(fixture.engine->order({5, EngineOrder::Action::load, "n", "1"}));
  CHECK_FALSE(fixture.engine->order({4, EngineOrder::Action::unload, "n", ""}));
  CHECK(fixture.engine->models().contains("n"));
}

TEST_CASE("a leaving engine takes nothing and says so") {
  EngineFixture fixture;
  fixture.engine->set_leaving(true);
  const auto taken = fixture.engine->submit({"m", "p", 1, 0, routing::Priority::online}, {});
  CHECK(std::get<EngineRefusal>(taken) == EngineRefusal::leaving);
  CHECK(fixture.engine->report().leaving);
}

TEST_CASE("reports are old") {
  EngineFixture fixture;
  std::string text;
  fixture.environment.world.run_for(1s);
  fixture.submit(routing::Priority::online, 100, text);
  fixture.environment.world.run_for(100ms);
  CHECK(fixture.engine->report().running_online == 0);
  fixture.environment.world.run_for(400ms);
  CHECK(fixture.engine->report().running_online == 1);
}
