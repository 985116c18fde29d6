#pragma once
/// @file The proposing side of the ledger: linearizable change, read and scan of records.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/counters.hpp"
#include "common/environment.hpp"
#include "ledger/ballot.hpp"
#include "ledger/decision_votes.hpp"
#include "ledger/groups.hpp"
#include "wire/codec.hpp"

namespace madderdeck::ledger {

using OptionalValue = std::optional<wire::Bytes>;

/// Computes the next value from the current one; returns nothing to leave the record unchanged. May be called several
/// times for one change and may see a value that an earlier call of its own produced. A value therefore has to identify
/// its writer wherever that matters.
using ChangeFunction = std::function<OptionalValue(const OptionalValue& current)>;

/// Receives the value of the record after the change. ErrorKind::unavailable: nothing was written.
/// ErrorKind::ambiguous: the change may or may not take effect later.
using ChangeDone = std::function<void(Result<OptionalValue>)>;

struct ScanRecord {
  std::string key;
  wire::Bytes value;
};
/// One page of records in key order; @c next_after is empty on the last page.
struct ScanPage {
  std::vector<ScanRecord> records;
  std::string next_after;
};
using ScanDone = std::function<void(Result<ScanPage>)>;

/// What a scan returns.
enum class ScanContent {
  values,  ///< Keys and values.
  keys,    ///< Keys only; values are empty.
};

struct ClientOptions {
  Duration attempt_timeout = 400ms;  ///< Timeout of the first attempt; each further attempt doubles it.
  /// Lowest assumed bandwidth for sending values; the timeout of an attempt is extended by the transfer time of its
  /// value at this rate.
  std::size_t min_bytes_per_second = 1 << 20;
  Duration operation_timeout = 4s;
  /// How long a change that a majority has accepted waits for the remaining replicas.
  Duration full_copy_wait = 20ms;
  Duration backoff_unit = 5ms;
  /// How long a scan waits for the values once the other replicas have sent their ballots.
  Duration value_wait = 200ms;
  /// Lowest assumed bandwidth for values of fetched records; a fetch waits longer by their transfer time at this rate.
  std::size_t min_value_bytes_per_second = 4 << 20;
  /// Limit on fetched records that are settled concurrently: each takes two rounds with the whole group.
  std::size_t max_concurrent_settles = 8;
  /// For how long a replica that delayed a scan is not the first choice as the source of values.
  Duration avoid_unresponsive = 2s;
};

/// @return the distance of a node from this one; values are requested from the nearest node.
using NodeDistance = std::function<unsigned(const NodeId&)>;

/// Proposer for all records. Owned by one node, single-threaded.
class Client {
 public:
  Client(Environment& environment, Counters& counters, AddressLookup addresses, ClientOptions options = {},
         NodeDistance distance = nullptr);

  /// Merges a published map: for each group the latest known epoch is kept.
  void on_group_map(const GroupMap& map);
  /// Learns a decided description of one group.
  /// @return whether it is of a later epoch than the known description.
  bool learn(std::uint32_t group, const ReplicaGroup& description);
  bool has_group_map() const { return !map_.groups.empty(); }
  /// @return whether a later epoch names the node of @p replica with another disk. The disk of @p replica is then lost,
  ///         whatever the membership table still says about the node.
  bool is_obsolete(const ReplicaIdentity& replica) const { return obsolete_.contains(replica); }
  const GroupMap& group_map() const { return map_; }

  /// Changes one record atomically.
  void change(const std::string& key, ChangeFunction function, ChangeDone done);
  /// Reads one record linearizably.
  void read(const std::string& key, ChangeDone done);
  /// Writes a record that has no other writer (its key holds an identifier made for this write). Saves the prepare
  /// round.
  void write_exclusive(const std::string& key, wire::Bytes value, ChangeDone done);
  /// Has the members of the current epoch decide the next one: the first proposal that a quorum accepts is decided and
  /// is sent to all members of both epochs.
  /// @param rule which members must agree: a majority, unless a member of an even group is proven lost or one member
  ///        was named the sole decider.
  /// @param done receives the decided description, or the reason why none was decided
  void decide_next(std::uint32_t group, const ReplicaGroup& next, const EpochRule& rule,
                   std::function<void(Result<ReplicaGroup>)> done);
  /// Has the members of the current epoch decide the next one with unchanged members, unless another proposal is
  /// decided first. Afterwards it is known which disks the next epoch names.
  void decide_next_unchanged(std::uint32_t group, std::function<void(Result<ReplicaGroup>)> done);
  /// Sends the current description of @p group to every replica that it names.
  void announce_group(std::uint32_t group);
  /// Sends the current description of @p group to @p node.
  void send_group_description(std::uint32_t group, const NodeId& node);
  /// Lists the records of one partition whose keys start with @p prefix and follow @p after. Values come from the
  /// nearest replica; the other replicas send their ballots, which show whether these values are chosen.
  void scan(const std::string& prefix, const std::string& after, std::uint32_t limit, ScanDone done,
            ScanContent content = ScanContent::values);
  /// Like scan(), but fails after @p patience.
  void scan_with_timeout(Duration patience, const std::string& prefix, std::uint32_t limit, ScanDone done);
  /// Like scan(), in the group with the given number.
  void scan_group(std::uint32_t group, const std::string& prefix, const std::string& after, std::uint32_t limit,
                  ScanDone done, ScanContent content = ScanContent::values);
  /// Reads the named records of one partition with one request to each replica. Returns as many of the first ones as @p
  /// max_bytes hold, at least one. Records that do not exist are left out; next_after is the first key that was not
  /// reached, or empty. Fails after @p patience.
  void fetch(const std::vector<std::string>& keys, std::size_t max_bytes, Duration patience, ScanDone done);

