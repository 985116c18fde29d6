#pragma once
/// @file Settings of one node: a TOML file, overridden by command line flags.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/log.hpp"
#include "policy/policies.hpp"

namespace madderdeck::config {

/// A value from the command line that overrides the one in the file.
struct SettingOverride {
  std::string key;    ///< "table.key"
  std::string value;  ///< In the syntax of the file, but strings without quotes.
};

/// All settings that a node needs before it can join a fleet.
struct Settings {
  // [node]
  std::string id;
  std::string zone;
  std::string region;
  std::vector<std::string> roles{"gateway", "scheduler", "ledger", "controller"};
  std::string peer_address;     ///< ip:port for peers, UDP and TCP.
  std::string api_address;      ///< ip:port for callers and operators.
  std::string probe_address;    ///< ip:port for readiness probes, if they use a separate address.
  std::string metrics_address;  ///< ip:port for metrics, if they use a separate address.
  std::vector<std::string> seeds;
  std::int64_t seed_port = 0;      ///< If not 0, replaces the ports of the seeds.
  std::vector<std::string> zones;  ///< If not empty, zone must be one of them.
  std::string data_folder;         ///< Only for the ledger role.
  std::string cpu_share;  ///< Share of a core, as a decimal number; nodes with a higher capacity coordinate the others.
  // [platform]
  std::string platform_endpoint;
  std::int64_t ledger_tolerated_losses =
      1;                              ///< Disks that may fail at the same time (n); groups have 2 n + 1 replicas.
  std::int64_t platform_readers = 2;  ///< Controllers that watch the platform's store.
  std::int64_t platform_all_read_up_to = 0;   ///< With at most this many controllers, all of them watch the store.
  std::int64_t platform_feed_silence_ms = 0;  ///< Time without feed after which non-readers read the store; 0: never.
  std::int64_t platform_apply_within_ms =
      0;  ///< Max time to apply new configuration; sets feed, poll and wait times; 0: none.
  std::int64_t platform_retry_ms = 1'000;  ///< Delay after a failed watch.
  // [limits]
  std::int64_t max_body_bytes = 4 << 20;
  std::int64_t max_header_bytes = 16 << 10;
  std::int64_t max_connections = 10'000;
  std::int64_t sender_timeout_ms = 30'000;
  std::int64_t memory_mb = 0;        ///< Memory that the process may use, in units of 10^6 bytes; 0: unknown.
  std::int64_t max_descriptors = 0;  ///< Descriptors that the process may have open; 0: unknown.
  std::int64_t disk_mb = 0;          ///< Bytes that the data folder may hold, in units of 10^6; 0: unknown.
  // [drain]
  std::int64_t drain_grace_ms = 2'000;
  std::int64_t drain_timeout_ms = 60'000;
  // [operators]
  std::string operator_key;
  // [engines]
  std::int64_t load_poll_ms = 1500;
  std::int64_t loads_pushed = 0;  ///< 1: engines report their load with each answer.
  /// Time for which requests may still reach an engine after the platform's store recorded that it leaves; 0: unknown.
  std::int64_t leave_notice_ms = 0;
  std::int64_t subset_size = 16;  ///< Engines of a pool that this node uses, until a fleet policy is declared.
  // [policies]: decision policies of the node, by the names that policy::policy_set_builder accepts.
  std::string policy_headroom = "fixed";
  std::string policy_item_order = "deadline";
  std::string policy_engine_choice = "reports";
  std::string policy_call_order = "engine";
  std::int64_t batch_headroom_slots =
      2;  ///< Slots of an engine that batch work never uses, until a fleet policy is declared.
  // [ledger]
  std::int64_t ledger_groups = 16;  ///< Number of replica groups in a newly created fleet.
  std::int64_t ledger_replace_after_ms =
      0;  ///< Unresponsive time after which a replica is replaced; 0: see the fleet policy.
  std::int64_t ledger_check_ms = 1'000;  ///< Interval between checks of the replica groups.
  // [tenants]
  std::int64_t zone_evacuations = 0;         ///< 1: operators evacuate zones through the platform's store.
  std::string tenant_rate_window_s = "5";    ///< Window for rate limits; a decimal number of seconds.
  std::int64_t tenant_keys_useful_ms = 0;    ///< Maximum age of the configuration at which keys are trusted; 0: any.
  std::int64_t tenant_keys_fail_closed = 0;  ///< 1: requests whose keys exceed that age are refused.
  // [membership]
  std::int64_t membership_period_ms = 1'000;
  // [log]
  std::string log_level = "info";
  std::string log_file;

  std::string source_path;                        ///< Path of the settings file; empty for none.
  std::vector<SettingOverride> source_overrides;  ///< Overrides from the command line.

  /// Reloads the same file with the same overrides.
  Result<Settings> reread() const;
  /// @return the roles as bits of wire::MemberT::roles.
  std::uint32_t role_bits() const;
  /// @return cpu_share in hundredths of a core; 0 when it is not stated.
  std::uint32_t capacity() const;
  /// @return tenant_rate_window_s as a duration; zero if the value is not allowed.
  std::chrono::milliseconds tenant_rate_window() const;
  /// @return the policies that the settings name, or ErrorKind::invalid_argument.
  Result<policy::policy_set> policies() const;
  bool has_role(const std::string& role) const;
};

/// Reads @p path (empty: no file), applies @p overrides and validates the result.
/// @return ErrorKind::invalid_argument with file, line, key, what was found and what is allowed.
Result<Settings> load_settings(const std::string& path, const std::vector<SettingOverride>& overrides);

/// @return the error of load_settings(), if there is one.
Status check_settings(const std::string& path, const std::vector<SettingOverride>& overrides);

/// @return ErrorKind::invalid_argument with the key, what was found and what is allowed, if an override names an
/// unknown
///         key or its value does not have the key's type.
Status check_overrides(const std::vector<SettingOverride>& overrides);

}  // namespace madderdeck::config
