#pragma once
/// @file A request that is passed to a back end as its caller gave it.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/environment.hpp"
#include "net/http_types.hpp"
#include "routing/request_fingerprint.hpp"

namespace madderdeck::forwarding {

/// One part of a prompt; requests with the same first parts share them in a back end's cache.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/// Method, target, headers and body are passed on bit by bit, but for headers that concern one
/// connection only. Immutable once it is under way.
struct ForwardedRequest {
  std::string id;  ///< The caller's, unique for each of its attempts.
  std::string method;
  std::string target;
  net::Headers headers;
  std::string body;
  std::optional<Duration> patience;  ///< How long the caller waits, from arrival.
  std::uint64_t resume_after = 0;    ///< Last event that the caller has.
  std::vector<PromptPart> prompt;
  std::string tenant;                 ///< Whose request it is; empty where nobody showed a key.
  std::uint32_t tenant_priority = 0;  ///< 0 is the most urgent.
};
using ForwardedRequestPointer = std::shared_ptr<const ForwardedRequest>;

/// @return what @p request has in common with its repeats.
inline routing::request_fingerprint fingerprint_of(const ForwardedRequest& request) {
  return routing::fingerprint_of({request.tenant, request.method, request.target, request.body});
}

/// Parts shared by fewer tokens are cheaper to read again than to queue for.
inline constexpr std::uint32_t kMinAffinityTokens = 1024;

/// @return what requests with the same long prompt start have in common; empty where that is short.
inline std::string affinity_key(const std::vector<PromptPart>& prompt) {
  std::uint32_t shared = 0;
  for (std::size_t part = 0; part + 1 < prompt.size(); ++part) {
    shared += prompt[part].tokens;
  }
  return shared < kMinAffinityTokens ? std::string() : prompt[prompt.size() - 2].id;
}

}  // namespace madderdeck::forwarding
