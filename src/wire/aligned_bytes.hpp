#pragma once
/// @file Encoded bytes at an address from which FlatBuffers may read them in place.

#include <cstdint>
#include <memory>
#include <string_view>

#include "wire/messages_generated.h"

namespace madderdeck::wire {

/// Encoded bytes, aligned for each kind of field. FlatBuffers reads fields in place, each at an address that is a
/// multiple of its size only if the first byte is aligned; any other read is undefined. Values within a page of the
/// database and parts of a received body start at any address.
class aligned_bytes {
 public:
  /// Alignment of the widest field, in bytes.
  static constexpr std::size_t kAlignment = alignof(std::uint64_t);

  /// Refers to @p bytes, which must outlive this, if they are aligned; otherwise copies them.
  explicit aligned_bytes(std::string_view bytes);

  const std::uint8_t* data() const { return data_; }
  std::size_t size() const { return size_; }

 private:
  std::unique_ptr<std::uint64_t[]> copy_;
  const std::uint8_t* data_;
  std::size_t size_;
};

/// Verifies @p bytes. The only way to the tables of encoded bytes: nothing reads them unaligned.
/// @return the root table, valid as long as @p bytes; null if they are not a valid table of that type.
template <class Table>
const Table* verified_root(const aligned_bytes& bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  const bool valid = bytes.size() >= sizeof(flatbuffers::uoffset_t) && verifier.VerifyBuffer<Table>(nullptr);
  return valid ? flatbuffers::GetRoot<Table>(bytes.data()) : nullptr;
}

}  // namespace madderdeck::wire
