#include "simulation/driver.hpp"

#include <algorithm>
#include <array>
#include <ostream>

#include "simulation/callers.hpp"
#include "simulation/departure_series.hpp"
#include "simulation/epoch_watch.hpp"
#include "simulation/group_watch.hpp"
#include "simulation/isolation_series.hpp"
#include "simulation/stream_clients.hpp"

namespace madderdeck::simulation {
namespace {

constexpr Duration kFoundingTime = 6s;
constexpr Duration kSettleTime = 12s;
constexpr Duration kCompletionLimit = 150s;
constexpr Duration kDrainCheck = 50ms;
/// How long a live request may wait in an engine while batch holds a slot there.
constexpr Duration kBehindBatchLimit = 150ms;
constexpr unsigned kLedgerNodes = 3;
constexpr unsigned kMostItemCrashes = 50;
constexpr unsigned kSlotsKeptFree = 1;  ///< Of each engine, for live requests.
/// An item under which engines crashed starts again so soon after an engine has room.
constexpr Duration kRunsAgainWithin = 3s;
constexpr Duration kReadingTime = 200ms;
constexpr std::uint32_t kLongStream = 120;  ///< Tokens.
/// What a page of a copy may take: with some pages for each group all are copied well within the time to catch up.
constexpr std::array<Duration, 3> kCopyPageTimes = {0ms, 80ms, 200ms};
/// The same with the records of some dozens of jobs, and as little time as is left after a start of all at once.
constexpr std::array<Duration, 3> kShortCopyPageTimes = {0ms, 5ms, 20ms};
constexpr Duration kLateCopyPage = 8s;
constexpr std::uint32_t kTrafficItems = 5;  ///< Of each job that is sent while a series goes on.

/// Calls on a fleet what the actions say, and tells the oracle what callers saw.
class Driver {
 public:
  Driver(std::uint64_t seed, const Profile& profile, const node::Guards& guards, std::ostream* decisions)
      : decisions_(decisions),
        world_(seed),
        fleet_(world_, oracle_, profile, guards, decisions),
        profile_(profile),
        callers_(world_, fleet_, oracle_, profile),
        streams_(world_, fleet_, oracle_),
        prompts_(world_, fleet_, oracle_),
        watch_(world_, fleet_, oracle_),
        epochs_(world_, fleet_, oracle_) {
    if (profile_.departures) {
      fleet_.on_sent = [this](unsigned from, const wire::MessageUnion& message) { epochs_.sent(from, message); };
    }
  }

  RunResult run(std::uint64_t seed, const std::vector<Action>& actions) {
    if (profile_.loss_series) {
      const auto& page_times = profile_.successors_judged ? kShortCopyPageTimes : kCopyPageTimes;
      const Duration page_time = page_times.at(Random(seed).below(page_times.size()));
      fleet_.copy_page_time = fleet_.guards.copies_arrive_in_time ? page_time : kLateCopyPage;
    }
    check_regularly();
    declare_basics();
    world_.run_for(kFoundingTime);
    for (const Action& action : actions) {
      world_.trace(action_name(action.kind));
      if (decisions_ != nullptr) {
        *decisions_ << world_.now() / 1ms << " ms action " << action_name(action.kind) << " choice=" << action.choice
                    << "\n";
      }
      act(action);
      world_.run_for(std::chrono::milliseconds(action.pause_ms));
      if (ended_early()) {
        return outcome(seed, actions.size());
      }
    }
    settle();
    if (profile_.crashes_judged) {
      judge_crash_burst();
    }
    burst();
    complete_jobs();
    read_everything_again();
    callers_.check();
    return outcome(seed, actions.size());
  }

 private:
  // --- helpers ---
  /// @return whether what comes after would only repeat what was found: a group that stands still does so for good.
  bool ended_early() const { return profile_.loss_series && !oracle_.violations().empty(); }

  RunResult outcome(std::uint64_t seed, std::size_t steps) const {
    RunResult result;
    result.seed = seed;
    result.trace_hash = world_.trace_hash();
    result.violations = oracle_.violations();
    result.steps = steps;
    result.counts = oracle_.counts;
    result.fatal_requests = oracle_.fatal_requests();
    result.fatal_parts = oracle_.fatal_parts();
    result.sound_before = prompts_.before_crashes();
    result.sound_after = prompts_.after_telling_crash();
    result.most_item_ends = oracle_.most_item_ends();
    result.over_three = fleet_.sent_fatal.over_three();
    result.recovery = oracle_.recovery;
    return result;
  }

