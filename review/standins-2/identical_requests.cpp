/// @file Case 6. All engines of a small service crash once while clients send the same lookup. They come back after
/// three seconds.

#include "fleet.hpp"

namespace {

using namespace review;

constexpr char kHost[] = "clinic.example";
constexpr int kEngines = 3;  ///< Of the application service: slot-api, turnkeeper and stock-app have three, too.
constexpr int kSlots = 6;
constexpr int kWorkMs = 60;
constexpr int kLookupsPerSecond = 150;  ///< Half of what the engines can do.
constexpr int kChatsPerSecond = 150;
constexpr unsigned kChatEvents = 6;
constexpr int kChatEventMs = 15;
constexpr int kCrashAfterMs = 6'000;  ///< From the start of the traffic.
constexpr int kAwayMs = 3'000;
constexpr int kTrafficMs = 62'000;
constexpr int kRecoverMs = 12'000;  ///< bounds.recover_s

const json::object kConfiguration{
    {"version", 3},
    {"routes", json::array{json::object{{"name", "r-slots"},
                                        {"host", kHost},
                                        {"path_prefix", "/slots/"},
                                        {"type", "safe"},
                                        {"service", "slot-api"},
                                        {"timeout_ms", 4000},
                                        {"target_ms", 300},
                                        {"max_attempts", 3},
                                        {"priority", 0}},
                           json::object{{"name", "r-chat"},
                                        {"host", kHost},
                                        {"path_prefix", "/chat/"},
                                        {"type", "streaming"},
                                        {"service", "lm"},
                                        {"timeout_ms", 8000},
                                        {"target_ms", 300},
                                        {"gap_target_ms", 500},
                                        {"resumable", false},
                                        {"sticky", true},
                                        {"max_attempts", 1},
                                        {"priority", 0}}}},
    {"services", json::array{json::object{{"name", "slot-api"}, {"health_path", "/healthz"}, {"max_conns", 100}},
                             json::object{{"name", "lm"}, {"health_path", "/healthz"}, {"max_conns", 200}}}},
    {"limits", json::object{{"max_header_bytes", 16384},
                            {"max_body_bytes", 4194304},
                            {"header_timeout_ms", 3000},
                            {"idle_timeout_ms", 15000}}}};

/// What became of the requests of one kind.
struct Tally {
  std::atomic<unsigned> asked = 0;
  std::atomic<unsigned> served = 0;
  std::atomic<unsigned> late_asked = 0;  ///< Sent later than recover_s after the engines are back.
  std::atomic<unsigned> late_served = 0;
  std::mutex mutex;
  std::map<int, std::map<int, unsigned>> statuses;  ///< By second, of first answers.

  double share() const { return asked == 0 ? 0 : static_cast<double>(served) / asked; }
};

}  // namespace

