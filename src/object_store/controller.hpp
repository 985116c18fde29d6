#pragma once
/// @file Reads the platform's store and machine list for the whole fleet, and keeps the
/// ledger's replica groups populated. Every controller node runs it; few are active.

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "config/objects.hpp"
#include "config/versioned_table.hpp"
#include "ledger/client.hpp"
#include "membership/membership.hpp"
#include "object_store/declarations.hpp"
#include "object_store/platform_client.hpp"

namespace madderdeck::object_store {

struct ControllerOptions {
  std::size_t readers = 2;      ///< Controllers that watch the store at the same time.
  std::size_t maintainers = 2;  ///< Controllers that look after the replica groups.
  Duration store_retry = 1s;    ///< Pause after a watch that failed.
  Duration founding_wait = 3s;  ///< So that all disks of a new fleet are seen.
  Duration group_check = 1s;    ///< How often the replica groups are looked at.
  Duration replace_after{};     ///< Silence after which a replica is replaced; zero: as the fleet's policy says.
  Duration watch_wait = 10s;
  Duration machine_poll = 500ms;
  std::size_t group_count = 16;  ///< Replica groups of a newly founded fleet, per three disks or more.
  std::size_t replicas = 3;
};

/// Single threaded.
class Controller {
 public:
  Controller(Environment& environment, Counters& counters, membership::Membership& members,
             config::TableReplicator& objects, config::TableReplicator& machines, config::TableReplicator& groups,
             const config::Catalog& catalog, ledger::Client& ledger, PlatformClient& platform,
             Declarations& declarations, DecisionLog& log, ControllerOptions options = {});

  void start();
  /// @return whether this node is one of the few that read the store.
  bool is_reader() const { return ranks_among(options_.readers); }

 private:
  using Watch = void (PlatformClient::*)(std::uint64_t, Duration, ChangesDone);
  /// Watches one source for as long as this node is a reader.
  /// @param at_once whether the store is to answer without waiting for a change: after a failure it
  ///        shows soon that the store is back.
  void watch(config::TableReplicator& table, Watch source, bool at_once);
  bool ranks_among(std::size_t count) const;
  void note_store(bool answers);
  void maintain_groups();
  void found_groups();
  /// How a replica of a group stands.
  enum class ReplicaState {
    present,
    disk_replaced,  ///< Its node runs with another disk: the old one will never vote again.
    missing,        ///< Nothing has been heard of its node for long.
    retiring,       ///< An operator wants its node emptied.
  };
  struct Change {
    ledger::ReplicaGroup next;
    std::size_t quorum = 0;
  };
  void change_groups();
  void decide(std::uint32_t group, const Change& change);
  /// @return the next description of @p group, if there is a reason for one.
  std::optional<Change> wanted_change(const ledger::ReplicaGroup& group);
  void publish_groups();
  void declare_groups(const ledger::GroupMap& map);
  std::vector<const wire::MemberT*> ledger_nodes() const;
  const wire::MemberT* member(const NodeId& node) const;
  ReplicaState state_of(const ledger::ReplicaIdentity& replica);
  const wire::MemberT* substitute(const ledger::ReplicaGroup& group, const ledger::ReplicaIdentity& lost) const;

  Environment& environment_;
  Counters& counters_;
  membership::Membership& members_;
  config::TableReplicator& objects_;
  config::TableReplicator& machines_;
  config::TableReplicator& groups_;
  const config::Catalog& catalog_;
  ledger::Client& ledger_;
  PlatformClient& platform_;
  Declarations& declarations_;
  DecisionLog& log_;
  const ControllerOptions options_;
  std::map<NodeId, Timestamp> missing_since_;
  std::set<std::uint32_t> deciding_;
  std::map<std::uint32_t, Timestamp> announce_until_;  ///< Groups whose latest epoch is repeated for a while.
  bool declaring_ = false;
  Timestamp store_silent_since_{};
  Timestamp started_{};
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