  void fault(ActionKind kind) { ++oracle_.counts.faults[action_name(kind)]; }

  void check_regularly() {
    world_.schedule(kDrainCheck, [this] {
      fleet_.check_drains();
      if (!profile_.departures) {
        fleet_.replace_emptied();
      }
      fleet_.observe_disturbances();
      for (const unsigned node : fleet_.disk_nodes()) {
        fleet_.observe_disk(node);
      }
      if (profile_.loss_series) {
        watch_.look();
      }
      fleet_.observe_configuration();
      check_regularly();
    });
  }

  void declare_basics() {
    const auto put = [this](const std::string& kind, const std::string& name, const std::string& body) {
      object_store::PutRequest request;
      request.key = {kind, name};
      request.body = body;
      emulator::compare_and_set(*fleet_.objects, request);
    };
    put("template", "live", R"({"pool":"model","max_tokens":1000,"timeout_ms":20000})");
    put("template", "bulk", R"({"pool":"model","max_tokens":1000})");
    put("template", "book", R"({"target":"service","pool":"service","repeatable":false,"timeout_ms":1500})");
    put("tenant", "tenant", R"({"api_key":"key"})");
    put("fleet_policy", "default", R"({"batch_headroom_slots":1,"replace_ledger_node_after_s":3600})");
  }

  /// The route of listed jobs, once there is one: schedules without them run as they did before there were any.
  void declare_listed_route() {
    if (listed_route_declared_) {
      return;
    }
    listed_route_declared_ = true;
    put_routes({});
  }

  /// Live routes that have the path of listed items as theirs, other limits, and often no engine that could run an
  /// item.
  void change_live_routes(std::uint32_t choice) {
    if (!listed_route_declared_) {
      return;
    }
    std::vector<forwarding::Route> live;
    for (const std::string& prefix :
         {std::string(kListedPath) + "1", std::string(kListedPath) + "2", std::string("/")}) {
      forwarding::Route route;
      route.name = "live " + prefix;
      route.host = kListedHost;
      route.path_prefix = prefix;
      route.kind = forwarding::RouteKind::stream;
      route.pools.push_back({choice % 3 == 0 ? "service" : "absent", 1});
      route.max_attempts = 1;
      if (choice / 4 % 2 == 0) {
        live.push_back(std::move(route));
      }
      choice /= 8;
    }
    put_routes(std::move(live));
  }

  /// Declares the route of listed jobs and those in @p others.
  void put_routes(std::vector<forwarding::Route> others) {
    forwarding::Route listed;
    listed.name = "bulk";
    listed.host = kListedHost;
    listed.path_prefix = kListedPath;
    listed.kind = forwarding::RouteKind::batch;
    listed.pools.push_back({"model", 1});
    listed.max_attempts = kListedAttempts;
    forwarding::RouteTable routes;
    routes.version = ++routes_version_;
    routes.routes = std::move(others);
    routes.routes.push_back(std::move(listed));
    object_store::PutRequest request;
    request.key = {forwarding::kRouteTableKind, "main"};
    request.expected_revision = routes_revision_;
    request.body = forwarding::format_route_table(routes);
    const auto revision = emulator::compare_and_set(*fleet_.objects, request);
    routes_revision_ = succeeded(revision) ? value_of(revision) : routes_revision_;
  }

