#pragma once
/// @file Keeps the tables of the platform's store on the disk of a node, so that a fleet that starts while the store is
/// away has a configuration and a list of back ends.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "config/versioned_table.hpp"
#include "ledger/groups.hpp"
#include "ledger/storage.hpp"
#include "membership/membership.hpp"

namespace madderdeck::node {

/// Writes the changes of the tables that a node has taken up, and gives the stored ones back after a start once enough
/// of the disks have told their revisions and none has told a later one. No other work waits for a write.
/// Single threaded.
class stored_tables {
 public:
  /// The disks of which a majority has to be heard, this node's own included.
  using DiskSet = std::function<std::set<ledger::ReplicaIdentity>()>;

  /// All arguments have to outlive this object.
  stored_tables(Environment& environment, Counters& counters, DecisionLog& log, membership::Membership& members,
                DiskSet disks);

  /// Adds a table; called before store_in().
  void add(wire::TableId id, config::TableReplicator& table);
  /// Reads the tables from @p storage unless they were read before, and writes changes there from then on.
  void store_in(ledger::Storage& storage);
  /// Called with the keys of each change of a table, before or after store_in().
  void on_changed(wire::TableId id, const std::vector<config::EntryKey>& keys);
  /// Answers another disk's question with the latest revision of the table that this node holds in memory or on its
  /// disk; not while its disk has not been read.
  /// @return whether the question is one of this kind, and not one for the age of a table.
  bool handle(const PeerAddress& sender, const wire::RevisionQuestionT& message);
  /// Handles another disk's answer to a question of this node.
  /// @return whether it is one.
  bool handle(const PeerAddress& sender, const wire::RevisionAnswerT& message);

  /// Within this time after a start the source or a running peer has usually answered, and no disk need be asked.
  static constexpr Duration kFirstAsk = 250ms;
  static constexpr Duration kAskInterval = 100ms;
  /// An answer that is older says nothing: its node may have ended since.
  static constexpr Duration kAnswerValid = 1s;
  static constexpr Duration kMinWriteInterval = 250ms;
  /// A disk that has just refused a write would often refuse the same one, and a refusal stops all use of the disk.
  static constexpr Duration kRetryInterval = 5s;
  static constexpr Duration kWriteDelay = 20ms;  ///< Changes within this time share a write.

 private:
  /// What the disk holds of an entry, or what is being written of it.
  struct kept_entry {
    std::uint64_t revision = 0;
    bool deleted = false;
    bool operator==(const kept_entry&) const = default;
  };
  struct kept_table {
    config::TableReplicator* live = nullptr;
    std::uint64_t stored_revision = 0;  ///< Revision on the disk, or being written there; 0: none.
    std::uint64_t stored_unix_ms = 0;
    std::vector<config::Entry> stored;  ///< Until the live table replaces them.
    bool waits = false;                 ///< The stored entries may still be given back.
    std::set<config::EntryKey> unwritten;
    std::map<config::EntryKey, kept_entry> on_disk;
    std::map<ledger::ReplicaIdentity, std::pair<std::uint64_t, Timestamp>> heard;  ///< Revisions of other disks.
  };

  /// Disks of this node's groups.
  struct disk_count {
    std::size_t all = 0;
    std::size_t heard = 0;  ///< This node's own included.
    std::size_t lost = 0;   ///< Their nodes run with other disks.
    /// @return whether a change that a majority of all disks has stored is on one of those heard, or on none that is
    ///         left; and whether a majority is accounted for.
    bool suffices() const;
  };

  void read(wire::TableId id, kept_table& table);
  std::size_t lost_disks(const std::set<ledger::ReplicaIdentity>& disks) const;
  void note_unread(wire::TableId id, const Error& error);
  void ask_disks();
  void ask(wire::TableId id, const ledger::ReplicaIdentity& disk);
  /// Gives the stored entries back if a majority of the disks has none that are later.
  void restore_if_newest(wire::TableId id, kept_table& table);
  std::optional<std::uint64_t> revision_of(wire::TableId id) const;
  /// @return whether the live table is as new as the stored one, or is the source's.
  static bool is_replaced(const kept_table& table);
  /// Ends the wait for the disks.
  void replace_stored(kept_table& table);
  bool is_waiting() const;
  void schedule_write();
  void write();
  /// Adds the changes that the disk does not hold.
  void add_changes(wire::TableId id, kept_table& table, std::vector<ledger::Storage::Entry>& batch) const;
  void note_written(const Status& flushed, const std::map<wire::TableId, std::set<config::EntryKey>>& written);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  membership::Membership& members_;
  const DiskSet disks_;
  std::map<wire::TableId, kept_table> tables_;
  ledger::Storage* storage_ = nullptr;
  bool read_ = false;
  bool write_scheduled_ = false;
  bool failure_logged_ = false;  ///< Whether the current failure to write has been logged.
  Timestamp started_{};
  std::optional<Timestamp> written_at_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::node
