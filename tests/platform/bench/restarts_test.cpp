#include "saboteur.hpp"

#include <signal.h>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace std::chrono_literals;
using namespace madderdeck;
using namespace madderdeck::users_platform::bench;

namespace {

constexpr auto kPatience = 20s;

/// A gateway and a node with a disk whose program is a few lines of shell.
class scripted_fleet {
 public:
  explicit scripted_fleet(const std::string& script, const role_limits& limits = {}) {
    shape_.folder = (std::filesystem::temp_directory_path() / ("madderdeck-restarts-" + std::to_string(::getpid())));
    shape_.program = shape_.folder + ".sh";
    shape_.gateways = 1;
    shape_.ledgers = 1;
    shape_.engines = 0;
    shape_.tolerated_losses = 1;
    shape_.gateway_limits = limits;
    shape_.deploy = shape_.folder + ".deploy";
    std::filesystem::create_directories(shape_.deploy);
    std::ofstream(shape_.deploy + "/gateway.toml")
        << "memory={{limits.memory_mb}} descriptors={{limits.max_fds}} disk={{limits.disk_mb}}\n";
    std::ofstream(shape_.deploy + "/ledger.toml") << "id={{node_name}}\n";
    std::ofstream(shape_.program) << "#!/bin/sh\n" << script;
    std::filesystem::permissions(shape_.program, std::filesystem::perms::owner_all);
    nodes_ = std::make_unique<fleet>(shape_, http_);
    faults_ =
        std::make_unique<saboteur>(*nodes_, http_, std::make_unique<overlapping_losses>(nodes_->ledgers(), 1, 1ms));
    REQUIRE(succeeded(nodes_->mend_settings(name())));
    REQUIRE(succeeded(nodes_->restart(name())));
  }
  ~scripted_fleet() {
    faults_.reset();
    nodes_.reset();
    for (const std::string& path : {shape_.folder, shape_.program, shape_.deploy}) {
      std::filesystem::remove_all(path);
    }
  }
  scripted_fleet(const scripted_fleet&) = delete;
  scripted_fleet& operator=(const scripted_fleet&) = delete;

