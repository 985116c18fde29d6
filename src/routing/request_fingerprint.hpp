#pragma once
/// @file Fingerprints that identify equal requests.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace madderdeck::routing {

/// A 128-bit hash of a request; the same on every node. Immutable.
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

}  // namespace madderdeck::routing
