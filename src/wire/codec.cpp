#include "wire/codec.hpp"

namespace madderdeck::wire {
namespace {
std::size_t value_bytes(const std::vector<std::unique_ptr<LedgerRecordT>>& records) {
  std::size_t bytes = 0;
  for (const auto& record : records) {
    bytes += record->key.size() + record->value.size();
  }
  return bytes;
}

std::size_t item_bytes(const GiveItemsT& message) {
  std::size_t bytes = 0;
  for (const auto& item : message.items) {
    bytes += item->body.size() + item->partial.size();
  }
  return bytes;
}

std::size_t entry_bytes(const TableDeltaT& message) {
  std::size_t bytes = 0;
  for (const auto& entry : message.entries) {
    bytes += entry->name.size() + entry->body.size();
  }
  return bytes;
}
}  // namespace

std::size_t payload_bytes(const MessageUnion& message) {
  switch (message.type) {
    case Message::Accept:
      return message.AsAccept()->value.size();
    case Message::Promise:
      return message.AsPromise()->value.size();
    case Message::ScanReply:
      return value_bytes(message.AsScanReply()->records);
    case Message::CopyReply:
      return value_bytes(message.AsCopyReply()->records);
    case Message::GiveItems:
      return item_bytes(*message.AsGiveItems());
    case Message::ItemSettled:
      return message.AsItemSettled()->partial.size();
    case Message::TableDelta:
      return entry_bytes(*message.AsTableDelta());
    default:
      return 0;
  }
}

Bytes encode_frame(const PeerAddress& sender, const std::vector<MessageUnion>& messages) {
  flatbuffers::FlatBufferBuilder builder(1024);
  std::vector<flatbuffers::Offset<Envelope>> envelopes;
  envelopes.reserve(messages.size());
  for (const MessageUnion& message : messages) {
    const auto sender_name = builder.CreateString(sender.str());
    const auto body = message.Pack(builder);
    envelopes.push_back(CreateEnvelope(builder, sender_name, message.type, body));
  }
  builder.Finish(CreateFrame(builder, builder.CreateVector(envelopes)));
  return Bytes(builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize());
}

Result<std::vector<Incoming>> decode_frame(std::string_view bytes) {
  const aligned_bytes aligned(bytes);
  const auto* frame = verified_root<Frame>(aligned);
  if (frame == nullptr) {
    return Error{ErrorKind::corrupted, "not a valid frame"};
  }
  std::vector<Incoming> messages;
  const auto* envelopes = frame->envelopes();
  if (envelopes == nullptr) {
    return messages;
  }
  for (const Envelope* envelope : *envelopes) {
    if (envelope->sender() == nullptr || envelope->body() == nullptr) {
      return Error{ErrorKind::corrupted, "envelope without sender or body"};
    }
    Incoming incoming;
    incoming.sender = PeerAddress(envelope->sender()->str());
    incoming.body.type = envelope->body_type();
    incoming.body.value = MessageUnion::UnPack(envelope->body(), envelope->body_type(), nullptr);
    messages.push_back(std::move(incoming));
  }
  return messages;
}

}  // namespace madderdeck::wire
