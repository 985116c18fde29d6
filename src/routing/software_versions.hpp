#pragma once
/// @file The software versions that the back ends of each pool have had lately.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/environment.hpp"

namespace madderdeck::routing {

/// Remembers versions for kMemory after the last back end that had them has gone. Single threaded.
class software_versions {
 public:
  static constexpr Duration kMemory = 120s;

  /// Call these when a back end of @p pool with @p version is listed, and when it is no longer listed so.
  void add(const std::string& pool, const std::string& version, Timestamp now);
  void remove(const std::string& pool, const std::string& version, Timestamp now);

  /// @return the versions that back ends of @p pool have had at any time since @p since; the empty one stands for back
  ///         ends whose version is not stated.
  std::set<std::string> since(const std::string& pool, Timestamp since) const;
  /// @return the only version that back ends of @p pool have had since @p since; nothing if there were several, if a
  ///         back end's version was not stated, or if the pool is not known for that long.
  std::optional<std::string> sole_since(const std::string& pool, Timestamp since) const;

 private:
  struct version {
    std::uint32_t back_ends = 0;  ///< Listed now.
    Timestamp gone_at{};          ///< When the last one went.
  };
  struct known_pool {
    Timestamp known_since{};
    std::map<std::string, version> versions;
  };

  static void forget(known_pool& pool, Timestamp now);

  std::map<std::string, known_pool> pools_;
};

}  // namespace madderdeck::routing
