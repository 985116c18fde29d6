/// @file madderdeck-emulator: stand-ins for engines, services and the platform.

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

#include "emulator/servers.hpp"
#include "net/http_types.hpp"

DEFINE_string(address, "127.0.0.1:9100", "Listening address, ip:port.");
DEFINE_int32(count, 1, "engine: how many engines, on ports from the address on.");
DEFINE_string(models, "booking-7b", "engine: loaded models, with commas between.");
DEFINE_string(service, "slots", "service: its name.");
DEFINE_string(zone, "", "Zone for the machine list.");
DEFINE_string(platform, "", "Platform to register with, ip:port.");
DEFINE_int32(slots, 16, "engine: sequences decoded together; service: calls at a time.");
DEFINE_int32(step_us, 8000, "engine: decode step of an empty batch, microseconds.");
DEFINE_int32(step_per_sequence_us, 100, "engine: added to the step for each sequence.");
DEFINE_double(prefill_tokens_per_ms, 40, "engine: prompt tokens a millisecond.");
DEFINE_string(ends_on, "", "engine: the process ends soon after it has begun a prompt that holds this.");
DEFINE_int32(report_lag_ms, 300, "engine: age of load reports.");
DEFINE_int32(work_ms, 5, "service: time one call takes.");
DEFINE_string(journal, "", "service: file that lists what ran.");
DEFINE_int32(machine_lag_ms, 1000, "platform: how late the machine list is.");
DEFINE_int32(max_watchers, 8, "platform: watches at a time on one table.");
DEFINE_double(weight_bytes_per_second, 1e9, "platform: rate of the weight store.");
DEFINE_string(state, "", "platform: file that keeps objects over a restart.");

namespace {

using namespace madderdeck;

std::vector<std::string> engine_addresses() {
  net::Endpoint first;
  std::vector<std::string> addresses;
  if (net::parse_endpoint(FLAGS_address, first)) {
    for (int number = 0; number < FLAGS_count; ++number) {
      addresses.push_back(first.ip + ":" + std::to_string(first.port + number));
    }
  }
  return addresses;
}

Status serve(const std::string& system) {
  if (system == "engine") {
    emulator::EngineServerOptions options;
    options.addresses = engine_addresses();
    options.models = FLAGS_models;
    options.zone = FLAGS_zone;
    options.platform = FLAGS_platform;
    options.profile.slots = static_cast<std::uint32_t>(FLAGS_slots);
    options.profile.step = Duration(FLAGS_step_us);
    options.profile.step_per_sequence = Duration(FLAGS_step_per_sequence_us);
    options.profile.prefill_tokens_per_ms = FLAGS_prefill_tokens_per_ms;
    options.profile.report_lag = std::chrono::milliseconds(FLAGS_report_lag_ms);
    options.ends_on = FLAGS_ends_on;
    return emulator::serve_engines(options);
  }
  if (system == "service") {
    emulator::ServiceServerOptions options;
    options.address = FLAGS_address;
    options.service = FLAGS_service;
    options.zone = FLAGS_zone;
    options.platform = FLAGS_platform;
    options.slots = static_cast<std::uint32_t>(FLAGS_slots);
    options.work_time = std::chrono::milliseconds(FLAGS_work_ms);
    options.journal_file = FLAGS_journal;
    return emulator::serve_service(options);
  }
  if (system == "platform") {
    emulator::PlatformServerOptions options;
    options.address = FLAGS_address;
    options.machine_lag = std::chrono::milliseconds(FLAGS_machine_lag_ms);
    options.max_watchers = static_cast<std::size_t>(FLAGS_max_watchers);
    options.weight_bytes_per_second = FLAGS_weight_bytes_per_second;
    options.state_file = FLAGS_state;
    return emulator::serve_platform(options);
  }
  return Error{ErrorKind::invalid_argument, "found '" + system + "', allowed is engine, service or platform"};
}

}  // namespace

int main(int argument_count, char** arguments) {
  gflags::SetUsageMessage("madderdeck-emulator engine|service|platform [flags]");
  gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
  const Status status = serve(argument_count > 1 ? arguments[1] : "");
  if (!succeeded(status)) {
    std::cerr << "madderdeck-emulator: " << error_kind_name(error_of(status).kind) << ": " << error_of(status).detail
              << std::endl;
    return exit_code_for(error_of(status).kind);
  }
  return 0;
}
