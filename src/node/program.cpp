#include <gflags/gflags.h>

#include <iostream>

#include "config/settings.hpp"
#include "node/daemon.hpp"
#include "process/memory_bounds.hpp"
#include "process/terminate_report.hpp"

DEFINE_string(settings, "", "Settings file (TOML).");
DEFINE_bool(check_settings, false, "Check the settings, print the result and exit.");
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

int run_program(int argument_count, char** arguments, Integration& integration, const std::string& settings_path) {
  process::bound_thread_memory();
  process::install_terminate_report(log_lines_pending);
  gflags::SetUsageMessage("runs one madderdeck node; see docs/operators/settings.md");
  gflags::SetVersionString(MADDERDECK_VERSION);
  gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
  const auto settings = madderdeck::config::load_settings(FLAGS_settings.empty() ? settings_path : FLAGS_settings,
                                                          overrides_from_flags());
  if (!madderdeck::succeeded(settings)) {
    return fail(madderdeck::error_of(settings));
  }
  if (FLAGS_check_settings) {
    std::cout << "settings are valid" << std::endl;
    return 0;
  }
  const auto& checked = madderdeck::value_of(settings);
  madderdeck::LogLevel level{};
  madderdeck::parse_log_level(checked.log_level, level);
  node_threads threads;
  const Status resources = process::await_start(
      [&] {
        const Status created = threads.start(checked.has_role("ledger"));
        return succeeded(created) ? configure_logging(level, checked.log_file) : created;
      },
      threads.waited);
  if (!succeeded(resources)) {
    return fail(error_of(resources));
  }
  if (threads.waited.retries > 0) {
    log_event(LogLevel::warning, "start_waited",
              {{"waited_ms", threads.waited.waited.count()}, {"retries", threads.waited.retries}});
  }
  const auto status = madderdeck::node::run_daemon(checked, integration, threads);
  return madderdeck::succeeded(status) ? 0 : fail(madderdeck::error_of(status));
}

}  // namespace madderdeck::node
