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
/// Processing time of a request, and of each kilobyte of its answer, on a tenth of a core.
constexpr Duration kTimePerRequest = 1ms;
constexpr Duration kTimePerKilobyte = 20us;
constexpr Duration kCallerTimeout = 1500ms;  ///< Counted from the end of the wait that a caller allows.
constexpr Duration kRetryPause = 300ms;

/// A caller that reads a job from its first result on: after each failure or timeout it retries at the next gateway.
struct retrying_caller {
  retrying_caller(slow_group& nodes, JobId wanted, unsigned first, unsigned count)
      : group(nodes), job(std::move(wanted)), gateway(first), gateways(std::max(1U, count)) {}

  void ask() {
    const std::uint64_t call = ++calls;
    group.reader(gateway++ % gateways)
        .read(job, position, kPageBytes, Duration::zero(), [this, call](const auto& page) { take(call, page); });
    group.world.schedule(kCallerTimeout, [this, call] { retry(call); });
  }
  void take(std::uint64_t call, const Result<ResultPage>& result) {
    if (call != calls || complete()) {
      return;  // the caller has given up on this call
    }
    if (!succeeded(result) || value_of(result).results.empty()) {
      group.world.schedule(kRetryPause, [this, call] { retry(call); });
      return;
    }
    position += static_cast<std::uint32_t>(value_of(result).results.size());
    if (complete()) {
      completed_at = group.world.now();
    } else {
      ask();
    }
  }
  void retry(std::uint64_t call) {
    if (call == calls && !complete()) {
      ask();
    }
  }
  bool complete() const { return position == kItems; }

  slow_group& group;
  const JobId job;
  unsigned gateway = 0;
  const unsigned gateways = 1;
  std::uint32_t position = 0;
  std::uint64_t calls = 0;
  Timestamp completed_at{};
};

}  // namespace

// Guards against reads that overload a ledger group on slow machines (a tenth of a core each), although the group has a
// majority and no other load. A read sent one request for each result, up to 64 at the same time to five replicas each;
// replies that were not complete within 400 ms were discarded and requested again. The caller timed out after a second
// and a half and retried at the next gateway, while the first gateway went on for up to twelve seconds. A few readers
// thus kept the group busy with requests that no caller waited for any more. The logs showed 'results_read_failed' with
// "attempts 4, replies 0 of 5" and 'read_abandoned' in the same second, continuously and on every gateway.
TEST_CASE("results are read when many callers read at the same time from a group on slow machines") {
  constexpr unsigned kGateways = 40;
  constexpr unsigned kCallers = 32;
  slow_group group(kGateways, kTimePerRequest, kTimePerKilobyte);
  std::vector<std::unique_ptr<retrying_caller>> callers;
  for (unsigned number = 0; number < kCallers; ++number) {
    const JobId job = group.add_job("job-" + std::to_string(number), kItems, kResultBytes);
    callers.push_back(std::make_unique<retrying_caller>(group, job, number, kGateways));
  }
  const Timestamp began = group.world.now();
  for (const auto& caller : callers) {
    caller->ask();
  }
  group.world.run_for(15s);
  unsigned complete = 0;
  Timestamp last = began;
  for (const auto& caller : callers) {
    complete += caller->complete() ? 1 : 0;
    last = std::max(last, caller->completed_at);
  }
  INFO("the last after " << (last - began) / 1ms << " ms, " << group.questions() << " requests, "
                         << group.value_bytes() / 1'000'000 << " MB of values");
  CHECK(complete == kCallers);
}
TEST_CASE("a page of results takes a few requests to its group, however many results it has") {
  slow_group group(1, kTimePerRequest, kTimePerKilobyte);
  retrying_caller caller(group, group.add_job("job", kItems, kResultBytes), 0, 1);
  const std::uint64_t before = group.questions();
  caller.ask();
  group.world.run_for(1s);
  CHECK(caller.complete());
  constexpr std::uint64_t kStages = 3;  // the job, its order, the results
  CHECK(group.questions() - before <= (kStages + 1) * slow_group::kReplicas);
}

TEST_CASE("a job is not evicted while it is read, however many others are read meanwhile") {
  constexpr unsigned kJobs = 24;  // 17 MB of results, of which 6 MiB are cached
  slow_group group(1, Duration(10), Duration(0));
  std::vector<std::unique_ptr<retrying_caller>> callers;
  for (unsigned number = 0; number < kJobs; ++number) {
    const JobId job = group.add_job("job-" + std::to_string(number), kItems, kResultBytes);
    callers.push_back(std::make_unique<retrying_caller>(group, job, 0, 1));
  }
  for (const auto& caller : callers) {
    caller->ask();
  }
  group.world.run_for(2s);
  for (const auto& caller : callers) {
    CHECK(caller->complete());
  }
  CHECK(group.counters(0)["batch_result_reads_failed_total"] == 0);
}

// Guards against empty answers to reads that run out of time. While all nodes were starting, four reads of jobs with
// results were answered with status 200 and no result: the answer was due before the order of the results had been
// read, and results that were not known yet were taken for absent ones.
TEST_CASE("a read that times out before any result is known fails and does not answer that there are no results") {
  for (const Duration per_question : {150ms, 400ms, 700ms, 1200ms}) {
    slow_group group(1, Duration(10), Duration(0));
    const JobId job = group.add_job("job", kItems, kResultBytes);
    group.slow_down(per_question);
    std::optional<Result<ResultPage>> answer;
    group.reader(0).read(job, 0, kPageBytes, Duration::zero(),
                         [&](Result<ResultPage> page) { answer = std::move(page); });
    group.world.run_for(kCallerTimeout);
    INFO("a request takes " << per_question / 1ms << " ms");
    REQUIRE(answer);
    CHECK((!succeeded(*answer) || !value_of(*answer).results.empty()));
  }
}

// Guards the upgrade from a version whose replicas cannot read records by key: they answer such a request with 0
// records and the flag that more follow. Newer gateways refused reads with status 503 for as long as such replicas were
// among the first to answer.
TEST_CASE("results are read completely when some replicas run a version that cannot read records by key") {
  for (unsigned earlier = 1; earlier <= slow_group::kReplicas; ++earlier) {
    INFO(earlier << " replicas run the earlier version");
    slow_group group(1, Duration(10), Duration(0));
    retrying_caller caller(group, group.add_job("job", kItems, kResultBytes), 0, 1);
    group.run_earlier_version(earlier);
    caller.ask();
    group.world.run_for(3s);
    CHECK(caller.complete());
    CHECK(group.counters(0)["batch_result_reads_failed_total"] == 0);
  }
}
