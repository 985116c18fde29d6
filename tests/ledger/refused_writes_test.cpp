/// Guards against processes that abort when their disk is full: "Assertion `sync_without_flush_called_' failed" within
/// the database. System calls are made to fail here, below everything that the database does, since its info log
/// aborted the process with the second line that could not be written. A file system that a test passes to the database
/// does not show this, as the database opens the info log itself.
#include <catch2/catch.hpp>

#include <unistd.h>

#include <signal.h>

#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "bench/process.hpp"
#include "bench/write_refusal.hpp"
#include "support/temporary_disk.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using namespace std::chrono_literals;

namespace {

constexpr char kDiskVariable[] = "MADDERDECK_TEST_DISK";
constexpr auto kStuck = 30s;
constexpr std::size_t kValueBytes = 300'000;  ///< Large enough that tables are written, too.
constexpr unsigned kValuesAtOnce = 20;
constexpr unsigned kRounds = 3;

/// One thread that runs tasks in their order, some after a delay.
class task_thread {
 public:
  task_thread() : thread_([this] { run(); }) {}
  ~task_thread() {
    post([this] { ends_ = true; });
    thread_.join();
  }
  void post(std::function<void()> task, Duration delay = {}) {
    const std::lock_guard lock(mutex_);
    tasks_.emplace(std::chrono::steady_clock::now() + delay, std::move(task));
    changed_.notify_one();
  }

 private:
  void run() {
    while (!ends_) {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return !tasks_.empty(); });
      const auto due = tasks_.begin()->first;
      if (due > std::chrono::steady_clock::now()) {
        changed_.wait_until(lock, due);
        continue;
      }
      const auto task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      lock.unlock();
      task();
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> tasks_;
  bool ends_ = false;
  std::thread thread_;
};

std::string binaries() { return std::filesystem::read_symlink("/proc/self/exe").parent_path().string(); }

/// Writes until each of @p batches is confirmed, and retries those whose write is refused.
class confirming_writer {
 public:
  explicit confirming_writer(const std::string& folder) {
    Executors executors;
    executors.background = [this](std::function<void()> task) { background_.post(std::move(task)); };
    executors.owner = [this](std::function<void()> task) { owner_.post(std::move(task)); };
    executors.after = [this](Duration delay, std::function<void()> task) { owner_.post(std::move(task), delay); };
    auto opened = open_disk(folder, 1, executors);
    REQUIRE(succeeded(opened));
    disk_ = std::move(value_of(opened));
  }
  /// @return whether @p batch was confirmed.
  bool write(unsigned batch) {
    std::promise<bool> confirmed;
    owner_.post([&] {
      for (unsigned number = 0; number < kValuesAtOnce; ++number) {
        disk_.storage->put(key_of(batch, number), wire::Bytes(kValueBytes, static_cast<std::uint8_t>(batch)));
      }
      disk_.storage->flush([&confirmed](const Status& status) { confirmed.set_value(succeeded(status)); });
    });
    return confirmed.get_future().get();
  }
  bool holds(unsigned batch) {
    std::promise<bool> held;
    owner_.post([&] {
      bool all = true;
      for (unsigned number = 0; number < kValuesAtOnce; ++number) {
        const auto value = disk_.storage->get(key_of(batch, number));
        all = all && succeeded(value) && value_of(value).has_value();
      }
      held.set_value(all);
    });
    return held.get_future().get();
  }
  static std::string key_of(unsigned batch, unsigned number) {
    return "a/0000/" + std::to_string(batch) + "/" + std::to_string(number);
  }

 private:
  OpenedDisk disk_;
  task_thread background_;
  task_thread owner_;
};

}  // namespace

// Runs in a child process that the test below starts.
TEST_CASE("writes go on as long as the disk allows", "[.][child]") {
  const char* folder = std::getenv(kDiskVariable);
  if (folder == nullptr) {
    return;  // not started by that test
  }
  ::signal(SIGXFSZ, SIG_IGN);
  confirming_writer writer(folder);
  unsigned batch = 0;
  REQUIRE(writer.write(batch));
  for (unsigned round = 0; round < kRounds; ++round) {
    std::set<unsigned> confirmed;
    std::thread fault_thread([&] {
      std::this_thread::sleep_for(100ms);
      CHECK(succeeded(bench::refuse_writes(0, true)));
      std::this_thread::sleep_for(700ms);
      CHECK(succeeded(bench::refuse_writes(0, false)));
    });
    const auto began = std::chrono::steady_clock::now();
    unsigned refused = 0;
    bool regained = false;
    while (!regained && std::chrono::steady_clock::now() - began < kStuck) {
      if (writer.write(++batch)) {
        confirmed.insert(batch);
        regained = refused > 0;
      } else {
        ++refused;
        std::this_thread::sleep_for(20ms);
      }
    }
    fault_thread.join();
    CHECK(regained);
    for (const unsigned one : confirmed) {
      CHECK(writer.holds(one));
    }
  }
}

TEST_CASE("a disk whose writes the kernel refuses does not end the process, and is used again") {
  const tests::TemporaryDisk place;
  const std::string folder = (place.path() / "disk").string();
  const std::string log = (place.path() / "log").string();
  bench::Process process;
  REQUIRE(succeeded(process.start(binaries() + "/madderdeck-tests", {"writes go on as long as the disk allows"}, log,
                                  {{kDiskVariable, folder}})));
  const auto began = std::chrono::steady_clock::now();
  while (!process.poll_ended() && std::chrono::steady_clock::now() - began < 4 * kStuck) {
    std::this_thread::sleep_for(20ms);
  }
  std::ifstream lines(log);
  const std::string output{std::istreambuf_iterator<char>(lines), {}};
  INFO(output);
  CHECK_FALSE(process.running());
  CHECK(process.exit_code() == 0);
}
