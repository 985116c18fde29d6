#pragma once
/// @file One running node: wires NodeCore to sockets, disk, clock and signals.

#include "config/settings.hpp"

namespace madderdeck::node {

/// Runs a node until it has left the fleet.
/// @return Ok after a planned stop; otherwise why it could not start.
Status run_daemon(const config::Settings& settings);

}  // namespace madderdeck::node
