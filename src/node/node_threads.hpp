#pragma once
/// @file Threads of a node besides its first one. They exist before the node, so that a refused one delays its start.

#include <cstddef>

#include "common/error.hpp"
#include "process/worker.hpp"

namespace madderdeck::node {

struct node_threads {
  process::worker disk_tasks{"disk"};        ///< Runs the disk's operations that may block; only with a disk.
  process::worker disk_watch{"disk-watch"};  ///< Only with a disk.

  /// Checks that threads and memory for a start can be had, also those that the database takes later, and creates the
  /// threads.
  /// @return ErrorKind::unavailable if something is refused; a later call may succeed.
  Status start(bool with_disk);
};

}  // namespace madderdeck::node
