/// Calls to the disk that hang: reads and writes continue as far as possible, and everything is confirmed afterwards.
#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "ledger/rocksdb_storage.hpp"
#include "support/held_files.hpp"
#include "support/temporary_disk.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using namespace std::chrono_literals;
using tests::held_call;
using tests::held_files;

namespace {

namespace asio = boost::asio;
constexpr auto kStuck = 30s;
constexpr auto kShort = 200ms;

/// A database that this test owns; its syncs run on a separate thread, as in a node.
class owned_database {
 public:
  owned_database() {
    Executors executors;
    executors.background = [this](std::function<void()> task) { asio::post(background_, std::move(task)); };
    executors.owner = [this](std::function<void()> task) { asio::post(owner_, std::move(task)); };
    auto opened = RocksDbStorage::open(disk_.path().string(), executors, &files_);
    REQUIRE(succeeded(opened));
    storage_ = std::move(value_of(opened));
  }
  ~owned_database() {
    files_.calls().release(held_call::sync);
    files_.calls().release(held_call::write);
    background_.join();
  }
  /// Writes record @p number and requests a sync.
  void write(std::uint8_t number) {
    storage_->put(key_of(number), {number});
    storage_->flush([this](const Status& status) { (succeeded(status) ? confirmed_ : failed_)++; });
  }
  bool holds(std::uint8_t number) const {
    const auto found = storage_->get(key_of(number));
    return succeeded(found) && value_of(found) == wire::Bytes{number};
  }
  std::size_t count() const {
    std::size_t found = 0;
    const Status scanned = storage_->scan("a/", "", [&found](std::string_view, std::string_view) {
      ++found;
      return true;
    });
    return succeeded(scanned) ? found : 0;
  }
  /// Runs the owner's tasks until @p wanted writes are confirmed, or for @p patience.
  void run_until_confirmed(unsigned wanted, std::chrono::milliseconds patience) {
    const auto end = std::chrono::steady_clock::now() + patience;
    while (confirmed_ < wanted && std::chrono::steady_clock::now() < end) {
      owner_.restart();
      owner_.run_for(10ms);
    }
  }
  tests::held_calls& calls() { return files_.calls(); }
  unsigned confirmed() const { return confirmed_; }
  unsigned failed() const { return failed_; }

 private:
  static std::string key_of(std::uint8_t number) { return "a/" + std::to_string(number); }

  const tests::TemporaryDisk disk_;
  held_files files_;
  asio::io_context owner_;
  asio::thread_pool background_{1};
  std::unique_ptr<RocksDbStorage> storage_;
  unsigned confirmed_ = 0;
  unsigned failed_ = 0;
};

}  // namespace

TEST_CASE("while a sync of the disk hangs its owner continues to read and write, and is notified when the sync ends") {
  owned_database database;
  database.calls().hold(held_call::sync);
  database.write(1);
  database.calls().await_held(held_call::sync);
  for (std::uint8_t number = 2; number <= 100; ++number) {
    database.write(number);
    CHECK(database.holds(number));
  }
  CHECK(database.count() == 100);
  database.run_until_confirmed(1, kShort);
  CHECK(database.confirmed() == 0);
  database.calls().release(held_call::sync);
  database.run_until_confirmed(100, kStuck);
  CHECK(database.confirmed() == 100);
  CHECK(database.failed() == 0);
}

TEST_CASE("a write that the disk delays is stored and confirmed once the disk answers") {
  owned_database database;
  database.calls().hold(held_call::write);
  const auto released = std::async(std::launch::async, [&database] {
    database.calls().await_held(held_call::write);
    std::this_thread::sleep_for(kShort);
    database.calls().release(held_call::write);
  });
  const auto began = std::chrono::steady_clock::now();
  database.write(1);
  // The write blocks the owner until the disk answers.
  CHECK(std::chrono::steady_clock::now() - began >= kShort);
  database.run_until_confirmed(1, kStuck);
  CHECK(database.confirmed() == 1);
  CHECK(database.holds(1));
}
