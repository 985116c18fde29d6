#pragma once
/// @file A replicated map of versioned entries, and its replication between nodes.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/counters.hpp"
#include "common/environment.hpp"

namespace madderdeck::config {

/// Kind and name of an entry.
struct EntryKey {
  std::string kind;
  std::string name;
  auto operator<=>(const EntryKey&) const = default;
};

/// A declared object or a machine at one revision of the source of its table.
struct Entry {
  EntryKey key;
  std::string body;            ///< JSON text.
  std::uint64_t revision = 0;  ///< Position in the total order of the source's changes.
  bool deleted = false;
};

/// The state of the source after some revision. Holds the latest entry of every key, including deleted
/// entries, so that the changes after any revision can be listed. Not thread safe.
class VersionedTable {
 public:
  std::uint64_t revision() const { return revision_; }
  const Entry* find(const EntryKey& key) const;
  /// @return entries of @p kind that are not deleted, in name order.
  std::vector<const Entry*> list(const std::string& kind) const;
  /// @return the latest entries after @p since in revision order: at most @p limit, plus those that
  ///         have the same revision as the last of them.
  std::vector<const Entry*> changes_after(std::uint64_t since, std::size_t limit) const;
  /// Applies the changes (since, up_to]. Ignores them if they leave a gap after the table's revision.
  /// @param complete whether @p changes are all entries of the source; other entries are then marked as deleted.
  /// @return the keys that changed.
  std::vector<EntryKey> apply(std::uint64_t since, std::uint64_t up_to, const std::vector<Entry>& changes,
                              bool complete = false);
  std::size_t size() const { return entries_.size(); }

  /// The simulation sets this to false to disable the check that an older entry never replaces a newer one.
  bool reject_older_entries = true;

 private:
  void hold(const Entry& change);
  void delete_missing(std::uint64_t up_to, const std::vector<Entry>& present, std::vector<EntryKey>& changed);

  std::map<EntryKey, Entry> entries_;
  /// Entries that one complete list showed as deleted share a revision.
  std::set<std::pair<std::uint64_t, EntryKey>> by_revision_;
  std::uint64_t revision_ = 0;
};

/// Replicates one table by gossip: a node that learns of a later revision pulls the difference, then
/// announces its new revision to a few peers. Single threaded.
class TableReplicator {
 public:
  static constexpr std::uint32_t kUnknownAge = UINT32_MAX;
  /// Age of a table that was restored from disks and that the source has not confirmed since. Earlier versions take it
  /// for an age of 49 days.
  static constexpr std::uint32_t kRestoredAge = UINT32_MAX - 1;
  using PeerChoice = std::function<std::vector<PeerAddress>(std::size_t count)>;
  using OnChange = std::function<void(const std::vector<EntryKey>&)>;

  TableReplicator(Environment& environment, Counters& counters, wire::TableId id, PeerChoice peers, OnChange on_change);

  /// @return the name of the table, for logs.
  std::string_view name() const { return wire::EnumNameTableId(id_); }
  VersionedTable& table() { return table_; }
  const VersionedTable& table() const { return table_; }

