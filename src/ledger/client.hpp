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

/// Computes the next value from the current one; returns nothing to leave the record as it is.
/// May run several times for one change, and may see its own earlier effect: a value has to
/// carry who wrote it wherever that matters.
using ChangeFunction = std::function<OptionalValue(const OptionalValue& current)>;

/// Receives the value that stands after the change. ErrorKind::unavailable: nothing was
/// written. ErrorKind::ambiguous: the change may or may not take effect later.
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

/// What a scan brings.
enum class ScanContent {
  values,  ///< Keys and values.
  keys,    ///< Keys only; values are empty.
};

struct ClientOptions {
  Duration attempt_timeout = 400ms;  ///< Of the first attempt at a scan; each further one has twice as long.
  /// Slowest link over which a value is sent; an attempt is given the time that its bytes take there.
  std::size_t least_bytes_per_second = 1 << 20;
  Duration operation_timeout = 4s;
  /// How long a change that a majority holds waits for the remaining replicas.
  Duration full_copy_wait = 20ms;
  Duration backoff_unit = 5ms;
  /// How long the value of a scan is waited for when the other replicas have told their ballots.
  Duration value_wait = 200ms;
  /// Slowest link over which the values of fetched records come; they are given that much longer.
  std::size_t least_value_bytes_per_second = 4 << 20;
  /// Fetched records that are settled at the same time: each takes two rounds with the whole group.
  std::size_t most_settled_at_once = 8;
  /// A replica that kept a scan waiting so is not the first to be asked for values for this long.
  Duration avoid_silent = 2s;
};

/// @return how far a node is from here; the least is asked for values.
using NodeDistance = std::function<unsigned(const NodeId&)>;

/// Proposer for all records. Owned by one node, single threaded.
class Client {
 public:
  Client(Environment& environment, Counters& counters, AddressLookup addresses, ClientOptions options = {},
         NodeDistance distance = nullptr);

  /// Takes a published map. Of each group the latest epoch known stands.
  void on_group_map(const GroupMap& map);
  /// Takes a decided description of one group.
  /// @return whether it is later than what was known.
  bool learn(std::uint32_t group, const ReplicaGroup& description);
  bool has_group_map() const { return !map_.groups.empty(); }
  /// @return whether a later epoch has named the node of @p replica with another disk: this one is lost, whatever a
  ///         belief about the node from before still says.
  bool is_obsolete(const ReplicaIdentity& replica) const { return obsolete_.contains(replica); }
  const GroupMap& group_map() const { return map_; }

  /// Changes one record atomically.
  void change(const std::string& key, ChangeFunction function, ChangeDone done);
  /// Reads one record, linearizably.
  void read(const std::string& key, ChangeDone done);
  /// Writes a record that no one else ever writes (its key holds an identifier made for this
  /// write). Saves the prepare round.
  void write_exclusive(const std::string& key, wire::Bytes value, ChangeDone done);
  /// Lets the members of the present epoch decide the next one: the first proposal that a quorum
  /// takes stands, and is told to all concerned.
  /// @param rule who must agree: the majority, unless a member of an even group is proven lost or another one was
  ///        named the sole decider.
  /// @p done gets the description that stands, or why none was decided.
  void decide_next(std::uint32_t group, const ReplicaGroup& next, const EpochRule& rule,
                   std::function<void(Result<ReplicaGroup>)> done);
  /// Lets the members of the present epoch decide the next one with the same members, unless another one is decided:
  /// afterwards it is known whom that epoch names.
  void settle_next(std::uint32_t group, std::function<void(Result<ReplicaGroup>)> done);
  /// Tells everybody named in the present description of @p group about it.
  void announce_group(std::uint32_t group);
  /// Tells @p node the present description of @p group.
  void tell_group(std::uint32_t group, const NodeId& node);
  /// Lists records of one partition that start with @p prefix, after @p after. Values come from the
  /// nearest replica; the others tell their ballots, which show whether its values stand.
  void scan(const std::string& prefix, const std::string& after, std::uint32_t limit, ScanDone done,
            ScanContent content = ScanContent::values);
  /// As scan(), but gives up after @p patience.
  void scan_within(Duration patience, const std::string& prefix, std::uint32_t limit, ScanDone done);
  /// As scan(), in the group of that number.
  void scan_group(std::uint32_t group, const std::string& prefix, const std::string& after, std::uint32_t limit,
                  ScanDone done, ScanContent content = ScanContent::values);
  /// Reads the records of one partition that are named, with one question to each replica: as many of the first as @p
  /// max_bytes hold, at least one. Those that do not exist are left out; next_after is the first key that was not
  /// reached, or empty. Gives up after @p patience.
  void fetch(const std::vector<std::string>& keys, std::size_t max_bytes, Duration patience, ScanDone done);

  /// Told of each request to a replica; may be empty.
  std::function<void(const NodeId&)> on_asked;
  /// Told when a replica refuses a request of the epoch; may be empty.
  std::function<void(const PeerAddress&, std::uint32_t group, std::uint64_t epoch, wire::ReplicaStatus)> on_refusal;

  /// Told when a replica takes a request of the epoch: it votes; may be empty.
  std::function<void(const PeerAddress&, std::uint32_t group, std::uint64_t epoch)> on_granted;

  /// Told how the members answered a proposal of a group's next epoch, before its own answer is given; may be empty.
  std::function<void(std::uint32_t group, const decision_votes&)> on_decision;

