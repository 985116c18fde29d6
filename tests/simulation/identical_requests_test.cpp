// Symptom: a sound request is refused at all nodes for good. Sequence: many callers send it alike, so that it runs on
// all engines all the time; all of these crash at once, and the request has as many ends as a fatal one.
#include <catch2/catch.hpp>

#include "simulation/callers.hpp"

using namespace madderdeck;
using namespace madderdeck::simulation;

namespace {

constexpr Duration kWithin = 3s;  ///< From an engine's return until the request is served again.

/// How engines crash.
enum class crash { all_at_once, half, one_after_the_other };

struct situation {
  std::uint64_t seed = 1;
  unsigned per_second = 15;
  unsigned engines = 3;
  crash how = crash::all_at_once;
  Duration away = 3s;
  unsigned times = 1;
  bool becomes_fatal = false;  ///< The request ends engines once the fleet's fatal requests are sound no more.
};

/// A fleet at whose nodes many callers send the same request.
class identical_requests {
 public:
  explicit identical_requests(const situation& chosen, const node::Guards& guards = node::Guards())
      : chosen_(chosen),
        world(chosen.seed),
        fleet(world, oracle, site(chosen.engines), guards),
        callers(world, fleet, oracle, site(chosen.engines)) {
    world.run_for(10s);
  }
  void send_for(Duration length) {
    const Duration pause = Duration(1s) / static_cast<int>(chosen_.per_second);
    for (Duration passed{}; passed < length; passed += pause) {
      send(chosen_.becomes_fatal ? std::string(kFatalRequest) : kBody);
      world.run_for(pause);
    }
  }
  void crash_engines() {
    const unsigned count = chosen_.how == crash::half ? (chosen_.engines + 1) / 2 : chosen_.engines;
    for (unsigned engine = 0; engine < count; ++engine) {
      fleet.crash_engine(engine);
      SimProcess& process = fleet.engines[engine]->process;
      world.schedule(chosen_.away, [this, &process] {
        process.start();
        returned_at = std::min(returned_at, world.now());
      });
      if (chosen_.how == crash::one_after_the_other) {
        send_for(300ms);
      }
    }
  }
  /// @return the share of the requests sent later than kWithin after the first return that were served.
  double served_after_return() const {
    return sent_late == 0 ? 0 : static_cast<double>(served_late) / static_cast<double>(sent_late);
  }

  static inline const std::string kBody = "the same lookup";
  Timestamp returned_at = Timestamp::max();
  unsigned sent_late = 0;
  unsigned served_late = 0;
  std::uint64_t held_back = 0;

 private:
  static Profile site(unsigned engines) {
    Profile profile = *find_profile("ravelin");
    profile.engines = engines;
    profile.engine_slots = 64;
    return profile;
  }
  void send(const std::string& body) {
    const auto node = fleet.pick_running(static_cast<std::uint32_t>(world.random.next()));
    if (!node) {
      return;
    }
    auto request = std::make_shared<forwarding::ForwardedRequest>();
    request->id = "lookup " + std::to_string(++number_);
    request->method = "GET";
    request->target = "/slots/today";
    request->body = body;
    auto route = std::make_shared<forwarding::Route>();
    route->name = "lookups";
    route->kind = forwarding::RouteKind::stream;
    route->pools = {{"model", 1}};
    route->timeout_ms = 4'000;
    route->max_attempts = 3;
    route->resumable = true;
    const bool late = returned_at != Timestamp::max() && world.now() > returned_at + kWithin;
    sent_late += late ? 1 : 0;
    forwarding::ForwardEvents events;
    events.head = [](const forwarding::AnswerHead&, const std::optional<std::string>&) {};
    events.piece = [](std::string_view) {};
    events.finished = [this, late] { served_late += late ? 1 : 0; };
    events.broken = [] {};
    events.refused = [this](const routing::Refusal& refusal) {
      held_back += refusal.error.kind == ErrorKind::quarantined ? 1 : 0;
    };
    fleet.core(*node).forwarder->start(std::move(request), std::move(route), std::move(events));
  }

  const situation chosen_;
  std::uint64_t number_ = 0;

 public:
  Oracle oracle;
  World world;
  SimFleet fleet;
  Callers callers;
};

std::string name_of(const situation& chosen) {
  return "seed " + std::to_string(chosen.seed) + ", " + std::to_string(chosen.per_second) + " a second, " +
         std::to_string(chosen.engines) + " engines, crash " + std::to_string(static_cast<int>(chosen.how)) + " x " +
         std::to_string(chosen.times) + ", away " + std::to_string(chosen.away / 1ms) + " ms";
}

double served(const situation& chosen) {
  identical_requests fixture(chosen);
  fixture.send_for(2s);
  for (unsigned time = 0; time < chosen.times; ++time) {
    fixture.returned_at = Timestamp::max();
    fixture.crash_engines();
    fixture.send_for(chosen.away + kWithin + 4s);
    fixture.returned_at = Timestamp::max();
    fixture.send_for(1s);  // not judged: the next crash cuts these off
  }
  fixture.world.run_for(2s);
  return fixture.served_after_return();
}

}  // namespace

TEST_CASE("a sound request that many callers send is refused for good after its engines crashed") {
  for (const unsigned per_second : {15U, 60U, 300U}) {
    for (const unsigned engines : {1U, 3U, 8U}) {
      for (const crash how : {crash::all_at_once, crash::half, crash::one_after_the_other}) {
        for (const Duration away : {500ms, 3000ms}) {
          const situation chosen{per_second + engines, per_second, engines, how, away, 2};
          INFO(name_of(chosen));
          CHECK(served(chosen) >= 0.98);
        }
      }
    }
  }
}

namespace {

constexpr Duration kSound = 5s;
constexpr Duration kFatal = 60s;

/// @return the engines that end under a request which ended well before.
unsigned ends_once_fatal(situation chosen, bool with_trials) {
  chosen.becomes_fatal = true;
  node::Guards guards;
  guards.quarantine.try_requests = with_trials;
  identical_requests fixture(chosen, guards);
  fixture.fleet.fatal_requests_are_sound = true;
  fixture.send_for(kSound);
  fixture.fleet.fatal_requests_are_sound = false;
  fixture.send_for(kFatal);
  unsigned ends = 0;
  for (const auto& [body, request] : fixture.oracle.fatal_requests()) {
    ends += request.ends;
  }
  return ends;
}

}  // namespace

// Guards against trials that cost engines: a request that ended well before may be fatal from a release on.
TEST_CASE("a request that is fatal from a moment on ends more engines than without trials") {
  for (const unsigned per_second : {15U, 60U}) {
    for (const unsigned engines : {3U, 8U}) {
      for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const situation chosen{seed, per_second, engines};
        INFO(name_of(chosen));
        CHECK(ends_once_fatal(chosen, true) <= ends_once_fatal(chosen, false));
      }
    }
  }
}
