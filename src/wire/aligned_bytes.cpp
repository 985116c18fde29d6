#include "wire/aligned_bytes.hpp"

#include <cstring>

namespace madderdeck::wire {

aligned_bytes::aligned_bytes(std::string_view bytes)
    : data_(reinterpret_cast<const std::uint8_t*>(bytes.data())), size_(bytes.size()) {
  if (reinterpret_cast<std::uintptr_t>(data_) % kAlignment == 0) {
    return;
  }
  copy_ = std::make_unique_for_overwrite<std::uint64_t[]>((size_ + kAlignment - 1) / kAlignment);
  std::memcpy(copy_.get(), bytes.data(), size_);
  data_ = reinterpret_cast<const std::uint8_t*>(copy_.get());
}

}  // namespace madderdeck::wire
