#include "ledger/rocksdb_disk.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <optional>

#include "common/hash.hpp"

namespace madderdeck::ledger {
namespace {

constexpr char kIdentityFile[] = "disk_id";
constexpr char kFormerRecordsFolder[] = "records.former";
/// Key in the database; it cannot collide with the one-letter prefixes of replica data.
constexpr char kIdentityKey[] = "disk/identity";
/// Prefix of group states, which a replica writes before any record.
constexpr char kGroupStates[] = "g/";
constexpr std::size_t kMaxIdentityBytes = 256;

/// A file descriptor that is closed at the end of its scope.
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
  bool is_open() const { return number_ >= 0; }
  ssize_t read(char* bytes, std::size_t size) const { return ::read(number_, bytes, size); }
  bool sync() const { return number_ >= 0 && ::fsync(number_) == 0; }
  bool write(const std::string& text) const {
    return number_ >= 0 && ::write(number_, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  }

 private:
  const int number_;
};

/// Writes a small file atomically and durably.
bool write_durably(const std::string& folder, const std::string& name, const std::string& text) {
  const std::string path = folder + "/" + name;
  const std::string unfinished = path + ".new";
  const Descriptor file(unfinished, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file.write(text) || !file.sync() || ::rename(unfinished.c_str(), path.c_str()) != 0) {
    return false;
  }
  return Descriptor(folder, O_RDONLY | O_DIRECTORY).sync();
}

bool sync_folder(const std::string& folder) { return Descriptor(folder, O_RDONLY | O_DIRECTORY).sync(); }

Error unwritable(const std::string& what) {
  return Error{ErrorKind::storage_unwritable, what + ": " + std::strerror(errno)};
}

/// Creates @p folder and its parent folders durably.
Status make_folder(const std::filesystem::path& folder) {
  std::error_code failure;
  if (std::filesystem::is_directory(folder, failure)) {
    return Ok{};
  }
  const std::filesystem::path parent = folder.has_parent_path() ? folder.parent_path() : ".";
  if (const Status above = make_folder(parent); !succeeded(above)) {
    return above;
  }
  std::filesystem::create_directory(folder, failure);
  if (failure) {
    return Error{ErrorKind::storage_unwritable, "cannot create " + folder.string() + ": " + failure.message()};
  }
  return sync_folder(parent.string()) ? Status(Ok{}) : unwritable("cannot sync " + parent.string());
}

/// @return the identity in the file; nothing if there is no file.
Result<std::optional<std::string>> read_identity_file(const std::string& folder) {
  const std::string path = folder + "/" + kIdentityFile;
  const Descriptor file(path, O_RDONLY);
  if (!file.is_open() && errno == ENOENT) {
    return std::optional<std::string>();
  }
  std::array<char, kMaxIdentityBytes> bytes;
  const ssize_t size = file.is_open() ? file.read(bytes.data(), bytes.size()) : -1;
  if (size < 0) {
    return Error{ErrorKind::unavailable, "cannot read " + path + ": " + std::strerror(errno)};
  }
  const std::string text(bytes.data(), static_cast<std::size_t>(size));
  const std::size_t end = text.find_first_of(" \t\r\n");
  if (end == 0 || end == std::string::npos) {
    return Error{ErrorKind::corrupted, path + " is empty or truncated"};
  }
  return std::optional(text.substr(0, end));
}

/// What a disk folder contains.
struct FolderContents {
  std::optional<std::string> in_file;
  std::optional<std::string> in_records;
  bool holds_group_states = false;
  bool holds_records = false;  ///< Any key other than the identity.
};

Result<FolderContents> inspect_contents(const RocksDbStorage& storage, std::optional<std::string> in_file) {
  FolderContents found;
  found.in_file = std::move(in_file);
  const auto identity = storage.get(kIdentityKey);
  const auto states = storage.holds(kGroupStates);
  const auto records = storage.holds("", kIdentityKey);
  if (!succeeded(identity)) {
    return error_of(identity);
  }
  if (!succeeded(states)) {
    return error_of(states);
  }
  if (!succeeded(records)) {
    return error_of(records);
  }
  if (const auto& bytes = value_of(identity)) {
    found.in_records = std::string(bytes->begin(), bytes->end());
  }
  found.holds_group_states = value_of(states);
  found.holds_records = value_of(records);
  return found;
}

NewIdentityReason new_identity_reason(const FolderContents& found) {
  if (found.in_records) {
    const bool agree = !found.in_file || *found.in_file == *found.in_records;
    return agree ? NewIdentityReason::none : NewIdentityReason::records_of_another_disk;
  }
  if (!found.in_file) {
    return found.holds_records ? NewIdentityReason::records_without_identity : NewIdentityReason::empty_folder;
  }
  // Earlier versions wrote the identity only to the file.
  return found.holds_group_states ? NewIdentityReason::none : NewIdentityReason::records_gone;
}

/// @return the size of the log files that the database in @p folder has to read, without files whose size is unknown.
std::uint64_t log_bytes_in(const std::string& folder) {
  std::uint64_t bytes = 0;
  std::error_code failure;
  std::filesystem::directory_iterator entry(folder + "/" + kRecordsFolder, failure);
  for (; !failure && entry != std::filesystem::directory_iterator(); entry.increment(failure)) {
    if (entry->path().extension() != ".log") {
      continue;
    }
    std::error_code unknown;
    const std::uintmax_t size = entry->file_size(unknown);
    bytes += unknown ? 0 : size;
  }
  return bytes;
}

/// Closes the database, moves it aside and creates an empty one. Records that were moved aside before are removed.
Status replace_records(const std::string& folder, const Executors& executors, OpenedDisk& disk) {
  disk.storage.reset();
  disk.former_records = folder + "/" + kFormerRecordsFolder;
  std::error_code failure;
  std::filesystem::remove_all(disk.former_records, failure);
  if (!failure) {
    std::filesystem::rename(folder + "/" + kRecordsFolder, disk.former_records, failure);
  }
  if (failure) {
    return Error{ErrorKind::storage_unwritable,
                 "cannot move records to " + disk.former_records + ": " + failure.message()};
  }
  if (!sync_folder(folder)) {
    return unwritable("cannot sync " + folder);
  }
  auto storage = RocksDbStorage::open(folder, executors);
  if (!succeeded(storage)) {
    return error_of(storage);
  }
  disk.storage = std::move(value_of(storage));
  return Ok{};
}

/// Writes the identity to the database first and then to the file, so that a file implies that a database existed.
Status store_identity(const std::string& folder, const FolderContents& found, const OpenedDisk& disk) {
  if (found.in_records != disk.identity) {
    if (const Status kept = disk.storage->put_synced(kIdentityKey, disk.identity); !succeeded(kept)) {
      return kept;
    }
  }
  // The database folder is an entry of this folder, which the database does not sync.
  if (!sync_folder(folder)) {
    return unwritable("cannot sync " + folder);
  }
  if (found.in_file != disk.identity && !write_durably(folder, kIdentityFile, disk.identity + "\n")) {
    return unwritable("cannot write " + folder + "/" + kIdentityFile);
  }
  return Ok{};
}

}  // namespace

std::string_view new_identity_reason_name(NewIdentityReason reason) {
  switch (reason) {
    case NewIdentityReason::none:
      return "none";
    case NewIdentityReason::empty_folder:
      return "empty_folder";
    case NewIdentityReason::records_gone:
      return "records_gone";
    case NewIdentityReason::records_of_another_disk:
      return "records_of_another_disk";
    case NewIdentityReason::records_without_identity:
      return "records_without_identity";
  }
  return "unknown";
}

Result<OpenedDisk> open_disk(const std::string& folder, std::uint64_t random, const Executors& executors) {
  const observed_operation observed(executors.observer, disk_operation::open);
  if (const Status made = make_folder(folder); !succeeded(made)) {
    return error_of(made);
  }
  auto in_file = read_identity_file(folder);
  if (!succeeded(in_file)) {
    return error_of(in_file);
  }
  const std::uint64_t log_bytes = log_bytes_in(folder);
  auto storage = RocksDbStorage::open(folder, executors);
  if (!succeeded(storage)) {
    return error_of(storage);
  }
  const auto contents = inspect_contents(*value_of(storage), std::move(value_of(in_file)));
  if (!succeeded(contents)) {
    return error_of(contents);
  }
  const FolderContents& found = value_of(contents);
  OpenedDisk disk;
  disk.log_bytes = log_bytes;
  disk.storage = std::move(value_of(storage));
  disk.reason = new_identity_reason(found);
  if (disk.reason == NewIdentityReason::none) {
    disk.identity = found.in_records ? *found.in_records : *found.in_file;
    disk.identity_file_made = !found.in_file;
  } else {
    disk.identity = "disk-" + hex64(random);
    disk.former_identity = found.in_file.value_or("");
  }
  if (disk.reason != NewIdentityReason::none && found.holds_records) {
    if (const Status replaced = replace_records(folder, executors, disk); !succeeded(replaced)) {
      return error_of(replaced);
    }
  }
  if (const Status kept = store_identity(folder, found, disk); !succeeded(kept)) {
    return error_of(kept);
  }
  return disk;
}

}  // namespace madderdeck::ledger
