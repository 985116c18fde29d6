#pragma once
/// @file Who is in the fleet: gossip with suspicion and refutation (SWIM), plus a leaving
/// state that spreads eagerly. See docs/design/membership.md.

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/counters.hpp"
#include "common/environment.hpp"
#include "membership/fleet_search.hpp"
#include "membership/remembered_peers.hpp"

namespace madderdeck::membership {

/// Roles a node can have, as bits of Member::roles.
enum class Role : std::uint32_t { gateway = 1, scheduler = 2, ledger = 4, controller = 8 };

/// @return whether @p member states that it has @p role.
inline bool has_role(const wire::MemberT& member, Role role) {
  return (member.roles & static_cast<std::uint32_t>(role)) != 0;
}

struct Options {
  Duration period = 1s;          ///< One probe each period.
  Duration ack_timeout = 300ms;  ///< Then other members are asked to probe.
  std::size_t indirect_probes = 3;
  double suspicion_periods = 3.0;  ///< Times log10(members + 1), at least one.
  std::size_t eager_fanout = 3;    ///< Peers told at once of a change of state.
  Duration eager_delay = 30ms;     ///< Changes within this time share one message.
  std::size_t updates_per_message = 6;
  double retransmit_factor = 3.0;     ///< Times log2(members + 1).
  std::size_t eager_limit = 24;       ///< With more news than this waiting, lists do the work.
  Duration least_sync_interval = 1s;  ///< Between whole lists sent to peers that differ.
  Duration most_sync_interval = 32s;
  /// From the first look for the fleet to the second, while nobody is known; it doubles up to the period. Seeds of a
  /// large fleet that starts all at once hear every node's looks.
  Duration join_pause = 80ms;
  Duration dead_probe_interval = 5s;  ///< How often a dead member is tried, to heal a cut.
  Duration forget_dead_after = 24h;
};

/// @return the name of @p state that operators see.
const char* name_of(wire::MemberState state);

/// The latest word of a member.
struct member_word {
  Duration age{};          ///< Since this node read it.
  bool first_hand = true;  ///< From the member itself; otherwise news of it that others have passed on.
};

/// Revisions of the versioned tables, carried by every probe, and how long ago the store showed that nothing later
/// stood there, in milliseconds.
struct TableRevisions {
  static constexpr std::uint32_t kUnknownAge = UINT32_MAX;
  std::uint64_t objects = 0;
  std::uint64_t machines = 0;
  std::uint64_t groups = 0;
  std::uint32_t objects_age_ms = kUnknownAge;
  std::uint32_t machines_age_ms = kUnknownAge;
  std::uint64_t evacuations = 0;
};

/// What Membership asks of and tells to its owner.
struct Hooks {
  std::function<TableRevisions()> local_revisions;
  std::function<void(const PeerAddress&, const TableRevisions&)> on_peer_revisions;
  /// A member appeared, left, died or came back.
  std::function<void(const wire::MemberT&)> on_change;
  /// Others had declared this node dead: it was cut off or frozen for long.
  std::function<void()> on_self_refuted;
  /// No living member has been heard of for some time; may be empty.
  std::function<void(const fleet_search&)> on_not_found;
  /// A search has ended with word from @p by; may be empty.
  std::function<void(const fleet_search&, const PeerAddress& by, found_by)> on_found;
};

/// Membership of one node. Single threaded.
class Membership {
 public:
  Membership(Environment& environment, Counters& counters, wire::MemberT self, std::vector<PeerAddress> seeds,
             Hooks hooks, Options options = {});

  void start();
  /// Announces that this node takes no new work. It goes on answering probes.
  void leave();
  /// Replaces the addresses at which the fleet is looked for.
  void set_seeds(std::vector<PeerAddress> seeds) { seeds_ = std::move(seeds); }
  bool has_seeds() const { return !seeds_.empty(); }
  const std::vector<PeerAddress>& seeds() const { return seeds_; }
  /// Takes the peers that an earlier process of this node knew. They are asked besides the seeds.
  void recall(std::vector<remembered_peer> peers);
  /// Takes a later list of them.
  void remember(std::vector<remembered_peer> peers) { remembered_ = std::move(peers); }
  const std::vector<remembered_peer>& remembered() const { return remembered_; }
  /// @return whether other nodes look for the fleet here.
  bool is_seed() const {
    return std::find(seeds_.begin(), seeds_.end(), PeerAddress(self_.peer_address)) != seeds_.end();
  }
  /// Announces that this node's disk is to be emptied. It goes on working meanwhile.
  void retire();
  /// Tells the others which disk this node runs with, which it did not know when it started.
  void set_disk(const std::string& disk_id);

  void handle(const PeerAddress& sender, const wire::PingT& message);
  void handle(const PeerAddress& sender, const wire::PingRequestT& message);
  void handle(const PeerAddress& sender, const wire::AckT& message);
  void handle(const PeerAddress& sender, const wire::MemberSyncT& message);
  void handle(const PeerAddress& sender, const wire::MemberDigestsT& message);

