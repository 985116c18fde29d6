#pragma once
/// @file Opens a disk folder; one that hangs or refuses writes at first, as soon as it does not.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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

  /// Begins the first attempt.
  void begin();
  /// Waits for the first attempt, on the owner's thread.
  /// @return how it ended, of which no hook is told; nothing where it goes on after @p patience: the hooks are told.
  std::optional<Result<OpenedDisk>> wait(Duration patience);
  /// Tries again after a pause, for a first attempt that failed.
  void try_again();

 private:
  struct First;
  void schedule();
  void attempt();
  void finish(Result<OpenedDisk> opened);

  const std::string folder_;
  const std::uint64_t random_;
  const Executors executors_;
  const disk_opener_hooks hooks_;
  const std::shared_ptr<First> first_;
  Duration pause_;
};

}  // namespace madderdeck::ledger