  // --- actions ---
  void act(const Action& action) {
    switch (action.kind) {
      case ActionKind::live_request:
        if (const auto node = fleet_.pick_running(action.choice)) {
          callers_.send_live(*node, action.choice % 5 == 0 ? kLongStream : profile_.live_tokens);
        }
        break;
      case ActionKind::forwarded_request:
        if (const auto node = fleet_.pick_running(action.choice)) {
          const bool recurs = action.choice / 32 % 2 == 0;
          callers_.send_forwarded(*node, recurs ? Callers::recurring_body(action.choice / 64) : callers_.new_body());
        }
        break;
      case ActionKind::answered_request:
        if (const auto node = fleet_.pick_running(action.choice)) {
          callers_.send_answered(*node, static_cast<answered_kind>(action.choice / 64 % kAnsweredKinds));
        }
        break;
      case ActionKind::resumed_stream:
        if (const auto node = fleet_.pick_running(action.choice)) {
          streams_.send(*node);
        }
        break;
      case ActionKind::prompt_request:
        if (const auto node = fleet_.pick_running(action.choice)) {
          prompts_.send_sound(*node, action.choice / 32);
        }
        break;
      case ActionKind::change_routes:
        change_live_routes(action.choice);
        break;
      case ActionKind::fatal_part:
        send_fatal_part(action.choice);
        break;
      case ActionKind::fatal_request:
        if (const auto node = fleet_.pick_running(action.choice)) {
          callers_.send_forwarded(*node, std::string(kFatalRequest) + (action.choice / 64 % 2 == 0 ? " a" : " b"));
        }
        break;
      case ActionKind::fatal_live:
        if (const auto node = fleet_.pick_running(action.choice)) {
          callers_.send_fatal_live(*node);
        }
        break;
      case ActionKind::unlucky_job:
        callers_.submit(action.choice, callers_.new_job(profile_.job_items, 1 + action.choice / 8 % kMostItemCrashes));
        break;
      case ActionKind::booking:
        callers_.send_booking(action.choice, callers_.new_booking());
        break;
      case ActionKind::resend_booking:
        callers_.resend_booking(action.choice);
        break;
      case ActionKind::submit_job:
        callers_.submit(action.choice, callers_.new_job(profile_.job_items));
        break;
      case ActionKind::resend_job:
        callers_.resubmit(action.choice);
        break;
      case ActionKind::cancel_job:
        callers_.cancel(action.choice);
        break;
      case ActionKind::read_results:
        callers_.read_some_results(action.choice);
        break;
      case ActionKind::submit_listed_job:
        declare_listed_route();
        callers_.submit(action.choice, callers_.new_listed_job(profile_.job_items));
        break;
      case ActionKind::read_positions:
        callers_.read_positions(action.choice);
        break;
      case ActionKind::declare:
        callers_.declare(action.choice, action.choice / 16);
        break;
      case ActionKind::race_declarations:
        callers_.declare(action.choice, action.choice / 16);
        callers_.declare(action.choice + 1, action.choice / 16);
        break;
      default:
        act_of_fate(action);
        break;
    }
  }

  /// One of two parts, one of them the first of its prompts; a third of the clients come back up to four times.
  void send_fatal_part(std::uint32_t choice) {
    constexpr unsigned kMostRepeats = 4;
    const auto node = fleet_.pick_running(choice);
    if (!node) {
      return;
    }
    const std::uint32_t part = choice / 32 % 8 == 0 ? 1 : 0;
    const fatal_place place = part == 1 ? fatal_place::first : fatal_place::middle;
    prompts_.send_fatal(*node, part, place, choice / 256 % 3 == 0 ? kMostRepeats : 0);
  }

