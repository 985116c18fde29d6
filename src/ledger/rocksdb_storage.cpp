#include "ledger/rocksdb_storage.hpp"

#include <rocksdb/cache.h>
#include <rocksdb/db.h>
#include <rocksdb/filter_policy.h>
#include <rocksdb/table.h>

#include <filesystem>
#include <fstream>
#include <vector>

#include "common/hash.hpp"

namespace madderdeck::ledger {
namespace {
constexpr std::size_t kWriteBufferBytes = 16 << 20;
constexpr std::size_t kCacheBytes = 8 << 20;
constexpr int kBloomBitsPerKey = 10;
}  // namespace

struct RocksDbStorage::Implementation {
  std::unique_ptr<rocksdb::DB> database;
  Executors executors;
  std::vector<std::function<void(Status)>> waiting;
  bool flushing = false;
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
  const rocksdb::Status status = rocksdb::DB::Open(options, folder + "/records", &database);
  if (!status.ok()) {
    return Error{status.IsCorruption() ? ErrorKind::corrupted : ErrorKind::storage_unwritable, status.ToString()};
  }
  auto implementation = std::make_shared<Implementation>();
  implementation->database.reset(database);
  implementation->executors = std::move(executors);
  return std::unique_ptr<RocksDbStorage>(new RocksDbStorage(std::move(implementation)));
}

Result<std::optional<wire::Bytes>> RocksDbStorage::get(const std::string& key) const {
  std::string value;
  const rocksdb::Status status = implementation_->database->Get(rocksdb::ReadOptions(), key, &value);
  if (status.IsNotFound()) {
    return std::optional<wire::Bytes>();
  }
  if (!status.ok()) {
    return Error{status.IsCorruption() ? ErrorKind::corrupted : ErrorKind::unavailable, status.ToString()};
  }
  return std::optional<wire::Bytes>(wire::Bytes(value.begin(), value.end()));
}

void RocksDbStorage::put(const std::string& key, const wire::Bytes& value) {
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
  implementation_->waiting.push_back(std::move(done));
  if (!implementation_->flushing) {
    start_flush(implementation_);
  }
}

void RocksDbStorage::start_flush(const std::shared_ptr<Implementation>& implementation) {
  implementation->flushing = true;
  auto group = std::make_shared<std::vector<std::function<void(Status)>>>(std::move(implementation->waiting));
  implementation->waiting.clear();
  implementation->executors.background([implementation, group] {
    const rocksdb::Status synced = implementation->database->SyncWAL();
    implementation->executors.owner([implementation, group, good = synced.ok()] {
      implementation->failed = implementation->failed || !good;
      const Status status =
          implementation->failed ? Status(Error{ErrorKind::storage_unwritable, "write or sync failed"}) : Status(Ok{});
      for (const auto& done : *group) {
        done(status);
      }
      if (implementation->waiting.empty()) {
        implementation->flushing = false;
      } else {
        start_flush(implementation);
      }
    });
  });
}

Result<std::string> load_disk_id(const std::string& folder, std::uint64_t random) {
  std::error_code failure;
  std::filesystem::create_directories(folder, failure);
  const std::string path = folder + "/disk_id";
  std::string identity;
  if (std::ifstream file(path); file >> identity) {
    return identity;
  }
  identity = "disk-" + hex64(random);
  std::ofstream file(path);
  file << identity << std::endl;
  if (!file) {
    return Error{ErrorKind::storage_unwritable, "cannot write " + path};
  }
  return identity;
}

}  // namespace madderdeck::ledger
