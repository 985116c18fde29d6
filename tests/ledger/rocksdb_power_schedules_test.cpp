/// A node whose database could not be opened after losses of power would end at each start, for good: schedules of
/// writes, syncs, tables and losses of power at any change of a file, each loss keeping any part of what was not
/// synced.
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "ledger/rocksdb_disk.hpp"
#include "support/lossy_files.hpp"
#include "support/temporary_disk.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using tests::lossy_file;
using tests::lossy_files;
using tests::lossy_names;

namespace {

constexpr char kFolder[] = "/disk";
constexpr char kIdentityKey[] = "disk/identity";
constexpr std::size_t kSmallBuffer = 64 << 10;  ///< So that tables are written and merged within a schedule.
constexpr unsigned kKeys = 40;
constexpr unsigned kMostSteps = 150;
constexpr unsigned kMostChanges = 400;
constexpr unsigned kLosses = 5;
constexpr std::size_t kMostValueBytes = 6000;
constexpr std::uint64_t kSchedulesInCi = 60;

/// One disk through several losses of power.
class schedule {
 public:
  explicit schedule(std::uint64_t seed) : seed_(seed), random_(seed) {
    auto folder = std::make_shared<lossy_file>();
    folder->is_folder = true;
    names_[kFolder] = folder;
  }
  void run() {
    for (unsigned loss = 0; loss < kLosses; ++loss) {
      INFO("seed " << seed_ << ", start " << loss);
      live_until_loss();
    }
  }

 private:
  struct Versions {
    std::uint64_t put = 0;        ///< The last one, which a loss may have taken away.
    std::uint64_t there = 0;      ///< In the database that is open.
    std::uint64_t confirmed = 0;  ///< Whatever is lost.
  };

  std::uint64_t draw(std::uint64_t most) { return std::uniform_int_distribution<std::uint64_t>(0, most)(random_); }
  static std::string key_of(unsigned number) { return "a/" + std::to_string(number); }
  /// What is put together with a record.
  static std::string pair_of(unsigned number) { return "b/" + std::to_string(number); }

  void live_until_loss() {
    lossy_files files(names_, random_());
    if (draw(3) > 0) {
      files.lose_power_after(draw(draw(1) == 0 ? kMostChanges : kMostChanges / 10));
    }
    {
      auto opened = RocksDbStorage::open(kFolder, tests::inline_executors(), &files, kSmallBuffer);
      INFO((succeeded(opened) ? "" : error_of(opened).detail));
      REQUIRE(succeeded(opened));
      RocksDbStorage& storage = *value_of(opened);
      check_identity(storage, files);
      check_records(storage, files);
      write(storage, files);
      files.lose_power_now();
    }
    names_ = files.left();
  }

  void check_identity(RocksDbStorage& storage, lossy_files& files) {
    const auto found = storage.get(kIdentityKey);
    REQUIRE(succeeded(found));
    if (identity_kept_) {
      REQUIRE(value_of(found).has_value());
      return;
    }
    REQUIRE(succeeded(storage.put_synced(kIdentityKey, "disk-1")));
    std::unique_ptr<rocksdb::Directory> folder;
    REQUIRE(files.NewDirectory(kFolder, &folder).ok());
    REQUIRE(folder->Fsync().ok());
    identity_kept_ = !files.has_lost_power();
  }

  std::uint64_t version_at(const RocksDbStorage& storage, const std::string& key) {
    const auto found = storage.get(key);
    REQUIRE(succeeded(found));
    const auto& value = value_of(found);
    std::uint64_t version = 0;
    for (std::size_t index = 0; value && index < sizeof version; ++index) {
      version |= static_cast<std::uint64_t>((*value)[index]) << (8 * index);
    }
    return version;
  }

  /// What is read after an opening survives whatever comes.
  void check_records(const RocksDbStorage& storage, const lossy_files& files) {
    std::array<std::uint64_t, kKeys> found{};
    for (unsigned number = 0; number < kKeys; ++number) {
      found.at(number) = version_at(storage, key_of(number));
      INFO("record " << number);
      CHECK(found.at(number) >= records_.at(number).confirmed);
      CHECK(found.at(number) <= records_.at(number).put);
      CHECK(found.at(number) == version_at(storage, pair_of(number)));
      records_.at(number).there = found.at(number);
    }
    for (unsigned number = 0; number < kKeys && !files.has_lost_power(); ++number) {
      records_.at(number).confirmed = found.at(number);
    }
  }

  void write(RocksDbStorage& storage, lossy_files& files) {
    const std::uint64_t steps = draw(kMostSteps);
    const std::uint64_t flush_every = 1 + draw(20);
    for (std::uint64_t step = 0; step < steps && !files.has_lost_power(); ++step) {
      if (draw(flush_every) == 0) {
        confirm(storage, files);
      } else {
        put(storage, static_cast<unsigned>(draw(kKeys - 1)));
      }
    }
  }

