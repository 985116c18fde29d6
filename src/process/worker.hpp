#pragma once
/// @file One thread that runs tasks in the order in which they were posted.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "common/error.hpp"

namespace madderdeck::process {

/// Thread safe, but for start() and join(), which belong to the owner.
class worker {
 public:
  using Task = std::function<void()>;

  /// @param name of the thread, at most 15 characters
  explicit worker(std::string name);
  /// Runs the tasks that were posted, then ends the thread.
  ~worker();
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

  /// Creates the thread; no effect if it exists.
  /// @return ErrorKind::unavailable if the system refuses it; a later call may succeed.
  Status start();
  /// Tasks posted before start() run after it.
  void post(Task task);
  /// Runs the tasks that were posted and those that they post, then ends the thread. Tasks posted later do not run.
  void join();

 private:
  void run();

  const std::string name_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Task> tasks_;
  bool ends_ = false;
  std::thread thread_;
};

}  // namespace madderdeck::process
