#include "routing/request_fingerprint.hpp"

#include <array>

#include "common/hash.hpp"

namespace madderdeck::routing {

std::string request_fingerprint::str() const { return hex64(high_) + hex64(low_); }

request_fingerprint fingerprint_of(const request_parts& parts) {
  std::array<XXH128_hash_t, 4> hashes{};
  std::size_t part = 0;
  for (const std::string_view text : {parts.caller, parts.method, parts.target, parts.body}) {
    hashes.at(part++) = XXH3_128bits(text.data(), text.size());
  }
  const XXH128_hash_t whole = XXH3_128bits(hashes.data(), sizeof hashes);
  return {whole.high64, whole.low64};
}

}  // namespace madderdeck::routing
