#pragma once
/// @file The voting side of the ledger: one replica of each group on this disk. See docs/design/ledger.md for the
/// protocol.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/counters.hpp"
#include "common/environment.hpp"
#include "ledger/ballot.hpp"
#include "ledger/copy_progress.hpp"
#include "ledger/groups.hpp"
#include "ledger/handover.hpp"
#include "ledger/place_consents.hpp"
#include "ledger/storage.hpp"

namespace madderdeck::ledger {

/// Safety rules of a replica. They are always enabled in the daemon. The simulation disables one of them at a time to
/// show that its checks notice.
struct ReplicaGuards {
  bool admission_before_voting = true;  ///< A new disk copies from the other members before it votes.
  bool flush_before_reply = true;       ///< A reply is sent only after its write is durable.
  bool reject_lower_ballots = true;
  bool fence_old_epochs = true;
  bool open_consents_block_removal =
      true;  ///< A disk does not count as drained while an epoch that it consented to is undecided.
};

/// Single-record consensus acceptor on top of Storage. Owned by one node, single-threaded.
class Replica {
 public:
  Replica(Environment& environment, Storage& storage, Counters& counters, NodeId self, DiskId disk,
          AddressLookup addresses, ReplicaGuards guards = {});

  /// Adopts @p map: moves groups to their new epoch and starts copying the groups in which this disk is new.
  void on_group_map(const GroupMap& map);
  /// Restores the state of this disk's groups after a restart. The disk takes no part in a group whose state cannot be
  /// read until it can: without the state it is unknown what the disk has promised.
  void restore();
  /// Adopts a decided description of one group, unless a later one is known.
  void adopt_group(std::uint32_t group, const ReplicaGroup& description);
  /// Discards the state of its groups because the disk refuses writes. The replica takes no part in any group until
  /// resume().
  void suspend();
  /// Restores the state from the disk, as after a restart.
  void resume();
  /// Sets the identity of the disk if it was not known before. Only valid while suspended.
  void set_disk(DiskId disk) { disk_ = std::move(disk); }
  bool is_suspended() const { return suspended_; }
  /// Copies from the other members what this replica missed while it was unreachable.
  void catch_up();

  void handle(const PeerAddress& sender, const wire::PrepareT& message);
  void handle(const PeerAddress& sender, const wire::AcceptT& message);
  void handle(const PeerAddress& sender, const wire::ScanRequestT& message);
  void handle(const PeerAddress& sender, const wire::CopyRequestT& message);
  void handle(const PeerAddress& sender, const wire::CopyReplyT& message);
  void handle(const PeerAddress& sender, const wire::CopyStatusRequestT& message);
  void handle(const wire::CopyStatusT& message);

  /// Asks the members of groups that this disk has left whether they have copied all of its records.
  void ask_copy_status();
  /// @param least_copies how many disks have to hold each record
  /// @return the groups that keep this disk from being removed: it is a member, or too few other disks hold all that it
  ///         held. A group that names this node with an earlier disk still depends on the node.
  std::vector<pending_handover> pending_handovers(std::size_t least_copies) const;
  /// @return whether this disk is in no group any more and enough other disks hold all that it held. False while no
  ///         group is known.
  bool left_all_groups(std::size_t least_copies) const;

  /// @return the places that this disk has consented to in epochs that it does not know to be decided: it may be a
  ///         member there.
  std::vector<open_place> open_places() const;
  /// @return the latest epoch of @p group that this replica knows to be decided; zero: none.
  std::uint64_t known_epoch(std::uint32_t group) const;
  /// Called when draining of the disk begins: it consents to a place only in a group that has no other disk available.
  void begin_draining() { consents_.begin_draining(); }
  /// Called when the disk may be removed: it consents to no place any more.
  /// @param done runs once this state would survive a restart; receives an error if the disk fails
  void note_emptied(std::function<void(Status)> done);
  /// Called when the disk is not to be drained after all.
  void cancel_draining();
  /// Called when the process begins to shut down: the disk consents to no place any more.
  void begin_stopping() { consents_.begin_stopping(); }

