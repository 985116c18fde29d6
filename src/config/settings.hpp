#pragma once
/// @file Settings of one node: a TOML file, with command line flags over it.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/log.hpp"
#include "policy/policies.hpp"

namespace madderdeck::config {

/// One value that overrides the file, as given on the command line.
struct SettingOverride {
  std::string key;    ///< "table.key"
  std::string value;  ///< As it would stand in the file, strings without quotes.
};

/// Everything a node must know before it can join a fleet.
struct Settings {
  // [node]
  std::string id;
  std::string zone;
  std::string region;
  std::vector<std::string> roles{"gateway", "scheduler", "ledger", "controller"};
  std::string peer_address;     ///< ip:port for peers, UDP and TCP.
  std::string api_address;      ///< ip:port for callers and operators.
  std::string probe_address;    ///< ip:port for readiness probes, where they come to an address of their own.
  std::string metrics_address;  ///< ip:port for metrics, where they are read at an address of their own.
  std::vector<std::string> seeds;
  std::int64_t seed_port = 0;      ///< When given, it stands for the ports of the seeds.
  std::vector<std::string> zones;  ///< When given, zone must be one of them.
  std::string data_folder;         ///< Only for the ledger role.
  std::string cpu_share;           ///< Of a core, as a decimal number; the better equipped decide for the others.
  // [platform]
  std::string platform_endpoint;
  std::int64_t ledger_tolerated_losses = 1;   ///< Disks that may be lost at once; groups have 2 n + 1 replicas.
  std::int64_t platform_readers = 2;          ///< Controllers that watch the platform's store.
  std::int64_t platform_all_read_up_to = 0;   ///< In fleets of so many controllers or fewer all watch it.
  std::int64_t platform_feed_silence_ms = 0;  ///< Others look themselves after it; 0: never.
  std::int64_t platform_apply_within_ms = 0;  ///< Bound for new configuration; feed, looks and waits follow; 0: none.
  std::int64_t platform_retry_ms = 1'000;     ///< Pause after a watch that failed.
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
  std::int64_t loads_pushed = 0;  ///< 1: engines tell their load with each answer.
  /// For how long after the platform's store took an engine's leaving requests may still reach it; 0: not told.
  std::int64_t leave_notice_ms = 0;
  std::int64_t subset_size = 16;  ///< Engines of a pool that this node uses, until a fleet policy is declared.
  // [policies]: what the node decides by; the names that policy::policy_set_builder takes.
  std::string policy_headroom = "fixed";
  std::string policy_item_order = "deadline";
  std::string policy_engine_choice = "reports";
  std::string policy_call_order = "engine";
  std::int64_t batch_headroom_slots = 2;  ///< Engine slots batch never takes, until a fleet policy is declared.
  // [ledger]
  std::int64_t ledger_groups = 16;           ///< Replica groups of a fleet that is founded.
  std::int64_t ledger_replace_after_ms = 0;  ///< Silence after which a replica is replaced; 0: as the policy says.
  std::int64_t ledger_check_ms = 1'000;      ///< How often the replica groups are looked at.
  // [tenants]
  std::int64_t zone_evacuations = 0;         ///< 1: operators evacuate zones through the platform's store.
  std::string tenant_rate_window_s = "5";    ///< Over which rates are judged; a decimal number of seconds.
  std::int64_t tenant_keys_useful_ms = 0;    ///< Age of the configuration up to which keys are sure; 0: any.
  std::int64_t tenant_keys_fail_closed = 0;  ///< 1: nothing is served on keys that are older.
  // [membership]
  std::int64_t membership_period_ms = 1'000;
  // [log]
  std::string log_level = "info";
  std::string log_file;

  std::string source_path;                        ///< The file; empty for none.
  std::vector<SettingOverride> source_overrides;  ///< What the command line changed.

  /// Reads the same file with the same overrides again.
  Result<Settings> reread() const;
  /// @return the roles as bits of wire::MemberT::roles.
  std::uint32_t role_bits() const;
  /// @return cpu_share in hundredths of a core; 0 when it is not stated.
  std::uint32_t capacity() const;
  /// @return tenant_rate_window_s; zero where it is none that is allowed.
  std::chrono::milliseconds tenant_rate_window() const;
  /// @return the policies named, or ErrorKind::invalid_argument.
  Result<policy::policy_set> policies() const;
  bool has_role(const std::string& role) const;
};

/// Reads @p path (empty: no file), applies @p overrides and checks the whole.
/// @return ErrorKind::invalid_argument with file, line, key, what was found and what is allowed.
Result<Settings> load_settings(const std::string& path, const std::vector<SettingOverride>& overrides);

}  // namespace madderdeck::config