  void act_of_fate(const Action& action) {
    const auto node = fleet_.pick_running(action.choice);
    fault(action.kind);
    switch (action.kind) {
      case ActionKind::crash_node:
        if (node) {
          fleet_.crash_node(*node);
        }
        break;
      case ActionKind::restart_nodes:
        for (unsigned number = 0; number < fleet_.nodes.size(); ++number) {
          fleet_.start_node(number);
        }
        break;
      case ActionKind::freeze_node:
        if (node) {
          fleet_.nodes[*node]->process.freeze();
        }
        break;
      case ActionKind::thaw_nodes:
        for (unsigned number = 0; number < fleet_.nodes.size(); ++number) {
          fleet_.wake_node(number);
        }
        break;
      case ActionKind::lose_disk:
        lose_disk(action.choice % kLedgerNodes);
        if (action.choice / 8 % 3 == 0) {
          lose_second_disk((action.choice + 1) % kLedgerNodes);
        }
        break;
      case ActionKind::cut_link:
        cut(action.choice % profile_.nodes, action.choice / 16 % profile_.nodes);
        break;
      case ActionKind::isolate_node:
        for (unsigned other = 0; other < profile_.nodes; ++other) {
          cut(action.choice % profile_.nodes, other);
        }
        break;
      case ActionKind::mend_links:
        fleet_.conditions.cuts.clear();
        break;
      case ActionKind::drain_node:
        if (node && !fleet_.nodes[*node]->draining) {
          fleet_.drain_node(*node);
        }
        break;
      case ActionKind::drain_busy_node:
        if (node && !fleet_.nodes[*node]->draining) {
          callers_.send_live(*node, kLongStream);
          callers_.send_booking_at(*node, callers_.new_booking());
          fleet_.drain_node(*node);
        }
        break;
      case ActionKind::suspend_node:
        if (node) {
          fleet_.suspend_node(*node);
        }
        break;
      case ActionKind::cancel_during_freeze:
      case ActionKind::cancel_during_suspension:
        cancel_during_freeze(action.choice, action.kind == ActionKind::cancel_during_suspension);
        break;
      case ActionKind::leave_during_freeze:
      case ActionKind::leave_during_suspension:
        leave_during_freeze(action.choice, action.kind == ActionKind::leave_during_suspension);
        break;
      case ActionKind::restart_everything:
        end_all_but(std::nullopt);
        start_all();
        break;
      case ActionKind::lose_disk_and_power:
        // The node without a disk is back at once and meets the others as they start.
        if (lose_disk(action.choice % kLedgerNodes)) {
          end_all_but(action.choice % kLedgerNodes);
          start_all();
        }
        break;
      case ActionKind::retire_disk:
        retire_disk(action.choice % kLedgerNodes);
        break;
      case ActionKind::losses_in_a_row:
        losses_in_a_row(action.choice);
        break;
      case ActionKind::loss_series:
        play_loss_series(action.choice);
        break;
      case ActionKind::isolation_series:
        play_isolation_series(action.choice);
        break;
      case ActionKind::departure_series:
        play_departure_series(action.choice);
        break;
      case ActionKind::lose_disk_beside_stale_replica:
        lose_disk_beside_stale_replica(action.choice);
        break;
      default:
        act_on_outside(action);
        break;
    }
  }

  /// Records are acknowledged by two replicas while the third is down; one of the two loses
  /// its disk, and then only the stale one and the new one are up.
  void lose_disk_beside_stale_replica(std::uint32_t choice) {
    const unsigned stale = choice % kLedgerNodes;
    const unsigned lost = (choice + 1) % kLedgerNodes;
    const unsigned holder = (choice + 2) % kLedgerNodes;
    for (unsigned node = 0; node < kLedgerNodes; ++node) {
      fleet_.observe_disk(node);
      const bool well = fleet_.usable(node) && !fleet_.nodes[node]->process.frozen() && fleet_.nodes[node]->disk_whole;
      if (!well) {
        return;
      }
    }
    fleet_.conditions = Conditions();
    fleet_.crash_node(stale);
    world_.run_for(100ms);
    const std::size_t booking = callers_.new_booking();
    callers_.send_booking_at(holder, booking);
    callers_.submit(holder, callers_.new_job(profile_.job_items));
    world_.run_for(1s);
    ++oracle_.counts.faults["disk_lost"];
    fleet_.lose_disk(lost);
    world_.run_for(9s);
    fleet_.crash_node(holder);
    fleet_.start_node(stale);
    world_.run_for(3s);
    callers_.send_booking_at(stale, booking);
    world_.run_for(2s);
    fleet_.start_node(holder);
    world_.run_for(5s);
  }

  std::optional<unsigned> manager_of(const std::string& job) const {
    for (const unsigned node : fleet_.running_nodes()) {
      for (const batch::JobProgress& progress : fleet_.nodes[node]->life.core->jobs->progress()) {
        if (progress.job.str() == job) {
          return node;
        }
      }
    }
    return std::nullopt;
  }

  /// All nodes lose power at the same moment, but for @p spared.
  void end_all_but(std::optional<unsigned> spared) {
    for (unsigned number = 0; number < fleet_.nodes.size(); ++number) {
      if (number != spared && fleet_.nodes[number]->process.up()) {
        fleet_.wake_node(number);
        fleet_.crash_node(number);
      }
    }
  }

  void start_all() {
    world_.run_for(500ms);
    for (unsigned number = 0; number < fleet_.nodes.size(); ++number) {
      fleet_.start_node(number);
    }
  }

