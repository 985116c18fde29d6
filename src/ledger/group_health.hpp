#pragma once
/// @file Whether the replica groups have a majority that can vote, as far as this node knows: for operators only,
/// nothing is decided by it.

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

/// Why a member of a group counts towards its majority, or does not.
enum class member_state {
  counts,         ///< It has said that it votes, or nothing speaks against it since the group was founded.
  not_heard,      ///< It joined in a later epoch and has not said yet whether it votes: it is being asked.
  not_admitted,   ///< It still copies from the others.
  unknown_epoch,  ///< It does not know the group's present epoch.
  silent,         ///< It answers probes, but none of the ledger's requests.
  suspected,      ///< It has not answered the latest probes.
  dead,
  disk_replaced,  ///< Its node runs with another disk.
  unknown_node,   ///< This node has not heard of it.
};

/// What a member's state is known by.
enum class evidence {
  nothing,     ///< No word yet.
  founding,    ///< A group is founded on disks that lack nothing.
  membership,  ///< What the nodes believe of its node.
  requests,    ///< Whether the ledger's requests to it are answered.
  refusal,     ///< It refused a request of this node.
  word,        ///< It granted a request of this node, or said so when it was asked.
  own_disk,    ///< It is this node.
};

/// @return the names that logs and the command line show.
const char* name_of(member_state state);
const char* name_of(evidence known_by);

/// One member of a group as this node sees it.
struct member_view {
  ReplicaIdentity identity;
  member_state state = member_state::counts;
  evidence known_by = evidence::nothing;
  Duration held_for{};  ///< For how long this node has seen it so.
  /// How long ago it answered a request or question of this node; nothing: it has answered none.
  std::optional<Duration> heard_ago;
  std::optional<PeerAddress> address;  ///< Nothing: this node does not know where it is.
};

/// One group as this node sees it.
struct group_view {
  std::uint32_t group = 0;
  std::uint64_t epoch = 0;
  std::vector<member_view> members;
  std::vector<gone_disk> gone;  ///< Disks that it names and that are gone for good; only without a majority.

  std::size_t counting() const;
  std::size_t not_heard() const;
  /// @return how many members make its majority.
  std::size_t needed() const { return members.size() / 2 + 1; }
  bool has_majority() const { return counting() >= needed(); }
  /// @return whether it has a majority if those vote that have not been heard.
  bool may_have_majority() const { return counting() + not_heard() >= needed(); }
  /// @return "node/disk state" of each member.
  std::string text() const;
  /// @return of each member that does not count: its state, for how long, the last word from it, and its address.
  std::string uncounted_text() const;
};

/// Tells operators of groups that lose their majority and of replicas that are not admitted for long. What it knows
/// comes from membership, from answers to this node's own requests and from asking members that joined after the
/// founding epoch, or have refused a request, whether they are admitted. That is asked with growing pauses, one
/// question a second at most, and not again once it is said, unless the member refuses a request. A group is told as
/// lost only where it has no majority even with those that have not been heard, and as regained only without them.
/// Owned by one node, single threaded.
class group_health {
 public:
  /// What this node believes of another one, or of itself; null when it does not know it.
  using member_lookup = std::function<const wire::MemberT*(const NodeId&)>;

  /// @param replica null on nodes without a disk.
  group_health(Environment& environment, Counters& counters, DecisionLog& log, const Client& client,
               const Replica* replica, member_lookup member);

  /// Takes what tells disks that are gone for good: for how long a node is waited for, and whether it was emptied.
  void judge_losses(std::function<Duration()> patience, std::function<std::optional<bool>(const NodeId&)> is_emptied);
  void start();

  /// This node has sent a request of the ledger that @p node will answer.
  void on_asked(const NodeId& node);
  /// An answer of the ledger has come, whatever it says.
  void on_heard(const PeerAddress& sender);
  /// A member has taken a request of this node at @p epoch.
  void on_granted(const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch);
  /// A member has refused a request of this node at @p epoch.
  void on_refusal(const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch, wire::ReplicaStatus status);
  /// A member says how it stands.
  void handle(const PeerAddress& sender, const wire::CopyStatusT& message);

