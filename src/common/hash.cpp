#include "common/hash.hpp"

namespace madderdeck {

std::string hex64(std::uint64_t value) {
  static constexpr char kDigits[] = "0123456789abcdef";
  constexpr int kNibbles = 16;
  std::string text(kNibbles, '0');
  for (int position = kNibbles - 1; position >= 0; --position) {
    text[static_cast<std::size_t>(position)] = kDigits[value & 0xF];
    value >>= 4;
  }
  return text;
}

}  // namespace madderdeck
