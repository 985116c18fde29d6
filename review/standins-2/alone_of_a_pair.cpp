/// @file Case 4. Of three storage machines one is emptied and taken away. Of the other two, one freezes for some
/// seconds; meanwhile a batch job is accepted, and the other one loses its disk. A single disk is lost.

#include "fleet.hpp"

namespace {

using namespace review;

constexpr char kHost[] = "jobs.example";
constexpr unsigned kItems = 4;
constexpr unsigned kEvents = 10;
constexpr int kFrozenMs = 5'000;  ///< node_freeze, for_s (5).
constexpr int kAwayMs = 2'000;    ///< after_ack_wipe in the site file: 2 s.
constexpr int kRecoverMs = 12'000;
constexpr int kBetweenJobsMs = 150;
constexpr int kReadingMs = 30'000;

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
                                        {"max_attempts", 3},
                                        {"priority", 2}}}},
    {"services", json::array{json::object{{"name", "lm"}, {"health_path", "/healthz"}, {"max_conns", 200}}}},
    {"limits", json::object{{"max_header_bytes", 16384},
                            {"max_body_bytes", 4194304},
                            {"header_timeout_ms", 3000},
                            {"idle_timeout_ms", 15000}}}};

struct Job {
  std::string id = new_id();
  std::string body;
  long accepted_at = 0;
};

Job make_job() {
  Job job;
  json::array items;
  for (unsigned number = 0; number < kItems; ++number) {
    items.push_back(json::object{{"id", new_id()},
                                 {"path", "/rebook/3/" + std::to_string(number)},
                                 {"headers", json::object{{"X-Madderdeck-Model-Name", "m"}}},
                                 {"body", "q83vEjRWeJA="},
                                 {"tokens", 940}});
  }
  job.body = json::serialize(json::object{{"items", std::move(items)}});
  return job;
}

