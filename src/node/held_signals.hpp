#pragma once
/// @file Signals during the start of a program: which of them terminate it, and which stay pending until it can handle
/// them.

#include <signal.h>

namespace madderdeck::node {

/// Makes a node reload its settings. In programs that link held_signals.cpp it is blocked before any other code runs.
constexpr int kReloadSignal = SIGHUP;

/// Unblocks the reload signal on the calling thread; a pending one is delivered immediately. Its handler must have been
/// installed before.
inline void release_reload_signal() {
  sigset_t reload;
  ::sigemptyset(&reload);
  ::sigaddset(&reload, kReloadSignal);
  ::pthread_sigmask(SIG_UNBLOCK, &reload, nullptr);
}

}  // namespace madderdeck::node
