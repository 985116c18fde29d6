/// Guards against a database that cannot be opened after power losses, which makes its node fail at each start. Runs
/// random schedules of writes, syncs, table changes and power losses at any change of a file; each loss keeps a random
/// part of the unsynced data.
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
constexpr std::size_t kSmallBuffer = 64 << 10;  ///< Small enough that tables are written and merged within a schedule.
constexpr unsigned kKeys = 40;
constexpr unsigned kMaxSteps = 150;
constexpr unsigned kMaxChanges = 400;
constexpr unsigned kLosses = 5;
constexpr std::size_t kMaxValueBytes = 6000;
constexpr std::uint64_t kSchedulesInCi = 60;

/// The life of one disk through several power losses.
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
      run_until_power_loss();
    }
  }

 private:
  struct Versions {
    std::uint64_t put = 0;        ///< The last version written; a power loss may have removed it.
    std::uint64_t there = 0;      ///< The version in the open database.
    std::uint64_t confirmed = 0;  ///< The last synced version, which survives every power loss.
  };

  std::uint64_t draw(std::uint64_t most) { return std::uniform_int_distribution<std::uint64_t>(0, most)(random_); }
  static std::string key_of(unsigned number) { return "a/" + std::to_string(number); }
  /// @return the key of the entry that is written together with a record.
  static std::string pair_of(unsigned number) { return "b/" + std::to_string(number); }

  void run_until_power_loss() {
    lossy_files files(names_, random_());
    if (draw(3) > 0) {
      files.lose_power_after(draw(draw(1) == 0 ? kMaxChanges : kMaxChanges / 10));
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

  /// Checks the records of a just opened database; what is read then survives later power losses.
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
    const std::uint64_t steps = draw(kMaxSteps);
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
    wire::Bytes value(sizeof version + draw(kMaxValueBytes), static_cast<std::uint8_t>(version));
    for (std::size_t index = 0; index < sizeof version; ++index) {
      value[index] = static_cast<std::uint8_t>(version >> (8 * index));
    }
    records_.at(number).there = version;
    storage.put_atomically({{key_of(number), value}, {pair_of(number), value}});
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

/// @return a disk with an empty folder.
lossy_names empty_disk() {
  auto folder = std::make_shared<lossy_file>();
  folder->is_folder = true;
  return {{kFolder, folder}};
}

std::string record_of_run(unsigned number) { return "a/" + std::to_string(number); }

/// Creates a database, writes and syncs more records than one table holds, and closes it.
/// @return the number of records that were synced before the power loss.
unsigned confirm_records(lossy_files& files) {
  constexpr unsigned kRecords = 30;
  const auto opened = RocksDbStorage::open(kFolder, tests::inline_executors(), &files, kSmallBuffer);
  REQUIRE(succeeded(opened));
  unsigned confirmed = 0;
  for (unsigned number = 0; number < kRecords; ++number) {
    value_of(opened)->put(record_of_run(number), wire::Bytes(kMaxValueBytes, 1));
    tests::flush(*value_of(opened));
    confirmed += files.has_lost_power() ? 0 : 1;
  }
  return confirmed;
}

/// @return the fault of a disk that must hold the first @p confirmed records; empty if there is none.
std::string fault_of(const lossy_names& left, unsigned confirmed) {
  lossy_files files(left, 0);
  const auto opened = RocksDbStorage::open(kFolder, tests::inline_executors(), &files, kSmallBuffer);
  if (!succeeded(opened)) {
    return error_of(opened).detail;
  }
  for (unsigned number = 0; number < confirmed; ++number) {
    const auto found = value_of(opened)->get(record_of_run(number));
    if (!succeeded(found) || !value_of(found)) {
      return "record " + std::to_string(number) + " of " + std::to_string(confirmed) + " is missing";
    }
  }
  return "";
}

std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
  const char* const given = std::getenv(name);
  return given != nullptr ? std::strtoull(given, nullptr, 10) : otherwise;
}

}  // namespace

TEST_CASE("a disk opens with every confirmed record after any power losses") {
  const std::uint64_t first = from_environment("MADDERDECK_TEST_SEED", 1);
  const std::uint64_t count = from_environment("MADDERDECK_TEST_SCHEDULES", kSchedulesInCi);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    schedule(seed).run();
  }
}

// Guards against nodes that fail at each start with "checksum mismatch in file MANIFEST" after a power loss between the
// write of a table change and its sync.
TEST_CASE("a disk opens after a power loss that tears any write of its database") {
  constexpr std::size_t kMaxChangesOfRun = 150;
  constexpr unsigned kTearings = 4;
  std::vector<std::string> faults;
  for (std::size_t changes = 0; changes < kMaxChangesOfRun; ++changes) {
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

TEST_CASE("a database that changes its tables often keeps few manifests") {
  constexpr std::size_t kMaxManifests = 3;  ///< The current one and those not removed yet.
  lossy_files files(empty_disk(), 0);
  confirm_records(files);
  std::vector<std::string> names;
  REQUIRE(files.GetChildren(std::string(kFolder) + "/" + kRecordsFolder, &names).ok());
  const auto manifests =
      std::count_if(names.begin(), names.end(), [](const std::string& name) { return name.starts_with("MANIFEST"); });
  CHECK(manifests >= 1);
  CHECK(manifests <= static_cast<std::ptrdiff_t>(kMaxManifests));
}
