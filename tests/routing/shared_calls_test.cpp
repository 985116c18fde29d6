#include "routing/shared_calls.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace madderdeck;
using namespace madderdeck::routing;

namespace {

const BackendId kEngine("e1");

wire::EngineActivityT told(const std::string& node, bool complete, std::uint32_t live, std::uint32_t batch,
                           const BackendId& engine = kEngine) {
  wire::EngineActivityT message;
  message.node = node;
  message.complete = complete;
  auto entry = std::make_unique<wire::EngineCallsT>();
  entry->engine = engine.str();
  entry->live = live;
  entry->batch = batch;
  message.engines.push_back(std::move(entry));
  return message;
}

}  // namespace

TEST_CASE("calls of several nodes add up, and a later word replaces an earlier one") {
  shared_calls calls;
  CHECK_FALSE(calls.any_heard());
  calls.take(told("a", false, 2, 1), 1s);
  calls.take(told("b", false, 3, 0), 1s);
  CHECK(calls.at(kEngine) == open_calls{5, 1});
  calls.take(told("a", false, 0, 4), 1s);
  CHECK(calls.at(kEngine) == open_calls{3, 4});
}

TEST_CASE("a complete message forgets what it does not name") {
  shared_calls calls;
  calls.take(told("a", false, 2, 1), 1s);
  calls.take(told("a", true, 1, 0, BackendId("e2")), 1s);
  CHECK(calls.at(kEngine) == open_calls{});
  CHECK(calls.at(BackendId("e2")) == open_calls{1, 0});
}

TEST_CASE("a silent node counts no longer") {
  shared_calls calls;
  calls.take(told("a", false, 2, 1), 1s);
  calls.take(told("b", false, 3, 0), 3s);
  calls.forget_silent(4500ms);
  CHECK(calls.at(kEngine) == open_calls{3, 0});
  calls.forget_silent(10s);
  CHECK_FALSE(calls.any_heard());
  CHECK(calls.at(kEngine) == open_calls{});
}

TEST_CASE("the sums are those of the last word of each node") {
  rc::prop("equal to a plain sum", [] {
    shared_calls calls;
    std::map<std::string, std::map<std::string, open_calls>> expected;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const std::string node = "n" + std::to_string(*rc::gen::inRange(0, 4));
      const std::string engine = "e" + std::to_string(*rc::gen::inRange(0, 3));
      const open_calls value{static_cast<std::uint32_t>(*rc::gen::inRange(0, 5)),
                             static_cast<std::uint32_t>(*rc::gen::inRange(0, 5))};
      const bool complete = *rc::gen::inRange(0, 4) == 0;
      calls.take(told(node, complete, value.live, value.batch, BackendId(engine)), 1s);
      if (complete) {
        expected[node].clear();
      }
      expected[node][engine] = value;
    }
    for (const std::string engine : {"e0", "e1", "e2"}) {
      open_calls sum;
      for (auto& [node, engines] : expected) {
        sum.live += engines[engine].live;
        sum.batch += engines[engine].batch;
      }
      RC_ASSERT(calls.at(BackendId(engine)) == sum);
    }
  });
}
