#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <optional>

#include "config/settings.hpp"
#include "node/allocator.hpp"
#include "node/daemon.hpp"
#include "node/held_signals.hpp"
#include "process/memory_bounds.hpp"
#include "process/terminate_report.hpp"

DEFINE_string(settings, "", "Settings file (TOML).");
DEFINE_bool(check_settings, false, "Check the settings, print the result and exit.");
DEFINE_int32(start_wait_ms, 90'000,
             "Time for which a start is tried again while the settings or an address cannot be had; 0: not at all.");
DEFINE_string(node_id, "", "Overrides node.id.");
DEFINE_string(zone, "", "Overrides node.zone.");
DEFINE_string(peer_address, "", "Overrides node.peer_address.");
DEFINE_string(api_address, "", "Overrides node.api_address.");
DEFINE_string(seeds, "", "Overrides node.seeds; comma-separated addresses.");
DEFINE_string(roles, "", "Overrides node.roles; comma-separated names.");
DEFINE_string(data_folder, "", "Overrides node.data_folder.");
DEFINE_string(platform_endpoint, "", "Overrides platform.endpoint.");
DEFINE_string(log_level, "", "Overrides log.level.");

namespace {

std::vector<madderdeck::config::SettingOverride> overrides_from_flags() {
  const std::vector<madderdeck::config::SettingOverride> given = {{"node.id", FLAGS_node_id},
                                                                  {"node.zone", FLAGS_zone},
                                                                  {"node.peer_address", FLAGS_peer_address},
                                                                  {"node.api_address", FLAGS_api_address},
                                                                  {"node.seeds", FLAGS_seeds},
                                                                  {"node.roles", FLAGS_roles},
                                                                  {"node.data_folder", FLAGS_data_folder},
                                                                  {"platform.endpoint", FLAGS_platform_endpoint},
                                                                  {"log.level", FLAGS_log_level}};
  std::vector<madderdeck::config::SettingOverride> set;
  for (const auto& change : given) {
    if (!change.value.empty()) {
      set.push_back(change);
    }
  }
  return set;
}

int fail(const madderdeck::Error& error) {
  std::cerr << "madderdeckd: " << madderdeck::error_kind_name(error.kind) << ": " << error.detail << std::endl;
  return madderdeck::exit_code_for(error.kind);
}

}  // namespace

namespace madderdeck::node {
namespace {

/// Starts one node, with as many attempts as it takes.
class node_start {
 public:
  node_start(std::string settings_path, std::vector<config::SettingOverride> overrides, Integration& integration,
             std::chrono::milliseconds limit)
      : settings_path_(std::move(settings_path)),
        overrides_(std::move(overrides)),
        integration_(integration),
        wait_(limit) {}

  /// @return the node; nothing if a signal requested the end before it had started.
  Result<std::optional<std::unique_ptr<prepared_node>>> run() {
    while (true) {
      auto attempted = attempt();
      if (succeeded(attempted)) {
        wait_.log_end();
        return std::move(value_of(attempted));
      }
      const Error& error = error_of(attempted);
      set_up_early_log();
      const start_wait::outcome outcome = wait_.wait_after(error);
      if (outcome == start_wait::outcome::told_to_end) {
        log_event(LogLevel::info, "start_ended_on_request", {{"waited_ms", wait_.effort().waited.count()}});
        return std::nullopt;
      }
      if (outcome == start_wait::outcome::given_up) {
        log_not_started(error);
        return error;
      }
    }
  }

  start_effort effort() const { return wait_.effort(); }

 private:
  /// The process-wide log, which is set up anew only when its settings have changed.
  class start_log {
   public:
    bool is_set_up() const { return is_set_up_; }
    /// @return ErrorKind::unavailable if the log's thread cannot be created.
    Status set_up(LogLevel level, const std::string& file) {
      if (is_set_up_ && level == level_ && file == file_) {
        return Ok{};
      }
      const Status configured = configure_logging(level, file);
      is_set_up_ = succeeded(configured);
      level_ = level;
      file_ = file;
      return configured;
    }

   private:
    bool is_set_up_ = false;
    LogLevel level_{};
    std::string file_;
  };

  /// @return ErrorKind::unavailable also if a thread or memory cannot be had.
  Result<std::unique_ptr<prepared_node>> attempt() {
    try {
      return attempt_once();
    } catch (const std::exception& failure) {
      return Error{ErrorKind::unavailable, std::string("start: ") + failure.what()};
    }
  }

  Result<std::unique_ptr<prepared_node>> attempt_once() {
    const auto settings = config::load_settings(settings_path_, overrides_);
    if (!succeeded(settings)) {
      return error_of(settings);
    }
    const config::Settings& checked = value_of(settings);
    node_id_ = checked.id;
    LogLevel level{};
    parse_log_level(checked.log_level, level);
    const Status logging = log_.set_up(level, checked.log_file);
    if (!succeeded(logging)) {
      return error_of(logging);
    }
    return prepare_node(checked, integration_);
  }

  /// Where the settings, which name the log file, cannot be read yet, lines go to standard output.
  void set_up_early_log() {
    if (log_.is_set_up()) {
      return;
    }
    try {
      // Without it, start_wait writes its lines to standard error.
      [[maybe_unused]] const Status outcome = log_.set_up(LogLevel::info, "");
    } catch (const std::exception& failure) {
      std::cerr << "madderdeckd: no log: " << failure.what() << std::endl;
    }
  }

  void log_not_started(const Error& error) const {
    const start_effort effort = wait_.effort();
    log_event(LogLevel::error, "node_not_started",
              {{"node", node_id_},
               {"kind", error_kind_name(error.kind)},
               {"error", error.detail},
               {"waited_ms", effort.waited.count()},
               {"retries", effort.retries}});
  }

  const std::string settings_path_;
  const std::vector<config::SettingOverride> overrides_;
  Integration& integration_;
  start_wait wait_;
  start_log log_;
  std::string node_id_;  ///< Empty until the settings could be read.
};

}  // namespace

int run_program(int argument_count, char** arguments, Integration& integration, const std::string& settings_path) {
  process::bound_thread_memory();
  return_large_blocks();
  process::install_terminate_report(log_lines_pending);
  gflags::SetUsageMessage("runs one madderdeck node; see docs/operators/settings.md");
  gflags::SetVersionString(MADDERDECK_VERSION);
  gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
  const std::string path = FLAGS_settings.empty() ? settings_path : FLAGS_settings;
  const auto overrides = overrides_from_flags();
  if (FLAGS_check_settings) {
    const Status checked = config::check_settings(path, overrides);
    if (succeeded(checked)) {
      std::cout << "settings are valid" << std::endl;
    }
    return succeeded(checked) ? 0 : fail(error_of(checked));
  }
  // Command line flags stay as they are as long as the process runs, so there is nothing to wait for.
  const Status flags = path.empty() ? config::check_settings("", overrides) : config::check_overrides(overrides);
  if (!succeeded(flags)) {
    return fail(error_of(flags));
  }
  hold_end_signals();
  node_start start(path, overrides, integration, std::chrono::milliseconds(std::max(0, FLAGS_start_wait_ms)));
  auto started = start.run();
  if (!succeeded(started) || !value_of(started)) {
    stop_logging();
    return succeeded(started) ? 0 : fail(error_of(started));
  }
  const auto node = std::move(*value_of(started));
  const Status status = node->run(start.effort());
  return succeeded(status) ? 0 : fail(error_of(status));
}

}  // namespace madderdeck::node
