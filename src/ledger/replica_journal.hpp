#pragma once
/// @file Logs each step of the replicas on this node's disk for operators. No decision depends on it.

#include <map>
#include <string>
#include <utility>

#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "ledger/replica.hpp"

namespace madderdeck::ledger {

/// Writes a log line for each epoch that a replica enters, each copy that it needs before it votes, the progress of
/// long copies, each admission, and groups that receive no requests. Owned by one node, single-threaded.
class replica_journal {
 public:
  replica_journal(Environment& environment, DecisionLog& log, Replica& replica);

  /// Installs the replica's callbacks; has to be called before the replica restores its groups.
  void start();

 private:
  /// A copy whose progress is being logged.
  struct reported_copy {
    Timestamp began_at{};        ///< Identifies the copy.
    Timestamp next_report_at{};  ///< When the next line is due.
    Duration pause{};            ///< Interval between the latest line and the next one.
    std::uint64_t pages = 0;     ///< Number of pages received by the time of the latest line.
  };

  void report_epoch(const epoch_step& step);
  void report_copy_begun(std::uint32_t group, std::uint64_t epoch);
  void report_admitted(std::uint32_t group, std::uint64_t epoch);
  /// Logs an answer that differs from the previous one for the same group, since offers are repeated.
  void report_place_answered(const place_offer& offer, wire::PlaceConsent answer);
  void report_progress(std::uint32_t group, const copy_progress& copy);
  /// Logs the progress of the copies whose lines are due, and schedules the next check while there are copies.
  void report_due_copies();
  void schedule_copy_report();
  /// Logs the groups of this disk that receive no requests, at increasing intervals.
  void report_unasked_groups();
  /// @return for each source what has been received from it, and for how long its next page has been pending.
  std::string describe_sources(std::uint32_t group, const copy_progress& copy) const;

  Environment& environment_;
  DecisionLog& log_;
  Replica& replica_;
  std::map<std::uint32_t, reported_copy> copies_;
  /// The epoch and the latest answer to the offer of a place, by group.
  std::map<std::uint32_t, std::pair<std::uint64_t, wire::PlaceConsent>> reported_places_;
  bool copy_report_scheduled_ = false;
  Timestamp next_unasked_report_at_{};  ///< Earliest time of the next line; zero: none was logged since a group last
                                        ///< received a request.
  Duration unasked_pause_{};
  Lifetime lifetime_;
};

}  // namespace madderdeck::ledger
