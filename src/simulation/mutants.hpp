#pragma once
/// @file Versions of the system without one of its guards, to show that the oracle notices.

#include <string>
#include <vector>

#include "node/node_core.hpp"
#include "simulation/driver.hpp"
#include "simulation/oracle.hpp"

namespace madderdeck::simulation {

struct Mutant {
  std::string name;
  Promise promise;        ///< The promise it breaks.
  unsigned within_seeds;  ///< The oracle notices within this many seeds, from 1 on.
  void (*apply)(node::Guards& guards);
  ScheduleMix mix = ScheduleMix::standard;  ///< The schedules that show it.
  bool mixed_versions = false;              ///< Shown where every other node speaks as an earlier version does.
};

/// @return all mutants; at least two for each promise.
const std::vector<Mutant>& mutants();
const Mutant* find_mutant(const std::string& name);

}  // namespace madderdeck::simulation
