#include "support/lossy_files.hpp"

#include <algorithm>
#include <array>
#include <cstring>

namespace madderdeck::tests {
namespace {

using rocksdb::Slice;
using rocksdb::Status;

std::string folder_of(const std::string& name) { return name.substr(0, name.rfind('/')); }

std::string tidy(std::string name) {
  while (name.size() > 1 && name.back() == '/') {
    name.pop_back();
  }
  return name;
}

Status absent(const std::string& name) { return Status::PathNotFound(name, "no such file"); }

void put_into(std::string& bytes, const lossy_file::Write& write) {
  if (write.cuts) {
    bytes.resize(write.offset, '\0');
    return;
  }
  bytes.resize(std::max(bytes.size(), write.offset + write.bytes.size()), '\0');
  bytes.replace(write.offset, write.bytes.size(), write.bytes);
}

/// Takes @p name away unless another file has it by now.
void forget(lossy_names& names, const std::string& name, const std::shared_ptr<lossy_file>& file) {
  const auto found = names.find(name);
  if (found != names.end() && found->second == file) {
    names.erase(found);
  }
}

/// @return how many bytes from @p offset on were copied to @p target.
std::size_t copy_out(const std::string& bytes, std::size_t offset, std::size_t size, char* target) {
  const std::size_t available = offset < bytes.size() ? std::min(size, bytes.size() - offset) : 0;
  std::memcpy(target, bytes.data() + std::min(offset, bytes.size()), available);
  return available;
}

class lossy_lock : public rocksdb::FileLock {};

}  // namespace

class lossy_writable : public rocksdb::WritableFile {
 public:
  lossy_writable(lossy_files& files, std::string name, std::shared_ptr<lossy_file> file)
      : files_(files), name_(std::move(name)), file_(std::move(file)) {}
  using WritableFile::Append;
  Status Append(const Slice& bytes) override {
    const std::lock_guard lock(files_.mutex_);
    files_.write(*file_, {file_->bytes.size(), bytes.ToString(), false});
    return Status::OK();
  }
  Status Truncate(std::uint64_t size) override {
    const std::lock_guard lock(files_.mutex_);
    if (size != file_->bytes.size()) {
      files_.write(*file_, {static_cast<std::size_t>(size), "", true});
    }
    return Status::OK();
  }
  Status Close() override { return Status::OK(); }
  Status Flush() override { return Status::OK(); }
  Status Sync() override {
    const std::lock_guard lock(files_.mutex_);
    files_.sync(name_, file_);
    return Status::OK();
  }
  bool IsSyncThreadSafe() const override { return true; }
  std::uint64_t GetFileSize() override {
    const std::lock_guard lock(files_.mutex_);
    return file_->bytes.size();
  }

 private:
  lossy_files& files_;
  const std::string name_;
  const std::shared_ptr<lossy_file> file_;
};

class lossy_folder : public rocksdb::Directory {
 public:
  lossy_folder(lossy_files& files, std::string name) : files_(files), name_(std::move(name)) {}
  Status Fsync() override {
    const std::lock_guard lock(files_.mutex_);
    files_.sync_folder(name_);
    return Status::OK();
  }
  Status Close() override { return Status::OK(); }

 private:
  lossy_files& files_;
  const std::string name_;
};

namespace {

class lossy_readable : public rocksdb::RandomAccessFile {
 public:
  lossy_readable(std::mutex& mutex, std::shared_ptr<lossy_file> file) : mutex_(mutex), file_(std::move(file)) {}
  Status Read(std::uint64_t offset, std::size_t size, Slice* result, char* bytes) const override {
    const std::lock_guard lock(mutex_);
    *result = Slice(bytes, copy_out(file_->bytes, offset, size, bytes));
    return Status::OK();
  }

 private:
  std::mutex& mutex_;
  const std::shared_ptr<lossy_file> file_;
};

class lossy_sequence : public rocksdb::SequentialFile {
 public:
  lossy_sequence(std::mutex& mutex, std::shared_ptr<lossy_file> file) : mutex_(mutex), file_(std::move(file)) {}
  Status Read(std::size_t size, Slice* result, char* bytes) override {
    const std::lock_guard lock(mutex_);
    const std::size_t copied = copy_out(file_->bytes, at_, size, bytes);
    *result = Slice(bytes, copied);
    at_ += copied;
    return Status::OK();
  }
  Status Skip(std::uint64_t size) override {
    at_ += size;
    return Status::OK();
  }

