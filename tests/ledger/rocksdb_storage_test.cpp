#include "ledger/rocksdb_storage.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <utility>

#include "support/temporary_disk.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::TemporaryDisk;

namespace {

/// Keeps what storage runs in the background until it is told to run it.
class HeldTasks {
 public:
  Executors executors() {
    return {[this](std::function<void()> task) { tasks_.push_back(std::move(task)); },
            [](const std::function<void()>& task) { task(); }};
  }
  std::size_t waiting() const { return tasks_.size(); }
  void run_one() {
    REQUIRE_FALSE(tasks_.empty());
    const auto task = std::move(tasks_.front());
    tasks_.pop_front();
    task();
  }

 private:
  std::deque<std::function<void()>> tasks_;
};

struct StorageFixture {
  StorageFixture() {
    auto opened = RocksDbStorage::open(folder.path().string(), tasks.executors());
    REQUIRE(succeeded(opened));
    storage = std::move(value_of(opened));
  }
  void flush() {
    storage->flush([this](const Status& status) {
      REQUIRE(succeeded(status));
      ++flushed;
    });
  }
  TemporaryDisk folder;
  HeldTasks tasks;
  std::unique_ptr<RocksDbStorage> storage;
  unsigned flushed = 0;
};

}  // namespace

TEST_CASE("storage knows whether a loss of power would take something away") {
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
  CHECK(fixture.storage->has_unflushed());  // the second write came after that sync had begun
  fixture.tasks.run_one();
  CHECK(fixture.flushed == 2);
  CHECK_FALSE(fixture.storage->has_unflushed());
}

TEST_CASE("readers that a sync under way covers share it") {
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
