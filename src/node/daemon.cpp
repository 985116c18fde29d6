#include "node/daemon.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <optional>
#include <random>

#include "config/settings_watch.hpp"
#include "gateway/api.hpp"
#include "gateway/problem.hpp"
#include "ledger/rocksdb_disk_opener.hpp"
#include "node/asio_environment.hpp"
#include "node/caller_connections.hpp"
#include "node/disk_watch.hpp"
#include "node/held_signals.hpp"
#include "node/node_core.hpp"
#include "node/node_threads.hpp"
#include "node/process_gauges.hpp"
#include "node/start_progress.hpp"

namespace madderdeck::node {
namespace {

namespace asio = boost::asio;
constexpr Duration kDrainCheckInterval = 50ms;
constexpr Duration kStartCheckInterval = 50ms;       ///< As below, until the node is ready for the first time.
constexpr Duration kReadinessCheckInterval = 250ms;  ///< Only for the log: readiness probes get the current state.
/// A node whose seeds were outdated at its start searches with the corrected ones soon.
constexpr Duration kSettingsCheckInterval = 500ms;
/// Added to the idle timeout, since callers start to measure a connection's idle time a little later than this node.
constexpr std::chrono::milliseconds kIdleMargin{500};
constexpr std::size_t kMaxSeedsLogged = 8;  ///< Maximum number of seeds in a log line.
constexpr std::size_t kMaxProbeBodyBytes = 4096;
/// A node whose disk is not open after this time joins without it.
constexpr Duration kDiskOpenTimeout = disk_watch::kSlowAfter;
/// With at least three replicas, a confirmed record is on two disks or more, whatever number of losses is configured;
/// more than seven replicas cost more than they save.
constexpr std::size_t kMinReplicas = 3;
constexpr std::size_t kMaxReplicas = 7;

/// Why the settings are read again.
enum class reload_cause { signal, file };

/// Owns all parts of a node. The order of the members sets the order of their destruction.
class Daemon : public prepared_node {
 public:
  Daemon(const config::Settings& settings, Integration& integration)
      : settings_(settings),
        settings_watch_(settings.source_path),
        integration_(integration),
        client_(context_, local_ip(settings.peer_address)),
        environment_(context_, counters_, client_, PeerAddress(settings.peer_address)),
        backends_(integration.make_backends(client_, counters_)),
        platform_(integration.make_platform(client_, settings)),
        signals_(context_, SIGTERM, SIGINT),
        reload_signal_(context_, kReloadSignal) {
    environment_.set_log(log_);
    environment_.set_budget(gauges_.budget());
  }

  Status prepare() {
    const Status taken = take_addresses();
    if (!succeeded(taken)) {
      return taken;
    }
    const bool has_disk = settings_.has_role("ledger");
    const Status threads = threads_.start(has_disk);
    if (!succeeded(threads)) {
      return threads;
    }
    NodeOptions options = describe_self();
    if (has_disk) {
      const Status opened = open_disk(options);
      if (!succeeded(opened)) {
        return opened;
      }
    }
    make_core(options);
    return accept_connections();
  }

  /// Ends the work of prepare() in the background, so that the node can be destroyed without run().
  void abandon() { threads_.disk_tasks.join(); }

  Status run(const start_effort& effort) override {
    counters_["node_start_retries_total"] = effort.retries;
    counters_["node_start_waited_ms"] = effort.waited.count();
    if (disk_open_pending_) {
      core_->on_disk_refused();
    }
    core_->start();
    gauges_.start();
    start_progress_.emplace(settings_.id, environment_.now(), counters_, log_);
    watch_readiness();
    log_event(LogLevel::info, "node_started",
              {{"node", settings_.id},
               {"zone", settings_.zone},
               {"api", settings_.api_address},
               {"seeds", text_of_seeds(settings_.seeds)}});
    signals_.async_wait([this](boost::system::error_code failure, int) {
      if (!failure) {
        begin_drain();
      }
    });
    await_reload();
    watch_settings();
    release_held_signals();
    context_.run();
    hold_all_signals();  // their handlers are removed before the process has ended
    threads_.disk_tasks.join();
    log_event(LogLevel::info, "node_stopped",
              {{"node", settings_.id}, {"error", succeeded(failure_) ? "" : error_of(failure_).detail}});
    stop_logging();
    return failure_;
  }

