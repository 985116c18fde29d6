#pragma once
/// @file Tells operators of each step of the replicas on this node's disk: nothing is decided by it.

#include <map>
#include <string>
#include <utility>

#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "ledger/replica.hpp"

namespace madderdeck::ledger {

/// Writes one line for each epoch that a replica enters, each copy that it needs before it votes, the progress of
/// copies that last, each admission, and of groups that nobody asks for. Owned by one node, single threaded.
class replica_journal {
 public:
  replica_journal(Environment& environment, DecisionLog& log, Replica& replica);

  /// Takes the replica's callbacks; to be called before it restores its groups.
  void start();

 private:
  /// A copy that is being told of.
  struct told_copy {
    Timestamp began_at{};     ///< Of the copy that it is.
    Timestamp tell_at{};      ///< When the next line is due.
    Duration pause{};         ///< From the latest line to the next one.
    std::uint64_t pages = 0;  ///< That had come at the latest line.
  };

  void tell_epoch(const epoch_step& step);
  void tell_begun(std::uint32_t group, std::uint64_t epoch);
  void tell_admitted(std::uint32_t group, std::uint64_t epoch);
  /// Tells of an answer that differs from the one before for the same group: offers are repeated.
  void tell_place_answered(const place_offer& offer, wire::PlaceConsent answer);
  void tell_progress(std::uint32_t group, const copy_progress& copy);
  /// Tells of the copies whose lines are due, as long as there are any.
  void look_at_copies();
  void schedule_look();
  /// Tells of groups that nobody asks this disk for, with growing pauses.
  void look_at_unasked();
  /// @return for each source what has come from it, and for how long its next page has been waited for.
  std::string describe_sources(std::uint32_t group, const copy_progress& copy) const;

  Environment& environment_;
  DecisionLog& log_;
  Replica& replica_;
  std::map<std::uint32_t, told_copy> copies_;
  /// The latest answer to the offer of a place in each group, and of which epoch.
  std::map<std::uint32_t, std::pair<std::uint64_t, wire::PlaceConsent>> told_places_;
  bool look_scheduled_ = false;
  Timestamp tell_unasked_at_{};  ///< Not before; zero: nothing was told since a group was asked for last.
  Duration unasked_pause_{};
  Lifetime lifetime_;
};

}  // namespace madderdeck::ledger
