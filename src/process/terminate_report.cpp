#include "process/terminate_report.hpp"

#include <cxxabi.h>
#include <signal.h>
#include <sys/prctl.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <exception>
#include <new>
#include <system_error>
#include <typeinfo>

#include "common/error.hpp"
#include "process/last_line.hpp"

namespace madderdeck::process {
namespace {

constexpr int kPendingChecks = 25;
constexpr timespec kPendingPause{0, 10'000'000};
constexpr std::size_t kSignalStackBytes = std::size_t{64} << 10;
constexpr std::array kCrashSignals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

std::atomic<bool> reported = false;
bool (*pending_lines)() = nullptr;

line_writer begin_line() {
  std::array<char, 17> name{};
  ::prctl(PR_GET_NAME, name.data());
  line_writer line("error", "process_terminated");
  line.number("pid", ::getpid()).text("thread", name.data());
  return line;
}

/// The log's own thread writes its lines; this one must not take its lock, which it may hold already.
void await_log_lines() {
  for (int check = 0; check < kPendingChecks && pending_lines != nullptr && pending_lines(); ++check) {
    ::nanosleep(&kPendingPause, nullptr);
  }
}

/// @return the exit code; 0: SIGABRT.
int write_exception_line() {
  line_writer line = begin_line();
  const std::type_info* const type = abi::__cxa_current_exception_type();
  if (type == nullptr) {
    line.text("exception", "").text("error", "terminated without an exception").write();
    return 0;
  }
  line.text("exception", type->name());
  try {
    throw;
  } catch (const std::bad_alloc& thrown) {
    line.text("error", thrown.what()).write();
    return exit_code_for(ErrorKind::limit_exceeded);
  } catch (const std::system_error& thrown) {
    line.text("error", thrown.what()).write();
    const bool refused =
        thrown.code() == std::errc::resource_unavailable_try_again || thrown.code() == std::errc::not_enough_memory;
    return refused ? exit_code_for(ErrorKind::unavailable) : 0;
  } catch (const std::exception& thrown) {
    line.text("error", thrown.what()).write();
  } catch (...) {
    line.text("error", "not a standard exception").write();
  }
  return 0;
}

[[noreturn]] void report_exception() {
  if (reported.exchange(true)) {
    // Another thread writes its line and ends the process.
    ::nanosleep(&kPendingPause, nullptr);
    std::abort();
  }
  const int code = write_exception_line();
  await_log_lines();
  if (code != 0) {
    ::_exit(code);
  }
  std::abort();
}

void report_signal(int number, siginfo_t* information, void*) {
  if (!reported.exchange(true)) {
    line_writer line = begin_line();
    line.number("signal", number);
    // Values up to zero name a process that sent it, others the processor's fault.
    if (information->si_code <= 0) {
      line.number("by_pid", information->si_pid);
    }
    line.write();
    await_log_lines();
  }
  // The default action was restored when this handler was entered; the signal is delivered when it returns.
  ::raise(number);
}

}  // namespace

void install_terminate_report(bool (*log_lines_pending)()) {
  pending_lines = log_lines_pending;
  std::set_terminate(report_exception);
  // The first thread's handler has to run also when that thread has used up its stack.
  static std::array<char, kSignalStackBytes> signal_stack;
  stack_t stack{};
  stack.ss_sp = signal_stack.data();
  stack.ss_size = signal_stack.size();
  ::sigaltstack(&stack, nullptr);
  for (const int number : kCrashSignals) {
    struct sigaction previous {};
    ::sigaction(number, nullptr, &previous);
    if (previous.sa_handler != SIG_DFL) {
      continue;  // a sanitizer reports it
    }
    struct sigaction action {};
    action.sa_sigaction = report_signal;
    action.sa_flags = SA_SIGINFO | SA_RESETHAND | SA_ONSTACK;
    ::sigaction(number, &action, nullptr);
  }
}

}  // namespace madderdeck::process
