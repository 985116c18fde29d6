#include "config/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <sstream>

#include <toml++/toml.h>

#include "membership/membership.hpp"
#include "net/http_types.hpp"

namespace madderdeck::config {
namespace {

constexpr std::int64_t kMillion = 1'000'000;

/// Source of a value, for error messages.
struct Origin {
  std::string file;
  std::int64_t line = 0;

  std::string text() const { return line == 0 ? "command line" : file + ":" + std::to_string(line); }
};

Error fault(const Origin& origin, const std::string& key, const std::string& found, const std::string& allowed) {
  return Error{ErrorKind::invalid_argument,
               origin.text() + ": " + key + ": found " + found + ", allowed is " + allowed};
}

/// A known key: its type, its range and its member in Settings.
struct Field {
  std::string Settings::*text = nullptr;
  std::vector<std::string> Settings::*list = nullptr;
  std::int64_t Settings::*number = nullptr;
  std::int64_t low = 0;
  std::int64_t high = 0;
  bool takes_fraction = false;  ///< A value with a fraction is rounded down.
};

Field text_field(std::string Settings::*member) { return Field{member}; }
Field list_field(std::vector<std::string> Settings::*member) { return Field{nullptr, member}; }
Field number_field(std::int64_t Settings::*member, std::int64_t low, std::int64_t high) {
  return Field{nullptr, nullptr, member, low, high};
}
/// A limit of the machine: whoever states it may write it with a fraction.
Field limit_field(std::int64_t Settings::*member) { return Field{nullptr, nullptr, member, 0, 1'000 * kMillion, true}; }

const std::map<std::string, Field>& known_fields() {
  static const std::map<std::string, Field> fields = {
      {"node.id", text_field(&Settings::id)},
      {"node.zone", text_field(&Settings::zone)},
      {"node.region", text_field(&Settings::region)},
      {"node.roles", list_field(&Settings::roles)},
      {"node.peer_address", text_field(&Settings::peer_address)},
      {"node.api_address", text_field(&Settings::api_address)},
      {"node.seeds", list_field(&Settings::seeds)},
      {"node.zones", list_field(&Settings::zones)},
      {"node.data_folder", text_field(&Settings::data_folder)},
      {"node.cpu_share", text_field(&Settings::cpu_share)},
      {"platform.endpoint", text_field(&Settings::platform_endpoint)},
      {"node.probe_address", text_field(&Settings::probe_address)},
      {"node.metrics_address", text_field(&Settings::metrics_address)},
      {"node.seed_port", number_field(&Settings::seed_port, 0, 65'535)},
      {"platform.readers", number_field(&Settings::platform_readers, 1, kMillion)},
      {"platform.all_read_up_to", number_field(&Settings::platform_all_read_up_to, 0, kMillion)},
      {"platform.feed_silence_ms", number_field(&Settings::platform_feed_silence_ms, 0, 600'000)},
      {"platform.apply_within_ms", number_field(&Settings::platform_apply_within_ms, 0, 600'000)},
      {"platform.zone_evacuations", number_field(&Settings::zone_evacuations, 0, 1)},
      {"platform.retry_ms", number_field(&Settings::platform_retry_ms, 10, 60'000)},
      {"engines.loads_pushed", number_field(&Settings::loads_pushed, 0, 1)},
      {"engines.leave_notice_ms", number_field(&Settings::leave_notice_ms, 0, 600'000)},
      {"engines.subset_size", number_field(&Settings::subset_size, 1, 100'000)},
      {"engines.batch_headroom_slots", number_field(&Settings::batch_headroom_slots, 0, 100'000)},
      {"policies.headroom", text_field(&Settings::policy_headroom)},
      {"policies.item_order", text_field(&Settings::policy_item_order)},
      {"policies.engine_choice", text_field(&Settings::policy_engine_choice)},
      {"policies.call_order", text_field(&Settings::policy_call_order)},
      {"tenants.rate_window_s", text_field(&Settings::tenant_rate_window_s)},
      {"tenants.keys_useful_ms", number_field(&Settings::tenant_keys_useful_ms, 0, 3600 * 1000)},
      {"tenants.keys_fail_closed", number_field(&Settings::tenant_keys_fail_closed, 0, 1)},
      {"membership.period_ms", number_field(&Settings::membership_period_ms, 50, 60'000)},
      {"ledger.groups", number_field(&Settings::ledger_groups, 1, 4'096)},
      {"ledger.tolerated_losses", number_field(&Settings::ledger_tolerated_losses, 0, 100)},
      {"ledger.replace_after_ms", number_field(&Settings::ledger_replace_after_ms, 0, kMillion)},
      {"ledger.check_ms", number_field(&Settings::ledger_check_ms, 50, 60'000)},
      {"limits.max_body_bytes", number_field(&Settings::max_body_bytes, 1024, 1024 * kMillion)},
      {"limits.max_header_bytes", number_field(&Settings::max_header_bytes, 512, kMillion)},
      {"limits.max_connections", number_field(&Settings::max_connections, 1, kMillion)},
      {"limits.sender_timeout_ms", number_field(&Settings::sender_timeout_ms, 10, kMillion)},
      {"limits.memory_mb", limit_field(&Settings::memory_mb)},
      {"limits.max_descriptors", limit_field(&Settings::max_descriptors)},
      {"limits.disk_mb", limit_field(&Settings::disk_mb)},
      {"drain.grace_ms", number_field(&Settings::drain_grace_ms, 0, kMillion)},
      {"drain.timeout_ms", number_field(&Settings::drain_timeout_ms, 0, 3600 * 1000)},
      {"operators.key", text_field(&Settings::operator_key)},
      {"engines.load_poll_ms", number_field(&Settings::load_poll_ms, 20, 2'000)},
      {"log.level", text_field(&Settings::log_level)},
      {"log.file", text_field(&Settings::log_file)},
  };
  return fields;
}

std::string describe(const toml::node& node) {
  std::ostringstream stream;
  stream << node.type();
  return stream.str();
}

/// @return @p number rounded down; nothing if it is not from @p field's range.
std::optional<std::int64_t> whole_number(const Field& field, double number) {
  if (!(number >= static_cast<double>(field.low) && number <= static_cast<double>(field.high))) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(number);
}

std::optional<std::int64_t> number_of(const Field& field, const toml::node& node) {
  if (const auto fraction = node.value_exact<double>(); fraction && field.takes_fraction) {
    return whole_number(field, *fraction);
  }
  return node.value_exact<std::int64_t>();
}

std::optional<Error> take_value(Settings& settings, const std::string& key, const Field& field, const toml::node& node,
                                const Origin& origin) {
  if (field.text != nullptr) {
    const auto value = node.value_exact<std::string>();
    if (!value) {
      return fault(origin, key, "a value of type " + describe(node), "a string");
    }
    settings.*field.text = *value;
  } else if (field.number != nullptr) {
    const auto value = number_of(field, node);
    if (!value || *value < field.low || *value > field.high) {
      const std::string found = value ? std::to_string(*value) : "a value of type " + describe(node);
      return fault(origin, key, found,
                   "an integer from " + std::to_string(field.low) + " to " + std::to_string(field.high));
    }
    settings.*field.number = *value;
  } else {
    const toml::array* array = node.as_array();
    if (array == nullptr) {
      return fault(origin, key, "a value of type " + describe(node), "a list of strings");
    }
    std::vector<std::string> values;
    for (const toml::node& element : *array) {
      const auto value = element.value_exact<std::string>();
      if (!value) {
        return fault(origin, key, "an element of type " + describe(element), "a string");
      }
      values.push_back(*value);
    }
    settings.*field.list = std::move(values);
  }
  return std::nullopt;
}

std::optional<Error> take_table(Settings& settings, const std::string& path, const std::string& prefix,
                                const toml::table& table) {
  for (const auto& [name, node] : table) {
    const std::string key = prefix.empty() ? std::string(name.str()) : prefix + "." + std::string(name.str());
    const Origin origin{path, static_cast<std::int64_t>(node.source().begin.line)};
    if (const toml::table* child = node.as_table(); child != nullptr && prefix.empty()) {
      if (const auto problem = take_table(settings, path, key, *child)) {
        return problem;
      }
      continue;
    }
    const auto field = known_fields().find(key);
    if (field == known_fields().end()) {
      return fault(origin, key, "an unknown key", "a documented key (see docs/operators/settings.md)");
    }
    if (const auto problem = take_value(settings, key, field->second, node, origin)) {
      return problem;
    }
  }
  return std::nullopt;
}

std::vector<std::string> split_list(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

std::optional<Error> take_override(Settings& settings, const SettingOverride& change) {
  const auto field = known_fields().find(change.key);
  if (field == known_fields().end()) {
    return fault(Origin{}, change.key, "an unknown key", "a documented key");
  }
  if (field->second.text != nullptr) {
    settings.*field->second.text = change.value;
    return std::nullopt;
  }
  if (field->second.list != nullptr) {
    settings.*field->second.list = split_list(change.value);
    return std::nullopt;
  }
  std::int64_t number = 0;
  const char* end = change.value.data() + change.value.size();
  auto parsed = std::from_chars(change.value.data(), end, number);
  if (double fraction = 0; field->second.takes_fraction && parsed.ptr != end) {
    parsed = std::from_chars(change.value.data(), end, fraction);
    number = whole_number(field->second, fraction).value_or(field->second.low - 1);
  }
  if (parsed.ec != std::errc() || parsed.ptr != end || number < field->second.low || number > field->second.high) {
    return fault(Origin{}, change.key, change.value,
                 "an integer from " + std::to_string(field->second.low) + " to " + std::to_string(field->second.high));
  }
  settings.*field->second.number = number;
  return std::nullopt;
}

std::optional<Error> check(const Settings& settings, const std::string& path) {
  const Origin origin{path.empty() ? "settings" : path, 1};
  const auto missing = [&](const char* key) { return fault(origin, key, "nothing", "a value"); };
  net::Endpoint endpoint;
  if (settings.id.empty()) {
    return missing("node.id");
  }
  if (settings.zone.empty()) {
    return missing("node.zone");
  }
  if (!settings.zones.empty() &&
      std::find(settings.zones.begin(), settings.zones.end(), settings.zone) == settings.zones.end()) {
    return fault(origin, "node.zone", settings.zone, "one of node.zones");
  }
  const std::map<std::string, std::string> addresses = {{"node.peer_address", settings.peer_address},
                                                        {"node.api_address", settings.api_address},
                                                        {"platform.endpoint", settings.platform_endpoint}};
  for (const auto& [key, address] : addresses) {
    if (!net::parse_endpoint(address, endpoint)) {
      return fault(origin, key, "'" + address + "'", "ip:port with an IP address");
    }
  }
  for (const std::string& seed : settings.seeds) {
    if (!net::parse_endpoint(seed, endpoint)) {
      return fault(origin, "node.seeds", "'" + seed + "'", "ip:port with an IP address");
    }
  }
  if (settings.peer_address == settings.api_address) {
    return fault(origin, "node.api_address", "the same as node.peer_address", "another address");
  }
  for (const std::string& role : settings.roles) {
    if (role != "gateway" && role != "scheduler" && role != "ledger" && role != "controller") {
      return fault(origin, "node.roles", role, "gateway, scheduler, ledger or controller");
    }
  }
  if (settings.roles.empty()) {
    return missing("node.roles");
  }
  if (settings.has_role("ledger") && settings.data_folder.empty()) {
    return fault(origin, "node.data_folder", "nothing", "a folder, since node.roles has ledger");
  }
  constexpr double kMaxCpuShare = 1'024;
  double share = 0;
  const char* end = settings.cpu_share.data() + settings.cpu_share.size();
  const auto parsed = std::from_chars(settings.cpu_share.data(), end, share);
  const bool is_share = parsed.ec == std::errc() && parsed.ptr == end && share > 0 && share <= kMaxCpuShare;
  if (!settings.cpu_share.empty() && !is_share) {
    return fault(origin, "node.cpu_share", "'" + settings.cpu_share + "'",
                 "a share of a core such as 0.25, or nothing");
  }
  if (settings.tenant_rate_window().count() == 0) {
    return fault(origin, "tenants.rate_window_s", "'" + settings.tenant_rate_window_s + "'",
                 "a number of seconds from 0.1 to 3600");
  }
  if (settings.tenant_keys_fail_closed != 0 && settings.tenant_keys_useful_ms == 0) {
    return fault(origin, "tenants.keys_useful_ms", "0", "a time of at least 1, since tenants.keys_fail_closed is 1");
  }
  if (const auto policies = settings.policies(); !succeeded(policies)) {
    return Error{ErrorKind::invalid_argument, origin.text() + ": " + error_of(policies).detail};
  }
  LogLevel level{};
  if (!parse_log_level(settings.log_level, level)) {
    return fault(origin, "log.level", settings.log_level, "debug, info, warning or error");
  }
  return std::nullopt;
}

/// Replaces the ports of the seeds by seed_port. Where all nodes listen for peers on one port, the configured seed
/// addresses may name another port of the same nodes.
void replace_seed_ports(Settings& settings) {
  if (settings.seed_port == 0) {
    return;
  }
  for (std::string& seed : settings.seeds) {
    seed = seed.substr(0, seed.rfind(':')) + ":" + std::to_string(settings.seed_port);
  }
}

}  // namespace

Result<policy::policy_set> Settings::policies() const {
  return policy::policy_set_builder()
      .headroom(policy_headroom)
      .item_order(policy_item_order)
      .engine_choice(policy_engine_choice)
      .call_order(policy_call_order)
      .build();
}

std::chrono::milliseconds Settings::tenant_rate_window() const {
  constexpr double kLeastSeconds = 0.1;
  constexpr double kMostSeconds = 3'600;
  constexpr double kMilliseconds = 1'000;
  double seconds = 0;
  const char* end = tenant_rate_window_s.data() + tenant_rate_window_s.size();
  const auto parsed = std::from_chars(tenant_rate_window_s.data(), end, seconds);
  const bool allowed =
      parsed.ec == std::errc() && parsed.ptr == end && seconds >= kLeastSeconds && seconds <= kMostSeconds;
  return std::chrono::milliseconds(allowed ? std::lround(seconds * kMilliseconds) : 0);
}

std::uint32_t Settings::capacity() const {
  constexpr double kHundredths = 100;
  double share = 0;
  std::from_chars(cpu_share.data(), cpu_share.data() + cpu_share.size(), share);
  return static_cast<std::uint32_t>(share * kHundredths);
}

bool Settings::has_role(const std::string& role) const {
  return std::find(roles.begin(), roles.end(), role) != roles.end();
}

std::uint32_t Settings::role_bits() const {
  using membership::Role;
  std::uint32_t bits = 0;
  bits |= has_role("gateway") ? static_cast<std::uint32_t>(Role::gateway) : 0;
  bits |= has_role("scheduler") ? static_cast<std::uint32_t>(Role::scheduler) : 0;
  bits |= has_role("ledger") ? static_cast<std::uint32_t>(Role::ledger) : 0;
  bits |= has_role("controller") ? static_cast<std::uint32_t>(Role::controller) : 0;
  return bits;
}

Result<Settings> Settings::reread() const { return load_settings(source_path, source_overrides); }

Result<Settings> load_settings(const std::string& path, const std::vector<SettingOverride>& overrides) {
  Settings settings;
  if (!path.empty()) {
    try {
      const toml::table table = toml::parse_file(path);
      if (const auto problem = take_table(settings, path, "", table)) {
        return *problem;
      }
    } catch (const toml::parse_error& failure) {
      return Error{ErrorKind::invalid_argument, path + ":" + std::to_string(failure.source().begin.line) + ": " +
                                                    std::string(failure.description())};
    }
  }
  for (const SettingOverride& change : overrides) {
    if (const auto problem = take_override(settings, change)) {
      return *problem;
    }
  }
  settings.source_path = path;
  settings.source_overrides = overrides;
  replace_seed_ports(settings);
  if (const auto problem = check(settings, path)) {
    return *problem;
  }
  return settings;
}

Status check_settings(const std::string& path, const std::vector<SettingOverride>& overrides) {
  const auto settings = load_settings(path, overrides);
  return succeeded(settings) ? Status(Ok{}) : error_of(settings);
}

Status check_overrides(const std::vector<SettingOverride>& overrides) {
  Settings settings;
  for (const SettingOverride& change : overrides) {
    if (const auto problem = take_override(settings, change)) {
      return *problem;
    }
  }
  return Ok{};
}

}  // namespace madderdeck::config
