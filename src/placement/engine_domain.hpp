#pragma once
/// @file The engines that one coordinator looks after.

#include <compare>
#include <string>

#include "routing/registry.hpp"

namespace madderdeck::placement {

/// Engines of one pool: those of one zone, or all of a pool too small to be split.
struct engine_domain {
  std::string pool;
  std::string zone;  ///< Empty: of all zones.

  /// @return whether @p backend, one of the pool, is among them.
  bool has(const routing::Backend& backend) const { return zone.empty() || backend.machine.zone == zone; }
  std::string key() const { return "engines " + pool + " " + zone; }
  auto operator<=>(const engine_domain&) const = default;
};

/// @return the domain of engines of @p pool that stand in @p zone.
inline engine_domain domain_in(const routing::Registry& registry, const std::string& pool, const std::string& zone) {
  /// A pool of fewer engines would leave some zones with next to none.
  constexpr std::size_t kLeastSplit = 24;
  return {pool, registry.pool_size(pool) >= kLeastSplit ? zone : std::string()};
}

/// @return the domain of @p backend as an engine of @p pool.
inline engine_domain domain_of(const routing::Registry& registry, const routing::Backend& backend,
                               const std::string& pool) {
  return domain_in(registry, pool, backend.machine.zone);
}

}  // namespace madderdeck::placement
