/// A power loss leaves in a log all that was synced, and all, nothing or a part of each later write, independent of the
/// writes around it.
#include <catch2/catch.hpp>

#include <rocksdb/env.h>

#include <algorithm>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <vector>

#include "ledger/rocksdb_disk.hpp"
#include "support/temporary_disk.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::flush;
using madderdeck::tests::TemporaryDisk;

namespace {

namespace fs = std::filesystem;

constexpr std::size_t kLogBlockBytes =
    32 << 10;  ///< RocksDB starts no record in the last bytes of a block that are too few for a header.
constexpr std::size_t kLogHeadBytes = 7;  ///< Checksum, length and type.
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kSmallBytes = 100;
constexpr std::size_t kLargeBytes = 40'000;  ///< More than a block.
constexpr unsigned kSyncedRecords = 20;
constexpr unsigned kUnsyncedRecords = 24;
constexpr unsigned kLargeEvery = 8;

/// A byte range of the log.
struct Stretch {
  std::size_t begin = 0;
  std::size_t end = 0;
};

std::string key_of(unsigned number) {
  const std::string digits = std::to_string(number);
  return "a/0000/" + std::string(4 - digits.size(), '0') + digits;
}

/// @return the key of the entry that is written together with a record.
std::string pair_of(unsigned number) { return "b" + key_of(number); }

wire::Bytes value_of_record(unsigned number) {
  const bool large = number >= kSyncedRecords && number % kLargeEvery == 0;
  return wire::Bytes(large ? kLargeBytes : kSmallBytes, static_cast<std::uint8_t>(number + 1));
}

std::string read_file(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

void write_file(const fs::path& path, const std::string& bytes) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << bytes;
  REQUIRE(file.flush().good());
}

/// @return the newest log in @p folder.
fs::path newest_log(const fs::path& folder) {
  fs::path newest;
  for (const auto& entry : fs::directory_iterator(folder / kRecordsFolder)) {
    const bool log = entry.path().extension() == ".log";
    newest = log && entry.path().filename() > newest.filename() ? entry.path() : newest;
  }
  REQUIRE_FALSE(newest.empty());
  return newest;
}

/// @return the physical records of @p log that begin at @p from or later.
std::vector<Stretch> records_of_log(const std::string& log, std::size_t from) {
  std::vector<Stretch> found;
  std::size_t at = 0;
  while (at + kLogHeadBytes <= log.size()) {
    const std::size_t left = kLogBlockBytes - at % kLogBlockBytes;
    if (left < kLogHeadBytes) {
      at += left;
      continue;
    }
    const auto low = static_cast<unsigned char>(log[at + kLengthOffset]);
    const auto high = static_cast<unsigned char>(log[at + kLengthOffset + 1]);
    const std::size_t end = at + kLogHeadBytes + low + (static_cast<std::size_t>(high) << 8U);
    if (at >= from) {
      found.push_back({at, end});
    }
    at = end;
  }
  return found;
}

/// A copy of a disk that was written to, with a log that is only partly synced.
class WrittenDisk {
 public:
  WrittenDisk() {
    OpenedDisk disk = original_.open(1);
    identity_ = disk.identity;
    write(*disk.storage, 0, kSyncedRecords);
    flush(*disk.storage);
    synced_bytes_ = fs::file_size(newest_log(original_.path()));
    write(*disk.storage, kSyncedRecords, kSyncedRecords + kUnsyncedRecords);
    log_ = read_file(newest_log(original_.path()));
    fs::copy(original_.path(), copy_.path(), fs::copy_options::recursive | fs::copy_options::overwrite_existing);
    REQUIRE(log_.size() > synced_bytes_);
  }

  const std::string& log() const { return log_; }
  std::size_t synced_bytes() const { return synced_bytes_; }
  std::vector<Stretch> unsynced() const { return records_of_log(log_, synced_bytes_); }

  /// Opens the disk with @p log in place of its log.
  /// @return for each record whether it is present.
  std::vector<bool> open_with(const std::string& log) const {
    const TemporaryDisk disk;
    fs::copy(copy_.path(), disk.path(), fs::copy_options::recursive | fs::copy_options::overwrite_existing);
    write_file(newest_log(disk.path()), log);
    const OpenedDisk opened = disk.open(2);
    CHECK(opened.identity == identity_);
    CHECK(opened.reason == NewIdentityReason::none);
    return records_in(*opened.storage);
  }

 private:
  static void write(Storage& storage, unsigned begin, unsigned end) {
    for (unsigned number = begin; number < end; ++number) {
      storage.put(key_of(number), value_of_record(number));
    }
  }
  static std::vector<bool> records_in(const Storage& storage) {
    std::vector<bool> found;
    for (unsigned number = 0; number < kSyncedRecords + kUnsyncedRecords; ++number) {
      const auto value = storage.get(key_of(number));
      REQUIRE(succeeded(value));
      found.push_back(value_of(value).has_value());
      CHECK((!found.back() || *value_of(value) == value_of_record(number)));
    }
    return found;
  }