  /// @return all groups that this node knows.
  std::vector<group_view> views() const;
  group_view view(std::uint32_t group) const;
  /// @return what is known of why @p member of @p group is in its state, for operators.
  std::string explain(std::uint32_t group, const member_view& member) const;

 private:
  /// What a member was heard to say about one group.
  struct word {
    std::optional<member_state> said;  ///< counts, not_admitted or unknown_epoch.
    evidence by = evidence::nothing;   ///< What was heard with a refusal holds for a while only.
    bool answered = false;             ///< It has answered, maybe without telling whether it votes.
    Timestamp heard_at{};
    unsigned asked = 0;       ///< Questions at this epoch.
    unsigned unanswered = 0;  ///< Questions since the last word.
    Timestamp ask_at{};       ///< When the next one is due.
  };
  /// How a member was seen last.
  struct seen_member {
    member_state state = member_state::not_heard;
    Timestamp since{};
  };
  struct finding {
    member_state state = member_state::not_heard;
    evidence known_by = evidence::nothing;
  };
  struct group_state {
    std::uint64_t epoch = 0;
    std::map<ReplicaIdentity, seen_member> seen;
    std::map<ReplicaIdentity, word> words;
    bool told_lost = false;
    std::optional<Timestamp> differs_since;  ///< Since when what was told is not so any more.
    Timestamp lost_since{};
    Timestamp told_lost_at{};             ///< Zero: never.
    std::set<ReplicaIdentity> told_gone;  ///< Since the majority was told as lost.
  };
  /// A replica of this node's disk that may not vote.
  struct waiting_replica {
    Timestamp since{};
    Timestamp tell_at{};
    Duration pause{};
  };
  /// Requests of the ledger that a node leaves unanswered.
  struct silence {
    Timestamp first{};
    Timestamp last{};
    unsigned requests = 0;
    Timestamp heard_at{};  ///< When the latest answer came that was waited for; zero: none has.
  };

  void check();
  /// Takes up a later epoch: disks that stay are still admitted.
  void take_epochs();
  void note_seen(std::uint32_t group, group_state& state) const;
  void review(std::uint32_t group, group_state& state);
  void tell(const group_view& seen, group_state& state);
  /// Tells of disks that the group, which was told as lost, names and that are gone for good; of each once.
  /// @return whether there is any.
  bool review_gone(std::uint32_t group, group_state& state);
  void review_admissions();
  void tell_waiting(const Replica::unadmitted& replica, const waiting_replica& waiting);
  /// Asks the member whose question is due for longest, if one may go out now.
  void ask_next();
  /// @return whether the member has to be asked how it stands.
  bool has_to_be_asked(const ReplicaIdentity& identity, const word& heard) const;
  finding find_state(std::uint32_t group, const ReplicaIdentity& identity) const;
  /// @return what the member was heard to say, if its node answers probes.
  finding heard_state(std::uint32_t group, const ReplicaIdentity& identity) const;
  /// @return how this node's own replica stands.
  member_state own_state(std::uint32_t group) const;
  /// @return how its node stands, whatever it says about a group.
  member_state presence_of(const ReplicaIdentity& identity) const;
  /// @return when the member last answered this node; zero: it has not.
  Timestamp last_heard(std::uint32_t group, const ReplicaIdentity& identity) const;
  bool is_silent(const NodeId& node) const;
  /// @return the word of the group's member at @p sender, if there is one.
  word* word_of(const PeerAddress& sender, std::uint32_t group);
  /// @return the same if @p epoch is the present one.
  word* word_at(const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch);
  /// @return whether all members of @p group have said that they vote at @p epoch: true for each answer in calm.
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
  std::map<std::uint32_t, waiting_replica> waiting_;
  std::map<NodeId, silence> silent_;
  gone_disks gone_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::ledger
