/// Guards against nodes that terminate repeatedly while their disk is full, as each start failed with
/// "storage_unwritable". The node has to keep running without the work that needs its disk, and to use the disk once it
/// accepts writes.
#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "bench/process.hpp"
#include "bench/write_refusal.hpp"
#include "support/temporary_disk.hpp"

using namespace madderdeck;
using namespace std::chrono_literals;

namespace {

constexpr auto kStuck = 30s;
constexpr auto kLooked = 1s;  ///< For which a process is watched that must not end.

std::string binaries() { return std::filesystem::read_symlink("/proc/self/exe").parent_path().string(); }

/// A node process whose disk can be made to refuse writes.
class node_with_disk {
 public:
  explicit node_with_disk(std::string address) : address_(std::move(address)) {
    std::ofstream(path("settings.toml")) << "[node]\nid = \"n\"\nzone = \"z\"\nroles = [\"ledger\", \"controller\"]\n"
                                         << "peer_address = \"" << address_ << ":7000\"\napi_address = \"" << address_
                                         << ":8000\"\ndata_folder = \"" << path("data") << "\"\n\n[platform]\n"
                                         << "endpoint = \"" << address_ << ":9000\"\n";
    // A pipe, since the limit that refuses writes does not apply to pipes.
    REQUIRE(::mkfifo(path("log").c_str(), 0600) == 0);
    log_pipe_ = ::open(path("log").c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    REQUIRE(log_pipe_ >= 0);
  }
  ~node_with_disk() { ::close(log_pipe_); }
  void refuse(bool refused) const { REQUIRE(succeeded(bench::refuse_writes(process_.id(), refused))); }
  /// @param refused whether the disk refuses writes from the start of the process.
  void start(bool refused) {
    log_.clear();
    REQUIRE(succeeded(bench::refuse_writes(0, refused)));  // inherited by the new process
    const Status started =
        process_.start(binaries() + "/madderdeckd", {"--settings=" + path("settings.toml")}, path("log"));
    REQUIRE(succeeded(bench::refuse_writes(0, false)));
    REQUIRE(succeeded(started));
  }
  void stop() { process_.kill(); }
  /// @return whether the node logs @p event within kStuck and before it terminates.
  bool logs_event(const std::string& event) {
    const auto began = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - began < kStuck) {
      read_log();
      if (log_.find("\"" + event + "\"") != std::string::npos) {
        return true;
      }
      if (process_.poll_ended()) {
        return false;
      }
      std::this_thread::sleep_for(10ms);
    }
    return false;
  }
  /// Damages the database so that it cannot be opened.
  void damage_disk() const { std::ofstream(path("data/records/CURRENT"), std::ios::trunc) << "\n"; }
  /// Leaves no identity in its file.
  void damage_identity() const { std::ofstream(path("data/disk_id"), std::ios::trunc) << ""; }
  std::filesystem::path folder() const { return path("data"); }
  /// As an operator does who gives the disk up.
  void empty_disk() const {
    for (const auto& entry : std::filesystem::directory_iterator(folder())) {
      std::filesystem::remove_all(entry.path());
    }
  }
  /// Simulates a disk that hangs: a read of its identity blocks until answer_disk() is called.
  void hang_disk() const {
    std::filesystem::remove(path("data/disk_id"));
    REQUIRE(::mkfifo(path("data/disk_id").c_str(), 0600) == 0);
  }
  /// Ends the hang of hang_disk().
  void answer_disk(const std::string& identity) const { std::ofstream(path("data/disk_id")) << identity << "\n"; }
  bool runs() { return !process_.poll_ended(); }
  const std::string& log() const { return log_; }
  std::string identity() const {
    std::string text;
    std::ifstream(path("data/disk_id")) >> text;
    return text;
  }

 private:
  void read_log() {
    char bytes[4096];
    for (ssize_t size = ::read(log_pipe_, bytes, sizeof bytes); size > 0;
         size = ::read(log_pipe_, bytes, sizeof bytes)) {
      log_.append(bytes, static_cast<std::size_t>(size));
    }
  }
  std::string path(const std::string& name) const { return (place_.path() / name).string(); }

  const tests::TemporaryDisk place_;
  const std::string address_;
  std::string log_;  ///< The part of the log that was read so far.
  int log_pipe_ = -1;
  bench::Process process_;
};

}  // namespace

TEST_CASE("a node that starts while its disk refuses writes stays up and uses the disk later") {
  node_with_disk node("127.98.6.1");
  std::string identity;
  SECTION("a new disk") {}
  SECTION("a disk that was used before") {
    node.start(false);
    REQUIRE(node.logs_event("node_started"));
    node.stop();
    identity = node.identity();
    REQUIRE_FALSE(identity.empty());
  }
  node.start(true);
  CHECK(node.logs_event("node_started"));
  CHECK(node.logs_event("disk_not_opened"));
  INFO(node.log());
  CHECK(node.runs());
  node.refuse(false);
  CHECK(node.logs_event("disk_writes_regained"));
  CHECK(node.runs());
  CHECK_FALSE(node.identity().empty());
  CHECK((identity.empty() || identity == node.identity()));
}

// Guards against processes that end at each start because their disk is damaged.
TEST_CASE("a node whose disk is damaged stays up without it and uses it once it has been emptied") {
  node_with_disk node("127.98.6.2");
  node.start(false);
  REQUIRE(node.logs_event("node_started"));
  CHECK(node.logs_event("disk_opened"));
  CHECK(node.log().find("disk_opened") < node.log().find("node_started"));
  node.stop();
  const std::string identity = node.identity();
  SECTION("the database cannot be opened") { node.damage_disk(); }
  SECTION("the disk's identity cannot be read") { node.damage_identity(); }
  node.start(false);
  CHECK(node.logs_event("node_started"));
  INFO(node.log());
  CHECK(node.log().find("disk_damaged") < node.log().find("node_started"));
  CHECK(node.log().find("disk_opened") == std::string::npos);
  std::this_thread::sleep_for(2 * kLooked);
  CHECK(node.runs());
  // Nothing of a damaged disk is changed: an operator may want to look at it.
  CHECK_FALSE(std::filesystem::exists(node.folder() / "records.former"));
  node.empty_disk();
  CHECK(node.logs_event("disk_writes_regained"));
  CHECK(node.logs_event("disk_identity_made"));
  CHECK(node.runs());
  CHECK_FALSE(node.identity().empty());
  CHECK(node.identity() != identity);
}

// Guards against a node that neither listens nor joins as long as its disk hangs at the start.
TEST_CASE("a node that starts while its disk hangs joins and uses the disk later") {
  node_with_disk node("127.98.6.3");
  node.start(false);
  REQUIRE(node.logs_event("node_started"));
  node.stop();
  const std::string identity = node.identity();
  node.hang_disk();
  node.start(false);
  CHECK(node.logs_event("node_started"));
  CHECK(node.logs_event("disk_slow"));
  INFO(node.log());
  CHECK(node.log().find("disk_opened") == std::string::npos);
  CHECK(node.runs());
  node.answer_disk(identity);
  CHECK(node.logs_event("disk_writes_regained"));
  CHECK(node.logs_event("disk_opened"));
  CHECK(node.log().find(identity) != std::string::npos);
  CHECK(node.runs());
}
