#pragma once
/// @file Connects all decision logic of one node. The daemon and the simulation run the same class
/// with different implementations of Environment, Storage, BackendClient and PlatformClient.

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
#include "node/start_progress.hpp"
#include "node/stored_tables.hpp"
#include "object_store/controller.hpp"
#include "object_store/retirement.hpp"
#include "object_store/stopping_handover.hpp"
#include "placement/call_reporter.hpp"
#include "placement/coordinator.hpp"
#include "placement/duties.hpp"
#include "placement/place_client.hpp"
#include "placement/stream_records.hpp"
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

/// Safety rules that the simulation can disable one by one. The daemon uses the defaults.
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
  placement::stream_record_guards streams;
  ledger::change_guards changes;
  bool cancel_is_durable = true;  ///< A cancellation is stored before it is confirmed.
  bool reject_older_config = true;
  bool drained_after_handover = true;    ///< A disk is reported as drained only once other disks hold its records.
  bool copies_arrive = true;             ///< A new disk receives copies of the records that the other members hold.
  bool copies_arrive_in_time = true;     ///< The copies arrive within the time that a machine has to catch up.
  bool groups_checked_in_time = true;    ///< Maintainers check the groups several times within that time.
  bool disks_keep_identity = true;       ///< A disk keeps its identity when it comes back.
  bool clock_counts_suspension = true;   ///< The clock advances while the machine is suspended.
  bool tell_activity = true;             ///< Gateways report live calls to the scheduler of the engine.
  bool drain_waits = true;               ///< A draining node stops only after its live calls have ended.
  bool drain_waits_for_services = true;  ///< A draining node stops only after its service calls have ended.
};

/// External objects that a node uses. All of them have to outlive the node.
struct NodeDependencies {
  Environment& environment;
  Counters& counters;
  ledger::Storage* storage = nullptr;  ///< Only for ledger nodes.
  routing::BackendClient& backends;
  object_store::PlatformClient& platform;
  DecisionLog& log;
  forwarding::Upstream* upstream = nullptr;  ///< Only if requests are forwarded.
};

/// A node's description of itself and its options.
struct NodeOptions {
  wire::MemberT self;
  std::vector<PeerAddress> seeds;
  membership::Options membership;
  ledger::ClientOptions ledger;
  object_store::ControllerOptions controller;
  Duration load_poll = 500ms;  ///< Interval between requests for a back end's load.
  /// Back ends report their load with their answers, so that only schedulers poll the engines that they own.
  bool loads_pushed = false;
  config::FleetPolicy default_policy;  ///< Applies until operators declare a policy.
  policy::policy_set policies = value_of(policy::policy_set_builder().build());
  /// Time for which requests may still reach a back end after the platform's store recorded that it leaves; zero:
  /// unknown.
  Duration leave_notice{};
  Duration rate_window = 5s;     ///< Window for the rate limits of tenants.
  tenancy::key_trust key_trust;  ///< How long keys are trusted without configuration updates.
  Guards guards;
};

/// The decision logic of one node. Single threaded.
class NodeCore : public forwarding::BackendDirectory {
 public:
  NodeCore(NodeDependencies dependencies, NodeOptions options);

