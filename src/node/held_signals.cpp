/// @file Linked into the programs of a node themselves, not into a library: runs before all other code of the process.

#include "node/held_signals.hpp"

#include <initializer_list>

namespace {

/// Left as they are: what asks for the end, what means a crash, and what the kernel's default does not end a process
/// by.
bool is_left(int number) {
  for (const int left : {SIGTERM, SIGINT, SIGKILL, SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSYS, SIGTRAP, SIGSTOP,
                         SIGTSTP, SIGTTIN, SIGTTOU, SIGCONT, SIGCHLD, SIGURG, SIGWINCH}) {
    if (number == left) {
      return true;
    }
  }
  return false;
}

/// The default of all others ends the process. The C library keeps two numbered ones for itself and refuses them here.
void hold_signals(int, char**, char**) {
  // Threads that are started later block it, too, so that it waits for the one that releases it.
  sigset_t reload;
  ::sigemptyset(&reload);
  ::sigaddset(&reload, madderdeck::node::kReloadSignal);
  ::sigprocmask(SIG_BLOCK, &reload, nullptr);
  struct sigaction ignored {};
  ignored.sa_handler = SIG_IGN;
  for (int number = 1; number <= SIGRTMAX; ++number) {
    if (!is_left(number) && number != madderdeck::node::kReloadSignal) {
      ::sigaction(number, &ignored, nullptr);
    }
  }
}

/// Called once the program is loaded, before the static objects of any library are made.
[[gnu::section(".preinit_array"), gnu::used]] void (*hold_signals_first)(int, char**, char**) = hold_signals;

}  // namespace
