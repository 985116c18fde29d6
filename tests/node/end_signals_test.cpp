/// Guards against signals that terminate a node in the last milliseconds of its planned stop, when it no longer handles
/// them: a second request to end, or a reload signal, turned the planned end with code 0 into one by that signal.
#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "bench/process.hpp"
#include "support/temporary_disk.hpp"

using namespace madderdeck;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kStuck{30'000};
constexpr std::chrono::microseconds kSignalInterval{50};
constexpr unsigned kStopsPerSignal = 3;

std::string log_of(const std::string& path) {
  std::ifstream file(path);
  std::stringstream read;
  read << file.rdbuf();
  return read.str();
}

}  // namespace

TEST_CASE("a planned stop ends with code 0 also if further signals arrive until the end") {
  const std::string binaries = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    for (unsigned stop = 0; stop < kStopsPerSignal; ++stop) {
      const tests::TemporaryDisk place;
      const std::string folder = place.path().string();
      std::ofstream(folder + "/settings.toml")
          << "[node]\nid = \"n\"\nzone = \"z\"\nroles = [\"ledger\", \"controller\"]\n"
          << "peer_address = \"127.71.4.1:7000\"\napi_address = \"127.71.4.1:8000\"\ndata_folder = \"" << folder
          << "/data\"\n[drain]\ngrace_ms = 100\n[platform]\nendpoint = \"127.71.4.1:9000\"\n";
      bench::Process process;
      REQUIRE(succeeded(process.start(binaries + "/madderdeckd-platform", {"--settings=" + folder + "/settings.toml"},
                                      folder + "/log")));
      const auto began = std::chrono::steady_clock::now();
      while (log_of(folder + "/log").find("node_started") == std::string::npos) {
        REQUIRE(std::chrono::steady_clock::now() - began < kStuck);
        std::this_thread::sleep_for(2ms);
      }
      process.signal(SIGTERM);
      while (!process.poll_ended()) {
        REQUIRE(std::chrono::steady_clock::now() - began < kStuck);
        process.signal(number);
        std::this_thread::sleep_for(kSignalInterval);
      }
      INFO("signal " << number << ", " << log_of(folder + "/log"));
      CHECK(process.exit_code() == 0);
    }
  }
}