  void start();
  /// Handles one message from a peer.
  void handle(const wire::Incoming& incoming);
  /// Starts to drain the node: announces to the members that it leaves, returns batch work and accepts no new work.
  void drain();
  bool draining() const { return draining_; }
  /// Called once a draining node accepts no connections any more and ends at @p ends_at. Requests that are read from
  /// now on are refused, and so are those that wait for a back end until too little time is left.
  void stop_taking_work(Timestamp ends_at);
  /// @return whether requests that are read now are passed on.
  bool takes_work() const { return takes_work_; }
  /// @return whether all accepted requests have ended and no record has to be handed over.
  bool drained() const;
  /// @return whether all requests that this node accepted have ended.
  bool has_finished_calls() const;
  /// @return whether a draining node still holds records that other nodes have to copy before it stops.
  bool hands_over_records() const;
  /// @return whether callers can be served: the configuration is known, the node does not drain and, if it has a
  ///         replica, replica_is_current() is true.
  bool ready() const { return !missing_for_start(); }
  /// @return the first need that keeps the node from being ready; nothing if it is.
  std::optional<start_need> missing_for_start() const;
  /// @return whether this node's disk holds the records that the replica groups have placed on it. A disk that replaces
  ///         a lost one holds them only once it has been admitted and has copied them; no other disk may be given up
  ///         before that.
  bool replica_is_current() const;
  /// Called when the disk refuses writes or is not open yet: the replica answers no requests until the disk is back.
  void on_disk_refused();
  /// Called when the disk, which could not be opened at the start of the node, is open and identified as @p disk.
  void on_disk_opened(const DiskId& disk);
  /// Called when the disk accepts writes again: the replica continues with the records that it holds.
  void on_disk_regained();
  /// Stores the cancellation of a job, then notifies every scheduler.
  void cancel_job(const JobId& job, std::function<void(Result<wire::JobRecordT>)> done);
  /// Notifies the schedulers that manage and dispatch @p job of its submission or cancellation.
  void announce_job(const JobId& job, bool cancelled);
  std::size_t gateway_count() const;
  /// Calls @p done with true once this node knows routes and back ends, or with false after kConfigurationTimeout. A
  /// node that has just started learns them within some hundred milliseconds, sooner than a caller would retry.
  void when_configured(std::function<void(bool)> done);
  static constexpr Duration kConfigurationTimeout = 1s;
  /// @return whether a caller with the credentials @p shown may use the fleet under the current configuration, and the
  ///         caller's tenant.
  tenancy::identity authenticate(const tenancy::credentials& shown) const;

  std::string address_of(const BackendId& backend) const override;
  bool accepts_work(const BackendId& backend) const override;
  bool is_leaving(const BackendId& backend) const override;
  std::size_t connection_share(const BackendId& backend) const override;
  void on_load(const BackendId& backend, const routing::LoadReport& report) override;

  /// Called with new routes; may be empty.
  std::function<void(const forwarding::RouteTable&)> on_routes_change;
  /// Called with members that join, leave, die or return; may be empty.
  std::function<void(const wire::MemberT&)> on_member_change;

  Environment& environment;
  Counters& counters;
  DecisionLog& log;

 private:
  /// @return whether the node of @p member is reachable and has the disk of @p member, as far as this node knows.
  bool is_there(const ledger::ReplicaIdentity& member) const;
  /// @return whether most of the members that were alive a short time ago are dead, as far as this node knows.
  bool most_of_fleet_unreachable() const;

  Guards guards_;
  ledger::Storage* const storage_;  ///< Null on nodes without a disk.
  routing::BackendClient& backends_;
  object_store::PlatformClient& platform_;
  const Duration load_poll_;
  const bool loads_pushed_;
  const tenancy::key_trust key_trust_;
  const std::size_t
      handover_copies_;  ///< Number of disks that have to hold a record before this node's disk may be removed.
  bool draining_ = false;
  bool takes_work_ = true;

 public:
  config::Catalog catalog;
  config::TableReplicator objects;
  config::TableReplicator machines;
  config::TableReplicator groups;       ///< Used if the platform stores the groups separately from the objects.
  config::TableReplicator evacuations;  ///< Zones whose back ends must get no requests.
  membership::Membership members;
  peer_memory remembered_peers;  ///< Only used on ledger nodes.
  placement::duties duties;
  ledger::Client ledger;
  batch::ResultReader results;
  batch::submission_window submissions;
  std::unique_ptr<ledger::Replica> replica;                  ///< Only on ledger nodes.
  std::unique_ptr<ledger::replica_journal> replica_journal;  ///< Only on ledger nodes.
  std::unique_ptr<stored_tables> kept_tables;                ///< Only on ledger nodes.
  std::unique_ptr<ledger::group_health> group_health;
  routing::Registry registry;
  routing::ClaimStore claims;
  routing::LiveRouter live;
  routing::ServiceRouter services;
  quarantine::end_detector detector;
  quarantine::request_quarantine quarantine;
  placement::stream_records streams;
  std::unique_ptr<forwarding::Forwarder> forwarder;  ///< Only with an upstream.
  tenancy::rate_limiter limiter;
  routing::shared_calls shared_calls;                   ///< Calls of the other nodes.
  std::unique_ptr<routing::call_announcer> announcer;   ///< Only if nodes share their calls.
  std::unique_ptr<placement::coordinator> coordinator;  ///< Only if large fleets are coordinated.
  std::unique_ptr<placement::place_client> places;      ///< Only if large fleets are coordinated.
  std::unique_ptr<placement::call_reporter> call_reporter;
  policy::work_estimate estimate;                 ///< Estimates for batch items.
  std::unique_ptr<batch::JobManager> jobs;        ///< Only on schedulers.
  std::unique_ptr<batch::queue_limiter> queues;   ///< Only on schedulers.
  std::unique_ptr<batch::Dispatcher> dispatcher;  ///< Only on schedulers.
  object_store::Declarations declarations;
  std::unique_ptr<object_store::Retirement> retirement;  ///< Only on ledger nodes.
  std::unique_ptr<object_store::Controller> controller;  ///< Only on controllers.
  /// Only on draining ledger nodes that are controllers.
  std::unique_ptr<object_store::stopping_handover> handover;

