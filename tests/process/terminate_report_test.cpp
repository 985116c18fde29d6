/// Guards against processes that end without a word: neither which exception nor on which thread was known, and the
/// last lines of the log were lost.
#include "process/terminate_report.hpp"

#include <catch2/catch.hpp>

#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <new>
#include <stdexcept>
#include <string>
#include <system_error>

#include "common/error.hpp"
#include "common/log.hpp"
#include "process/thread.hpp"
#include "process/worker.hpp"
#include "support/limited_program.hpp"

using namespace madderdeck;

namespace {

struct process_end {
  int exit_code = 0;
  int signal = 0;
  std::string output;  ///< What it wrote to standard output and standard error.
};

/// Runs @p body in a copy of this process that has the report.
process_end end_of(const std::function<void()>& body) {
  std::array<int, 2> pipe{};
  REQUIRE(::pipe(pipe.data()) == 0);
  const pid_t child = ::fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    const rlimit no_core{0, 0};
    ::setrlimit(RLIMIT_CORE, &no_core);
    ::dup2(pipe[1], STDOUT_FILENO);
    ::dup2(pipe[1], STDERR_FILENO);
    for (const int number : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT}) {
      ::signal(number, SIG_DFL);  // instead of the handlers of the tests' framework
    }
    process::install_terminate_report(log_lines_pending);
    // No exception may reach the tests' framework.
    [&body]() noexcept { body(); }();
    ::_exit(0);
  }
  ::close(pipe[1]);
  process_end seen;
  std::array<char, 4096> bytes;
  for (ssize_t size = ::read(pipe[0], bytes.data(), bytes.size()); size > 0;
       size = ::read(pipe[0], bytes.data(), bytes.size())) {
    seen.output.append(bytes.data(), static_cast<std::size_t>(size));
  }
  ::close(pipe[0]);
  int status = 0;
  REQUIRE(::waitpid(child, &status, 0) == child);
  seen.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 0;
  seen.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  return seen;
}

bool holds(const process_end& seen, const std::string& text) { return seen.output.find(text) != std::string::npos; }

}  // namespace

TEST_CASE("an exception that leaves a thread is named with the thread before the process ends by SIGABRT") {
  const process_end seen = end_of([] {
    auto thread = process::start_thread("disk", [] { throw std::runtime_error("no \"such\" page"); });
    value_of(thread).join();
  });
  INFO(seen.output);
  CHECK(seen.signal == SIGABRT);
  CHECK(holds(seen, "\"event\":\"process_terminated\""));
  CHECK(holds(seen, "\"thread\":\"disk\""));
  CHECK(holds(seen, "\"exception\":\"St13runtime_error\",\"error\":\"no \\\"such\\\" page\"}\n"));
  CHECK(seen.output.find("process_terminated") == seen.output.rfind("process_terminated"));
}

TEST_CASE("a process that ends for want of memory or of a thread has the exit code of that error") {
  const process_end memory = end_of([] { throw std::bad_alloc(); });
  INFO(memory.output);
  CHECK(memory.exit_code == exit_code_for(ErrorKind::limit_exceeded));
  CHECK(holds(memory, "\"exception\":\"St9bad_alloc\""));
  const process_end thread =
      end_of([] { throw std::system_error(std::make_error_code(std::errc::resource_unavailable_try_again)); });
  INFO(thread.output);
  CHECK(thread.exit_code == exit_code_for(ErrorKind::unavailable));
  CHECK(holds(thread, "\"exception\":\"St12system_error\""));
}

// What a task or a handler was doing is not known, so the process ends; the line has to say where.
TEST_CASE("an exception of a worker's task or of the event loop ends the process with its code and names the thread") {
  const process_end task = end_of([] {
    process::worker worker("disk-tasks");
    worker.post([] { throw std::bad_alloc(); });
    static_cast<void>(worker.start());
    worker.join();
  });
  INFO(task.output);
  CHECK(task.exit_code == exit_code_for(ErrorKind::limit_exceeded));
  CHECK(holds(task, "\"thread\":\"disk-tasks\""));
  const process_end handler = end_of([] {
    boost::asio::io_context context;
    boost::asio::post(context, [] { throw std::out_of_range("no such member"); });
    context.run();
  });
  INFO(handler.output);
  CHECK(handler.signal == SIGABRT);
  CHECK(holds(handler, "no such member"));
}

TEST_CASE("an end without an exception has its line, and the log's lines before it are written") {
  const process_end seen = end_of([] {
    static_cast<void>(configure_logging(LogLevel::info, ""));
    log_event(LogLevel::info, "line_before_the_end");
    std::terminate();
  });
  INFO(seen.output);
  CHECK(seen.signal == SIGABRT);
  CHECK(holds(seen, "\"error\":\"terminated without an exception\""));
  CHECK(holds(seen, "\"event\":\"line_before_the_end\""));
}

TEST_CASE("a signal of a crash has its line and ends the process") {
  for (const int number : {SIGSEGV, SIGABRT, SIGBUS}) {
    const process_end seen = end_of([number] { ::raise(number); });
    INFO(seen.output);
    CHECK(seen.signal == number);
    CHECK(holds(seen, "\"event\":\"process_terminated\""));
    CHECK(holds(seen, "\"signal\":" + std::to_string(number)));
  }
}

TEST_CASE("a node that is ended by a crash says so") {
  tests::limited_program node("madderdeckd-platform", "127.72.1.3", "\"gateway\"");
  REQUIRE(succeeded(node.start({})));
  REQUIRE(node.writes("\"node_started\""));
  node.process().signal(SIGSEGV);
  CHECK(node.writes("\"event\":\"process_terminated\""));
  CHECK(node.ends());
  CHECK(node.process().exit_code() == -SIGSEGV);
  INFO(node.output());
  CHECK(node.output().find("\"by_pid\":" + std::to_string(::getpid())) != std::string::npos);
}