  TemporaryDisk original_;
  TemporaryDisk copy_;
  std::string identity_;
  std::size_t synced_bytes_ = 0;
  std::string log_;
};

void check_synced(const std::vector<bool>& found) {
  CHECK(std::all_of(found.begin(), found.begin() + kSyncedRecords, [](bool there) { return there; }));
}

void check_is_prefix(const std::vector<bool>& found) {
  CHECK(std::is_partitioned(found.begin(), found.end(), [](bool there) { return there; }));
}

}  // namespace

TEST_CASE("a log that ends anywhere after the last sync opens with all that was synced") {
  const WrittenDisk disk;
  const std::string& log = disk.log();
  std::vector<std::size_t> cuts{disk.synced_bytes()};
  for (const Stretch& record : disk.unsynced()) {
    cuts.push_back(record.begin + 1);
    cuts.push_back(record.begin + kLogHeadBytes);
    cuts.push_back((record.begin + record.end) / 2);
    cuts.push_back(record.end);
  }
  for (const std::size_t cut : cuts) {
    INFO("cut at " << cut << " of " << log.size() << ", synced up to " << disk.synced_bytes());
    const std::vector<bool> found = disk.open_with(log.substr(0, cut));
    check_synced(found);
    check_is_prefix(found);
  }
}

TEST_CASE("a log without one of the writes after the last sync opens with all that was synced and nothing later") {
  const WrittenDisk disk;
  for (const Stretch& record : disk.unsynced()) {
    INFO("without bytes " << record.begin << " to " << record.end << " of " << disk.log().size());
    std::string log = disk.log();
    std::fill(log.begin() + record.begin, log.begin() + record.end, '\0');
    const std::vector<bool> found = disk.open_with(log);
    check_synced(found);
    check_is_prefix(found);
  }
}

TEST_CASE("a log with a torn write after the last sync opens with all that was synced and nothing later") {
  const WrittenDisk disk;
  for (const Stretch& record : disk.unsynced()) {
    INFO("torn between " << record.begin << " and " << record.end << " of " << disk.log().size());
    const std::size_t middle = (record.begin + record.end) / 2;
    std::string first_half = disk.log();
    std::fill(first_half.begin() + middle, first_half.begin() + record.end, '\0');
    std::string second_half = disk.log();
    std::fill(second_half.begin() + record.begin, second_half.begin() + middle, '\0');
    for (const std::string& log : {first_half, second_half}) {
      const std::vector<bool> found = disk.open_with(log);
      check_synced(found);
      check_is_prefix(found);
    }
  }
}

TEST_CASE("files that reappear because a power loss undid their removal change nothing") {
  const TemporaryDisk disk;
  std::string identity;
  std::vector<std::pair<fs::path, std::string>> removed;
  {
    const OpenedDisk opened = disk.open(1);
    identity = opened.identity;
    opened.storage->put(key_of(0), {1});
    flush(*opened.storage);
    for (const auto& entry : fs::directory_iterator(disk.path() / kRecordsFolder)) {
      removed.emplace_back(entry.path(), read_file(entry.path()));
    }
  }
  {
    const OpenedDisk opened = disk.open(2);
    opened.storage->put(key_of(0), {2});
    flush(*opened.storage);
  }
  for (const auto& [path, bytes] : removed) {
    if (!fs::exists(path)) {
      write_file(path, bytes);
    }
  }
  const OpenedDisk opened = disk.open(3);
  CHECK(opened.identity == identity);
  const auto value = opened.storage->get(key_of(0));
  REQUIRE(succeeded(value));
  CHECK(value_of(value) == wire::Bytes{2});
}

TEST_CASE("a disk opens without the files whose creation was not synced to the folder") {
  const TemporaryDisk disk;
  std::string identity;
  {
    const OpenedDisk opened = disk.open(1);
    identity = opened.identity;
    opened.storage->put(key_of(0), {1});
    flush(*opened.storage);
  }
  std::vector<fs::path> descriptive;
  for (const auto& entry : fs::directory_iterator(disk.path() / kRecordsFolder)) {
    const std::string name = entry.path().filename().string();
    if (name.starts_with("OPTIONS") || name.starts_with("LOG") || name == "IDENTITY" || name == "LOCK") {
      descriptive.push_back(entry.path());
    }
  }
  for (const fs::path& path : descriptive) {
    fs::remove(path);
  }
  const OpenedDisk opened = disk.open(2);
  CHECK(opened.identity == identity);
  CHECK(value_of(opened.storage->get(key_of(0))).has_value());
}

