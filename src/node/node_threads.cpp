#include "node/node_threads.hpp"

#include "ledger/rocksdb_storage.hpp"
#include "process/thread.hpp"

namespace madderdeck::node {
namespace {

constexpr std::size_t kOwnThreads = 2;  ///< Disk tasks and disk watch.
/// Memory in bytes that any node takes from the end of its settings' reading to its start.
constexpr std::size_t kStartBytes = std::size_t{8} << 20;

}  // namespace

Status node_threads::start(bool with_disk) {
  const Status memory = process::check_memory(kStartBytes + (with_disk ? ledger::kOpeningBytes : 0));
  if (!succeeded(memory)) {
    return memory;
  }
  if (!with_disk) {
    return Ok{};
  }
  if (const Status threads = process::check_threads(kOwnThreads + ledger::kDatabaseThreads); !succeeded(threads)) {
    return threads;
  }
  const Status tasks = disk_tasks.start();
  return succeeded(tasks) ? disk_watch.start() : tasks;
}

}  // namespace madderdeck::node
