/// Nodes that ended again and again while their disk was full: each start failed with "storage_unwritable". The node
/// stays up instead, takes part in nothing that needs its disk, and goes on once the disk takes writes.
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "bench/process.hpp"
#include "bench/refusing_disk/refusal.hpp"
#include "support/temporary_disk.hpp"

using namespace madderdeck;
using namespace std::chrono_literals;
using bench::disk_refusal;
using bench::set_refusal;

namespace {

constexpr auto kStuck = 30s;

std::string binaries() { return std::filesystem::read_symlink("/proc/self/exe").parent_path().string(); }

/// A node with a disk that may refuse writes.
class node_beside_disk {
 public:
  explicit node_beside_disk(std::string address) : address_(std::move(address)) {
    std::ofstream(path("settings.toml")) << "[node]\nid = \"n\"\nzone = \"z\"\nroles = [\"ledger\", \"controller\"]\n"
                                         << "peer_address = \"" << address_ << ":7000\"\napi_address = \"" << address_
                                         << ":8000\"\ndata_folder = \"" << path("data") << "\"\n\n[platform]\n"
                                         << "endpoint = \"" << address_ << ":9000\"\n";
    refuse(disk_refusal::nothing);
  }
  void refuse(disk_refusal refusal) const { set_refusal(path("control"), refusal); }
  void start(const std::string& log) {
    log_ = log;
    REQUIRE(succeeded(process_.start(binaries() + "/madderdeckd", {"--settings=" + path("settings.toml")}, path(log),
                                     bench::refusal_variables(binaries(), path("data"), path("control")))));
  }
  void stop() { process_.kill(); }
  /// @return whether the node wrote @p event before it ended.
  bool tells(const std::string& event) {
    const auto began = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - began < kStuck) {
      if (log().find("\"" + event + "\"") != std::string::npos) {
        return true;
      }
      if (process_.poll_ended()) {
        return false;
      }
      std::this_thread::sleep_for(10ms);
    }
    return false;
  }
  bool runs() { return !process_.poll_ended(); }
  std::string log() const {
    std::stringstream text;
    text << std::ifstream(path(log_)).rdbuf();
    return text.str();
  }
  std::string identity() const {
    std::string text;
    std::ifstream(path("data/disk_id")) >> text;
    return text;
  }

 private:
  std::string path(const std::string& name) const { return (place_.path() / name).string(); }

  const tests::TemporaryDisk place_;
  const std::string address_;
  std::string log_;
  bench::Process process_;
};

}  // namespace

TEST_CASE("a node that starts while its disk refuses writes stays up and uses the disk later") {
  const disk_refusal refusal = GENERATE(disk_refusal::full, disk_refusal::broken);
  node_beside_disk node("127.98.6.1");
  std::string identity;
  SECTION("a new disk") {}
  SECTION("a disk that was used before") {
    node.start("log.first");
    REQUIRE(node.tells("node_started"));
    node.stop();
    identity = node.identity();
    REQUIRE_FALSE(identity.empty());
  }
  node.refuse(refusal);
  node.start("log");
  CHECK(node.tells("node_started"));
  CHECK(node.tells("disk_not_opened"));
  INFO(node.log());
  CHECK(node.runs());
  node.refuse(disk_refusal::nothing);
  CHECK(node.tells("disk_writes_regained"));
  CHECK(node.runs());
  CHECK_FALSE(node.identity().empty());
  CHECK((identity.empty() || identity == node.identity()));
}
