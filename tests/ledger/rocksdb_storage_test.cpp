#include "ledger/rocksdb_storage.hpp"

#include <catch2/catch.hpp>

#include <rocksdb/env.h>

#include <deque>
#include <optional>
#include <utility>

#include "support/temporary_disk.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::TemporaryDisk;

namespace {

/// Queues the storage's background tasks until the test runs them.
class QueuedTasks {
 public:
  Executors executors() {
    return {[this](std::function<void()> task) { tasks_.push_back(std::move(task)); },
            [this](const std::function<void()>& task) {
              if (holds_owner) {
                owner_.push_back(task);
              } else {
                task();
              }
            },
            [this](Duration, std::function<void()> task) { later_.push_back(std::move(task)); }};
  }
  std::size_t waiting() const { return tasks_.size(); }
  void run_owner() {
    holds_owner = false;
    for (const auto& task : std::exchange(owner_, {})) {
      task();
    }
  }
  bool holds_owner = false;  ///< Whether the owner's tasks wait for run_owner(), as if its thread were busy.
  /// Runs the delayed tasks and the background tasks that they start.
  void pass_time() {
    for (const auto& task : std::exchange(later_, {})) {
      task();
    }
    while (!tasks_.empty()) {
      run_one();
    }
  }
  void run_one() {
    REQUIRE_FALSE(tasks_.empty());
    const auto task = std::move(tasks_.front());
    tasks_.pop_front();
    task();
  }

 private:
  std::deque<std::function<void()>> tasks_;
  std::vector<std::function<void()>> later_;
  std::vector<std::function<void()>> owner_;
};

/// A file system whose writes or syncs can be made to fail.
class RefusingFiles : public rocksdb::EnvWrapper {
 public:
  RefusingFiles() : EnvWrapper(rocksdb::Env::Default()) {}
  rocksdb::Status NewWritableFile(const std::string& name, std::unique_ptr<rocksdb::WritableFile>* file,
                                  const rocksdb::EnvOptions& options) override {
    if (refuses_writes) {
      return refusal();
    }
    const rocksdb::Status status = EnvWrapper::NewWritableFile(name, file, options);
    if (status.ok()) {
      *file = std::make_unique<File>(*this, std::move(*file));
    }
    return status;
  }
  bool refuses_writes = false;
  bool refuses_syncs = false;
  bool full = false;  ///< Whether calls fail with "no space" instead of an I/O error.

 private:
  class File : public rocksdb::WritableFileWrapper {
   public:
    File(const RefusingFiles& files, std::unique_ptr<rocksdb::WritableFile> file)
        : WritableFileWrapper(file.get()), files_(files), file_(std::move(file)) {}
    rocksdb::Status Append(const rocksdb::Slice& bytes) override {
      return files_.refuses_writes ? files_.refusal() : WritableFileWrapper::Append(bytes);
    }
    rocksdb::Status Append(const rocksdb::Slice& bytes, const rocksdb::DataVerificationInfo& check) override {
      return files_.refuses_writes ? files_.refusal() : WritableFileWrapper::Append(bytes, check);
    }
    rocksdb::Status Sync() override { return files_.refuses_syncs ? files_.refusal() : WritableFileWrapper::Sync(); }
    rocksdb::Status Fsync() override { return files_.refuses_syncs ? files_.refusal() : WritableFileWrapper::Fsync(); }

   private:
    const RefusingFiles& files_;
    const std::unique_ptr<rocksdb::WritableFile> file_;
  };
  rocksdb::Status refusal() const {
    return full ? rocksdb::Status::NoSpace("refused") : rocksdb::Status::IOError("refused");
  }
};

struct StorageFixture {
  StorageFixture() {
    auto opened = RocksDbStorage::open(folder.path().string(), tasks.executors(), &files);
    REQUIRE(succeeded(opened));
    storage = std::move(value_of(opened));
    DiskFailureHooks hooks;
    hooks.refused = [this](const Error& error) {
      CHECK(error.kind == ErrorKind::storage_unwritable);
      ++refused;
    };
    hooks.reopen_failed = [this](const Error&) { ++reopen_failed; };
    hooks.regained = [this] { ++regained; };
    storage->set_hooks(std::move(hooks));
  }
  void flush() {
    storage->flush([this](const Status& status) { ++(succeeded(status) ? flushed : failed); });
  }
  std::optional<wire::Bytes> read(const std::string& key) const {
    const auto value = storage->get(key);
    REQUIRE(succeeded(value));
    return value_of(value);
  }
  TemporaryDisk folder;
  RefusingFiles files;
  QueuedTasks tasks;
  std::unique_ptr<RocksDbStorage> storage;
  unsigned flushed = 0;
  unsigned failed = 0;
  unsigned refused = 0;
  unsigned reopen_failed = 0;
  unsigned regained = 0;
};

}  // namespace

