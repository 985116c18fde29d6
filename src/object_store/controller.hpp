#pragma once
/// @file Reads the platform's store and machine list for the whole fleet, and replaces lost members of the
/// ledger's replica groups. Every controller node runs it; only a few nodes are active at a time.

#include <algorithm>
#include <array>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "config/objects.hpp"
#include "config/versioned_table.hpp"
#include "ledger/client.hpp"
#include "ledger/epoch_change.hpp"
#include "membership/membership.hpp"
#include "object_store/declarations.hpp"
#include "object_store/feed_tree.hpp"
#include "object_store/pending_changes.hpp"
#include "object_store/place_offers.hpp"
#include "object_store/platform_client.hpp"
#include "object_store/proposal_journal.hpp"
#include "object_store/sole_deciders.hpp"

namespace madderdeck::object_store {

struct ControllerOptions {
  std::size_t readers = 2;         ///< Number of controllers in the whole fleet that watch the store.
  std::size_t relays = 2;          ///< Number of controllers in each zone that forward the readers' feed there.
  std::size_t all_read_up_to = 0;  ///< In fleets with at most this many controllers, all watch the store.
  /// A node that is not a reader polls the store itself after this time without a feed message; zero: never.
  Duration feed_silence{};
  /// The polls of a zone's nodes are spread over this time, so that the result of the first one reaches the others.
  Duration poll_spread = 500ms;
  /// After its start, a node that knows a seed waits this long for a peer's feed before it reads the store.
  Duration peer_wait_at_start{};
  /// For this long after its start, a node that receives the feed from peers does not read the store: it may not know
  /// all members yet.
  Duration peer_feed_at_start{};
  std::size_t maintainers = 2;     ///< Number of controllers that maintain the replica groups.
  Duration store_retry = 1s;       ///< Delay after a failed watch.
  Duration founding_wait = 3s;     ///< Time for all disks of a new fleet to appear.
  Duration founding_timeout = 8s;  ///< After it, groups are founded with fewer than `replicas` disks.
  Duration group_check = 1s;       ///< Interval between checks of the replica groups.
  Duration replace_after{};        ///< Replaces a replica after it is missing this long; zero: the fleet's policy.
  Duration watch_wait = 10s;
  Duration watch_wait_of_readers = 1s;  ///< watch_wait of a reader that feeds other nodes.
  Duration machine_poll = 500ms;
  std::size_t group_count = 16;  ///< Replica groups of a newly founded fleet, each on three or more disks.
  std::size_t replicas = 3;      ///< Of each group: 2 n + 1 tolerate the simultaneous loss of n disks.
  ledger::change_guards changes;

  /// Sets the wait times so that every node of a large fleet has a new configuration within @p bound, even when all
  /// readers are down: the feed is at most one watch wait old, then the nodes poll the store, the last one after three
  /// quarters of @p bound.
  void keep_within(Duration bound) {
    watch_wait_of_readers = bound * 3 / 8;
    feed_silence = bound * 9 / 20;
    poll_spread = bound * 3 / 10;
    peer_wait_at_start = std::min<Duration>(600ms, bound / 4);
    peer_feed_at_start = 5s;
  }
};

/// Single threaded.
class Controller {
 public:
  Controller(Environment& environment, Counters& counters, membership::Membership& members,
             config::TableReplicator& objects, config::TableReplicator& machines, config::TableReplicator& groups,
             config::TableReplicator& evacuations, const config::Catalog& catalog, ledger::Client& ledger,
             PlatformClient& platform, Declarations& declarations, DecisionLog& log, ControllerOptions options = {});

  void start();
  /// @return whether this node is one of the few that read the store.
  bool is_reader() const;
  /// Handles the reply of a disk that was offered a place in a group.
  void handle(const PeerAddress& sender, const wire::CopyStatusT& message) { offers_.handle(sender, message); }
  /// @return whether, in this node's view, the place of @p member, which is stopping, is to be given to another disk.
  bool wants_place_of(std::uint32_t group, const ledger::ReplicaIdentity& member);

