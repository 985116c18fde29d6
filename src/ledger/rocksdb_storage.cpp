#include "ledger/rocksdb_storage.hpp"

#include <rocksdb/cache.h>
#include <rocksdb/db.h>
#include <rocksdb/filter_policy.h>
#include <rocksdb/table.h>
#include <rocksdb/write_batch.h>

#include <algorithm>
#include <atomic>
#include <cstdarg>
#include <cstdio>
#include <exception>
#include <vector>

#include "common/log.hpp"
#include "process/thread.hpp"

namespace madderdeck::ledger {
namespace {
constexpr int kBloomBitsPerKey = 10;
constexpr int kBackgroundJobs = 2;  ///< One flush and one compaction.
constexpr std::size_t kMaxManifestBytes =
    1;  ///< Manifest size in bytes after which the next change starts a new manifest.

rocksdb::Slice slice_of(const wire::Bytes& bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

/// Receives the log messages of the database. By default RocksDB writes them to a file on the disk that they are about,
/// and this version of RocksDB terminates the process when the second write to that file fails.
class MessageLog : public rocksdb::Logger {
 public:
  MessageLog() : rocksdb::Logger(rocksdb::InfoLogLevel::WARN_LEVEL) {}
  using rocksdb::Logger::Logv;
  void Logv(const char* format, std::va_list arguments) override {
    char text[kMaxMessageBytes];
    std::vsnprintf(text, sizeof text, format, arguments);
    log_event(LogLevel::warning, "database_message", {{"text", text}});
  }

 private:
  static constexpr std::size_t kMaxMessageBytes = 512;
};

Error write_error(const rocksdb::Status& status) { return Error{ErrorKind::storage_unwritable, status.ToString()}; }

/// @return ErrorKind::ambiguous if @p open throws: what it has begun is not released and may still use the folder, so
///         that another attempt in this process cannot succeed.
Result<rocksdb::Status> open_without_exceptions(const std::function<rocksdb::Status()>& open) {
  try {
    return open();
  } catch (const std::exception& thrown) {
    return Error{ErrorKind::ambiguous, std::string("opening the database was broken off: ") + thrown.what()};
  }
}

Error read_error(const rocksdb::Status& status) {
  return Error{status.IsCorruption() ? ErrorKind::corrupted : ErrorKind::unavailable, status.ToString()};
}
}  // namespace

struct RocksDbStorage::Implementation {
  std::unique_ptr<rocksdb::DB> database;
  Executors executors;
  using Waiting = std::vector<std::function<void(Status)>>;
  Waiting waiting;
  std::shared_ptr<Waiting> under_way;  ///< Callers that wait for the sync in progress; null: no sync is in progress.
  std::uint64_t puts = 0;              ///< Number of writes since the database was opened.
  std::uint64_t syncing_puts = 0;      ///< Number of writes covered by the sync in progress, or by the latest one.
  std::uint64_t synced_puts = 0;
  std::string folder;
  rocksdb::Env* env = nullptr;
  std::size_t write_buffer_bytes = kWriteBufferBytes;
  DiskFailureHooks hooks;
  /// A write or sync failed: the owner's thread does not use the database, which the background task reopens.
  bool failed = false;
  /// The same for the background task: RocksDB may terminate the process if a log is synced after a write to it has
  /// failed.
  std::atomic<bool> log_refused = false;
  Duration reopen_after{};
};

Status RocksDbStorage::open_database(Implementation& implementation) {
  rocksdb::Options options;
  options.env = implementation.env;
  options.create_if_missing = true;
  // Opens with what was synced, whatever a power loss left of later writes.
  options.wal_recovery_mode = rocksdb::WALRecoveryMode::kPointInTimeRecovery;
  // Each change of tables creates a new manifest, which is referenced only once it is synced. A manifest that is
  // appended to and truncated by a power loss before its sync could not be opened.
  options.max_manifest_file_size = kMaxManifestBytes;
  options.write_buffer_size = implementation.write_buffer_bytes;
  options.max_background_jobs = kBackgroundJobs;
  // Tables are opened on this thread: the library ends the process when it cannot create a thread for them.
  options.max_file_opening_threads = 1;
  options.stats_dump_period_sec = 0;
  options.stats_persist_period_sec = 0;
  options.compression = rocksdb::kNoCompression;
  options.info_log = std::make_shared<MessageLog>();
  rocksdb::BlockBasedTableOptions table_options;
  table_options.block_cache = rocksdb::NewLRUCache(kBlockCacheBytes);
  table_options.filter_policy.reset(rocksdb::NewBloomFilterPolicy(kBloomBitsPerKey));
  options.table_factory.reset(rocksdb::NewBlockBasedTableFactory(table_options));
  rocksdb::DB* database = nullptr;
  const observed_operation observed(implementation.executors.observer, disk_operation::open);
  // The database ends the process when a thread is refused to it later.
  if (const Status threads = process::check_threads(kDatabaseThreads); !succeeded(threads)) {
    return threads;
  }
  const std::size_t needed_bytes = kBlockCacheBytes + 2 * implementation.write_buffer_bytes;
  if (const Status memory = process::check_memory(needed_bytes); !succeeded(memory)) {
    return memory;
  }
  const Result<rocksdb::Status> opened = open_without_exceptions(
      [&] { return rocksdb::DB::Open(options, implementation.folder + "/" + kRecordsFolder, &database); });
  if (!succeeded(opened)) {
    return error_of(opened);
  }
  const rocksdb::Status& status = value_of(opened);
  if (!status.ok()) {
    return Error{status.IsCorruption() ? ErrorKind::corrupted : ErrorKind::storage_unwritable, status.ToString()};
  }
  implementation.database.reset(database);
  return Ok{};
}

RocksDbStorage::RocksDbStorage(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}
RocksDbStorage::~RocksDbStorage() = default;

Result<std::unique_ptr<RocksDbStorage>> RocksDbStorage::open(const std::string& folder, Executors executors,
                                                             rocksdb::Env* env, std::size_t write_buffer_bytes) {
  auto implementation = std::make_shared<Implementation>();
  implementation->folder = folder;
  implementation->env = env != nullptr ? env : rocksdb::Env::Default();
  implementation->write_buffer_bytes = write_buffer_bytes;
  implementation->executors = std::move(executors);
  const Status opened = open_database(*implementation);
  if (!succeeded(opened)) {
    return error_of(opened);
  }
  return std::unique_ptr<RocksDbStorage>(new RocksDbStorage(std::move(implementation)));
}

std::unique_ptr<RocksDbStorage> RocksDbStorage::make_unopened() {
  auto implementation = std::make_shared<Implementation>();
  implementation->failed = true;
  return std::unique_ptr<RocksDbStorage>(new RocksDbStorage(std::move(implementation)));
}

void RocksDbStorage::take_over(std::unique_ptr<RocksDbStorage> opened) {
  DiskFailureHooks hooks = std::move(implementation_->hooks);
  implementation_ = std::move(opened->implementation_);
  implementation_->hooks = std::move(hooks);
}

void RocksDbStorage::set_hooks(DiskFailureHooks hooks) { implementation_->hooks = std::move(hooks); }

Result<std::optional<wire::Bytes>> RocksDbStorage::get(const std::string& key) const {
  std::optional<wire::Bytes> value;
  const Status found =
      look_at(key, [&value](std::string_view bytes) { value = wire::Bytes(bytes.begin(), bytes.end()); });
  if (!succeeded(found)) {
    return error_of(found);
  }
  return value;
}

Status RocksDbStorage::look_at(const std::string& key, const std::function<void(std::string_view)>& look) const {
  if (implementation_->failed) {
    return Error{ErrorKind::unavailable, "the disk refused a write"};
  }
  rocksdb::DB& database = *implementation_->database;
  rocksdb::PinnableSlice value;
  const rocksdb::Status status = [&] {
    const observed_operation observed(implementation_->executors.observer, disk_operation::read);
    return database.Get(rocksdb::ReadOptions(), database.DefaultColumnFamily(), key, &value);
  }();
  if (status.IsNotFound()) {
    return Ok{};
  }
  if (!status.ok()) {
    return read_error(status);
  }
  look(std::string_view(value.data(), value.size()));
  return Ok{};
}

void RocksDbStorage::put(const std::string& key, const wire::Bytes& value) {
  rocksdb::WriteBatch batch;
  batch.Put(key, slice_of(value));
  write(batch);
}

void RocksDbStorage::put_atomically(const std::vector<Entry>& entries) {
  rocksdb::WriteBatch batch;
  for (const Entry& entry : entries) {
    batch.Put(entry.key, slice_of(entry.value));
  }
  write(batch);
}

void RocksDbStorage::write(rocksdb::WriteBatch& batch) {
  if (implementation_->failed) {
    return;  // The flush that follows fails.
  }
  ++implementation_->puts;
  const rocksdb::Status status = [&] {
    const observed_operation observed(implementation_->executors.observer, disk_operation::write);
    return implementation_->database->Write(rocksdb::WriteOptions(), &batch);
  }();
  if (!status.ok()) {
    implementation_->log_refused = true;
    handle_refused_write(implementation_, write_error(status));
  }
}

Status RocksDbStorage::scan(const std::string& prefix, const std::string& after,
                            const std::function<bool(std::string_view, std::string_view)>& visit) const {
  if (implementation_->failed) {
    return Error{ErrorKind::unavailable, "the disk refused a write"};
  }
  const observed_operation observed(implementation_->executors.observer, disk_operation::read);
  const std::unique_ptr<rocksdb::Iterator> iterator(implementation_->database->NewIterator(rocksdb::ReadOptions()));
  iterator->Seek(after > prefix ? after : prefix);
  for (; iterator->Valid() && iterator->key().starts_with(prefix); iterator->Next()) {
    const std::string_view key(iterator->key().data(), iterator->key().size());
    if (key == after) {
      continue;
    }
    if (!visit(key, std::string_view(iterator->value().data(), iterator->value().size()))) {
      return Ok{};
    }
  }
  return iterator->status().ok() ? Status(Ok{}) : read_error(iterator->status());
}

void RocksDbStorage::flush(std::function<void(Status)> done) {
  Implementation& state = *implementation_;
  if (state.under_way && state.syncing_puts == state.puts && !state.failed) {
    state.under_way->push_back(std::move(done));
    report_waiting(state);
    return;
  }
  state.waiting.push_back(std::move(done));
  report_waiting(state);
  if (state.failed) {
    fail_waiting(state);
  } else if (!state.under_way) {
    start_flush(implementation_);
  }
}

bool RocksDbStorage::has_unflushed() const {
  return implementation_->failed || implementation_->synced_puts != implementation_->puts;
}

void RocksDbStorage::start_flush(const std::shared_ptr<Implementation>& implementation) {
  implementation->under_way = std::make_shared<Implementation::Waiting>(std::move(implementation->waiting));
  implementation->waiting.clear();
  implementation->syncing_puts = implementation->puts;
  implementation->executors.background([implementation] {
    const observed_operation observed(implementation->executors.observer, disk_operation::sync);
    const rocksdb::Status status = implementation->log_refused ? rocksdb::Status::IOError("a write was refused")
                                                               : implementation->database->SyncWAL();
    const Status synced = status.ok() ? Status(Ok{}) : write_error(status);
    implementation->executors.owner([implementation, synced] { finish_flush(implementation, synced); });
  });
}

void RocksDbStorage::finish_flush(const std::shared_ptr<Implementation>& implementation, const Status& synced) {
  const auto group = std::move(implementation->under_way);
  implementation->under_way = nullptr;
  report_waiting(*implementation);
  if (!succeeded(synced) && !implementation->failed) {
    handle_refused_write(implementation, error_of(synced));
  }
  if (implementation->failed) {
    implementation->waiting.insert(implementation->waiting.begin(), group->begin(), group->end());
    fail_waiting(*implementation);
    return;
  }
  implementation->synced_puts = implementation->syncing_puts;
  for (const auto& done : *group) {
    done(Ok{});
  }
  // One of the callbacks may have started the next sync.
  if (!implementation->waiting.empty() && !implementation->under_way) {
    start_flush(implementation);
  }
}

void RocksDbStorage::fail_waiting(Implementation& implementation) {
  const Implementation::Waiting group = std::move(implementation.waiting);
  implementation.waiting.clear();
  for (const auto& done : group) {
    done(Error{ErrorKind::storage_unwritable, "write or sync failed"});
  }
}

void RocksDbStorage::report_waiting(const Implementation& implementation) {
  if (implementation.executors.observer != nullptr) {
    const std::size_t under_way = implementation.under_way ? implementation.under_way->size() : 0;
    implementation.executors.observer->callers_waiting(under_way + implementation.waiting.size());
  }
}

void RocksDbStorage::handle_refused_write(const std::shared_ptr<Implementation>& implementation, const Error& error) {
  implementation->failed = true;
  implementation->reopen_after = kReopenDelay;
  schedule_reopen(implementation);
  // Deferred, because the caller of the failed write is still using the state that the owner discards now.
  implementation->executors.owner([implementation, error] {
    if (implementation->hooks.refused) {
      implementation->hooks.refused(error);
    }
  });
}

void RocksDbStorage::schedule_reopen(const std::shared_ptr<Implementation>& implementation) {
  if (!implementation->executors.after) {
    return;
  }
  const Duration delay = implementation->reopen_after;
  implementation->reopen_after = std::min(delay * 2, kMaxReopenDelay);
  implementation->executors.after(delay, [weak = std::weak_ptr<Implementation>(implementation)] {
    if (const auto kept = weak.lock()) {
      reopen(kept);
    }
  });
}

void RocksDbStorage::reopen(const std::shared_ptr<Implementation>& implementation) {
  // Runs after a sync in progress, since background tasks run one at a time.
  implementation->executors.background([implementation] {
    implementation->database.reset();
    const Status opened = open_database(*implementation);
    implementation->executors.owner([implementation, opened] { finish_reopen(implementation, opened); });
  });
}

void RocksDbStorage::finish_reopen(const std::shared_ptr<Implementation>& implementation, const Status& opened) {
  const DiskFailureHooks& hooks = implementation->hooks;
  if (!succeeded(opened)) {
    schedule_reopen(implementation);
    if (hooks.reopen_failed) {
      hooks.reopen_failed(error_of(opened));
    }
    return;
  }
  // When the database was opened, the contents of its log were written to a table and synced.
  implementation->failed = false;
  implementation->log_refused = false;
  implementation->puts = 0;
  implementation->syncing_puts = 0;
  implementation->synced_puts = 0;
  if (hooks.regained) {
    hooks.regained();
  }
}

Status RocksDbStorage::put_synced(const std::string& key, const std::string& value) {
  rocksdb::WriteOptions synced;
  synced.sync = true;
  const rocksdb::Status status = implementation_->database->Put(synced, key, value);
  if (!status.ok()) {
    return Error{ErrorKind::storage_unwritable, status.ToString()};
  }
  return Ok{};
}

Result<bool> RocksDbStorage::holds(const std::string& prefix, const std::string& besides) const {
  const std::unique_ptr<rocksdb::Iterator> iterator(implementation_->database->NewIterator(rocksdb::ReadOptions()));
  iterator->Seek(prefix);
  if (iterator->Valid() && !besides.empty() && iterator->key() == besides) {
    iterator->Next();
  }
  if (!iterator->status().ok()) {
    return read_error(iterator->status());
  }
  return iterator->Valid() && iterator->key().starts_with(prefix);
}

}  // namespace madderdeck::ledger
