#pragma once
/// @file All decision logic of one node, wired together. The daemon and the simulation run
/// this very class; only Environment, Storage, BackendClient and PlatformClient differ.

#include <memory>
#include <optional>

#include "batch/dispatcher.hpp"
#include "batch/job_manager.hpp"
#include "batch/queue_limiter.hpp"
#include "batch/result_reader.hpp"
#include "batch/submission.hpp"
#include "common/word_numbers.hpp"
#include "common/counters.hpp"
#include "config/objects.hpp"
#include "config/versioned_table.hpp"
#include "forwarding/backend_directory.hpp"
#include "forwarding/forwarder.hpp"
#include "ledger/client.hpp"
#include "ledger/group_health.hpp"
#include "ledger/replica_journal.hpp"
#include "ledger/replica.hpp"
#include "membership/membership.hpp"
#include "node/peer_memory.hpp"
#include "object_store/controller.hpp"
#include "object_store/retirement.hpp"
#include "object_store/stopping_handover.hpp"
#include "placement/call_reporter.hpp"
#include "placement/coordinator.hpp"
#include "placement/duties.hpp"
#include "placement/place_client.hpp"
#include "policy/policies.hpp"
#include "policy/work_estimate.hpp"
#include "quarantine/request_quarantine.hpp"
#include "routing/call_announcer.hpp"
#include "routing/live_router.hpp"
#include "routing/service_router.hpp"
#include "routing/shared_calls.hpp"
#include "tenancy/authentication.hpp"
#include "tenancy/rate_limiter.hpp"
#include "wire/codec.hpp"

namespace madderdeck::node {

/// Every safety rule that the simulation can leave out. The daemon uses the defaults.
struct Guards {
  ledger::ReplicaGuards replica;
  routing::RegistryGuards registry;
  routing::LiveGuards live;
  forwarding::ForwardGuards forward;
  routing::ClaimGuards claims;
  routing::ServiceGuards service;
  batch::ManagerGuards manager;
  batch::DispatchGuards dispatch;
  object_store::DeclarationGuards declarations;
  quarantine::quarantine_guards quarantine;
  ledger::change_guards changes;
  bool cancel_is_durable = true;  ///< A cancel is written before it is confirmed.
  bool reject_older_config = true;
  bool emptied_after_handover = true;    ///< A disk is called empty only once others hold what it held.
  bool copies_arrive = true;             ///< A new disk is sent what the others hold.
  bool copies_arrive_soon = true;        ///< ... within the time that a machine has to catch up.
  bool groups_checked_soon = true;       ///< Maintainers look at the groups often within that time.
  bool disks_keep_identity = true;       ///< A disk that comes back is the one that it was.
  bool clock_counts_suspension = true;   ///< The clock goes on while the machine is suspended.
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
  object_store::PlatformClient& platform;
  DecisionLog& log;
  forwarding::Upstream* upstream = nullptr;  ///< Only where requests are passed on.
};

/// A node's own description and options.
struct NodeOptions {
  wire::MemberT self;
  std::vector<PeerAddress> seeds;
  membership::Options membership;
  ledger::ClientOptions ledger;
  object_store::ControllerOptions controller;
  Duration load_poll = 500ms;  ///< How often back ends are asked for their load.
  /// Back ends tell their load with their answers: only schedulers ask, for the engines they fill.
  bool loads_pushed = false;
  config::FleetPolicy default_policy;  ///< Stands until operators declare one.
  policy::policy_set policies = value_of(policy::policy_set_builder().build());
  /// For how long after the platform's store took a back end's leaving requests may still reach it; zero: not told.
  Duration leave_notice{};
  Duration rate_window = 5s;     ///< Over which the rates of tenants are judged.
  tenancy::key_trust key_trust;  ///< How long keys are trusted without word of the configuration.
  Guards guards;
};

/// Single threaded.
class NodeCore : public forwarding::BackendDirectory {
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
  /// @return whether no request is open that this node has taken.
  bool has_finished_calls() const;
  /// @return whether a node that drains still holds records that others are to copy before it ends.
  bool hands_over_records() const;
  /// @return whether callers can be served: configuration is known and, where this node holds
  ///         ledger records, they are in step.
  bool ready() const;
  /// @return whether this node's disk holds what the replica groups have placed on it. A disk that replaces a lost one
  ///         does not before it has been admitted and has copied; until then no other disk may be given up.
  bool holds_its_records() const;
  /// The disk refuses writes, or has not been opened yet: the replica takes part in nothing until the disk is back.
  void on_disk_refused();
  /// The disk, which could not be opened when this node started, is open and known to be @p disk.
  void on_disk_opened(const DiskId& disk);
  /// The disk takes writes again; the replica goes on from what it holds.
  void on_disk_regained();
  /// Cancels a job durably, then tells every scheduler.
  void cancel_job(const JobId& job, std::function<void(Result<wire::JobRecordT>)> done);
  /// Tells the scheduler that manages @p job about it.
  void announce_job(const JobId& job, bool cancelled);
  std::size_t gateway_count() const;
  /// Runs @p done once this node knows routes and back ends, or with false when it does not within kConfigurationWait:
  /// a node that has just started learns them within some hundred milliseconds, sooner than a caller comes back.
  void when_configured(std::function<void(bool)> done);
  static constexpr Duration kConfigurationWait = 1s;
  /// @return whether a caller that shows @p credentials may use the fleet, by the configuration in force.
  tenancy::identity authenticate(const tenancy::credentials& shown) const;

  std::string address_of(const BackendId& backend) const override;
  bool takes_work(const BackendId& backend) const override;
  bool is_leaving(const BackendId& backend) const override;
  std::size_t connection_share(const BackendId& backend) const override;
  void on_load(const BackendId& backend, const routing::LoadReport& report) override;

