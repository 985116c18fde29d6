#pragma once
/// @file Decides whether a caller may use the fleet, and as which tenant.

#include <optional>
#include <string_view>

#include "common/environment.hpp"
#include "tenancy/tenant_directory.hpp"

namespace madderdeck::tenancy {

/// How long a node that hears nothing of the configuration's source trusts the keys it knows.
struct key_trust {
  /// Age of the configuration from which on it may miss a withdrawal; zero: never.
  Duration useful_for{};
  /// Whether nothing is served on keys older than that; otherwise they are trusted on.
  bool fail_closed = false;
};

/// What a request shows of its caller.
struct credentials {
  /// The key; nothing where none or several different ones were sent.
  std::optional<std::string_view> key;
  bool ambiguous = false;  ///< Several different keys were sent.
  bool public_route = false;
};

enum class verdict : std::uint8_t {
  allowed,
  unknown_key,   ///< The key is no tenant's, or none was sent where one is needed.
  keys_too_old,  ///< The configuration is older than keys are trusted for.
};

/// A decision on one request.
struct identity {
  verdict outcome = verdict::unknown_key;
  const tenant* who = nullptr;  ///< Null where no key was sent. Lives as long as the directory.
};

/// Decides on one request. A fleet without tenants lets everybody in. A key that is sent must be known on public
/// routes, too: a withdrawn one gets nothing anywhere.
/// @param age how long ago the directory was surely the latest.
identity authenticate(const tenant_directory& directory, const credentials& shown, const key_trust& trust,
                      Duration age);

}  // namespace madderdeck::tenancy
