/// The deploy files' settings, with placeholders filled in as the platform does, pass the program's settings check.
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <sstream>

#include "config/settings.hpp"

using namespace madderdeck;

namespace {

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Fills in single placeholders; the caller writes out the list of seeds.
std::string fill(std::string text, const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name, at + value.size())) {
      text.replace(at, name.size(), value);
    }
  }
  return text;
}

Result<config::Settings> load(const std::string& path, const std::string& platform_address) {
  const std::string filled = fill(
      read_file(path),
      {{"{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", "\"10.1.0.35:8146\",\"10.2.0.28:8146\""},
       {"{{#bounds.config_apply_ms}}apply_within_ms = {{.}}{{/bounds.config_apply_ms}}", "apply_within_ms = 4000"},
       {"{{#bounds.drain_ms}}leave_notice_ms = {{.}}{{/bounds.drain_ms}}", "leave_notice_ms = 3000"},
       {"{{#bounds.evacuate_ms}}zone_evacuations = 1{{/bounds.evacuate_ms}}", "zone_evacuations = 1"},
       {"{{#bounds.quota_window_s}}rate_window_s = \"{{.}}\"{{/bounds.quota_window_s}}", "rate_window_s = \"2.5\""},
       {"{{#bounds.revoke_ms}}keys_useful_ms = {{.}}{{/bounds.revoke_ms}}", "keys_useful_ms = 5000"},
       {"{{#bounds.revoke_fail_closed}}keys_fail_closed = 1{{/bounds.revoke_fail_closed}}", "keys_fail_closed = 1"},
       {"{{#limits.memory_mb}}memory_mb = {{.}}{{/limits.memory_mb}}", "memory_mb = 260"},
       {"{{#limits.max_fds}}max_descriptors = {{.}}{{/limits.max_fds}}", "max_descriptors = 4100.0"},
       {"{{#limits.disk_mb}}disk_mb = {{.}}{{/limits.disk_mb}}", ""},
       {"{{limits.cpu_share}}", "0.12"},
       {"{{node_name}}", "frontend-1"},
       {"{{zone}}", "abdali-hall"},
       {"{{region}}", "amman"},
       {"{{ip}}", "10.1.0.35"},
       {"{{port_range.0}}", "7660"},
       {"{{port_range.1}}", "7661"},
       {"{{listen.front}}", "10.1.0.35:8144"},
       {"{{listen.ready}}", "10.1.0.35:8140"},
       {"{{fault_tolerance.machines}}", "2"},
       {"{{data_dir}}", "/data/ledger"},
       {"{{platform.address}}", platform_address}});
  CHECK(filled.find("{{") == std::string::npos);
  const std::string file = "deploy-settings-test.toml";
  std::ofstream(file) << filled;
  auto settings = config::load_settings(file, {});
  std::remove(file.c_str());
  return settings;
}

}  // namespace

TEST_CASE("the deploy files' settings are valid") {
  const auto gateway = load("deploy/gateway.toml", "10.200.1.7:8142");
  REQUIRE(succeeded(gateway));
  CHECK(value_of(gateway).has_role("gateway"));
  CHECK_FALSE(value_of(gateway).has_role("ledger"));
  CHECK(value_of(gateway).seeds.at(0) == "10.1.0.35:7660");  // nodes listen for peers at the same port on every machine
  CHECK(value_of(gateway).platform_apply_within_ms == 4000);
  CHECK(value_of(gateway).leave_notice_ms == 3000);
  CHECK(value_of(gateway).zone_evacuations == 1);
  CHECK(value_of(gateway).capacity() == 12);
  CHECK(value_of(gateway).tenant_rate_window() == 2500ms);
  CHECK(value_of(gateway).tenant_keys_useful_ms == 5000);
  CHECK(value_of(gateway).tenant_keys_fail_closed == 1);
  CHECK(value_of(gateway).memory_mb == 260);
  CHECK(value_of(gateway).max_descriptors == 4100);
  CHECK(value_of(gateway).disk_mb == 0);
  const auto ledger = load("deploy/ledger.toml", "10.200.1.7:8142");
  REQUIRE(succeeded(ledger));
  CHECK(value_of(ledger).has_role("ledger"));
  CHECK(value_of(ledger).data_folder == "/data/ledger");
  CHECK(value_of(ledger).ledger_tolerated_losses == 2);
  CHECK(value_of(ledger).memory_mb == 260);
  CHECK(value_of(ledger).max_descriptors == 4100);
}

TEST_CASE("a malformed value in the deploy files' settings is a typed error") {
  const auto settings = load("deploy/gateway.toml", "nowhere");
  REQUIRE_FALSE(succeeded(settings));
  CHECK(error_of(settings).kind == ErrorKind::invalid_argument);
}