/// One attempt to hand in @p job.
bool submit(const Node& gateway, Job& job) {
  const Answer answer = call(
      gateway.ip, Fleet::kFrontPort, "POST", "/rebook/" + job.id,
      {{"Host", kHost}, {"X-Madderdeck-Request-Id", job.id}, {"Content-Type", "application/json"}}, job.body, 4'000);
  note("client sends batch job %s to %s: %d", job.id.c_str(), gateway.name.c_str(), answer.status);
  job.accepted_at = answer.status == 202 ? Record::get().now() : 0;
  return answer.status == 202;
}

/// Reads @p job from its start. @param listed set to the number of its items that are listed.
void read_job(const Node& gateway, const Job& job, std::size_t& listed) {
  const Answer answer =
      call(gateway.ip, Fleet::kFrontPort, "GET", "/lots/" + job.id + "?since_rev=0", {{"Host", kHost}}, "", 2'500);
  boost::system::error_code failure;
  const json::value page = answer.status == 200 && answer.whole ? json::parse(answer.body, failure) : json::value();
  listed = page.is_object() ? page.as_object().at("results").as_array().size() : 0;
  note("client reads batch job %s at %s: %d, %zu of %u listed", job.id.c_str(), gateway.name.c_str(), answer.status,
       listed, kItems);
}

}  // namespace

int main(int argument_count, char** arguments) {
  const Script script(argument_count, arguments);
  Shape shape;
  shape.gateways = 7;  // as the site
  Fleet fleet(shape);
  if (!fleet.start()) {
    finish(fleet, kCouldNotRun, "an address is taken");
  }
  const Engine::Work work = [](const Run& run, Connection& connection, const Headers& headers) {
    write_stream(run, connection, headers, kEvents, 20);
  };
  std::vector<std::unique_ptr<Engine>> engines;
  for (int number = 0; number < 3; ++number) {
    engines.push_back(std::make_unique<Engine>(fleet.store(), fleet.ip(110, number + 1), Fleet::kEnginePort, "lm",
                                               Fleet::zone(number), 12, true, work));
    if (!engines.back()->start()) {
      finish(fleet, kCouldNotRun, "an address is taken");
    }
  }
  fleet.store().put("config", "main", kConfiguration);
  if (!fleet.await_ready(25'000)) {
    finish(fleet, kCouldNotRun, "the fleet is not ready");
  }
  pause(6'000);
  const std::vector<Node*> gateways = fleet.gateways();
  Node& frozen = *fleet.ledgers()[0];
  Node& lost = *fleet.ledgers()[1];
  Node& emptied = *fleet.ledgers()[2];
  std::vector<Job> jobs;
  for (int number = 0; number < 3; ++number) {
    jobs.push_back(make_job());
    if (!submit(*gateways[static_cast<std::size_t>(number)], jobs.back())) {
      finish(fleet, kCouldNotRun, "a batch job was not accepted in calm");
    }
  }
  // Planned: one storage machine is emptied, says so, and is taken away with its disk.
  fleet.store().put("retirements", emptied.name, json::object{{"duration_s", 10}});
  std::string state;
  for (int waited = 0; waited < 30'000 && state != "completed"; waited += 100) {
    pause(100);
    state = fleet.store().status_of("retirements", emptied.name);
  }
  if (state != "completed") {
    finish(fleet, kCouldNotRun, "the machine was not emptied: " + state);
  }
  note("%s says completed and is taken away with its disk", emptied.name.c_str());
  Fleet::kill(emptied);
  fleet.wipe(emptied);
  pause(8'000);

  // Clients hand in batch jobs all the time, each once.
  std::mutex mutex;
  std::vector<std::thread> clients;
  std::atomic<bool> any_accepted = false;
  const auto hand_in = [&](unsigned number) {
    clients.emplace_back([&, number] {
      Job job = make_job();
      if (submit(*gateways[number % gateways.size()], job)) {
        const std::lock_guard<std::mutex> lock(mutex);
        jobs.push_back(job);
        any_accepted = true;
      }
    });
  };
  bool in_time = false;
  // A second time if no batch job was accepted during the first freeze.
  for (int round = 0; round < 2 && !in_time; ++round) {
    const auto wakes = Clock::now() + milliseconds(kFrozenMs);
    any_accepted = false;
    if (script.trouble) {
      Fleet::signal(frozen, SIGSTOP);
      note("%s freezes", frozen.name.c_str());
    }
    for (unsigned number = 0; !any_accepted && Clock::now() < wakes; ++number) {
      hand_in(number);
      for (int waited = 0; waited < kBetweenJobsMs && !any_accepted && Clock::now() < wakes; waited += 5) {
        pause(5);
      }
    }
    in_time = any_accepted && Clock::now() < wakes;
    if (script.trouble && in_time) {
      note("%s loses its disk", lost.name.c_str());
      Fleet::kill(lost);
      fleet.wipe(lost);
    }
    const auto back = Clock::now() + milliseconds(kAwayMs);
    std::this_thread::sleep_until(wakes);
    if (script.trouble) {
      Fleet::signal(frozen, SIGCONT);
      note("%s wakes", frozen.name.c_str());
    }
    if (script.trouble && in_time) {
      std::this_thread::sleep_until(back);
      fleet.start(lost);
    } else if (!in_time) {
      pause(kRecoverMs);
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  if (!in_time) {
    finish(fleet, kCouldNotRun, "no batch job was accepted while a machine was frozen");
  }
  pause(kRecoverMs);
  std::map<std::string, std::size_t> listed;
  const auto until = Clock::now() + milliseconds(kReadingMs);
  const auto all_read = [&] {
    return std::all_of(jobs.begin(), jobs.end(), [&](const Job& job) { return listed[job.id] == kItems; });
  };
  for (unsigned round = 0; !all_read() && Clock::now() < until; ++round) {
    for (const Job& job : jobs) {
      if (listed[job.id] < kItems) {
        read_job(*gateways[round % gateways.size()], job, listed[job.id]);
      }
    }
    pause(400);
  }
  unsigned unreadable = 0;
  for (const Job& job : jobs) {
    note("batch job %s, accepted at %ld ms: %zu of %u items listed", job.id.c_str(), job.accepted_at, listed[job.id],
         kItems);
    unreadable += listed[job.id] == kItems ? 0 : 1;
  }
  const std::string counts =
      std::to_string(unreadable) + " of " + std::to_string(jobs.size()) + " accepted batch jobs lost";
  finish(fleet, unreadable > 0 ? kBroken : kHeld, (unreadable > 0 ? "LOST: " : "") + counts);
}
