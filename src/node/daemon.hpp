#pragma once
/// @file One running node: wires NodeCore to sockets, disk, clock and signals.

#include "node/integration.hpp"

namespace madderdeck::node {

/// Runs a node until it has left the fleet.
/// @return Ok after a planned stop; otherwise why it could not start.
Status run_daemon(const config::Settings& settings, Integration& integration);

/// The whole program: flags, settings, logs, node.
/// @param settings_path used when the flag --settings is not given.
/// @return the exit code.
int run_program(int argument_count, char** arguments, Integration& integration, const std::string& settings_path);

}  // namespace madderdeck::node
