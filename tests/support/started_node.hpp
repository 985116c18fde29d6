#pragma once
/// @file A node program as a real process with a folder of its own, for tests of its start and its settings.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "bench/process.hpp"
#include "support/temporary_disk.hpp"

namespace madderdeck::tests {

constexpr std::chrono::milliseconds kStuck{30'000};  ///< What takes longer counts as missing.
constexpr std::uint16_t kPeerPort = 7000;
constexpr std::uint16_t kApiPort = 8000;
constexpr std::uint16_t kProbePort = 8001;
constexpr std::uint16_t kMetricsPort = 8002;

inline std::string binaries() { return std::filesystem::read_symlink("/proc/self/exe").parent_path().string(); }

/// Waits until @p holds returns true.
/// @return whether it did before kStuck had passed.
template <class Condition>
bool await(Condition holds) {
  const auto began = std::chrono::steady_clock::now();
  while (!holds()) {
    if (std::chrono::steady_clock::now() - began > kStuck) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

inline sockaddr_in socket_address(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  REQUIRE(::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) == 1);
  return address;
}

/// Sends a request for @p path.
/// @return the whole response; empty if the connection was refused or broke.
inline std::string response_of(const std::string& ip, std::uint16_t port, const std::string& path) {
  const int caller = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = socket_address(ip, port);
  std::string response;
  if (::connect(caller, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
    REQUIRE(::send(caller, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()));
    char bytes[4096];
    for (ssize_t size = ::recv(caller, bytes, sizeof bytes, 0); size > 0;
         size = ::recv(caller, bytes, sizeof bytes, 0)) {
      response.append(bytes, static_cast<std::size_t>(size));
    }
  }
  ::close(caller);
  return response;
}

inline bool accepts(const std::string& ip, std::uint16_t port) {
  const int caller = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = socket_address(ip, port);
  const bool connected = ::connect(caller, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  ::close(caller);
  return connected;
}

/// A node program with a folder of its own.
class started_node {
 public:
  /// @param roles as a list of TOML strings.
  explicit started_node(std::string ip, std::string roles = R"("gateway", "scheduler", "controller")")
      : ip_(std::move(ip)), roles_(std::move(roles)) {}

  std::string settings_text(const std::string& id = "n", std::uint16_t api_port = kApiPort) const {
    std::ostringstream text;
    text << "[node]\nid = \"" << id << "\"\nzone = \"z\"\nroles = [" << roles_ << "]\npeer_address = \"" << ip_ << ":"
         << kPeerPort << "\"\napi_address = \"" << ip_ << ":" << api_port << "\"\nprobe_address = \"" << ip_ << ":"
         << kProbePort << "\"\nmetrics_address = \"" << ip_ << ":" << kMetricsPort << "\"\ndata_folder = \""
         << path("data") << "\"\n\n[drain]\ngrace_ms = 100\n\n[platform]\nendpoint = \"" << ip_ << ":9000\"\n";
    return text.str();
  }
  void write_settings(const std::string& text) const { std::ofstream(path("settings.toml")) << text; }
  void remove_settings() const { std::filesystem::remove(path("settings.toml")); }
  /// @param flags besides the one for the settings.
  void start(const std::vector<std::string>& flags = {}, const std::string& log = "log") {
    std::vector<std::string> arguments{"--settings=" + path("settings.toml")};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    log_ = log;
    ended_ = false;
    REQUIRE(succeeded(process_.start(binaries() + "/madderdeckd-platform", arguments, path(log_))));
  }
  /// Starts the program with at most @p descriptors open files.
  void start_with_descriptors(int descriptors, const std::string& flag) {
    log_ = "log";
    REQUIRE(
        succeeded(process_.start("/bin/sh",
                                 {"-c", "ulimit -S -n " + std::to_string(descriptors) + "; exec \"$0\" \"$@\"",
                                  binaries() + "/madderdeckd-platform", "--settings=" + path("settings.toml"), flag},
                                 path(log_))));
  }
  /// @return whether the log has @p text before the process ends.
  bool logs(const std::string& text) {
    bool found = false;
    await([&] { return (found = log().find(text) != std::string::npos) || ended(); });
    return found || log().find(text) != std::string::npos;
  }
  std::string log() const {
    std::ifstream file(path(log_));
    std::stringstream read;
    read << file.rdbuf();
    return read.str();
  }
  std::size_t count_in_log(const std::string& text) const {
    const std::string all = log();
    std::size_t count = 0;
    for (std::size_t at = all.find(text); at != std::string::npos; at = all.find(text, at + 1)) {
      ++count;
    }
    return count;
  }
  bool ended() { return ended_ = ended_ || process_.poll_ended(); }
  /// @return the exit code, or nothing if the process runs on.
  std::optional<int> exit_code() {
    return await([this] { return ended(); }) ? std::optional<int>(process_.exit_code()) : std::nullopt;
  }
  bool accepts_callers(std::uint16_t port = kApiPort) {
    return await([&] { return accepts(ip_, port) || ended(); }) && !ended_;
  }
  void signal(int number) const { process_.signal(number); }
  pid_t id() const { return process_.id(); }
  const std::string& ip() const { return ip_; }
  std::string path(const std::string& name) const { return (place_.path() / name).string(); }

 private:
  const TemporaryDisk place_;
  const std::string ip_;
  const std::string roles_;
  std::string log_ = "log";
  bool ended_ = false;
  bench::Process process_;
};

}  // namespace madderdeck::tests
