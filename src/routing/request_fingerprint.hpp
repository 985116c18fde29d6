#pragma once
/// @file What makes two requests the same to the back ends that run them.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace madderdeck::routing {

/// 128 bits over a request; the same on every node. Immutable.
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

/// The parts that count. A request's id, its deadline and its other headers change with each try and are left out.
struct request_parts {
  std::string_view caller;  ///< Tenant; empty where the fleet has none. Callers cannot meet each other's requests.
  std::string_view method;
  std::string_view target;  ///< Path and query, or the model.
  std::string_view body;    ///< Read in place; megabytes cost no copy.
};

struct EngineCall;

/// @return the fingerprint of a request. Each part is hashed by itself, so that bytes that move from one part into the
///         next make another request.
request_fingerprint fingerprint_of(const request_parts& parts);
/// @return that of a batch item or a generation; a passed-on request with the parts of an item's meets it.
request_fingerprint fingerprint_of(const EngineCall& call);

}  // namespace madderdeck::routing
