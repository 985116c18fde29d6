#pragma once
/// @file A simulated fleet: real NodeCore objects over a simulated network, disks, engines,
/// services and platform.

#include <deque>
#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emulator/engine_model.hpp"
#include "emulator/platform_model.hpp"
#include "node/node_core.hpp"
#include "simulation/answer_plan.hpp"
#include "simulation/fatal_sends.hpp"
#include "simulation/oracle.hpp"
#include "simulation/world.hpp"

namespace madderdeck::simulation {

/// Begins the body of every request that ends the engines that begin to run it.
inline constexpr std::string_view kFatalRequest = "fatal request";
/// The ids of parts of prompts begin so on which no engine can begin to write an answer without a crash.
inline constexpr std::string_view kFatalPart = "fatal part";
/// Begins the body of a batch item under which engines crash by chance, several times.
inline constexpr std::string_view kUnluckyItem = "unlucky item";

/// Size and shape of a simulated site.
struct Profile {
  std::string name = "qasr";
  unsigned nodes = 5;  ///< The first three hold ledger records.
  unsigned engines = 4;
  unsigned services = 2;
  unsigned engine_slots = 4;
  Duration engine_step = 10ms;
  std::uint32_t live_tokens = 10;
  std::uint32_t batch_tokens = 60;
  std::uint32_t job_items = 20;
  bool mixed_versions = false;  ///< Every other node speaks as an earlier version does.
  unsigned loss_percent = 1;    ///< Of messages between nodes, while no fault raises it.
  unsigned late_percent = 1;    ///< Of messages between nodes, those that take up to seconds.
  /// Ledger and membership have the deployed program's times; groups and the time until jobs are readable are watched.
  bool loss_series = false;
  unsigned replaced_percent = 30;  ///< Disks lost in series whose machine is replaced at another address.
  bool successors_judged = false;  ///< Groups have to take new disks in within the time to catch up.
  bool seeds_go_stale = true;      ///< Otherwise what would make them so is drawn and left out, to tell causes apart.
  bool gateways_are_cut = true;    ///< The same of gateways that reach no disk.
  bool departures = false;         ///< Machines that are emptied go for good; what epochs name is judged.
  unsigned answer_fault_percent =
      0;  ///< Of passed-on answers, those that are broken off; 0: all are in chunks and whole.
  /// Software versions among which those of the engines are drawn; 0: engines state none.
  unsigned engine_versions = 0;
  unsigned failed_run_percent = 0;  ///< Of the runs of listed items, those that engines fail.
  bool crashes_judged = false;      ///< Batch items have to run again soon after a burst of crashes at the end.
  bool seeds_drawn = false;         ///< The three seeds of a schedule are any nodes; otherwise those with a disk.
};
/// @return the profile of that name, if there is one.
std::optional<Profile> find_profile(const std::string& name);

/// A disk: what was put is visible at once and lasts after the flush.
class SimStorage : public ledger::Storage {
 public:
  SimStorage(World& world, SimProcess& process) : world_(world), process_(process) {}

  Result<std::optional<wire::Bytes>> get(const std::string& key) const override;
  void put(const std::string& key, const wire::Bytes& value) override;
  void put_atomically(const std::vector<Entry>& entries) override;
  Status scan(const std::string& prefix, const std::string& after,
              const std::function<bool(std::string_view, std::string_view)>& visit) const override;
  void flush(std::function<void(Status)> done) override;
  bool has_unflushed() const override { return !unflushed_.empty(); }
  /// Forgets what was not flushed.
  void crash();
  /// Power is lost: of what was not flushed the first writes are kept, from none to all of them.
  void lose_power();
  void wipe();