  /// @return the known descriptions of the groups that name this disk.
  std::map<std::uint32_t, ReplicaGroup> descriptions() const;

  /// @return whether every group known to name this disk has been copied to it.
  bool synchronized() const;
  /// A group of this disk in which it does not vote yet.
  struct unadmitted {
    std::uint32_t group = 0;
    std::uint64_t epoch = 0;
    std::vector<ReplicaIdentity> waits_for;  ///< Members from which the copy is not complete.
  };
  std::vector<unadmitted> list_unadmitted() const;
  /// A group of this disk whose records no node has requested.
  struct unasked {
    std::uint32_t group = 0;
    std::uint64_t epoch = 0;
    Timestamp since{};  ///< Time of the latest request, or when this process learnt of the group.
  };
  /// @return groups of this disk that have received no request since @p before, whether it is a member or a former one.
  std::vector<unasked> list_unasked(Timestamp before) const;
  /// @return whether @p identity is the identity of this replica.
  bool is(const ReplicaIdentity& identity) const { return identity.node == self_ && identity.disk == disk_; }
  /// @return the standing of this replica in @p group at @p epoch or later.
  wire::ReplicaStanding standing(std::uint32_t group, std::uint64_t epoch) const;
  /// @return whether @p group, at @p epoch or later, has been copied to this disk.
  bool holds(std::uint32_t group, std::uint64_t epoch) const;

  /// @return the progress of the latest copy of @p group; null: none since this process started.
  const copy_progress* copy_of(std::uint32_t group) const;
  /// @return the members and leaving members that @p group is being copied from and that have not sent everything.
  std::vector<awaited_source> awaited_sources(std::uint32_t group) const;

  /// Called when this replica enters an epoch, leaves its group, or restores it at startup; may be empty.
  std::function<void(const epoch_step&)> on_epoch;
  /// Called when the copy of a group begins or restarts; may be empty.
  std::function<void(std::uint32_t group, std::uint64_t epoch)> on_copy_begun;
  /// Called when the state of one group, or the list of groups, cannot be read from this disk. Reading is retried after
  /// a while. May be empty.
  std::function<void(std::optional<std::uint32_t> group, const Error&)> on_unreadable;
  /// Returns whether this node considers a member to be up with that disk, or cannot tell; such a member is not given
  /// up as unresponsive. May be empty.
  std::function<bool(const ReplicaIdentity&)> is_there;
  /// Called for each answer to the offer of a place; may be empty.
  std::function<void(const place_offer&, wire::PlaceConsent)> on_place_answered;
  /// Called when this disk has copied a group and votes from now on; may be empty.
  std::function<void(std::uint32_t group, std::uint64_t epoch)> on_admitted;

