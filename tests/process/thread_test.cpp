/// Guards against processes that end since a thread is refused to them: std::thread throws then.
#include "process/thread.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <vector>

#include "process/worker.hpp"
#include "support/limited_copy.hpp"

using namespace madderdeck;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSpareBytes = std::uint64_t{1} << 20;
constexpr std::size_t kManyThreads = 256;  ///< Their stacks need more addresses than any C library keeps.

bool is_unavailable(const Status& status) {
  return !succeeded(status) && error_of(status).kind == ErrorKind::unavailable;
}

}  // namespace

TEST_CASE("threads that the system refuses are an error, and can be had when the limit is lifted") {
  CHECK(tests::result_of_copy([] {
          tests::limit_addresses(kSpareBytes);
          if (!is_unavailable(process::check_threads(kManyThreads))) {
            return 1;
          }
          tests::lift_address_limit();
          return succeeded(process::check_threads(kManyThreads)) ? 0 : 2;
        }) == 0);
}

TEST_CASE("memory that a limit refuses is an error, and can be had when the limit is lifted") {
  CHECK(tests::result_of_copy([] {
          tests::limit_addresses(kSpareBytes);
          if (!is_unavailable(process::check_memory(2 * kSpareBytes))) {
            return 1;
          }
          tests::lift_address_limit();
          return succeeded(process::check_memory(2 * kSpareBytes)) ? 0 : 2;
        }) == 0);
}

TEST_CASE("a worker whose thread is refused starts later and runs what was posted") {
  CHECK(tests::result_of_copy([] {
          std::atomic<bool> ran = false;
          process::worker worker("test");
          worker.post([&ran] { ran = true; });
          tests::need_large_stacks();
          tests::limit_addresses(0);
          const bool refused = is_unavailable(worker.start());
          tests::lift_address_limit();
          const bool started = succeeded(worker.start());
          worker.join();
          return refused && started && ran ? 0 : 1;
        }) == 0);
}

TEST_CASE("a worker runs its tasks in order, also those that tasks post while it is joined") {
  std::vector<int> order;
  process::worker worker("test");
  REQUIRE(succeeded(worker.start()));
  for (int number = 0; number < 100; ++number) {
    worker.post([&order, number] { order.push_back(number); });
  }
  worker.post([&] { worker.post([&order] { order.push_back(100); }); });
  worker.join();
  REQUIRE(order.size() == 101);
  for (int number = 0; number <= 100; ++number) {
    CHECK(order.at(static_cast<std::size_t>(number)) == number);
  }
}
