#pragma once
/// @file Signals of a program that starts: which may end it, and which have to wait until it can take them up.

#include <signal.h>

namespace madderdeck::node {

/// Asks a node to take up changed settings. Programs that link held_signals.cpp have it wait from their first line on.
constexpr int kReloadSignal = SIGHUP;

/// Lets the reload signal through to the calling thread: one that came meanwhile is delivered now. Its handler has to
/// stand by then.
inline void release_reload_signal() {
  sigset_t reload;
  ::sigemptyset(&reload);
  ::sigaddset(&reload, kReloadSignal);
  ::pthread_sigmask(SIG_UNBLOCK, &reload, nullptr);
}

}  // namespace madderdeck::node