  /// Called for each request sent to a replica; may be empty.
  std::function<void(const NodeId&)> on_request_sent;
  /// Called when a replica refuses a request for the epoch; may be empty.
  std::function<void(const PeerAddress&, std::uint32_t group, std::uint64_t epoch, wire::ReplicaStatus)> on_refusal;

  /// Called when a replica grants a request for the epoch, which shows that it votes; may be empty.
  std::function<void(const PeerAddress&, std::uint32_t group, std::uint64_t epoch)> on_granted;

  /// Called with the members' answers to a proposal of a group's next epoch, before the result is reported; may be
  /// empty.
  std::function<void(std::uint32_t group, const decision_votes&)> on_decision;

  void handle(const PeerAddress& sender, const wire::PromiseT& message);
  void handle(const PeerAddress& sender, const wire::AcceptedT& message);
  void handle(const PeerAddress& sender, const wire::ScanReplyT& message);

 private:
  /// What a member reported when it refused a scan.
  struct member_refusal {
    wire::ReplicaStatus status = wire::ReplicaStatus::NotReady;
    wire::ReplicaStanding standing = wire::ReplicaStanding::NotSaid;  ///< NotSaid also for members of earlier versions.
    std::uint64_t known_epoch = 0;
    std::uint64_t copied_bytes = 0;
    std::uint32_t waits_ms = 0;
  };
  enum class Phase { waiting, preparing, accepting, copying };
  struct Operation {
    std::string key;
    ChangeFunction function;
    ChangeDone done;
    Timestamp deadline{};
    Phase phase = Phase::waiting;
    std::uint64_t request = 0;  ///< Of the current attempt; answers to other attempts are dropped.
    ReplicaGroup group;
    std::uint32_t group_number = 0;
    Ballot ballot;
    std::set<std::uint32_t> granted;
    std::size_t refused = 0;
    Ballot best_accepted;
    std::size_t best_count = 0;  ///< Number of replicas that reported best_accepted.
    OptionalValue value;
    bool accept_sent = false;
    bool exclusive = false;
    EpochRule rule;
    std::map<PeerAddress, wire::ReplicaStatus> refusals;  ///< The latest refusal of each member over all attempts.
    /// Of a decision: the epoch for whose members alone its rule is valid.
    std::optional<std::uint64_t> required_epoch;
    std::size_t admitted_grants = 0;  ///< Of a decision: number of members that granted it and vote on records.
    /// Of a decision: number of members that granted it and hold every confirmed record, without the departing one.
    std::size_t whole_grants = 0;
    /// Of a decision: number of granting members of earlier versions, which do not report their standing.
    std::size_t standing_unknown = 0;
    std::set<std::uint32_t> not_whole;  ///< Of a decision: members that granted it and may lack confirmed records.
    std::optional<std::uint32_t> given_up_answer;  ///< Of a decision: set when the member to be given up has answered.
    unsigned attempts = 0;