 private:
  World& world_;
  SimProcess& process_;
  std::map<std::string, wire::Bytes> visible_;
  std::map<std::string, wire::Bytes> durable_;
  struct Write {
    std::uint64_t number = 0;  ///< A flush that ends late does not undo what a later one has written.
    wire::Bytes value;
  };
  struct LoggedWrite {
    std::uint64_t number = 0;
    std::string key;
    wire::Bytes value;
  };
  std::map<std::string, Write> unflushed_;
  std::deque<LoggedWrite> log_;                   ///< All writes since the last flush, in their order.
  std::map<std::string, std::uint64_t> flushed_;  ///< Numbers of the durable writes.
  std::uint64_t writes_ = 0;
};

class SimFleet;

/// Disks of which their own machines have said that they hold nothing any more, and since when.
struct gone_disks {
  std::map<ledger::ReplicaIdentity, Timestamp> emptied;
  std::map<ledger::ReplicaIdentity, Timestamp> replaced;  ///< The machine runs with another disk.
};

/// Environment of one life of one node.
class SimEnvironment : public Environment {
 public:
  SimEnvironment(SimFleet& fleet, unsigned node) : fleet_(fleet), node_(node) {}
  Timestamp now() const override;
  std::uint64_t unix_milliseconds() const override;
  std::uint64_t random() override;
  void send(const PeerAddress& to, wire::MessageUnion message) override;
  void after(Duration delay, std::function<void()> task) override;

 private:
  SimFleet& fleet_;
  const unsigned node_;
};

/// Environment of an engine.
class EngineEnvironment : public Environment {
 public:
  EngineEnvironment(World& world, SimProcess& process) : world_(world), process_(process) {}
  Timestamp now() const override { return world_.now(); }
  std::uint64_t unix_milliseconds() const override { return static_cast<std::uint64_t>(world_.now() / 1ms); }
  std::uint64_t random() override { return world_.random.next(); }
  void send(const PeerAddress&, wire::MessageUnion) override {}
  void after(Duration delay, std::function<void()> task) override { process_.schedule(delay, std::move(task)); }

 private:
  World& world_;
  SimProcess& process_;
};

/// Calls of one node to back ends, with every way in which they can fail.
class SimBackends : public routing::BackendClient {
 public:
  SimBackends(SimFleet& fleet, unsigned node);
  routing::CallId start(const BackendId& engine, const routing::EngineCall& call,
                        routing::EngineEvents events) override;
  routing::CallId start(const BackendId& service, const routing::ServiceCall& call,
                        routing::ServiceEvents events) override;
  void cancel(routing::CallId call) override;
  void pause(routing::CallId) override {}
  void resume(routing::CallId) override {}
  void fetch_load(const BackendId& backend, routing::ReportDone done) override;
  void check_reachable(const BackendId& backend, routing::ReachabilityDone done) override;

 private:
  struct EngineStream;
  void begin_stream(const std::shared_ptr<EngineStream>& stream);
  void break_stream(const std::shared_ptr<EngineStream>& stream);
  bool call_may_fail(const EngineStream& stream) const;
  /// The engine fails the run, as with a 500 or a last event that says so.
  void fail_run(const std::shared_ptr<EngineStream>& stream);
  void watch_stream(const std::shared_ptr<EngineStream>& stream);
  bool node_gone() const;
  /// Runs @p event at this node, a network delay from now.
  void at_node(std::function<void()> event);

  SimFleet& fleet_;
  const unsigned node_;
  const std::uint64_t life_;
  routing::CallId next_ = 0;
  std::map<routing::CallId, std::shared_ptr<EngineStream>> streams_;
};

/// Streams of one node that are passed on. An engine that is sent a fatal request ends soon after it has begun.
class SimUpstream : public forwarding::Upstream {
 public:
  SimUpstream(SimFleet& fleet, unsigned node);
  routing::CallId start(forwarding::UpstreamCall call, forwarding::UpstreamEvents events) override;
  void cancel(routing::CallId call) override;
  void pause(routing::CallId) override {}
  void resume(routing::CallId) override {}
  /// @return what the caller of any stream gets.
  static std::string whole_stream();

