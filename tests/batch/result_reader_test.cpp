#include "batch/result_reader.hpp"

#include <catch2/catch.hpp>

#include "support/slow_group.hpp"

using namespace madderdeck;
using namespace madderdeck::batch;
using madderdeck::tests::slow_group;

namespace {

constexpr std::size_t kPageBytes = 900'000;
constexpr std::uint32_t kItems = 70;
constexpr std::size_t kResultBytes = 10'000;
/// What a question takes on a tenth of a core, and a kilobyte of the answer.
constexpr Duration kPerQuestion = 1ms;
constexpr Duration kPerKilobyte = 20us;
constexpr Duration kCallersPatience = 1500ms;  ///< Beyond what a caller allows a call to wait.
constexpr Duration kPause = 300ms;

/// A caller that reads a job from its start: after each failure, and when it has waited for long enough, it asks the
/// next gateway.
struct persistent_caller {
  persistent_caller(slow_group& nodes, JobId wanted, unsigned first, unsigned count)
      : group(nodes), job(std::move(wanted)), gateway(first), gateways(std::max(1U, count)) {}

  void ask() {
    const std::uint64_t call = ++calls;
    group.reader(gateway++ % gateways)
        .read(job, position, kPageBytes, Duration::zero(), [this, call](const auto& page) { take(call, page); });
    group.world.schedule(kCallersPatience, [this, call] { come_back(call); });
  }
  void take(std::uint64_t call, const Result<ResultPage>& result) {
    if (call != calls || whole()) {
      return;  // it has left
    }
    if (!succeeded(result) || value_of(result).results.empty()) {
      group.world.schedule(kPause, [this, call] { come_back(call); });
      return;
    }
    position += static_cast<std::uint32_t>(value_of(result).results.size());
    if (whole()) {
      whole_at = group.world.now();
    } else {
      ask();
    }
  }
  void come_back(std::uint64_t call) {
    if (call == calls && !whole()) {
      ask();
    }
  }
  bool whole() const { return position == kItems; }

  slow_group& group;
  const JobId job;
  unsigned gateway = 0;
  const unsigned gateways = 1;
  std::uint32_t position = 0;
  std::uint64_t calls = 0;
  Timestamp whole_at{};
};

}  // namespace

// Jobs that had been run and read did not come again when they were read once more at the end, though the nodes that
// held them had a majority and nothing else was going on. A reading asked its group once for each result, up to 64
// times at the same moment and five members each; whatever had not come whole within 400 ms was thrown away and asked
// for again. The caller left after a second and a half, its next gateway began anew, and the first went on for up to
// twelve seconds. So a few readers kept the group busy with questions that nobody waited for any more. Settled by
// 'results_read_failed' with "attempts 4, replies 0 of 5" and 'read_abandoned' in the same second, at every gateway and
// without end, on nodes that had a tenth of a core each.
TEST_CASE("results come again when many callers read at once from a group on slow machines") {
  constexpr unsigned kGateways = 40;
  constexpr unsigned kCallers = 32;
  slow_group group(kGateways, kPerQuestion, kPerKilobyte);
  std::vector<std::unique_ptr<persistent_caller>> callers;
  for (unsigned number = 0; number < kCallers; ++number) {
    const JobId job = group.add_job("job-" + std::to_string(number), kItems, kResultBytes);
    callers.push_back(std::make_unique<persistent_caller>(group, job, number, kGateways));
  }
  const Timestamp began = group.world.now();
  for (const auto& caller : callers) {
    caller->ask();
  }
  group.world.run_for(15s);
  unsigned whole = 0;
  Timestamp last = began;
  for (const auto& caller : callers) {
    whole += caller->whole() ? 1 : 0;
    last = std::max(last, caller->whole_at);
  }
  INFO("the last after " << (last - began) / 1ms << " ms, " << group.questions() << " questions, "
                         << group.value_bytes() / 1'000'000 << " MB of values");
  CHECK(whole == kCallers);
}
TEST_CASE("a page of results costs its group a few questions, however many results it has") {
  slow_group group(1, kPerQuestion, kPerKilobyte);
  persistent_caller caller(group, group.add_job("job", kItems, kResultBytes), 0, 1);
  const std::uint64_t before = group.questions();
  caller.ask();
  group.world.run_for(1s);
  CHECK(caller.whole());
  constexpr std::uint64_t kStages = 3;  // the job, its order, the results
  CHECK(group.questions() - before <= (kStages + 1) * slow_group::kReplicas);
}

TEST_CASE("a job is not forgotten while it is read, however many others are asked for meanwhile") {
  constexpr unsigned kJobs = 24;  // 17 MB of results, of which 6 MiB are remembered
  slow_group group(1, Duration(10), Duration(0));
  std::vector<std::unique_ptr<persistent_caller>> callers;
  for (unsigned number = 0; number < kJobs; ++number) {
    const JobId job = group.add_job("job-" + std::to_string(number), kItems, kResultBytes);
    callers.push_back(std::make_unique<persistent_caller>(group, job, 0, 1));
  }
  for (const auto& caller : callers) {
    caller->ask();
  }
  group.world.run_for(2s);
  for (const auto& caller : callers) {
    CHECK(caller->whole());
  }
  CHECK(group.counters(0)["batch_result_reads_failed_total"] == 0);
}

// With real processes four readings of jobs that had been read before were answered 200 without a result, while all
// nodes were starting: the time for the answer was over before the order of the results had been read, and what is not
// known was taken for what is not there.
TEST_CASE("a reading whose time is over before anything is known fails; it does not say that there is nothing") {
  for (const Duration per_question : {150ms, 400ms, 700ms, 1200ms}) {
    slow_group group(1, Duration(10), Duration(0));
    const JobId job = group.add_job("job", kItems, kResultBytes);
    group.slow_down(per_question);
    std::optional<Result<ResultPage>> answer;
    group.reader(0).read(job, 0, kPageBytes, Duration::zero(),
                         [&](Result<ResultPage> page) { answer = std::move(page); });
    group.world.run_for(kCallersPatience);
    INFO("a question takes " << per_question / 1ms << " ms");
    REQUIRE(answer);
    CHECK((!succeeded(*answer) || !value_of(*answer).results.empty()));
  }
}

// An upgrade with real processes from a version whose replicas know no named records: newer gateways put readings off
// (503, "the first result could not be settled") for as long as such replicas were among the first to answer. Their
// answer to named records is "0 records and that more follow".
TEST_CASE("results are read whole beside replicas of a version that knows no named records") {
  for (unsigned earlier = 1; earlier <= slow_group::kReplicas; ++earlier) {
    INFO(earlier << " replicas of the earlier version");
    slow_group group(1, Duration(10), Duration(0));
    persistent_caller caller(group, group.add_job("job", kItems, kResultBytes), 0, 1);
    group.run_earlier_version(earlier);
    caller.ask();
    group.world.run_for(3s);
    CHECK(caller.whole());
    CHECK(group.counters(0)["batch_result_reads_failed_total"] == 0);
  }
}