  /// Told of new routes; may be empty.
  std::function<void(const forwarding::RouteTable&)> on_routes_change;
  /// Told of members that appear, leave, die or come back; may be empty.
  std::function<void(const wire::MemberT&)> on_member_change;

  Environment& environment;
  Counters& counters;
  DecisionLog& log;

 private:
  /// @return whether this node knows the node of @p member to live, with that disk.
  bool is_there(const ledger::ReplicaIdentity& member) const;
  /// @return whether this node holds most of those for dead that it has known to live a short time ago.
  bool misses_most_of_fleet() const;

  Guards guards_;
  ledger::Storage* const storage_;  ///< Null on nodes without a disk.
  routing::BackendClient& backends_;
  object_store::PlatformClient& platform_;
  const Duration load_poll_;
  const bool loads_pushed_;
  const tenancy::key_trust key_trust_;
  const std::size_t handover_copies_;  ///< Disks that have to hold a record before this node's disk may go.
  bool draining_ = false;

 public:
  config::Catalog catalog;
  config::TableReplicator objects;
  config::TableReplicator machines;
  config::TableReplicator groups;       ///< Used where the platform keeps them apart from the objects.
  config::TableReplicator evacuations;  ///< Zones whose back ends are to get no requests.
  membership::Membership members;
  peer_memory remembered_peers;  ///< Used on ledger nodes alone.
  placement::duties duties;
  ledger::Client ledger;
  batch::ResultReader results;
  batch::submission_window submissions;
  std::unique_ptr<ledger::Replica> replica;                  ///< Only on ledger nodes.
  std::unique_ptr<ledger::replica_journal> replica_journal;  ///< As the replica.
  std::unique_ptr<ledger::group_health> group_health;
  routing::Registry registry;
  routing::ClaimBook claims;
  routing::LiveRouter live;
  routing::ServiceRouter services;
  quarantine::end_detector detector;
  quarantine::request_quarantine quarantine;
  std::unique_ptr<forwarding::Forwarder> forwarder;  ///< Only with an upstream.
  tenancy::rate_limiter limiter;
  routing::shared_calls shared_calls;                   ///< Of the other nodes.
  std::unique_ptr<routing::call_announcer> announcer;   ///< Only where calls are shared.
  std::unique_ptr<placement::coordinator> coordinator;  ///< Only where large fleets are coordinated,
  std::unique_ptr<placement::place_client> places;      ///< as are these.
  std::unique_ptr<placement::call_reporter> call_reporter;
  policy::work_estimate estimate;                 ///< Of batch items.
  std::unique_ptr<batch::JobManager> jobs;        ///< Only on schedulers.
  std::unique_ptr<batch::queue_limiter> queues;   ///< Only on schedulers.
  std::unique_ptr<batch::Dispatcher> dispatcher;  ///< Only on schedulers.
  object_store::Declarations declarations;
  std::unique_ptr<object_store::Retirement> retirement;  ///< Only on ledger nodes.
  std::unique_ptr<object_store::Controller> controller;  ///< Only on controllers.
  /// Only on ledger nodes that are controllers, once they drain.
  std::unique_ptr<object_store::stopping_handover> handover;

 private:
  struct ToldActivity {
    std::uint32_t in_flight = 0;
    std::uint32_t told = 0;
    bool scheduled = false;
  };
  bool shares_calls_ = false;
  bool coordinates_ = false;
  std::shared_ptr<const policy::call_order> call_order_;
  forwarding::RouteTablePointer told_routes_;
  membership::Hooks make_hooks();
  void tell_not_found(const membership::fleet_search& search);
  void on_objects_changed(const std::vector<config::EntryKey>& keys);
  void on_machines_changed(const std::vector<config::EntryKey>& keys);
  /// Tells the replica and the client of this node what either knows of the groups.
  void match_replica_and_client();
  void on_evacuations_changed();
  /// @return whether this node may send a request to @p backend, which warms up; counts it then.
  bool allows_warming(const routing::Backend& backend);
  void on_calls_changed(const BackendId& engine);
  void on_online_activity(const BackendId& engine, std::uint32_t in_flight);
  void tell_activity(const BackendId& engine);
  void tell_reading(const BackendId& engine, Duration expected);
  void refresh_activity();
  void report_queues();
  std::vector<PeerAddress> other_gateways() const;
  /// @return where the other nodes hear their peers that send requests to back ends or remember what others have told.
  std::vector<PeerAddress> suspicion_peers() const;
  bool is_leaving(const BackendId& backend);
  Duration observed_time_to_yield() const;
  void start_watching_groups();
  void start_sharing_calls();
  void start_coordination();
  /// @return whether the coordinators of a large fleet choose the engines.
  bool coordinated() const { return places && places->active(); }
  void poll_loads();
  void fetch_load(const BackendId& id);
  void tell_unexplained(const BackendId& id);
  void note_unknown_kind(const PeerAddress& sender, unsigned kind);
  /// @return those whose load this node asks for.
  std::set<BackendId> polled_backends();

  bool configured() const;
  void tell_configured();
  std::map<std::uint64_t, std::function<void(bool)>> awaiting_configuration_;
  std::uint64_t next_awaiting_ = 0;
  std::map<BackendId, ToldActivity> activity_;
  Timestamp started_at_{};
  routing::warm_up_pace warm_up_pace_;
  std::uint64_t poll_round_ = 0;
  Timestamp ask_all_until_{};  ///< Until then every back end that this node looks after is asked for its load.
  word_numbers word_numbers_{environment};
  std::optional<Timestamp> unknown_kind_said_at_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::node
