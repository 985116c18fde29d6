/// @file Case 5. One engine fails a part of its requests for some seconds. Meanwhile the machines that keep the records
/// are killed and come back, so that giving up an item that failed as often as the route allows cannot be written.

#include "fleet.hpp"

namespace {

using namespace review;

constexpr char kHost[] = "jobs.example";
constexpr unsigned kJobs = 6;
constexpr unsigned kItems = 200;  ///< Of a batch job.
constexpr unsigned kEvents = 16;
constexpr int kEventMs = 20;
constexpr int kFailureMs = 30;  ///< From the start of a run that fails to its answer of 500.
constexpr unsigned kMaxAttempts = 3;
// srv_grey, errors: a share of .15 of the engines fails .4 of its requests for 5 s, health good.
constexpr unsigned kEngines = 7;
constexpr unsigned kGreyEngines = 1;
constexpr double kGreyPart = 0.4;
constexpr int kGreyMs = 5'000;
// herd_kill on the core, "off": all of them lose power for 5 s.
constexpr int kAwayMs = 5'000;
constexpr int kGreyBeforeLossMs = 2'500;

const json::object kConfiguration{
    {"version", 3},
    {"routes", json::array{json::object{{"name", "r-rebook"},
                                        {"host", kHost},
                                        {"path_prefix", "/rebook/"},
                                        {"type", "bulk"},
                                        {"service", "lm"},
                                        {"timeout_ms", 25000},
                                        {"target_ms", 400},
                                        {"run_target_ms", 20000},
                                        {"keep_s", 60},
                                        {"max_attempts", kMaxAttempts},
                                        {"priority", 2}}}},
    {"services", json::array{json::object{{"name", "lm"}, {"health_path", "/healthz"}, {"max_conns", 200}}}},
    {"limits", json::object{{"max_header_bytes", 16384},
                            {"max_body_bytes", 4194304},
                            {"header_timeout_ms", 3000},
                            {"idle_timeout_ms", 15000}}}};

/// What the engines know of the items together.
struct Items {
  std::mutex mutex;
  std::mt19937 generator{std::random_device{}()};
  std::map<std::string, unsigned> failures;  ///< Answers of 500.
  std::map<std::string, unsigned> runs;
  std::atomic<bool> grey = false;

