/// Guards against signals that terminate a starting node. A reload signal (SIGHUP) during the start did so in a rolling
/// restart of real processes, and when sent by hand 3 ms after the start of the program. Until the node installed its
/// handler at the end of its start, the default action of this signal, and of all other signals that a node does not
/// use, terminated it. Only TERM, INT, KILL and the signals of a crash may terminate a node.
/// A signal that arrives while the kernel and the dynamic linker load the program comes before any of its code runs:
/// this takes 4 to 13 ms of processor time on a machine with twice as many processes as cores. The test bounds that
/// time; no later signal may terminate the node.
#include <catch2/catch.hpp>

#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <sstream>
#include <thread>

#include "bench/process.hpp"

using namespace madderdeck;
using namespace std::chrono_literals;

namespace {

using milliseconds = std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr milliseconds kLatestSignal{50};  ///< Latest time after exec at which a signal is sent.
constexpr milliseconds kStuck{30'000};     ///< A start that takes longer counts as stuck.
constexpr unsigned kParallelStarts = 3;    ///< Number of processes that start in parallel.
/// Maximum processor time of the kernel and the dynamic linker before the program's first code runs.
constexpr milliseconds kMaxLoadingTime{40};

std::filesystem::path binaries() { return std::filesystem::read_symlink("/proc/self/exe").parent_path(); }

/// One of the node programs with a separate address and folder.
struct node_place {
  std::string program;
  std::string address;
  std::filesystem::path folder;
};

std::string settings_of(const node_place& place, const std::string& roles) {
  std::ostringstream text;
  text << "[node]\nid = \"n\"\nzone = \"z\"\nroles = [" << roles << "]\npeer_address = \"" << place.address
       << ":7000\"\napi_address = \"" << place.address << ":8000\"\ndata_folder = \""
       << (place.folder / "data").string() << "\"\n\n[platform]\nendpoint = \"" << place.address << ":9000\"\n";
  return text.str();
}

/// State of a process according to /proc.
struct process_view {
  std::uint64_t blocked_or_handled = 0;  ///< Signals that are blocked, ignored or handled: bit n - 1 is signal n.
  std::chrono::nanoseconds used{};
  bool loaded = false;  ///< Whether the dynamic linker has finished.
  bool blocks_or_handles(int number) const { return ((blocked_or_handled >> (number - 1)) & 1U) != 0; }
};

/// @return whether the dynamic linker has finished: its last step makes a part of the program's data read-only, which
/// splits the only writable mapping.
bool is_loaded(const std::string& maps_file, const std::string& program) {
  constexpr unsigned kReadOnlyMappings = 3;  ///< Header, constants and the read-only part of the data.
  unsigned read_only = 0;
  std::ifstream maps(maps_file);
  for (std::string line; std::getline(maps, line);) {
    read_only += line.ends_with("/" + program) && line.find(" r--p ") != std::string::npos ? 1 : 0;
  }
  return read_only >= kReadOnlyMappings;
}

process_view read_process_view(pid_t id, const std::string& program) {
  process_view view;
  const std::string folder = "/proc/" + std::to_string(id);
  view.loaded = is_loaded(folder + "/maps", program);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("SigBlk:") || line.starts_with("SigIgn:") || line.starts_with("SigCgt:")) {
      view.blocked_or_handled |= std::stoull(line.substr(sizeof "SigBlk:" - 1), nullptr, 16);
    }
  }
  std::uint64_t used_ns = 0;
  std::ifstream(folder + "/schedstat") >> used_ns;
  view.used = std::chrono::nanoseconds(used_ns);
  return view;
}

bool log_has(const node_place& place, const std::string& text) {
  std::ifstream log(place.folder / "log");
  std::stringstream read;
  read << log.rdbuf();
  return read.str().find(text) != std::string::npos;
}

/// A signal and the time during the start at which it is sent.
struct sent_signal {
  int number = 0;
  milliseconds after{};  ///< Time since exec.
};

struct outcome {
  bool ended = false;
  int exit_code = 0;     ///< In the form of bench::Process::exit_code().
  bool stuck = false;    ///< The process neither terminated nor logged the awaited line.
  bool loading = false;  ///< The signal was sent before any of the program's own code ran.
};

class start_player {
 public:
  start_player(std::string program, std::string subnet, std::string roles)
      : program_(std::move(program)), subnet_(std::move(subnet)), roles_(std::move(roles)) {
    folder_ = std::filesystem::temp_directory_path() / ("start-signals-" + std::to_string(::getpid()) + "-" + program_);
    std::filesystem::remove_all(folder_);
  }
  ~start_player() { std::filesystem::remove_all(folder_); }

