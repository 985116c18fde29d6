#pragma once
/// @file All decision logic of one node, wired together. The daemon and the simulation run
/// this very class; only Environment, Storage, BackendClient and PlatformClient differ.

#include <memory>
#include <optional>

#include "batch/dispatcher.hpp"
#include "batch/job_manager.hpp"
#include "batch/submission.hpp"
#include "common/counters.hpp"
#include "config/objects.hpp"
#include "config/versioned_table.hpp"
#include "ledger/client.hpp"
#include "ledger/replica.hpp"
#include "membership/membership.hpp"
#include "platform/controller.hpp"
#include "routing/live_router.hpp"
#include "routing/service_router.hpp"
#include "wire/codec.hpp"

namespace madderdeck::node {

/// Every safety rule that the simulation can leave out. The daemon uses the defaults.
struct Guards {
  ledger::ReplicaGuards replica;
  routing::RegistryGuards registry;
  routing::LiveGuards live;
  routing::ClaimGuards claims;
  routing::ServiceGuards service;
  batch::ManagerGuards manager;
  batch::DispatchGuards dispatch;
  platform::DeclarationGuards declarations;
  bool cancel_is_durable = true;  ///< A cancel is written before it is confirmed.
  bool reject_older_config = true;
  bool tell_activity = true;             ///< Schedulers hear of live calls on their engines.
  bool drain_waits = true;               ///< A leaving node ends only after its live calls.
  bool drain_waits_for_services = true;  ///< ... and after its service calls.
};

/// Surroundings of a node. All outlive it.
struct NodeDependencies {
  Environment& environment;
  Counters& counters;
  ledger::Storage* storage = nullptr;  ///< Only for ledger nodes.
  routing::BackendClient& backends;
  platform::PlatformClient& platform;
};

/// A node's own description and options.
struct NodeOptions {
  wire::MemberT self;
  std::vector<PeerAddress> seeds;
  membership::Options membership;
  ledger::ClientOptions ledger;
  platform::ControllerOptions controller;
  Duration load_poll = 500ms;  ///< How often back ends are asked for their load.
  Guards guards;
};

/// Single threaded.
class NodeCore {
 public:
  NodeCore(NodeDependencies dependencies, NodeOptions options);

  void start();
  /// Handles one message from a peer.
  void handle(const wire::Incoming& incoming);
  /// Starts leaving: told to all, batch work given back, no new work taken.
  void drain();
  bool draining() const { return draining_; }
  /// @return whether the last accepted request has ended.
  bool drained() const;
  /// @return whether callers can be served: configuration is known and, where this node holds
  ///         ledger records, they are in step.
  bool ready() const;
  /// Cancels a job durably, then tells every scheduler.
  void cancel_job(const JobId& job, std::function<void(Result<wire::JobRecordT>)> done);
  /// Tells the scheduler that manages @p job about it.
  void announce_job(const JobId& job, bool cancelled);
  std::size_t gateway_count() const;

  /// Told of members that appear, leave, die or come back; may be empty.
  std::function<void(const wire::MemberT&)> on_member_change;

  Environment& environment;
  Counters& counters;

 private:
  Guards guards_;
  routing::BackendClient& backends_;
  const Duration load_poll_;
  bool draining_ = false;

 public:
  config::Catalog catalog;
  config::TableReplicator objects;
  config::TableReplicator machines;
  membership::Membership members;
  ledger::Client ledger;
  std::unique_ptr<ledger::Replica> replica;  ///< Only on ledger nodes.
  routing::Registry registry;
  routing::ClaimBook claims;
  routing::LiveRouter live;
  routing::ServiceRouter services;
  routing::TenantLimiter limiter;
  std::unique_ptr<batch::JobManager> jobs;        ///< Only on schedulers.
  std::unique_ptr<batch::Dispatcher> dispatcher;  ///< Only on schedulers.
  platform::Declarations declarations;
  std::unique_ptr<platform::Controller> controller;  ///< Only on controllers.

 private:
  struct ToldActivity {
    std::uint32_t in_flight = 0;
    std::uint32_t told = 0;
    bool scheduled = false;
  };
  membership::Hooks make_hooks();
  void on_objects_changed(const std::vector<config::EntryKey>& keys);
  void on_machines_changed(const std::vector<config::EntryKey>& keys);
  void on_online_activity(const BackendId& engine, std::uint32_t in_flight);
  void tell_activity(const BackendId& engine);
  void refresh_activity();
  void poll_loads();
  bool polls(const routing::Backend& backend);

  std::map<BackendId, ToldActivity> activity_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::node
