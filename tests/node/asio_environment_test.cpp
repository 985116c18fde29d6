#include "node/asio_environment.hpp"

#include <catch2/catch.hpp>
#include <ctime>

using namespace madderdeck;
using namespace madderdeck::node;

// Symptom and cause: on a machine that was suspended for seconds, leases, reports and keys seemed as fresh as before,
// since the steady clock does not count that time; others had measured it. Here no machine can be suspended: that the
// clock is the right one is shown by its name and its readings, what happens otherwise by the simulation
// (clock_stands_still).
TEST_CASE("a node's clock goes on while the machine is suspended") {
  static_assert(std::is_same_v<AsioEnvironment::clock, net::boot_clock>);
  const auto read = [](clockid_t clock) {
    timespec time{};
    REQUIRE(::clock_gettime(clock, &time) == 0);
    return std::chrono::duration_cast<Timestamp>(std::chrono::seconds(time.tv_sec) +
                                                 std::chrono::nanoseconds(time.tv_nsec));
  };
  boost::asio::io_context context;
  Counters counters;
  net::HttpClient client(context, "");
  AsioEnvironment environment(context, counters, client, PeerAddress("127.91.0.2:9400"));
  const Timestamp before = read(CLOCK_BOOTTIME);
  const Timestamp now = environment.now();
  CHECK(before <= now);
  CHECK(now <= read(CLOCK_BOOTTIME));
}

TEST_CASE("timers run by the node's clock") {
  boost::asio::io_context context;
  Counters counters;
  net::HttpClient client(context, "");
  AsioEnvironment environment(context, counters, client, PeerAddress("127.91.0.2:9401"));
  const Timestamp start = environment.now();
  Timestamp fired{};
  environment.after(30ms, [&] { fired = environment.now(); });
  context.run();
  CHECK(fired - start >= 30ms);
}