 private:
  struct CopySource {
    std::string after;
    bool complete = false;
    Timestamp asked_at{};                  ///< When the current page was last requested; zero: not yet.
    Duration reply_timeout{};              ///< How long to wait for its answer before the page is requested again.
    std::map<std::string, Ballot> wanted;  ///< Records of the current page of which the source has a later version.
    std::string next_after;      ///< Cursor of the next page once these records are here; empty: the copy is complete.
    bool holds_leaving = false;  ///< The source held all records of the leaving members before this copy began.
    bool votes = false;          ///< The source was admitted when this copy began.
    bool whole = false;          ///< The source was whole when this copy began.
    Timestamp values_since{};    ///< When the source last sent something while values were wanted.
    /// Other sources from which values are awaited that this source also offered.
    std::set<std::uint32_t> deferred_to;
    /// Once this copy is complete, it restarts because the source holds all records of the leaving members by now.
    bool restart_when_complete = false;
  };
  /// When pages arrived from a node that is copied from, over all groups.
  struct source_activity {
    Timestamp page_came_at{};
    Timestamp ballots_asked_at{};  ///< When the latest of the answered requests for ballots was sent.
    Timestamp values_asked_at{};   ///< The same for requests for values, which are answered independently of those.
  };
  /// A range of the records that this replica holds.
  struct PageQuery {
    std::uint32_t group = 0;
    std::string prefix;
    std::string after;
    std::uint32_t limit = 0;
    bool promises = false;  ///< Promised ballots instead of accepted values.
    bool values = true;     ///< Otherwise only the ballots of accepted values.
  };
  using Records = std::vector<std::unique_ptr<wire::LedgerRecordT>>;
  struct GroupProgress {
    std::uint64_t epoch = 0;
    std::uint32_t index = 0;
    bool synchronized = false;  ///< The replica was admitted in this epoch or an earlier one.
    bool former = false;        ///< No longer a member; others only copy from it.
    /// Its place belonged, or may have belonged, to another disk in between: others copy from it, but it copies from
    /// all others before it votes.
    bool returning = false;
    bool holds_leaving = true;  ///< All records of this epoch's leaving members are here.
    bool whole = false;         ///< Every record that was confirmed before this epoch is here.
    /// It was whole in an earlier epoch with the same members: it lacks at most what the others have confirmed since.
    bool whole_with_same_members = false;
    bool whole_in_previous_epoch = false;  ///< It was whole in the previous epoch, regardless of its members.
    ReplicaGroup description;
    /// Bit set of the leaving members that were members in the previous epoch; it covers the first three leaving
    /// members.
    std::uint8_t recent_leavers = 0;
    bool awaits_flush = false;                    ///< A copy is complete, but not durable yet.
    std::map<std::uint32_t, CopySource> copying;  ///< By source number.
    handover_progress handover;                   ///< Used by a former member.
  };
  /// The latest epoch known of a group, whether or not it names this disk.
  struct LatestEpoch {
    std::uint64_t epoch = 0;
    bool names_former_disk = false;  ///< It names this node with another disk.
  };
  struct StoredRecord {
    Ballot promised;
    Ballot accepted;
    wire::Bytes value;
    std::size_t stored_bytes = 0;  ///< Size of the accepted value as stored.
  };

