#pragma once
/// @file Signals during the start of a program: which of them terminate it, and which stay pending until it can handle
/// them.

#include <signal.h>

namespace madderdeck::node {

/// Makes a node reload its settings. In programs that link held_signals.cpp it is blocked before any other code runs.
constexpr int kReloadSignal = SIGHUP;

/// @return the signals that request a planned end.
inline sigset_t end_signals() {
  sigset_t signals;
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGTERM);
  ::sigaddset(&signals, SIGINT);
  return signals;
}

/// Blocks the signals that request a planned end on the calling thread and on the threads that it creates, so that a
/// start can take them between two attempts and a node can handle them once it runs.
inline void hold_end_signals() {
  const sigset_t signals = end_signals();
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Blocks the reload signal as well. A node that has stopped calls it before it removes its handlers.
inline void hold_all_signals() {
  sigset_t signals = end_signals();
  ::sigaddset(&signals, kReloadSignal);
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Unblocks the reload signal and the signals that request a planned end on the calling thread; pending ones are
/// delivered immediately. Their handlers must have been installed before.
inline void release_held_signals() {
  sigset_t signals = end_signals();
  ::sigaddset(&signals, kReloadSignal);
  ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace madderdeck::node