 private:
  struct Call {
    forwarding::UpstreamCall call;
    forwarding::UpstreamEvents events;
    unsigned engine = 0;
    std::uint64_t engine_life = 0;
    Timestamp begun{};
    std::size_t ends_known = 0;  ///< Of this request, to the node as it sent.
    bool in_touch = true;
    std::uint64_t next_event = 1;
    std::optional<answer_plan> plan;  ///< Where answers are broken off.
    std::string version;              ///< Of the engine that runs it; empty where engines state none.
    std::size_t sent_pieces = 0;      ///< Of the plan.
    std::size_t sent_bytes = 0;
    bool cancelled = false;
    Timestamp last_delivery{};
  };
  using CallPointer = std::shared_ptr<Call>;

  static std::string event_text(std::uint64_t number, const std::string& version);
  void arrive(const CallPointer& call);
  void step(const CallPointer& call);
  void begin_planned(const CallPointer& call);
  void step_planned(const CallPointer& call);
  /// Sends the next bytes of the answer, in one or two parts.
  void send_bytes(const CallPointer& call, std::string bytes);
  void break_planned(const CallPointer& call, answer_break how);
  void at_node(const CallPointer& call, std::function<void()> event);

  SimFleet& fleet_;
  const unsigned node_;
  const std::uint64_t life_;
  routing::CallId next_ = 0;
  std::map<routing::CallId, CallPointer> calls_;
};

/// One node's connection to the platform.
class SimPlatformClient : public object_store::PlatformClient {
 public:
  SimPlatformClient(SimFleet& fleet, unsigned node) : fleet_(fleet), node_(node) {}
  void watch_objects(std::uint64_t since, Duration wait, object_store::ChangesDone done) override;
  void watch_machines(std::uint64_t since, Duration wait, object_store::ChangesDone done) override;
  bool has_retirements() const override { return true; }
  bool states_software_versions() const override;
  void watch_retirements(std::uint64_t since, Duration wait, object_store::ChangesDone done) override;
  void report_retirement(const NodeId& node, object_store::RetirementState state,
                         object_store::ReportDone done) override;
  void get(const config::EntryKey& key, object_store::GetDone done) override;
  void put(const object_store::PutRequest& request, object_store::PutDone done) override;

 private:
  void watch(emulator::WatchedTable& table, std::uint64_t since, Duration wait, object_store::ChangesDone done);

  SimFleet& fleet_;
  const unsigned node_;
};

/// Writes the decisions of one node as lines with simulated time, for tracing.
class TracedDecisions : public DecisionLog {
 public:
  /// @param out outlives this.
  TracedDecisions(std::ostream& out, const World& world, unsigned node) : out_(out), world_(world), node_(node) {}
  void record(std::string_view event, std::initializer_list<DecisionField> fields) override;

