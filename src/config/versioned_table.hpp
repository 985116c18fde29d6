#pragma once
/// @file A replicated map of versioned entries, and its spreading from node to node.

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

/// A declared object or a machine at one revision of its source.
struct Entry {
  EntryKey key;
  std::string body;            ///< JSON text.
  std::uint64_t revision = 0;  ///< Position in the one order of all changes of the source.
  bool deleted = false;
};

/// The state of the source after some revision. Holds the latest entry of every key, deleted
/// ones too, so that the changes after any revision can be told. Not thread safe.
class VersionedTable {
 public:
  std::uint64_t revision() const { return revision_; }
  const Entry* find(const EntryKey& key) const;
  /// @return entries of @p kind that are not deleted, in name order.
  std::vector<const Entry*> list(const std::string& kind) const;
  /// @return the latest entries after @p since in revision order, at most @p limit and those that
  ///         share the last one's revision.
  std::vector<const Entry*> changes_after(std::uint64_t since, std::size_t limit) const;
  /// Takes the changes (since, up_to]. Ignored unless it goes on from what is held.
  /// @param complete whether @p changes are all entries there are; others are deleted.
  /// @return the keys that changed.
  std::vector<EntryKey> apply(std::uint64_t since, std::uint64_t up_to, const std::vector<Entry>& changes,
                              bool complete = false);
  std::size_t size() const { return entries_.size(); }

  /// Lets the simulation leave out the check that keeps older entries from winning.
  bool reject_older = true;

 private:
  void hold(const Entry& change);
  void delete_missing(std::uint64_t up_to, const std::vector<Entry>& present, std::vector<EntryKey>& changed);

  std::map<EntryKey, Entry> entries_;
  /// Entries that were found missing at the same time share a revision.
  std::set<std::pair<std::uint64_t, EntryKey>> by_revision_;
  std::uint64_t revision_ = 0;
};

/// Spreads one table: a node that learns of a later revision pulls the difference, then tells
/// a few others. Single threaded.
class TableReplicator {
 public:
  static constexpr std::uint32_t kUnknownAge = UINT32_MAX;
  using PeerChoice = std::function<std::vector<PeerAddress>(std::size_t count)>;
  using OnChange = std::function<void(const std::vector<EntryKey>&)>;

  TableReplicator(Environment& environment, Counters& counters, wire::TableId id, PeerChoice peers, OnChange on_change);

  /// @return what the table holds, for logs.
  std::string_view name() const { return wire::EnumNameTableId(id_); }
  VersionedTable& table() { return table_; }
  const VersionedTable& table() const { return table_; }

  /// Takes changes read from the source and tells peers.
  /// @param as_of when the source surely had no later change than these.
  void apply_from_source(std::uint64_t since, std::uint64_t up_to, const std::vector<Entry>& changes,
                         bool complete = false, Timestamp as_of = {});
  /// A watch of the source that waits had brought nothing when this node surely read what had come until @p until.
  void note_unchanged(Timestamp until) { watched_until_ = std::max(watched_until_, until); }
  /// A peer claims to hold @p revision. A claim may have waited for long before it was read: that it is fresh counts
  /// only once the peer has answered a question.
  /// @param age_ms how long ago the source had nothing later, as the peer knew when it sent this.
  void on_peer_revision(const PeerAddress& peer, std::uint64_t revision, std::uint32_t age_ms = kUnknownAge);
  /// What is missing by much is pulled from near peers where one has it: a table of 10,000 back ends is 2 MB, and all
  /// nodes of a fleet that starts pull it.
  /// @param is_near whether a peer stands in this node's zone.
  void prefer_near(std::function<bool(const PeerAddress&)> is_near) { is_near_ = std::move(is_near); }
  /// @return whether a peer has been asked for changes and is to answer yet.
  bool pulls() const { return pulling_from_.has_value(); }
  /// Tells @p peers what is held and how old that knowledge is.
  void feed(const std::vector<PeerAddress>& peers);
  /// @return the latest time at which the source is known to have had nothing later than what is held; zero: never.
  Timestamp as_of() const { return as_of_; }
  /// @return during a change and after it: until when the source surely still had what was held before the change.
  Timestamp unchanged_until() const { return unchanged_until_; }
  /// @return how long ago as_of() was, in milliseconds; kUnknownAge when never.
  std::uint32_t age_ms() const;

  void handle(const PeerAddress& sender, const wire::TablePullT& message);
  void handle(const PeerAddress& sender, const wire::TableDeltaT& message);
  void handle(const PeerAddress& sender, const wire::RevisionQuestionT& message);
  void handle(const wire::RevisionAnswerT& message);

  /// Lets the simulation take a peer's claim for as fresh as the peer said.
  bool ask_for_age = true;

 private:
  /// @return whether there was news in @p changes, which peers are to be told of.
  bool take(std::uint64_t since, std::uint64_t up_to, const std::vector<Entry>& changes, bool complete);
  void announce();
  void pull(const PeerAddress& peer);
  /// @return whether to leave the claim of @p peer for a while, as a near peer may have the same soon.
  bool waits_for_near(const PeerAddress& peer);
  bool is_far_behind() const;
  void ask_age(const PeerAddress& peer);
  /// The source had nothing later than what is held @p age_ms before @p asked_at.
  void confirm(Timestamp asked_at, std::uint32_t age_ms);

  Environment& environment_;
  Counters& counters_;
  const wire::TableId id_;
  const PeerChoice peers_;
  const OnChange on_change_;
  VersionedTable table_;
  Timestamp as_of_{};
  Timestamp watched_until_{};
  Timestamp unchanged_until_{};
  std::function<bool(const PeerAddress&)> is_near_;  ///< May be empty.
  std::optional<Timestamp> near_awaited_until_;      ///< While much is missing and only far peers claim it.
  std::optional<PeerAddress> pulling_from_;
  Timestamp pulled_at_{};
  std::uint64_t wanted_ = 0;  ///< Latest revision that a peer claims to hold,
  PeerAddress claimant_;      ///< and that peer.
  std::uint64_t pull_number_ = 0;
  std::uint64_t question_ = 0;         ///< Number of the latest question for a peer's age,
  std::optional<Timestamp> asked_at_;  ///< and when it was asked, while its answer is awaited.
  Lifetime lifetime_;
};

}  // namespace madderdeck::config
