#pragma once
/// @file Queue of messages to one peer. Does no I/O.

#include <array>
#include <cstddef>
#include <deque>
#include <vector>

#include "common/environment.hpp"
#include "wire/codec.hpp"

namespace madderdeck::node {

/// Each lane sends its messages in frames, one frame at a time, independently of the other lane.
enum class peer_lane : std::size_t {
  prompt,  ///< Short messages: most requests, votes and notices.
  bulk,    ///< Messages with long values.
};
inline constexpr std::size_t kPeerLanes = 2;

/// Limits of a peer's queue.
struct outbox_limits {
  std::size_t bulk_from_bytes = 16 << 10;  ///< Payload from which a message uses the bulk lane.
  std::size_t frame_messages = 256;        ///< Messages in one frame.
  std::size_t frame_bytes = 256 << 10;     ///< Payload of a frame with more than one message.
  std::size_t waiting_messages = 20'000;   ///< Messages per lane; the oldest are dropped first.
  std::size_t waiting_bytes = 48 << 20;    ///< Payload per lane; the oldest messages are dropped first.
  Duration useful_for = 5s;  ///< A message that waited longer is dropped: its sender has retried or given up.
};

/// Messages that have not been sent to one peer yet. Single threaded.
class peer_outbox {
 public:
  explicit peer_outbox(outbox_limits limits = {}) : limits_(limits) {}

  /// @param useful_until time after which @p message is dropped unsent.
  /// @return the lane to which @p message was added.
  peer_lane add(wire::MessageUnion message, Timestamp now, Timestamp useful_until);
  /// @return the oldest messages of @p lane that fit into one frame; at least one if any message is still useful.
  std::vector<wire::MessageUnion> next_frame(peer_lane lane, Timestamp now);
  /// @return the payload of all messages that wait, in bytes.
  std::size_t waiting_bytes() const;
  /// @return the number of messages dropped since the last call because of the limits or because they waited too long.
  std::size_t take_dropped();

 private:
  struct waiting_message {
    wire::MessageUnion body;
    std::size_t bytes = 0;
    Timestamp useful_until{};
  };
  struct queue {
    std::deque<waiting_message> messages;
    std::size_t bytes = 0;
  };

  void drop_oldest(queue& from);
  queue& queue_of(peer_lane lane) { return queues_.at(static_cast<std::size_t>(lane)); }

  const outbox_limits limits_;
  std::array<queue, kPeerLanes> queues_;
  std::size_t dropped_ = 0;
};

}  // namespace madderdeck::node