 private:
  using Watch = void (PlatformClient::*)(std::uint64_t, Duration, ChangesDone);
  /// Watches one source while this node is a reader.
  /// @param at_once whether the store is to reply without waiting for a change; used after a failure to detect
  ///        early that the store is available again.
  void watch(config::TableReplicator& table, Watch source, bool at_once);
  /// @return whether this node has just started and may still get the tables from a peer.
  bool waits_for_peers() const;
  /// Revision and time of the table state that this node last forwarded.
  struct RelayState {
    std::uint64_t revision = 0;
    Timestamp as_of{};
  };
  /// Forwards the readers' feed if this node is a relay and the table is newer than what it last forwarded.
  void relay(config::TableReplicator& table, RelayState& relayed);
  /// @return the time without a feed message after which this node polls the store.
  /// @param empty whether this node has no revision of the table yet.
  Duration feed_timeout(bool empty) const;
  /// Sends one request to the source; @p next receives whether it succeeded.
  void read_source(config::TableReplicator& table, Watch source, Duration wait, std::function<void(bool)> next);
  /// Records times at which this process was running: a reply that is read after the process was suspended may have
  /// arrived when the suspension began.
  void record_running();
  /// Polls the store when the feed is overdue: all readers may be down, or partitioned from this node.
  void check_feed();
  /// State of this node's own polls of a table, made when the feed is overdue.
  struct PollState {
    bool running = false;
    unsigned failures = 0;   ///< Consecutive.
    Timestamp not_before{};  ///< Earliest next poll after a failure.
  };
  void poll_if_overdue(config::TableReplicator& table, Watch source, PollState& poll);
  /// Reads the evacuated zones; called after this node had to read the machine list itself.
  void read_evacuations();
  void log_calls();
  void note_store(bool answers);
  /// Logs objects that cannot be parsed; their previous versions stay in force.
  void note_rejected(const ChangeList& changes);
  void maintain_groups();
  /// @return whether this process has run for long enough to found groups on the nodes that it knows.
  bool knows_fleet() const;
  /// @return whether this node has been in the fleet long enough to treat members unknown to it as missing.
  bool has_joined_fleet() const;
  void found_groups();
  class local_fleet_view;
  /// Determines the wanted change of each group, and proposes it if this node is to.
  /// @param maintains whether this node is one of the maintainers of the groups.
  void change_groups(bool maintains);
  /// @return whether it is this node's turn to propose a change of @p group that the maintainers have not made: they
  ///         may be partitioned from its members, be refused by the store, or have another view of the members.
  bool takes_turn(std::uint32_t group, const ledger::epoch_change& change);
  /// @return whether @p change gives up a member, or drops a former one, only because it is unresponsive in this node's
  ///         view.
  bool drops_unresponsive_member(const ledger::epoch_change& change);
  /// @return the turns of this node at changes of @p group; nothing if it accepts no new work.
  std::optional<proposal_turns> turns_at(const ledger::ReplicaGroup& group);
  /// @return whether this node is to found the groups because the nodes that rank before it have not done so.
  bool is_to_found() const;
  /// Logs changes that are wanted and not made.
  void log_pending_changes();
  /// @return whether the same change of @p group was refused recently; proposing it at each check would be useless.
  bool was_just_refused(std::uint32_t group, const ledger::epoch_change& change) const;
  /// First step of @p change: asks the disk that is to become a member, if any, for its consent.
  void begin_change(std::uint32_t group, const ledger::epoch_change& change);
  /// Second step: where one member is to decide alone, asks it to confirm that it cannot reach the other one either.
  void ask_sole_decider(std::uint32_t group, const ledger::epoch_change& change);
  /// Third step: where one member is to decide alone, asks the store to grant that.
  void ask_store(std::uint32_t group, const ledger::epoch_change& change);
  /// Ends @p change without a vote, because the disk that was to become a member, or to decide alone, refused.
  void end_change(std::uint32_t group, const ledger::epoch_change& change, const Error& why);
  void decide(std::uint32_t group, const ledger::epoch_change& change);
  void publish_groups();
  /// Publishes epochs that the maintainers have not published in time; they may not know of them.
  void publish_overdue_groups();
  /// @return the index of this node among the members of its first group whose published epoch is outdated.
  std::optional<std::uint32_t> index_in_unpublished_group() const;
  void declare_groups(const ledger::GroupMap& map);
  std::vector<const wire::MemberT*> ledger_nodes() const;
  const wire::MemberT* member(const NodeId& node) const;
  ledger::replica_state state_of(const ledger::ReplicaIdentity& replica);

  Environment& environment_;
  Counters& counters_;
  membership::Membership& members_;
  config::TableReplicator& objects_;
  config::TableReplicator& machines_;
  config::TableReplicator& groups_;
  config::TableReplicator& evacuations_;
  const config::Catalog& catalog_;
  ledger::Client& ledger_;
  PlatformClient& platform_;
  Declarations& declarations_;
  DecisionLog& log_;
  const ControllerOptions options_;
  const feed_tree feeds_;
  std::map<NodeId, Timestamp> missing_since_;
  std::set<std::uint32_t> deciding_;
  /// The latest refused proposal for a group.
  struct refused_change {
    ledger::ReplicaGroup next;
    Timestamp at{};
  };
  std::map<std::uint32_t, refused_change> refused_;
  pending_changes pending_;
  proposal_journal proposals_;
  sole_deciders deciders_;
  place_offers offers_;
  std::map<std::uint32_t, Timestamp> announce_until_;  ///< Until when a group's latest epoch is announced again.
  std::map<ledger::ReplicaIdentity, Timestamp> leaver_gone_since_;  ///< Former members that appear gone.
  bool declaring_ = false;
  Timestamp unpublished_since_{};  ///< Since when a group of this node has an outdated published epoch; zero: none has.
  CounterValue logged_reads_ = 0;
  Timestamp store_unavailable_since_{};
  Timestamp started_{};
  std::size_t open_requests_ = 0;  ///< Requests to the store without a reply yet.
  bool records_running_ = false;
  std::array<Timestamp, 2> ran_at_{};  ///< The last two times noted by record_running(), latest first.
  std::map<config::TableReplicator*, Timestamp> watched_since_;  ///< Start times of open watches.
  PollState objects_poll_;
  PollState machines_poll_;
  PollState groups_poll_;
  RelayState objects_relay_;
  RelayState machines_relay_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
