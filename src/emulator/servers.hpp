#pragma once
/// @file The emulated outside systems as HTTP servers.

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "emulator/engine_model.hpp"

namespace madderdeck::emulator {

struct EngineServerOptions {
  std::vector<std::string> addresses;  ///< One engine for each.
  std::string models;                  ///< Names with commas between.
  std::string zone;
  std::string platform;  ///< Where to register; empty for nowhere.
  EngineProfile profile;
  std::string ends_on;  ///< The process ends soon after it has begun a prompt that holds this; empty for never.
};
/// Serves engines until the process ends.
Status serve_engines(const EngineServerOptions& options);

struct ServiceServerOptions {
  std::string address;
  std::string service;
  std::string zone;
  std::string platform;
  Duration work_time = 5ms;
  std::uint32_t slots = 64;
  std::string journal_file;  ///< One JSON object a line for each request that truly ran.
};
Status serve_service(const ServiceServerOptions& options);

struct PlatformServerOptions {
  std::string address;
  Duration machine_lag = 1s;  ///< How late the machine list is.
  std::size_t max_watchers = 8;
  double weight_bytes_per_second = 1e9;
  std::string state_file;  ///< Keeps objects over a restart; empty for memory only.
};
Status serve_platform(const PlatformServerOptions& options);

}  // namespace madderdeck::emulator
