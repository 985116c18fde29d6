#include "engine_run.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck::users_platform::bench;

namespace {

constexpr std::uint64_t kContact_ms = 3'000;

engine_run run_at(const std::string& engine, std::uint64_t begun, std::uint64_t ended, bool may_repeat = true) {
  engine_run one{"r1", engine, "10.0.0.1"};
  one.may_repeat = may_repeat;
  one.arrived_unix_ms = begun;
  one.begun_unix_ms = begun;
  one.ended_unix_ms = ended;
  return one;
}

repeated_runs judge(const std::vector<engine_run>& runs, const caller_attempt& attempt = {},
                    const std::vector<disturbance>& disturbances = {}) {
  return judge_engine_runs(runs, {{"r1", attempt}}, disturbances, kContact_ms);
}

}  // namespace

TEST_CASE("runs of engines are read from their lines, with their ends") {
  engine_run begun = run_at("e1", 1'000, 0);
  begun.ended_unix_ms.reset();
  engine_run ended = run_at("e1", 1'000, 1'500);
  ended.end = run_end::closed;
  CHECK(parse_engine_run(format_engine_run(begun)) == begun);
  CHECK(parse_engine_run(format_engine_run(ended)) == ended);
  CHECK(join_engine_runs({begun, ended}) == std::vector<engine_run>{ended});
  CHECK_FALSE(parse_engine_run("{\"event\":\"late_request\"}"));
}

TEST_CASE("a second run of a request that may run once breaks the rule, one of another request does not") {
  CHECK(judge({run_at("e1", 0, 100, false), run_at("e2", 5'000, 5'100, false)}).second_runs.size() == 1);
  CHECK(judge({run_at("e1", 0, 100), run_at("e2", 5'000, 5'100)}).none());
}

TEST_CASE("two runs break the rule if both go on 400 ms after the later one began") {
  CHECK(judge({run_at("e1", 0, 1'401), run_at("e2", 1'000, 2'000)}).overlapping.size() == 1);
  CHECK(judge({run_at("e1", 0, 1'400), run_at("e2", 1'000, 2'000)}).none());
  CHECK(judge({run_at("e1", 0, 2'000), run_at("e2", 1'000, 1'400)}).none());
}

TEST_CASE("two runs do not break the rule if the later one's sender was disturbed shortly before") {
  const std::vector<engine_run> runs{run_at("e1", 0, 5'000), run_at("e2", 4'000, 5'000)};
  CHECK(judge(runs, {}, {{"10.0.0.1", 0, 1'000}}).none());
  CHECK(judge(runs, {}, {{"10.0.0.1", 0, 999}}).overlapping.size() == 1);
  CHECK(judge(runs, {}, {{"10.0.0.2", 0, 4'000}}).overlapping.size() == 1);
}

TEST_CASE("a run breaks the rule if its caller had left before it arrived, or was told that it had not run") {
  caller_attempt left;
  left.left_unix_ms = 1'000;
  CHECK(judge({run_at("e1", 1'101, 1'200)}, left).for_gone_callers.size() == 1);
  CHECK(judge({run_at("e1", 1'100, 1'200)}, left).none());
  caller_attempt promised;
  promised.told_not_run = true;
  CHECK(judge({run_at("e1", 0, 100, false)}, promised).after_promises.size() == 1);
}
