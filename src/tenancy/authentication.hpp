#pragma once
/// @file Decides whether a caller may use the fleet, and as which tenant.

#include <optional>
#include <string_view>

#include "common/environment.hpp"
#include "tenancy/tenant_directory.hpp"

namespace madderdeck::tenancy {

/// How long a node trusts the keys that it knows when it gets no updates from the configuration's source.
struct key_trust {
  /// Age up to which the configuration counts as current; an older one may lack the revocation of a key. Zero:
  /// no limit.
  Duration useful_for{};
  /// Whether requests with a key are rejected when the configuration is older than that; otherwise its keys stay valid.
  bool fail_closed = false;
};

/// What a request tells about its caller.
struct credentials {
  /// The key; nothing if no key or several different keys were sent.
  std::optional<std::string_view> key;
  bool ambiguous = false;  ///< Whether several different keys were sent.
  bool public_route = false;
};

enum class verdict : std::uint8_t {
  allowed,
  unknown_key,   ///< The key belongs to no tenant, or a required key is missing.
  keys_too_old,  ///< The configuration is too old for its keys to be trusted.
};

/// The result of authenticating a request.
struct identity {
  verdict outcome = verdict::unknown_key;
  const tenant* who = nullptr;  ///< Null if no key was sent or required. Lives as long as the directory.
};

/// Authenticates a request. A fleet without tenants admits every caller. A key must be known on public routes, too, so
/// that a revoked key is rejected everywhere.
/// @param age time since the directory was last known to be the latest.
identity authenticate(const tenant_directory& directory, const credentials& shown, const key_trust& trust,
                      Duration age);

}  // namespace madderdeck::tenancy