  const wire::MemberT& self() const { return self_; }
  /// @return what is believed of @p node, which may be this one; null when nothing is known.
  const wire::MemberT* find(const NodeId& node) const;
  std::optional<PeerAddress> address_of(const NodeId& node) const;
  /// @return the latest word of @p node, which may be this one; nothing when none is known.
  std::optional<member_word> last_word_of(const NodeId& node) const;
  /// @return 0 for a node of this zone, 1 for one of this region, 2 for others and unknown ones.
  unsigned distance_to(const NodeId& node) const;
  /// @return whether the node at @p address is known to stand in this node's zone.
  bool is_near(const PeerAddress& address) const;
  /// @return all known members with this node among them, whatever their state.
  std::vector<const wire::MemberT*> members() const;
  /// @return all other members, and of the dead those that have been so for less than @p within: on a network that
  /// loses
  ///         much a node seems dead for some seconds until it has said that it is not.
  std::vector<const wire::MemberT*> others_not_long_dead(Duration within) const;
  /// @return members with @p role that take new work, this node among them when it does.
  std::vector<const wire::MemberT*> available(Role role) const;
  /// @return members with @p role that answer probes and take new work, this node among them when it does.
  std::vector<const wire::MemberT*> responsive(Role role) const;
  /// @return whether this node likely knows most of the fleet: others have told it of no new member for a while. Until
  ///         then duties that are shared among all would be far too many for it.
  bool knows_fleet() const;
  /// @return whether @p node is neither dead nor unknown.
  bool is_live(const NodeId& node) const;
  /// @return up to @p count random live peers.
  std::vector<PeerAddress> random_peers(std::size_t count);
  std::size_t live_count() const;
  /// @return a number that changes whenever a member appears or changes its state.
  std::uint64_t version() const { return version_; }

 private:
  struct Entry {
    wire::MemberT member;
    Timestamp state_since{};
    Timestamp heard_at{};  ///< The latest message of its own; zero: none.
    Timestamp told_at{};   ///< The latest news of it from others; zero: none.
  };
  struct Update {
    NodeId node;
    std::size_t sent = 0;
    bool leaving = false;  ///< Goes before all other news.
  };
  struct Probe {
    NodeId target;
    bool answered = false;
  };
  struct Relay {
    PeerAddress origin;
    std::uint64_t sequence = 0;
  };

  void run_period();
  void probe(const NodeId& target);
  void probe_indirectly(std::uint64_t sequence);
  void finish_probe(std::uint64_t sequence);
  /// While no living member is known.
  void look_for_fleet();
  void begin_search(bool at_start);
  /// Ends the search if a living member is known by now.
  void note_word(const PeerAddress& sender);
  void ping_seeds();
  /// Asks remembered peers: several a period while nobody is known and until each was asked once, then now and then one
  /// that is no member, since parts of a fleet may have come up apart.
  void ask_remembered();
  /// @return whether a member, living or dead, is known at @p address.
  bool knows_address(const PeerAddress& address) const;
  found_by who_lives_at(const PeerAddress& address) const;
  void look_at_unknown_seed();
  /// Looks for the fleet often until somebody is known.
  void join_quickly(Duration pause);
  void probe_dead_member();
  std::optional<NodeId> next_probe_target();
  /// @param spread whether peers are told; what a whole list brings they get by lists, too.
  /// @return whether anything changed.
  bool merge(const wire::MemberT& update, bool first_hand, bool spread);
  void refute(const wire::MemberT& rumour);
  void accept_update(Entry& entry, const wire::MemberT& update, bool spread = true);
  void compare_lists(const PeerAddress& sender, std::uint64_t digest);
  void send_whole_list(const PeerAddress& to, bool reply);
  void send_digests(const PeerAddress& to, bool reply);
  /// @return digests over the members of each part of the list.
  std::vector<std::uint64_t> part_digests() const;
  /// @return whom to exchange lists with as @p differs holds another one.
  PeerAddress list_partner(const PeerAddress& differs);
  static std::uint64_t digest_of(const wire::MemberT& member);
  void suspect(const NodeId& node);
  void schedule_death(const NodeId& node, std::uint64_t incarnation);
  void enqueue(const NodeId& node, bool eager);
  void flush_eagerly();
  std::vector<std::unique_ptr<wire::MemberT>> take_updates();
  /// @return a ping or an ack with news, revisions and the digest.
  template <class Message>
  Message make_probe_message(std::uint64_t sequence);
  /// Answers a node that looks for the fleet; it learns of the others from these.
  void send_some_members(const PeerAddress& to);
  /// @return up to @p count random live members, this node not among them.
  std::vector<const wire::MemberT*> random_members(std::size_t count);
  template <class Message>
  void absorb(const PeerAddress& sender, const Message& message);

  Environment& environment_;
  Counters& counters_;
  const Options options_;
  const Hooks hooks_;
  wire::MemberT self_;
  std::vector<PeerAddress> seeds_;
  fleet_search search_;
  std::size_t next_seed_ = 0;  ///< Of those that are looked at once a period.
  std::vector<remembered_peer> remembered_;
  std::size_t next_remembered_ = 0;
  std::size_t not_asked_yet_ = 0;  ///< Of those that were recalled.
  Timestamp last_remembered_ask_{};
  std::map<NodeId, Entry> members_;
  std::vector<NodeId> probe_order_;
  std::vector<Update> updates_;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  std::uint64_t sequence_;
  bool eager_scheduled_ = false;
  std::uint64_t version_ = 1;
  Timestamp started_at_{};
  Timestamp learnt_at_{};     ///< When the latest new member was heard of.
  std::uint64_t digest_ = 0;  ///< Over all live members, this node among them.
  Timestamp last_sync_{};
  Duration sync_interval_{};  ///< Doubles while whole lists bring nothing new.
  Timestamp last_dead_probe_{};
  Lifetime lifetime_;
};

}  // namespace madderdeck::membership
