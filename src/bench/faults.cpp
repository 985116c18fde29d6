/// @file Real processes under load while things break; the oracle reads what callers were told
/// and what the services' journals say.

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "bench/commands.hpp"
#include "bench/journal_check.hpp"

namespace madderdeck::bench {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStartLimit{40'000};
constexpr milliseconds kDrainLimit{40'000};
constexpr milliseconds kBatchLimit{180'000};
constexpr double kImpactWindow = 15.0;
constexpr char kFatalText[] = "the request that ends engines";
constexpr double kFatalEvery = 0.4;  ///< Seconds.
constexpr milliseconds kEngineRestart{1'500};
/// Three ends tell; three more sends are borne from nodes that were killed or stopped meanwhile.
constexpr unsigned kMostEngineEnds = 6;

/// One fault of the plan.
struct FaultEvent {
  double at_s = 0;
  std::string action;
  std::string target;
};

constexpr char kObjects[] = R"([
  {"kind":"template","name":"agent-reply","target":"model","pool":"booking-7b","system_prompt":"Agent. ","max_tokens":64,"timeout_ms":20000},
  {"kind":"template","name":"referral","target":"model","pool":"booking-7b","system_prompt":"Referral. ","max_tokens":64},
  {"kind":"template","name":"book-slot","target":"service","pool":"slots","repeatable":false,"timeout_ms":3000},
  {"kind":"tenant","name":"abdali","api_key":"key","requests_per_second":100000,"burst":100000},
  {"kind":"fleet_policy","name":"default","replace_ledger_node_after_s":3600}
])";

/// How faults follow one another.
struct PlanShape {
  double least_gap_s = 2;  ///< They are mended within 1.5 to 6 s.
  double most_gap_s = 4;
  std::vector<std::string> kinds = {"kill_node",     "freeze_node",  "kill_engine",    "break_engine", "break_service",
                                    "platform_down", "lose_answers", "terminate_node", "lose_disk",    "engine_leaves"};
};

/// Faults that overlap, with signals and changes of configuration among them.
PlanShape overlapping() {
  PlanShape shape;
  shape.least_gap_s = 0.2;
  shape.most_gap_s = 1.6;
  shape.kinds.insert(shape.kinds.end(), {"reload_node", "declare_object", "declare_object", "freeze_node"});
  return shape;
}

/// A plan drawn from the seed.
std::vector<FaultEvent> random_plan(std::uint64_t seed, double length_s, const PlanShape& shape) {
  std::mt19937_64 generator(seed);
  const std::vector<std::string>& kinds = shape.kinds;
  const auto spread_ms = static_cast<std::uint64_t>(1000 * (shape.most_gap_s - shape.least_gap_s));
  std::vector<FaultEvent> plan;
  for (double at = 3; at < length_s - 3;
       at += shape.least_gap_s + static_cast<double>(generator() % spread_ms) / 1000) {
    const std::string& kind = kinds[generator() % kinds.size()];
    const std::uint64_t number = generator();
    const bool on_node = kind.ends_with("_node") || kind == "lose_disk";
    const bool on_engine = kind.find("engine") != std::string::npos;
    const std::string target =
        on_node ? "node-" + std::to_string(1 + number % 3)
                : (on_engine ? "engine-" + std::to_string(1 + number % 4)
                             : (kind == "break_service" ? "service-" + std::to_string(1 + number % 3) : "platform"));
    plan.push_back({at, kind, target});
  }
  return plan;
}

/// Faults, load and checks of one run.
class FaultRun {
 public:
  /// @param fatal whether one request ends every engine that begins it, and comes again and again.
  FaultRun(const CommandOptions& options, std::vector<FaultEvent> plan, json::object settings, bool fatal)
      : options_(options),
        plan_(std::move(plan)),
        settings_(std::move(settings)),
        fatal_(fatal),
        fleet_(make_plan(options, fatal), http_) {}

  int run() {
    if (!start()) {
      return 2;
    }
    LoadTarget target{http_, fleet_.gateways(), "key"};
    LiveOptions live_options;
    live_options.rendered_system_prompt = "Agent. ";
    LiveLoad live(target, live_options, options_.seed);
    BookingLoad bookings(target, BookingOptions{}, options_.seed + 1);
    BatchOptions batch_options;
    batch_options.rendered_system_prompt = "Referral. ";
    batch_options.items = 300;
    BatchLoad batch(target, batch_options, options_.seed + 2);
    OpenLoop live_loop(
        target, options_.seed + 3, [](double) { return 40.0; }, [&](double due) { live.send(due); });
    OpenLoop booking_loop(
        target, options_.seed + 4, [](double) { return 20.0; }, [&](double due) { bookings.send(due); });
    live_loop.start();
    booking_loop.start();
    FatalLoad fatal(target, kFatalText);
    play(target, batch, fatal);
    live_loop.stop();
    booking_loop.stop();
    heal();
    http_.run_until([&] { return live.open() == 0 && bookings.open() == 0; }, kDrainLimit);
    http_.run_for(seconds(5));
    http_.run_until([&] { return bookings.open() == 0; }, kDrainLimit);
    const auto deadline = std::chrono::steady_clock::now() + kBatchLimit;
    while (!batch.all_complete() && std::chrono::steady_clock::now() < deadline) {
      batch.poll();
      http_.run_for(milliseconds(500));
    }
    return report(live, bookings, batch);
  }

 private:
  static FleetPlan make_plan(const CommandOptions& options, bool fatal) {
    FleetPlan plan;
    plan.subnet = options.subnet;
    plan.folder = options.work_folder;
    plan.binaries = options.binaries;
    plan.engines = fatal ? options.engines : 4;
    plan.engine_ends_on = fatal ? kFatalText : "";
    return plan;
  }

  bool start() {
    const std::string objects = options_.work_folder + "/objects.json";
    std::ofstream(objects) << kObjects;
    const bool started = succeeded(fleet_.start()) && fleet_.wait_ready(kStartLimit) &&
                         succeeded(fleet_.declare_file(objects)) && fleet_.wait_machines(7, kStartLimit);
    if (!started) {
      std::cerr << "the fleet did not become ready; logs are in " << options_.work_folder << std::endl;
    }
    return started;
  }

  void play(LoadTarget& target, BatchLoad& batch, FatalLoad& fatal) {
    constexpr double kJobEvery = 5;
    double next_job = target.now_s() + 1;
    std::size_t next_event = 0;
    const double end = target.now_s() + options_.seconds;
    const double origin = target.now_s();
    double next_fatal = origin + 2;
    while (target.now_s() < end) {
      if (fatal_ && target.now_s() >= next_fatal) {
        fatal.send();
        next_fatal += kFatalEvery;
      }
      engines_ended_ += fleet_.restart_ended_engines(kEngineRestart);
      if (target.now_s() >= next_job) {
        batch.submit();
        next_job += kJobEvery;
      }
      if (next_event < plan_.size() && target.now_s() - origin >= plan_[next_event].at_s) {
        FaultEvent event = plan_[next_event++];
        event.at_s = target.now_s();
        if (strike(event)) {
          struck_.push_back(event);
          if (!options_.json) {
            std::cout << event.at_s << " s: " << event.action << " " << event.target << std::endl;
          }
        }
      }
      batch.poll();
      http_.run_for(milliseconds(100));
    }
    http_.run_for(seconds(1));  // calls that are under way
    engines_ended_ += fleet_.restart_ended_engines(kEngineRestart);
    fatal_sent_ = fatal.sent();
    fatal_held_back_ = fatal.held_back();
  }

  void later(milliseconds delay, std::function<void()> task) { http_.after(delay, std::move(task)); }

  /// @return whether the fault could be caused now.
  bool strike(const FaultEvent& event) {
    const std::string target = event.target;
    if (event.action == "kill_node" || event.action == "kill_engine") {
      fleet_.kill(target);
      later(milliseconds(1500), [this, target] { fleet_.restart(target); });
    } else if (event.action == "freeze_node") {
      fleet_.freeze(target);
      later(milliseconds(4000), [this, target] { fleet_.thaw(target); });
    } else if (event.action == "terminate_node") {
      fleet_.terminate(target);
      later(milliseconds(6000), [this, target] { fleet_.restart(target); });
    } else if (event.action == "reload_node") {
      fleet_.reload(target);
    } else if (event.action == "declare_object") {
      const std::string name = "changing-" + std::to_string(declared_ % 3);
      const std::string tokens = std::to_string(1 + ++declared_);
      return succeeded(
          fleet_.declare("template", name, R"({"target":"model","pool":"booking-7b","max_tokens":)" + tokens + "}"));
    } else if (event.action == "lose_disk") {
      return lose_disk(target);
    } else if (event.action == "break_engine") {
      send_control(target, ++engine_breaks_ % 2 == 0 ? R"({"break_after_tokens":5,"unframed":true})"
                                                     : R"({"break_after_tokens":5})");
      later(milliseconds(2000),
            [this, target] { send_control(target, R"({"break_after_tokens":-1,"unframed":false})"); });
    } else if (event.action == "break_service") {
      send_control(target, R"({"break_after_run":true})");
      later(milliseconds(1500), [this, target] { send_control(target, R"({"break_after_run":false})"); });
    } else if (event.action == "engine_leaves") {
      send_control(target, R"({"leaving":true})");
      later(milliseconds(4000), [this, target] { send_control(target, R"({"leaving":false})"); });
    } else if (event.action == "platform_down") {
      send_control(target, R"({"down":true})");
      later(milliseconds(5000), [this, target] { send_control(target, R"({"down":false})"); });
    } else if (event.action == "lose_answers") {
      send_control(target, R"({"lose_answers":2})");
    } else {
      return false;
    }
    return true;
  }

  void send_control(const std::string& target, const std::string& body) {
    const char* path = target == "platform" ? "/control/faults" : "/control";
    http_.client.fetch(fleet_.part(target).address, {"POST", path, {}, body},
                       [](const std::variant<net::SimpleResponse, net::CallBreak>&) {});
  }

  /// Only when the fleet says that every disk holds all it should; the design survives one
  /// loss at a time.
  bool lose_disk(const std::string& target) {
    for (const std::string& node : fleet_.node_names()) {
      const auto response = http_.call(fleet_.part(node).address, "GET", "/admin/status", "", {}, milliseconds(500));
      boost::system::error_code failure;
      const json::value status = response ? json::parse(response->body, failure) : json::value();
      if (!status.is_object() || !status.at("ready").as_bool() || !status.at("replica_synchronized").as_bool()) {
        return false;
      }
    }
    fleet_.lose_disk(target);
    return true;
  }

  void heal() {
    fleet_.control("platform", R"({"down":false,"lose_answers":0})");
    for (const std::string& node : fleet_.node_names()) {
      fleet_.thaw(node);
      fleet_.part(node).process.poll_ended();
      if (!fleet_.part(node).process.running()) {
        fleet_.restart(node);
      }
    }
    http_.run_for(seconds(7));  // restarts that are still due
    for (const std::string& engine : fleet_.engine_names()) {
      fleet_.control(engine, R"({"break_after_tokens":-1,"unframed":false,"leaving":false})");
    }
    for (const std::string& service : fleet_.service_names()) {
      fleet_.control(service, R"({"break_after_run":false})");
    }
    fleet_.wait_ready(kStartLimit);
  }

  json::array describe_impact(const LiveLoad& live, const BookingLoad& bookings) const {
    json::array events;
    for (std::size_t number = 0; number < struck_.size(); ++number) {
      const FaultEvent& event = struck_[number];
      const double until =
          std::min(event.at_s + kImpactWindow, number + 1 < struck_.size() ? struck_[number + 1].at_s : 1e18);
      std::uint64_t failed = 0;
      double last = 0;
      for (const std::vector<double>* times : {&live.failed_at_s(), &bookings.failed_at_s()}) {
        for (const double at : *times) {
          if (at >= event.at_s && at < until) {
            ++failed;
            last = std::max(last, at - event.at_s);
          }
        }
      }
      events.push_back(json::object{{"at_s", event.at_s},
                                    {"action", event.action},
                                    {"target", event.target},
                                    {"failed_calls", failed},
                                    {"last_failure_after_s", last}});
    }
    return events;
  }

  int report(const LiveLoad& live, const BookingLoad& bookings, BatchLoad& batch) {
    const JournalCheck journal = check_journal(bookings.records(), fleet_.journal());
    ResultCheck results;
    for (const auto& job : batch.jobs()) {
      const ResultCheck one = job->id.empty() ? ResultCheck{} : batch.check(*job);
      results.results += one.results;
      results.duplicated += one.duplicated;
      results.missing += one.missing;
      results.wrong += one.wrong;
    }
    const LiveCounts& counts = live.counts();
    const json::object summary{{"seed", options_.seed},
                               {"faults", struck_.size()},
                               {"live_sent", counts.sent},
                               {"live_answered", counts.answered},
                               {"live_wrong", counts.wrong},
                               {"live_not_run", counts.not_run},
                               {"live_unknown", counts.unknown},
                               {"live_cut_off", counts.cut_off},
                               {"booking_keys", journal.keys},
                               {"bookings_answered", journal.answered},
                               {"bookings_unknown", journal.unknown},
                               {"bookings_run", journal.ran},
                               {"bookings_run_twice", journal.ran_twice},
                               {"bookings_answered_but_not_run", journal.answered_but_not_run},
                               {"bookings_not_run_but_ran", journal.not_run_but_ran},
                               {"batch_accepted", batch.accepted_items()},
                               {"batch_results", results.results},
                               {"batch_missing", results.missing},
                               {"batch_duplicated", results.duplicated},
                               {"batch_wrong", results.wrong},
                               {"fatal_sent", fatal_sent_},
                               {"fatal_held_back", fatal_held_back_},
                               {"engines_ended", engines_ended_},
                               {"events", describe_impact(live, bookings)}};
    std::cout << json::serialize(summary) << std::endl;
    const bool may_cut = !settings_.contains("no_cut_off");
    const bool whole = counts.wrong == 0 && counts.answered > 0 && journal.clean() && journal.ran > 0 &&
                       results.missing == 0 && results.duplicated == 0 && results.wrong == 0 &&
                       batch.accepted_items() > 0 && (may_cut || counts.cut_off == 0);
    const bool contained = !fatal_ || (engines_ended_ <= kMostEngineEnds && fatal_held_back_ > 0);
    return whole && contained ? 0 : 1;
  }

  const CommandOptions options_;
  const std::vector<FaultEvent> plan_;
  const json::object settings_;
  const bool fatal_;
  unsigned engines_ended_ = 0;  ///< By themselves.
  std::uint64_t fatal_sent_ = 0;
  std::uint64_t fatal_held_back_ = 0;
  unsigned declared_ = 0;
  unsigned engine_breaks_ = 0;  ///< Every other one in streams without framing.
  HttpSession http_;
  Fleet fleet_;
  std::vector<FaultEvent> struck_;
};

}  // namespace

int run_faults(const CommandOptions& options) {
  std::vector<FaultEvent> plan;
  json::object settings;
  if (options.scenario.empty()) {
    plan = random_plan(options.seed, options.seconds, PlanShape());
  } else {
    std::ifstream file(options.scenario);
    std::ostringstream text;
    text << file.rdbuf();
    boost::system::error_code failure;
    const json::value scenario = json::parse(text.str(), failure);
    if (failure || !scenario.is_object() || !scenario.as_object().contains("events")) {
      std::cerr << "madderdeck-bench: invalid_argument: " << options.scenario << ": needs a list of events"
                << std::endl;
      return exit_code_for(ErrorKind::invalid_argument);
    }
    settings = scenario.as_object();
    for (const json::value& event : scenario.at("events").as_array()) {
      plan.push_back({event.at("at_s").to_number<double>(), std::string(event.at("action").as_string()),
                      std::string(event.at("target").as_string())});
    }
  }
  return FaultRun(options, std::move(plan), std::move(settings), false).run();
}

int run_soak(const CommandOptions& options) {
  return FaultRun(options, random_plan(options.seed, options.seconds, overlapping()), {}, true).run();
}

}  // namespace madderdeck::bench
