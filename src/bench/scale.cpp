/// @file The scale run: hollow nodes beside real ones, measured at rest and while parts go.

#include <boost/json.hpp>
#include <fstream>
#include <iostream>

#include "bench/commands.hpp"
#include "bench/hollow.hpp"

namespace madderdeck::bench {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned kRealNodes = 3;
constexpr unsigned kNodesPerProcess = 48;
constexpr unsigned kEnginesPerProcess = 210;
constexpr unsigned kTenantsAtFullSize = 600;
constexpr unsigned kFullSize = 380;
constexpr unsigned kZones = 6;
constexpr seconds kMeasure{12};
constexpr milliseconds kLimit{90'000};

std::int64_t monotonic_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// Median and worst of times after a start.
struct Spread {
  double median_ms = 0;
  double worst_ms = 0;
  std::size_t missing = 0;

  json::object describe() const {
    return json::object{{"median_ms", median_ms}, {"worst_ms", worst_ms}, {"missing", missing}};
  }
};

class ScaleRun {
 public:
  ScaleRun(const CommandOptions& options, unsigned nodes, unsigned engines)
      : options_(options), hollow_(nodes - kRealNodes), engine_count_(engines), fleet_(make_plan(options), http_) {}

  int run() {
    if (!start()) {
      return 2;
    }
    json::object result{{"nodes", hollow_ + kRealNodes}, {"engines", engine_count_}};
    say("settling");
    http_.run_for(seconds(15));
    say("at rest");
    result["at_rest"] = measure();
    result["deaths_declared_without_fault"] = counter("membership_deaths_declared_total");
    result["config_change"] = config_change().describe();
    result["leave"] = leave().describe();
    result["death_of_15"] = deaths(0, 15).describe();
    say("a zone is lost");
    result["zone_lost"] = deaths(1, std::max(1U, hollow_ / kZones)).describe();
    result["config_change_after_zone_loss"] = config_change().describe();
    say("regions are cut");
    result["region_cut"] = region_cut();
    std::cout << json::serialize(result) << std::endl;
    return 0;
  }

 private:
  static FleetPlan make_plan(const CommandOptions& options) {
    FleetPlan plan;
    plan.subnet = options.subnet;
    plan.folder = options.work_folder;
    plan.binaries = options.binaries;
    plan.engines = 0;
    plan.services = 1;
    return plan;
  }

  void say(const std::string& what) const {
    if (!options_.json) {
      std::cerr << what << std::endl;
    }
  }

  bool start() {
    if (!succeeded(fleet_.start()) || !fleet_.wait_ready(kLimit)) {
      std::cerr << "the real nodes did not become ready" << std::endl;
      return false;
    }
    const std::string platform = fleet_.part("platform").address;
    for (unsigned first = 0; first < engine_count_; first += kEnginesPerProcess) {
      const unsigned count = std::min(kEnginesPerProcess, engine_count_ - first);
      const std::string address = options_.subnet + ".2." + std::to_string(1 + first / kEnginesPerProcess) + ":9000";
      engines_.emplace_back();
      engines_.back().start(options_.binaries + "/madderdeck-emulator",
                            {"engine", "--address=" + address, "--count=" + std::to_string(count),
                             "--models=booking-7b", "--platform=" + platform},
                            options_.work_folder + "/engines.log");
    }
    for (unsigned first = 0, group = 0; first < hollow_; first += kNodesPerProcess, ++group) {
      const unsigned count = std::min(kNodesPerProcess, hollow_ - first);
      controls_.push_back(options_.subnet + ".5." + std::to_string(group + 1) + ":9000");
      sizes_.push_back(count);
      silenced_.push_back(0);
      processes_.emplace_back();
      processes_.back().start(
          options_.binaries + "/madderdeck-bench",
          {"hollow", "--subnet=" + options_.subnet, "--group=" + std::to_string(group),
           "--nodes=" + std::to_string(count), "--control_address=" + controls_.back(), "--platform=" + platform},
          options_.work_folder + "/hollow.log");
    }
    return declare_tenants() && wait_live(hollow_ + kRealNodes);
  }

  bool declare_tenants() {
    const unsigned tenants = kTenantsAtFullSize * (hollow_ + kRealNodes) / kFullSize;
    say("declaring " + std::to_string(tenants) + " tenants");
    for (unsigned tenant = 0; tenant < tenants; ++tenant) {
      const std::string name = "tenant-" + std::to_string(tenant);
      const json::object body{{"api_key", name + "-key"},
                              {"parameters", json::object{{"hospital", name}, {"city", "Amman"}}}};
      if (!succeeded(fleet_.declare("tenant", name, json::serialize(body)))) {
        return false;
      }
    }
    return true;
  }

  json::value ask(std::size_t process, const std::string& target) {
    const auto response = http_.call(controls_[process], "GET", target);
    return response ? json::parse(response->body) : json::value();
  }

  bool wait_live(std::size_t wanted) {
    return wait_for([&] { return live_everywhere(wanted); });
  }
  bool live_everywhere(std::size_t wanted) {
    for (std::size_t process = 0; process < controls_.size(); ++process) {
      const json::value counts = ask(process, "/live");
      if (!counts.is_array()) {
        return false;
      }
      for (const json::value& count : counts.as_array()) {
        if (count.to_number<std::size_t>() != wanted) {
          return false;
        }
      }
    }
    return true;
  }
  bool wait_for(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + kLimit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      http_.run_for(milliseconds(100));
    }
    return true;
  }

  double counter(const std::string& name) {
    double total = 0;
    for (std::size_t process = 0; process < controls_.size(); ++process) {
      const json::value counters = ask(process, "/counters");
      if (counters.is_object() && counters.as_object().contains(name)) {
        total += counters.at(name).to_number<double>();
      }
    }
    return total;
  }

  struct Usage {
    double cpu_seconds = 0;
    double resident_mb = 0;
  };
  Usage hollow_usage() const {
    Usage sum;
    for (const Process& process : processes_) {
      const ProcessUsage one = process.usage();
      sum.cpu_seconds += one.cpu_seconds;
      sum.resident_mb += one.resident_mb;
    }
    return sum;
  }
  Usage real_usage() {
    Usage sum;
    for (const std::string& node : fleet_.node_names()) {
      const ProcessUsage one = fleet_.part(node).process.usage();
      sum.cpu_seconds += one.cpu_seconds;
      sum.resident_mb = std::max(sum.resident_mb, one.resident_mb);
    }
    return sum;
  }

  json::object measure() {
    const std::vector<std::string> names = {"peer_datagram_bytes_sent_total", "peer_datagram_bytes_received_total",
                                            "peer_stream_bytes_sent_total", "peer_stream_bytes_received_total",
                                            "backend_report_bytes_total"};
    std::vector<double> before;
    for (const std::string& name : names) {
      before.push_back(counter(name));
    }
    const Usage hollow_before = hollow_usage();
    const Usage real_before = real_usage();
    const auto started = std::chrono::steady_clock::now();
    http_.run_for(kMeasure);
    const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    const Usage hollow_after = hollow_usage();
    const Usage real_after = real_usage();
    json::object result{
        {"hollow_cpu_percent_per_node",
         100 * (hollow_after.cpu_seconds - hollow_before.cpu_seconds) / elapsed / hollow_},
        {"hollow_resident_mb_per_node", hollow_after.resident_mb / hollow_},
        {"real_cpu_percent_per_node", 100 * (real_after.cpu_seconds - real_before.cpu_seconds) / elapsed / kRealNodes},
        {"real_resident_mb_worst", real_after.resident_mb}};
    for (std::size_t position = 0; position < names.size(); ++position) {
      result[names[position] + "_per_node_second"] = (counter(names[position]) - before[position]) / elapsed / hollow_;
    }
    return result;
  }

  Spread spread_of(std::int64_t start_us, const std::string& target) {
    std::vector<double> delays;
    Spread spread;
    for (std::size_t process = 0; process < controls_.size(); ++process) {
      const json::value times = ask(process, target);
      if (!times.is_array()) {
        ++spread.missing;
        continue;
      }
      for (const json::value& time : times.as_array()) {
        const auto at = time.to_number<std::int64_t>();
        if (at < start_us) {
          ++spread.missing;
        } else {
          delays.push_back(static_cast<double>(at - start_us) / 1000);
        }
      }
    }
    std::sort(delays.begin(), delays.end());
    if (!delays.empty()) {
      spread.median_ms = delays[delays.size() / 2];
      spread.worst_ms = delays.back();
    }
    return spread;
  }

  /// Waits until nobody is missing, or the limit.
  Spread wait_spread(std::int64_t start_us, const std::string& target, std::size_t allowed_missing) {
    Spread spread;
    wait_for([&] {
      spread = spread_of(start_us, target);
      return spread.missing <= allowed_missing;
    });
    return spread;
  }

  Spread config_change() {
    say("a configuration change");
    const std::int64_t start_us = monotonic_us();
    fleet_.declare("model", "model-" + std::to_string(++changes_), "{\"version\":\"1\"}");
    const auto response =
        http_.call(fleet_.gateways().front(), "GET", "/admin/objects/model/model-" + std::to_string(changes_));
    std::uint64_t revision = 0;
    wait_for([&] {
      const auto found =
          http_.call(fleet_.gateways().front(), "GET", "/admin/objects/model/model-" + std::to_string(changes_));
      if (found && found->status == 200) {
        revision = json::parse(found->body).at("revision").to_number<std::uint64_t>();
      }
      return revision != 0;
    });
    return wait_spread(start_us, "/reached?revision=" + std::to_string(revision), 0);
  }

  Spread leave() {
    say("a node leaves");
    const std::int64_t start_us = monotonic_us();
    const unsigned last = sizes_.front();
    ask(0, "/leave?node=" + std::to_string(last));
    return wait_spread(start_us, "/seen?what=" + hollow_name(0, last) + "/Leaving", 1);
  }

  /// Silences @p count nodes from the front of a process on; times until all others call the
  /// last of them dead.
  Spread deaths(std::size_t process, unsigned count) {
    process = std::min(process, controls_.size() - 1);
    say(std::to_string(count) + " nodes fall silent");
    const std::int64_t start_us = monotonic_us();
    std::string last;
    for (unsigned left = count; left > 0 && process < controls_.size(); ++process) {
      const unsigned first = silenced_[process] + 1;
      const unsigned spare = sizes_[process] > first + 1 ? sizes_[process] - first - 1 : 0;
      const unsigned here = std::min(left, spare);
      if (here == 0) {
        continue;
      }
      ask(process, "/silence?from=" + std::to_string(first) + "&to=" + std::to_string(first + here - 1));
      last = hollow_name(static_cast<unsigned>(process), first + here - 1);
      left -= here;
      silenced_[process] += here;
      silent_ += here;
    }
    return wait_spread(start_us, "/seen?what=" + last + "/Dead", 0);
  }

  json::object region_cut() {
    constexpr seconds kCut{45};
    for (std::size_t process = 0; process < controls_.size(); ++process) {
      ask(process, "/cut_regions?on=true");
    }
    http_.run_for(kCut);
    const json::object during = measure();
    for (std::size_t process = 0; process < controls_.size(); ++process) {
      ask(process, "/cut_regions?on=false");
    }
    const std::int64_t healed_us = monotonic_us();
    // One node has left and is counted as live until it ends.
    const std::size_t wanted = hollow_ + kRealNodes - silent_;
    const bool whole = wait_live(wanted);
    const double heal_s = static_cast<double>(monotonic_us() - healed_us) / 1e6;
    const Spread change = config_change();
    return json::object{{"seconds", kCut.count()},
                        {"control_during", during},
                        {"all_live_again", whole},
                        {"heal_s", heal_s},
                        {"config_change_after", change.describe()}};
  }

  const CommandOptions options_;
  const unsigned hollow_;
  const unsigned engine_count_;
  HttpSession http_;
  Fleet fleet_;
  std::vector<Process> engines_;
  std::vector<Process> processes_;
  std::vector<std::string> controls_;
  std::vector<unsigned> sizes_;
  std::vector<unsigned> silenced_;  ///< Nodes of each process that were made silent.
  unsigned changes_ = 0;
  unsigned silent_ = 0;
};

}  // namespace

int run_scale(const CommandOptions& options, unsigned nodes, unsigned engines) {
  if (nodes <= kRealNodes + 2 || engines == 0) {
    std::cerr << "madderdeck-bench: invalid_argument: --nodes needs at least 6, --engines at least 1" << std::endl;
    return exit_code_for(ErrorKind::invalid_argument);
  }
  return ScaleRun(options, nodes, engines).run();
}

}  // namespace madderdeck::bench
