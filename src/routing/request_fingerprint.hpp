#pragma once
/// @file Fingerprints that identify equal requests and equal parts of their prompts.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace madderdeck::routing {

/// A 128-bit hash of a request, or of one part of a prompt; the same on every node. Immutable.
class request_fingerprint {
 public:
  constexpr request_fingerprint() = default;
  constexpr request_fingerprint(std::uint64_t high, std::uint64_t low) : high_(high), low_(low) {}

  constexpr std::uint64_t high() const { return high_; }
  constexpr std::uint64_t low() const { return low_; }
  /// @return 32 hexadecimal digits, for logs.
  std::string str() const;
  auto operator<=>(const request_fingerprint&) const = default;

 private:
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;
};

/// The hashed parts of a request. Its id, its deadline and its other headers differ between tries and are left out.
struct request_parts {
  std::string_view caller;  ///< Tenant; empty if the fleet has none. Tenants never share fingerprints.
  std::string_view method;
  std::string_view target;  ///< Path and query, or the model.
  std::string_view body;    ///< Not copied, since it may be megabytes.
};

struct EngineCall;

/// @return the fingerprint of a request. Each part is hashed separately, so that moving bytes from one part into the
///         next changes the fingerprint.
request_fingerprint fingerprint_of(const request_parts& parts);
/// @return the fingerprint of a batch item or a generation; a forwarded request with the same parts as a batch item has
///         the same fingerprint.
request_fingerprint fingerprint_of(const EngineCall& call);

/// @return the fingerprint of part @p id of the prompts of @p caller; no request has the same one.
request_fingerprint fingerprint_of_prompt_part(std::string_view caller, std::string_view id);

/// A part of a prompt under which back ends may have terminated.
struct prompt_part_suspect {
  request_fingerprint fingerprint;
  std::uint32_t rank = 0;  ///< A higher one is in fewer requests: that of a part is higher than those of all before it.
};

/// What a call has in common with others under which back ends may have terminated.
struct crash_suspects {
  crash_suspects() = default;
  /// A call whose prompt has no parts that others may share.
  crash_suspects(const request_fingerprint& only) : request(only) {}

  request_fingerprint request;
  /// Parts of the prompt that other requests may share, in order: all but the last one, kMaxSuspectParts at most.
  std::vector<prompt_part_suspect> prompt_parts;
};
/// Prompts have a few shared parts; more than these are neither recorded nor held back.
inline constexpr std::size_t kMaxSuspectParts = 32;

}  // namespace madderdeck::routing
