#pragma once
/// @file The voting side of the ledger: one replica of each group that lives on this disk.
/// See docs/design/ledger.md for the protocol.

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

/// Safety rules a replica follows. They are always on in the daemon; the simulation turns
/// one off to show that its oracle notices.
struct ReplicaGuards {
  bool admission_before_voting = true;  ///< A new disk copies from the others before it votes.
  bool flush_before_reply = true;       ///< A reply leaves only after its write is durable.
  bool reject_lower_ballots = true;
  bool fence_old_epochs = true;
  bool open_places_hold = true;  ///< A disk is not emptied while a consent of its is undecided.
};

/// Single-record consensus acceptor over Storage. Owned by one node, single threaded.
class Replica {
 public:
  Replica(Environment& environment, Storage& storage, Counters& counters, NodeId self, DiskId disk,
          AddressLookup addresses, ReplicaGuards guards = {});

  /// Adopts @p map: moves groups to their new epoch and starts copying where this disk is new.
  void on_group_map(const GroupMap& map);
  /// Takes up what this disk knows of its groups from before a restart. A group whose state cannot be read has this
  /// disk take no part until it can: without it nobody knows what the disk has promised.
  void restore();
  /// Adopts a decided description of one group, unless a later one is known.
  void adopt_group(std::uint32_t group, const ReplicaGroup& description);
  /// Forgets what it knows of its groups, since its disk refuses writes: takes part in nothing until resume().
  void suspend();
  /// Takes up what the disk holds, as after a restart.
  void resume();
  /// Names the disk, which was not known before; while it is suspended.
  void set_disk(DiskId disk) { disk_ = std::move(disk); }
  bool is_suspended() const { return suspended_; }
  /// Copies again from the other members what this replica missed while it was away.
  void catch_up();

  void handle(const PeerAddress& sender, const wire::PrepareT& message);
  void handle(const PeerAddress& sender, const wire::AcceptT& message);
  void handle(const PeerAddress& sender, const wire::ScanRequestT& message);
  void handle(const PeerAddress& sender, const wire::CopyRequestT& message);
  void handle(const PeerAddress& sender, const wire::CopyReplyT& message);
  void handle(const PeerAddress& sender, const wire::CopyStatusRequestT& message);
  void handle(const wire::CopyStatusT& message);

  /// Asks the members of groups that this disk has left whether they have copied everything.
  void ask_copy_status();
  /// @param least_copies how many disks have to hold each record.
  /// @return the groups that keep this disk from going: it is a member, or too few others hold all that it held. A
  ///         group that names this node with a disk that it had before still counts on the node.
  std::vector<pending_handover> pending_handovers(std::size_t least_copies) const;
  /// @return whether this disk is in no group any more, and all that it held stands on enough others. Without word of
  ///         any group nobody can say.
  bool left_all_groups(std::size_t least_copies) const;

  /// @return the places that this disk has consented to take in epochs that it does not know to be decided: it may be a
  ///         member there.
  std::vector<open_place> open_places() const;
  /// @return the latest epoch of @p group that is known here to be decided; zero: none.
  std::uint64_t known_epoch(std::uint32_t group) const;
  /// The disk is to be emptied: it takes a place only where a group has no other disk.
  void begin_emptying() { consents_.begin_emptying(); }
  /// The disk may be taken away: it takes no place any more.
  /// @param done runs once a restart would know it, too; fails where the disk does.
  void note_emptied(std::function<void(Status)> done);
  /// The disk stays after all.
  void keep_disk();
  /// The process was told to stop: the disk takes no place any more.
  void begin_stopping() { consents_.begin_stopping(); }

  /// @return the descriptions that this disk knows, of the groups that name it.
  std::map<std::uint32_t, ReplicaGroup> descriptions() const;

  /// @return whether every group that this replica knows to name its disk has been copied to it.
  bool synchronized() const;
  /// A group of this disk in which it does not vote yet.
  struct unadmitted {
    std::uint32_t group = 0;
    std::uint64_t epoch = 0;
    std::vector<ReplicaIdentity> waits_for;  ///< Members that it has not copied from to the end.
  };
  std::vector<unadmitted> list_unadmitted() const;
  /// A group of this disk that no node has asked for records.
  struct unasked {
    std::uint32_t group = 0;
    std::uint64_t epoch = 0;
    Timestamp since{};  ///< Of the latest question, or since this process knows the group.
  };
  /// @return groups of this disk that nobody has asked for since @p before, members and former ones.
  std::vector<unasked> list_unasked(Timestamp before) const;
  /// @return whether this replica is @p identity.
  bool is(const ReplicaIdentity& identity) const { return identity.node == self_ && identity.disk == disk_; }
  /// @return how this replica stands in @p group at @p epoch or later.
  wire::ReplicaStanding standing(std::uint32_t group, std::uint64_t epoch) const;
  /// @return whether @p group, at @p epoch or later, has been copied to this disk.
  bool holds(std::uint32_t group, std::uint64_t epoch) const;

