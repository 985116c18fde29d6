#include "process/worker.hpp"

#include <utility>

#include "process/thread.hpp"

namespace madderdeck::process {

worker::worker(std::string name) : name_(std::move(name)) {}

worker::~worker() { join(); }

Status worker::start() {
  if (thread_.joinable()) {
    return Ok{};
  }
  auto created = start_thread(name_, [this] { run(); });
  if (!succeeded(created)) {
    return error_of(created);
  }
  thread_ = std::move(value_of(created));
  return Ok{};
}

void worker::post(Task task) {
  const std::lock_guard lock(mutex_);
  tasks_.push_back(std::move(task));
  changed_.notify_one();
}

void worker::join() {
  if (!thread_.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    ends_ = true;
    changed_.notify_one();
  }
  thread_.join();
}

void worker::run() {
  std::unique_lock lock(mutex_);
  while (!ends_ || !tasks_.empty()) {
    changed_.wait(lock, [this] { return ends_ || !tasks_.empty(); });
    if (tasks_.empty()) {
      continue;
    }
    Task task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    task = nullptr;  // what it holds may post when it is destroyed
    lock.lock();
  }
}

}  // namespace madderdeck::process