 private:
  std::mutex& mutex_;
  const std::shared_ptr<lossy_file> file_;
  std::size_t at_ = 0;
};

}  // namespace

lossy_files::lossy_files(lossy_names names, std::uint64_t seed)
    : EnvWrapper(rocksdb::Env::Default()), random_(seed), names_(std::move(names)), synced_names_(names_) {}

void lossy_files::lose_power_after(std::size_t changes) {
  const std::lock_guard lock(mutex_);
  changes_left_ = changes + 1;
}

void lossy_files::lose_power_now() {
  const std::lock_guard lock(mutex_);
  lose_power();
}

void lossy_files::set_kept(const kept_shares& kept) {
  const std::lock_guard lock(mutex_);
  kept_ = kept;
}

std::shared_ptr<lossy_file> lossy_files::find(const std::string& name) const {
  const auto found = names_.find(tidy(name));
  return found == names_.end() ? nullptr : found->second;
}

void lossy_files::before_change() {
  if (changes_left_ > 0 && --changes_left_ == 0) {
    lose_power();
  }
}

void lossy_files::change(Change change) {
  before_change();
  if (!change.removed.empty()) {
    names_.erase(change.removed);
  }
  if (!change.added.empty()) {
    names_[change.added] = change.file;
  }
  changes_.push_back(std::move(change));
}

void lossy_files::write(lossy_file& file, lossy_file::Write write) {
  before_change();
  put_into(file.bytes, write);
  file.unsynced.push_back(std::move(write));
}

void lossy_files::sync(const std::string& name, const std::shared_ptr<lossy_file>& file) {
  before_change();
  for (const lossy_file::Write& write : file->unsynced) {
    put_into(file->synced, write);
  }
  file->unsynced.clear();
  // A new file survives through its own sync, under the name that it was made with.
  const auto made = std::find_if(changes_.begin(), changes_.end(), [&](const Change& change) {
    return change.file == file && change.added == name && change.removed.empty();
  });
  if (made != changes_.end()) {
    synced_names_[name] = file;
    changes_.erase(made);
  }
}

void lossy_files::sync_folder(const std::string& folder) {
  before_change();
  std::vector<Change> others;
  for (Change& change : changes_) {
    if (folder_of(change.added.empty() ? change.removed : change.added) != folder) {
      others.push_back(std::move(change));
      continue;
    }
    forget(synced_names_, change.removed, change.file);
    if (!change.added.empty()) {
      synced_names_[change.added] = change.file;
    }
  }
  changes_ = std::move(others);
}

std::string lossy_files::after_loss(const lossy_file& file, const kept_shares& kept) {
  std::string bytes = file.synced;
  for (const lossy_file::Write& write : file.unsynced) {
    if (!chance(kept.writes)) {
      continue;
    }
    lossy_file::Write part = write;
    if (!write.cuts && !write.bytes.empty() && chance(kept.torn)) {
      const std::size_t border = std::uniform_int_distribution<std::size_t>(0, write.bytes.size() - 1)(random_);
      const bool first = chance(0.5);
      part.bytes = first ? write.bytes.substr(0, border) : write.bytes.substr(border);
      part.offset += first ? 0 : border;
    }
    put_into(bytes, part);
  }
  return bytes;
}

kept_shares lossy_files::draw_kept() {
  constexpr std::array<double, 5> kShares{0, 0.2, 0.5, 0.8, 1};
  const auto share = [&] { return kShares.at(std::uniform_int_distribution<std::size_t>(0, 4)(random_)); };
  kept_shares kept;
  kept.changes = share();
  kept.writes = share();
  kept.torn = share() / 2;
  return kept;
}

void lossy_files::lose_power() {
  if (has_lost_power_) {
    return;
  }
  const kept_shares kept = kept_ ? *kept_ : draw_kept();
  lossy_names names = synced_names_;
  for (const Change& change : changes_) {
    if (!chance(kept.changes)) {
      continue;
    }
    forget(names, change.removed, change.file);
    if (!change.added.empty()) {
      names[change.added] = change.file;
    }
  }
  for (const auto& [name, file] : names) {
    if (folder_of(name).size() > 1 && names.find(folder_of(name)) == names.end()) {
      continue;  // its folder is lost
    }
    auto survivor = std::make_shared<lossy_file>();
    survivor->is_folder = file->is_folder;
    survivor->bytes = after_loss(*file, kept);
    survivor->synced = survivor->bytes;
    left_[name] = survivor;
  }
  has_lost_power_ = true;
}

Status lossy_files::NewSequentialFile(const std::string& name, std::unique_ptr<rocksdb::SequentialFile>* file,
                                      const rocksdb::EnvOptions&) {
  const std::lock_guard lock(mutex_);
  const auto found = find(name);
  if (!found) {
    return absent(name);
  }
  *file = std::make_unique<lossy_sequence>(mutex_, found);
  return Status::OK();
}

Status lossy_files::NewRandomAccessFile(const std::string& name, std::unique_ptr<rocksdb::RandomAccessFile>* file,
                                        const rocksdb::EnvOptions&) {
  const std::lock_guard lock(mutex_);
  const auto found = find(name);
  if (!found) {
    return absent(name);
  }
  *file = std::make_unique<lossy_readable>(mutex_, found);
  return Status::OK();
}

Status lossy_files::NewWritableFile(const std::string& name, std::unique_ptr<rocksdb::WritableFile>* file,
                                    const rocksdb::EnvOptions&) {
  const std::lock_guard lock(mutex_);
  auto found = find(name);
  if (found) {
    write(*found, {0, "", true});
  } else {
    found = std::make_shared<lossy_file>();
    change({"", name, found});
  }
  *file = std::make_unique<lossy_writable>(*this, name, found);
  return Status::OK();
}

Status lossy_files::ReopenWritableFile(const std::string& name, std::unique_ptr<rocksdb::WritableFile>* file,
                                       const rocksdb::EnvOptions&) {
  const std::lock_guard lock(mutex_);
  auto found = find(name);
  if (!found) {
    found = std::make_shared<lossy_file>();
    change({"", name, found});
  }
  *file = std::make_unique<lossy_writable>(*this, name, found);
  return Status::OK();
}

Status lossy_files::ReuseWritableFile(const std::string&, const std::string&, std::unique_ptr<rocksdb::WritableFile>*,
                                      const rocksdb::EnvOptions&) {
  return Status::NotSupported("reuse");
}

Status lossy_files::NewRandomRWFile(const std::string&, std::unique_ptr<rocksdb::RandomRWFile>*,
                                    const rocksdb::EnvOptions&) {
  return Status::NotSupported("random writes");
}

Status lossy_files::NewDirectory(const std::string& name, std::unique_ptr<rocksdb::Directory>* folder) {
  const std::lock_guard lock(mutex_);
  if (!find(name)) {
    return absent(name);
  }
  *folder = std::make_unique<lossy_folder>(*this, tidy(name));
  return Status::OK();
}

Status lossy_files::FileExists(const std::string& name) {
  const std::lock_guard lock(mutex_);
  return find(name) ? Status::OK() : Status::NotFound(name);
}

Status lossy_files::GetChildren(const std::string& folder, std::vector<std::string>* names) {
  const std::lock_guard lock(mutex_);
  names->clear();
  if (!find(folder)) {
    return Status::NotFound(folder);
  }
  for (const auto& [name, file] : names_) {
    if (folder_of(name) == tidy(folder)) {
      names->push_back(name.substr(name.rfind('/') + 1));
    }
  }
  return Status::OK();
}

Status lossy_files::DeleteFile(const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = find(name);
  if (!found) {
    return absent(name);
  }
  change({name, "", found});
  return Status::OK();
}

Status lossy_files::CreateDir(const std::string& name) {
  const std::lock_guard lock(mutex_);
  if (find(name)) {
    return Status::IOError(name, "is there");
  }
  auto folder = std::make_shared<lossy_file>();
  folder->is_folder = true;
  change({"", tidy(name), folder});
  return Status::OK();
}

Status lossy_files::CreateDirIfMissing(const std::string& name) {
  return FileExists(name).ok() ? Status::OK() : CreateDir(name);
}

Status lossy_files::DeleteDir(const std::string& name) { return DeleteFile(tidy(name)); }

Status lossy_files::GetFileSize(const std::string& name, std::uint64_t* size) {
  const std::lock_guard lock(mutex_);
  const auto found = find(name);
  if (!found) {
    return absent(name);
  }
  *size = found->bytes.size();
  return Status::OK();
}

Status lossy_files::GetFileModificationTime(const std::string&, std::uint64_t* time) {
  *time = 0;
  return Status::OK();
}

Status lossy_files::RenameFile(const std::string& from, const std::string& to) {
  const std::lock_guard lock(mutex_);
  const auto found = find(from);
  if (!found) {
    return absent(from);
  }
  change({from, to, found});
  return Status::OK();
}

Status lossy_files::LinkFile(const std::string&, const std::string&) { return Status::NotSupported("links"); }

Status lossy_files::NumFileLinks(const std::string&, std::uint64_t* count) {
  *count = 1;
  return Status::OK();
}

Status lossy_files::AreFilesSame(const std::string& first, const std::string& second, bool* same) {
  *same = tidy(first) == tidy(second);
  return Status::OK();
}

Status lossy_files::Truncate(const std::string& name, std::size_t size) {
  const std::lock_guard lock(mutex_);
  const auto found = find(name);
  if (!found) {
    return absent(name);
  }
  write(*found, {size, "", true});
  return Status::OK();
}

Status lossy_files::LockFile(const std::string& name, rocksdb::FileLock** lock) {
  const std::lock_guard guard(mutex_);
  if (!find(name)) {
    change({"", name, std::make_shared<lossy_file>()});
  }
  *lock = new lossy_lock();
  return Status::OK();
}

Status lossy_files::UnlockFile(rocksdb::FileLock* lock) {
  delete lock;
  return Status::OK();
}

Status lossy_files::IsDirectory(const std::string& name, bool* is_folder) {
  const std::lock_guard lock(mutex_);
  const auto found = find(name);
  if (!found) {
    return absent(name);
  }
  *is_folder = found->is_folder;
  return Status::OK();
}

Status lossy_files::GetAbsolutePath(const std::string& name, std::string* path) {
  *path = name;
  return Status::OK();
}

}  // namespace madderdeck::tests
