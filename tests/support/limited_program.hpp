#pragma once
/// @file Starts a node program under limits of the kernel.

#include <sys/resource.h>
#include <sys/types.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "bench/process.hpp"
#include "support/temporary_disk.hpp"

namespace madderdeck::tests {

/// A limit of the kernel that a process inherits; 0: no limit.
struct process_limits {
  std::uint64_t address_kib = 0;
  std::uint64_t data_kib = 0;
};

/// A node program with a folder of its own, which outlives its processes.
class limited_program {
 public:
  static constexpr std::chrono::seconds kStuck{30};

  /// @param program madderdeckd or madderdeckd-platform
  /// @param roles as in the settings, with quotes
  limited_program(std::string program, std::string address, std::string roles) : program_(std::move(program)) {
    std::ofstream(path("settings.toml")) << "[node]\nid = \"n\"\nzone = \"z\"\nroles = [" << roles
                                         << "]\npeer_address = \"" << address << ":7000\"\napi_address = \"" << address
                                         << ":8000\"\ndata_folder = \"" << path("data")
                                         << "\"\n\n[platform]\nendpoint = \"" << address << ":9000\"\n";
  }

  Status start(const process_limits& limits) { return start_with(limits, "--settings=" + path("settings.toml")); }
  /// @return whether the program can be loaded under @p limits and gets as far as its command line.
  bool loads(const process_limits& limits) {
    return succeeded(start_with(limits, "--version")) && ends() && process_.exit_code() == 0;
  }
  /// Lifts the limits of the running process.
  void lift_limits() const {
    for (const auto kind : {RLIMIT_AS, RLIMIT_DATA}) {
      rlimit limit{};
      ::prlimit(process_.id(), kind, nullptr, &limit);
      limit.rlim_cur = limit.rlim_max;
      ::prlimit(process_.id(), kind, &limit, nullptr);
    }
  }
  /// @return whether the process writes @p text within kStuck and before it ends.
  bool writes(const std::string& text) { return writes_any({text}); }
  /// @return the same for one of @p texts.
  bool writes_any(const std::vector<std::string>& texts) {
    const auto began = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - began < kStuck) {
      const bool ended = process_.poll_ended();
      const std::string written = output();
      if (std::any_of(texts.begin(), texts.end(),
                      [&written](const std::string& text) { return written.find(text) != std::string::npos; })) {
        return true;
      }
      if (ended) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return false;
  }
  bool ends() {
    const auto began = std::chrono::steady_clock::now();
    while (process_.running() && std::chrono::steady_clock::now() - began < kStuck) {
      process_.poll_ended();
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return !process_.running();
  }
  std::string output() const {
    std::stringstream text;
    text << std::ifstream(path("log")).rdbuf();
    return text.str();
  }
  /// @return the value of @p field in /proc/PID/status, in KiB where it is a size.
  std::uint64_t status_value(const std::string& field) const {
    std::ifstream status("/proc/" + std::to_string(process_.id()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with(field + ":")) {
        return std::stoull(line.substr(field.size() + 1));
      }
    }
    return 0;
  }
  bench::Process& process() { return process_; }
  std::string path(const std::string& name) const { return (place_.path() / name).string(); }

 private:
  Status start_with(const process_limits& limits, const std::string& argument) {
    std::filesystem::remove(path("log"));
    const std::string binaries = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    std::string script;
    script += limits.address_kib != 0 ? "ulimit -S -v " + std::to_string(limits.address_kib) + "; " : "";
    script += limits.data_kib != 0 ? "ulimit -S -d " + std::to_string(limits.data_kib) + "; " : "";
    script += "ulimit -c 0; exec \"$0\" \"$@\"";
    return process_.start("/bin/sh", {"-c", script, binaries + "/" + program_, argument}, path("log"));
  }

  const std::string program_;
  const TemporaryDisk place_;
  bench::Process process_;
};

}  // namespace madderdeck::tests
