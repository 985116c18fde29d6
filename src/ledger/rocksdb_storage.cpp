#include "ledger/rocksdb_storage.hpp"

#include <fcntl.h>
#include <rocksdb/cache.h>
#include <rocksdb/db.h>
#include <rocksdb/filter_policy.h>
#include <rocksdb/table.h>
#include <unistd.h>

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
    return Error{status.IsCorruption() ? ErrorKind::corrupted : ErrorKind::unavailable, status.ToString()};
  }
  look(std::string_view(value.data(), value.size()));
  return Ok{};
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

namespace {

/// A file descriptor that is closed with its scope.
class Descriptor {
 public:
  Descriptor(const std::string& path, int flags) : number_(::open(path.c_str(), flags | O_CLOEXEC, 0644)) {}
  ~Descriptor() {
    if (number_ >= 0) {
      ::close(number_);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  bool sync() const { return number_ >= 0 && ::fsync(number_) == 0; }
  bool write(const std::string& text) const {
    return number_ >= 0 && ::write(number_, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  }

 private:
  const int number_;
};

/// Writes a small file so that it survives a loss of power, whole or not at all.
bool write_durably(const std::string& folder, const std::string& name, const std::string& text) {
  const std::string path = folder + "/" + name;
  const std::string unfinished = path + ".new";
  const Descriptor file(unfinished, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file.write(text) || !file.sync() || ::rename(unfinished.c_str(), path.c_str()) != 0) {
    return false;
  }
  return Descriptor(folder, O_RDONLY | O_DIRECTORY).sync();
}

}  // namespace

namespace {

/// @return why a folder whose identity could not be read has none.
const char* describe_missing_identity(const std::string& folder, const std::string& name) {
  std::error_code failure;
  if (std::filesystem::exists(folder + "/" + name, failure)) {
    return "identity file empty or unreadable";
  }
  if (failure || !std::filesystem::is_empty(folder, failure)) {
    return failure ? "folder unreadable" : "no identity file beside other files";
  }
  return "no identity file, folder empty";
}

}  // namespace

Result<disk_identity> load_disk_id(const std::string& folder, std::uint64_t random) {
  std::error_code failure;
  std::filesystem::create_directories(folder, failure);
  constexpr char kName[] = "disk_id";
  std::string identity;
  if (std::ifstream file(folder + "/" + kName); file >> identity) {
    return disk_identity{identity, false, ""};
  }
  const char* why = describe_missing_identity(folder, kName);
  identity = "disk-" + hex64(random);
  // Without its identity a disk's records count for nothing, so it must last as long as they do.
  if (!write_durably(folder, kName, identity + "\n")) {
    return Error{ErrorKind::storage_unwritable, "cannot write " + folder + "/" + kName};
  }
  return disk_identity{identity, true, why};
}

}  // namespace madderdeck::ledger
