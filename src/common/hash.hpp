#pragma once
/// @file Platform-independent hashing, and rendezvous hashing based on it.

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

/// @return the rendezvous weight of two stable hashes. Callers that rank many keys against many
/// candidates use this overload to compute each hash only once.
inline std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::uint64_t candidate_hash) {
  std::uint64_t mixed = key_hash ^ (candidate_hash * 0x9E3779B97F4A7C15ULL);
  mixed = (mixed ^ (mixed >> 32)) * 0xD6E8FEB86659FD93ULL;
  mixed = (mixed ^ (mixed >> 32)) * 0xD6E8FEB86659FD93ULL;
  return mixed ^ (mixed >> 32);
}

/// @return the rendezvous weight of the pair; the candidate with the highest weight owns the key.
inline std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
  return rendezvous_weight(stable_hash(key), stable_hash(candidate));
}

/// @return @p value as sixteen lower-case hexadecimal digits.
std::string hex64(std::uint64_t value);

}  // namespace madderdeck