int main(int argument_count, char** arguments) {
  const Script script(argument_count, arguments);
  Fleet fleet;
  if (!fleet.start()) {
    finish(fleet, kCouldNotRun, "an address is taken");
  }
  const Engine::Work look_up = [](const Run&, Connection& connection, const Headers& headers) {
    pause(kWorkMs);
    connection.respond(200, headers, std::string(800, 'x'), "text/plain");
  };
  const Engine::Work chat = [](const Run& run, Connection& connection, const Headers& headers) {
    write_stream(run, connection, headers, kChatEvents, kChatEventMs);
  };
  std::vector<std::unique_ptr<Engine>> engines;
  for (int number = 0; number < 2 * kEngines; ++number) {
    const bool application = number < kEngines;
    engines.push_back(std::make_unique<Engine>(fleet.store(), fleet.ip(110, number + 1), Fleet::kEnginePort,
                                               application ? "slot-api" : "lm", Fleet::zone(number),
                                               application ? kSlots : 12, !application, application ? look_up : chat));
    if (!engines.back()->start()) {
      finish(fleet, kCouldNotRun, "an address is taken");
    }
  }
  fleet.store().put("config", "main", kConfiguration);
  if (!fleet.await_ready(25'000)) {
    finish(fleet, kCouldNotRun, "the fleet is not ready");
  }
  pause(4'000);

  const std::vector<Node*> gateways = fleet.gateways();
  const auto begun = Clock::now();
  const auto since = [begun] { return std::chrono::duration_cast<milliseconds>(Clock::now() - begun).count(); };
  const long calm_from = kCrashAfterMs + kAwayMs + kRecoverMs;
  Tally lookups;
  Tally chats;
  // A request: an attempt, and one more at another node after a failure.
  const auto ask = [&](bool lookup, unsigned number) {
    Tally& tally = lookup ? lookups : chats;
    const long sent = since();
    ++tally.asked;
    tally.late_asked += sent > calm_from ? 1 : 0;
    bool served = false;
    for (unsigned attempt = 0; attempt < 2 && !served; ++attempt) {
      const Node& gateway = *gateways[(number + attempt) % gateways.size()];
      const std::string id = new_id();
      const Headers headers = lookup
                                  ? Headers{{"Host", kHost},
                                            {"X-Madderdeck-Request-Id", id},
                                            {"X-Madderdeck-Deadline-Ms", "4000"},
                                            {"Connection", "close"}}
                                  : Headers{{"Host", kHost},
                                            {"X-Madderdeck-Request-Id", id},
                                            {"X-Madderdeck-Model-Name", "m"},
                                            {"X-Madderdeck-Token-Usage", "715,80"},
                                            {"X-Madderdeck-Prompt-Prefix", "5c1e07a2:172," + id.substr(0, 8) + ":543"},
                                            {"X-Madderdeck-Deadline-Ms", "8000"},
                                            {"Connection", "close"}};
      const Answer answer =
          lookup ? call(gateway.ip, Fleet::kFrontPort, "GET", "/slots/free", headers, "", 4'000)
                 : call(gateway.ip, Fleet::kFrontPort, "POST", "/chat/2f", headers, "prompt " + id, 8'000);
      served = answer.status == 200 && answer.whole && !header(answer.headers, "X-Madderdeck-Response-Stamp").empty();
      if (attempt == 0) {
        const std::lock_guard<std::mutex> lock(tally.mutex);
        ++tally.statuses[static_cast<int>(sent / 1000)][answer.status];
      }
    }
    tally.served += served ? 1 : 0;
    tally.late_served += served && sent > calm_from ? 1 : 0;
  };
  std::atomic<unsigned> numbers = 0;
  std::vector<std::thread> clients;
  const auto add_clients = [&](bool lookup, int per_second, int count) {
    for (int number = 0; number < count; ++number) {
      clients.emplace_back([&, lookup, per_second, count, number] {
        const auto period = std::chrono::microseconds(1'000'000L * count / per_second);
        auto next = begun + period * number / count;
        while (since() < kTrafficMs) {
          std::this_thread::sleep_until(next);
          next = std::max(next + period, Clock::now());
          ask(lookup, ++numbers);
        }
      });
    }
  };
  add_clients(true, kLookupsPerSecond, 60);
  add_clients(false, kChatsPerSecond, 50);
  std::this_thread::sleep_until(begun + milliseconds(kCrashAfterMs));
  if (script.trouble) {
    for (int number = 0; number < kEngines; ++number) {
      engines[static_cast<std::size_t>(number)]->crash();
    }
    pause(kAwayMs);
    for (int number = 0; number < kEngines; ++number) {
      engines[static_cast<std::size_t>(number)]->start();
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  for (const auto* tally : {&lookups, &chats}) {
    for (const auto& [second, statuses] : tally->statuses) {
      std::string line;
      for (const auto& [status, count] : statuses) {
        line += " " + std::to_string(count) + " x " + std::to_string(status);
      }
      note("%s sent in second %d, first answers:%s", tally == &lookups ? "lookups" : "chats", second, line.c_str());
    }
  }
  const double all = static_cast<double>(lookups.served + chats.served) / (lookups.asked + chats.asked);
  char counts[300];
  std::snprintf(
      counts, sizeof counts,
      "lookups served %u of %u (%.3f), chats %u of %u (%.3f), all %.3f; lookups sent over %d s after the engines "
      "are back: %u of %u",
      lookups.served.load(), lookups.asked.load(), lookups.share(), chats.served.load(), chats.asked.load(),
      chats.share(), all, kRecoverMs / 1000, lookups.late_served.load(), lookups.late_asked.load());
  const bool starved = lookups.share() < 0.25 * all;
  finish(fleet, starved ? kBroken : kHeld, (starved ? "Starved: " : "") + std::string(counts));
}
