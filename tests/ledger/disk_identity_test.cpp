/// A disk's identity says whether its records count. A new one means an empty disk, whatever lies in the folder, so
/// what was missing has to be told.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "ledger/rocksdb_storage.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;

namespace {

/// A folder of its own that goes with its scope.
class scratch_folder {
 public:
  scratch_folder() {
    std::string name = (std::filesystem::temp_directory_path() / "disk-identity-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    path = name;
  }
  ~scratch_folder() {
    std::error_code ignored;  // what is left lies in the folder for temporary files
    std::filesystem::remove_all(path, ignored);
  }
  scratch_folder(const scratch_folder&) = delete;
  scratch_folder& operator=(const scratch_folder&) = delete;

  void write(const std::string& name, const std::string& text) const { std::ofstream(path + "/" + name) << text; }
  disk_identity load(std::uint64_t random) const {
    const auto disk = load_disk_id(path, random);
    REQUIRE(succeeded(disk));
    return value_of(disk);
  }

  std::string path;
};

}  // namespace

TEST_CASE("a disk keeps its identity and says so") {
  const scratch_folder folder;
  const disk_identity made = folder.load(1);
  CHECK(made.is_new);
  CHECK(made.why == std::string("no identity file, folder empty"));
  const disk_identity found = folder.load(2);
  CHECK(found.id == made.id);
  CHECK_FALSE(found.is_new);
  CHECK(found.why == std::string());
}

TEST_CASE("a disk that is new though its folder is not empty says what was missing") {
  const scratch_folder with_records;
  with_records.write("000001.log", "records");
  CHECK(with_records.load(1).why == std::string("no identity file beside other files"));

  const scratch_folder with_empty_file;
  with_empty_file.write("disk_id", "");
  const disk_identity disk = with_empty_file.load(1);
  CHECK(disk.is_new);
  CHECK(disk.why == std::string("identity file empty or unreadable"));
}
