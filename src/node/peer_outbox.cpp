#include "node/peer_outbox.hpp"

#include <algorithm>

namespace madderdeck::node {

peer_lane peer_outbox::add(wire::MessageUnion message, Timestamp now, Timestamp useful_until) {
  const std::size_t bytes = wire::payload_bytes(message);
  const peer_lane lane = bytes >= limits_.bulk_from_bytes ? peer_lane::bulk : peer_lane::prompt;
  queue& target = queue_of(lane);
  target.messages.push_back({std::move(message), bytes, std::min(useful_until, now + limits_.useful_for)});
  target.bytes += bytes;
  const auto overfull = [&] {
    return target.messages.size() > limits_.waiting_messages || target.bytes > limits_.waiting_bytes;
  };
  while (overfull() && target.messages.size() > 1) {
    drop_oldest(target);
  }
  return lane;
}

std::vector<wire::MessageUnion> peer_outbox::next_frame(peer_lane lane, Timestamp now) {
  queue& source = queue_of(lane);
  std::vector<wire::MessageUnion> frame;
  std::size_t bytes = 0;
  while (!source.messages.empty() && frame.size() < limits_.frame_messages) {
    waiting_message& oldest = source.messages.front();
    if (oldest.useful_until < now) {
      drop_oldest(source);
      continue;
    }
    // Frames are bounded because a lost frame loses all its messages, and the peer can use none of them before the
    // entire frame has arrived.
    if (!frame.empty() && bytes + oldest.bytes > limits_.frame_bytes) {
      break;
    }
    bytes += oldest.bytes;
    source.bytes -= oldest.bytes;
    frame.push_back(std::move(oldest.body));
    source.messages.pop_front();
  }
  return frame;
}

std::size_t peer_outbox::waiting_bytes() const {
  std::size_t bytes = 0;
  for (const queue& lane : queues_) {
    bytes += lane.bytes;
  }
  return bytes;
}

std::size_t peer_outbox::take_dropped() {
  const std::size_t dropped = dropped_;
  dropped_ = 0;
  return dropped;
}

void peer_outbox::drop_oldest(queue& from) {
  from.bytes -= from.messages.front().bytes;
  from.messages.pop_front();
  ++dropped_;
}

}  // namespace madderdeck::node