 private:
  std::ostream& out_;
  const World& world_;
  const unsigned node_;
};

/// Everything of one node that dies with its process.
struct NodeLife {
  std::unique_ptr<SimEnvironment> environment;
  std::unique_ptr<SimBackends> backends;
  std::unique_ptr<SimUpstream> upstream;
  std::unique_ptr<SimPlatformClient> platform;
  std::unique_ptr<DecisionLog> log;
  std::unique_ptr<node::NodeCore> core;
};

struct SimNode {
  explicit SimNode(World& world) : process(world), storage(world, process) {}
  SimProcess process;
  SimStorage storage;
  std::string disk_id;
  bool has_disk = false;
  bool removed = false;     ///< Its machine was taken away for good.
  bool retiring = false;    ///< Its disk is to be emptied.
  bool emptied = false;     ///< It has said that its disk holds nothing that is needed.
  std::string ran_with;     ///< Its disk at its last start.
  bool disk_whole = false;  ///< Seen as admitted and copied since the disk was new.
  std::string zone;
  Counters counters;
  NodeLife life;
  bool draining = false;
  Timestamp draining_since{};
  std::uint64_t quiet_checks = 0;
  std::set<std::uint64_t> open_requests;  ///< Callers waiting at this node.
  std::optional<Timestamp> suspended_at;  ///< While the machine is suspended.
  Duration suspended{};                   ///< In all; a steady clock is behind by it.
  Timestamp disturbed_at{};               ///< When it last started, woke or was cut off.
  Timestamp apart_at{};  ///< The same, where cuts from machines that reach nobody with a disk are left out.
  std::optional<std::vector<PeerAddress>> own_seeds;  ///< In its settings instead of the fleet's seeds.
  Duration clock_behind{};                            ///< Its time of day is late by so much.
  Duration next_clock_behind{};                       ///< The same from its next start on.
};

struct SimEngine {
  SimEngine(World& world, emulator::EngineProfile profile)
      : process(world), environment(world, process), model(environment, profile, {"model"}) {}
  SimProcess process;
  EngineEnvironment environment;
  emulator::EngineModel model;
  Timestamp leaving_since{};
  std::uint64_t starts = 1;                 ///< As its entry tells them.
  std::optional<Timestamp> unlisted_since;  ///< Its entry has gone without a word; when readers could see that.
  std::string version;                      ///< Of its software; empty: its entry states none.
  unsigned incarnation = 0;                 ///< Changes with its id, where it is replaced.
};

struct SimService {
  explicit SimService(World& world) : process(world) {}
  SimProcess process;
  bool leaving = false;
  Timestamp leaving_since{};
  std::uint64_t starts = 1;  ///< As its entry tells them.
};

/// Conditions that faults set and healing clears.
struct Conditions {
  std::set<std::pair<unsigned, unsigned>> cuts;          ///< Pairs of nodes that cannot reach each other.
  std::set<std::pair<unsigned, unsigned>> one_way_cuts;  ///< The first one's messages do not reach the second one.
  std::set<unsigned> platform_cuts;                      ///< Nodes that the platform's store does not answer.
  std::set<unsigned> datagrams_lost_to;                  ///< Nodes that word of membership does not reach.
  std::set<unsigned> streams_lost_to;                    ///< Nodes that all other messages do not reach.
  unsigned loss_percent = 1;
  unsigned duplicate_percent = 2;
  unsigned late_percent = 1;  ///< Messages that take up to seconds.
  bool platform_down = false;
  Duration platform_delay = 1ms;
  unsigned platform_lost_answers = 0;  ///< Percent of puts whose answer is lost after the effect.
  unsigned break_percent = 0;          ///< Percent of calls whose connection breaks.
  unsigned late_answer_percent = 0;    ///< Percent of broken calls whose answer comes all the same.
  bool services_slow = false;
  Timestamp platform_disturbed_at{};  ///< When the platform was last away or slow, or became well.
};

/// Owns all parts; the driver acts on them.
class SimFleet {
 public:
  /// @param decisions takes the decision lines of all nodes; null drops them. It outlives this.
  SimFleet(World& world, Oracle& oracle, Profile profile, node::Guards guards, std::ostream* decisions = nullptr);
  ~SimFleet();

