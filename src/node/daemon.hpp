#pragma once
/// @file One running node: connects NodeCore to sockets, disk, clock and signals.

#include <memory>

#include "node/integration.hpp"
#include "node/start_wait.hpp"

namespace madderdeck::node {

/// A node that has its addresses and its disk, and that accepts connections.
class prepared_node {
 public:
  virtual ~prepared_node() = default;
  /// Runs the node until it has left the fleet. Releases the held signals, see held_signals.hpp.
  /// @param effort what the start took, for the counters.
  /// @return Ok after a planned stop; otherwise why it had to stop.
  virtual Status run(const start_effort& effort) = 0;
};

/// Takes the addresses of a node, then opens its disk and accepts connections. The addresses come first: while another
/// process of the same node runs, this one does not touch the disk.
/// @return otherwise why the node cannot start; all of its addresses are free again and its disk is closed.
///         ErrorKind::unavailable also if a thread, a descriptor or memory cannot be had.
Result<std::unique_ptr<prepared_node>> prepare_node(const config::Settings& settings, Integration& integration);

/// Main function of the node programs: parses flags, loads settings, sets up the log and runs the node. While the
/// settings or an address cannot be had, the start is tried again, each time with the settings of that moment.
/// @param settings_path used when the flag --settings is not given.
/// @return the exit code.
int run_program(int argument_count, char** arguments, Integration& integration, const std::string& settings_path);

}  // namespace madderdeck::node
