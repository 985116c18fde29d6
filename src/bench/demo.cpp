/// @file The demo: a small hospital fleet, live calls, bookings, a referral batch, one engine
/// killed in the middle.

#include <boost/json.hpp>
#include <filesystem>
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

constexpr milliseconds kStartLimit{30'000};
constexpr milliseconds kDrainLimit{20'000};
constexpr milliseconds kBatchLimit{120'000};

json::object read_scenario(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  boost::system::error_code failure;
  const json::value value = json::parse(text.str(), failure);
  return failure || !value.is_object() ? json::object() : value.as_object();
}

double number(const json::object& fields, const char* name, double fallback) {
  const json::value* field = fields.if_contains(name);
  return field != nullptr && field->is_number() ? field->to_number<double>() : fallback;
}

std::string text(const json::object& fields, const char* name) {
  const json::value* field = fields.if_contains(name);
  return field != nullptr && field->is_string() ? std::string(field->as_string()) : std::string();
}

/// The whole demo, step by step.
class Demo {
 public:
  Demo(const CommandOptions& options, json::object scenario)
      : options_(options), scenario_(std::move(scenario)), fleet_(make_plan(options), http_) {}

  int run() {
    if (!start_fleet()) {
      return 2;
    }
    LoadTarget target{http_, fleet_.gateways(), text(scenario_, "api_key")};
    LiveOptions live_options;
    live_options.rendered_system_prompt = text(scenario_, "system_prompt");
    LiveLoad live(target, live_options, options_.seed);
    BookingLoad bookings(target, BookingOptions{}, options_.seed + 1);
    BatchOptions batch_options;
    batch_options.rendered_system_prompt = text(scenario_, "batch_system_prompt");
    batch_options.items = static_cast<std::uint32_t>(number(scenario_, "batch_items", 1000));
    BatchLoad batch(target, batch_options, options_.seed + 2);
    OpenLoop live_loop(
        target, options_.seed + 3, [this](double) { return number(scenario_, "live_rate", 50); },
        [&](double due) { live.send(due); });
    OpenLoop booking_loop(
        target, options_.seed + 4, [this](double) { return number(scenario_, "booking_rate", 20); },
        [&](double due) { bookings.send(due); });
    live_loop.start();
    booking_loop.start();
    const double warm_s = 1.0;
    run_phase("live calls and bookings alone", number(scenario_, "seconds_without_batch", 8), live, bookings, batch);
    const double batch_from = target.now_s();
    for (double job = 0; job < number(scenario_, "batch_jobs", 2); ++job) {
      batch.submit();
    }
    const double batch_seconds = number(scenario_, "seconds_with_batch", 12);
    run_phase("with a heap of referral jobs", batch_seconds / 2, live, bookings, batch);
    std::cout << "  ** killing " << fleet_.engine_names().front() << " **" << std::endl;
    fleet_.kill(fleet_.engine_names().front());
    run_phase("one engine short", batch_seconds / 2, live, bookings, batch);
    const double batch_to = target.now_s();
    live_loop.stop();
    booking_loop.stop();
    http_.run_until([&] { return live.open() == 0 && bookings.open() == 0; }, kDrainLimit);
    http_.run_for(seconds(5));  // callers that come back
    http_.run_until([&] { return bookings.open() == 0; }, kDrainLimit);
    finish_batch(batch);
    return report(live, bookings, batch, warm_s, batch_from, batch_to);
  }

 private:
  static FleetPlan make_plan(const CommandOptions& options) {
    FleetPlan plan;
    plan.subnet = options.subnet;
    plan.folder = options.work_folder;
    plan.binaries = options.binaries;
    return plan;
  }

  bool start_fleet() {
    std::cout << "starting 3 nodes, 12 engines, 3 slot services and the platform on " << fleet_.plan().subnet << ".0.0"
              << std::endl;
    const Status started = fleet_.start();
    const std::string objects = std::filesystem::path(options_.scenario).parent_path() / text(scenario_, "objects");
    const std::size_t machines = fleet_.engine_names().size() + fleet_.service_names().size();
    if (!succeeded(started) || !fleet_.wait_ready(kStartLimit)) {
      std::cerr << "the fleet did not become ready; logs are in " << fleet_.plan().folder << std::endl;
      return false;
    }
    const Status declared = fleet_.declare_file(objects);
    if (!succeeded(declared)) {
      std::cerr << error_of(declared).detail << std::endl;
      return false;
    }
    return fleet_.wait_machines(machines, kStartLimit);
  }

  void run_phase(const std::string& name, double length_s, const LiveLoad& live, const BookingLoad& bookings,
                 BatchLoad& batch) {
    std::cout << name << std::endl;
    for (double at = 0; at < length_s; at += 1) {
      http_.run_for(seconds(1));
      batch.poll();
      std::cout << "  live " << live.counts().answered << "/" << live.counts().sent << "  bookings "
                << bookings.records().size() << "  batch " << batch.completed_items() << "/" << batch.accepted_items()
                << std::endl;
    }
  }

  void finish_batch(BatchLoad& batch) {
    const auto deadline = std::chrono::steady_clock::now() + kBatchLimit;
    while (!batch.all_complete() && std::chrono::steady_clock::now() < deadline) {
      batch.poll();
      http_.run_for(milliseconds(500));
    }
  }

  int report(const LiveLoad& live, const BookingLoad& bookings, BatchLoad& batch, double warm_s, double batch_from,
             double batch_to) {
    const JournalCheck journal = check_journal(bookings.records(), fleet_.journal());
    ResultCheck results;
    for (const auto& job : batch.jobs()) {
      const ResultCheck one = batch.check(*job);
      results.results += one.results;
      results.duplicated += one.duplicated;
      results.missing += one.missing;
      results.wrong += one.wrong;
    }
    const LiveCounts& counts = live.counts();
    const double without = live.first_token_ms().quantile(0.95, warm_s, batch_from);
    const double with = live.first_token_ms().quantile(0.95, batch_from, batch_to);
    std::cout << "\nlive calls: " << counts.answered << " answered of " << counts.sent << " (wrong " << counts.wrong
              << ", not run " << counts.not_run << ", unknown " << counts.unknown << ", cut off " << counts.cut_off
              << ")\n"
              << "bookings:   " << journal.keys << " keys, " << journal.answered << " answered, " << journal.ran
              << " ran, " << journal.ran_twice << " ran twice\n"
              << "referrals:  " << results.results << " results of " << batch.accepted_items() << " accepted, "
              << results.duplicated << " doubled, " << results.missing << " missing, " << results.wrong << " wrong\n"
              << "first token, 95 in 100: " << without << " ms without batch, " << with << " ms with batch\n"
              << std::endl;
    const json::object summary{{"live_answered", counts.answered},        {"bookings_run", journal.ran},
                               {"bookings_run_twice", journal.ran_twice}, {"batch_accepted", batch.accepted_items()},
                               {"batch_completed", results.results},      {"batch_duplicated", results.duplicated},
                               {"online_p95_ms_without_batch", without},  {"online_p95_ms_with_batch", with}};
    std::cout << json::serialize(summary) << std::endl;
    const bool whole = counts.wrong == 0 && counts.cut_off == 0 && journal.clean() && results.missing == 0 &&
                       results.duplicated == 0 && results.wrong == 0 && batch.accepted_items() > 0 &&
                       counts.answered > 0;
    return whole ? 0 : 1;
  }

  const CommandOptions options_;
  const json::object scenario_;
  HttpSession http_;
  Fleet fleet_;
};

}  // namespace

int run_demo(const CommandOptions& options) {
  json::object scenario = read_scenario(options.scenario);
  if (scenario.empty()) {
    std::cerr << "madderdeck-bench: invalid_argument: " << options.scenario << ": not a scenario" << std::endl;
    return exit_code_for(ErrorKind::invalid_argument);
  }
  return Demo(options, std::move(scenario)).run();
}

}  // namespace madderdeck::bench
