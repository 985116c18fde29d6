#pragma once
/// @file Files in memory that lose what was not synced when power is lost, each write and each change of a folder apart
/// from the others.

#include <rocksdb/env.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace madderdeck::tests {

/// A file with what would survive.
struct lossy_file {
  struct Write {
    std::size_t offset = 0;
    std::string bytes;
    bool cuts = false;  ///< Sets the length to the offset instead.
  };
  bool is_folder = false;
  std::string bytes;            ///< As programs see it.
  std::string synced;           ///< What survives in any case.
  std::vector<Write> unsynced;  ///< Each survives, is lost or torn.
};

/// Of what is not synced, which shares a loss of power keeps.
struct kept_shares {
  double changes = 0;  ///< Of created, renamed and removed files.
  double writes = 0;
  double torn = 0;  ///< Of the writes that are kept.
};

/// Names with their files.
using lossy_names = std::map<std::string, std::shared_ptr<lossy_file>>;

/// A file system for a database, without the process's other files. Thread safe.
class lossy_files : public rocksdb::EnvWrapper {
 public:
  /// @param names what an earlier loss left.
  lossy_files(lossy_names names, std::uint64_t seed);

  /// Power is lost before the change of a file or folder number @p changes from now on. Programs do not notice: they
  /// go on with files that nobody reads again.
  void lose_power_after(std::size_t changes);
  void lose_power_now();
  /// Sets what the loss keeps, which is drawn otherwise.
  void set_kept(const kept_shares& kept);
  bool has_lost_power() const { return has_lost_power_; }
  /// @return what the loss left.
  lossy_names left() const { return left_; }

  rocksdb::Status NewSequentialFile(const std::string& name, std::unique_ptr<rocksdb::SequentialFile>* file,
                                    const rocksdb::EnvOptions& options) override;
  rocksdb::Status NewRandomAccessFile(const std::string& name, std::unique_ptr<rocksdb::RandomAccessFile>* file,
                                      const rocksdb::EnvOptions& options) override;
  rocksdb::Status NewWritableFile(const std::string& name, std::unique_ptr<rocksdb::WritableFile>* file,
                                  const rocksdb::EnvOptions& options) override;
  rocksdb::Status ReopenWritableFile(const std::string& name, std::unique_ptr<rocksdb::WritableFile>* file,
                                     const rocksdb::EnvOptions& options) override;
  rocksdb::Status ReuseWritableFile(const std::string& name, const std::string& former,
                                    std::unique_ptr<rocksdb::WritableFile>* file,
                                    const rocksdb::EnvOptions& options) override;
  rocksdb::Status NewRandomRWFile(const std::string& name, std::unique_ptr<rocksdb::RandomRWFile>* file,
                                  const rocksdb::EnvOptions& options) override;
  rocksdb::Status NewDirectory(const std::string& name, std::unique_ptr<rocksdb::Directory>* folder) override;
  rocksdb::Status FileExists(const std::string& name) override;
  rocksdb::Status GetChildren(const std::string& folder, std::vector<std::string>* names) override;
  rocksdb::Status DeleteFile(const std::string& name) override;
  rocksdb::Status CreateDir(const std::string& name) override;
  rocksdb::Status CreateDirIfMissing(const std::string& name) override;
  rocksdb::Status DeleteDir(const std::string& name) override;
  rocksdb::Status GetFileSize(const std::string& name, std::uint64_t* size) override;
  rocksdb::Status GetFileModificationTime(const std::string& name, std::uint64_t* time) override;
  rocksdb::Status RenameFile(const std::string& from, const std::string& to) override;
  rocksdb::Status LinkFile(const std::string& from, const std::string& to) override;
  rocksdb::Status NumFileLinks(const std::string& name, std::uint64_t* count) override;
  rocksdb::Status AreFilesSame(const std::string& first, const std::string& second, bool* same) override;
  rocksdb::Status Truncate(const std::string& name, std::size_t size) override;
  rocksdb::Status LockFile(const std::string& name, rocksdb::FileLock** lock) override;
  rocksdb::Status UnlockFile(rocksdb::FileLock* lock) override;
  rocksdb::Status IsDirectory(const std::string& name, bool* is_folder) override;
  rocksdb::Status GetAbsolutePath(const std::string& name, std::string* path) override;

 private:
  friend class lossy_writable;
  friend class lossy_folder;
  /// A change of a folder that its sync would keep.
  struct Change {
    std::string removed;  ///< Empty: nothing is.
    std::string added;    ///< Empty: nothing is.
    std::shared_ptr<lossy_file> file;
  };

  std::shared_ptr<lossy_file> find(const std::string& name) const;
  void change(Change change);
  void before_change();
  void lose_power();
  kept_shares draw_kept();
  std::string after_loss(const lossy_file& file, const kept_shares& kept);
  void write(lossy_file& file, lossy_file::Write write);
  void sync(const std::string& name, const std::shared_ptr<lossy_file>& file);
  void sync_folder(const std::string& folder);
  bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }

  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  lossy_names names_;            ///< As programs see them.
  lossy_names synced_names_;     ///< What survives in any case.
  std::vector<Change> changes_;  ///< Not synced, in their order.
  lossy_names left_;
  std::optional<kept_shares> kept_;
  std::size_t changes_left_ = 0;  ///< Until power is lost; 0: not decided.
  std::atomic<bool> has_lost_power_ = false;
};

}  // namespace madderdeck::tests
