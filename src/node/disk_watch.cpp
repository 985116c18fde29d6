#include "node/disk_watch.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace madderdeck::node {
namespace {

constexpr std::chrono::milliseconds kCheckInterval{250};

std::chrono::milliseconds in_milliseconds(disk_watch::clock::duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

disk_watch::disk_watch(ReportHandler report, process::worker& thread) : report_(std::move(report)) {
  thread.post([this] { watch(); });
}

disk_watch::~disk_watch() {
  std::unique_lock lock(mutex_);
  ends_ = true;
  changed_.notify_all();
  changed_.wait(lock, [this] { return has_ended_; });
}

void disk_watch::began(ledger::disk_operation operation) {
  const std::lock_guard lock(mutex_);
  Kind& kind = kind_of(operation);
  if (kind.depth++ == 0) {
    kind.began = clock::now();
    kind.next_report_after = kSlowAfter;
  }
}

void disk_watch::ended(ledger::disk_operation operation) {
  slow_disk_operation slow;
  {
    const std::lock_guard lock(mutex_);
    Kind& kind = kind_of(operation);
    if (--kind.depth > 0) {
      return;
    }
    slow = {operation, in_milliseconds(clock::now() - kind.began), callers_waiting_, true};
  }
  if (slow.lasts >= kSlowAfter) {
    report_(slow);
  }
}

void disk_watch::callers_waiting(std::size_t count) {
  const std::lock_guard lock(mutex_);
  callers_waiting_ = count;
}

void disk_watch::watch() {
  std::unique_lock lock(mutex_);
  while (!ends_) {
    changed_.wait_for(lock, kCheckInterval, [this] { return ends_; });
    check_operations(lock);
  }
  has_ended_ = true;
  changed_.notify_all();  // under the lock: the watch may be destroyed once it is released
}

void disk_watch::check_operations(std::unique_lock<std::mutex>& lock) {
  const auto now = clock::now();
  std::vector<slow_disk_operation> found;
  for (std::size_t number = 0; number < kinds_.size(); ++number) {
    Kind& kind = kinds_.at(number);
    const auto lasts = now - kind.began;
    if (kind.depth == 0 || lasts < kind.next_report_after) {
      continue;
    }
    kind.next_report_after = lasts + std::min<clock::duration>(lasts, kMaxReportInterval);
    found.push_back({static_cast<ledger::disk_operation>(number), in_milliseconds(lasts), callers_waiting_, false});
  }
  lock.unlock();
  for (const slow_disk_operation& slow : found) {
    report_(slow);
  }
  lock.lock();
}

}  // namespace madderdeck::node
