#include "node/disk_watch.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include "ledger/rocksdb_storage.hpp"
#include "support/held_files.hpp"
#include "support/temporary_disk.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using node::disk_watch;
using node::slow_disk_operation;
using tests::held_call;
using tests::held_files;

namespace {

constexpr auto kStuck = 30s;

/// Collects the reports of a disk watch.
class slow_operation_reports {
 public:
  disk_watch::ReportHandler tell() {
    return [this](const slow_disk_operation& slow) {
      const std::lock_guard lock(mutex_);
      lines_.push_back(slow);
      changed_.notify_all();
    };
  }
  /// Waits for a report for which @p wanted returns true.
  slow_disk_operation await(const std::function<bool(const slow_disk_operation&)>& wanted) {
    std::unique_lock lock(mutex_);
    const auto find = [&] { return std::find_if(lines_.begin(), lines_.end(), wanted); };
    REQUIRE(changed_.wait_for(lock, kStuck, [&] { return find() != lines_.end(); }));
    return *find();
  }
  std::size_t count() {
    const std::lock_guard lock(mutex_);
    return lines_.size();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<slow_disk_operation> lines_;
};

/// A database whose file operations can be blocked; each operation runs on a separate thread.
class held_database {
 public:
  held_database() {
    REQUIRE(succeeded(thread_.start()));
    Executors executors = tests::inline_executors();
    executors.observer = &watch_;
    auto opened = RocksDbStorage::open(disk_.path().string(), executors, &files_);
    REQUIRE(succeeded(opened));
    storage_ = std::move(value_of(opened));
  }
  /// Runs @p task while @p call is blocked until the watch has reported the slow operation, then unblocks @p call and
  /// waits until the watch has reported the end.
  slow_disk_operation hang(held_call call, disk_operation operation, const std::function<void()>& task) {
    files_.calls().hold(call);
    std::thread thread(task);
    const slow_disk_operation begun =
        lines_.await([&](const slow_disk_operation& slow) { return slow.operation == operation && !slow.has_ended; });
    files_.calls().release(call);
    thread.join();
    const slow_disk_operation ended =
        lines_.await([&](const slow_disk_operation& slow) { return slow.operation == operation && slow.has_ended; });
    CHECK(ended.lasts >= begun.lasts);
    return begun;
  }
  RocksDbStorage& storage() { return *storage_; }
  slow_operation_reports& lines() { return lines_; }

 private:
  const tests::TemporaryDisk disk_;
  held_files files_;
  slow_operation_reports lines_;
  process::worker thread_{"disk-watch"};
  disk_watch watch_{lines_.tell(), thread_};
  std::unique_ptr<RocksDbStorage> storage_;
};

}  // namespace

TEST_CASE("a write and a sync that hang are reported while they hang and when they have ended") {
  held_database database;
  const slow_disk_operation write =
      database.hang(held_call::write, disk_operation::write, [&] { database.storage().put("a", {1}); });
  CHECK(write.lasts >= disk_watch::kSlowAfter);
  const slow_disk_operation sync =
      database.hang(held_call::sync, disk_operation::sync, [&] { database.storage().flush([](const Status&) {}); });
  CHECK(sync.lasts >= disk_watch::kSlowAfter);
  CHECK(sync.callers_waiting == 1);
}

TEST_CASE("fast disk operations are not reported") {
  held_database database;
  for (std::uint8_t number = 0; number < 100; ++number) {
    database.storage().put("a", {number});
    tests::flush(database.storage());
  }
  CHECK(database.lines().count() == 0);
}