  /// @return the number of this run, and whether it fails.
  std::pair<unsigned, bool> begin(const std::string& id, bool at_grey_engine) {
    const std::lock_guard<std::mutex> lock(mutex);
    const bool fails = at_grey_engine && grey && std::bernoulli_distribution(kGreyPart)(generator);
    failures[id] += fails ? 1 : 0;
    return {++runs[id], fails};
  }
};

struct Job {
  std::string id = new_id();
  std::vector<std::string> items;
  std::map<std::string, json::object> results;
};

bool submit(Fleet& fleet, Job& job) {
  json::array listed;
  for (unsigned number = 0; number < kItems; ++number) {
    job.items.push_back(new_id());
    listed.push_back(json::object{
        {"id", job.items.back()},
        {"path", "/rebook/3/" + std::to_string(number)},
        {"headers", json::object{{"X-Madderdeck-Model-Name", "m"}, {"X-Madderdeck-Token-Usage", "540,400"}}},
        {"body", "q83vEjRWeJA="},
        {"tokens", 940}});
  }
  const std::string body = json::serialize(json::object{{"items", listed}});
  for (unsigned attempt = 0; attempt < 6; ++attempt) {
    const Node& gateway = *fleet.gateways()[attempt % 3];
    const Answer answer =
        call(gateway.ip, Fleet::kFrontPort, "POST", "/rebook/" + job.id,
             {{"Host", kHost}, {"X-Madderdeck-Request-Id", job.id}, {"Content-Type", "application/json"}}, body, 4'000);
    note("client sends batch job %s to %s: %d", job.id.c_str(), gateway.name.c_str(), answer.status);
    if (answer.status == 202) {
      return true;
    }
    pause(500);
  }
  return false;
}

void read_results(const Node& gateway, Job& job) {
  const Answer answer =
      call(gateway.ip, Fleet::kFrontPort, "GET", "/lots/" + job.id + "?since_rev=0", {{"Host", kHost}}, "", 2'500);
  note("client reads results of %s at %s: %d, %zu bytes", job.id.c_str(), gateway.name.c_str(), answer.status,
       answer.body.size());
  boost::system::error_code failure;
  const json::value page = answer.status == 200 && answer.whole ? json::parse(answer.body, failure) : json::value();
  if (page.is_object()) {
    for (const json::value& one : page.as_object().at("results").as_array()) {
      job.results[std::string(one.as_object().at("id").as_string())] = one.as_object();
    }
  }
}

}  // namespace

int main(int argument_count, char** arguments) {
  const Script script(argument_count, arguments);
  Fleet fleet;
  Items items;
  const auto work_of = [&items](bool grey) {
    return [&items, grey](const Run& run, Connection& connection, const Headers& headers) {
      const auto [number, fails] = items.begin(run.id, grey);
      if (fails) {
        pause(kFailureMs);
        const bool told = connection.respond(500, headers, "failed", "text/plain");
        note("engine %s%s: run %u of item %s, 500%s", run.engine.c_str(), grey ? " (grey)" : "", number, run.id.c_str(),
             told ? "" : ", its caller has left");
        return;
      }
      const bool whole = write_stream(run, connection, headers, kEvents, kEventMs);
      note("engine %s%s: run %u of item %s after event %u, %s", run.engine.c_str(), grey ? " (grey)" : "", number,
           run.id.c_str(), run.resume_after, whole ? "whole" : "its caller left");
    };
  };
  if (!fleet.start()) {
    finish(fleet, kCouldNotRun, "an address is taken");
  }
  std::vector<std::unique_ptr<Engine>> engines;
  for (unsigned number = 0; number < kEngines; ++number) {
    engines.push_back(std::make_unique<Engine>(fleet.store(), fleet.ip(110, static_cast<int>(number) + 1),
                                               Fleet::kEnginePort, "lm", Fleet::zone(static_cast<int>(number)), 12,
                                               true, work_of(number < kGreyEngines)));
    if (!engines.back()->start()) {
      finish(fleet, kCouldNotRun, "an address is taken");
    }
  }
  fleet.store().put("config", "main", kConfiguration);
  if (!fleet.await_ready(25'000)) {
    finish(fleet, kCouldNotRun, "the fleet is not ready");
  }
  pause(5'000);

  items.grey = true;
  note("%u of %u engines fail %.0f in 100 of their requests from now on", kGreyEngines, kEngines, 100 * kGreyPart);
  std::thread([&items] {
    pause(kGreyMs);
    items.grey = false;
    note("no engine fails requests any more");
  }).detach();
  const auto lost_at = Clock::now() + milliseconds(kGreyBeforeLossMs);
  std::vector<Job> jobs(kJobs);
  for (Job& job : jobs) {
    if (!submit(fleet, job)) {
      finish(fleet, kCouldNotRun, "a batch job was not accepted");
    }
  }
  std::this_thread::sleep_until(lost_at);
  if (script.trouble) {
    for (Node* node : fleet.ledgers()) {
      note("%s is killed", node->name.c_str());
      Fleet::kill(*node);
    }
    pause(kAwayMs);
    for (Node* node : fleet.ledgers()) {
      fleet.start(*node);
    }
  }
  const auto all_listed = [&jobs] {
    return std::all_of(jobs.begin(), jobs.end(), [](const Job& job) { return job.results.size() == kItems; });
  };
  const auto until = Clock::now() + std::chrono::seconds(60);
  for (unsigned round = 0; !all_listed() && Clock::now() < until; ++round) {
    for (Job& job : jobs) {
      read_results(*fleet.gateways()[round % 3], job);
    }
    pause(500);
  }
  unsigned listed = 0;
  unsigned dead = 0;
  unsigned wrong = 0;
  for (const Job& job : jobs) {
    for (const std::string& id : job.items) {
      const auto found = job.results.find(id);
      if (found == job.results.end()) {
        note("item %s: not listed", id.c_str());
        continue;
      }
      const std::string state(found->second.at("state").as_string());
      const std::string message(found->second.at("message").as_string());
      const bool completed = state == "completed";
      const bool sound = completed ? message == whole_text(id, kEvents) : items.failures[id] >= kMaxAttempts;
      ++listed;
      dead += completed ? 0 : 1;
      wrong += sound ? 0 : 1;
      if (!sound || !completed) {
        note("item %s: %s after %u answers of 500, %s; its text begins \"%s\"", id.c_str(), state.c_str(),
             items.failures[id], sound ? "as the rule allows" : "WRONG", message.substr(0, 60).c_str());
      }
    }
  }
  const std::string counts = std::to_string(listed) + " of " + std::to_string(kJobs * kItems) + " items listed, " +
                             std::to_string(dead) + " as dead_letter, " + std::to_string(wrong) + " wrong";
  if (wrong > 0) {
    finish(fleet, kBroken, "MIXED: " + counts);
  }
  if (!all_listed()) {
    finish(fleet, kCouldNotRun, "not all items were listed: " + counts);
  }
  finish(fleet, kHeld, counts);
}
