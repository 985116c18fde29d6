#pragma once
/// @file Bytes that start at a chosen distance from an aligned address.

#include <cstdint>
#include <cstring>
#include <string_view>
#include <vector>

namespace madderdeck::tests {

class shifted_bytes {
 public:
  /// Copies @p bytes to @p offset bytes after an address that is aligned for every scalar.
  shifted_bytes(const std::vector<std::uint8_t>& bytes, std::size_t offset)
      : words_((offset + bytes.size()) / sizeof(std::uint64_t) + 1), offset_(offset), size_(bytes.size()) {
    std::memcpy(reinterpret_cast<char*>(words_.data()) + offset, bytes.data(), bytes.size());
  }

  std::string_view view() const { return {reinterpret_cast<const char*>(words_.data()) + offset_, size_}; }

 private:
  std::vector<std::uint64_t> words_;
  std::size_t offset_;
  std::size_t size_;
};

}  // namespace madderdeck::tests
