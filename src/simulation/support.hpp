#pragma once
/// @file Small helpers of the simulated systems.

#include <string>

#include "simulation/world.hpp"

namespace madderdeck::simulation {

/// A leaving back end may get new work for this long.
inline constexpr Duration kLeavingGrace = 5s;
/// One whose entry goes without a word may for this long, by nodes that hear of it.
inline constexpr Duration kNoticeOfUnlisted = 3s;

/// @return a delay of at least @p least, below @p least + @p spread.
inline Duration jitter(World& world, Duration least, Duration spread) {
  return least + Duration(static_cast<Duration::rep>(world.random.below(static_cast<std::uint64_t>(spread.count()))));
}

/// @return the number in an address "10.x.0.N:port".
inline unsigned number_of(const std::string& address) {
  const std::size_t dot = address.rfind('.');
  return static_cast<unsigned>(std::stoul(address.substr(dot + 1)));
}

}  // namespace madderdeck::simulation
