#pragma once
/// @file Encoding of messages and durable records with FlatBuffers, with verification.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.hpp"
#include "common/strong_id.hpp"
#include "wire/aligned_bytes.hpp"
#include "wire/messages_generated.h"

namespace madderdeck::wire {

using Bytes = std::vector<std::uint8_t>;

/// One message together with the peer address of its sender.
struct Incoming {
  PeerAddress sender;
  MessageUnion body;
};

/// @return the encoded frame holding @p messages, all from @p sender.
Bytes encode_frame(const PeerAddress& sender, const std::vector<MessageUnion>& messages);

/// @return total bytes of the values, bodies and texts in @p message that may be long; all other fields are small.
std::size_t payload_bytes(const MessageUnion& message);

/// Verifies and decodes a frame, which may start at any address.
/// @return the messages, or ErrorKind::corrupted if the bytes are not a valid frame.
Result<std::vector<Incoming>> decode_frame(std::string_view bytes);

/// Encodes one table, for durable records.
template <class NativeTable>
Bytes encode_record(const NativeTable& record) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(NativeTable::TableType::Pack(builder, &record));
  return Bytes(builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize());
}

/// Verifies and decodes one table, whose bytes may start at any address.
/// @return nothing if the bytes are not a valid table of that type.
template <class NativeTable, class Container>
std::optional<NativeTable> decode_record(const Container& bytes) {
  const aligned_bytes aligned({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  const auto* table = verified_root<typename NativeTable::TableType>(aligned);
  if (table == nullptr) {
    return std::nullopt;
  }
  NativeTable record;
  table->UnPackTo(&record);
  return record;
}

}  // namespace madderdeck::wire
