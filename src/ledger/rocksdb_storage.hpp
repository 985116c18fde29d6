#pragma once
/// @file Storage on a disk using RocksDB.

#include <functional>
#include <memory>
#include <string>

#include "common/environment.hpp"
#include "ledger/disk_observer.hpp"
#include "ledger/storage.hpp"

namespace rocksdb {
class Env;
class WriteBatch;
}  // namespace rocksdb

namespace madderdeck::ledger {

/// Executors by which the storage runs tasks on a background thread and on its owner's thread.
struct Executors {
  std::function<void(std::function<void()>)> background;  ///< Runs a blocking task on a background thread.
  std::function<void(std::function<void()>)> owner;       ///< Runs a task on the owner's thread.
  /// Runs a task on the owner's thread after a delay; needed only to reopen a disk that refused a write.
  std::function<void(Duration, std::function<void()>)> after;
  disk_observer* observer = nullptr;  ///< Has to outlive the storage; may be null.
};

/// Callbacks, run on the owner's thread; each may be empty.
struct DiskFailureHooks {
  std::function<void(const Error&)> refused;  ///< A write or sync failed: from now on nothing is read or confirmed.
  std::function<void(const Error&)> reopen_failed;  ///< An attempt to reopen the database failed.
  std::function<void()> regained;  ///< The database is open again; all that it holds is synced to the disk.
};

/// After a refused write the database is reopened after this delay, which doubles with each further attempt.
inline constexpr Duration kReopenDelay = 250ms;
inline constexpr Duration kMaxReopenDelay = 2s;

/// Size of the table in memory; a full table is written to the disk.
inline constexpr std::size_t kWriteBufferBytes = 16 << 20;
inline constexpr std::size_t kBlockCacheBytes = 8 << 20;
/// Threads that the database creates: a flush, a compaction, and its timer.
inline constexpr std::size_t kDatabaseThreads = 3;
/// Memory in bytes that the database may take: its cache, the buffer that is written to and the one that is flushed.
inline constexpr std::size_t kOpeningBytes = kBlockCacheBytes + 2 * kWriteBufferBytes;

/// The database's folder within the disk folder.
inline constexpr char kRecordsFolder[] = "records";

/// Writes go to the log at once and are synced in groups by a background task. After a refused write or sync the
/// database is closed and reopened until that succeeds. A write that was not confirmed may or may not be there
/// afterwards, and its flush has failed. Until then reads and flushes fail and writes are dropped; the owner has to
/// discard what it derived from dropped writes.
class RocksDbStorage : public Storage {
 public:
  ~RocksDbStorage() override;

  /// Opens or creates the database in @p folder.
  /// @param env the file system; null for that of the system.
  /// @return ErrorKind::storage_unwritable or ErrorKind::corrupted on failure.
  static Result<std::unique_ptr<RocksDbStorage>> open(const std::string& folder, Executors executors,
                                                      rocksdb::Env* env = nullptr,
                                                      std::size_t write_buffer_bytes = kWriteBufferBytes);
  /// @return a storage without a database, in the state after a refused write, until take_over() is called.
  static std::unique_ptr<RocksDbStorage> make_unopened();
  /// Takes the database of @p opened, which is destroyed. This storage must not have one.
  void take_over(std::unique_ptr<RocksDbStorage> opened);
  void set_hooks(DiskFailureHooks hooks);

  Result<std::optional<wire::Bytes>> get(const std::string& key) const override;
  Status look_at(const std::string& key, const std::function<void(std::string_view value)>& look) const override;
  void put(const std::string& key, const wire::Bytes& value) override;
  void put_atomically(const std::vector<Entry>& entries) override;
  Status scan(const std::string& prefix, const std::string& after,
              const std::function<bool(std::string_view, std::string_view)>& visit) const override;
  /// A caller whose writes are covered by a sync in progress shares that sync.
  void flush(std::function<void(Status)> done) override;
  bool has_unflushed() const override;

  /// Writes and syncs before it returns; meant for startup, where nothing else waits.
  /// @return ErrorKind::storage_unwritable on failure.
  Status put_synced(const std::string& key, const std::string& value);
  /// @return whether there is a key that starts with @p prefix, other than @p besides; ErrorKind::corrupted or
  ///         ErrorKind::unavailable if the database cannot be read.
  Result<bool> holds(const std::string& prefix, const std::string& besides = "") const;

 private:
  struct Implementation;
  explicit RocksDbStorage(std::shared_ptr<Implementation> implementation);
  void write(rocksdb::WriteBatch& batch);
  /// Opens the database described by @p implementation; may run on the background thread.
  static Status open_database(Implementation& implementation);
  static void start_flush(const std::shared_ptr<Implementation>& implementation);
  static void finish_flush(const std::shared_ptr<Implementation>& implementation, const Status& synced);
  static void handle_refused_write(const std::shared_ptr<Implementation>& implementation, const Error& error);
  static void fail_waiting(Implementation& implementation);
  static void report_waiting(const Implementation& implementation);
  static void schedule_reopen(const std::shared_ptr<Implementation>& implementation);
  static void reopen(const std::shared_ptr<Implementation>& implementation);
  static void finish_reopen(const std::shared_ptr<Implementation>& implementation, const Status& opened);

  std::shared_ptr<Implementation> implementation_;
};

}  // namespace madderdeck::ledger
