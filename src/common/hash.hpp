#pragma once
/// @file Hashing that is equal on every machine, and rendezvous choice built on it.

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace madderdeck {

/// @return a 64-bit hash of @p text, the same on every machine.
inline std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// @return the rendezvous weight of the pair; the candidate of greatest weight owns the key.
inline std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
  return stable_hash(candidate, stable_hash(key));
}

/// @return sixteen lower-case hexadecimal digits.
std::string hex64(std::uint64_t value);

}  // namespace madderdeck