  /// Starts the program, sends the signal and waits until the process terminates or logs @p awaited_line.
  /// @param awaited_line if empty, only waits until the process terminates.
  outcome play(unsigned lane, const sent_signal& sent, const std::string& awaited_line) const {
    const node_place place = prepare(lane);
    bench::Process process;
    outcome seen;
    if (!succeeded(start(place, process))) {
      seen.stuck = true;
      return seen;
    }
    const auto began = steady::now();
    std::this_thread::sleep_until(began + sent.after);
    seen.loading = !await_first_lines(process.id(), sent.number);
    process.signal(sent.number);
    bool there = false;
    while (!seen.ended && !there && !seen.stuck) {
      std::this_thread::sleep_for(2ms);
      there = !awaited_line.empty() && log_has(place, awaited_line);
      seen.ended = process.poll_ended();
      seen.stuck = !seen.ended && !there && steady::now() - began > kStuck;
    }
    seen.exit_code = seen.ended ? process.exit_code() : 0;
    return seen;
  }

  /// @return the processor time of a start until the program blocks, ignores or handles all of @p numbers.
  std::chrono::nanoseconds loading_time(const std::vector<int>& numbers) const {
    const node_place place = prepare(0);
    bench::Process process;
    if (!succeeded(start(place, process))) {
      return kStuck;
    }
    const auto began = steady::now();
    while (steady::now() - began < kStuck && !process.poll_ended()) {
      const process_view view = read_process_view(process.id(), program_);
      if (std::all_of(numbers.begin(), numbers.end(), [&view](int number) { return view.blocks_or_handles(number); })) {
        return view.used;
      }
      if (log_has(place, "node_started")) {
        break;
      }
    }
    return kStuck;
  }

 private:
  /// If the program is loaded, waits until its first code has run, which starts some microseconds after the linker has
  /// finished.
  /// @return whether the program is loaded.
  bool await_first_lines(pid_t id, int number) const {
    constexpr milliseconds kFirstLines{1};  ///< In processor time.
    constexpr milliseconds kAsleep{1'000};  ///< After this time the process sleeps rather than waits for a processor.
    const process_view first = read_process_view(id, program_);
    const auto began = steady::now();
    process_view now = first;
    while (first.loaded && !now.blocks_or_handles(number) && now.used - first.used < kFirstLines &&
           steady::now() - began < kAsleep) {
      now = read_process_view(id, program_);
    }
    return first.loaded;
  }
  node_place prepare(unsigned lane) const {
    node_place place{program_, subnet_ + "." + std::to_string(lane + 1), folder_ / std::to_string(lane)};
    std::filesystem::remove_all(place.folder);
    std::filesystem::create_directories(place.folder);
    std::ofstream(place.folder / "settings.toml") << settings_of(place, roles_);
    return place;
  }
  static Status start(const node_place& place, bench::Process& process) {
    const std::string settings = (place.folder / "settings.toml").string();
    return process.start((binaries() / place.program).string(), {"--settings=" + settings},
                         (place.folder / "log").string());
  }

  std::string program_;
  std::string subnet_;
  std::string roles_;
  std::filesystem::path folder_;
};

/// Sends each of @p signals to a separate process.
/// @return a line for each signal with a wrong outcome.
std::vector<std::string> play_all(const start_player& player, const std::vector<sent_signal>& signals,
                                  const std::string& awaited_line,
                                  const std::function<bool(const sent_signal&, const outcome&)>& right) {
  std::vector<std::string> wrong;
  std::mutex mutex;
  std::vector<std::thread> lanes;
  for (unsigned lane = 0; lane < kParallelStarts; ++lane) {
    lanes.emplace_back([&, lane] {
      for (std::size_t next = lane; next < signals.size(); next += kParallelStarts) {
        const outcome seen = player.play(lane, signals[next], awaited_line);
        if (!right(signals[next], seen)) {
          const std::lock_guard lock(mutex);
          wrong.push_back("signal " + std::to_string(signals[next].number) + " after " +
                          std::to_string(signals[next].after.count()) + " ms: " +
                          (seen.ended ? "ended, " + std::to_string(seen.exit_code) : std::string("did not end")) +
                          (seen.stuck ? ", stuck" : ""));
        }
      }
    });
  }
  for (std::thread& lane : lanes) {
    lane.join();
  }
  return wrong;
}

/// @return each of @p numbers at each @p step from exec to kLatestSignal.
std::vector<sent_signal> signals_during_start(const std::vector<int>& numbers, milliseconds step) {
  std::vector<sent_signal> signals;
  for (const int number : numbers) {
    for (milliseconds after{0}; after <= kLatestSignal; after += step) {
      signals.push_back({number, after});
    }
  }
  return signals;
}

/// @return signals that a node may receive by habit or by mistake: from scripts that make other programs rotate logs or
/// dump their state, from a closed reader of its output, from timers and limits inherited from a shell and from a power
/// supply monitor; also the first and the last real-time signal.
std::vector<int> harmless_signals() {
  return {SIGUSR1, SIGUSR2, SIGPIPE, SIGALRM,   SIGQUIT, SIGVTALRM, SIGPROF,
          SIGIO,   SIGPWR,  SIGXCPU, SIGSTKFLT, SIGXFSZ, SIGRTMIN,  SIGRTMAX};
}

/// @return the exit code that bench::Process reports for a process that signal @p number terminated.
int exit_code_of_signal(int number) { return -number; }

bool keeps_running(const sent_signal& sent, const outcome& seen) {
  const bool before_own_code = seen.loading && seen.exit_code == exit_code_of_signal(sent.number);
  return !seen.stuck && (!seen.ended || before_own_code);
}

/// @return whether the process terminated by the signal; after TERM and INT a regular exit is also correct.
bool has_ended(const sent_signal& sent, const outcome& seen) {
  const bool asked = sent.number == SIGTERM || sent.number == SIGINT;
  return seen.ended && (seen.exit_code == exit_code_of_signal(sent.number) || (asked && seen.exit_code == 0));
}

std::string joined(const std::vector<std::string>& lines) {
  std::string text = std::to_string(lines.size()) + " in all";
  for (const std::string& line : lines) {
    text += "\n" + line;
  }
  return text;
}

const char* const kProgram = "madderdeckd";
const char* const kDeployedProgram = "madderdeckd-platform";
const char* const kWithDisk = "\"ledger\", \"controller\"";
const char* const kWithoutDisk = "\"gateway\", \"scheduler\", \"controller\"";

}  // namespace