 private:
  static std::string text_of_seeds(const std::vector<std::string>& seeds) {
    std::string text;
    for (std::size_t number = 0; number < std::min(kMaxSeedsLogged, seeds.size()); ++number) {
      text += (text.empty() ? "" : ", ") + seeds[number];
    }
    return text;
  }
  static std::string local_ip(const std::string& address) { return address.substr(0, address.rfind(':')); }

  /// Takes all addresses. Connections are refused until accept_connections().
  Status take_addresses() {
    Status taken = environment_.bind();
    if (succeeded(taken)) {
      make_api_server();
      taken = api_server_->bind(settings_.api_address);
    }
    for (const std::string& address : {settings_.probe_address, settings_.metrics_address}) {
      if (succeeded(taken) && !address.empty()) {
        make_probe_server();
        taken = probe_servers_.back()->bind(address);
      }
    }
    return taken;
  }

  Status accept_connections() {
    Status accepting =
        environment_.start_receiving([this](const wire::Incoming& incoming) { core_->handle(incoming); });
    if (succeeded(accepting)) {
      accepting = api_server_->start_accepting();
    }
    for (const auto& server : probe_servers_) {
      if (succeeded(accepting)) {
        accepting = server->start_accepting();
      }
    }
    return accepting;
  }

  void make_core(const NodeOptions& options) {
    core_ = std::make_unique<NodeCore>(NodeDependencies{environment_, counters_, storage_.get(), backends_->client(),
                                                        *platform_, log_, backends_->upstream()},
                                       options);
    backends_->attach(*core_);
    core_->on_routes_change = [this](const forwarding::RouteTable& routes) {
      api_server_->set_limits(routes.limits.max_header_bytes, routes.limits.max_body_bytes,
                              std::chrono::milliseconds(routes.limits.header_timeout_ms),
                              std::chrono::milliseconds(routes.limits.idle_timeout_ms) + kIdleMargin);
    };
    core_->on_member_change = [this](const wire::MemberT& member) {
      // A starting node learns of all members at once; one line per member would be most of its log.
      if (!fleet_known_ && member.state == wire::MemberState::Alive) {
        return;
      }
      log_event(LogLevel::info, "member_changed",
                {{"member", member.id},
                 {"state", wire::EnumNameMemberState(member.state)},
                 {"incarnation", member.incarnation},
                 {"address", member.peer_address}});
    };
    api_context_ = std::make_unique<gateway::ApiContext>(
        gateway::ApiContext{*core_, settings_.operator_key, [this] { begin_drain(); }});
    api_ = integration_.make_api(*api_context_);
  }

  Status open_disk(NodeOptions& options) {
    ledger::Executors executors;
    executors.background = [this](std::function<void()> task) { threads_.disk_tasks.post(std::move(task)); };
    executors.owner = [this](std::function<void()> task) { asio::post(context_, std::move(task)); };
    executors.after = [this](Duration delay, std::function<void()> task) {
      environment_.after(delay, std::move(task));
    };
    disk_watch_ = std::make_unique<disk_watch>([this](const slow_disk_operation& slow) { note_disk_slow(slow); },
                                               threads_.disk_watch);
    executors.observer = disk_watch_.get();
    const std::uint64_t random = environment_.random();
    log_event(LogLevel::info, "disk_opening", {{"folder", settings_.data_folder}});
    disk_opening_since_ = environment_.now();
    disk_opener_ = std::make_unique<ledger::disk_opener>(settings_.data_folder, random, executors, disk_opener_hooks());
    disk_opener_->begin();
    auto outcome = disk_opener_->wait(kDiskOpenTimeout);
    disk_open_pending_ = !outcome || !succeeded(*outcome);
    if (!disk_open_pending_) {
      ledger::OpenedDisk& disk = value_of(*outcome);
      log_disk_opened(disk);
      options.self.disk_id = disk.identity;
      storage_ = std::move(disk.storage);
    } else if (!outcome || ledger::is_retryable(error_of(*outcome)) || ledger::is_damage(error_of(*outcome))) {
      storage_ = ledger::RocksDbStorage::make_unopened();
      await_disk(outcome);
    } else {
      note_disk_damaged(error_of(*outcome));
      return error_of(*outcome);
    }
    storage_->set_hooks(disk_trouble_hooks());
    return Ok{};
  }