  void start_node(unsigned number);
  /// Ends the process; what it had not flushed is forgotten.
  void crash_node(unsigned number);
  /// Ends the process; its disk keeps every write.
  void kill_node(unsigned number);
  /// The machine loses power: its disk keeps some of the writes that were not flushed.
  void cut_power(unsigned number);
  void lose_disk(unsigned number);
  /// Empties the disk of a node whose process has ended; it is another disk from now on.
  void empty_disk(unsigned number);
  /// Takes a machine with a disk away for good.
  /// @return the number of the one that replaces it, at another address, with an empty disk, not started yet.
  unsigned replace_machine(unsigned number);
  /// Adds the machine that is to replace another one with a disk, which runs on.
  /// @return its number; its disk is empty, and it is not started yet.
  unsigned add_successor(unsigned number);
  /// Takes a machine whose process has ended away for good, with its disk.
  void remove_machine(unsigned number);
  /// @return nodes with a disk that have not been taken away.
  std::vector<unsigned> disk_nodes() const;
  /// Suspends the machine: the process stands still, and so does a steady clock.
  void suspend_node(unsigned number);
  /// Wakes a node that is frozen or suspended.
  void wake_node(unsigned number);
  /// Gives all nodes, or @p node alone, the addresses of other nodes as seeds, from the next start on. Nobody lives at
  /// a number that no node has.
  void set_seeds(std::vector<unsigned> seeds) { seeds_ = std::move(seeds); }
  void set_seeds_of(unsigned number, const std::vector<unsigned>& seeds);
  /// An operator wants the disk of this node emptied.
  void retire_disk(unsigned number);
  /// Takes machines away that say that they are empty; each comes back with another disk.
  void replace_emptied();
  /// Takes a machine that says that it is empty away for good, and no setting names it any more.
  void take_away(unsigned number);
  /// The node says that its disk is empty.
  void note_emptied(unsigned number);
  /// @return the node and the disk that it has.
  ledger::ReplicaIdentity identity_of(unsigned number) const;
  /// Notes whether the node says that its disk holds all it should.
  void observe_disk(unsigned number);
  void drain_node(unsigned number);
  void crash_engine(unsigned number);
  /// A request with @p body that a node has sent reaches an engine.
  void note_sent(unsigned node, const std::string& body);
  /// @return how many ends @p node knows of the request, for the moment when it sends it.
  std::size_t ends_known(unsigned node, const routing::request_fingerprint& request) const;
  /// Ends the engine that @p send has reached soon when its body is that of a fatal request; it is back some seconds
  /// later.
  void end_engine_if_fatal(fatal_send send, const routing::request_fingerprint& request);
  /// @p engine crashes soon if the prompt of @p request, which @p node sent to it, has a fatal part.
  void crash_under_parts(const forwarding::ForwardedRequest& request, unsigned node, unsigned engine);
  /// @p engine crashes under the item with @p body, early or late, if crashes are left for it; it is back soon.
  void crash_under_item(const std::string& body, unsigned engine);
  /// A share of the engines crashes and is back after @p away.
  void crash_engines(unsigned percent, Duration away);
  /// @return whether some engine runs a generation with @p prompt or holds it in its queue.
  bool in_some_engine(const std::string& prompt) const;
  /// @return whether @p node has run and reached all others for as long as nodes need to tell each other news.
  bool in_touch(unsigned node) const;
  /// Notes the nodes that are frozen or cut off.
  void observe_disturbances();
  /// Takes the entry of an engine off the machine list; the engine serves on.
  void unlist_engine(unsigned number);
  /// @return whether the platform has been well for so long that time limits count.
  bool platform_sound() const;
  void set_engine_leaving(unsigned number, bool leaving);
  /// Ends an engine; another one with a new id and @p version, perhaps the same, starts in its place after @p away.
  /// @param announced whether it leaves as planned; otherwise it crashes, and its entry goes after some heartbeats.
  void replace_engine(unsigned number, std::string version, Duration away, bool announced);
  /// @return a version of engines, drawn by the shares of this run.
  std::string draw_version();
  /// @return the engines of @p version that can run requests now.
  std::size_t serving_engines(const std::string& version) const;
  std::string engine_id(unsigned number) const;
  void set_service_leaving(unsigned number, bool leaving);
  void heal();
  bool cut_between(unsigned one, unsigned other) const;
  /// @return whether messages from @p from do not reach @p to.
  bool cut_from_to(unsigned from, unsigned to) const;
  /// @return whether messages of that type are kept from the node.
  bool keeps_from(unsigned number, wire::Message type) const;
  /// @return whether the node is cut off from another one that is part of the fleet, or from the platform's store.
  bool is_cut_off(unsigned number) const;
  /// @return whether a machine with a disk is cut off from another one, the store, or one without a disk that reaches
  ///         some other machine with a disk: one that reaches none is itself away.
  bool is_apart(unsigned number) const;
  /// Has a node look for the fleet at addresses where nobody lives, from its next start on.
  void make_seeds_stale(unsigned number);
  /// @return whether the node's seeds are stale and its disk is new, so that nothing tells it of a peer.
  bool can_find_nobody(unsigned number) const;
  /// Gives a node the fleet's seeds, at once if it runs.
  void correct_seeds(unsigned number);
  bool platform_answers(unsigned node) const {
    return !conditions.platform_down && !conditions.platform_cuts.contains(node);
  }
  /// @return whether what passes between these two is what an earlier version knows.
  bool speak_earlier_version(unsigned one, unsigned other) const;
  /// Checks draining nodes and ends those that are done; called regularly.
  void check_drains();
  /// Compares configuration of all nodes with the store.
  void observe_configuration();

