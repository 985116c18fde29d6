#pragma once
/// @file Reads the platform's store and machine list for the whole fleet, and keeps the
/// ledger's replica groups populated. Every controller node runs it; few are active.

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
  std::size_t readers = 2;         ///< Controllers of the whole fleet that watch the store at the same time.
  std::size_t relays = 2;          ///< Controllers of each zone that pass the readers' word on to the others there.
  std::size_t all_read_up_to = 0;  ///< In fleets of so many controllers or fewer every one watches the store.
  /// A node that is no reader looks into the store itself when no peer has brought word of it for so long; zero: never.
  Duration feed_silence{};
  /// Nodes of a zone look one after the other within this time, so that the first one's word reaches the others.
  Duration look_spread = 500ms;
  /// A node that starts and knows a seed waits so long for a peer's word before it reads the store.
  Duration start_patience{};
  /// For so long after its start a node that hears from peers leaves the store to them: it may not know all members
  /// yet.
  Duration start_settling{};
  std::size_t maintainers = 2;      ///< Controllers that look after the replica groups.
  Duration store_retry = 1s;        ///< Pause after a watch that failed.
  Duration founding_wait = 3s;      ///< So that all disks of a new fleet are seen.
  Duration founding_patience = 8s;  ///< Then the groups are founded on fewer disks than they ought to have.
  Duration group_check = 1s;        ///< How often the replica groups are looked at.
  Duration replace_after{};         ///< Silence after which a replica is replaced; zero: as the fleet's policy says.
  Duration watch_wait = 10s;
  Duration watch_wait_of_readers = 1s;  ///< The same where others rely on this node's word of the store.
  Duration machine_poll = 500ms;
  std::size_t group_count = 16;  ///< Replica groups of a newly founded fleet, per three disks or more.
  std::size_t replicas = 3;      ///< Of each group: 2 n + 1 bear the loss of n disks at once.
  ledger::change_guards changes;

  /// Chooses waits so that every node of a large fleet has a new configuration within @p bound, also where all readers
  /// are away: word is at most one wait old, then the nodes look themselves, the last one after three quarters.
  void keep_within(Duration bound) {
    watch_wait_of_readers = bound * 3 / 8;
    feed_silence = bound * 9 / 20;
    look_spread = bound * 3 / 10;
    start_patience = std::min<Duration>(600ms, bound / 4);
    start_settling = 5s;
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
  /// Takes the answer of a disk that was offered a place.
  void handle(const PeerAddress& sender, const wire::CopyStatusT& message) { offers_.handle(sender, message); }
  /// @return whether the place of @p member, which is about to go, is to be given to another disk by this node's view.
  bool wants_place_of(std::uint32_t group, const ledger::ReplicaIdentity& member);

 private:
  using Watch = void (PlatformClient::*)(std::uint64_t, Duration, ChangesDone);
  /// Watches one source for as long as this node is a reader.
  /// @param at_once whether the store is to answer without waiting for a change: after a failure it
  ///        shows soon that the store is back.
  void watch(config::TableReplicator& table, Watch source, bool at_once);
  /// @return whether this node has just started and may still get the tables from a peer.
  bool waits_for_peers() const;
  /// Passes the readers' word on, if this node is to and there is fresher word than it last passed on.
  struct Relayed {
    std::uint64_t revision = 0;
    Timestamp as_of{};
  };
  void relay(config::TableReplicator& table, Relayed& relayed);
  /// @return after how long a silence of the feed this node looks into the store.
  /// @param empty whether nothing of the table is held yet.
  Duration patience_with_feed(bool empty) const;
  /// Asks the source once; @p next gets whether it answered.
  void ask(config::TableReplicator& table, Watch source, Duration wait, std::function<void(bool)> next);
  /// Keeps when this process surely ran: what is read after a standstill may have come at its beginning.
  void note_running();
  /// Looks into the store where the readers' word of it has grown old: they may all be away, or cut off from here.
  void check_feed();
  /// A table that this node may have to look up itself.
  struct Look {
    bool running = false;
    unsigned failures = 0;   ///< In a row.
    Timestamp not_before{};  ///< After a failure.
  };
  void look_when_silent(config::TableReplicator& table, Watch source, Look& look);
  /// Whoever has to look at the machine list looks at the zones that are evacuated, too.
  void look_at_evacuations();
  void tell_calls();
  void note_store(bool answers);
  /// What cannot be read is told of: the version before stays in force.
  void note_rejected(const ChangeList& changes);
  void maintain_groups();
  /// @return whether this process has run for long enough to found groups on the nodes that it has heard of.
  bool knows_fleet() const;
  /// @return whether this node has joined the fleet for long enough to miss members that it has not heard of.
  bool has_settled() const;
  void found_groups();
  class group_beliefs;
  /// Looks at what is wanted of each group, and has it decided where this node is to.
  /// @param maintains whether it is one of the few that look after the groups.
  void change_groups(bool maintains);
  /// @return whether it is this node's turn at a change of @p group that those who look after the groups have not made:
  ///         they may be cut off from its members, be turned away by the store, or believe something else.
  bool takes_turn(std::uint32_t group, const ledger::epoch_change& change);
  /// @return whether @p change gives up a member, or a former one, that is only silent as this node believes.
  bool takes_silence_for_loss(const ledger::epoch_change& change);
  /// @return when it is, at changes of @p group; nothing where this node takes no new work.
  std::optional<proposal_turns> turns_at(const ledger::ReplicaGroup& group);
  /// @return whether this node is to found the groups, which those that rank before it have not done.
  bool is_to_found() const;
  /// Tells operators of changes that are wanted and not made.
  void tell_pending_changes();
  /// @return whether others have refused the same change of @p group a moment ago: asking at each look brings nothing.
  bool was_just_refused(std::uint32_t group, const ledger::epoch_change& change) const;
  /// Has @p change decided, after the consent of the disk that is to become a member.
  void begin_change(std::uint32_t group, const ledger::epoch_change& change);
  /// The same, where one member is to decide alone after its word that it misses the other one, too.
  void ask_sole_decider(std::uint32_t group, const ledger::epoch_change& change);
  /// The same, after the store's grant where one member is to decide alone.
  void ask_store(std::uint32_t group, const ledger::epoch_change& change);
  /// The disk that was to become a member, or to decide alone, does not: nobody else is asked.
  void end_change(std::uint32_t group, const ledger::epoch_change& change, const Error& why);
  void decide(std::uint32_t group, const ledger::epoch_change& change);
  void publish_groups();
  /// Publishes what the maintainers ought to have: they may not know of it.
  void publish_overdue_groups();
  /// @return the number of this node among the members of the first group whose published epoch is an earlier one.
  std::optional<std::uint32_t> place_in_untold_group() const;
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
  /// The latest proposal for a group that others refused.
  struct refused_change {
    ledger::ReplicaGroup next;
    Timestamp at{};
  };
  std::map<std::uint32_t, refused_change> refused_;
  pending_changes pending_;
  proposal_journal proposals_;
  sole_deciders deciders_;
  place_offers offers_;
  std::map<std::uint32_t, Timestamp> announce_until_;  ///< Groups whose latest epoch is repeated for a while.
  std::map<ledger::ReplicaIdentity, Timestamp> leaver_gone_since_;  ///< Former members that seem to be gone.
  bool declaring_ = false;
  Timestamp untold_since_{};  ///< Since when this node is in a group whose published epoch is an earlier one; zero: no.
  CounterValue told_reads_ = 0;
  Timestamp store_silent_since_{};
  Timestamp started_{};
  std::size_t asks_ = 0;  ///< Questions to the store that are to be answered yet.
  bool notes_running_ = false;
  std::array<Timestamp, 2> ran_at_{};  ///< The latest notes that this process runs, the later one first.
  std::map<config::TableReplicator*, Timestamp> watched_since_;  ///< Watches that wait for their answer.
  Look look_at_objects_;
  Look look_at_machines_;
  Look look_at_groups_;
  Relayed relayed_objects_;
  Relayed relayed_machines_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
