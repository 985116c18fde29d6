/// Guards against nodes that terminate at each start where their machine's memory is enforced as a limit of addresses:
/// the database's threads for opening tables could not be created beside 64 MiB of malloc arena and 8 MiB of stack for
/// each thread, and the library terminated the process.
#include <catch2/catch.hpp>

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <thread>
#include <utility>

#include "ledger/rocksdb_disk.hpp"
#include "support/limited_program.hpp"
#include "support/temporary_disk.hpp"

using namespace madderdeck;
using tests::limited_program;

namespace {

const char* const kWithDisk = "\"ledger\", \"controller\"";
const char* const kWithoutDisk = "\"gateway\", \"scheduler\", \"controller\"";
constexpr std::uint64_t kMiB = 1024;  ///< In KiB.
/// Memory of the smallest machines with and without a disk, in KiB.
constexpr std::uint64_t kSmallestWithDisk = 250 * kMiB;
constexpr std::uint64_t kSmallestWithoutDisk = 220 * kMiB;
/// Addresses that a process may take at its start, in KiB: what it needs later comes on top.
constexpr std::uint64_t kMostAtStart = 96 * kMiB;
constexpr int kStarts = 3;
/// Addresses beyond those of a start that the database's buffers do not fit into, in KiB.
constexpr std::uint64_t kTooFewForBuffers = 16 * kMiB;
constexpr std::uint64_t kScanned = 8 * kMiB;
constexpr std::uint64_t kScanStep = 512;         ///< In KiB.
constexpr std::uint64_t kLoader = 1 * kMiB;      ///< With less, the dynamic loader fails before the program runs.
constexpr std::chrono::milliseconds kWait{500};  ///< Longer than a few attempts of a start.
constexpr std::chrono::milliseconds kLatestStart{250};  ///< After the cause of a wait has ended.

std::chrono::milliseconds unix_now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

/// @return when the line of @p event was written.
std::chrono::milliseconds time_of_line(const std::string& output, const std::string& event) {
  const std::size_t at = output.find("\"" + event + "\"");
  REQUIRE(at != std::string::npos);
  const std::string label = "\"time_ms\":";
  return std::chrono::milliseconds(std::stoll(output.substr(output.rfind(label, at) + label.size())));
}

/// Fills the disk folder with tables, and with a log that the next start reads.
void write_tables_and_log(const std::string& folder) {
  constexpr std::size_t kSmallBuffer = 64 << 10;  ///< Size in bytes at which the database writes a table.
  constexpr std::size_t kValueBytes = 1000;
  constexpr int kValues = 2000;
  { REQUIRE(succeeded(ledger::open_disk(folder, 1, tests::inline_executors()))); }
  auto opened = ledger::RocksDbStorage::open(folder, tests::inline_executors(), nullptr, kSmallBuffer);
  REQUIRE(succeeded(opened));
  for (int value = 0; value < kValues; ++value) {
    value_of(opened)->put("k" + std::to_string(value * 7919 % kValues), wire::Bytes(kValueBytes, 'v'));
  }
  value_of(opened)->flush([](const Status& flushed) { REQUIRE(succeeded(flushed)); });
}

std::size_t files_ending_in(const std::string& folder, const std::string& ending) {
  const std::filesystem::directory_iterator files(folder);
  return static_cast<std::size_t>(std::count_if(begin(files), end(files), [&ending](const auto& file) {
    return file.path().extension() == ending && file.file_size() > 0;
  }));
}

}  // namespace

TEST_CASE("a node with a disk starts in the address space of the smallest machine") {
  limited_program node("madderdeckd-platform", "127.72.1.1", kWithDisk);
  SECTION("empty disk") {}
  SECTION("disk with tables and a log") {
    write_tables_and_log(node.path("data"));
    REQUIRE(files_ending_in(node.path("data/records"), ".sst") > 0);
    REQUIRE(files_ending_in(node.path("data/records"), ".log") > 0);
  }
  for (int start = 0; start < kStarts; ++start) {
    REQUIRE(succeeded(node.start({.address_kib = kSmallestWithDisk})));
    const bool started = node.writes("\"node_started\"");
    INFO(node.output());
    REQUIRE(started);
    CHECK(node.writes("\"disk_opened\""));
    CHECK(node.status_value("VmPeak") < kMostAtStart);
    node.process().kill();
  }
}

