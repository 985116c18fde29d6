#pragma once
/// @file Settings of one node: a TOML file, with command line flags over it.

#include <cstdint>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/log.hpp"

namespace madderdeck::config {

/// Everything a node must know before it can join a fleet.
struct Settings {
  // [node]
  std::string id;
  std::string zone;
  std::string region;
  std::vector<std::string> roles{"gateway", "scheduler", "ledger", "controller"};
  std::string peer_address;  ///< ip:port for peers, UDP and TCP.
  std::string api_address;   ///< ip:port for callers and operators.
  std::vector<std::string> seeds;
  std::vector<std::string> zones;  ///< When given, zone must be one of them.
  std::string data_folder;         ///< Only for the ledger role.
  // [platform]
  std::string platform_endpoint;
  // [limits]
  std::int64_t max_body_bytes = 4 << 20;
  std::int64_t max_header_bytes = 16 << 10;
  std::int64_t max_connections = 10'000;
  std::int64_t sender_timeout_ms = 30'000;
  // [drain]
  std::int64_t drain_grace_ms = 2'000;
  std::int64_t drain_timeout_ms = 60'000;
  // [operators]
  std::string operator_key;
  // [engines]
  std::int64_t load_poll_ms = 1500;
  // [log]
  std::string log_level = "info";
  std::string log_file;

  /// @return the roles as bits of wire::MemberT::roles.
  std::uint32_t role_bits() const;
  bool has_role(const std::string& role) const;
};

/// One value that overrides the file, as given on the command line.
struct SettingOverride {
  std::string key;    ///< "table.key"
  std::string value;  ///< As it would stand in the file, strings without quotes.
};

/// Reads @p path (empty: no file), applies @p overrides and checks the whole.
/// @return ErrorKind::invalid_argument with file, line, key, what was found and what is allowed.
Result<Settings> load_settings(const std::string& path, const std::vector<SettingOverride>& overrides);

}  // namespace madderdeck::config