namespace {

/// A file system that delays the creation of the database's tables until release().
class DelayedTables : public rocksdb::EnvWrapper {
 public:
  DelayedTables() : EnvWrapper(rocksdb::Env::Default()) {}
  rocksdb::Status NewWritableFile(const std::string& name, std::unique_ptr<rocksdb::WritableFile>* file,
                                  const rocksdb::EnvOptions& options) override {
    if (name.ends_with(".sst")) {
      std::unique_lock lock(mutex_);
      released_.wait(lock, [this] { return is_released_; });
    }
    return EnvWrapper::NewWritableFile(name, file, options);
  }
  void hold() {
    const std::lock_guard lock(mutex_);
    is_released_ = false;
  }
  void release() {
    const std::lock_guard lock(mutex_);
    is_released_ = true;
    released_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable released_;
  bool is_released_ = true;
};

std::vector<fs::path> logs_in(const fs::path& folder) {
  std::vector<fs::path> logs;
  for (const auto& entry : fs::directory_iterator(folder / kRecordsFolder)) {
    if (entry.path().extension() == ".log") {
      logs.push_back(entry.path());
    }
  }
  std::sort(logs.begin(), logs.end());
  return logs;
}

/// A disk that was written to until the database started a second log; the first one is partly synced.
class DiskOfTwoLogs {
 public:
  static constexpr unsigned kRecords = 200;
  static constexpr std::size_t kRecordBytes = 100'000;  ///< All records together exceed the size of one log.

  DiskOfTwoLogs() {
    identity_ = original_.open(1).identity;
    DelayedTables files;
    auto opened = RocksDbStorage::open(original_.path().string(), tests::inline_executors(), &files);
    REQUIRE(succeeded(opened));
    files.hold();
    RocksDbStorage& storage = *value_of(opened);
    for (unsigned number = 0; number < kRecords; ++number) {
      storage.put_atomically({{key_of(number), wire::Bytes(kRecordBytes, 1)}, {pair_of(number), {1}}});
      if (number + 1 == kSyncedRecords) {
        flush(storage);
      }
    }
    fs::copy(original_.path(), copy_.path(), fs::copy_options::recursive | fs::copy_options::overwrite_existing);
    files.release();
    const std::vector<fs::path> logs = logs_in(copy_.path());
    REQUIRE(logs.size() >= 2);
    first_log_ = logs[logs.size() - 2];
    first_ = read_file(first_log_);
  }

  /// @return the ends of the unsynced records of the first log; a record consists of several byte ranges.
  std::vector<std::size_t> borders() const {
    std::vector<std::size_t> ends;
    for (const Stretch& stretch : records_of_log(first_, kSyncedRecords * kRecordBytes)) {
      const auto type = static_cast<unsigned char>(first_[stretch.begin + kLengthOffset + 2]);
      if (type == kFullStretch || type == kLastStretch) {
        ends.push_back(stretch.end);
      }
    }
    return ends;
  }

  /// Opens the disk with the first @p size bytes of its first log.
  /// @return for each record whether it is present.
  std::vector<bool> open_with(std::size_t size) const {
    INFO("cut to " << size << " of " << first_.size());
    const TemporaryDisk disk;
    fs::copy(copy_.path(), disk.path(), fs::copy_options::recursive | fs::copy_options::overwrite_existing);
    write_file(disk.path() / kRecordsFolder / first_log_.filename(), first_.substr(0, size));
    const OpenedDisk opened = disk.open(2);
    CHECK(opened.identity == identity_);
    std::vector<bool> found;
    for (unsigned number = 0; number < kRecords; ++number) {
      const auto value = opened.storage->get(key_of(number));
      const auto pair = opened.storage->get(pair_of(number));
      REQUIRE(succeeded(value));
      REQUIRE(succeeded(pair));
      CHECK(value_of(value).has_value() == value_of(pair).has_value());
      found.push_back(value_of(value).has_value());
    }
    check_synced(found);
    return found;
  }

 private:
  static constexpr unsigned char kFullStretch = 1;
  static constexpr unsigned char kLastStretch = 4;
  TemporaryDisk original_;
  TemporaryDisk copy_;
  std::string identity_;
  fs::path first_log_;
  std::string first_;
};

}  // namespace

TEST_CASE("a torn log before a complete one opens with nothing later than what it lost") {
  const DiskOfTwoLogs disk;
  const std::vector<std::size_t> borders = disk.borders();
  REQUIRE(borders.size() > 2);
  for (const std::size_t border : {borders.front(), borders[borders.size() / 2], borders.back()}) {
    check_is_prefix(disk.open_with(border - 1));
    check_is_prefix(disk.open_with(border - DiskOfTwoLogs::kRecordBytes / 2));
  }
}

// A log that ends between two records looks complete, so the database continues with the next log. Therefore no code
// may rely on the order of unsynced writes.
TEST_CASE("a log that lost complete last writes opens with all that was synced, and keeps joint entries together") {
  const DiskOfTwoLogs disk;
  const std::vector<std::size_t> borders = disk.borders();
  REQUIRE(borders.size() > 2);
  disk.open_with(borders.front());
  disk.open_with(borders[borders.size() / 2]);
  disk.open_with(borders[borders.size() - 2]);
}
