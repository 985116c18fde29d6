/// @file What the gateway adds to a call, what streams cost, how fast jobs are taken, and what
/// an idle node uses. Direct and routed calls take turns in one run.

#include <boost/json.hpp>
#include <iostream>

#include "bench/commands.hpp"
#include "bench/load.hpp"
#include "net/sse_reader.hpp"

namespace madderdeck::bench {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLimit{60'000};
constexpr unsigned kPairs = 400;
constexpr unsigned kStreamTokens = 200;
constexpr std::uint32_t kBigJob = 390'000;

/// Times of one streamed call.
struct CallTimes {
  double first_ms = 0;
  double per_token_ms = 0;
  bool good = false;
};

class OverheadRun {
 public:
  explicit OverheadRun(const CommandOptions& options) : options_(options), fleet_(make_plan(options), http_) {}

  int run() {
    if (!start()) {
      std::cerr << "the fleet did not become ready; logs are in " << options_.work_folder << std::endl;
      return 2;
    }
    json::object result;
    result["idle"] = idle();
    result["added_by_gateway"] = pairs();
    json::array streams;
    for (const unsigned open : {10U, 100U, 1000U}) {
      streams.push_back(open_streams(open));
    }
    result["streams"] = std::move(streams);
    json::array jobs;
    for (const std::uint32_t items : {1000U, 20'000U, kBigJob}) {
      jobs.push_back(submission(items));
    }
    result["submission"] = std::move(jobs);
    std::cout << json::serialize(result) << std::endl;
    return 0;
  }

 private:
  static FleetPlan make_plan(const CommandOptions& options) {
    FleetPlan plan;
    plan.subnet = options.subnet;
    plan.folder = options.work_folder;
    plan.binaries = options.binaries;
    plan.engines = 1;
    plan.services = 1;
    plan.engine_slots = 2000;
    plan.engine_step_us = 5000;
    return plan;
  }

  bool start() {
    const auto declare = [this](const char* kind, const char* name, const char* body) {
      return succeeded(fleet_.declare(kind, name, body));
    };
    return succeeded(fleet_.start()) && fleet_.wait_ready(kLimit) &&
           declare("template", "live", R"({"pool":"booking-7b","max_tokens":1000,"timeout_ms":120000})") &&
           declare("tenant", "t", R"({"api_key":"key","requests_per_second":1000000,"burst":1000000})") &&
           // Batch must not run while submissions are timed.
           declare("fleet_policy", "default", R"({"batch_headroom_slots":1000,"subset_size":4})") &&
           fleet_.wait_machines(2, kLimit) && settle();
  }
  bool settle() {
    http_.run_for(seconds(4));
    return true;
  }

  json::object idle() {
    const auto usage = [this] { return fleet_.part("node-1").process.usage(); };
    const ProcessUsage before = usage();
    http_.run_for(seconds(10));
    const ProcessUsage after = usage();
    return json::object{{"cpu_percent", 100 * (after.cpu_seconds - before.cpu_seconds) / 10},
                        {"resident_mb", after.resident_mb}};
  }

  /// Starts one streamed call and reports its times.
  void stream(bool direct, unsigned tokens, std::function<void(CallTimes)> done) {
    struct State {
      std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
      std::chrono::steady_clock::time_point first{};
      unsigned events = 0;
      bool whole = false;
    };
    auto state = std::make_shared<State>();
    auto reader = std::make_shared<net::SseReader>([state](std::string_view data) {
      state->whole = state->whole || data == net::kSseDone;
      if (++state->events == 1) {
        state->first = std::chrono::steady_clock::now();
      }
    });
    net::ClientCallEvents events;
    events.body = [reader](std::string_view piece) { reader->feed(piece); };
    events.done = [state, tokens, done] {
      const std::chrono::duration<double, std::milli> first = state->first - state->start;
      const std::chrono::duration<double, std::milli> rest = std::chrono::steady_clock::now() - state->first;
      done({first.count(), rest.count() / tokens, state->whole});
    };
    events.failed = [done](net::CallBreak) { done({}); };
    const json::object body{{"model", direct ? "booking-7b" : "live"},
                            {"prompt", "call " + std::to_string(++calls_)},
                            {"max_tokens", tokens},
                            {"stream", true}};
    net::HttpRequest request{"POST", "/v1/completions", {{"Authorization", "Bearer key"}}, json::serialize(body)};
    const std::string address = fleet_.part(direct ? "engine-1" : "node-1").address;
    http_.client.start(address, std::move(request), std::move(events));
  }

  json::object pairs() {
    constexpr unsigned kTokens = 20;
    Samples first[2];
    Samples token[2];
    for (unsigned pair = 0; pair < kPairs; ++pair) {
      for (const int direct : {0, 1}) {
        bool over = false;
        stream(direct == 1, kTokens, [&](const CallTimes& times) {
          over = true;
          if (times.good && pair >= 20) {
            first[direct].add(0, times.first_ms);
            token[direct].add(0, times.per_token_ms);
          }
        });
        http_.run_until_quick([&over] { return over; });
      }
    }
    return json::object{{"calls", first[0].size()},
                        {"first_token_p50_ms", first[0].quantile(0.5) - first[1].quantile(0.5)},
                        {"first_token_p99_ms", first[0].quantile(0.99) - first[1].quantile(0.99)},
                        {"per_token_p50_ms", token[0].quantile(0.5) - token[1].quantile(0.5)},
                        {"direct_first_token_p50_ms", first[1].quantile(0.5)}};
  }

  json::object open_streams(unsigned open) {
    unsigned ended = 0;
    unsigned good = 0;
    const ProcessUsage before = fleet_.part("node-1").process.usage();
    const auto started = std::chrono::steady_clock::now();
    for (unsigned number = 0; number < open; ++number) {
      stream(false, kStreamTokens, [&](const CallTimes& times) {
        ++ended;
        good += times.good ? 1 : 0;
      });
    }
    http_.run_until([&] { return ended == open; }, kLimit);
    const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    const double cpu = fleet_.part("node-1").process.usage().cpu_seconds - before.cpu_seconds;
    const double tokens = static_cast<double>(good) * kStreamTokens;
    return json::object{{"open", open},
                        {"whole", good},
                        {"tokens_a_second", tokens / elapsed},
                        {"core_share", cpu / elapsed},
                        {"cpu_us_per_token", 1e6 * cpu / std::max(1.0, tokens)},
                        {"tokens_a_second_on_one_core", tokens / std::max(0.001, cpu)}};
  }

  double worst_resident_mb() {
    double worst = 0;
    for (const std::string& node : fleet_.node_names()) {
      worst = std::max(worst, fleet_.part(node).process.usage().resident_mb);
    }
    return worst;
  }

  json::object submission(std::uint32_t items) {
    std::string body;
    for (std::uint32_t item = 0; item < items; ++item) {
      body += "{\"prompt\":\"referral of patient " + std::to_string(item) +
              " to a specialist for a visit\",\"max_tokens\":16}\n";
    }
    const double resident_before = worst_resident_mb();
    double resident_peak = resident_before;
    const auto started = std::chrono::steady_clock::now();
    std::optional<unsigned> status;
    net::ClientCallOptions call_options;
    call_options.idle_timeout = kLimit;
    http_.client.fetch(
        fleet_.part("node-1").address,
        {"POST",
         "/v1/batches?template=live",
         {{"Authorization", "Bearer key"}, {"Idempotency-Key", "job-" + std::to_string(items)}},
         std::move(body)},
        [&status](const std::variant<net::SimpleResponse, net::CallBreak>& result) {
          const auto* response = std::get_if<net::SimpleResponse>(&result);
          status = response == nullptr ? 0 : response->status;
        },
        call_options);
    while (!status) {
      http_.run_for(milliseconds(20));
      resident_peak = std::max(resident_peak, worst_resident_mb());
    }
    const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    return json::object{{"items", items},
                        {"status", *status},
                        {"items_a_second", items / elapsed},
                        {"worst_node_resident_mb_before", resident_before},
                        {"worst_node_resident_mb_peak", resident_peak}};
  }

  const CommandOptions options_;
  HttpSession http_;
  Fleet fleet_;
  unsigned calls_ = 0;
};

}  // namespace

int run_overhead(const CommandOptions& options) { return OverheadRun(options).run(); }

}  // namespace madderdeck::bench
