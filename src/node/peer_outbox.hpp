#pragma once
/// @file Messages that wait to be sent to one peer. No I/O.

#include <array>
#include <cstddef>
#include <deque>
#include <vector>

#include "common/environment.hpp"
#include "wire/codec.hpp"

namespace madderdeck::node {

/// Messages of a lane are sent in frames, one frame at a time; the lanes do not wait for each other.
enum class peer_lane : std::size_t {
  prompt,  ///< Short messages: most questions, votes and notices.
  bulk,    ///< Messages with long values.
};
inline constexpr std::size_t kPeerLanes = 2;

/// Bounds on what waits.
struct outbox_limits {
  std::size_t bulk_from_bytes = 16 << 10;  ///< Payload from which a message takes the bulk lane.
  std::size_t frame_messages = 256;        ///< Messages of one frame.
  std::size_t frame_bytes = 256 << 10;     ///< Payload of one frame that holds more than one message.
  std::size_t waiting_messages = 20'000;   ///< Of one lane; the oldest go first.
  std::size_t waiting_bytes = 48 << 20;    ///< Payload of one lane; the oldest go first.
  Duration useful_for = 5s;  ///< A message that waited longer is dropped: its sender has asked again or given up.
};

/// What one peer has not been sent yet. Single threaded.
class peer_outbox {
 public:
  explicit peer_outbox(outbox_limits limits = {}) : limits_(limits) {}

  /// @param useful_until after which @p message is not worth sending.
  /// @return the lane that it waits in.
  peer_lane add(wire::MessageUnion message, Timestamp now, Timestamp useful_until);
  /// @return the oldest messages of @p lane that fit one frame, at least one where any is still useful.
  std::vector<wire::MessageUnion> next_frame(peer_lane lane, Timestamp now);
  /// @return messages that were dropped since the last call: they were too many, or had waited for too long.
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