  /// Applies changes that this node read from the source and announces them to peers.
  /// @param as_of time at which the source is known to have had no later change than these.
  void apply_from_source(std::uint64_t since, std::uint64_t up_to, const std::vector<Entry>& changes,
                         bool complete = false, Timestamp as_of = {});
  /// Takes entries that disks have kept, if they are later than the table's, and announces them to peers. Until the
  /// source or a peer that has heard from it confirms the table, it counts as restored.
  void restore(const std::vector<Entry>& entries, std::uint64_t revision);
  /// @return whether the table came from disks, here or at the peer that sent it, and is not confirmed since.
  bool is_restored() const { return restored_; }
  /// Called when a restored table has been confirmed; may be empty.
  std::function<void()> on_confirmed;
  /// Records that a pending watch of the source had delivered nothing up to @p until, a time up to which this node is
  /// known to have read everything that had arrived.
  void record_unchanged(Timestamp until) { watched_until_ = std::max(watched_until_, until); }
  /// Handles a peer's claim that it holds @p revision. A claim may have been queued for long before it is read, so its
  /// age is trusted only once the peer has answered a request for it.
  /// @param age_ms time since the source was last known to have no later revision, as of the sending of the claim.
  void on_peer_revision(const PeerAddress& peer, std::uint64_t revision, std::uint32_t age_ms = kUnknownAge);
  /// Makes a node that is far behind prefer to pull from peers in its zone: a table of 10,000 back ends is 2 MB, and
  /// all nodes of a starting fleet pull it.
  /// @param is_near returns whether a peer is in this node's zone; in small fleets all peers may count as near.
  void prefer_near(std::function<bool(const PeerAddress&)> is_near) { is_near_ = std::move(is_near); }
  /// @return whether a pull from a peer is waiting for its reply.
  bool pulls() const { return pulling_from_.has_value(); }
  /// Sends the table's revision and age to @p peers.
  void feed(const std::vector<PeerAddress>& peers);
  /// @return the latest time at which the source is known to have had no revision later than the table's; zero: never.
  Timestamp as_of() const { return as_of_; }
  /// @return the time up to which the source is known to have had the revision before the latest change; valid during
  ///         the change and after it.
  Timestamp unchanged_until() const { return unchanged_until_; }
  /// @return the time since as_of() in milliseconds; if as_of() is zero, kRestoredAge or kUnknownAge.
  std::uint32_t age_ms() const;

  void handle(const PeerAddress& sender, const wire::TablePullT& message);
  void handle(const PeerAddress& sender, const wire::TableDeltaT& message);
  void handle(const PeerAddress& sender, const wire::RevisionQuestionT& message);
  void handle(const wire::RevisionAnswerT& message);

  /// The simulation sets this to false to trust the age in a peer's claim without asking the peer.
  bool verify_age = true;

 private:
  /// @return whether @p changes advanced the table, so that its revision should be announced to peers.
  bool take(std::uint64_t since, std::uint64_t up_to, const std::vector<Entry>& changes, bool complete);
  void announce();
  void pull(const PeerAddress& peer);
  /// @return whether to ignore the claim of @p peer for now, as a peer in this zone may soon hold the same revision.
  bool waits_for_near(const PeerAddress& peer);
  bool is_far_behind() const;
  void request_age(const PeerAddress& peer);
  /// Updates as_of(): the source had no revision later than the table's @p age_ms before @p asked_at.
  void confirm(Timestamp asked_at, std::uint32_t age_ms);
  /// Sets as_of() to @p as_of if that is later. A restored table is confirmed by that.
  void advance_as_of(Timestamp as_of);

  Environment& environment_;
  Counters& counters_;
  const wire::TableId id_;
  const PeerChoice peers_;
  const OnChange on_change_;
  VersionedTable table_;
  Timestamp as_of_{};
  bool restored_ = false;
  Timestamp watched_until_{};
  Timestamp unchanged_until_{};
  std::function<bool(const PeerAddress&)> is_near_;  ///< May be empty.
  std::optional<Timestamp>
      near_awaited_until_;  ///< Set while this node is far behind and only peers of other zones claim more.
  std::optional<PeerAddress> pulling_from_;
  Timestamp pulled_at_{};
  std::uint64_t claimed_revision_ = 0;  ///< Latest revision that a peer claims to hold.
  PeerAddress claimant_;                ///< The peer that claims claimed_revision_.
  std::uint64_t pull_number_ = 0;
  std::uint64_t age_request_number_ = 0;       ///< Number of the latest request for a peer's age.
  std::optional<Timestamp> age_requested_at_;  ///< When that request was sent; empty if no reply is awaited.
  Lifetime lifetime_;
};

}  // namespace madderdeck::config
