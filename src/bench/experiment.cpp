/// @file Experiments: a scenario under a fleet policy, measured, and pairs of them compared.

#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "bench/commands.hpp"
#include "bench/journal_check.hpp"
#include "bench/report.hpp"

namespace madderdeck::bench {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLimit{60'000};
constexpr double kWarmUp = 3.0;

/// A scenario file; see docs/MEASUREMENTS.md.
struct Scenario {
  std::string name;
  unsigned engines = 6;
  unsigned engine_slots = 8;
  double live_rate = 30;
  double burst_rate = 0;  ///< From a third to two thirds of the run.
  std::uint32_t live_tokens = 24;
  unsigned prefix_bytes = 600;
  double batch_every_s = 0;  ///< 0: no batch.
  std::uint32_t batch_items = 400;
  std::uint32_t batch_tokens = 48;
  double slow_engine = 0;  ///< Factor by which one engine is slowed.
  std::string policy = "{}";
};

std::optional<Scenario> read_scenario(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  boost::system::error_code failure;
  const json::value value = json::parse(text.str(), failure);
  const json::object* fields = failure ? nullptr : value.if_object();
  if (fields == nullptr) {
    return std::nullopt;
  }
  Scenario scenario;
  scenario.name = std::filesystem::path(path).stem();
  const auto number = [fields](const char* name, auto& target) {
    if (const json::value* field = fields->if_contains(name); field != nullptr && field->is_number()) {
      target = static_cast<std::remove_reference_t<decltype(target)>>(field->to_number<double>());
    }
  };
  number("engines", scenario.engines);
  number("engine_slots", scenario.engine_slots);
  number("live_rate", scenario.live_rate);
  number("burst_rate", scenario.burst_rate);
  number("live_tokens", scenario.live_tokens);
  number("prefix_bytes", scenario.prefix_bytes);
  number("batch_every_s", scenario.batch_every_s);
  number("batch_items", scenario.batch_items);
  number("batch_tokens", scenario.batch_tokens);
  number("slow_engine", scenario.slow_engine);
  if (const json::value* policy = fields->if_contains("policy")) {
    scenario.policy = json::serialize(*policy);
  }
  return scenario;
}

/// One run of one scenario on a fresh fleet.
class Experiment {
 public:
  Experiment(const CommandOptions& options, Scenario scenario)
      : options_(options), scenario_(std::move(scenario)), fleet_(make_plan(options, scenario_), http_) {}

  std::optional<ExperimentResult> run() {
    if (!start()) {
      return std::nullopt;
    }
    LoadTarget target{http_, fleet_.gateways(), "key"};
    LiveOptions live_options;
    live_options.tokens = scenario_.live_tokens;
    live_options.prefix_bytes = scenario_.prefix_bytes;
    LiveLoad live(target, live_options, options_.seed);
    BatchOptions batch_options;
    batch_options.items = scenario_.batch_items;
    batch_options.tokens = scenario_.batch_tokens;
    BatchLoad batch(target, batch_options, options_.seed + 1);
    OpenLoop loop(
        target, options_.seed + 2, [this](double at) { return rate(at); }, [&](double due) { live.send(due); });
    loop.start();
    ExperimentResult result;
    result.name = scenario_.name;
    double next_job = 0;
    double measured_from = 0;
    double items_at_start = 0;
    while (target.now_s() < options_.seconds) {
      if (scenario_.batch_every_s > 0 && target.now_s() >= next_job) {
        batch.submit();
        next_job += scenario_.batch_every_s;
      }
      if (measured_from == 0 && target.now_s() >= kWarmUp) {
        measured_from = target.now_s();
        items_at_start = fleet_counter("madderdeck_batch_results_written_total");
      }
      http_.run_for(milliseconds(500));
      result.batch_items_over_time.push_back({target.now_s(), fleet_counter("madderdeck_batch_results_written_total")});
    }
    const double measured = target.now_s() - measured_from;
    result.batch_items_a_second = (fleet_counter("madderdeck_batch_results_written_total") - items_at_start) / measured;
    loop.stop();
    http_.run_until([&] { return live.open() == 0; }, kLimit);
    result.first_token = live.first_token_ms();
    result.p50_ms = live.first_token_ms().quantile(0.5, kWarmUp);
    result.p95_ms = live.first_token_ms().quantile(0.95, kWarmUp);
    result.p99_ms = live.first_token_ms().quantile(0.99, kWarmUp);
    result.sent = live.counts().sent;
    result.answered = live.counts().answered;
    result.wrong = live.counts().wrong;
    result.prefill_tokens = fleet_.engine_total("prefill_tokens");
    result.steps_behind_batch = fleet_.engine_total("online_steps_behind_batch");
    result.yielded = fleet_counter("madderdeck_batch_items_yielded_total");
    return result;
  }

