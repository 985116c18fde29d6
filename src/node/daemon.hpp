#pragma once
/// @file One running node: connects NodeCore to sockets, disk, clock and signals.

#include "node/integration.hpp"
#include "node/node_threads.hpp"

namespace madderdeck::node {

/// Runs a node until it has left the fleet.
/// @param threads started
/// @return Ok after a planned stop; otherwise why it could not start or had to stop.
Status run_daemon(const config::Settings& settings, Integration& integration, node_threads& threads);

/// Main function of the node programs: parses flags, loads settings, sets up the log and runs the node.
/// @param settings_path used when the flag --settings is not given.
/// @return the exit code.
int run_program(int argument_count, char** arguments, Integration& integration, const std::string& settings_path);

}  // namespace madderdeck::node
