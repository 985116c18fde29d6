#include "process/start_wait.hpp"

#include <thread>

#include "process/last_line.hpp"

namespace madderdeck::process {

Status await_start(const std::function<Status()>& attempt, start_wait& wait, const start_wait_limits& limits) {
  const auto began = std::chrono::steady_clock::now();
  while (true) {
    const Status outcome = attempt();
    wait.waited = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began);
    if (succeeded(outcome) || error_of(outcome).kind != ErrorKind::unavailable || wait.waited >= limits.patience) {
      return outcome;
    }
    if (wait.retries++ == 0) {
      line_writer("warning", "start_waits").text("error", error_of(outcome).detail.c_str()).write();
    }
    std::this_thread::sleep_for(limits.pause);
  }
}

}  // namespace madderdeck::process
