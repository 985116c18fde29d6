#include "ledger/rocksdb_storage.hpp"

#include <rocksdb/cache.h>
#include <rocksdb/db.h>
#include <rocksdb/filter_policy.h>
#include <rocksdb/table.h>

#include <vector>

namespace madderdeck::ledger {
namespace {
constexpr std::size_t kWriteBufferBytes = 16 << 20;
constexpr std::size_t kCacheBytes = 8 << 20;
constexpr int kBloomBitsPerKey = 10;

Error read_error(const rocksdb::Status& status) {
  return Error{status.IsCorruption() ? ErrorKind::corrupted : ErrorKind::unavailable, status.ToString()};
}
}  // namespace

struct RocksDbStorage::Implementation {
  std::unique_ptr<rocksdb::DB> database;
  Executors executors;
  using Waiting = std::vector<std::function<void(Status)>>;
  Waiting waiting;
  std::shared_ptr<Waiting> under_way;  ///< They wait for the sync under way; none: there is no sync.
  std::uint64_t puts = 0;              ///< Since the database was opened.
  std::uint64_t syncing_puts = 0;      ///< Covered by the sync under way, or else by the last one.
  std::uint64_t synced_puts = 0;
  bool failed = false;  ///< A write or sync failed: nothing is confirmed any more.
};

RocksDbStorage::RocksDbStorage(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}
RocksDbStorage::~RocksDbStorage() = default;

Result<std::unique_ptr<RocksDbStorage>> RocksDbStorage::open(const std::string& folder, Executors executors) {
  rocksdb::Options options;
  options.create_if_missing = true;
  options.write_buffer_size = kWriteBufferBytes;
  options.max_background_jobs = 2;
  options.compression = rocksdb::kNoCompression;
  options.keep_log_file_num = 2;
  rocksdb::BlockBasedTableOptions table_options;
  table_options.block_cache = rocksdb::NewLRUCache(kCacheBytes);
  table_options.filter_policy.reset(rocksdb::NewBloomFilterPolicy(kBloomBitsPerKey));
  options.table_factory.reset(rocksdb::NewBlockBasedTableFactory(table_options));
  rocksdb::DB* database = nullptr;
  const rocksdb::Status status = rocksdb::DB::Open(options, folder + "/" + kRecordsFolder, &database);
  if (!status.ok()) {
    return Error{status.IsCorruption() ? ErrorKind::corrupted : ErrorKind::storage_unwritable, status.ToString()};
  }
  auto implementation = std::make_shared<Implementation>();
  implementation->database.reset(database);
  implementation->executors = std::move(executors);
  return std::unique_ptr<RocksDbStorage>(new RocksDbStorage(std::move(implementation)));
}

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
  rocksdb::DB& database = *implementation_->database;
  rocksdb::PinnableSlice value;
  const rocksdb::Status status = database.Get(rocksdb::ReadOptions(), database.DefaultColumnFamily(), key, &value);
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
  ++implementation_->puts;
  const rocksdb::Slice slice(reinterpret_cast<const char*>(value.data()), value.size());
  if (!implementation_->database->Put(rocksdb::WriteOptions(), key, slice).ok()) {
    implementation_->failed = true;
  }
}

void RocksDbStorage::scan(const std::string& prefix, const std::string& after,
                          const std::function<bool(std::string_view, std::string_view)>& visit) const {
  const std::unique_ptr<rocksdb::Iterator> iterator(implementation_->database->NewIterator(rocksdb::ReadOptions()));
  iterator->Seek(after > prefix ? after : prefix);
  for (; iterator->Valid() && iterator->key().starts_with(prefix); iterator->Next()) {
    const std::string_view key(iterator->key().data(), iterator->key().size());
    if (key == after) {
      continue;
    }
    if (!visit(key, std::string_view(iterator->value().data(), iterator->value().size()))) {
      return;
    }
  }
}

void RocksDbStorage::flush(std::function<void(Status)> done) {
  Implementation& state = *implementation_;
  if (state.under_way && state.syncing_puts == state.puts) {
    state.under_way->push_back(std::move(done));
    return;
  }
  state.waiting.push_back(std::move(done));
  if (!state.under_way) {
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
    const rocksdb::Status synced = implementation->database->SyncWAL();
    implementation->executors.owner([implementation, good = synced.ok()] { finish_flush(implementation, good); });
  });
}

void RocksDbStorage::finish_flush(const std::shared_ptr<Implementation>& implementation, bool synced) {
  implementation->failed = implementation->failed || !synced;
  if (!implementation->failed) {
    implementation->synced_puts = implementation->syncing_puts;
  }
  const auto group = std::move(implementation->under_way);
  implementation->under_way = nullptr;
  const Status status =
      implementation->failed ? Status(Error{ErrorKind::storage_unwritable, "write or sync failed"}) : Status(Ok{});
  for (const auto& done : *group) {
    done(status);
  }
  // One of them may have begun the next sync.
  if (!implementation->waiting.empty() && !implementation->under_way) {
    start_flush(implementation);
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
