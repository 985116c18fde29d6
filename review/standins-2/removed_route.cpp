/// @file Case 7. A batch job holds requests with the path of a live route. The operator removes that route, and keeps
/// the route of the batch job.

#include "fleet.hpp"

namespace {

using namespace review;

constexpr char kHost[] = "jobs.example";
constexpr unsigned kItems = 120;
constexpr unsigned kEvents = 40;
constexpr int kEventMs = 50;
constexpr unsigned kMaxAttempts = 3;
constexpr int kRemovedAfterMs = 2'000;  ///< From the 202.

json::object route(const char* name, const char* prefix, const char* type) {
  return json::object{{"name", name},     {"host", kHost},   {"path_prefix", prefix},
                      {"type", type},     {"service", "lm"}, {"timeout_ms", 25000},
                      {"target_ms", 400}, {"priority", 1},   {"max_attempts", kMaxAttempts}};
}

json::object configuration(unsigned version, bool with_chat) {
  json::object bulk = route("r-rebook", "/rebook/", "bulk");
  bulk["run_target_ms"] = 20000;
  bulk["keep_s"] = 60;
  json::array routes{std::move(bulk)};
  if (with_chat) {
    json::object chat = route("r-chat", "/chat/", "streaming");
    chat["gap_target_ms"] = 500;
    chat["resumable"] = true;
    routes.push_back(std::move(chat));
  }
  return json::object{
      {"version", version},
      {"routes", std::move(routes)},
      {"services", json::array{json::object{{"name", "lm"}, {"health_path", "/healthz"}, {"max_conns", 200}}}},
      {"limits", json::object{{"max_header_bytes", 16384},
                              {"max_body_bytes", 4194304},
                              {"header_timeout_ms", 3000},
                              {"idle_timeout_ms", 15000}}}};
}

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
        {"path", "/chat/" + std::to_string(number % 16)},
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
  if (!fleet.start()) {
    finish(fleet, kCouldNotRun, "an address is taken");
  }
  const Engine::Work work = [](const Run& run, Connection& connection, const Headers& headers) {
    const bool whole = write_stream(run, connection, headers, kEvents, kEventMs);
    note("engine %s: item %s after event %u, %s", run.engine.c_str(), run.id.c_str(), run.resume_after,
         whole ? "whole" : "its caller left");
  };
  std::vector<std::unique_ptr<Engine>> engines;
  for (int number = 0; number < 3; ++number) {
    engines.push_back(std::make_unique<Engine>(fleet.store(), fleet.ip(110, number + 1), Fleet::kEnginePort, "lm",
                                               Fleet::zone(number), 12, true, work));
    if (!engines.back()->start()) {
      finish(fleet, kCouldNotRun, "an address is taken");
    }
  }
  fleet.store().put("config", "main", configuration(3, true));
  if (!fleet.await_ready(25'000)) {
    finish(fleet, kCouldNotRun, "the fleet is not ready");
  }
  pause(5'000);
  Job job;
  if (!submit(fleet, job)) {
    finish(fleet, kCouldNotRun, "the batch job was not accepted");
  }
  pause(kRemovedAfterMs);
  if (script.trouble) {
    fleet.store().put("config", "main", configuration(4, false));
    note("the operator removes the route /chat/ (version 4); /rebook/ stays");
  }
  const auto until = Clock::now() + std::chrono::seconds(35);
  for (unsigned round = 0; job.results.size() < kItems && Clock::now() < until; ++round) {
    read_results(*fleet.gateways()[round % 3], job);
    pause(500);
  }
  unsigned dead = 0;
  unsigned wrong_text = 0;
  for (const std::string& id : job.items) {
    const auto found = job.results.find(id);
    if (found == job.results.end()) {
      note("item %s: not listed", id.c_str());
      continue;
    }
    const bool completed = found->second.at("state").as_string() == "completed";
    const std::string message(found->second.at("message").as_string());
    dead += completed ? 0 : 1;
    wrong_text += completed && message != whole_text(id, kEvents) ? 1 : 0;
    if (!completed) {
      note("item %s: dead_letter, \"%s\"", id.c_str(), message.c_str());
    }
  }
  const std::string counts = std::to_string(job.results.size()) + " of " + std::to_string(kItems) + " items listed, " +
                             std::to_string(dead) +
                             " as dead_letter (no engine answered 422 or 500, and keep_s is not over), " +
                             std::to_string(wrong_text) + " with another text";
  if (dead + wrong_text > 0) {
    finish(fleet, kBroken, "MIXED: " + counts);
  }
  finish(fleet, job.results.size() == kItems ? kHeld : kCouldNotRun, counts);
}