  /// Reports the disk as refused when the node joins without it: the disk refuses writes, is damaged, or has not
  /// responded yet.
  void await_disk(const std::optional<Result<ledger::OpenedDisk>>& outcome) {
    if (outcome) {
      const Error& error = error_of(*outcome);
      if (ledger::is_damage(error)) {
        note_disk_damaged(error);
      }
      note_disk_refused(error);
      disk_opener_->try_again(error);
    } else {
      note_disk_refused(Error{ErrorKind::unavailable, "opening it is still under way"});
    }
  }

  std::int64_t disk_opening_ms() const { return (environment_.now() - disk_opening_since_) / 1ms; }

  void log_disk_opened(const ledger::OpenedDisk& disk) const {
    log_disk_identity(disk);
    log_event(LogLevel::info, "disk_opened",
              {{"disk", disk.identity}, {"took_ms", disk_opening_ms()}, {"log_bytes", disk.log_bytes}});
  }

  void note_disk_damaged(const Error& error) {
    counters_["ledger_disk_damaged"] = ledger::is_damage(error) ? 1 : 0;
    log_event(LogLevel::error, error.kind == ErrorKind::ambiguous ? "disk_opening_broken_off" : "disk_damaged",
              {{"error", error.detail}, {"took_ms", disk_opening_ms()}});
  }

  /// Called on any thread, as the node's thread may be waiting for the disk.
  void note_disk_slow(const slow_disk_operation& slow) {
    log_event(LogLevel::warning, slow.has_ended ? "disk_slow_ended" : "disk_slow",
              {{"operation", ledger::disk_operation_name(slow.operation)},
               {"lasts_ms", slow.lasts.count()},
               {"callers_waiting", slow.callers_waiting}});
    asio::post(context_, [this, slow] {
      counters_["ledger_disk_slow_ms"] = slow.has_ended ? 0 : slow.lasts.count();
      counters_["ledger_disk_slow_total"] += slow.has_ended ? 1 : 0;
    });
  }

  static void log_disk_identity(const ledger::OpenedDisk& disk) {
    if (disk.reason != ledger::NewIdentityReason::none) {
      log_event(LogLevel::warning, "disk_identity_made",
                {{"disk", disk.identity},
                 {"reason", ledger::new_identity_reason_name(disk.reason)},
                 {"former", disk.former_identity},
                 {"former_records", disk.former_records}});
    }
    if (disk.identity_file_made) {
      log_event(LogLevel::warning, "disk_identity_file_made", {{"disk", disk.identity}});
    }
  }

  void note_disk_refused(const Error& error) {
    disk_refused_at_ = environment_.now();
    counters_["ledger_disk_refusals_total"]++;
    counters_["ledger_disk_refuses"] = 1;
    log_event(LogLevel::error, "disk_writes_refused", {{"error", error.detail}});
  }

  void note_disk_not_opened(const Error& error) {
    counters_["ledger_disk_reopen_failures_total"]++;
    log_event(LogLevel::error, "disk_not_opened",
              {{"error", error.detail}, {"refused_for_ms", (environment_.now() - disk_refused_at_) / 1ms}});
  }

  void note_disk_regained() {
    counters_["ledger_disk_refuses"] = 0;
    counters_["ledger_disk_damaged"] = 0;
    log_event(LogLevel::warning, "disk_writes_regained",
              {{"refused_for_ms", (environment_.now() - disk_refused_at_) / 1ms}});
  }