  void handle(const PeerAddress& sender, const wire::PromiseT& message);
  void handle(const PeerAddress& sender, const wire::AcceptedT& message);
  void handle(const PeerAddress& sender, const wire::ScanReplyT& message);

 private:
  /// What a member said with a refusal of a scan.
  struct member_refusal {
    wire::ReplicaStatus status = wire::ReplicaStatus::NotReady;
    wire::ReplicaStanding standing = wire::ReplicaStanding::NotSaid;  ///< Also of members of earlier versions.
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
    std::uint64_t request = 0;  ///< of the current attempt; answers to others are dropped
    ReplicaGroup group;
    std::uint32_t group_number = 0;
    Ballot ballot;
    std::set<std::uint32_t> granted;
    std::size_t refused = 0;
    Ballot best_accepted;
    std::size_t best_count = 0;  ///< replicas that reported best_accepted
    OptionalValue value;
    bool accept_sent = false;
    bool exclusive = false;
    EpochRule rule;
    std::map<PeerAddress, wire::ReplicaStatus> refusals;  ///< The latest one of each member, in all attempts.
    std::optional<std::uint64_t> only_epoch;  ///< Of a decision: its rule holds for the members of that epoch alone.
    std::size_t admitted = 0;                 ///< Of a decision: members that granted it and vote on records.
    std::size_t whole = 0;        ///< Of a decision: members that granted it and are whole, but one that is let go.
    std::size_t say_nothing = 0;  ///< Of a decision: members of earlier versions that granted it.
    std::set<std::uint32_t> not_whole;  ///< Of a decision: members that granted it and may lack confirmed records.
    std::optional<std::uint32_t> given_up_answer;  ///< Of a decision: the member to be given up, which answered.
    unsigned attempts = 0;

    /// @return whether those that granted a decision hold every confirmed record.
    bool is_safe_to_decide() const;
    std::size_t needed() const { return rule.quorum > 0 ? rule.quorum : group.majority(); }
    /// @return whether the group's member with that number is to be given up.
    bool gives_up(std::uint32_t replica) const {
      return rule.given_up && replica < group.replicas.size() && group.replicas[replica] == *rule.given_up;
    }
    /// @return whether the group's member with that number is to be let go.
    bool lets_go(std::uint32_t replica) const {
      return rule.let_go && replica < group.replicas.size() && group.replicas[replica] == *rule.let_go;
    }
    /// @return whether the answer of the group's member with that number counts.
    bool counts(std::uint32_t replica) const {
      return !rule.sole || (replica < group.replicas.size() && group.replicas[replica] == *rule.sole);
    }
  };
  struct Scan {
    std::optional<std::uint32_t> named_group;  ///< Otherwise the one that the prefix or the first key belongs to.
    std::uint32_t group_number = 0;            ///< Of the present attempt.
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
    std::optional<std::uint32_t> source;  ///< Replica asked for values; nothing: all of them.
    bool value_timer = false;
    unsigned attempts = 0;
    /// Of all attempts, by member and reason.
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
  /// @return how long an attempt at @p operation may take: a value has to reach every replica.
  Duration attempt_time(const Operation& operation) const;
  void promises_complete(OperationId id, Operation& operation);
  void on_accept_progress(OperationId id, Operation& operation);
  void refuse(OperationId id, Operation& operation, const Ballot& promised);
  /// Brings @p sender and this node to the same epoch after a refusal for its sake.
  /// @return whether this node has learnt a later one.
  template <class Reply>
  bool reconcile_epochs(const PeerAddress& sender, std::uint32_t group, const Reply& reply);
  /// Sends @p request to all members while it is useful to them.
  template <class Request>
  void broadcast(const ReplicaGroup& group, const Request& request, Duration useful_for);
  void note_asked(const NodeId& node) const;
  void note_granted(const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch) const;

  void submit_scan(Scan scan, Duration patience);
  /// Asks those that have not answered yet. What has come stays, unless the group is of another epoch by now.
  void start_scan(OperationId id);
  void begin_attempt(OperationId id, Scan& scan);
  void retry_scan(OperationId id);
  /// @return the replica of @p group to ask for values.
  std::uint32_t value_source(const ReplicaGroup& group) const;
  void ask_for_scan(const Scan& scan);
  /// @return whether @p scan still needs the answer of the group's member with that number.
  static bool lacks_answer(const Scan& scan, std::uint32_t replica);
  /// @return whether the replies tell what stands.
  static bool scan_complete(const Scan& scan);
  void await_value(OperationId id, Scan& scan);
  void finish_scan(OperationId id);
  /// @return why no majority answered @p scan: first what each member said last, then all refusals that it gave.
  Error scan_failure(const Scan& scan) const;
  /// @return the node and its latest answer in few characters, so that a line that is cut still tells all of them.
  std::string describe_member(const Scan& scan, std::uint32_t index) const;
  static std::string describe_refusal(const member_refusal& refusal, std::uint64_t epoch);
  /// @return what was counted of refusals; empty: none.
  std::string count_refusals(const Scan& scan) const;
  /// @return why no majority agreed to @p operation: what each member said last.
  std::string operation_failure(const Operation& operation) const;
  /// @return how the members answered @p operation, a decision, last.
  decision_votes votes_on(const Operation& operation) const;
  /// @return the records that a majority's replies tell, and which of them have to be settled.
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
  std::map<NodeId, Timestamp> silent_until_;  ///< Replicas that kept scans waiting.
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
