#pragma once
/// @file Virtual time, seeded randomness and the trace of one simulation.

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>

#include "common/environment.hpp"
#include "common/hash.hpp"

namespace madderdeck::simulation {

/// Small generator whose sequence is the same on every machine (splitmix64).
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next();
  /// @return a number below @p bound; 0 for a bound of 0.
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }
  bool chance(unsigned percent) { return below(100) < percent; }

 private:
  std::uint64_t state_;
};

/// Events in virtual time. Single threaded.
class World {
 public:
  explicit World(std::uint64_t seed) : random(seed) {}

  Timestamp now() const { return now_; }
  void schedule(Duration delay, std::function<void()> event);
  void run_for(Duration length);
  /// Adds a fact to the trace.
  void trace(std::string_view fact) {
    trace_hash_ = stable_hash(fact, trace_hash_ ^ static_cast<std::uint64_t>(now_.count()));
  }
  std::uint64_t trace_hash() const { return trace_hash_; }

  Random random;

 private:
  struct Due {
    Timestamp at{};
    std::uint64_t sequence = 0;
    auto operator<=>(const Due&) const = default;
  };
  Timestamp now_{1'000'000};
  std::uint64_t sequence_ = 0;
  std::uint64_t trace_hash_ = 0;
  std::map<Due, std::function<void()>> events_;
};

/// A process of the simulated fleet: it can crash, restart and freeze. What is meant for it
/// while it is frozen happens when it wakes; what is meant for an earlier life never happens.
class SimProcess {
 public:
  explicit SimProcess(World& world) : world_(world) {}

  bool up() const { return up_; }
  bool frozen() const { return frozen_; }
  std::uint64_t life() const { return life_; }
  void start() { up_ = true; }
  void crash();
  void freeze();
  void thaw();
  /// @return a moment at which what the process does now had surely not begun, if it takes at most @p longest while the
  ///         process is not frozen.
  Timestamp begun_since(Duration longest) const;
  /// Runs @p event now, at the thaw, or never.
  void deliver(std::uint64_t life, std::function<void()> event);
  /// Schedules @p event for this process's present life.
  void schedule(Duration delay, std::function<void()> event);

 private:
  World& world_;
  bool up_ = false;
  bool frozen_ = false;
  std::uint64_t life_ = 1;
  Timestamp froze_at_{};
  Timestamp thawed_at_{};
  std::vector<std::function<void()>> backlog_;
};

}  // namespace madderdeck::simulation