    /// @return whether the members that granted a decision together hold every confirmed record.
    bool is_safe_to_decide() const;
    std::size_t needed() const { return rule.quorum > 0 ? rule.quorum : group.majority(); }
    /// @return whether member number @p replica of the group is to be given up.
    bool gives_up(std::uint32_t replica) const {
      return rule.given_up && replica < group.replicas.size() && group.replicas[replica] == *rule.given_up;
    }
    /// @return whether member number @p replica of the group is the departing one.
    bool lets_go(std::uint32_t replica) const {
      return rule.let_go && replica < group.replicas.size() && group.replicas[replica] == *rule.let_go;
    }
    /// @return whether the answer of member number @p replica of the group counts.
    bool counts(std::uint32_t replica) const {
      return !rule.sole || (replica < group.replicas.size() && group.replicas[replica] == *rule.sole);
    }
  };
  struct Scan {
    std::optional<std::uint32_t> named_group;  ///< Unset: the group of the prefix or of the first key.
    std::uint32_t group_number = 0;            ///< Of the current attempt.
    std::string prefix;
    std::string after;
    std::uint32_t limit = 0;
    std::vector<std::string> keys;  ///< Of a fetch; otherwise empty.
    std::size_t max_bytes = 0;      ///< Of a fetch.
    ScanDone done;
    Timestamp deadline{};
    std::uint64_t request = 0;
    ReplicaGroup group;
    std::map<std::uint32_t, wire::ScanReplyT> replies;
    std::size_t refused = 0;
    ScanContent content = ScanContent::values;
    std::optional<std::uint32_t> source;  ///< Replica that values are requested from; unset: all of them.
    bool value_timer_running = false;
    unsigned attempts = 0;
    /// Number of refusals over all attempts, by member and reason.
    std::map<PeerAddress, std::map<wire::ReplicaStatus, unsigned>> refusals;
    std::map<PeerAddress, member_refusal> latest_refusals;
  };
  struct MergedPage;
  using OperationId = std::uint64_t;

  OperationId submit(Operation operation);
  void start_attempt(OperationId id);
  void begin_prepare(OperationId id, Operation& operation);
  void begin_accept(OperationId id, Operation& operation);
  void retry_later(OperationId id);
  void finish(OperationId id, Result<OptionalValue> result);
  void give_up(OperationId id);
  void arm_attempt_timer(OperationId id, std::uint64_t request);
  /// @return the timeout of an attempt at @p operation, which includes the time to send the value to every replica.
  Duration attempt_time(const Operation& operation) const;
  void on_promises_complete(OperationId id, Operation& operation);
  void on_accept_progress(OperationId id, Operation& operation);
  void refuse(OperationId id, Operation& operation, const Ballot& promised);
  /// Brings @p sender and this node to the same epoch after @p sender refused a request because of its epoch.
  /// @return whether this node has learnt of a later epoch.
  template <class Reply>
  bool reconcile_epochs(const PeerAddress& sender, std::uint32_t group, const Reply& reply);
  /// Sends @p request to all members; it is dropped once @p useful_for has passed.
  template <class Request>
  void broadcast(const ReplicaGroup& group, const Request& request, Duration useful_for);
  void note_request(const NodeId& node) const;
  void note_granted(const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch) const;

  void submit_scan(Scan scan, Duration patience);
  /// Sends the request to the replicas that have not answered yet. Replies already received are kept unless the epoch
  /// of the group has changed since.
  void start_scan(OperationId id);
  void begin_attempt(OperationId id, Scan& scan);
  void retry_scan(OperationId id);
  /// @return the replica of @p group to request values from.
  std::uint32_t value_source(const ReplicaGroup& group) const;
  void send_scan_requests(const Scan& scan);
  /// @return whether @p scan still needs the answer of member number @p replica of the group.
  static bool lacks_answer(const Scan& scan, std::uint32_t replica);
  /// @return whether the replies are enough to determine the chosen values.
  static bool scan_complete(const Scan& scan);
  void await_value(OperationId id, Scan& scan);
  void finish_scan(OperationId id);
  /// @return why no majority answered @p scan: first the last answer of each member, then all of its refusals.
  Error scan_failure(const Scan& scan) const;
  /// @return the node and its latest answer in short form, so that a truncated log line still covers all members.
  std::string describe_member(const Scan& scan, std::uint32_t index) const;
  static std::string describe_refusal(const member_refusal& refusal, std::uint64_t epoch);
  /// @return the refusal counts by member and reason; empty if there were none.
  std::string describe_refusals(const Scan& scan) const;
  /// @return why no majority granted @p operation: the last answer of each member.
  std::string operation_failure(const Operation& operation) const;
  /// @return the last answer of each member to @p operation, which is a decision.
  decision_votes votes_on(const Operation& operation) const;
  /// @return the records in the replies of a majority, and which of them have to be settled.
  static std::shared_ptr<MergedPage> merge_replies(const Scan& scan);
  void settle(const std::shared_ptr<MergedPage>& page, ScanDone done);
  template <class Items>
  typename Items::iterator find_request(Items& items, std::uint64_t request);

  Environment& environment_;
  Counters& counters_;
  const AddressLookup addresses_;
  const ClientOptions options_;
  const NodeDistance distance_;
  std::set<ReplicaIdentity> obsolete_;
  std::map<NodeId, Timestamp> avoided_until_;  ///< Replicas that delayed scans, and until when others are preferred.
  const std::uint64_t proposer_;
  GroupMap map_;
  std::uint64_t highest_counter_ = 0;
  std::uint64_t next_id_ = 0;
  std::uint64_t next_request_;
  std::map<OperationId, Operation> operations_;
  std::map<OperationId, Scan> scans_;
  std::map<std::uint64_t, OperationId> by_request_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::ledger
