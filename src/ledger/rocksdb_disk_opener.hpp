#pragma once
/// @file Opens a disk folder, and retries while the disk hangs or refuses writes.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "ledger/rocksdb_disk.hpp"

namespace madderdeck::ledger {

/// Callbacks, run on the owner's thread.
struct disk_opener_hooks {
  std::function<void(const Error&)> refused;  ///< An attempt failed; another one follows.
  std::function<void(OpenedDisk)> opened;     ///< The folder was opened; called once.
  /// The folder is damaged; another attempt follows after kDamagedRetryInterval, since an operator may have emptied it
  /// by then.
  std::function<void(const Error&)> damaged;
  /// What the attempt left holds the folder for as long as the process lives; there is no further one.
  std::function<void(const Error&)> given_up;
};

inline constexpr Duration kDamagedRetryInterval = 5s;

/// @return whether the disk that an attempt failed to open with @p error refuses or hangs, which may pass by itself.
bool is_retryable(const Error& error);
/// @return whether it is damaged, which lasts until an operator has emptied the folder.
bool is_damage(const Error& error);

/// Retries in the background until the folder is open. Has to outlive the tasks of its executors.
class disk_opener {
 public:
  /// @param random random number from which a new identity is made
  disk_opener(std::string folder, std::uint64_t random, Executors executors, disk_opener_hooks hooks);

  /// Starts the first attempt.
  void begin();
  /// Blocks the owner's thread until the first attempt ends or @p patience has passed.
  /// @return the result of the first attempt, which is then not reported to the hooks; nothing if the attempt is still
  ///         running: its result is reported to the hooks.
  std::optional<Result<OpenedDisk>> wait(Duration patience);
  /// Schedules a retry after the first attempt failed with @p error.
  void try_again(const Error& error);

 private:
  struct FirstAttempt;
  void schedule_retry();
  void attempt();
  void finish(Result<OpenedDisk> opened);

  const std::string folder_;
  const std::uint64_t random_;
  const Executors executors_;
  const disk_opener_hooks hooks_;
  const std::shared_ptr<FirstAttempt> first_;
  Duration pause_;
};

}  // namespace madderdeck::ledger