TEST_CASE("storage knows whether a power loss would remove anything") {
  StorageFixture fixture;
  CHECK_FALSE(fixture.storage->has_unflushed());
  fixture.storage->put("k", {1});
  CHECK(fixture.storage->has_unflushed());
  fixture.flush();
  CHECK(fixture.storage->has_unflushed());
  fixture.storage->put("k", {2});
  fixture.flush();
  fixture.tasks.run_one();
  CHECK(fixture.flushed == 1);
  CHECK(fixture.storage->has_unflushed());  // the second write came after the start of that sync
  fixture.tasks.run_one();
  CHECK(fixture.flushed == 2);
  CHECK_FALSE(fixture.storage->has_unflushed());
}

TEST_CASE("readers that a queued sync covers share it") {
  constexpr unsigned kReaders = 100;
  StorageFixture fixture;
  fixture.storage->put("k", {1});
  for (unsigned reader = 0; reader < kReaders; ++reader) {
    fixture.flush();
  }
  CHECK(fixture.tasks.waiting() == 1);
  fixture.tasks.run_one();
  CHECK(fixture.flushed == kReaders);
  CHECK(fixture.tasks.waiting() == 0);
}

TEST_CASE("a disk that refuses writes for a while is used again, and only what is synced then is confirmed") {
  StorageFixture fixture;
  SECTION("the device fails") {}
  SECTION("no space is left") { fixture.files.full = true; }
  fixture.storage->put("before", {1});
  fixture.flush();
  fixture.tasks.run_one();
  REQUIRE(fixture.flushed == 1);

  fixture.files.refuses_writes = true;
  fixture.storage->put("during", {1});
  fixture.flush();
  CHECK(fixture.refused == 1);
  CHECK(fixture.failed == 1);
  CHECK(fixture.storage->has_unflushed());
  CHECK_FALSE(succeeded(fixture.storage->get("before")));
  fixture.tasks.pass_time();
  fixture.tasks.pass_time();
  CHECK(fixture.reopen_failed == 2);
  CHECK(fixture.regained == 0);
  fixture.storage->put("during", {2});
  fixture.flush();
  CHECK(fixture.failed == 2);

  fixture.files.refuses_writes = false;
  fixture.tasks.pass_time();
  CHECK(fixture.regained == 1);
  CHECK(fixture.refused == 1);
  CHECK(fixture.flushed == 1);
  CHECK_FALSE(fixture.storage->has_unflushed());
  CHECK(fixture.read("before") == wire::Bytes{1});
  CHECK_FALSE(fixture.read("during").has_value());
  fixture.storage->put("after", {1});
  fixture.flush();
  fixture.tasks.run_one();
  CHECK(fixture.flushed == 2);
  CHECK(fixture.failed == 2);
}

TEST_CASE("a write whose sync was refused is not confirmed by a later sync") {
  StorageFixture fixture;
  fixture.storage->put("k", {1});
  fixture.flush();
  fixture.storage->put("k", {2});
  fixture.flush();  // waits for the next sync
  fixture.files.refuses_syncs = true;
  fixture.tasks.run_one();
  CHECK(fixture.failed == 2);
  fixture.files.refuses_syncs = false;
  fixture.tasks.pass_time();
  CHECK(fixture.regained == 1);
  CHECK(fixture.flushed == 0);
  fixture.storage->put("k", {3});
  fixture.flush();
  fixture.tasks.run_one();
  CHECK(fixture.flushed == 1);
  CHECK(fixture.read("k") == wire::Bytes{3});
}

TEST_CASE("a write that is refused during a sync fails all waiting flushes") {
  StorageFixture fixture;
  fixture.storage->put("k", {1});
  fixture.flush();
  fixture.files.refuses_writes = true;
  fixture.storage->put("k", {2});
  fixture.flush();
  fixture.files.refuses_writes = false;
  fixture.tasks.run_one();
  CHECK(fixture.failed == 2);
  CHECK(fixture.flushed == 0);
  fixture.tasks.pass_time();
  CHECK(fixture.regained == 1);
  CHECK(fixture.read("k") == wire::Bytes{1});
}

TEST_CASE("a write between a refused sync and the report of the refusal is not confirmed") {
  StorageFixture fixture;
  fixture.storage->put("k", {1});
  fixture.flush();
  fixture.tasks.holds_owner = true;
  fixture.files.refuses_syncs = true;
  fixture.tasks.run_one();
  fixture.files.refuses_syncs = false;
  fixture.storage->put("k", {2});
  fixture.flush();
  fixture.tasks.run_owner();
  CHECK(fixture.failed == 2);
  CHECK(fixture.refused == 1);
  fixture.tasks.pass_time();
  CHECK(fixture.regained == 1);
  CHECK(fixture.flushed == 0);
}
