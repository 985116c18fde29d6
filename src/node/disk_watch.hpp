#pragma once
/// @file Reports slow disk operations, also while they are still running.

#include <array>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>

#include "ledger/disk_observer.hpp"
#include "process/worker.hpp"

namespace madderdeck::node {

/// A disk operation that takes at least disk_watch::kSlowAfter.
struct slow_disk_operation {
  ledger::disk_operation operation = ledger::disk_operation::open;
  std::chrono::milliseconds lasts{};  ///< Duration so far; total duration if the operation has ended.
  std::size_t callers_waiting = 0;    ///< Callers that wait for a sync.
  bool has_ended = false;
};

/// Checks the running operations on a separate thread, since the node's thread may be waiting for the disk.
class disk_watch : public ledger::disk_observer {
 public:
  using clock = std::chrono::steady_clock;
  using ReportHandler = std::function<void(const slow_disk_operation&)>;

  /// An operation is first reported after this time, then each time its duration has doubled (but at least every
  /// kMaxReportInterval), and when it has ended.
  static constexpr std::chrono::milliseconds kSlowAfter{1000};
  static constexpr std::chrono::milliseconds kMaxReportInterval{60'000};

  /// @param report called with each slow operation, on any thread.
  /// @param thread started, and used by nobody else as long as this object exists
  disk_watch(ReportHandler report, process::worker& thread);
  ~disk_watch() override;
  disk_watch(const disk_watch&) = delete;
  disk_watch& operator=(const disk_watch&) = delete;

  void began(ledger::disk_operation operation) override;
  void ended(ledger::disk_operation operation) override;
  void callers_waiting(std::size_t count) override;

 private:
  struct Kind {
    unsigned depth = 0;
    clock::time_point began{};
    clock::duration next_report_after{};
  };
  Kind& kind_of(ledger::disk_operation operation) { return kinds_.at(static_cast<std::size_t>(operation)); }
  void watch();
  void check_operations(std::unique_lock<std::mutex>& lock);

  const ReportHandler report_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::array<Kind, ledger::kDiskOperations> kinds_;
  std::size_t callers_waiting_ = 0;
  bool ends_ = false;
  bool has_ended_ = false;
};

}  // namespace madderdeck::node
