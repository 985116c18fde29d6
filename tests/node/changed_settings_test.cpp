/// Guards against nodes that return with outdated seeds and stay alone. The settings file may be corrected without a
/// signal; a node that read it again on SIGHUP only kept seeds at which nobody lives.
#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <string>

#include "support/started_node.hpp"

using namespace madderdeck;
using namespace madderdeck::tests;

namespace {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// From the change of the file: one interval of the check and one period of the membership, with room for a machine
/// that is busy.
constexpr milliseconds kMaxJoinDelay{3'000};

std::string with_seed(std::string settings, const std::string& seed_ip) {
  const std::string key = "peer_address";
  return settings.insert(settings.find(key), "seeds = [\"" + seed_ip + ":" + std::to_string(kPeerPort) + "\"]\n");
}

/// Starts a node whose seed does not exist, and waits until it searches.
void start_alone(started_node& node) {
  node.write_settings(with_seed(node.settings_text("alone"), "127.71.8.99"));
  node.start();
  REQUIRE(node.logs("fleet_not_found"));
}

}  // namespace

TEST_CASE("a node with outdated seeds joins when its settings file is corrected without a signal") {
  started_node seed("127.71.8.1");
  seed.write_settings(seed.settings_text("seed"));
  seed.start();
  REQUIRE(seed.logs("node_started"));
  for (const bool empty_meanwhile : {false, true}) {
    // The seed remembers who was at an address before.
    started_node node(empty_meanwhile ? "127.71.8.4" : "127.71.8.2");
    start_alone(node);
    if (empty_meanwhile) {
      node.write_settings("");
      REQUIRE(node.logs("settings_reloaded"));
    }
    const auto corrected = steady::now();
    node.write_settings(with_seed(node.settings_text("alone"), seed.ip()));
    INFO(node.log());
    REQUIRE(node.logs("fleet_joined"));
    CHECK(steady::now() - corrected <= kMaxJoinDelay);
    CHECK(node.count_in_log("settings_reloaded") == (empty_meanwhile ? 2 : 1));
    CHECK_FALSE(node.ended());
  }
}

TEST_CASE("a settings file that does not change, or only in what a node reads at its start, is not reported again") {
  started_node node("127.71.8.3");
  start_alone(node);
  node.write_settings(with_seed(node.settings_text("alone", kApiPort + 50), "127.71.8.99"));
  std::this_thread::sleep_for(milliseconds(1'500));
  CHECK(node.count_in_log("settings_reloaded") == 0);
  node.signal(SIGHUP);
  CHECK(node.logs("settings_reloaded"));
  CHECK(node.count_in_log("settings_reloaded") == 1);
}
