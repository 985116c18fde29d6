#include "routing/shared_calls.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace madderdeck;
using namespace madderdeck::routing;

namespace {

const BackendId kEngine("e1");

wire::EngineActivityT call_report(const std::string& node, bool complete, std::uint32_t live, std::uint32_t batch,
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
  CHECK_FALSE(calls.has_reports());
  calls.take(call_report("a", false, 2, 1), 1s);
  calls.take(call_report("b", false, 3, 0), 1s);
  CHECK(calls.at(kEngine) == open_calls{5, 1, 2});
  calls.take(call_report("a", false, 0, 4), 1s);
  CHECK(calls.at(kEngine) == open_calls{3, 4, 2});
}

TEST_CASE("a complete message forgets what it does not name") {
  shared_calls calls;
  calls.take(call_report("a", false, 2, 1), 1s);
  calls.take(call_report("a", true, 1, 0, BackendId("e2")), 1s);
  CHECK(calls.at(kEngine) == open_calls{});
  CHECK(calls.at(BackendId("e2")) == open_calls{1, 0, 1});
}

TEST_CASE("a silent node counts no longer") {
  shared_calls calls;
  calls.take(call_report("a", false, 2, 1), 1s);
  calls.take(call_report("b", false, 3, 0), 3s);
  calls.forget_unresponsive_nodes(4500ms);
  CHECK(calls.at(kEngine) == open_calls{3, 0, 1});
  calls.forget_unresponsive_nodes(10s);
  CHECK_FALSE(calls.has_reports());
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
      calls.take(call_report(node, complete, value.live, value.batch, BackendId(engine)), 1s);
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
        sum.nodes += engines[engine].live + engines[engine].batch > 0 ? 1 : 0;
      }
      RC_ASSERT(calls.at(BackendId(engine)) == sum);
    }
  });
}

TEST_CASE("a call that a node is to make counts until that node tells itself") {
  shared_calls calls;
  calls.expect("a", kEngine, 1s);
  calls.expect("a", kEngine, 1s);
  CHECK(calls.at(kEngine) == open_calls{2, 0, 1});
  calls.take(call_report("a", false, 1, 0), 1s);
  CHECK(calls.at(kEngine) == open_calls{1, 0, 1});
}

TEST_CASE("a call that a node was to make and that nobody hears of again is forgotten") {
  shared_calls calls;
  calls.expect("a", kEngine, 1s);
  calls.forget_unresponsive_nodes(3900ms);
  CHECK(calls.at(kEngine) == open_calls{1, 0, 1});
  calls.forget_unresponsive_nodes(4100ms);
  CHECK(calls.at(kEngine) == open_calls{});
}

TEST_CASE("an engine is silent when at least half of the nodes with calls there hear nothing of it") {
  shared_calls calls;
  const auto live_report = [](const std::string& node, std::uint32_t live, bool silent) {
    wire::EngineActivityT message = call_report(node, false, live, 0);
    message.engines.front()->silent = silent;
    return message;
  };
  calls.take(live_report("a", 1, false), 1s);
  CHECK_FALSE(calls.at(kEngine).silent());
  calls.take(live_report("a", 1, true), 1s);
  CHECK(calls.at(kEngine).silent());
  calls.take(live_report("b", 2, false), 1s);
  CHECK(calls.at(kEngine).silent());
  calls.take(live_report("c", 1, false), 1s);
  CHECK_FALSE(calls.at(kEngine).silent());
  calls.take(live_report("b", 0, false), 1s);
  calls.take(live_report("c", 0, false), 1s);
  CHECK(calls.at(kEngine).silent());
  calls.take(live_report("a", 0, true), 1s);  // its calls have ended: no node with calls there is left
  CHECK_FALSE(calls.at(kEngine).silent());
}

TEST_CASE("a call that was expected and never told of is forgotten after 150 ms, one that was told stays") {
  shared_calls calls;
  calls.expect("a", kEngine, 1s);
  calls.expect("b", kEngine, 1s);
  calls.take(call_report("b", false, 1, 0), 1s + 10ms);
  CHECK(calls.at(kEngine).live == 2);
  calls.forget_unreported_calls(1s + 149ms);
  CHECK(calls.at(kEngine).live == 2);
  calls.forget_unreported_calls(1s + 150ms);
  CHECK(calls.at(kEngine) == open_calls{1, 0, 1});
  calls.expect("a", kEngine, 2s);
  calls.take(call_report("a", true, 1, 0, BackendId("e2")), 2s + 10ms);
  calls.forget_unreported_calls(3s);
  CHECK(calls.at(kEngine).live == 1);
  CHECK(calls.at(BackendId("e2")).live == 1);
}

TEST_CASE("a word that was overtaken on its way changes nothing, and one of a node that started anew counts") {
  shared_calls calls;
  const auto numbered = [](std::uint64_t number, std::uint32_t live) {
    wire::EngineActivityT message = call_report("a", false, live, 0);
    message.number = number;
    return message;
  };
  calls.take(numbered(10, 3), 1s);
  calls.take(numbered(9, 5), 1s);
  CHECK(calls.at(kEngine).live == 3);
  calls.take(numbered(0, 2), 1s);  // from a software version that sends no report numbers
  CHECK(calls.at(kEngine).live == 2);
  calls.take(numbered(11, 1), 1s);
  CHECK(calls.at(kEngine).live == 1);
}
