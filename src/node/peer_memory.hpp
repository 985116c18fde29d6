#pragma once
/// @file Keeps the peers that a node with a disk knows on that disk.

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "ledger/storage.hpp"
#include "membership/membership.hpp"

namespace madderdeck::node {

/// Reads the list at a start, writes it when it has changed, at most once in kLeastPause. Nothing waits for it, and a
/// disk that refuses writes only leaves the list as old as it is. Single threaded.
class peer_memory {
 public:
  /// @param members outlives this, as all others do.
  peer_memory(Environment& environment, Counters& counters, DecisionLog& log, membership::Membership& members);

  /// Reads the list, unless that was done before, and keeps it in @p storage from then on. A list that cannot be read
  /// now stays as it is; one that is damaged counts as none.
  void keep_in(ledger::Storage& storage);

  static constexpr char kKey[] = "m/peers";  ///< Of the record, a MemberSync.
  static constexpr Duration kLook = 1s;
  static constexpr Duration kLeastPause = 10s;

 private:
  void read();
  void look();
  void write();
  void note_unread(const Error& error);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  membership::Membership& members_;
  ledger::Storage* storage_ = nullptr;
  bool read_ = false;
  bool stored_ = true;     ///< The last write was taken, as far as is known.
  bool was_told_ = false;  ///< That the disk refuses it.
  std::uint64_t seen_version_ = 0;
  std::optional<Timestamp> written_at_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::node
