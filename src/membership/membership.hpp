#pragma once
/// @file Fleet membership: SWIM gossip with suspicion and refutation, extended by a leaving
/// state that is disseminated immediately. See docs/design/membership.md.

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

/// @return whether @p member announces @p role.
inline bool has_role(const wire::MemberT& member, Role role) {
  return (member.roles & static_cast<std::uint32_t>(role)) != 0;
}

struct Options {
  Duration period = 1s;          ///< One member is probed in each period.
  Duration ack_timeout = 300ms;  ///< After this time without an ack, other members are asked to probe indirectly.
  std::size_t indirect_probes = 3;
  double suspicion_periods = 3.0;  ///< Multiplied by max(1, log10(members + 1)): periods from suspect to dead.
  std::size_t eager_fanout = 3;    ///< Peers that are sent an urgent state change without waiting for a probe.
  Duration eager_delay = 30ms;     ///< Urgent changes within this time share one message.
  std::size_t updates_per_message = 6;
  double retransmit_factor = 3.0;   ///< Multiplied by log2(members + 1): how often an update is sent.
  std::size_t eager_limit = 24;     ///< With more updates queued, nodes rely on exchanges of member lists instead.
  Duration min_sync_interval = 1s;  ///< Minimum time between comparisons of lists with peers that differ.
  Duration max_sync_interval = 32s;
  /// Delay between the first and the second ping to the seeds while no member is known; it doubles up to the period.
  /// The seeds of a large fleet that starts all at once receive these pings from every node.
  Duration join_pause = 80ms;
  Duration dead_probe_interval = 5s;  ///< How often a dead member is probed, to recover from a network partition.
  Duration forget_dead_after = 24h;
};

/// @return the name of @p state in logs and status output.
const char* name_of(wire::MemberState state);

/// The latest information about a member.
struct member_contact {
  Duration age{};                 ///< Time since this node received it.
  bool received_directly = true;  ///< Whether it came from the member itself; otherwise another node forwarded it.
};

/// Revisions of the versioned tables, carried by every probe. The ages are milliseconds since the store last confirmed
/// that the revision is the latest.
struct TableRevisions {
  static constexpr std::uint32_t kUnknownAge = UINT32_MAX;
  std::uint64_t objects = 0;
  std::uint64_t machines = 0;
  std::uint64_t groups = 0;
  std::uint32_t objects_age_ms = kUnknownAge;
  std::uint32_t machines_age_ms = kUnknownAge;
  std::uint64_t evacuations = 0;
};

/// Callbacks from Membership to its owner.
struct Hooks {
  std::function<TableRevisions()> local_revisions;
  std::function<void(const PeerAddress&, const TableRevisions&)> on_peer_revisions;
  /// Called when a member appeared, left, died, came back or changed its disk.
  std::function<void(const wire::MemberT&)> on_change;
  /// Called when other nodes had declared this node dead, because it was partitioned or frozen for long.
  std::function<void()> on_self_refuted;
  /// Called when no live member has been found for some time; may be empty.
  std::function<void(const fleet_search&)> on_fleet_not_found;
  /// Called when a message from @p by ended a search; may be empty.
  std::function<void(const fleet_search&, const PeerAddress& by, discovery_source)> on_fleet_found;
};

/// One node's view of the fleet's members. Single threaded.
class Membership {
 public:
  Membership(Environment& environment, Counters& counters, wire::MemberT self, std::vector<PeerAddress> seeds,
             Hooks hooks, Options options = {});

  void start();
  /// Announces that this node takes no new work. It continues to answer probes.
  void leave();
  /// Replaces the seed addresses, at which this node searches for the fleet.
  void set_seeds(std::vector<PeerAddress> seeds) { seeds_ = std::move(seeds); }
  bool has_seeds() const { return !seeds_.empty(); }
  const std::vector<PeerAddress>& seeds() const { return seeds_; }
  /// Sets the peers that an earlier process of this node knew. They are pinged in addition to the seeds.
  void recall(std::vector<remembered_peer> peers);
  /// Replaces the list of remembered peers without pinging each of the new entries at once.
  void remember(std::vector<remembered_peer> peers) { remembered_ = std::move(peers); }
  const std::vector<remembered_peer>& remembered() const { return remembered_; }
  /// @return whether this node's own address is among the seeds.
  bool is_seed() const {
    return std::find(seeds_.begin(), seeds_.end(), PeerAddress(self_.peer_address)) != seeds_.end();
  }
  /// Announces that this node's disk is to be emptied. The node continues to work meanwhile.
  void retire();
  /// Announces which disk this node uses, for a node that did not know it when it started.
  void set_disk(const std::string& disk_id);

  void handle(const PeerAddress& sender, const wire::PingT& message);
  void handle(const PeerAddress& sender, const wire::PingRequestT& message);
  void handle(const PeerAddress& sender, const wire::AckT& message);
  void handle(const PeerAddress& sender, const wire::MemberSyncT& message);
  void handle(const PeerAddress& sender, const wire::MemberDigestsT& message);