  void stop_node(unsigned node, bool suspended) {
    if (suspended) {
      fleet_.suspend_node(node);
    } else {
      fleet_.nodes[node]->process.freeze();
    }
  }

  void cancel_during_freeze(std::uint32_t choice, bool suspended) {
    const auto running = fleet_.running_nodes();
    if (running.size() < 2) {
      return;
    }
    const std::size_t job = callers_.new_job(profile_.job_items * 3);
    callers_.submit(choice, job);
    world_.run_for(std::chrono::milliseconds(200 + choice % 400));
    // Mostly the job's own manager, which does not hear of the cancel.
    const unsigned manager = manager_of(callers_.job_name(job)).value_or(running[choice % running.size()]);
    const unsigned victim = choice / 8 % 4 == 0 ? running[choice % running.size()] : manager;
    const unsigned canceller = running[0] == victim ? running[1] : running[0];
    // Live requests make batch yield, so that the victim holds queued items.
    for (unsigned request = 0; request < profile_.engines * profile_.engine_slots; ++request) {
      callers_.send_live(running[(choice + request) % running.size()], profile_.live_tokens);
    }
    world_.run_for(15ms);
    stop_node(victim, suspended);
    cut(victim, canceller);
    callers_.cancel_job_at(canceller, job);
    world_.run_for(5s);
    fleet_.wake_node(victim);
    world_.run_for(200ms);
    fleet_.conditions.cuts.erase({std::min(victim, canceller), std::max(victim, canceller)});
  }

  void leave_during_freeze(std::uint32_t choice, bool suspended) {
    const auto node = fleet_.pick_running(choice);
    if (!node) {
      return;
    }
    SimProcess& process = fleet_.nodes[*node]->process;
    const std::uint64_t life = process.life();
    stop_node(*node, suspended);
    fleet_.set_engine_leaving(choice / 8 % profile_.engines, true);
    world_.run_for(7s);
    constexpr unsigned kRequests = 6;
    for (unsigned request = 0; request < kRequests; ++request) {
      process.deliver(life, [this, node = *node] { callers_.send_live(node, profile_.live_tokens); });
    }
    fleet_.wake_node(*node);
    world_.run_for(100ms);
  }

  void act_on_outside(const Action& action) {
    Conditions& conditions = fleet_.conditions;
    switch (action.kind) {
      case ActionKind::crash_engine:
        fleet_.crash_engine(action.choice % profile_.engines);
        break;
      case ActionKind::restart_engines:
        for (const auto& engine : fleet_.engines) {
          engine->process.start();
        }
        break;
      case ActionKind::replace_engine:
        fleet_.replace_engine(action.choice % profile_.engines, fleet_.draw_version(),
                              std::chrono::milliseconds(action.choice / 64 % 8 * 300), action.choice / 16 % 2 == 0);
        break;
      case ActionKind::release_engines:
        release_engines(action.choice);
        break;
      case ActionKind::crash_burst:
        begin_crash_burst(action.choice);
        break;
      case ActionKind::engine_leaves:
        fleet_.set_engine_leaving(action.choice % profile_.engines, true);
        break;
      case ActionKind::service_leaves:
        fleet_.set_service_leaving(action.choice % profile_.services, true);
        break;
      case ActionKind::back_ends_return:
        for (unsigned number = 0; number < profile_.engines; ++number) {
          if (fleet_.engines[number]->model.leaving() || fleet_.engines[number]->unlisted_since) {
            fleet_.set_engine_leaving(number, false);
          }
        }
        for (unsigned number = 0; number < profile_.services; ++number) {
          if (fleet_.services[number]->leaving) {
            fleet_.set_service_leaving(number, false);
          }
        }
        break;
      case ActionKind::engines_vanish:
        // All, or all but one.
        for (unsigned number = action.choice % 2; number < profile_.engines; ++number) {
          if (!fleet_.engines[number]->unlisted_since) {
            fleet_.unlist_engine(number);
          }
        }
        break;
      case ActionKind::platform_down:
        conditions.platform_down = true;
        break;
      case ActionKind::platform_loses_answers:
        conditions.platform_lost_answers = 50;
        break;
      case ActionKind::platform_slow:
        conditions.platform_delay = 700ms;
        break;
      case ActionKind::platform_well:
        conditions.platform_disturbed_at = world_.now();
        conditions.platform_down = false;
        conditions.platform_lost_answers = 0;
        conditions.platform_delay = 1ms;
        break;
      case ActionKind::connections_break:
        conditions.break_percent = 30;
        conditions.late_answer_percent = 60;
        conditions.loss_percent = 5;
        break;
      case ActionKind::connections_well:
        conditions.break_percent = 0;
        conditions.late_answer_percent = 0;
        conditions.loss_percent = profile_.loss_percent;
        conditions.services_slow = false;
        break;
      case ActionKind::services_slow:
        conditions.services_slow = true;
        break;
      default:
        break;
    }
  }