  const std::string& name() const { return nodes_->gateways().front(); }
  fleet& nodes() { return *nodes_; }
  const std::vector<own_end>& ends() const { return faults_->own_ends(); }
  saboteur& faults() { return *faults_; }
  std::string log() const {
    std::ifstream file(shape_.folder + "/" + name() + ".log");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  template <class Condition>
  bool watch_until(Condition condition) {
    const auto latest = std::chrono::steady_clock::now() + kPatience;
    while (!condition() && std::chrono::steady_clock::now() < latest) {
      http_.run_for(10ms);
      faults_->watch();
    }
    return condition();
  }

 private:
  madderdeck::bench::HttpSession http_;
  fleet_shape shape_;
  std::unique_ptr<fleet> nodes_;
  std::unique_ptr<saboteur> faults_;
};

}  // namespace

TEST_CASE("restarts: a process that ends by itself is reported with node, exit code and last line, and started again") {
  scripted_fleet fleet("echo starts; echo madderdeckd: why; exit 7\n");
  REQUIRE(fleet.watch_until([&] { return fleet.ends().size() >= 2; }));
  for (const own_end& end : fleet.ends()) {
    CHECK(end.node == fleet.name());
    CHECK(end.exit_code == 7);
    CHECK(end.last_line == "madderdeckd: why");
  }
  CHECK(fleet.ends()[1].at_unix_ms - fleet.ends()[0].at_unix_ms >= 100);
  CHECK_FALSE(fleet.faults().is_back(fleet.name()));
}

TEST_CASE("restarts: a process that a signal ends by itself is reported with the signal") {
  scripted_fleet fleet("kill -ABRT $$\n");
  REQUIRE(fleet.watch_until([&] { return !fleet.ends().empty(); }));
  CHECK(fleet.ends().front().exit_code == -SIGABRT);
  CHECK(unlisted_ends(fleet.ends()) == fleet.ends().size());
}

TEST_CASE("restarts: an end with 0 that nobody asked for counts") {
  scripted_fleet fleet("exit 0\n");
  CHECK(fleet.watch_until([&] { return !fleet.ends().empty(); }));
}

TEST_CASE("restarts: the next process finds the settings as they are when it starts, not as they were at the end") {
  scripted_fleet fleet("cat \"$MADDERDECK_BOOT\" 2>/dev/null || echo none; echo /; exit 10\n");
  REQUIRE(fleet.watch_until([&] { return !fleet.ends().empty(); }));
  REQUIRE(succeeded(fleet.nodes().spoil_settings(fleet.name(), settings_form::missing, 0)));
  REQUIRE(fleet.watch_until([&] { return fleet.log().find("none\n/\n") != std::string::npos; }));
  REQUIRE(succeeded(fleet.nodes().spoil_settings(fleet.name(), settings_form::cut, 5)));
  REQUIRE(fleet.watch_until([&] { return fleet.log().find("none\n/\nmemory/\n") != std::string::npos; }));
  REQUIRE(succeeded(fleet.nodes().mend_settings(fleet.name())));
  CHECK(fleet.watch_until([&] { return fleet.log().find("memory/\nmemory=260 ") != std::string::npos; }));
}

TEST_CASE("restarts: a process ends unreported when it was told to stop, and reported when it ends badly then") {
  {
    scripted_fleet fleet("trap 'exit 0' TERM; echo up; while :; do sleep 0.05; done\n");
    REQUIRE(fleet.watch_until([&] { return fleet.log().find("up") != std::string::npos; }));
    fleet.nodes().stop(fleet.name());
    REQUIRE(fleet.watch_until([&] { return !fleet.nodes().is_running(fleet.name()); }));
    CHECK(fleet.ends().empty());
  }
  scripted_fleet fleet("trap 'exit 20' TERM; echo up; while :; do sleep 0.05; done\n");
  REQUIRE(fleet.watch_until([&] { return fleet.log().find("up") != std::string::npos; }));
  fleet.nodes().stop(fleet.name());
  REQUIRE(fleet.watch_until([&] { return !fleet.ends().empty(); }));
  CHECK(fleet.ends().front().exit_code == 20);
}

TEST_CASE("restarts: a process that ended by itself just before it was killed is reported") {
  scripted_fleet fleet("exit 18\n");
  REQUIRE(fleet.watch_until([&] { return !fleet.ends().empty(); }));
  const std::size_t before = fleet.ends().size();
  REQUIRE(succeeded(fleet.nodes().restart(fleet.name())));
  // Nobody looks until the kill; an ended process that is not waited for stays in this state.
  const std::string state = "/proc/" + std::to_string(fleet.nodes().at(fleet.name()).process.id()) + "/stat";
  std::string text;
  while (text.find(") Z") == std::string::npos) {
    std::ifstream file(state);
    std::getline(file, text);
  }
  fleet.nodes().kill(fleet.name());
  CHECK(fleet.ends().size() == before + 1);
}

TEST_CASE("restarts: the next process runs beside the one that still ends, and both ends are looked at") {
  scripted_fleet fleet("trap 'sleep 0.3; exit 19' TERM; echo up $$; while :; do sleep 0.05; done\n");
  REQUIRE(fleet.watch_until([&] { return fleet.log().find("up") != std::string::npos; }));
  const pid_t old = fleet.nodes().at(fleet.name()).process.id();
  fleet.nodes().stop(fleet.name());
  REQUIRE(succeeded(fleet.nodes().start_beside(fleet.name(), kPatience)));
  CHECK(fleet.nodes().has_former(fleet.name()));
  CHECK(fleet.nodes().at(fleet.name()).process.id() != old);
  REQUIRE(fleet.watch_until([&] { return !fleet.ends().empty(); }));
  CHECK(fleet.ends().front().exit_code == 19);
  CHECK_FALSE(fleet.nodes().has_former(fleet.name()));
  CHECK(fleet.nodes().is_running(fleet.name()));
}

TEST_CASE("restarts: a process begins with the limits of its role, and is told them") {
  role_limits limits;
  limits.enforced = {.address_space_mib = 300, .data_mib = 200, .descriptors = 77};
  limits.memory_mb = 220;
  limits.disk_mb = 9;
  scripted_fleet fleet(
      "cat /proc/self/limits; cat \"$MADDERDECK_BOOT\"; echo up; trap 'exit 0' TERM; while :; do sleep 0.05; done\n",
      limits);
  REQUIRE(fleet.watch_until([&] { return fleet.log().find("up") != std::string::npos; }));
  const std::string log = fleet.log();
  CHECK(log.find("memory=220 descriptors=77 disk=9\n") != std::string::npos);
  std::istringstream lines(log);
  std::map<std::string, std::string> soft;
  for (std::string line; std::getline(lines, line);) {
    for (const std::string limit : {"Max address space", "Max data size", "Max open files"}) {
      if (line.starts_with(limit)) {
        std::istringstream(line.substr(limit.size())) >> soft[limit];
      }
    }
  }
  CHECK(soft["Max address space"] == std::to_string(300 * 1024 * 1024));
  CHECK(soft["Max data size"] == std::to_string(200 * 1024 * 1024));
  CHECK(soft["Max open files"] == "77");
  CHECK(fleet.watch_until([&] { return fleet.nodes().at(fleet.name()).peak_kib > 0; }));
}
