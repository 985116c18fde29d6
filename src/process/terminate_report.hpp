#pragma once
/// @file Writes a last line when a process ends by an exception that nobody catches, or by a signal of a crash.

namespace madderdeck::process {

/// From now on such an end writes one line `process_terminated` to standard error. Memory or a thread that was refused
/// ends the process with the exit code of ErrorKind::limit_exceeded or ErrorKind::unavailable, every other exception
/// with SIGABRT, and a signal of a crash with that signal. Nothing is unwound.
/// @param log_lines_pending tells whether queued log lines are not written yet: the end waits up to 250 ms for them;
/// may
///                          be null. Takes no locks.
void install_terminate_report(bool (*log_lines_pending)());

}  // namespace madderdeck::process
