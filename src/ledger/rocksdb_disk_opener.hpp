#pragma once
/// @file Opens a disk folder that refuses writes at first, as soon as it takes them.

#include <cstdint>
#include <functional>
#include <string>

#include "ledger/rocksdb_disk.hpp"

namespace madderdeck::ledger {

/// Told on the owner's thread.
struct disk_opener_hooks {
  std::function<void(const Error&)> refused;   ///< An attempt failed; the next one follows.
  std::function<void(OpenedDisk)> opened;      ///< Once.
  std::function<void(const Error&)> given_up;  ///< The folder is damaged: no later attempt would help.
};

/// @return whether an attempt to open a folder that ended with @p error is worth another one.
bool is_worth_another_attempt(const Error& error);

/// Tries again and again, in the background. Lives as long as its executors run tasks.
class disk_opener {
 public:
  /// @param random a new identity is made of it.
  disk_opener(std::string folder, std::uint64_t random, Executors executors, disk_opener_hooks hooks);

  /// Begins, after the first pause.
  void start();

 private:
  void schedule();
  void attempt();
  void finish(Result<OpenedDisk> opened);

  const std::string folder_;
  const std::uint64_t random_;
  const Executors executors_;
  const disk_opener_hooks hooks_;
  Duration pause_;
};

}  // namespace madderdeck::ledger