TEST_CASE("a node without a disk starts in the address space of the smallest machine") {
  limited_program node("madderdeckd-platform", "127.72.1.2", kWithoutDisk);
  for (int start = 0; start < kStarts; ++start) {
    REQUIRE(succeeded(node.start({.address_kib = kSmallestWithoutDisk})));
    const bool started = node.writes("\"node_started\"");
    INFO(node.output());
    REQUIRE(started);
    CHECK(node.status_value("VmPeak") < kMostAtStart);
    node.process().kill();
  }
}

// Guards against starts that end since memory or a thread is refused to them for the moment.
TEST_CASE("a node that gets no memory or threads at its start waits for them and then starts") {
  limited_program node("madderdeckd-platform", "127.72.1.4", kWithDisk);
  REQUIRE(succeeded(node.start({})));
  REQUIRE(node.writes("\"node_started\""));
  const std::uint64_t needed = node.status_value("VmSize");
  node.process().kill();

  REQUIRE(succeeded(node.start({.address_kib = needed + kTooFewForBuffers})));
  REQUIRE(node.writes("\"start_waiting\""));
  std::this_thread::sleep_for(kWait);
  CHECK_FALSE(node.process().poll_ended());
  CHECK(node.output().find("node_started") == std::string::npos);
  SECTION("started") {
    const auto lifted = unix_now();
    node.lift_limits();
    const bool started = node.writes("\"node_started\"");
    INFO(node.output());
    REQUIRE(started);
    CHECK(node.writes("\"disk_opened\""));
    CHECK(time_of_line(node.output(), "start_resumed") - lifted <= kLatestStart);
  }
  SECTION("told to stop") {
    node.process().signal(SIGTERM);
    CHECK(node.ends());
    CHECK(node.process().exit_code() == 0);
  }
}

// Guards against ends by SIGABRT wherever the limit happens to lie.
TEST_CASE("a start under too low a limit of addresses or data waits or ends with the code of an error") {
  const auto [address, roles] = GENERATE(std::pair<const char*, const char*>{"127.72.1.5", kWithDisk},
                                         std::pair<const char*, const char*>{"127.72.1.6", kWithoutDisk});
  limited_program node("madderdeckd-platform", address, roles);
  REQUIRE(succeeded(node.start({})));
  REQUIRE(node.writes("\"node_started\""));
  const std::uint64_t most_addresses = node.status_value("VmSize") + kScanned / 4;
  const std::uint64_t most_data = node.status_value("VmData") + kScanned / 4;
  node.process().kill();

  unsigned waited = 0;
  for (std::uint64_t less = 0; less < kScanned; less += kScanStep) {
    for (const bool data : {false, true}) {
      const std::uint64_t most = data ? most_data : most_addresses;
      if (less >= most) {
        continue;
      }
      const tests::process_limits limits =
          data ? tests::process_limits{.data_kib = most - less} : tests::process_limits{.address_kib = most - less};
      if (!node.loads(limits)) {
        continue;  // the loader, or a library while it is loaded, fails before the program's first line
      }
      REQUIRE(succeeded(node.start(limits)));
      const bool goes_on = node.writes_any({"\"node_started\"", "\"start_waiting\""});
      waited += node.output().find("\"start_waiting\"") != std::string::npos ? 1 : 0;
      INFO((data ? "data KiB " : "address KiB ") << most - less << ", exit code " << node.process().exit_code() << "\n"
                                                 << node.output());
      if (!goes_on) {
        REQUIRE_FALSE(node.process().running());
        CHECK(node.process().exit_code() > 0);
      }
      node.process().kill();
    }
  }
  CHECK(waited > 0);
}
