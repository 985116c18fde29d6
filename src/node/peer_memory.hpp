#pragma once
/// @file Stores the peers that a node knows on its disk, if it has one.

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "ledger/storage.hpp"
#include "membership/membership.hpp"

namespace madderdeck::node {

/// Reads the list of peers at the start and writes it when it has changed, at most once per kMinWriteInterval. No other
/// work waits for a write; if the disk refuses writes, the stored list only stays outdated. Single threaded.
class peer_memory {
 public:
  /// All arguments have to outlive this object.
  peer_memory(Environment& environment, Counters& counters, DecisionLog& log, membership::Membership& members);

  /// Reads the list from @p storage unless it was read before, and stores changes there from then on. A list that
  /// cannot be read now is not overwritten; a corrupted list counts as empty.
  void store_in(ledger::Storage& storage);

  static constexpr char kKey[] = "m/peers";  ///< Key of the record, a MemberSync.
  static constexpr Duration kCheckInterval = 1s;
  static constexpr Duration kMinWriteInterval = 10s;

 private:
  void read();
  void write_if_changed();
  void write();
  void note_unread(const Error& error);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  membership::Membership& members_;
  ledger::Storage* storage_ = nullptr;
  bool read_ = false;
  bool stored_ = true;           ///< Whether the last write is known to have succeeded; true before the first write.
  bool failure_logged_ = false;  ///< Whether the current failure to write has been logged.
  std::uint64_t seen_version_ = 0;
  std::optional<Timestamp> written_at_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::node
