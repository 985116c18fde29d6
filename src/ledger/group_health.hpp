#pragma once
/// @file Tracks whether each replica group has a majority that can vote, as far as this node knows. Reported to
/// operators only; no decision depends on it.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "ledger/client.hpp"
#include "ledger/gone_disks.hpp"
#include "ledger/replica.hpp"

namespace madderdeck::ledger {

/// Whether a member of a group counts towards its majority, and why not.
enum class member_state {
  counts,         ///< It has reported that it votes, or nothing indicates otherwise since the group was founded.
  not_heard,      ///< It joined after the founding epoch and has not reported yet whether it votes; it is being asked.
  not_admitted,   ///< It is still copying records from the other members.
  unknown_epoch,  ///< It does not know the group's current epoch.
  silent,         ///< It answers probes, but no ledger requests.
  suspected,      ///< It has not answered the most recent probes.
  dead,
  disk_replaced,  ///< Its node runs with another disk.
  unknown_node,   ///< This node does not know its node.
};

/// The source from which a member's state is known.
enum class evidence {
  nothing,     ///< Nothing has been received yet.
  founding,    ///< It is a member of the founding epoch, in which the disks of a group lack no records.
  membership,  ///< The membership state of its node.
  requests,    ///< Whether its node answers ledger requests.
  refusal,     ///< It refused a request of this node.
  own_report,  ///< It granted a request of this node, or reported its state when asked.
  own_disk,    ///< It is a replica of this node.
};

/// @return the names used in logs and by the command line tool.
const char* name_of(member_state state);
const char* name_of(evidence known_by);

/// One member of a group as this node sees it.
struct member_view {
  ReplicaIdentity identity;
  member_state state = member_state::counts;
  evidence known_by = evidence::nothing;
  Duration held_for{};  ///< For how long this node has seen it in this state.
  /// Time since it last answered a request or question of this node; nothing: it has answered none.
  std::optional<Duration> heard_ago;
  std::optional<PeerAddress> address;  ///< Nothing: this node does not know its address.
};

/// One group as this node sees it.
struct group_view {
  std::uint32_t group = 0;
  std::uint64_t epoch = 0;
  std::vector<member_view> members;
  /// Disks named by the group that are permanently gone; determined only when there is no majority.
  std::vector<gone_disk> gone;

  std::size_t counting() const;
  std::size_t not_heard() const;
  /// @return the number of members that form a majority.
  std::size_t needed() const { return members.size() / 2 + 1; }
  bool has_majority() const { return counting() >= needed(); }
  /// @return whether it would have a majority if all members with state not_heard voted.
  bool may_have_majority() const { return counting() + not_heard() >= needed(); }
  /// @return "node/disk state" of each member.
  std::string text() const;
  /// @return for each member that does not count: its state, for how long, when it was last heard, and its address.
  std::string uncounted_text() const;
};

/// Reports to operators when groups lose their majority and when replicas are not admitted for long. The information
/// comes from membership, from answers to this node's own requests, and from questions whether a member is admitted,
/// sent to members that joined after the founding epoch or have refused a request. These questions are sent with
/// increasing pauses, at most one per second, and end once the member has answered, unless it refuses a request again.
/// A loss is reported only if the group has no majority even counting members with state not_heard; recovery only if it
/// has a majority without them. Owned by one node, single-threaded.
class group_health {
 public:
  /// Returns the membership entry of a node, or of this one; null when the node is not known.
  using member_lookup = std::function<const wire::MemberT*(const NodeId&)>;

  /// @param replica null on nodes without a disk.
  group_health(Environment& environment, Counters& counters, DecisionLog& log, const Client& client,
               const Replica* replica, member_lookup member);

  /// Sets how permanently gone disks are recognized: the time to wait for a node, and whether a node was drained.
  void set_loss_criteria(std::function<Duration()> patience,
                         std::function<std::optional<bool>(const NodeId&)> is_drained);
  void start();

  /// Called when this node has sent a ledger request that @p node is expected to answer.
  void on_request_sent(const NodeId& node);
  /// Called for each answer to a ledger request, whatever its content.
  void on_heard(const PeerAddress& sender);
  /// Called when a member has granted a request of this node at @p epoch.
  void on_granted(const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch);
  /// Called when a member has refused a request of this node at @p epoch.
  void on_refusal(const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch, wire::ReplicaStatus status);
  /// Handles a member's report of its standing.
  void handle(const PeerAddress& sender, const wire::CopyStatusT& message);

