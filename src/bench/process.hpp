#pragma once
/// @file Child processes of the bench: start, signal, end.

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "bench/process_limits.hpp"
#include "common/error.hpp"

namespace madderdeck::bench {

/// What the kernel says a process has used.
struct ProcessUsage {
  double cpu_seconds = 0;
  double resident_mb = 0;
};

/// One child. It is killed when this object goes.
class Process {
 public:
  Process() = default;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;
  ~Process();

  /// Starts @p program under @p limits with its output in @p log_file; @p variables are added to the environment.
  /// @return once the program has taken the place of this one's copy; ErrorKind::unavailable when it cannot be run or
  /// limited.
  Status start(const std::string& program, const std::vector<std::string>& arguments, const std::string& log_file,
               const std::map<std::string, std::string>& variables = {}, const ProcessLimits& limits = {});
  bool running() const { return pid_ > 0; }
  /// @return 0 while there is no process.
  pid_t id() const { return pid_; }
  void signal(int number) const;
  /// Sends SIGKILL and waits for the end.
  void kill();
  /// @return whether the process has ended by itself; then it is no longer running().
  bool poll_ended();
  /// @return exit code of the ended process, minus the number of the signal when one ended it.
  int exit_code() const { return exit_code_; }
  ProcessUsage usage() const;
  /// @return the most memory that the process has held resident, in KiB; 0 where it cannot be read.
  std::uint64_t peak_resident_kib() const;

 private:
  pid_t pid_ = 0;
  int exit_code_ = 0;
};

}  // namespace madderdeck::bench
