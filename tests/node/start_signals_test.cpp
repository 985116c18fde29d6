/// A node that was told to take up changed settings (SIGHUP) while it started ended: in a run of real processes whose
/// nodes were restarted one after the other, and by hand 3 ms after the start of the program. Until the node's own
/// handler stood, at the end of its start, the kernel's default ended it, by that signal and by each of the others that
/// a node has no use for. Only TERM, INT and KILL are to end a node, and the signals of a crash.
/// A signal that comes while the kernel and the dynamic linker load the program meets no line of it yet: 4 to 13 ms of
/// a core, on a machine with twice as many processes as cores. That time is bounded here; nothing that comes later may
/// end the node.
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

constexpr milliseconds kLatest{50};     ///< After exec.
constexpr milliseconds kStuck{30'000};  ///< A start that takes longer does not end.
constexpr unsigned kAtOnce = 3;         ///< Processes that start side by side.
/// Of a core, until the program's first line: the kernel's part and the dynamic linker's.
constexpr milliseconds kLoading{40};

std::filesystem::path binaries() { return std::filesystem::read_symlink("/proc/self/exe").parent_path(); }

/// One of the programs, at an address of its own.
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

/// What /proc tells of a process.
struct process_view {
  std::uint64_t kept_off = 0;  ///< Signals that are blocked, ignored or handled: bit n - 1 is signal n.
  std::chrono::nanoseconds used{};
  bool loaded = false;  ///< The dynamic linker has done its work.
  bool keeps_off(int number) const { return ((kept_off >> (number - 1)) & 1U) != 0; }
};

/// The linker's last act on a program is to make a part of its data read-only, which parts its only writable mapping.
bool is_loaded(const std::string& maps_file, const std::string& program) {
  constexpr unsigned kReadOnlyMappings = 3;  ///< Head, constants, and the part of the data.
  unsigned read_only = 0;
  std::ifstream maps(maps_file);
  for (std::string line; std::getline(maps, line);) {
    read_only += line.ends_with("/" + program) && line.find(" r--p ") != std::string::npos ? 1 : 0;
  }
  return read_only >= kReadOnlyMappings;
}

process_view look_at(pid_t id, const std::string& program) {
  process_view view;
  const std::string folder = "/proc/" + std::to_string(id);
  view.loaded = is_loaded(folder + "/maps", program);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("SigBlk:") || line.starts_with("SigIgn:") || line.starts_with("SigCgt:")) {
      view.kept_off |= std::stoull(line.substr(sizeof "SigBlk:" - 1), nullptr, 16);
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

/// A signal at a moment of a start.
struct sent_signal {
  int number = 0;
  milliseconds after{};  ///< Since exec.
};

struct outcome {
  bool ended = false;
  int exit_code = 0;     ///< As bench::Process has it.
  bool stuck = false;    ///< Neither ended nor came to the awaited line.
  bool loading = false;  ///< The signal met none of the program's own lines yet.
};

class start_player {
 public:
  start_player(std::string program, std::string subnet, std::string roles)
      : program_(std::move(program)), subnet_(std::move(subnet)), roles_(std::move(roles)) {
    folder_ = std::filesystem::temp_directory_path() / ("start-signals-" + std::to_string(::getpid()) + "-" + program_);
    std::filesystem::remove_all(folder_);
  }
  ~start_player() { std::filesystem::remove_all(folder_); }

  /// Starts the program, sends the signal and waits for the end or for a line of the log.
  /// @param awaited_line empty: only the end is waited for.
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

  /// @return how much processor time a start takes until the program keeps @p numbers off.
  std::chrono::nanoseconds loading_time(const std::vector<int>& numbers) const {
    const node_place place = prepare(0);
    bench::Process process;
    if (!succeeded(start(place, process))) {
      return kStuck;
    }
    const auto began = steady::now();
    while (steady::now() - began < kStuck && !process.poll_ended()) {
      const process_view view = look_at(process.id(), program_);
      if (std::all_of(numbers.begin(), numbers.end(), [&view](int number) { return view.keeps_off(number); })) {
        return view.used;
      }
      if (log_has(place, "node_started")) {
        break;
      }
    }
    return kStuck;
  }

 private:
  /// A program that is loaded gets the time for its first lines: between the linker and them lie some microseconds.
  /// @return whether it is loaded.
  bool await_first_lines(pid_t id, int number) const {
    constexpr milliseconds kFirstLines{1};  ///< Of a core.
    constexpr milliseconds kAsleep{1'000};  ///< It sleeps, and is not merely kept from running by others.
    const process_view first = look_at(id, program_);
    const auto began = steady::now();
    process_view now = first;
    while (first.loaded && !now.keeps_off(number) && now.used - first.used < kFirstLines &&
           steady::now() - began < kAsleep) {
      now = look_at(id, program_);
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

/// Plays all of @p signals, each in a process of its own, and @return a line for each that went wrong.
std::vector<std::string> play_all(const start_player& player, const std::vector<sent_signal>& signals,
                                  const std::string& awaited_line,
                                  const std::function<bool(const sent_signal&, const outcome&)>& right) {
  std::vector<std::string> wrong;
  std::mutex mutex;
  std::vector<std::thread> lanes;
  for (unsigned lane = 0; lane < kAtOnce; ++lane) {
    lanes.emplace_back([&, lane] {
      for (std::size_t next = lane; next < signals.size(); next += kAtOnce) {
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

/// @return @p numbers at each @p step of the first milliseconds.
std::vector<sent_signal> at_each_moment(const std::vector<int>& numbers, milliseconds step) {
  std::vector<sent_signal> signals;
  for (const int number : numbers) {
    for (milliseconds after{0}; after <= kLatest; after += step) {
      signals.push_back({number, after});
    }
  }
  return signals;
}

/// What may reach a node by habit or by mistake: scripts that ask other programs to rotate logs or to dump their state,
/// a reader of its output that has gone, timers and limits of a shell before it, a power supply that reports, the first
/// and the last of the numbered ones.
std::vector<int> harmless_signals() {
  return {SIGUSR1, SIGUSR2, SIGPIPE, SIGALRM,   SIGQUIT, SIGVTALRM, SIGPROF,
          SIGIO,   SIGPWR,  SIGXCPU, SIGSTKFLT, SIGXFSZ, SIGRTMIN,  SIGRTMAX};
}

/// The exit code of a process that @p number ended, as bench::Process has it.
int ended_by(int number) { return -number; }

bool goes_on(const sent_signal& sent, const outcome& seen) {
  const bool met_no_line = seen.loading && seen.exit_code == ended_by(sent.number);
  return !seen.stuck && (!seen.ended || met_no_line);
}

/// Of a stop that is asked for, the node's own end is right, too.
bool has_ended(const sent_signal& sent, const outcome& seen) {
  const bool asked = sent.number == SIGTERM || sent.number == SIGINT;
  return seen.ended && (seen.exit_code == ended_by(sent.number) || (asked && seen.exit_code == 0));
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

TEST_CASE("settings changed during a start are taken, at each millisecond of it") {
  const std::vector<sent_signal> reloads = at_each_moment({SIGHUP}, 1ms);
  const start_player deployed(kDeployedProgram, "127.98.1", kWithDisk);
  const start_player own(kProgram, "127.98.2", kWithoutDisk);
  const auto wrong_deployed = play_all(deployed, reloads, "settings_reloaded", goes_on);
  const auto wrong_own = play_all(own, reloads, "settings_reloaded", goes_on);
  INFO(joined(wrong_deployed));
  CHECK(wrong_deployed.empty());
  INFO(joined(wrong_own));
  CHECK(wrong_own.empty());
}

TEST_CASE("no signal ends a node that starts but those that are to end it") {
  const start_player deployed(kDeployedProgram, "127.98.3", kWithoutDisk);
  const auto wrong = play_all(deployed, at_each_moment(harmless_signals(), 1ms), "node_started", goes_on);
  INFO(joined(wrong));
  CHECK(wrong.empty());
}

TEST_CASE("a node that starts ends when it is told to, and by a crash") {
  const start_player deployed(kDeployedProgram, "127.98.4", kWithoutDisk);
  const rlimit no_core{0, 0};
  ::setrlimit(RLIMIT_CORE, &no_core);
  const std::vector<int> deadly{SIGTERM, SIGINT, SIGKILL, SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSYS, SIGTRAP};
  const auto wrong = play_all(deployed, at_each_moment(deadly, 10ms), "", has_ended);
  INFO(joined(wrong));
  CHECK(wrong.empty());
}

TEST_CASE("a program keeps signals off before it does anything else") {
  std::vector<int> numbers = harmless_signals();
  numbers.push_back(SIGHUP);
  for (const char* program : {kProgram, kDeployedProgram}) {
    const start_player player(program, "127.98.5", kWithoutDisk);
    std::vector<std::chrono::nanoseconds> taken;
    for (int start = 0; start < 11; ++start) {
      taken.push_back(player.loading_time(numbers));
    }
    std::sort(taken.begin(), taken.end());
    INFO(program << ", microseconds of a core: least " << taken.front() / 1us << ", median "
                 << taken[taken.size() / 2] / 1us << ", most " << taken.back() / 1us);
    CHECK(taken.back() < kLoading);
  }
}
