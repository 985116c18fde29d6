#include "node/process_usage.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <vector>

#include "node/process_gauges.hpp"
#include "support/kept_lines.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::node;

namespace {

namespace fs = std::filesystem;

/// A folder that stands in for /proc/self; removed at the end of the test.
class proc_folder {
 public:
  proc_folder() : path_(fs::temp_directory_path() / ("madderdeck-proc-test-" + std::to_string(::getpid()))) {
    fs::remove_all(path_);
    fs::create_directory(path_);
  }
  ~proc_folder() { fs::remove_all(path_); }
  void write(const std::string& name, const std::string& text) const {
    fs::create_directories((path_ / name).parent_path());
    std::ofstream(path_ / name) << text;
  }
  std::string path() const { return path_.string(); }

 private:
  fs::path path_;
};

}  // namespace

TEST_CASE("the use of this process is read from the system") {
  const process_usage usage = read_process_usage();
  REQUIRE(usage.resident_bytes);
  REQUIRE(usage.address_space_bytes);
  REQUIRE(usage.threads);
  CHECK(*usage.resident_bytes > 0);
  CHECK(*usage.resident_bytes <= *usage.address_space_bytes);
  CHECK(*usage.threads >= 1);
  const auto before = count_descriptors();
  REQUIRE(before);
  const int more = ::dup(0);
  REQUIRE(more >= 0);
  CHECK(count_descriptors() == *before + 1);
  ::close(more);
  CHECK(count_descriptors() == before);
  const std::vector<char> held(64 << 20, 'x');
  CHECK(allocator_bytes() >= static_cast<std::int64_t>(held.size()));
}

// Guards against a process that takes the figures of another system, or none, for its own use.
TEST_CASE("files that are missing, empty or say something else leave the use unknown") {
  const proc_folder proc;
  CHECK(read_process_usage(proc.path() + "/missing") == process_usage());
  CHECK(count_descriptors(proc.path() + "/missing") == std::nullopt);
  CHECK(folder_bytes(proc.path() + "/missing") == std::nullopt);
  const std::vector<std::string> texts = {"", "VmRSS:\n", "VmRSS: none kB\nVmSize: -4 kB\nThreads: 0\n",
                                          std::string(3, '\0')};
  for (const std::string& text : texts) {
    proc.write("status", text);
    proc.write("statm", "0 0 0 0 0 0 0\n");
    CHECK(read_process_usage(proc.path()) == process_usage());
  }
  proc.write("status", "VmSize: 100 kB\nVmRSS: 101 kB\nThreads: 7\n");
  CHECK(read_process_usage(proc.path()) == process_usage{std::nullopt, std::nullopt, 7});
  proc.write("status", "Name: x\nVmSize:\t  2000 kB\nVmRSS:\t  1000 kB\nThreads:\t7\n");
  CHECK(read_process_usage(proc.path()) == process_usage{1000 * 1024, 2000 * 1024, 7});
  proc.write("status", "Name: x\n");
  proc.write("statm", "20 10 1 1 0 1 0\n");
  const std::int64_t page = ::sysconf(_SC_PAGESIZE);
  CHECK(read_process_usage(proc.path()) == process_usage{10 * page, 20 * page, std::nullopt});
  proc.write("data/a", std::string(10, 'x'));
  proc.write("data/sub/b", std::string(20, 'x'));
  CHECK(folder_bytes(proc.path() + "/data") == 30);
}

TEST_CASE("the gauges show each use beside its limit, and nothing for what is unknown") {
  const proc_folder proc;
  proc.write("data/a", std::string(800'000, 'x'));
  tests::TestEnvironment environment;
  Counters counters;
  tests::kept_lines lines;
  config::Settings settings;
  settings.data_folder = proc.path() + "/data";
  settings.memory_mb = 1'000'000;
  settings.max_descriptors = 12;
  settings.disk_mb = 1;
  SECTION("with the system's files") {
    proc.write("status", "VmSize: 2000 kB\nVmRSS: 1000 kB\nThreads: 7\n");
    proc.write("fd/0", "");
    proc.write("fd/1", "");
    process_gauges gauges(environment, counters, lines, settings, proc.path());
    gauges.start();
    CHECK(counters["process_memory_bytes"] == 1000 * 1024);
    CHECK(counters["process_memory_estimated"] == 0);
    CHECK(counters["process_memory_bytes_limit"] > 0);
    CHECK(counters["process_memory_bytes_limit"] <= 1'000'000'000'000);
    CHECK(counters["process_address_space_bytes"] == 2000 * 1024);
    CHECK(counters["process_threads"] == 7);
    CHECK(counters["process_descriptors"] == 1);
    CHECK(counters["process_descriptors_limit"] == 12);
    CHECK(counters["process_data_folder_bytes"] == 800'000);
    CHECK(counters["process_data_folder_bytes_limit"] == 1'000'000);
    CHECK(lines.count("process_limit_near") == 1);  // the disk's
    proc.write("status", "VmSize: 2000 kB\nVmRSS: 1500 kB\nThreads: 8\n");
    environment.world.run_for(process_gauges::kInterval);
    CHECK(counters["process_threads"] == 8);
  }
  SECTION("without them") {
    process_gauges gauges(environment, counters, lines, settings, proc.path());
    gauges.start();
    CHECK(counters["process_memory_bytes"] > 0);
    CHECK(counters["process_memory_estimated"] == 1);
    for (const std::string gauge : {"process_address_space_bytes", "process_threads", "process_descriptors"}) {
      CHECK_FALSE(counters.values().contains(gauge));
    }
  }
}
