/// @file madderdeckd: the node with the program's native interface.

#include "node/daemon.hpp"

int main(int argument_count, char** arguments) {
  const auto integration = madderdeck::node::own_integration();
  return madderdeck::node::run_program(argument_count, arguments, *integration, "");
}