  void note_latest_epoch(std::uint32_t group, const ReplicaGroup& description);
  wire::ReplicaStatus admit(std::uint32_t group, std::uint64_t epoch, bool for_copy = false) const;
  /// Like admit(), for one record. A member votes at once on the next description of its group, whatever it holds,
  /// because that record begins with the epoch that names the member.
  wire::ReplicaStatus admit_to(const wire::PrepareT& message) const;
  /// @return whether the decision requested by @p message gives up a member that this node considers up.
  bool gives_up_present_member(const wire::PrepareT& message) const;
  void note_request(std::uint32_t group);
  wire::ReplicaStatus admit_to(const wire::AcceptT& message) const;
  bool is_decision_of_member(std::uint32_t group, std::uint64_t epoch, const std::string& key) const;
  /// @return whether the replica votes on records.
  static bool votes(const GroupProgress& progress) {
    return progress.synchronized && !progress.returning && !progress.former;
  }
  /// Adds the description known to this replica to a reply to a peer with another epoch.
  template <class Reply>
  void describe_group(std::uint32_t group, Reply& reply) const;
  Result<Ballot> load_promise(std::uint32_t group, const std::string& key) const;
  /// @param with_value whether the value is returned; it is checked in any case
  Result<StoredRecord> load(std::uint32_t group, const std::string& key, bool with_value) const;
  void store_promise(std::uint32_t group, const std::string& key, const Ballot& ballot);
  void store_accept(std::uint32_t group, const std::string& key, const Ballot& ballot, const wire::Bytes& value);
  void store_group_state(std::uint32_t group, const GroupProgress& progress);
  /// @return an empty state if the disk holds none; ErrorKind::corrupted or ErrorKind::unavailable.
  Result<GroupProgress> restore_group_state(std::uint32_t group) const;
  void restore_group(std::uint32_t group);
  /// Excludes the group until its state can be read. @p heard is the latest description received, if any.
  void note_unreadable(std::uint32_t group, const Error& error, const ReplicaGroup& heard);
  void schedule_state_reread();
  void reread_states();
  /// Stores the marks, which are kept in a separate record because earlier versions do not know them.
  void store_marks(std::uint32_t group, const GroupProgress& progress);
  static wire::Bytes encode_marks(const GroupProgress& progress);
  Status restore_marks(std::uint32_t group, GroupProgress& progress) const;
  /// Records on the disk that its place in @p group now belongs to another disk.
  void leave_group(std::uint32_t group, GroupProgress progress);
  /// Moves @p progress from the epoch of @p before to the later epoch of its present description.
  /// @param was_former whether the replica was no longer a member in the earlier epoch
  void enter_epoch(std::uint32_t group, GroupProgress& progress, const ReplicaGroup& before, bool was_former);
  void start_copy(std::uint32_t group);
  void note_copy_begun(std::uint32_t group);
  void note_page(std::uint32_t group, const ReplicaIdentity& source, const wire::CopyReplyT& page);
  /// Calls on_epoch for the change from @p before to @p progress in @p group.
  void report_epoch(std::uint32_t group, const GroupProgress& before, const GroupProgress& progress) const;
  static replica_role role_of(const GroupProgress& progress);
  static copy_reason reason_of(const GroupProgress& before, const GroupProgress& progress);
  /// Adds the standing of this replica to a refusal.
  void describe_standing(const wire::ScanRequestT& request, wire::ScanReplyT& reply) const;
  /// Requests the pages that are due, beginning with the sources whose last request is the oldest.
  void request_copies();
  void request_page(const PeerAddress& from, std::uint32_t group, const GroupProgress& progress, CopySource& source);
  /// Records that a page requested from @p source has arrived.
  void note_page(const PeerAddress& address, const CopySource& source);
  /// @return whether the answer of @p source, requested at @p address, can still be expected.
  bool is_awaited(const CopySource& source, const PeerAddress& address) const;
  void schedule_copy_retry();
  /// Asks members that were copied from whether they have become whole and hold all records of the leaving members by
  /// now.
  void request_source_standings();
  /// Restarts the copy from a source that holds all records of the leaving members.
  static void copy_from_start(CopySource& source);
  /// Records that the given member holds all records of the leaving members; it is copied from once more after the copy
  /// in progress.
  void note_holds_leaving(std::uint32_t group, std::uint32_t member);
  /// Stores a promised ballot of another replica if it is greater than the one stored here.
  void merge_promise(std::uint32_t group, const wire::LedgerRecordT& incoming);
  /// The same for an accepted value.
  void merge_value(std::uint32_t group, const wire::LedgerRecordT& incoming);
  /// Records the standing of the source of @p page.
  static void note_standing(CopySource& source, const wire::CopyReplyT& page);
  /// Processes a page of ballots: promises are merged, records with newer values are added to the wanted ones.
  void process_ballots(std::uint32_t group, CopySource& source, const wire::CopyReplyT& page);
  /// Stores the values of a late answer as long as this disk does not vote.
  void merge_late_values(std::uint32_t group, const wire::CopyReplyT& values);
  /// Result of processing values from a source.
  enum class values_result {
    wanted,          ///< At least one of the values was wanted.
    known,           ///< None of the values was wanted.
    lost_at_source,  ///< The source no longer has a value that it offered.
  };
  values_result process_values(std::uint32_t group, CopySource& source, const wire::CopyReplyT& values);
  /// @return the member that has to be copied from in any case and from which this value is being requested.
  static std::optional<std::uint32_t> awaited_from(const GroupProgress& progress, const std::string& key,
                                                   const Ballot& ballot);
  void finish_copy_if_complete(std::uint32_t group);
  wire::CopyStatusT describe_copy(std::uint32_t group, std::uint64_t epoch) const;
  /// Answers an offer and calls on_place_answered.
  wire::PlaceConsent answer_offer(const place_offer& offer);
  /// @return whether this disk takes the place; a consent becomes durable with the next flush.
  wire::PlaceConsent answer_place(const place_offer& offer);
  /// @return whether this disk may decide alone without the other member; only if this node does not consider that
  ///         member up either.
  wire::PlaceConsent answer_sole_decision(const place_offer& offer) const;
  /// Notifies the other members that this disk votes from now on.
  void announce_admission(std::uint32_t group);
  /// @return whether the copies from all member sources, or from all leaving ones, are complete.
  static bool copied_from(const GroupProgress& progress, bool leaving);
  /// @return whether everything that @p source offered is stored here.
  static bool holds_all_of(const GroupProgress& progress, const CopySource& source);
  /// @return whether the copy from a source that was whole is complete.
  static bool copied_from_whole(const GroupProgress& progress);
  /// @return the number of admitted sources from which the copy is complete.
  /// @param recent_leavers whether leaving members count that were members in the previous epoch
  static std::size_t admitted_copied_from(const GroupProgress& progress, bool recent_leavers);
  /// @return whether the completed copies contain every record that was confirmed before the epoch.
  /// @param holds_leaving whether they contain all records of the leaving members
  static bool has_copied_all(const GroupProgress& progress, bool holds_leaving);
  static bool newly_holds_leaving(const GroupProgress& progress);
  static bool newly_whole(const GroupProgress& progress);
  /// What the completed copies contain.
  struct copied_parts {
    bool leaving = false;  ///< All records of the leaving members.
    bool whole = false;    ///< Every record that was confirmed before the epoch.
  };
  /// Marks the given parts as copied once they are durable.
  void mark_copied(std::uint32_t group, copied_parts parts);
  /// Ends the copy if nothing is left to copy.
  static void end_copy_if_complete(GroupProgress& progress);
  /// Reassigns values that a source has not sent for long to the other sources.
  void reassign_overdue_values();
  /// Records that a source has become whole; it is copied from once more.
  void note_whole(std::uint32_t group, std::uint32_t number);
  /// @return ErrorKind::corrupted or ErrorKind::unavailable if reading the disk fails.
  Result<Records> page(const PageQuery& query, bool& truncated) const;
  /// A query for named records.
  struct RecordQuery {
    std::uint32_t group = 0;
    const std::vector<std::string>& keys;
    std::size_t max_bytes = 0;  ///< Limit for keys and values; at least one record is returned.
    bool values = true;         ///< Otherwise only the ballots of accepted values.
  };
  /// @return as many of the first records as fit; a record that does not exist has a zero ballot.
  Records records_of(const RecordQuery& query) const;
  /// Fills the common part of @p reply and reads the record. If either fails, sends the reply as a refusal and returns
  /// nothing.
  template <class Request, class Reply>
  std::optional<StoredRecord> open_request(const PeerAddress& sender, const Request& message, Reply& reply,
                                           bool with_value);
  template <class Reply>
  void refuse_ballot(const PeerAddress& sender, Reply reply);
  /// Runs @p send once everything written so far is durable, immediately if it already is. Does not run it when the
  /// disk fails.
  template <class Send>
  void when_durable(Send send);
  /// Sends a reply that contains no record. If it contains an epoch, it is sent only once that epoch is durable.
  template <class Reply>
  void refuse(const PeerAddress& to, Reply reply);
  template <class Reply>
  void reply_when_durable(const PeerAddress& to, Reply reply);

  Environment& environment_;
  Storage& storage_;
  Counters& counters_;
  const NodeId self_;
  DiskId disk_;
  const AddressLookup addresses_;
  const ReplicaGuards guards_;
  std::map<std::uint32_t, GroupProgress> progress_;
  std::map<std::uint32_t, Timestamp>
      last_requested_at_;  ///< When records of each group were last requested, whatever was answered.
  std::map<std::uint32_t, LatestEpoch> latest_epochs_;
  place_consents consents_;
  bool suspended_ = false;
  std::map<std::uint32_t, ReplicaGroup>
      unreadable_;                  ///< Groups that are left out, with the latest description received.
  bool group_list_unread_ = false;  ///< The list of the groups on the disk could not be read.
  bool reread_scheduled_ = false;
  std::map<std::uint32_t, copy_progress> copies_;  ///< The latest copy of each group.
  bool copy_retry_scheduled_ = false;
  std::map<PeerAddress, source_activity> source_activities_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::ledger
