#pragma once
/// @file Interface that reports when disk operations begin and end, so that an operation that hangs can be detected.

#include <cstddef>
#include <string_view>

namespace madderdeck::ledger {

/// Disk operations that may block their thread.
enum class disk_operation { open, read, write, sync };
inline constexpr std::size_t kDiskOperations = 4;

/// @return the stable name of @p operation, for logs.
constexpr std::string_view disk_operation_name(disk_operation operation) {
  switch (operation) {
    case disk_operation::open:
      return "open";
    case disk_operation::read:
      return "read";
    case disk_operation::write:
      return "write";
    case disk_operation::sync:
      return "sync";
  }
  return "unknown";
}

/// Called on the thread of the operation. Operations of one kind may be nested and run on one thread at a time.
class disk_observer {
 public:
  virtual ~disk_observer() = default;
  virtual void began(disk_operation operation) = 0;
  virtual void ended(disk_operation operation) = 0;
  /// @param count callers that wait for a sync now, for the one in progress and the next one.
  virtual void callers_waiting(std::size_t count) = 0;
};

/// Reports an operation that lasts as long as this object.
class observed_operation {
 public:
  /// @param observer may be null.
  observed_operation(disk_observer* observer, disk_operation operation) : observer_(observer), operation_(operation) {
    if (observer_ != nullptr) {
      observer_->began(operation_);
    }
  }
  ~observed_operation() {
    if (observer_ != nullptr) {
      observer_->ended(operation_);
    }
  }
  observed_operation(const observed_operation&) = delete;
  observed_operation& operator=(const observed_operation&) = delete;

 private:
  disk_observer* const observer_;
  const disk_operation operation_;
};

}  // namespace madderdeck::ledger
