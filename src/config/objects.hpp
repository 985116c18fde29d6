#pragma once
/// @file Objects that operators declare, and their validation.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.hpp"
#include "config/versioned_table.hpp"
#include "forwarding/route_table.hpp"
#include "ledger/groups.hpp"

namespace madderdeck::config {

/// The kind of back end that a template calls: a model on an engine, or an application service.
enum class Target { model, service };

/// A kind of work. Callers name it where the OpenAI API names a model.
struct Template {
  std::string name;
  Target target = Target::model;
  std::string pool;           ///< Model name or service name.
  std::string system_prompt;  ///< May contain {parameter} placeholders, which are replaced per tenant.
  std::uint32_t max_tokens = 128;
  std::uint32_t timeout_ms = 30'000;
  bool repeatable = true;  ///< False: at most one run for each Idempotency-Key.
  bool batch = true;       ///< Whether batch jobs may use it.
};

/// A customer of the fleet with its key and its limits.
struct Tenant {
  std::string name;
  std::string api_key;
  double requests_per_second = 1000;
  double burst = 2000;
  std::uint32_t max_jobs = 1000;
  std::map<std::string, std::string> parameters;
};

/// A model version and the number of engines that should have it loaded.
struct Model {
  std::string name;
  std::string version;
  std::uint32_t replicas = 0;  ///< 0: only engines that have already loaded it.
  std::uint64_t weight_bytes = 0;
};

/// How engines are chosen for live requests.
enum class RoutingPolicyName { prefix_affinity, least_connections, round_robin };

/// Fleet-wide settings that can change at run time.
struct FleetPolicy {
  RoutingPolicyName routing = RoutingPolicyName::prefix_affinity;
  std::uint32_t subset_size = 16;          ///< Engines of a pool that one gateway uses.
  std::uint32_t batch_headroom_slots = 2;  ///< Slots of an engine that batch work never uses.
  std::uint32_t retry_percent = 10;        ///< Retries as a percentage of requests.
  bool batch_yields = true;
  std::uint32_t online_queue_percent = 200;  ///< In-flight live requests per engine, as a percentage of its slots.
  std::uint32_t replace_ledger_node_after_s = 60;
};

Result<Template> parse_template(const std::string& name, std::string_view json);
Result<Tenant> parse_tenant(const std::string& name, std::string_view json);
Result<Model> parse_model(const std::string& name, std::string_view json);
Result<FleetPolicy> parse_fleet_policy(std::string_view json);
Result<ledger::GroupMap> parse_group_map(std::string_view json);
std::string format_group_map(const ledger::GroupMap& map);

/// Validates an object of any kind that operators can declare.
/// @return ErrorKind::invalid_argument with the field, what was found and what is allowed.
Status check_object(const std::string& kind, const std::string& name, std::string_view json);

/// Replaces the {parameter} placeholders in @p text by the tenant's parameters; unknown placeholders stay.
std::string fill_parameters(const std::string& text, const Tenant& tenant);

inline constexpr char kTemplateKind[] = "template";
inline constexpr char kTenantKind[] = "tenant";
inline constexpr char kModelKind[] = "model";
inline constexpr char kFleetPolicyKind[] = "fleet_policy";
inline constexpr char kReplicaGroupsKind[] = "replica_groups";
inline constexpr char kDefaultName[] = "default";
inline constexpr std::size_t kMaxObjectBytes = 16 * 1024;

/// Parsed view of the declared objects, kept up to date entry by entry. Not thread safe.
class Catalog {
 public:
  /// Updates the view with the current entries of the changed @p keys in @p table.
  void update(const VersionedTable& table, const std::vector<EntryKey>& keys);

  std::shared_ptr<const Template> find_template(const std::string& name) const;
  std::shared_ptr<const Tenant> find_tenant(const std::string& name) const;
  std::shared_ptr<const Tenant> tenant_by_key(const std::string& api_key) const;
  std::vector<std::shared_ptr<const Template>> templates() const;
  std::vector<std::shared_ptr<const Model>> models() const;
  /// Sets the policy that applies until operators declare one.
  void set_default_policy(const FleetPolicy& policy) { policy_ = policy; }
  const FleetPolicy& policy() const { return policy_; }
  const ledger::GroupMap& groups() const { return groups_; }
  /// @return the current routes; null until the first routes are known.
  const forwarding::RouteTablePointer& routes() const { return routes_; }

 private:
  void update_tenant(const std::string& name, const Entry* entry);
  void update_routes(const std::string& body);

  std::map<std::string, std::shared_ptr<const Template>> templates_;
  std::map<std::string, std::shared_ptr<const Tenant>> tenants_;
  std::map<std::string, std::string> tenant_of_key_;
  std::map<std::string, std::shared_ptr<const Model>> models_;
  FleetPolicy policy_;
  ledger::GroupMap groups_;
  forwarding::RouteTablePointer routes_;
};

/// A back end as described by its entry in the platform's machine list.
struct Machine {
  BackendId id;
  std::string address;  ///< "ip:port"; the id itself if the list gives no address.
  Target target = Target::model;
  std::vector<std::string> pools;  ///< Models or services it offers.
  std::string zone;
  std::uint32_t slots = 1;
  bool leaving = false;
  std::uint64_t started_unix_ms = 0;  ///< When its current process started; 0: not reported.
  std::uint32_t warm_up_left_ms = 0;  ///< Remaining warm-up, with few requests, when the entry was written.
  /// Version of the back end's software, not of its weights; compared for equality only. Empty: not stated.
  std::string software_version;
};
/// Body of an entry that exists but cannot be parsed: the machine offers no pools and gets no work.
inline constexpr char kUnreadableMachine[] = R"({"state":"unreadable"})";
Result<Machine> parse_machine(const std::string& name, std::string_view json);
std::string format_machine(const Machine& machine);
inline constexpr char kMachineKind[] = "machine";
/// Entries are named after zones. While an entry exists, the back ends of its zone get no requests.
inline constexpr char kEvacuationKind[] = "zone_evacuation";

}  // namespace madderdeck::config
