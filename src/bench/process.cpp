#include "bench/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <sstream>
#include <string_view>
#include <utility>

namespace madderdeck::bench {

Process::Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, 0)), exit_code_(other.exit_code_) {}

Process& Process::operator=(Process&& other) noexcept {
  std::swap(pid_, other.pid_);
  std::swap(exit_code_, other.exit_code_);
  return *this;
}

Process::~Process() { kill(); }

Status Process::start(const std::string& program, const std::vector<std::string>& arguments,
                      const std::string& log_file, const std::map<std::string, std::string>& variables,
                      const ProcessLimits& limits) {
  std::vector<char*> pointers{const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) {
    pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  pointers.push_back(nullptr);
  int outcome[2];  // closed by the kernel when the program runs; otherwise the child writes why it does not
  if (::pipe2(outcome, O_CLOEXEC) != 0) {
    return Error{ErrorKind::unavailable, "pipe failed"};
  }
  const pid_t child = ::fork();
  if (child < 0) {
    ::close(outcome[0]);
    ::close(outcome[1]);
    return Error{ErrorKind::unavailable, "fork failed"};
  }
  if (child == 0) {
    // The child ends with the bench, however the bench ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(log_file.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // Connections of the bench that the child held would stay open when the bench closes them.
    ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    for (const auto& [name, value] : variables) {
      ::setenv(name.c_str(), value.c_str(), 1);
    }
    int failure = apply_limits(limits);
    if (failure == 0) {
      ::execv(program.c_str(), pointers.data());
      failure = errno;
    }
    [[maybe_unused]] const auto written = ::write(outcome[1], &failure, sizeof failure);
    ::_exit(127);
  }
  ::close(outcome[1]);
  int failure = 0;
  ssize_t taken = 0;
  do {
    taken = ::read(outcome[0], &failure, sizeof failure);
  } while (taken < 0 && errno == EINTR);
  ::close(outcome[0]);
  if (taken == static_cast<ssize_t>(sizeof failure)) {
    ::waitpid(child, nullptr, 0);
    return Error{ErrorKind::unavailable, program + ": " + ::strerror(failure)};
  }
  pid_ = child;
  return Ok{};
}

void Process::signal(int number) const {
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

void Process::kill() {
  if (pid_ <= 0) {
    return;
  }
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool Process::poll_ended() {
  int status = 0;
  if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) {
    return false;
  }
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  pid_ = 0;
  return true;
}

ProcessUsage Process::usage() const {
  ProcessUsage usage;
  std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
  std::string text;
  std::getline(stat, text);
  const std::size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) {
    return usage;
  }
  // Fields after the name: state is the first, utime and stime the 12th and 13th, rss the 22nd.
  std::istringstream fields(text.substr(name_end + 1));
  std::vector<std::string> values;
  for (std::string value; fields >> value;) {
    values.push_back(value);
  }
  constexpr std::size_t kUserTime = 11;
  constexpr std::size_t kSystemTime = 12;
  constexpr std::size_t kResidentPages = 21;
  if (values.size() > kResidentPages) {
    const double ticks = std::stod(values[kUserTime]) + std::stod(values[kSystemTime]);
    usage.cpu_seconds = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    usage.resident_mb = std::stod(values[kResidentPages]) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  }
  return usage;
}

std::uint64_t Process::peak_resident_kib() const {
  constexpr std::string_view kPeak = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kPeak)) {
      return std::stoull(line.substr(kPeak.size()));
    }
  }
  return 0;
}

}  // namespace madderdeck::bench
