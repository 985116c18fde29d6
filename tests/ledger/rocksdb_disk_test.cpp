#include "ledger/rocksdb_disk.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include "support/temporary_disk.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::flush;
using madderdeck::tests::TemporaryDisk;

namespace {

constexpr char kGroupState[] = "g/0000/";
constexpr std::uint64_t kFirstRandom = 1;
constexpr std::uint64_t kLaterRandom = 2;

/// A folder that was used as a disk before, with one record.
struct UsedDisk : TemporaryDisk {
  UsedDisk() {
    OpenedDisk disk = open(kFirstRandom);
    identity = disk.identity;
    disk.storage->put(kGroupState, {1});
    flush(*disk.storage);
  }
  std::string identity;
};

bool holds_record(const OpenedDisk& disk) {
  const auto found = disk.storage->get(kGroupState);
  REQUIRE(succeeded(found));
  return value_of(found).has_value();
}

}  // namespace

TEST_CASE("a disk has its identity and records again after a restart") {
  UsedDisk folder;
  const OpenedDisk disk = folder.open(kLaterRandom);
  CHECK(disk.identity == folder.identity);
  CHECK(holds_record(disk));
  CHECK(disk.reason == NewIdentityReason::none);
}

TEST_CASE("an empty folder gets an identity") {
  TemporaryDisk folder;
  const OpenedDisk disk = folder.open(kFirstRandom);
  CHECK(disk.reason == NewIdentityReason::empty_folder);
  CHECK(disk.former_identity.empty());
  CHECK(disk.former_records.empty());
}

TEST_CASE("an identity file that cannot be read is an error and stays as it is") {
  UsedDisk folder;
  const std::filesystem::path file = folder.path() / "disk_id";
  std::filesystem::remove(file);
  ErrorKind expected = ErrorKind::corrupted;
  SECTION("the call fails") {
    std::filesystem::create_symlink(file, file);  // ELOOP
    expected = ErrorKind::unavailable;
  }
  SECTION("empty") { std::ofstream(file) << ""; }
  SECTION("torn") { std::ofstream(file) << folder.identity.substr(0, folder.identity.size() - 1); }
  const auto opened = folder.try_open(kLaterRandom);
  REQUIRE_FALSE(succeeded(opened));
  CHECK(error_of(opened).kind == expected);

  std::filesystem::remove(file);
  std::ofstream(file) << folder.identity << "\n";
  const OpenedDisk disk = folder.open(kLaterRandom);
  CHECK(disk.identity == folder.identity);
  CHECK(holds_record(disk));
}

TEST_CASE("a disk whose records are gone is a new one") {
  UsedDisk folder;
  std::filesystem::remove_all(folder.path() / kRecordsFolder);
  const OpenedDisk disk = folder.open(kLaterRandom);
  CHECK(disk.identity != folder.identity);
  CHECK(disk.reason == NewIdentityReason::records_gone);
  CHECK(disk.former_identity == folder.identity);
}

TEST_CASE("records of another disk are moved aside and not served") {
  UsedDisk folder;
  std::ofstream(folder.path() / "disk_id") << "disk-00000000000000ff\n";
  std::string identity;
  {
    const OpenedDisk disk = folder.open(kLaterRandom);
    identity = disk.identity;
    CHECK(disk.identity != folder.identity);
    CHECK(disk.identity != "disk-00000000000000ff");
    CHECK(disk.reason == NewIdentityReason::records_of_another_disk);
    CHECK(disk.former_identity == "disk-00000000000000ff");
    CHECK_FALSE(holds_record(disk));
    CHECK(std::filesystem::exists(disk.former_records));
  }
  const OpenedDisk again = folder.open(kLaterRandom + 1);
  CHECK(again.identity == identity);
  CHECK(again.reason == NewIdentityReason::none);
}

TEST_CASE("a lost identity file is restored from the records") {
  UsedDisk folder;
  std::filesystem::remove(folder.path() / "disk_id");
  {
    const OpenedDisk disk = folder.open(kLaterRandom);
    CHECK(disk.identity == folder.identity);
    CHECK(disk.identity_file_made);
    CHECK(holds_record(disk));
  }
  CHECK_FALSE(folder.open(kLaterRandom).identity_file_made);
}

TEST_CASE("a folder of an earlier version keeps its identity") {
  TemporaryDisk folder;
  folder.make_as_earlier_version("disk-00000000000000aa", kGroupState);
  SECTION("with its records") {
    for (std::uint64_t start = 0; start < 2; ++start) {
      const OpenedDisk disk = folder.open(kLaterRandom + start);
      CHECK(disk.identity == "disk-00000000000000aa");
      CHECK(disk.reason == NewIdentityReason::none);
      CHECK(holds_record(disk));
    }
    // The first opening also stored the identity in the records.
    std::filesystem::remove(folder.path() / "disk_id");
    CHECK(folder.open(kLaterRandom).identity == "disk-00000000000000aa");
  }
  SECTION("its file is missing, and nothing else identifies the disk of the records") {
    std::filesystem::remove(folder.path() / "disk_id");
    const OpenedDisk disk = folder.open(kLaterRandom);
    CHECK(disk.reason == NewIdentityReason::records_without_identity);
    CHECK_FALSE(holds_record(disk));
  }
}

TEST_CASE("after a start that ended before the identity file was written, the empty database is not moved aside") {
  UsedDisk folder;
  std::filesystem::remove_all(folder.path() / kRecordsFolder);
  { const OpenedDisk interrupted = folder.open(kLaterRandom); }
  std::ofstream(folder.path() / "disk_id") << folder.identity << "\n";
  const OpenedDisk disk = folder.open(kLaterRandom + 1);
  CHECK(disk.reason == NewIdentityReason::records_of_another_disk);
  CHECK(disk.former_records.empty());
}
