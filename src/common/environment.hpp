#pragma once
/// @file Interface between decision logic and its runtime environment. The daemon implements it with
/// Boost.Asio, the simulation with virtual time and a seeded network.

#include <chrono>
#include <cstdint>
#include <functional>

#include "common/strong_id.hpp"
#include "wire/messages_generated.h"

namespace madderdeck {

using Duration = std::chrono::microseconds;
/// Monotonic time since an arbitrary epoch.
using Timestamp = std::chrono::microseconds;

using namespace std::chrono_literals;

/// Clock, randomness, timers and outgoing messages.
/// Not thread safe: decision logic of one node runs on one thread.
class Environment {
 public:
  virtual ~Environment() = default;

  /// @return monotonic time, which also advances while the process is stopped and while the machine is suspended.
  virtual Timestamp now() const = 0;
  /// @return milliseconds since the Unix epoch, for deadlines in callers' requests.
  virtual std::uint64_t unix_milliseconds() const = 0;
  /// @return 64 random bits.
  virtual std::uint64_t random() = 0;
  /// Sends @p message to a peer. Messages may be lost, duplicated, delayed and reordered; a message that cannot be sent
  /// within a few seconds may be dropped.
  virtual void send(const PeerAddress& to, wire::MessageUnion message) = 0;
  /// Like send(), but @p message is useless to the peer after @p useful_for and may be dropped if still unsent then.
  virtual void send_within(Duration useful_for, const PeerAddress& to, wire::MessageUnion message) {
    static_cast<void>(useful_for);
    send(to, std::move(message));
  }
  /// Runs @p task once after @p delay.
  virtual void after(Duration delay, std::function<void()> task) = 0;
};

/// Wraps @p message in a MessageUnion and sends it to @p to.
template <class MessageTable>
void send_message(Environment& environment, const PeerAddress& to, MessageTable message) {
  wire::MessageUnion body;
  body.Set(std::move(message));
  environment.send(to, std::move(body));
}

/// Wraps @p message in a MessageUnion and sends it with Environment::send_within().
template <class MessageTable>
void send_message_within(Duration useful_for, Environment& environment, const PeerAddress& to, MessageTable message) {
  wire::MessageUnion body;
  body.Set(std::move(message));
  environment.send_within(useful_for, to, std::move(body));
}

/// Prevents timers and late callbacks from running after their owner was destroyed.
class Lifetime {
 public:
  /// @return a function that calls @p task only if this object still exists.
  template <class Task>
  auto guard(Task task) const {
    return [alive = std::weak_ptr<char>(alive_), task = std::move(task)](auto&&... arguments) mutable {
      if (!alive.expired()) {
        task(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace madderdeck
