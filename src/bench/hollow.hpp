#pragma once
/// @file Hollow nodes: the real decision logic and codecs on real sockets, many in a process,
/// without caller API and disk. Driven by the scale run over a small HTTP control interface.

#include <string>

#include "common/error.hpp"

namespace madderdeck::bench {

struct HollowOptions {
  std::string subnet;           ///< First two numbers of all addresses.
  unsigned group = 0;           ///< Third number is 10 + group; the fourth counts from 1.
  unsigned count = 0;           ///< Nodes in this process, at most 250.
  std::string control_address;  ///< Where the scale run talks to this process.
  std::string platform;
};

/// @return the name of hollow node @p number of @p group.
std::string hollow_name(unsigned group, unsigned number);

/// Runs hollow nodes until the process ends.
Status run_hollow(const HollowOptions& options);

}  // namespace madderdeck::bench
