#include "config/settings.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace madderdeck;
using namespace madderdeck::config;

namespace {
/// A settings file that is removed at the end of the test.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() / "madderdeck-settings-test.toml") {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

const std::string kGood =
    "[node]\nid = \"n1\"\nzone = \"z1\"\npeer_address = \"127.0.0.1:7000\"\napi_address = \"127.0.0.1:8000\"\n"
    "data_folder = \"data\"\n[platform]\nendpoint = \"127.0.0.1:9000\"\n";

std::string problem_of(const std::string& text, const std::vector<SettingOverride>& overrides = {}) {
  const TemporaryFile file(text);
  const auto result = load_settings(file.path(), overrides);
  REQUIRE_FALSE(succeeded(result));
  REQUIRE(error_of(result).kind == ErrorKind::invalid_argument);
  return error_of(result).detail;
}
}  // namespace

TEST_CASE("valid settings are loaded and flags override the file") {
  const TemporaryFile file(kGood);
  const auto result = load_settings(file.path(), {{"node.zone", "z2"}, {"limits.max_body_bytes", "2048"}});
  REQUIRE(succeeded(result));
  CHECK(value_of(result).id == "n1");
  CHECK(value_of(result).zone == "z2");
  CHECK(value_of(result).max_body_bytes == 2048);
}

TEST_CASE("errors in settings name the file, line, key, found value and allowed values") {
  CHECK(problem_of(kGood + "[limits]\nmax_connections = 0\n")
            .find(".toml:10: limits.max_connections: found 0, allowed is") != std::string::npos);
  CHECK(problem_of(kGood + "[limits]\nmax_connections = \"many\"\n").find("found a value of type string") !=
        std::string::npos);
  CHECK(problem_of(kGood + "[limits]\ncolour = 1\n").find("limits.colour: found an unknown key") != std::string::npos);
  CHECK(problem_of("[node\n").find(".toml:1:") != std::string::npos);
  CHECK(problem_of(kGood, {{"node.peer_address", "localhost:1"}}).find("node.peer_address") != std::string::npos);
  CHECK(problem_of(kGood, {{"node.roles", "gateway,king"}}).find("node.roles: found king") != std::string::npos);
  CHECK(problem_of(kGood, {{"node.zones", "z7,z8"}}).find("node.zone: found z1") != std::string::npos);
  CHECK(problem_of(kGood, {{"node.data_folder", ""}}).find("node.data_folder") != std::string::npos);
  CHECK(problem_of(kGood, {{"node.api_address", "127.0.0.1:7000"}}).find("the same as node.peer_address") !=
        std::string::npos);
  CHECK(problem_of(kGood, {{"drain.grace_ms", "soon"}}).find("command line: drain.grace_ms: found soon") !=
        std::string::npos);
}

// Guards against a node that doesn't start because its limit is written as a number with a fraction.
TEST_CASE("limits of the machine may have a fraction, and none of them is unknown") {
  const TemporaryFile file(kGood + "[limits]\nmemory_mb = 260.0\nmax_descriptors = 4100\ndisk_mb = 0\n");
  const auto result = load_settings(file.path(), {});
  REQUIRE(succeeded(result));
  CHECK(value_of(result).memory_mb == 260);
  CHECK(value_of(result).max_descriptors == 4100);
  CHECK(value_of(result).disk_mb == 0);
  const TemporaryFile without(kGood);
  const auto unknown = load_settings(without.path(), {{"limits.memory_mb", "219.9"}});
  REQUIRE(succeeded(unknown));
  CHECK(value_of(unknown).memory_mb == 219);
  CHECK(value_of(unknown).max_descriptors == 0);
}

TEST_CASE("limits of the machine that are no amount are refused") {
  for (const std::string value : {"-1", "-0.5", "nan", "inf", "1e30", "\"much\"", "true"}) {
    INFO(value);
    CHECK(problem_of(kGood + "[limits]\nmemory_mb = " + value + "\n").find("limits.memory_mb: found") !=
          std::string::npos);
  }
  CHECK(
      problem_of(kGood + "[limits]\nmax_connections = 10.0\n").find("limits.max_connections: found a value of type") !=
      std::string::npos);
  for (const std::string value : {"-1", "-0.5", "nan", "1e30", "much", "", "260mb"}) {
    INFO(value);
    CHECK(problem_of(kGood, {{"limits.memory_mb", value}}).find("limits.memory_mb: found " + value) !=
          std::string::npos);
  }
}
