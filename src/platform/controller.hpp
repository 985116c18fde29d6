#pragma once
/// @file Reads the platform's store and machine list for the whole fleet, and keeps the
/// ledger's replica groups populated. Every controller node runs it; few are active.

#include "common/counters.hpp"
#include "config/objects.hpp"
#include "config/versioned_table.hpp"
#include "membership/membership.hpp"
#include "platform/declarations.hpp"
#include "platform/platform_client.hpp"

namespace madderdeck::platform {

struct ControllerOptions {
  std::size_t readers = 2;  ///< Controllers that watch the store at the same time.
  Duration watch_wait = 10s;
  Duration machine_poll = 500ms;
  std::size_t group_count = 16;  ///< Replica groups of a newly founded fleet, per three disks or more.
  std::size_t replicas = 3;
};

/// Single threaded.
class Controller {
 public:
  Controller(Environment& environment, Counters& counters, membership::Membership& members,
             config::TableReplicator& objects, config::TableReplicator& machines, const config::Catalog& catalog,
             PlatformClient& platform, Declarations& declarations, ControllerOptions options = {});

  void start();
  /// @return whether this node is one of the few that read the store.
  bool is_reader() const;

 private:
  void watch_objects();
  void watch_machines();
  void maintain_groups();
  void found_groups();
  void replace_members();
  void declare_groups(const ledger::GroupMap& map);
  std::vector<const wire::MemberT*> ledger_nodes() const;
  bool replica_lost(const ledger::ReplicaIdentity& replica);
  const wire::MemberT* substitute(const ledger::ReplicaGroup& group, const ledger::ReplicaIdentity& lost) const;

  Environment& environment_;
  Counters& counters_;
  membership::Membership& members_;
  config::TableReplicator& objects_;
  config::TableReplicator& machines_;
  const config::Catalog& catalog_;
  PlatformClient& platform_;
  Declarations& declarations_;
  const ControllerOptions options_;
  std::map<NodeId, Timestamp> missing_since_;
  bool declaring_ = false;
  Timestamp store_silent_since_{};
  Timestamp started_{};
  Lifetime lifetime_;
};

}  // namespace madderdeck::platform
