#include "ledger/rocksdb_disk_opener.hpp"

#include <algorithm>
#include <atomic>
#include <future>
#include <utility>

namespace madderdeck::ledger {

bool is_retryable(const Error& error) {
  return error.kind == ErrorKind::storage_unwritable || error.kind == ErrorKind::unavailable;
}

bool is_damage(const Error& error) { return error.kind == ErrorKind::corrupted; }

/// State of the first attempt, shared by both threads.
struct disk_opener::FirstAttempt {
  enum class State { under_way, ended, left_to_hooks };
  std::optional<Result<OpenedDisk>> outcome;
  std::promise<void> ended;
  std::atomic<State> state = State::under_way;
};

disk_opener::disk_opener(std::string folder, std::uint64_t random, Executors executors, disk_opener_hooks hooks)
    : folder_(std::move(folder)),
      random_(random),
      executors_(std::move(executors)),
      hooks_(std::move(hooks)),
      first_(std::make_shared<FirstAttempt>()),
      pause_(kReopenDelay) {}

void disk_opener::begin() {
  executors_.background([this] {
    FirstAttempt& first = *first_;
    first.outcome = open_disk(folder_, random_, executors_);
    if (first.state.exchange(FirstAttempt::State::ended) == FirstAttempt::State::left_to_hooks) {
      executors_.owner([this] { finish(std::move(*first_->outcome)); });
      return;
    }
    first.ended.set_value();
  });
}

std::optional<Result<OpenedDisk>> disk_opener::wait(Duration patience) {
  FirstAttempt& first = *first_;
  std::future<void> ended = first.ended.get_future();
  const bool is_late = ended.wait_for(patience) != std::future_status::ready;
  if (is_late && first.state.exchange(FirstAttempt::State::left_to_hooks) == FirstAttempt::State::under_way) {
    return std::nullopt;
  }
  ended.wait();
  return std::exchange(first.outcome, std::nullopt);
}

void disk_opener::try_again(const Error& error) {
  if (is_damage(error)) {
    executors_.after(kDamagedRetryInterval, [this] { attempt(); });
  } else {
    schedule_retry();
  }
}

void disk_opener::schedule_retry() {
  executors_.after(pause_, [this] { attempt(); });
  pause_ = std::min(pause_ * 2, kMaxReopenDelay);
}

void disk_opener::attempt() {
  executors_.background([this] {
    // Held by a shared pointer, since tasks have to be copyable.
    auto opened = std::make_shared<Result<OpenedDisk>>(open_disk(folder_, random_, executors_));
    executors_.owner([this, opened] { finish(std::move(*opened)); });
  });
}

void disk_opener::finish(Result<OpenedDisk> opened) {
  if (succeeded(opened)) {
    hooks_.opened(std::move(value_of(opened)));
    return;
  }
  const Error& error = error_of(opened);
  if (is_damage(error)) {
    hooks_.damaged(error);
  } else if (is_retryable(error)) {
    hooks_.refused(error);
  } else {
    hooks_.given_up(error);
    return;
  }
  try_again(error);
}

}  // namespace madderdeck::ledger