  ledger::DiskFailureHooks disk_trouble_hooks() {
    ledger::DiskFailureHooks hooks;
    hooks.refused = [this](const Error& error) {
      note_disk_refused(error);
      core_->on_disk_refused();
    };
    hooks.reopen_failed = [this](const Error& error) {
      // What the attempt left of the database holds the folder for as long as this process lives.
      error.kind == ErrorKind::ambiguous ? give_up_disk(error) : note_disk_not_opened(error);
    };
    hooks.regained = [this] {
      note_disk_regained();
      core_->on_disk_regained();
    };
    return hooks;
  }

  ledger::disk_opener_hooks disk_opener_hooks() {
    ledger::disk_opener_hooks hooks;
    hooks.refused = [this](const Error& error) { note_disk_not_opened(error); };
    hooks.opened = [this](ledger::OpenedDisk disk) {
      log_disk_opened(disk);
      storage_->take_over(std::move(disk.storage));
      note_disk_regained();
      core_->on_disk_opened(DiskId(disk.identity));
    };
    hooks.damaged = [this](const Error& error) { note_disk_damaged(error); };
    hooks.given_up = [this](const Error& error) { give_up_disk(error); };
    return hooks;
  }

  void give_up_disk(const Error& error) {
    note_disk_damaged(error);
    failure_ = error;
    context_.stop();
  }

  NodeOptions describe_self() {
    NodeOptions options;
    options.self.id = settings_.id;
    options.self.zone = settings_.zone;
    options.self.region = settings_.region;
    options.self.peer_address = settings_.peer_address;
    options.self.api_address = settings_.api_address;
    options.self.roles = settings_.role_bits();
    options.self.capacity = settings_.capacity();
    // The incarnation of a restarted process must be higher than the one that peers still know of its predecessor.
    options.self.incarnation = environment_.unix_milliseconds();
    options.load_poll = std::chrono::milliseconds(settings_.load_poll_ms);
    options.loads_pushed = settings_.loads_pushed != 0;
    options.guards.registry.need_fresh_reports = !options.loads_pushed;
    options.default_policy.subset_size = static_cast<std::uint32_t>(settings_.subset_size);
    options.default_policy.batch_headroom_slots = static_cast<std::uint32_t>(settings_.batch_headroom_slots);
    options.policies = value_of(settings_.policies());
    options.leave_notice = std::chrono::milliseconds(settings_.leave_notice_ms);
    options.rate_window = settings_.tenant_rate_window();
    options.key_trust.useful_for = std::chrono::milliseconds(settings_.tenant_keys_useful_ms);
    options.key_trust.fail_closed = settings_.tenant_keys_fail_closed != 0;
    if (options.key_trust.fail_closed) {
      // While a watch waits without a change, the age of the configuration is uncertain.
      options.controller.watch_wait = std::min(options.controller.watch_wait, options.key_trust.useful_for / 3);
    }
    options.membership.period = std::chrono::milliseconds(settings_.membership_period_ms);
    options.membership.ack_timeout = std::min<Duration>(options.membership.ack_timeout, options.membership.period / 2);
    options.controller.group_count = static_cast<std::size_t>(settings_.ledger_groups);
    options.controller.replace_after = std::chrono::milliseconds(settings_.ledger_replace_after_ms);
    const auto losses = static_cast<std::size_t>(settings_.ledger_tolerated_losses);
    options.controller.replicas = std::clamp(2 * losses + 1, kMinReplicas, kMaxReplicas);
    options.controller.group_check = std::chrono::milliseconds(settings_.ledger_check_ms);
    options.controller.readers = static_cast<std::size_t>(settings_.platform_readers);
    options.controller.all_read_up_to = static_cast<std::size_t>(settings_.platform_all_read_up_to);
    options.controller.feed_silence = std::chrono::milliseconds(settings_.platform_feed_silence_ms);
    if (settings_.platform_apply_within_ms > 0) {
      options.controller.keep_within(std::chrono::milliseconds(settings_.platform_apply_within_ms));
    }
    options.controller.store_retry = std::chrono::milliseconds(settings_.platform_retry_ms);
    for (const std::string& seed : settings_.seeds) {
      options.seeds.emplace_back(seed);
    }
    return options;
  }