TEST_CASE("a reload signal at any millisecond of a start reloads the settings") {
  const std::vector<sent_signal> reloads = signals_during_start({SIGHUP}, 1ms);
  const start_player deployed(kDeployedProgram, "127.98.1", kWithDisk);
  const start_player own(kProgram, "127.98.2", kWithoutDisk);
  const auto wrong_deployed = play_all(deployed, reloads, "settings_reloaded", keeps_running);
  const auto wrong_own = play_all(own, reloads, "settings_reloaded", keeps_running);
  INFO(joined(wrong_deployed));
  CHECK(wrong_deployed.empty());
  INFO(joined(wrong_own));
  CHECK(wrong_own.empty());
}

TEST_CASE("a starting node is terminated by no signals but those meant to terminate it") {
  const start_player deployed(kDeployedProgram, "127.98.3", kWithoutDisk);
  const auto wrong = play_all(deployed, signals_during_start(harmless_signals(), 1ms), "node_started", keeps_running);
  INFO(joined(wrong));
  CHECK(wrong.empty());
}

TEST_CASE("a starting node terminates on request and by a crash") {
  const start_player deployed(kDeployedProgram, "127.98.4", kWithoutDisk);
  const rlimit no_core{0, 0};
  ::setrlimit(RLIMIT_CORE, &no_core);
  const std::vector<int> deadly{SIGTERM, SIGINT, SIGKILL, SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSYS, SIGTRAP};
  const auto wrong = play_all(deployed, signals_during_start(deadly, 10ms), "", has_ended);
  INFO(joined(wrong));
  CHECK(wrong.empty());
}

TEST_CASE("a program blocks or ignores signals before it does anything else") {
  std::vector<int> numbers = harmless_signals();
  numbers.push_back(SIGHUP);
  for (const char* program : {kProgram, kDeployedProgram}) {
    const start_player player(program, "127.98.5", kWithoutDisk);
    std::vector<std::chrono::nanoseconds> taken;
    for (int start = 0; start < 11; ++start) {
      taken.push_back(player.loading_time(numbers));
    }
    std::sort(taken.begin(), taken.end());
    INFO(program << ", microseconds of processor time: min " << taken.front() / 1us << ", median "
                 << taken[taken.size() / 2] / 1us << ", max " << taken.back() / 1us);
    CHECK(taken.back() < kMaxLoadingTime);
  }
}
