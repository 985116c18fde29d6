#include "ledger/rocksdb_disk_opener.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace madderdeck::ledger {

bool is_worth_another_attempt(const Error& error) {
  return error.kind == ErrorKind::storage_unwritable || error.kind == ErrorKind::unavailable;
}

disk_opener::disk_opener(std::string folder, std::uint64_t random, Executors executors, disk_opener_hooks hooks)
    : folder_(std::move(folder)),
      random_(random),
      executors_(std::move(executors)),
      hooks_(std::move(hooks)),
      pause_(kReopenAfter) {}

void disk_opener::start() { schedule(); }

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
