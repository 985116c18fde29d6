#include "routing/request_fingerprint.hpp"

#include <array>

#include "common/hash.hpp"
#include "routing/backend.hpp"

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

request_fingerprint fingerprint_of_prompt_part(std::string_view caller, std::string_view id) {
  return fingerprint_of({caller, "prompt part", id, ""});
}

request_fingerprint fingerprint_of(const EngineCall& call) {
  if (call.http) {
    return fingerprint_of({call.http->tenant, call.http->method, call.http->target, call.http->body});
  }
  const std::string target = call.model + "?max_tokens=" + std::to_string(call.max_tokens);
  return fingerprint_of({"", "generate", target, call.prompt});
}

}  // namespace madderdeck::routing