 private:
  static FleetPlan make_plan(const CommandOptions& options, const Scenario& scenario) {
    FleetPlan plan;
    plan.subnet = options.subnet;
    plan.folder = options.work_folder;
    plan.binaries = options.binaries;
    plan.engines = scenario.engines;
    plan.engine_slots = scenario.engine_slots;
    plan.services = 1;
    return plan;
  }

  double rate(double at_s) const {
    const bool burst = at_s > options_.seconds / 3.0 && at_s < options_.seconds * 2 / 3.0;
    return burst && scenario_.burst_rate > 0 ? scenario_.burst_rate : scenario_.live_rate;
  }

  bool start() {
    const auto declare = [this](const char* kind, const char* name, const std::string& body) {
      return succeeded(fleet_.declare(kind, name, body));
    };
    const bool started = succeeded(fleet_.start()) && fleet_.wait_ready(kLimit) &&
                         declare("template", "agent-reply", R"({"pool":"booking-7b","max_tokens":1000})") &&
                         declare("template", "referral", R"({"pool":"booking-7b","max_tokens":1000})") &&
                         declare("tenant", "t", R"({"api_key":"key","requests_per_second":1000000,"burst":1000000})") &&
                         declare("fleet_policy", "default", scenario_.policy) &&
                         fleet_.wait_machines(scenario_.engines + 1, kLimit);
    if (!started) {
      std::cerr << "the fleet did not become ready; logs are in " << options_.work_folder << std::endl;
      return false;
    }
    http_.run_for(seconds(4));  // past the slow start of new engines
    if (scenario_.slow_engine > 0) {
      fleet_.control("engine-1", "{\"slow_factor\":" + std::to_string(scenario_.slow_engine) + "}");
    }
    return true;
  }

  /// Sum of one metric over all nodes.
  double fleet_counter(const std::string& name) {
    double total = 0;
    for (const std::string& node : fleet_.node_names()) {
      const auto response = http_.call(fleet_.part(node).address, "GET", "/metrics");
      std::istringstream lines(response ? response->body : "");
      for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " ")) {
          total += std::stod(line.substr(name.size() + 1));
        }
      }
    }
    return total;
  }

  const CommandOptions options_;
  const Scenario scenario_;
  HttpSession http_;
  Fleet fleet_;
};

json::object describe(const ExperimentResult& result) {
  return json::object{{"scenario", result.name},
                      {"sent", result.sent},
                      {"answered", result.answered},
                      {"wrong", result.wrong},
                      {"first_token_p50_ms", result.p50_ms},
                      {"first_token_p95_ms", result.p95_ms},
                      {"first_token_p99_ms", result.p99_ms},
                      {"batch_items_a_second", result.batch_items_a_second},
                      {"prefill_tokens", result.prefill_tokens},
                      {"engine_steps_behind_batch", result.steps_behind_batch},
                      {"batch_items_yielded", result.yielded}};
}

}  // namespace

int run_experiments(const CommandOptions& options, const std::vector<std::string>& paths) {
  std::vector<ExperimentResult> results;
  json::array described;
  for (const std::string& path : paths) {
    const auto scenario = read_scenario(path);
    if (!scenario) {
      std::cerr << "madderdeck-bench: invalid_argument: " << path << ": not a scenario" << std::endl;
      return exit_code_for(ErrorKind::invalid_argument);
    }
    auto result = Experiment(options, *scenario).run();
    if (!result) {
      return 2;
    }
    described.push_back(describe(*result));
    std::cout << json::serialize(described.back()) << std::endl;
    results.push_back(std::move(*result));
  }
  if (!options.report.empty()) {
    std::ofstream(options.report) << html_report(results);
  }
  if (results.size() > 1) {
    // Ratios of every run against the first.
    json::array ratios;
    for (std::size_t number = 1; number < results.size(); ++number) {
      const auto ratio = [](double value, double base) { return base == 0 ? 0 : value / base; };
      ratios.push_back(
          json::object{{"scenario", results[number].name},
                       {"p99", ratio(results[number].p99_ms, results[0].p99_ms)},
                       {"p50", ratio(results[number].p50_ms, results[0].p50_ms)},
                       {"batch", ratio(results[number].batch_items_a_second, results[0].batch_items_a_second)},
                       {"prefill", ratio(results[number].prefill_tokens, results[0].prefill_tokens)}});
    }
    std::cout << json::serialize(json::object{{"against", results[0].name}, {"ratios", std::move(ratios)}})
              << std::endl;
  }
  const bool right = std::all_of(results.begin(), results.end(),
                                 [](const auto& result) { return result.wrong == 0 && result.answered > 0; });
  return right ? 0 : 1;
}

}  // namespace madderdeck::bench
