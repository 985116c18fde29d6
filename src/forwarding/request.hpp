#pragma once
/// @file A request that is forwarded to a back end as its caller sent it.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/environment.hpp"
#include "net/http_types.hpp"
#include "routing/request_fingerprint.hpp"

namespace madderdeck::forwarding {

/// One part of a prompt. Requests whose first parts are the same share them in a back end's prefix cache.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/// Method, target, headers and body are forwarded unchanged, except for hop-by-hop headers, which
/// are removed. Immutable once it has been sent.
struct ForwardedRequest {
  std::string id;  ///< Given by the caller; unique for each of its attempts.
  std::string method;
  std::string target;
  net::Headers headers;
  std::string body;
  std::optional<Duration> patience;  ///< How long the caller waits, from the request's arrival.
  std::uint64_t resume_after = 0;    ///< Number of the last event that the caller has received.
  std::string first_attempt;         ///< Id of the caller's attempt that brought its first event; empty: not stated.
  std::vector<PromptPart> prompt;
  std::string tenant;                 ///< Tenant that sent the request; empty where the caller sent no key.
  std::uint32_t tenant_priority = 0;  ///< 0 is the most urgent.
};
using ForwardedRequestPointer = std::shared_ptr<const ForwardedRequest>;

/// @return the fingerprint that @p request has in common with its repetitions.
inline routing::request_fingerprint fingerprint_of(const ForwardedRequest& request) {
  return routing::fingerprint_of({request.tenant, request.method, request.target, request.body});
}

/// @return what @p request has in common with its repetitions, and with others that share parts of its prompt.
inline routing::crash_suspects crash_suspects_of(const ForwardedRequest& request) {
  routing::crash_suspects suspects(fingerprint_of(request));
  for (std::size_t part = 0; part + 1 < request.prompt.size() && part < routing::kMaxSuspectParts; ++part) {
    suspects.prompt_parts.push_back({routing::fingerprint_of_prompt_part(request.tenant, request.prompt[part].id),
                                     static_cast<std::uint32_t>(part)});
  }
  return suspects;
}

/// Shorter shared prefixes are cheaper to prefill again than to queue for.
inline constexpr std::uint32_t kMinAffinityTokens = 1024;

/// @return the key that requests with the same prompt prefix have in common; empty where the prefix is shorter than
///         kMinAffinityTokens.
inline std::string affinity_key(const std::vector<PromptPart>& prompt) {
  std::uint32_t shared = 0;
  for (std::size_t part = 0; part + 1 < prompt.size(); ++part) {
    shared += prompt[part].tokens;
  }
  return shared < kMinAffinityTokens ? std::string() : prompt[prompt.size() - 2].id;
}

}  // namespace madderdeck::forwarding