  void make_api_server() {
    net::ServerOptions options;
    options.max_body_bytes = static_cast<std::size_t>(settings_.max_body_bytes);
    options.max_header_bytes = static_cast<std::size_t>(settings_.max_header_bytes);
    options.max_connections =
        static_cast<std::size_t>(caller_connections(settings_.max_connections, settings_.max_descriptors));
    options.header_timeout = std::chrono::milliseconds(settings_.sender_timeout_ms);
    options.body_timeout = std::chrono::milliseconds(settings_.sender_timeout_ms);
    options.streams_body = [this](const net::HttpRequest& request) { return api_->streams_body(request); };
    options.refusal = [this](const Error& error) { return api_->refusal(error); };
    options.answer_head = [this](const net::HttpRequest& request) { return api_->answer_head(request); };
    options.budget = gauges_.budget();
    options.holder_of = [this](const net::HttpRequest& request) { return api_->holder_of(request); };
    api_server_ = std::make_unique<net::HttpServer>(
        context_, counters_, [this](const std::shared_ptr<net::Exchange>& exchange) { api_->handle(exchange); },
        options);
  }

  /// Makes a server for readiness probes and metrics at a separate address.
  void make_probe_server() {
    net::ServerOptions options;
    options.max_body_bytes = kMaxProbeBodyBytes;
    options.refusal = [](const Error& error) { return gateway::problem(error); };
    probe_servers_.push_back(std::make_unique<net::HttpServer>(
        context_, counters_,
        [this](const std::shared_ptr<net::Exchange>& exchange) { gateway::handle_probe(*api_context_, exchange); },
        options));
  }

  void await_reload() {
    reload_signal_.async_wait([this](boost::system::error_code failure, int) {
      if (failure) {
        return;
      }
      reload_settings(reload_cause::signal);
      await_reload();
    });
  }

  /// The file may change without a signal.
  void watch_settings() {
    environment_.after(kSettingsCheckInterval, [this] { watch_settings(); });
    if (settings_watch_.has_changed()) {
      reload_settings(reload_cause::file);
    }
  }

  /// Applies the settings that can change at run time (the seeds); other settings take effect at the next start.
  void reload_settings(reload_cause cause) {
    const auto fresh = settings_.reread();
    counters_["settings_reloads_total"]++;
    bool seeds_changed = false;
    if (succeeded(fresh)) {
      std::vector<PeerAddress> seeds;
      for (const std::string& seed : value_of(fresh).seeds) {
        seeds.emplace_back(seed);
      }
      seeds_changed = seeds != core_->members.seeds();
      core_->members.set_seeds(std::move(seeds));
    } else {
      counters_["settings_reload_failures_total"]++;
    }
    if (cause == reload_cause::signal || seeds_changed || !succeeded(fresh)) {
      log_event(LogLevel::info, "settings_reloaded",
                {{"node", settings_.id},
                 {"cause", cause == reload_cause::signal ? "signal" : "file"},
                 {"outcome", succeeded(fresh) ? "taken" : error_of(fresh).detail},
                 {"seeds", succeeded(fresh) ? text_of_seeds(value_of(fresh).seeds) : ""}});
    }
  }

  void watch_readiness() {
    start_progress_->look(environment_.now(), core_->missing_for_start(), counters_["forward_answered_total"]);
    const bool starts = !was_ready_ && !start_progress_->is_over();
    environment_.after(starts ? kStartCheckInterval : kReadinessCheckInterval, [this] { watch_readiness(); });
    if (!fleet_known_ && core_->members.knows_fleet()) {
      fleet_known_ = true;
      log_event(LogLevel::info, "fleet_known", {{"node", settings_.id}, {"live", core_->members.live_count()}});
    }
    if (core_->ready() != was_ready_) {
      was_ready_ = !was_ready_;
      log_event(LogLevel::info, was_ready_ ? "node_ready" : "node_not_ready", {{"node", settings_.id}});
    }
  }

