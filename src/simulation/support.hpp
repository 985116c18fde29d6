#pragma once
/// @file Small helpers of the simulated systems.

#include <string>

#include "simulation/world.hpp"

namespace madderdeck::simulation {

/// A back end that says that it leaves, or whose entry goes without a word, may get new work for so long by nodes that
/// hear of it: what the strictest of the users' sites allows.
inline constexpr Duration kLeaveNotice = 2s;

/// What the users' pages grant a machine that is back, and the service after all are back.
inline constexpr Duration kCatchUp = 4700ms;
inline constexpr Duration kRecover = 12s;

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
