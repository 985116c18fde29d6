#include "batch/submission_window.hpp"

#include <catch2/catch.hpp>
#include <deque>

#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::batch;
using madderdeck::tests::TestEnvironment;

namespace {

constexpr std::size_t kJobBytes = 2'000'000;
constexpr Duration kWriteTimeout = 4s;   ///< Timeout of a write.
constexpr Duration kRetryPause = 300ms;  ///< Time after which a caller submits its job again.

struct window_fixture {
  TestEnvironment environment;
  Counters counters;
  NoDecisionLog log;
  submission_window window{environment, counters, log};
};

/// A ledger that stores @p bytes_per_s, one write after the other, including writes that have timed out meanwhile.
class busy_ledger {
 public:
  busy_ledger(TestEnvironment& environment, std::size_t bytes_per_s)
      : environment_(environment), bytes_per_s_(bytes_per_s) {}

  /// @p done gets whether the write ended before its timeout.
  void write(std::size_t bytes, std::function<void(bool)> done) {
    const auto work = std::chrono::microseconds(bytes * 1'000'000 / bytes_per_s_);
    free_at_ = std::max(free_at_, environment_.now()) + work;
    const Duration took = free_at_ - environment_.now();
    environment_.after(std::min(took, kWriteTimeout), [done = std::move(done), took] { done(took < kWriteTimeout); });
  }

 private:
  TestEnvironment& environment_;
  const std::size_t bytes_per_s_;
  Timestamp free_at_{};
};

/// Callers that submit their jobs again until they are stored.
class retrying_submitters {
 public:
  retrying_submitters(window_fixture& node, busy_ledger& ledger, bool limited)
      : node_(node), ledger_(ledger), limited_(limited) {}

  void submit() {
    if (limited_ && !node_.window.enter(kJobBytes)) {
      ++refused;
      node_.environment.after(node_.window.retry_after(), [this] { submit(); });
      return;
    }
    const Timestamp began = node_.environment.now();
    ledger_.write(kJobBytes, [this, began](bool stored) { take(began, stored); });
  }

  unsigned stored = 0;
  unsigned failed = 0;
  unsigned refused = 0;

 private:
  void take(Timestamp began, bool in_time) {
    if (limited_) {
      node_.window.leave(kJobBytes, node_.environment.now() - began,
                         in_time ? submission_end::stored : submission_end::failed);
    }
    ++(in_time ? stored : failed);
    if (!in_time) {
      node_.environment.after(kRetryPause, [this] { submit(); });
    }
  }

  window_fixture& node_;
  busy_ledger& ledger_;
  const bool limited_;
};

}  // namespace

// Guards against submissions that overload the ledger: on slow machines 976 of 1,011 submissions failed. A hundred jobs
// of 2 MB were submitted repeatedly and written at the same time, none was stored completely within the 4 s timeout of
// a write, and all that had been written was discarded. Readers of other jobs got no answer meanwhile.
TEST_CASE("jobs that are submitted repeatedly are stored as fast as the ledger can store them") {
  constexpr std::size_t kBytesPerS = 5'000'000;
  constexpr unsigned kJobs = 100;
  constexpr Duration kTime = 60s;  // at its rate the ledger stores the jobs in 40 s
  const bool limited = GENERATE(false, true);
  window_fixture node;
  busy_ledger ledger(node.environment, kBytesPerS);
  retrying_submitters submitters(node, ledger, limited);
  for (unsigned number = 0; number < kJobs; ++number) {
    submitters.submit();
  }
  node.environment.world.run_for(kTime);
  if (limited) {
    CHECK(submitters.stored == kJobs);
  } else {
    CHECK(submitters.stored < kJobs / 4);  // without the window most writes time out
  }
}

TEST_CASE("the window adapts to the rate at which the ledger stores jobs") {
  window_fixture node;
  const std::size_t first = node.window.window_bytes();
  SECTION("it grows while jobs are stored fast") {
    for (unsigned number = 0; number < 40; ++number) {
      REQUIRE(node.window.enter(kJobBytes));
      node.environment.world.run_for(50ms);
      node.window.leave(kJobBytes, 50ms, submission_end::stored);
    }
    CHECK(node.window.window_bytes() > first);
    CHECK(node.window.window_bytes() <= submission_window_limits{}.max_window_bytes);
  }
  SECTION("one job makes it grow by its own size at most") {
    const std::size_t large = 2 * first;
    REQUIRE(node.window.enter(large));
    node.window.leave(large, 50ms, submission_end::stored);
    CHECK(node.window.window_bytes() <= std::max(first + large, submission_window_limits{}.max_window_bytes));
    for (unsigned number = 0; number < 8; ++number) {
      node.environment.world.run_for(2s);
      REQUIRE(node.window.enter(1));
      node.window.leave(1, kWriteTimeout, submission_end::failed);
    }
    const std::size_t least = node.window.window_bytes();
    REQUIRE(node.window.enter(3 * least));
    node.window.leave(3 * least, 50ms, submission_end::stored);
    CHECK(node.window.window_bytes() <= 4 * least);
  }
  SECTION("it is halved once for jobs that fail at the same moment") {
    node.environment.world.run_for(1ms);
    REQUIRE(node.window.enter(kJobBytes));
    REQUIRE(node.window.enter(kJobBytes));
    node.window.leave(kJobBytes, kWriteTimeout, submission_end::failed);
    node.window.leave(kJobBytes, kWriteTimeout, submission_end::failed);
    CHECK(node.window.window_bytes() == first / 2);
  }
  SECTION("a job that its caller abandons does not change it") {
    REQUIRE(node.window.enter(kJobBytes));
    node.window.leave(kJobBytes, kWriteTimeout, submission_end::abandoned);
    CHECK(node.window.window_bytes() == first);
    CHECK(node.counters["job_submission_in_flight_bytes"] == 0);
  }
}

TEST_CASE("a job larger than the window is admitted when no other job is being written") {
  window_fixture node;
  const std::size_t large = submission_window_limits{}.max_window_bytes + 1;
  CHECK(node.window.enter(large));
  CHECK_FALSE(node.window.enter(1));
  CHECK(node.window.retry_after() >= submission_window_limits{}.min_retry_after);
  node.window.leave(large, 1s, submission_end::stored);
  CHECK(node.window.enter(1));
}

TEST_CASE("a refused caller is told to retry when the jobs being written are likely to be stored") {
  window_fixture node;
  REQUIRE(node.window.enter(kJobBytes));
  node.environment.world.run_for(2s);
  node.window.leave(kJobBytes, 2s, submission_end::stored);
  for (unsigned number = 0; number < 4; ++number) {
    REQUIRE(node.window.enter(kJobBytes));
  }
  // Four jobs of 2 MB at 1 MB a second.
  CHECK(node.window.retry_after() > 6s);
  CHECK(node.window.retry_after() <= 10s);
}
