#pragma once
/// @file A disk folder for tests with the real database.

#include <catch2/catch.hpp>

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "ledger/rocksdb_disk.hpp"

namespace madderdeck::tests {

/// @return executors that run each task at once.
inline ledger::Executors inline_executors() {
  const auto run = [](const std::function<void()>& task) { task(); };
  return {run, run, {}};
}

/// Syncs @p storage; fails the test where that fails.
inline void flush(ledger::Storage& storage) {
  bool flushed = false;
  storage.flush([&flushed](const Status& status) { flushed = succeeded(status); });
  REQUIRE(flushed);
}

/// A folder that is removed with its scope.
class TemporaryDisk {
 public:
  TemporaryDisk() {
    std::string name = (std::filesystem::temp_directory_path() / "madderdeck-disk-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    path_ = name;
  }
  ~TemporaryDisk() {
    std::error_code ignored;  // only a leftover in the folder for temporary files
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDisk(const TemporaryDisk&) = delete;
  TemporaryDisk& operator=(const TemporaryDisk&) = delete;

  const std::filesystem::path& path() const { return path_; }
  Result<ledger::OpenedDisk> try_open(std::uint64_t random) const {
    return ledger::open_disk(path_.string(), random, inline_executors());
  }
  ledger::OpenedDisk open(std::uint64_t random) const {
    auto opened = try_open(random);
    INFO((succeeded(opened) ? "" : error_of(opened).detail));
    REQUIRE(succeeded(opened));
    return std::move(value_of(opened));
  }
  /// Leaves what a version left that kept the identity in the file alone, with one record at @p key.
  void make_as_earlier_version(const std::string& identity, const std::string& key) const {
    std::ofstream(path_ / "disk_id") << identity << "\n";
    auto opened = ledger::RocksDbStorage::open(path_.string(), inline_executors());
    REQUIRE(succeeded(opened));
    value_of(opened)->put(key, {1});
    flush(*value_of(opened));
  }

 private:
  std::filesystem::path path_;
};

}  // namespace madderdeck::tests