  void put(RocksDbStorage& storage, unsigned number) {
    const std::uint64_t version = ++records_.at(number).put;
    wire::Bytes value(sizeof version + draw(kMostValueBytes), static_cast<std::uint8_t>(version));
    for (std::size_t index = 0; index < sizeof version; ++index) {
      value[index] = static_cast<std::uint8_t>(version >> (8 * index));
    }
    records_.at(number).there = version;
    storage.put_together({{key_of(number), value}, {pair_of(number), value}});
  }

  void confirm(RocksDbStorage& storage, const lossy_files& files) {
    tests::flush(storage);
    for (unsigned number = 0; number < kKeys && !files.has_lost_power(); ++number) {
      records_.at(number).confirmed = records_.at(number).there;
    }
  }

  const std::uint64_t seed_;
  std::mt19937_64 random_;
  lossy_names names_;
  bool identity_kept_ = false;
  std::array<Versions, kKeys> records_{};
};

/// A disk with its folder alone.
lossy_names empty_disk() {
  auto folder = std::make_shared<lossy_file>();
  folder->is_folder = true;
  return {{kFolder, folder}};
}

std::string record_of_run(unsigned number) { return "a/" + std::to_string(number); }

/// Makes a database, fills more than a table with records, each of which is confirmed, and closes it.
/// @return how many were confirmed before power was lost.
unsigned confirm_records(lossy_files& files) {
  constexpr unsigned kRecords = 30;
  const auto opened = RocksDbStorage::open(kFolder, tests::inline_executors(), &files, kSmallBuffer);
  REQUIRE(succeeded(opened));
  unsigned confirmed = 0;
  for (unsigned number = 0; number < kRecords; ++number) {
    value_of(opened)->put(record_of_run(number), wire::Bytes(kMostValueBytes, 1));
    tests::flush(*value_of(opened));
    confirmed += files.has_lost_power() ? 0 : 1;
  }
  return confirmed;
}

/// @return what is wrong with a disk that has to hold @p confirmed records; empty: nothing.
std::string fault_of(const lossy_names& left, unsigned confirmed) {
  lossy_files files(left, 0);
  const auto opened = RocksDbStorage::open(kFolder, tests::inline_executors(), &files, kSmallBuffer);
  if (!succeeded(opened)) {
    return error_of(opened).detail;
  }
  for (unsigned number = 0; number < confirmed; ++number) {
    const auto found = value_of(opened)->get(record_of_run(number));
    if (!succeeded(found) || !value_of(found)) {
      return "record " + std::to_string(number) + " of " + std::to_string(confirmed) + " is not there";
    }
  }
  return "";
}

std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
  const char* const given = std::getenv(name);
  return given != nullptr ? std::strtoull(given, nullptr, 10) : otherwise;
}

}  // namespace

TEST_CASE("a disk opens with all that was confirmed after any losses of power") {
  const std::uint64_t first = from_environment("MADDERDECK_TEST_SEED", 1);
  const std::uint64_t count = from_environment("MADDERDECK_TEST_SCHEDULES", kSchedulesInCi);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    schedule(seed).run();
  }
}

// Ended nodes for good: "checksum mismatch in file MANIFEST" at each start, after a loss of power in the moment between
// the write of a change of tables and its sync.
TEST_CASE("a disk opens after a loss of power that tears what its database was writing, whatever that was") {
  constexpr std::size_t kMostChangesOfRun = 150;
  constexpr unsigned kTearings = 4;
  std::vector<std::string> faults;
  for (std::size_t changes = 0; changes < kMostChangesOfRun; ++changes) {
    for (unsigned tearing = 0; tearing < kTearings; ++tearing) {
      lossy_files files(empty_disk(), changes * kTearings + tearing);
      files.set_kept({1, 1, 1});
      files.lose_power_after(changes);
      const unsigned confirmed = confirm_records(files);
      files.lose_power_now();
      const std::string fault = fault_of(files.left(), confirmed);
      if (!fault.empty()) {
        faults.push_back(fault);
      }
    }
  }
  INFO((faults.empty() ? "" : faults.front()));
  CHECK(faults.empty());
}

TEST_CASE("a database that changes its tables often keeps few of its descriptions of them") {
  constexpr std::size_t kMostManifests = 3;  ///< The present one, and what is not removed yet.
  lossy_files files(empty_disk(), 0);
  confirm_records(files);
  std::vector<std::string> names;
  REQUIRE(files.GetChildren(std::string(kFolder) + "/" + kRecordsFolder, &names).ok());
  const auto manifests =
      std::count_if(names.begin(), names.end(), [](const std::string& name) { return name.starts_with("MANIFEST"); });
  CHECK(manifests >= 1);
  CHECK(manifests <= static_cast<std::ptrdiff_t>(kMostManifests));
}
