#pragma once
/// @file Entry point of a node program's library.

namespace madderdeck::node {

/// Name of run_node_program() for the dynamic linker.
inline constexpr char kProgramEntry[] = "run_node_program";

}  // namespace madderdeck::node

/// Runs the node. Called once, by the program's loader (node/program_loader.cpp).
/// @param arguments as for main()
/// @return the exit code of the process
extern "C" [[gnu::visibility("default")]] int run_node_program(int argument_count, char** arguments);