  /// @return how the copy of @p group that began last went so far; null: none since this process started.
  const copy_progress* copy_of(std::uint32_t group) const;
  /// @return members and leaving ones that @p group is being copied from and that have not sent all.
  std::vector<awaited_source> awaited_sources(std::uint32_t group) const;

  /// Told when this replica enters an epoch, leaves its group, or takes it up again at a start; may be empty.
  std::function<void(const epoch_step&)> on_epoch;
  /// Told when the copy of a group begins or starts again; may be empty.
  std::function<void(std::uint32_t group, std::uint64_t epoch)> on_copy_begun;
  /// Told when what this disk knows of its groups cannot be read, or of one of them; it is read again after a while.
  /// May be empty.
  std::function<void(std::optional<std::uint32_t> group, const Error&)> on_unreadable;
  /// Asked whether this node knows a member to be there, with that disk, or cannot tell: it is not given up as silent
  /// then. May be empty.
  std::function<bool(const ReplicaIdentity&)> is_there;
  /// Told of each answer to the offer of a place; may be empty.
  std::function<void(const place_offer&, wire::PlaceConsent)> on_place_answered;
  /// Told when this disk has copied a group and votes from now on; may be empty.
  std::function<void(std::uint32_t group, std::uint64_t epoch)> on_admitted;

 private:
  struct CopySource {
    std::string after;
    bool complete = false;
    Timestamp asked_at{};                  ///< When the present page was last asked for; zero: not yet.
    Duration patience{};                   ///< How long its answer is waited for before it is asked for again.
    std::map<std::string, Ballot> wanted;  ///< Records of the present page that are later there.
    std::string next_after;                ///< Where the copy goes on once these are here; empty: it is complete.
    bool holds_leaving = false;            ///< It had all that the leaving members held before this copy began.
    bool votes = false;                    ///< It was admitted when this copy began.
    bool whole = false;                    ///< It was whole when this copy began.
    Timestamp values_since{};              ///< When it last sent something while values were wanted.
    std::set<std::uint32_t> left_to;       ///< Sources that values which this one offered are awaited from.
    bool copy_again = false;               ///< Once at the end, begins again as one that holds what the leaving held.
  };
  /// What has come from a node that is copied from, of any group.
  struct source_activity {
    Timestamp page_came_at{};
    Timestamp ballots_asked_at{};  ///< Of the questions for ballots that it has answered, when the last one was asked.
    Timestamp values_asked_at{};   ///< The same of questions for values, which are sent apart from those.
  };
  /// A stretch of the records that this replica holds.
  struct PageQuery {
    std::uint32_t group = 0;
    std::string prefix;
    std::string after;
    std::uint32_t limit = 0;
    bool promises = false;  ///< Promised ballots in place of accepted values.
    bool values = true;     ///< Otherwise only the ballots of accepted values.
  };
  using Records = std::vector<std::unique_ptr<wire::LedgerRecordT>>;
  struct GroupProgress {
    std::uint64_t epoch = 0;
    std::uint32_t index = 0;
    bool synchronized = false;  ///< It was admitted in this epoch or an earlier one.
    bool former = false;        ///< No member any more; only copied from.
    /// Its place was another's meanwhile, or may have been: it is copied from, but copies from all others before it
    /// votes.
    bool returning = false;
    bool holds_leaving = true;  ///< All that the leaving members of this epoch held is here.
    bool whole = false;         ///< Every record that was confirmed before this epoch is here.
    /// It was whole in an earlier epoch of the same members: it lacks at most what the others confirmed since.
    bool whole_before = false;
    bool whole_last = false;  ///< It was whole in the epoch before this one, whoever its members were.
    ReplicaGroup description;
    /// Which leaving members were members in the epoch before this one: a bit for each of the first of them.
    std::uint8_t fresh_leavers = 0;
    bool awaits_flush = false;                    ///< Something was copied to the end and is not on the disk yet.
    std::map<std::uint32_t, CopySource> copying;  ///< by number of the source
    handover_progress handover;                   ///< Of a former member.
  };
  /// The latest word of a group, whether this disk is in it or not.
  struct GroupWord {
    std::uint64_t epoch = 0;
    bool names_former_disk = false;  ///< This node is a member with another disk.
  };
  struct StoredRecord {
    Ballot promised;
    Ballot accepted;
    wire::Bytes value;
    std::size_t stored_bytes = 0;  ///< Of the accepted value, as it was read.
  };