 private:
  struct ReportedActivity {
    std::uint32_t in_flight = 0;
    std::uint32_t told = 0;
    bool scheduled = false;
  };
  bool shares_calls_ = false;
  bool coordinates_ = false;
  std::shared_ptr<const policy::call_order> call_order_;
  forwarding::RouteTablePointer reported_routes_;
  membership::Hooks make_hooks();
  void log_fleet_not_found(const membership::fleet_search& search);
  void keep_tables();
  /// @return the disks of all groups that name this node's disk.
  std::set<ledger::ReplicaIdentity> disks_of_own_groups() const;
  void store_change(wire::TableId id, const std::vector<config::EntryKey>& keys);
  void note_confirmed(const config::TableReplicator& table);
  void on_objects_changed(const std::vector<config::EntryKey>& keys);
  void on_machines_changed(const std::vector<config::EntryKey>& keys);
  /// Exchanges the known group epochs between the replica and the ledger client of this node.
  void exchange_group_epochs();
  void on_evacuations_changed();
  void begin_identifying();
  /// Asks restored back ends who they are, at intervals, until none is left.
  void identify_restored();
  /// @return whether no back end may be used before it has told who it is, and the first ones have not had the time to.
  bool awaits_identities() const;
  void ask_identity(const BackendId& id);
  /// @return the path at which @p id tells who it is; empty: it cannot be asked. Nothing if the back end is not known.
  std::optional<std::string> health_path_of(const BackendId& id) const;
  /// @return whether this node may send a request to @p backend, which is warming up. If so, counts the request.
  bool allows_warming(const routing::Backend& backend);
  void on_calls_changed(const BackendId& engine);
  void on_online_activity(const BackendId& engine, std::uint32_t in_flight);
  void report_activity(const BackendId& engine);
  void announce_prefill(const BackendId& engine, Duration expected);
  void refresh_activity();
  void report_queues();
  std::vector<PeerAddress> other_gateways() const;
  /// @return peer addresses of the other nodes that send requests to back ends or store suspicions.
  std::vector<PeerAddress> suspicion_peers() const;
  bool is_leaving(const BackendId& backend);
  Duration observed_time_to_yield() const;
  void start_watching_groups();
  void start_sharing_calls();
  void start_coordination();
  /// @return whether coordinators choose the engines, as they do in large fleets.
  bool coordinated() const { return places && places->active(); }
  void poll_loads();
  void fetch_load(const BackendId& id);
  void report_unattributed_calls(const BackendId& id);
  void note_unknown_kind(const PeerAddress& sender, unsigned kind);
  /// @return the back ends whose load this node polls in this round.
  std::set<BackendId> polled_backends();

  bool configured() const;
  void tell_configured();
  std::map<std::uint64_t, std::function<void(bool)>> awaiting_configuration_;
  std::uint64_t next_awaiting_ = 0;
  std::map<BackendId, ReportedActivity> activity_;
  Timestamp started_at_{};
  routing::warm_up_pace warm_up_pace_;
  std::uint64_t poll_round_ = 0;
  bool identifies_ = false;  ///< identify_restored() is scheduled.
  Timestamp identifying_since_{};
  Timestamp poll_all_until_{};  ///< Until then all back ends that this node owns are polled for their load.
  word_numbers report_numbers_{environment};
  std::optional<Timestamp> unknown_kind_logged_at_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::node