  const wire::MemberT& self() const { return self_; }
  /// @return the last known state of @p node, which may be this node; null if it is unknown.
  const wire::MemberT* find(const NodeId& node) const;
  std::optional<PeerAddress> address_of(const NodeId& node) const;
  /// @return age and origin of the latest information about @p node, which may be this node; nothing if unknown.
  std::optional<member_contact> last_contact_of(const NodeId& node) const;
  /// @return 0 for a node in this node's zone, 1 for one in its region, 2 for all others and for unknown nodes.
  unsigned distance_to(const NodeId& node) const;
  /// @return whether the node at @p address is known to be in this node's zone.
  bool is_near(const PeerAddress& address) const;
  /// @return all known members in any state, including this node.
  std::vector<const wire::MemberT*> members() const;
  /// @return all other members that are not dead, and those that have been dead for less than @p within: on a network
  ///         with heavy packet loss a live node can be declared dead for some seconds until it refutes this.
  std::vector<const wire::MemberT*> others_except_long_dead(Duration within) const;
  /// @return members with @p role that take new work, including this node if it does.
  std::vector<const wire::MemberT*> available(Role role) const;
  /// @return members with @p role that answer probes and take new work, including this node if it does.
  std::vector<const wire::MemberT*> responsive(Role role) const;
  /// @return whether this node likely knows most of the fleet, since it has learned of no new member for a while. Until
  ///         then its share of duties that are divided among all members would be far too large.
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
    Timestamp last_direct_at{};     ///< Time of the latest message from the member itself; zero if none.
    Timestamp last_forwarded_at{};  ///< Time of the latest accepted update about it from other nodes; zero if none.
  };
  struct Update {
    NodeId node;
    std::size_t sent = 0;
    bool leaving = false;  ///< Sent before all other updates.
  };
  struct Probe {
    NodeId target;
    bool answered = false;
  };
  /// An indirect probe that this node makes for another one.
  struct Relay {
    PeerAddress origin;
    std::uint64_t sequence = 0;
  };

  void run_period();
  void probe(const NodeId& target);
  void probe_indirectly(std::uint64_t sequence);
  void finish_probe(std::uint64_t sequence);
  /// Pings the seeds and calls on_fleet_not_found when a report is due. Runs in each period without a live member to
  /// probe.
  void search_for_fleet();
  void begin_search(bool at_start);
  /// Ends the search for the fleet, on a message from @p sender, if a live member is known.
  void end_search_if_member_known(const PeerAddress& sender);
  void ping_seeds();
  /// Pings remembered peers: several per period while no live member is known and until each was pinged once, then
  /// occasionally one that is not a member, since parts of a fleet may have started separately.
  void ping_remembered_peers();
  /// @return whether this node or a known member, live or dead, has @p address.
  bool knows_address(const PeerAddress& address) const;
  discovery_source classify_peer_at(const PeerAddress& address) const;
  void ping_unknown_seed();
  /// Pings the seeds now, after @p pause and then at doubling intervals until a member is known or the interval reaches
  /// the period.
  void ping_seeds_until_joined(Duration pause);
  /// Pings a random dead member, and forgets members that have been dead for longer than forget_dead_after.
  void probe_dead_member();
  std::optional<NodeId> next_probe_target();
  /// @param spread whether the update is gossiped to peers; false for updates from member lists, which peers also get
  ///        from lists.
  /// @return whether the update was accepted.
  bool merge(const wire::MemberT& update, bool received_directly, bool spread);
  /// Raises this node's incarnation if @p claim, received from another node, misstates its state or is newer.
  void refute(const wire::MemberT& claim);
  void accept_update(Entry& entry, const wire::MemberT& update, bool spread = true);
  /// Starts an exchange of lists if @p digest differs from this node's and the last exchange is long enough ago.
  void compare_lists(const PeerAddress& sender, std::uint64_t digest);
  void send_whole_list(const PeerAddress& to, bool reply);
  void send_digests(const PeerAddress& to, bool reply);
  /// @return one digest for each part of the member list.
  std::vector<std::uint64_t> part_digests() const;
  /// @return the peer to exchange lists with after @p differs reported a different digest.
  PeerAddress choose_sync_peer(const PeerAddress& differs);
  static std::uint64_t digest_of(const wire::MemberT& member);
  void suspect(const NodeId& node);
  void schedule_death(const NodeId& node, std::uint64_t incarnation);
  void enqueue(const NodeId& node, bool eager);
  void flush_eagerly();
  std::vector<std::unique_ptr<wire::MemberT>> take_updates();
  /// @return a ping or an ack with queued updates, table revisions and the digest.
  template <class Message>
  Message make_probe_message(std::uint64_t sequence);
  /// Sends a random sample of members to a node that searches for the fleet.
  void send_member_sample(const PeerAddress& to);
  /// @return up to @p count random live members, excluding this node.
  std::vector<const wire::MemberT*> random_members(std::size_t count);
  template <class Message>
  void apply_probe_message(const PeerAddress& sender, const Message& message);

  Environment& environment_;
  Counters& counters_;
  const Options options_;
  const Hooks hooks_;
  wire::MemberT self_;
  std::vector<PeerAddress> seeds_;
  fleet_search search_;
  std::size_t next_seed_ = 0;  ///< Position in the round-robin check for unknown seeds, one seed per period.
  std::vector<remembered_peer> remembered_;
  std::size_t next_remembered_ = 0;
  std::size_t remembered_not_pinged_ = 0;  ///< Number of peers passed to recall() that were not tried yet.
  Timestamp last_remembered_ping_{};
  std::map<NodeId, Entry> members_;
  std::vector<NodeId> probe_order_;
  std::vector<Update> updates_;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  std::uint64_t sequence_;
  bool eager_scheduled_ = false;
  std::uint64_t version_ = 1;
  Timestamp started_at_{};
  Timestamp last_new_member_at_{};  ///< When this node last learned of a new member.
  std::uint64_t digest_ = 0;        ///< Digest of all live members, including this node.
  Timestamp last_sync_{};
  Duration sync_interval_{};  ///< Doubles with each comparison; reset when a received list brings a change.
  Timestamp last_dead_probe_{};
  Lifetime lifetime_;
};

}  // namespace madderdeck::membership
