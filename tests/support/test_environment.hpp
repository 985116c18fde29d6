#pragma once
/// @file Environment for tests: virtual time, recorded messages.

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

#include "common/environment.hpp"
#include "simulation/world.hpp"

namespace madderdeck::tests {

/// A message that code under test has sent.
struct SentMessage {
  PeerAddress to;
  wire::MessageUnion body;
};

class TestEnvironment : public Environment {
 public:
  explicit TestEnvironment(std::uint64_t seed = 1) : world(seed) {}
  Timestamp now() const override { return world.now(); }
  std::uint64_t unix_milliseconds() const override { return static_cast<std::uint64_t>(world.now() / 1ms); }
  std::uint64_t random() override { return world.random.next(); }
  void send(const PeerAddress& to, wire::MessageUnion message) override { sent.push_back({to, std::move(message)}); }
  void after(Duration delay, std::function<void()> task) override {
    world.schedule(delay, [this, task = std::move(task)] { run_when_awake(task); });
  }
  /// The process stands still for @p length: what falls due meanwhile runs after it, in its order.
  void stand_still(Duration length) { awake_at_ = now() + length; }

  /// @return how many of the recorded messages are of @p type.
  std::size_t sent_of(wire::Message type) const {
    const auto is_of_type = [type](const SentMessage& message) { return message.body.type == type; };
    return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), is_of_type));
  }

  simulation::World world;
  std::vector<SentMessage> sent;

 private:
  void run_when_awake(const std::function<void()>& task) {
    if (now() < awake_at_) {
      world.schedule(awake_at_ - now(), task);
    } else {
      task();
    }
  }

  Timestamp awake_at_{};
};

}  // namespace madderdeck::tests
