#include "process/thread.hpp"

#include <pthread.h>
#include <sys/mman.h>

#include <condition_variable>
#include <cstring>
#include <cerrno>
#include <memory>
#include <mutex>
#include <new>
#include <system_error>
#include <utility>
#include <vector>

namespace madderdeck::process {
namespace {

constexpr std::size_t kMaxNameBytes = 15;  ///< Without the final zero; a limit of the kernel.

/// Threads wait at it until it is opened.
class gate {
 public:
  void pass() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return open_; });
  }
  void open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    changed_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false;
};

}  // namespace

Result<std::thread> start_thread(const std::string& name, std::function<void()> body) {
  try {
    return std::thread([name = name.substr(0, kMaxNameBytes), body = std::move(body)] {
      ::pthread_setname_np(::pthread_self(), name.c_str());
      body();
    });
  } catch (const std::system_error& refused) {
    return Error{ErrorKind::unavailable, "cannot create thread " + name + ": " + refused.code().message()};
  } catch (const std::bad_alloc&) {
    return Error{ErrorKind::unavailable, "cannot create thread " + name + ": no memory"};
  }
}

Status check_threads(std::size_t count) {
  gate all_created;
  std::vector<std::thread> threads;
  threads.reserve(count);
  Status outcome = Ok{};
  while (threads.size() < count && succeeded(outcome)) {
    auto created = start_thread("thread-check", [&all_created] { all_created.pass(); });
    if (succeeded(created)) {
      threads.push_back(std::move(value_of(created)));
    } else {
      outcome = Error{ErrorKind::unavailable, std::to_string(threads.size()) + " of " + std::to_string(count) +
                                                  " threads can be had: " + error_of(created).detail};
    }
  }
  all_created.open();
  for (std::thread& thread : threads) {
    thread.join();
  }
  return outcome;
}

Status check_memory(std::size_t bytes) {
  void* const mapped =
      ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
  if (mapped == MAP_FAILED) {
    return Error{ErrorKind::unavailable,
                 "cannot get " + std::to_string(bytes) + " bytes of memory: " + std::strerror(errno)};
  }
  ::munmap(mapped, bytes);
  return Ok{};
}

}  // namespace madderdeck::process
