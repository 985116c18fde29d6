#pragma once
/// @file Files of a database whose writes, syncs or reads wait until they are released, as on a disk that hangs.

#include <rocksdb/env.h>

#include <array>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

namespace madderdeck::tests {

/// What can be held; each apart from the others.
enum class held_call { write, sync, read };

/// Which calls are held now. Thread safe.
class held_calls {
 public:
  void hold(held_call call) { set(call, true); }
  void release(held_call call) { set(call, false); }
  /// Waits while @p call is held.
  void pass(held_call call) {
    std::unique_lock lock(mutex_);
    ++waiting_.at(index(call));
    changed_.notify_all();
    changed_.wait(lock, [&] { return !held_.at(index(call)); });
    --waiting_.at(index(call));
  }
  /// Waits until somebody waits in @p call.
  void await_held(held_call call) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return held_.at(index(call)) && waiting_.at(index(call)) > 0; });
  }

 private:
  static std::size_t index(held_call call) { return static_cast<std::size_t>(call); }
  void set(held_call call, bool held) {
    const std::lock_guard lock(mutex_);
    held_.at(index(call)) = held;
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::array<bool, 3> held_{};
  std::array<unsigned, 3> waiting_{};
};

/// The system's files, held where held_calls says so.
class held_files : public rocksdb::EnvWrapper {
 public:
  held_files() : EnvWrapper(rocksdb::Env::Default()) {}
  held_calls& calls() { return calls_; }

  rocksdb::Status NewWritableFile(const std::string& name, std::unique_ptr<rocksdb::WritableFile>* file,
                                  const rocksdb::EnvOptions& options) override {
    const rocksdb::Status status = EnvWrapper::NewWritableFile(name, file, options);
    if (status.ok()) {
      *file = std::make_unique<writable>(std::move(*file), calls_);
    }
    return status;
  }
  rocksdb::Status NewRandomAccessFile(const std::string& name, std::unique_ptr<rocksdb::RandomAccessFile>* file,
                                      const rocksdb::EnvOptions& options) override {
    const rocksdb::Status status = EnvWrapper::NewRandomAccessFile(name, file, options);
    if (status.ok()) {
      *file = std::make_unique<readable>(std::move(*file), calls_);
    }
    return status;
  }
  rocksdb::Status NewSequentialFile(const std::string& name, std::unique_ptr<rocksdb::SequentialFile>* file,
                                    const rocksdb::EnvOptions& options) override {
    calls_.pass(held_call::read);
    return EnvWrapper::NewSequentialFile(name, file, options);
  }

 private:
  class writable : public rocksdb::WritableFileWrapper {
   public:
    writable(std::unique_ptr<rocksdb::WritableFile> file, held_calls& calls)
        : WritableFileWrapper(file.get()), file_(std::move(file)), calls_(calls) {}
    using WritableFileWrapper::Append;
    rocksdb::Status Append(const rocksdb::Slice& bytes) override {
      calls_.pass(held_call::write);
      return WritableFileWrapper::Append(bytes);
    }
    rocksdb::Status Sync() override {
      calls_.pass(held_call::sync);
      return WritableFileWrapper::Sync();
    }
    rocksdb::Status Fsync() override {
      calls_.pass(held_call::sync);
      return WritableFileWrapper::Fsync();
    }

   private:
    const std::unique_ptr<rocksdb::WritableFile> file_;
    held_calls& calls_;
  };
  class readable : public rocksdb::RandomAccessFileWrapper {
   public:
    readable(std::unique_ptr<rocksdb::RandomAccessFile> file, held_calls& calls)
        : RandomAccessFileWrapper(file.get()), file_(std::move(file)), calls_(calls) {}
    rocksdb::Status Read(std::uint64_t offset, std::size_t size, rocksdb::Slice* result, char* bytes) const override {
      calls_.pass(held_call::read);
      return RandomAccessFileWrapper::Read(offset, size, result, bytes);
    }

   private:
    const std::unique_ptr<rocksdb::RandomAccessFile> file_;
    held_calls& calls_;
  };

  held_calls calls_;
};

}  // namespace madderdeck::tests
