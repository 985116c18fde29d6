#pragma once
/// @file What decision logic may ask of its surroundings. The daemon implements it with
/// Boost.Asio, the simulation with virtual time and a seeded network.

#include <chrono>
#include <cstdint>
#include <functional>

#include "common/strong_id.hpp"
#include "wire/messages_generated.h"

namespace madderdeck {

using Duration = std::chrono::microseconds;
/// Monotonic time since an arbitrary origin.
using Timestamp = std::chrono::microseconds;

using namespace std::chrono_literals;

/// Clock, randomness, timers and outgoing messages.
/// Not thread safe: decision logic of one node runs on one thread.
class Environment {
 public:
  virtual ~Environment() = default;

  /// @return monotonic time. It keeps running while the process is frozen and while the machine is suspended.
  virtual Timestamp now() const = 0;
  /// @return milliseconds since the Unix epoch, for deadlines that callers state.
  virtual std::uint64_t unix_milliseconds() const = 0;
  /// @return 64 random bits.
  virtual std::uint64_t random() = 0;
  /// Sends @p message to a peer. Messages may be lost, repeated, delayed and reordered; one that cannot be sent within
  /// some seconds may be dropped.
  virtual void send(const PeerAddress& to, wire::MessageUnion message) = 0;
  /// As send(), but @p message has no use for the peer after @p useful_for: it may be dropped then unsent.
  virtual void send_within(Duration useful_for, const PeerAddress& to, wire::MessageUnion message) {
    static_cast<void>(useful_for);
    send(to, std::move(message));
  }
  /// Runs @p task once, @p delay from now.
  virtual void after(Duration delay, std::function<void()> task) = 0;
};

/// Wraps a typed message and sends it.
template <class MessageTable>
void send_message(Environment& environment, const PeerAddress& to, MessageTable message) {
  wire::MessageUnion body;
  body.Set(std::move(message));
  environment.send(to, std::move(body));
}

/// Wraps a typed message and sends it while it is useful.
template <class MessageTable>
void send_message_within(Duration useful_for, Environment& environment, const PeerAddress& to, MessageTable message) {
  wire::MessageUnion body;
  body.Set(std::move(message));
  environment.send_within(useful_for, to, std::move(body));
}

/// Lets timers and late callbacks find out that their owner is gone.
class Lifetime {
 public:
  /// @return a task that runs @p task only while this object lives.
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