  static PeerAddress address_of(unsigned node) { return PeerAddress("10.0.0." + std::to_string(node) + ":7000"); }
  /// @param on_the_way besides the network's delay
  void deliver_message(unsigned from, const PeerAddress& to, const wire::Bytes& frame, Duration on_the_way = {});
  bool usable(unsigned node) const { return nodes[node]->process.up() && !nodes[node]->draining; }
  std::vector<unsigned> running_nodes() const;
  /// @return one of the nodes that take requests, if there are any.
  std::optional<unsigned> pick_running(std::uint32_t choice) const;
  node::NodeCore& core(unsigned node) { return *nodes[node]->life.core; }

  /// Asked of each message that reaches a node, which it may alter: whether the node gets it now. May be empty.
  std::function<bool(unsigned from, unsigned to, wire::Incoming&)> passes;

  World& world;
  Oracle& oracle;
  const Profile profile;
  const node::Guards guards;
  Conditions conditions;
  Duration copy_page_time{};  ///< What a page of a copy takes besides the network's delay.
  fatal_sends sent_fatal;
  bool fatal_requests_are_sound = false;  ///< For now no request ends engines; they do from when this is false.
  std::map<std::string, unsigned> item_crashes_left;  ///< By the body of an item.
  gone_disks gone;
  /// Requests with an answer that was broken off as no caller and no node can tell from a whole one.
  std::set<std::string> answers_that_look_whole;
  /// Sees each message that a node sends; may be empty.
  std::function<void(unsigned from, const wire::MessageUnion& message)> on_sent;
  std::vector<std::unique_ptr<SimNode>> nodes;
  std::vector<std::unique_ptr<SimEngine>> engines;
  std::vector<std::unique_ptr<SimService>> services;
  std::unique_ptr<SimProcess> platform_process;
  std::unique_ptr<EngineEnvironment> platform_environment;
  std::unique_ptr<emulator::WatchedTable> objects;
  std::unique_ptr<emulator::WatchedTable> machines;
  std::unique_ptr<emulator::WatchedTable> retirements;

 private:
  /// Writes what happens to an engine among the decision lines.
  void note_engine(unsigned number, std::string_view what, std::string_view by) const;
  std::unique_ptr<DecisionLog> make_log(unsigned number);
  void add_node(std::string zone, bool has_disk);
  void end_process(unsigned number);
  /// @return whether the machine has no disk and is cut off from all that have one.
  bool reaches_no_disk(unsigned number) const;
  std::vector<PeerAddress> seeds_of(unsigned number) const;
  void draw_seeds();
  /// Chooses the times that the deployed program has.
  static void use_deployed_times(node::NodeOptions& options);

  std::ostream* const decisions_;
  unsigned common_version_percent_ = 0;      ///< Share of the first version among engines.
  std::vector<unsigned> seeds_ = {0, 1, 2};  ///< Nodes at which those that start look for the fleet.
  /// Lives that have ended; events still queued for them refer to their objects.
  std::vector<NodeLife> ended_lives_;
  void count_suspension(SimNode& node) const;
  /// Looks until a node knows three ends of @p request.
  void await_knowledge(const std::string& body, const routing::request_fingerprint& request);
  void begin_engine_incarnation(unsigned number, const std::string& version);
  void publish_engine(unsigned number);
  void publish_service(unsigned number);
};

}  // namespace madderdeck::simulation