  /// @return all groups that this node knows.
  std::vector<group_view> views() const;
  group_view view(std::uint32_t group) const;
  /// @return the known reason for the state of @p member of @p group, for operators.
  std::string explain(std::uint32_t group, const member_view& member) const;

 private:
  /// What a member has reported about one group.
  struct member_report {
    std::optional<member_state> state;  ///< One of counts, not_admitted and unknown_epoch.
    evidence by = evidence::nothing;    ///< A state derived from a refusal expires after a while.
    bool answered = false;              ///< It has answered, possibly without reporting whether it votes.
    Timestamp heard_at{};
    unsigned asked = 0;            ///< Number of questions at this epoch.
    unsigned unanswered = 0;       ///< Number of questions since its last answer.
    Timestamp next_question_at{};  ///< When the next question is due.
  };
  /// The last observed state of a member.
  struct seen_member {
    member_state state = member_state::not_heard;
    Timestamp since{};
  };
  struct known_state {
    member_state state = member_state::not_heard;
    evidence known_by = evidence::nothing;
  };
  struct group_state {
    std::uint64_t epoch = 0;
    std::map<ReplicaIdentity, seen_member> seen;
    std::map<ReplicaIdentity, member_report> reports;
    bool loss_reported = false;
    std::optional<Timestamp> change_pending_since;  ///< Since when the reported state no longer applies.
    Timestamp lost_since{};
    Timestamp loss_reported_at{};             ///< When a loss was last reported; zero: never.
    std::set<ReplicaIdentity> reported_gone;  ///< Gone disks reported since the loss of the majority was reported.
  };
  /// A replica on this node's disk that may not vote yet.
  struct unadmitted_replica {
    Timestamp since{};
    Timestamp next_report_at{};
    Duration pause{};
  };
  /// Ledger requests that a node has not answered.
  struct request_activity {
    Timestamp first{};
    Timestamp last{};
    unsigned requests = 0;
    Timestamp heard_at{};  ///< When the latest expected answer arrived; zero: none has.
  };

  void check();
  /// Adopts later epochs: disks that remain members are still admitted.
  void adopt_epochs();
  void update_seen(std::uint32_t group, group_state& state) const;
  void check_majority(std::uint32_t group, group_state& state);
  void report_majority(const group_view& seen, group_state& state);
  /// Reports each permanently gone disk once that is named by a group whose loss of majority was reported.
  /// @return whether there are any such disks.
  bool report_gone_disks(std::uint32_t group, group_state& state);
  void check_admissions();
  void report_unadmitted(const Replica::unadmitted& replica, const unadmitted_replica& waiting);
  /// Asks the member whose question has been due for longest, if the rate limit permits a question now.
  void send_next_question();
  /// @return whether the member has to be asked for its standing.
  bool needs_question(const ReplicaIdentity& identity, const member_report& heard) const;
  known_state find_state(std::uint32_t group, const ReplicaIdentity& identity) const;
  /// @return the state that the member has reported, provided that its node answers probes.
  known_state reported_state(std::uint32_t group, const ReplicaIdentity& identity) const;
  /// @return the state of this node's own replica.
  member_state own_state(std::uint32_t group) const;
  /// @return the state of its node, independent of what it reports about a group.
  member_state presence_of(const ReplicaIdentity& identity) const;
  /// @return when the member last answered this node; zero: never.
  Timestamp last_heard(std::uint32_t group, const ReplicaIdentity& identity) const;
  bool is_silent(const NodeId& node) const;
  /// @return the report of the group's member at @p sender; null if there is none.
  member_report* report_of(const PeerAddress& sender, std::uint32_t group);
  /// @return the same if @p epoch is the current one; null otherwise.
  member_report* report_at(const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch);
  /// @return whether all members of @p group have reported that they vote at @p epoch. This is the common case, checked
  ///         for every answer.
  bool all_admitted(std::uint32_t group, std::uint64_t epoch) const;
  const ReplicaGroup& description(std::uint32_t group) const { return client_.group_map().groups[group]; }

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  const Client& client_;
  const Replica* const replica_;
  const member_lookup member_;
  Timestamp started_{};
  Timestamp last_question_{};
  std::vector<group_state> groups_;
  std::map<std::uint32_t, unadmitted_replica> waiting_;
  std::map<NodeId, request_activity> request_activities_;
  gone_disks gone_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::ledger
