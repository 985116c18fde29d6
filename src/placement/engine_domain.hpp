#pragma once
/// @file The set of engines that one coordinator assigns calls to.

#include <compare>
#include <string>

#include "routing/registry.hpp"

namespace madderdeck::placement {

/// Engines of one pool: those of one zone, or all of a pool too small to be split.
struct engine_domain {
  std::string pool;
  std::string zone;  ///< Empty: all zones.

  /// @return whether the domain contains @p backend, which must be an engine of the pool.
  bool contains(const routing::Backend& backend) const { return zone.empty() || backend.machine.zone == zone; }
  std::string key() const { return "engines " + pool + " " + zone; }
  auto operator<=>(const engine_domain&) const = default;
};

/// @return the domain that contains the engines of @p pool in @p zone.
inline engine_domain domain_in(const routing::Registry& registry, const std::string& pool, const std::string& zone) {
  /// Pools with fewer engines are not split by zone, since some zones would have hardly any engines.
  constexpr std::size_t kMinSplitEngines = 24;
  return {pool, registry.pool_size(pool) >= kMinSplitEngines ? zone : std::string()};
}

/// @return the domain of @p pool that contains @p backend.
inline engine_domain domain_of(const routing::Registry& registry, const routing::Backend& backend,
                               const std::string& pool) {
  return domain_in(registry, pool, backend.machine.zone);
}

}  // namespace madderdeck::placement
