#include "ledger/rocksdb_disk_opener.hpp"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <utility>

namespace madderdeck::ledger {

bool is_worth_another_attempt(const Error& error) {
  return error.kind == ErrorKind::storage_unwritable || error.kind == ErrorKind::unavailable;
}

/// The first attempt, as both threads see it.
struct disk_opener::First {
  std::mutex mutex;
  std::condition_variable ended;
  std::optional<Result<OpenedDisk>> outcome;
  bool is_left_to_hooks = false;
};

disk_opener::disk_opener(std::string folder, std::uint64_t random, Executors executors, disk_opener_hooks hooks)
    : folder_(std::move(folder)),
      random_(random),
      executors_(std::move(executors)),
      hooks_(std::move(hooks)),
      first_(std::make_shared<First>()),
      pause_(kReopenAfter) {}

void disk_opener::begin() {
  executors_.background([this] {
    auto opened = std::make_shared<Result<OpenedDisk>>(open_disk(folder_, random_, executors_));
    const std::lock_guard lock(first_->mutex);
    if (first_->is_left_to_hooks) {
      executors_.owner([this, opened] { finish(std::move(*opened)); });
      return;
    }
    first_->outcome = std::move(*opened);
    first_->ended.notify_all();
  });
}

std::optional<Result<OpenedDisk>> disk_opener::wait(Duration patience) {
  std::unique_lock lock(first_->mutex);
  if (!first_->ended.wait_for(lock, patience, [this] { return first_->outcome.has_value(); })) {
    first_->is_left_to_hooks = true;
    return std::nullopt;
  }
  return std::exchange(first_->outcome, std::nullopt);
}

void disk_opener::try_again() { schedule(); }

void disk_opener::schedule() {
  executors_.after(pause_, [this] { attempt(); });
  pause_ = std::min(pause_ * 2, kMostReopenAfter);
}

void disk_opener::attempt() {
  executors_.background([this] {
    // Tasks are copied.
    auto opened = std::make_shared<Result<OpenedDisk>>(open_disk(folder_, random_, executors_));
    executors_.owner([this, opened] { finish(std::move(*opened)); });
  });
}

void disk_opener::finish(Result<OpenedDisk> opened) {
  if (succeeded(opened)) {
    hooks_.opened(std::move(value_of(opened)));
    return;
  }
  if (!is_worth_another_attempt(error_of(opened))) {
    hooks_.given_up(error_of(opened));
    return;
  }
  hooks_.refused(error_of(opened));
  schedule();
}

}  // namespace madderdeck::ledger
