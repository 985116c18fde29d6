/// Guards against starts that end for a cause that passes by itself. A node whose address was still taken, for example
/// by the process before it, or whose settings were not there yet, ended at once, was started again, and ended again
/// until the cause was gone. A start has to wait, to begin within 250 ms of the end of the cause, to end on request
/// meanwhile, and to end with its error when its time limit is over.
#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <thread>

#include "support/started_node.hpp"

using namespace madderdeck;
using namespace madderdeck::tests;
using namespace std::chrono_literals;

namespace {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

constexpr milliseconds kMaxStartDelay{250};   ///< From the end of a cause to the node that accepts connections.
constexpr milliseconds kManyAttempts{1'000};  ///< Several pauses between two attempts.
constexpr const char* kShortWait = "--start_wait_ms=700";
constexpr int kAddressInUseCode = 18;
constexpr int kInvalidArgumentCode = 10;
constexpr int kUnavailableCode = 15;
constexpr int kUnknownFlagCode = 1;  ///< Of the library that reads flags.
constexpr std::uint16_t kOtherApiPort = 8003;

/// A socket of another process, as the node sees it.
class taken_address {
 public:
  enum class kind { listening, bound, datagrams };
  taken_address(const std::string& ip, std::uint16_t port, kind how)
      : socket_(::socket(AF_INET, (how == kind::datagrams ? SOCK_DGRAM : SOCK_STREAM) | SOCK_CLOEXEC, 0)) {
    const sockaddr_in address = socket_address(ip, port);
    REQUIRE(::bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    if (how == kind::listening) {
      REQUIRE(::listen(socket_, 1) == 0);
    }
  }
  ~taken_address() { release(); }
  taken_address(const taken_address&) = delete;
  taken_address& operator=(const taken_address&) = delete;
  void release() {
    if (socket_ >= 0) {
      ::close(socket_);
      socket_ = -1;
    }
  }

 private:
  int socket_;
};

/// @return the time from now until the node accepts connections from callers.
milliseconds delay_of(started_node& node) {
  const auto began = steady::now();
  REQUIRE(node.accepts_callers());
  return std::chrono::duration_cast<milliseconds>(steady::now() - began);
}

/// The median, since any single start may be held up by other work of the machine.
milliseconds median_of(std::vector<milliseconds> delays) {
  REQUIRE_FALSE(delays.empty());
  std::sort(delays.begin(), delays.end());
  return delays[delays.size() / 2];
}

struct taken_case {
  std::uint16_t port;
  taken_address::kind how;
  std::string named;  ///< How the log names the address.
};

std::vector<taken_case> taken_cases() {
  using kind = taken_address::kind;
  std::vector<taken_case> cases{{kPeerPort, kind::datagrams, ":7000 (UDP): "}};
  for (const std::uint16_t port : {kPeerPort, kApiPort, kProbePort, kMetricsPort}) {
    cases.push_back({port, kind::listening, ":" + std::to_string(port) + ": "});
    cases.push_back({port, kind::bound, ":" + std::to_string(port) + ": "});
  }
  return cases;
}

}  // namespace

TEST_CASE("a node waits for an address that is taken and starts soon after it is free") {
  std::vector<milliseconds> delays;
  unsigned plays = 0;
  for (const taken_case& play : taken_cases()) {
    started_node node("127.71.2." + std::to_string(++plays));
    node.write_settings(node.settings_text());
    taken_address taken(node.ip(), play.port, play.how);
    node.start();
    INFO(play.named << " kind " << static_cast<int>(play.how));
    CHECK(node.logs(node.ip() + play.named));
    std::this_thread::sleep_for(kManyAttempts);
    INFO(node.log());
    REQUIRE_FALSE(node.ended());
    CHECK(node.count_in_log("start_waiting") == 1);
    CHECK(node.count_in_log("address_in_use") == 1);
    for (const std::uint16_t port : {kApiPort, kProbePort, kMetricsPort}) {
      CHECK((port == play.port || !accepts(node.ip(), port)));
    }
    taken.release();
    delays.push_back(delay_of(node));
    CHECK(node.logs("start_resumed"));
    CHECK(node.logs("node_started"));
    CHECK(node.count_in_log("waited_ms") == 2);
    const std::string metrics = response_of(node.ip(), kMetricsPort, "/metrics");
    CHECK(metrics.find("madderdeck_node_start_retries_total") != std::string::npos);
    CHECK(metrics.find("madderdeck_node_start_retries_total 0\n") == std::string::npos);
  }
  CHECK(median_of(delays) <= kMaxStartDelay);
}

TEST_CASE("a node that waits for an address or its settings ends on request") {
  for (const int number : {SIGTERM, SIGINT}) {
    for (const bool settings_there : {true, false}) {
      started_node node("127.71.1.2");
      if (settings_there) {
        node.write_settings(node.settings_text());
      }
      const taken_address taken(node.ip(), kPeerPort, taken_address::kind::datagrams);
      node.start();
      REQUIRE(node.logs("start_waiting"));
      node.signal(SIGHUP);
      node.signal(number);
      CHECK(node.exit_code() == 0);
      INFO(node.log());
      CHECK(node.logs("start_ended_on_request"));
    }
  }
}

TEST_CASE("a start ends with its error when the time limit is over") {
  started_node node("127.71.1.3");
  SECTION("an address stays taken") {
    node.write_settings(node.settings_text());
    const taken_address taken(node.ip(), kPeerPort, taken_address::kind::datagrams);
    node.start({kShortWait});
    CHECK(node.exit_code() == kAddressInUseCode);
    INFO(node.log());
    CHECK(node.logs("\"kind\":\"address_in_use\""));
    CHECK(node.logs("node_not_started"));
  }
  SECTION("this machine does not have the address") {
    std::string text = node.settings_text();
    text.replace(text.find(node.ip() + ":8000"), node.ip().size(), "192.0.2.1");  // reserved for documentation
    node.write_settings(text);
    node.start({kShortWait});
    CHECK(node.exit_code() == kInvalidArgumentCode);
    CHECK(node.logs("start_waiting"));
    CHECK(node.logs("node_not_started"));
  }
  SECTION("no settings") {
    node.start({kShortWait});
    CHECK(node.exit_code() == kInvalidArgumentCode);
    CHECK(node.logs("start_waiting"));
    CHECK(node.logs("node_not_started"));
  }
  SECTION("no descriptors") {
    node.write_settings(node.settings_text());
    node.start_with_descriptors(8, kShortWait);
    CHECK(node.exit_code() == kUnavailableCode);
    INFO(node.log());
    CHECK(node.logs("node_not_started"));
  }
}

TEST_CASE("what cannot change while a program runs ends its start at once") {
  started_node node("127.71.1.4", R"("ledger", "controller")");
  node.write_settings(node.settings_text());
  int code = kInvalidArgumentCode;
  SECTION("a check of the settings") {
    node.write_settings("[node]\nid = \"n");
    node.start({"--check_settings"});
  }
  SECTION("a level of logs that does not exist, and no settings") { node.start({"--settings=", "--log_level=loud"}); }
  SECTION("an unknown flag") {
    code = kUnknownFlagCode;
    node.start({"--unknown"});
  }
  CHECK(node.exit_code() == code);
  INFO(node.log());
  CHECK(node.log().find("start_waiting") == std::string::npos);
}

TEST_CASE("a node waits for its settings and starts soon after they are whole") {
  const started_node model("127.71.1.5");
  const std::string whole = model.settings_text();
  std::vector<std::string> partial{"", "[node]\nid = 5\n", "[node]\nnoise = 1\n"};
  constexpr std::size_t kCuts = 6;
  for (std::size_t cut = 1; cut <= kCuts; ++cut) {
    partial.push_back(whole.substr(0, whole.size() * cut / (kCuts + 1)));
  }
  std::vector<milliseconds> delays;
  for (std::size_t play = 0; play <= partial.size(); ++play) {
    started_node node("127.71.1.5");
    const bool missing = play == partial.size();
    if (!missing) {
      node.write_settings(partial[play]);
    }
    node.start();
    INFO("play " << play << ": " << (missing ? "no file" : partial[play]));
    CHECK(node.logs("start_waiting"));
    std::this_thread::sleep_for(kManyAttempts);
    INFO(node.log());
    REQUIRE_FALSE(node.ended());
    CHECK(node.count_in_log("start_waiting") == 1);
    node.write_settings(node.settings_text());
    delays.push_back(delay_of(node));
    CHECK(node.logs("start_resumed"));
  }
  CHECK(median_of(delays) <= kMaxStartDelay);
}

TEST_CASE("a node that waits for an address starts with the settings of that moment") {
  started_node node("127.71.1.6");
  node.write_settings(node.settings_text("before"));
  taken_address taken(node.ip(), kPeerPort, taken_address::kind::listening);
  node.start();
  REQUIRE(node.logs("start_waiting"));
  SECTION("while the address is still taken") {
    node.write_settings(node.settings_text("after", kOtherApiPort));
    taken.release();
  }
  SECTION("the address is free before the settings are whole") {
    node.write_settings("");
    std::this_thread::sleep_for(kManyAttempts);
    taken.release();
    std::this_thread::sleep_for(kManyAttempts);
    REQUIRE_FALSE(node.ended());
    CHECK_FALSE(accepts(node.ip(), kApiPort));
    node.write_settings(node.settings_text("after", kOtherApiPort));
  }
  CHECK(node.accepts_callers(kOtherApiPort));
  CHECK(node.logs("\"event\":\"node_started\",\"node\":\"after\""));
}

TEST_CASE("a node that has no descriptors waits for them") {
  started_node node("127.71.1.7");
  node.write_settings(node.settings_text());
  const int descriptors = GENERATE(5, 8, 9, 10, 12);
  node.start_with_descriptors(descriptors, "--start_wait_ms=60000");
  INFO(descriptors << " descriptors");
  CHECK(node.logs("\"kind\":\"unavailable\""));
  std::this_thread::sleep_for(kManyAttempts);
  INFO(node.log());
  REQUIRE_FALSE(node.ended());
  const rlimit enough{200, 200};
  REQUIRE(::prlimit(node.id(), RLIMIT_NOFILE, &enough, nullptr) == 0);
  CHECK(node.accepts_callers());
  CHECK(node.logs("node_started"));
}

// The process before has the data folder until it ends. Where locks have no effect, only its address keeps the next
// process from the folder.
TEST_CASE("the next process touches the data folder only after the one before has ended") {
  started_node node("127.71.1.8", R"("ledger", "controller")");
  node.write_settings(node.settings_text());
  node.start();
  REQUIRE(node.logs("node_started"));
  bench::Process next;
  REQUIRE(succeeded(next.start(binaries() + "/madderdeckd-platform", {"--settings=" + node.path("settings.toml")},
                               node.path("next_log"))));
  const auto next_log = [&node] {
    std::ifstream file(node.path("next_log"));
    std::stringstream read;
    read << file.rdbuf();
    return read.str();
  };
  const bool planned = GENERATE(true, false);
  CHECK(await([&] { return next_log().find("start_waiting") != std::string::npos || next.poll_ended(); }));
  std::this_thread::sleep_for(kManyAttempts);
  INFO(next_log());
  next.poll_ended();
  REQUIRE(next.running());
  CHECK(next_log().find("disk_opening") == std::string::npos);
  node.signal(planned ? SIGTERM : SIGKILL);
  CHECK(node.exit_code() == (planned ? 0 : -SIGKILL));
  CHECK(await([&] { return next_log().find("node_started") != std::string::npos || next.poll_ended(); }));
  next.poll_ended();
  REQUIRE(next.running());
  CHECK(next_log().find("disk_opened") != std::string::npos);
  CHECK(next_log().find("disk_not_opened") == std::string::npos);
}