  /// Starts the drain: the node is no longer ready at once, accepts no new work after the grace period, and then
  /// waits until running calls have ended.
  void begin_drain() {
    if (api_context_->drain_started) {
      return;
    }
    api_context_->drain_started = true;
    log_event(LogLevel::info, "drain_started", {{"node", settings_.id}});
    core_->drain();
    api_server_->announce_closing();
    environment_.after(std::chrono::milliseconds(settings_.drain_grace_ms), [this] {
      api_server_->stop_accepting();
      drain_deadline_ = environment_.now() + std::chrono::milliseconds(settings_.drain_timeout_ms);
      core_->stop_taking_work(drain_deadline_);
      finish_drain(0);
    });
  }

  void finish_drain(unsigned quiet_checks) {
    constexpr unsigned kQuietChecksNeeded = 4;
    const bool late = environment_.now() > drain_deadline_;
    const bool done = core_->drained() && api_server_->connections() == 0;
    const unsigned quiet = done ? quiet_checks + 1 : 0;
    if (late || quiet >= kQuietChecksNeeded) {
      log_event(late ? LogLevel::warning : LogLevel::info, "drain_finished",
                {{"node", settings_.id},
                 {"cut_off", core_->live.active() + core_->services.active() +
                                 (core_->forwarder ? core_->forwarder->active() : 0)},
                 {"handover_pending", core_->hands_over_records()}});
      context_.stop();
      return;
    }
    environment_.after(kDrainCheckInterval, [this, quiet] { finish_drain(quiet); });
  }

  const config::Settings settings_;
  config::settings_watch settings_watch_;
  Integration& integration_;
  asio::io_context context_{1};
  Counters counters_;
  net::HttpClient client_;
  AsioEnvironment environment_;
  ProcessDecisionLog log_;
  std::optional<start_progress> start_progress_;
  process_gauges gauges_{environment_, counters_, log_, settings_};
  std::unique_ptr<BackendConnections> backends_;
  std::unique_ptr<object_store::PlatformClient> platform_;
  node_threads threads_;
  std::unique_ptr<disk_watch> disk_watch_;  ///< Null without a disk.
  std::unique_ptr<ledger::RocksDbStorage> storage_;
  std::unique_ptr<ledger::disk_opener> disk_opener_;
  bool disk_open_pending_ = false;  ///< The disk was not open yet when the node joined.
  std::unique_ptr<NodeCore> core_;
  std::unique_ptr<gateway::ApiContext> api_context_;
  std::unique_ptr<CallerInterface> api_;
  std::unique_ptr<net::HttpServer> api_server_;
  std::vector<std::unique_ptr<net::HttpServer>> probe_servers_;
  asio::signal_set signals_;
  asio::signal_set reload_signal_;
  Timestamp drain_deadline_{};
  Timestamp disk_refused_at_{};
  Timestamp disk_opening_since_{};
  Status failure_ = Ok{};  ///< Why the node stopped on its own; Ok after a planned stop.
  bool fleet_known_ = false;
  bool was_ready_ = false;
};

}  // namespace

Result<std::unique_ptr<prepared_node>> prepare_node(const config::Settings& settings, Integration& integration) {
  std::unique_ptr<Daemon> daemon;
  Status prepared = Ok{};
  try {
    daemon = std::make_unique<Daemon>(settings, integration);
    prepared = daemon->prepare();
  } catch (const std::exception& failure) {
    prepared = Error{ErrorKind::unavailable, std::string("node: ") + failure.what()};
  }
  if (succeeded(prepared)) {
    return daemon;
  }
  if (daemon != nullptr) {
    daemon->abandon();
  }
  return error_of(prepared);
}

}  // namespace madderdeck::node