  /// All engines are replaced by ones of one version, at the same moment or one after the other.
  void release_engines(std::uint32_t choice) {
    const std::string version = fleet_.draw_version();
    const Duration gap = std::chrono::milliseconds(choice / 16 % 4 * 400);
    const bool announced = choice / 64 % 2 == 0;
    for (unsigned number = 0; number < profile_.engines; ++number) {
      world_.schedule(number * gap, [this, number, version, announced] {
        fleet_.replace_engine(number, version, Duration::zero(), announced);
      });
    }
  }

  /// 10 to 50 of 100 engines crash 3 to 30 times, with 0.2 to 2 s between, each for 0.2 to 5 s.
  /// @return when the last one is back.
  Timestamp begin_crash_burst(std::uint32_t choice) {
    constexpr unsigned kLeastPercent = 10;
    constexpr unsigned kPercentSpread = 41;
    constexpr unsigned kLeastTimes = 3;
    constexpr unsigned kTimesSpread = 28;
    Random random(choice);
    const auto percent = static_cast<unsigned>(kLeastPercent + random.below(kPercentSpread));
    const auto times = static_cast<unsigned>(kLeastTimes + random.below(kTimesSpread));
    const Duration gap = std::chrono::milliseconds(200 + random.below(1'800));
    const Duration away = std::chrono::milliseconds(200 + random.below(random.chance(50) ? 800 : 4'800));
    for (unsigned number = 0; number < times; ++number) {
      world_.schedule(number * gap, [this, percent, away, era = burst_era_] {
        if (era == burst_era_) {
          fleet_.crash_engines(percent, away);
        }
      });
    }
    return world_.now() + (times - 1) * gap + away;
  }

  /// A burst of crashes under long items while nothing else is disturbed; soon after it all of them have to run.
  void judge_crash_burst() {
    const std::size_t first = callers_.jobs();
    const std::uint32_t room = profile_.engines * (profile_.engine_slots - kSlotsKeptFree);
    declare_listed_route();
    callers_.submit(0, callers_.new_job(room / 3));
    callers_.submit(1, callers_.new_listed_job(room / 3));
    world_.run_for(1s);
    const Timestamp back_at = begin_crash_burst(static_cast<std::uint32_t>(world_.random.next()));
    world_.run_for(back_at - world_.now() + kRunsAgainWithin);
    const std::vector<Callers::ItemKey> outside = callers_.items_outside_engines(first);
    const unsigned reader = fleet_.running_nodes().front();
    callers_.read_all_results(reader);
    callers_.read_all_positions(reader);
    world_.run_for(kReadingTime);
    callers_.judge_interrupted_items(outside);
  }

  void cut(unsigned one, unsigned other) {
    if (one != other) {
      fleet_.conditions.cuts.insert({std::min(one, other), std::max(one, other)});
    }
  }

  /// A disk may go when the loss before it has been repaired; see docs/design/ledger.md.
  bool lose_disk(unsigned number) {
    for (unsigned node = 0; node < kLedgerNodes; ++node) {
      fleet_.observe_disk(node);
      if (!fleet_.nodes[node]->disk_whole) {
        return false;
      }
    }
    ++oracle_.counts.faults["disk_lost"];
    fleet_.lose_disk(number);
    return true;
  }

  bool any_retiring() const {
    return std::any_of(fleet_.nodes.begin(), fleet_.nodes.end(), [](const auto& node) { return node->retiring; });
  }

  /// One at a time, and only of a group that is whole.
  void retire_disk(unsigned number) {
    for (unsigned node = 0; node < kLedgerNodes; ++node) {
      fleet_.observe_disk(node);
      if (!fleet_.nodes[node]->disk_whole || any_retiring()) {
        return;
      }
    }
    fleet_.retire_disk(number);
  }

  /// One disk falls silent or is cut off, another one is lost beside it, then all lose power or a third one falls
  /// silent, too; within some seconds all are back.
  void losses_in_a_row(std::uint32_t choice) {
    const unsigned silent = choice % kLedgerNodes;
    const unsigned lost = (silent + 1 + choice / 4 % 2) % kLedgerNodes;
    const unsigned third = kLedgerNodes - silent - lost;
    if (choice / 8 % 2 == 0) {
      fleet_.nodes[silent]->process.freeze();
    } else {
      for (unsigned other = 0; other < profile_.nodes; ++other) {
        cut(silent, other);
      }
    }
    world_.run_for(std::chrono::milliseconds(choice / 16 % 8 * 500));
    const bool was_lost = lose_disk(lost);
    world_.run_for(std::chrono::milliseconds(choice / 128 % 8 * 150));
    if (choice / 1024 % 3 == 0) {
      end_all_but(was_lost && choice / 4096 % 2 == 0 ? std::optional(lost) : std::nullopt);
      start_all();
    } else if (choice / 1024 % 3 == 1) {
      fleet_.nodes[third]->process.freeze();
      world_.run_for(2s);
      fleet_.wake_node(third);
    }
    world_.run_for(std::chrono::milliseconds(choice / 8192 * 500));
    fleet_.wake_node(silent);
    for (unsigned other = 0; other < profile_.nodes; ++other) {
      fleet_.conditions.cuts.erase({std::min(silent, other), std::max(silent, other)});
    }
  }

  void play_loss_series(std::uint32_t choice) {
    const auto note = [this](const std::string& line) { note_series(line); };
    LossSeries(world_, fleet_, oracle_, watch_, choice ^ world_.random.next(), note).play();
  }

  void play_isolation_series(std::uint32_t choice) {
    const auto note = [this](const std::string& line) { note_series(line); };
    const auto traffic = [this] {
      const auto number = static_cast<std::uint32_t>(world_.random.below(1 << 16));
      declare_listed_route();
      callers_.submit(number, callers_.new_listed_job(kTrafficItems));
      callers_.read_positions(number);
    };
    LossSeries parts(world_, fleet_, oracle_, watch_, choice ^ world_.random.next(), note);
    IsolationSeries(world_, fleet_, watch_, parts, traffic).play();
  }

  void play_departure_series(std::uint32_t choice) {
    const auto note = [this](const std::string& line) { note_series(line); };
    LossSeries parts(world_, fleet_, oracle_, watch_, choice ^ world_.random.next(), note);
    departure_series(world_, fleet_, watch_, parts).play();
  }

  void note_series(const std::string& line) {
    world_.trace(line);
    if (decisions_ != nullptr) {
      *decisions_ << world_.now() / 1ms << " ms series " << line << "\n";
    }
  }

  /// The next disk goes as soon as the fleet says that the loss before it is repaired.
  void lose_second_disk(unsigned number) {
    constexpr unsigned kLooks = 8000;
    for (unsigned look = 0; look < kLooks; ++look) {
      if (lose_disk(number)) {
        return;
      }
      world_.run_for(1ms);
    }
  }

  // --- the end ---
  void settle() {
    ++burst_era_;
    fleet_.heal();
    world_.run_for(kSettleTime);
    const std::uint64_t settled_revision = fleet_.objects->revision();
    for (unsigned number = 0; number < fleet_.nodes.size(); ++number) {
      fleet_.start_node(number);  // those that had been leaving
    }
    world_.run_for(kSettleTime);
    check_configuration(settled_revision);
  }

  /// @param due_revision of the store, reached long enough ago to be in force everywhere.
  void check_configuration(std::uint64_t due_revision) {
    for (const auto& [name, declaration] : oracle_.declarations()) {
      const object_store::StoredObject* stored = fleet_.objects->find({config::kTemplateKind, name});
      const bool lost = stored == nullptr || stored->entry.revision < declaration.revision ||
                        (stored->entry.revision == declaration.revision && stored->entry.body != declaration.body);
      if (lost) {
        oracle_.violated(Promise::configuration_never_reverts, "accepted change of " + name + " is not in the store",
                         world_.now());
      }
    }
    for (const unsigned node : fleet_.running_nodes()) {
      const std::uint64_t held = fleet_.core(node).objects.table().revision();
      if (held < due_revision) {
        oracle_.violated(Promise::configuration_never_reverts,
                         "node-" + std::to_string(node) + " is at revision " + std::to_string(held) + " of " +
                             std::to_string(due_revision),
                         world_.now());
      }
    }
  }

  /// A heap of batch work, then a burst of live requests, in a healthy fleet.
  void burst() {
    constexpr unsigned kHeap = 4;
    for (unsigned job = 0; job < kHeap; ++job) {
      callers_.submit(job, callers_.new_job(profile_.job_items * 2));
    }
    world_.run_for(1500ms);
    for (const auto& engine : fleet_.engines) {
      engine->model.reset_longest_wait();
    }
    for (unsigned request = 0; request < profile_.engines * profile_.engine_slots; ++request) {
      if (const auto node = fleet_.pick_running(request)) {
        callers_.send_live(*node, profile_.live_tokens);
      }
      world_.run_for(2ms);
    }
    world_.run_for(3s);
    for (unsigned number = 0; number < fleet_.engines.size(); ++number) {
      const Duration wait = fleet_.engines[number]->model.totals().longest_wait_behind_batch;
      if (wait > kBehindBatchLimit) {
        oracle_.violated(Promise::live_never_behind_batch,
                         "a live request waited " + std::to_string(wait / 1ms) + " ms behind batch in engine " +
                             std::to_string(number),
                         world_.now());
      }
    }
  }

  bool jobs_complete() const {
    for (const auto& [id, job] : oracle_.jobs()) {
      if (!job.cancel_sent && job.results.size() < job.items) {
        return false;
      }
    }
    return true;
  }

  void complete_jobs() {
    const Timestamp limit = world_.now() + kCompletionLimit;
    do {
      world_.run_for(2s);
      const unsigned reader = fleet_.running_nodes().front();
      callers_.read_all_results(reader);
      callers_.read_all_positions(reader);
      world_.run_for(200ms);
    } while (!jobs_complete() && world_.now() < limit);
    for (const auto& [id, job] : oracle_.jobs()) {
      if (!job.cancel_sent && job.results.size() < job.items) {
        oracle_.violated(
            Promise::item_exactly_once,
            id + " has " + std::to_string(job.results.size()) + " of " + std::to_string(job.items) + " results",
            world_.now());
      }
    }
  }

  /// Everything ends and starts once more; what was listed is read again at every node.
  void read_everything_again() {
    const std::uint64_t jobs = callers_.listed_jobs_to_complete();
    if (jobs == 0 || !jobs_complete() || !oracle_.violations().empty()) {
      return;
    }
    end_all_but(std::nullopt);
    start_all();
    world_.run_for(kSettleTime);
    const std::uint64_t before = callers_.whole_readings();
    const auto nodes = fleet_.running_nodes();
    for (const unsigned node : nodes) {
      callers_.read_all_positions(node);
    }
    world_.run_for(kSettleTime);
    const std::uint64_t whole = callers_.whole_readings() - before;
    if (whole < jobs * nodes.size()) {
      oracle_.violated(Promise::results_keep_positions,
                       std::to_string(whole) + " of " + std::to_string(jobs * nodes.size()) +
                           " readings came to their end after everything was started anew",
                       world_.now());
    }
  }

  std::ostream* const decisions_;
  Oracle oracle_;
  World world_;
  SimFleet fleet_;
  const Profile profile_;
  Callers callers_;
  stream_clients streams_;
  prompt_clients prompts_;
  GroupWatch watch_;
  epoch_watch epochs_;
  bool listed_route_declared_ = false;
  std::uint64_t routes_version_ = 0;
  std::uint64_t routes_revision_ = 0;  ///< Of their entry; 0: there is none yet.
  unsigned burst_era_ = 0;  ///< Raised when everything is healed; bursts of an earlier one crash nothing more.
};

}  // namespace

RunResult run_schedule(std::uint64_t seed, const std::vector<Action>& actions, const Profile& profile,
                       const node::Guards& guards, std::ostream* decisions) {
  return Driver(seed, profile, guards, decisions).run(seed, actions);
}

}  // namespace madderdeck::simulation