  void take_word(std::uint32_t group, const ReplicaGroup& description);
  wire::ReplicaStatus admit(std::uint32_t group, std::uint64_t epoch, bool for_copy = false) const;
  /// The same for a record. On the next description of its group a member votes at once, whatever it holds: that record
  /// begins with the epoch that names the member.
  wire::ReplicaStatus admit_to(const wire::PrepareT& message) const;
  /// @return whether the decision that @p message asks for gives a member up that this node knows to be there.
  bool gives_up_present_member(const wire::PrepareT& message) const;
  void note_asked(std::uint32_t group);
  wire::ReplicaStatus admit_to(const wire::AcceptT& message) const;
  bool is_decision_of_member(std::uint32_t group, std::uint64_t epoch, const std::string& key) const;
  /// @return whether the replica's word counts for records.
  static bool votes(const GroupProgress& progress) {
    return progress.synchronized && !progress.returning && !progress.former;
  }
  /// Tells a peer of another epoch which one this replica knows.
  template <class Reply>
  void describe_group(std::uint32_t group, Reply& reply) const;
  Result<Ballot> load_promise(std::uint32_t group, const std::string& key) const;
  /// @param with_value otherwise the value is checked and left out.
  Result<StoredRecord> load(std::uint32_t group, const std::string& key, bool with_value) const;
  void store_promise(std::uint32_t group, const std::string& key, const Ballot& ballot);
  void store_accept(std::uint32_t group, const std::string& key, const Ballot& ballot, const wire::Bytes& value);
  void store_group_state(std::uint32_t group, const GroupProgress& progress);
  /// @return an empty state where the disk holds none; ErrorKind::corrupted or ErrorKind::unavailable.
  Result<GroupProgress> restore_group_state(std::uint32_t group) const;
  void restore_group(std::uint32_t group);
  /// Leaves the group out until its state can be read. @param heard the latest description, if there is one.
  void note_unreadable(std::uint32_t group, const Error& error, const ReplicaGroup& heard);
  void schedule_reading_again();
  void read_again();
  /// What is kept beside the epoch: earlier versions do not know it.
  void store_marks(std::uint32_t group, const GroupProgress& progress);
  static wire::Bytes encode_marks(const GroupProgress& progress);
  Status restore_marks(std::uint32_t group, GroupProgress& progress) const;
  /// Notes on the disk that its place in @p group is another's now.
  void leave_place(std::uint32_t group, GroupProgress progress);
  /// Moves @p progress, which is described by @p before still, to the later epoch that it is described by now.
  /// @param was_former whether it was no member any more in the earlier one.
  void enter_epoch(std::uint32_t group, GroupProgress& progress, const ReplicaGroup& before, bool was_former);
  void start_copy(std::uint32_t group);
  void note_copy_begun(std::uint32_t group);
  void note_page(std::uint32_t group, const ReplicaIdentity& source, const wire::CopyReplyT& page);
  /// Tells of @p progress, which was @p before until now, in @p group.
  void tell_epoch(std::uint32_t group, const GroupProgress& before, const GroupProgress& progress) const;
  static replica_role role_of(const GroupProgress& progress);
  static copy_reason reason_of(const GroupProgress& before, const GroupProgress& progress);
  /// Fills in how this replica stands, for a refusal.
  void describe_standing(const wire::ScanRequestT& request, wire::ScanReplyT& reply) const;
  /// Asks for the pages that are due, of the sources that were asked longest ago first.
  void request_copies();
  void request_page(const PeerAddress& from, std::uint32_t group, const GroupProgress& progress, CopySource& source);
  /// Notes that a page has come that was asked of @p source.
  void note_page(const PeerAddress& address, const CopySource& source);
  /// @return whether the answer of @p source, asked at @p address, may still come.
  bool is_awaited(const CopySource& source, const PeerAddress& address) const;
  void schedule_copy_retry();
  /// Asks members that were copied from whether they are whole by now, and hold what the leaving ones held.
  void ask_how_sources_stand();
  /// Begins a copy anew from a source that holds what the leaving members held.
  static void copy_from_start(CopySource& source);
  /// Notes that the member with that number does; it is copied from once more, after the copy under way.
  void note_holds_leaving(std::uint32_t group, std::uint32_t member);
  /// Takes a promised ballot of another replica where it is later than the one held here.
  void merge_promise(std::uint32_t group, const wire::LedgerRecordT& incoming);
  /// The same of an accepted value.
  void merge_value(std::uint32_t group, const wire::LedgerRecordT& incoming);
  /// Takes up how the source of @p page stands.
  static void note_standing(CopySource& source, const wire::CopyReplyT& page);
  /// Takes a page of ballots: promises are merged, newer values noted as wanted.
  void take_ballots(std::uint32_t group, CopySource& source, const wire::CopyReplyT& page);
  /// Keeps what a late answer brings as long as this disk does not vote.
  void take_late_values(std::uint32_t group, const wire::CopyReplyT& values);
  /// What values brought.
  enum class values_taken {
    wanted,      ///< Some that were waited for.
    known,       ///< None of these.
    lost_there,  ///< The source has no longer what it had offered.
  };
  values_taken take_values(std::uint32_t group, CopySource& source, const wire::CopyReplyT& values);
  /// @return the member that has to be copied from anyway and is being asked for this value.
  static std::optional<std::uint32_t> awaited_from(const GroupProgress& progress, const std::string& key,
                                                   const Ballot& ballot);
  void finish_copy_if_complete(std::uint32_t group);
  wire::CopyStatusT describe_copy(std::uint32_t group, std::uint64_t epoch) const;
  /// Answers an offer and tells of it.
  wire::PlaceConsent answer_offer(const place_offer& offer);
  /// @return whether this disk takes the place; a consent is durable with the next flush.
  wire::PlaceConsent answer_place(const place_offer& offer);
  /// @return whether this disk is to decide alone without the other member, which this node would have to miss, too.
  wire::PlaceConsent answer_alone(const place_offer& offer) const;
  /// Tells the other members that this disk votes from now on.
  void tell_admission(std::uint32_t group);
  /// @return whether all sources that are members, or all that are leaving, have been copied from.
  static bool copied_from(const GroupProgress& progress, bool leaving);
  /// @return whether everything that @p source offered is here.
  static bool holds_all_of(const GroupProgress& progress, const CopySource& source);
  /// @return whether a source that was whole has been copied from.
  static bool copied_from_whole(const GroupProgress& progress);
  /// @return how many admitted sources have been copied from.
  /// @param fresh_leavers whether those count that were members in the epoch before.
  static std::size_t admitted_copied_from(const GroupProgress& progress, bool fresh_leavers);
  /// @return whether what has been copied holds every record that was confirmed before the epoch.
  /// @param holds_leaving whether it holds all that the leaving members held.
  static bool has_copied_all(const GroupProgress& progress, bool holds_leaving);
  static bool newly_holds_leaving(const GroupProgress& progress);
  static bool newly_whole(const GroupProgress& progress);
  /// What has been copied to the end.
  struct copied_parts {
    bool leaving = false;  ///< All that the leaving members held.
    bool whole = false;    ///< Every record that was confirmed before the epoch.
  };
  /// Takes up what has been copied to the end and is on the disk.
  void mark_copied(std::uint32_t group, copied_parts parts);
  /// Asks no source any more where nothing is left to copy.
  static void end_copy_if_complete(GroupProgress& progress);
  /// Has values that a source leaves unsent for long asked for from the others.
  void take_back_values();
  /// Notes that a source is whole by now; it is copied from once more.
  void note_whole(std::uint32_t group, std::uint32_t number);
  /// @return ErrorKind::corrupted or ErrorKind::unavailable where the disk cannot be read on.
  Result<Records> page(const PageQuery& query, bool& truncated) const;
  /// What is wanted of records that are named.
  struct RecordQuery {
    std::uint32_t group = 0;
    const std::vector<std::string>& keys;
    std::size_t max_bytes = 0;  ///< Of keys and values; at least one record comes.
    bool values = true;         ///< Otherwise only the ballots of accepted values.
  };
  /// @return as many of the first records as fit; one that does not exist has a zero ballot.
  Records records_of(const RecordQuery& query) const;
  /// Fills the common part of @p reply and reads the record. When either is refused, the reply
  /// is sent and nothing returned.
  template <class Request, class Reply>
  std::optional<StoredRecord> open_request(const PeerAddress& sender, const Request& message, Reply& reply,
                                           bool with_value);
  template <class Reply>
  void refuse_ballot(const PeerAddress& sender, Reply reply);
  /// Runs @p send once nothing is left that a loss of power could take away of what is known now: at once where all is
  /// synced. Does not run it when the disk fails.
  template <class Send>
  void when_durable(Send send);
  /// Sends a reply that tells no record; where it tells an epoch, only once that is durable.
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
      asked_at_;  ///< Groups whose records somebody has asked for, whatever was answered.
  std::map<std::uint32_t, GroupWord> words_;
  place_consents consents_;
  bool suspended_ = false;
  std::map<std::uint32_t, ReplicaGroup> unreadable_;  ///< Groups left out, and what was heard of them last.
  bool groups_unread_ = false;                        ///< Nobody knows which groups the disk has.
  bool reading_again_ = false;
  std::map<std::uint32_t, copy_progress> copies_;  ///< The latest one of each group.
  bool copy_retry_scheduled_ = false;
  std::map<PeerAddress, source_activity> heard_of_sources_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::ledger
