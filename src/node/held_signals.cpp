/// @file Blocks or ignores signals before any other code of the process runs. This file is linked directly into the
/// node programs, not into a library.

#include "node/held_signals.hpp"

#include <initializer_list>

namespace {

/// @return whether the signal keeps its disposition: signals that request termination, signals of a crash, and signals
/// that do not terminate a process by default.
bool keeps_disposition(int number) {
  for (const int left : {SIGTERM, SIGINT, SIGKILL, SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSYS, SIGTRAP, SIGSTOP,
                         SIGTSTP, SIGTTIN, SIGTTOU, SIGCONT, SIGCHLD, SIGURG, SIGWINCH}) {
    if (number == left) {
      return true;
    }
  }
  return false;
}

/// Blocks the reload signal and ignores all other signals that would terminate the process by default. The C library
/// reserves two real-time signals, for which sigaction() fails here.
void block_reload_and_ignore_signals(int, char**, char**) {
  // Later threads inherit the blocked signal, so it stays pending until a thread calls release_held_signals().
  sigset_t reload;
  ::sigemptyset(&reload);
  ::sigaddset(&reload, madderdeck::node::kReloadSignal);
  ::sigprocmask(SIG_BLOCK, &reload, nullptr);
  struct sigaction ignored {};
  ignored.sa_handler = SIG_IGN;
  for (int number = 1; number <= SIGRTMAX; ++number) {
    if (!keeps_disposition(number) && number != madderdeck::node::kReloadSignal) {
      ::sigaction(number, &ignored, nullptr);
    }
  }
}

/// Called after the program is loaded, before the static objects of any library are constructed.
[[gnu::section(".preinit_array"), gnu::used]] void (*hold_signals_first)(int, char**,
                                                                         char**) = block_reload_and_ignore_signals;

}  // namespace
