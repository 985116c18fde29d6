#include "config/objects.hpp"

#include <boost/json.hpp>
#include <set>

namespace madderdeck::config {
namespace {

namespace json = boost::json;

/// Reads typed fields of a JSON object and keeps the first error.
class FieldReader {
 public:
  FieldReader(std::string_view text) {
    boost::system::error_code failure;
    value_ = json::parse(json::string_view(text.data(), text.size()), failure);
    if (failure) {
      fail("body", failure.message(), "a JSON object");
    } else if (!value_.is_object()) {
      fail("body", "a different JSON type", "a JSON object");
    }
  }

  void text(const char* name, std::string& target, bool required = false) {
    if (const json::value* field = find(name, required)) {
      if (!field->is_string()) {
        fail(name, json::serialize(*field), "a string");
        return;
      }
      target = std::string(field->as_string());
    }
  }
  void boolean(const char* name, bool& target) {
    if (const json::value* field = find(name, false)) {
      if (!field->is_bool()) {
        fail(name, json::serialize(*field), "true or false");
        return;
      }
      target = field->as_bool();
    }
  }
  template <class Number>
  void number(const char* name, Number& target, double low, double high) {
    if (const json::value* field = find(name, false)) {
      const double found = field->is_number() ? field->to_number<double>() : low - 1;
      if (!field->is_number() || found < low || found > high) {
        fail(name, json::serialize(*field), "a number from " + std::to_string(low) + " to " + std::to_string(high));
        return;
      }
      target = static_cast<Number>(found);
    }
  }
  std::string choice(const char* name, const std::string& fallback, const std::set<std::string>& allowed) {
    std::string found = fallback;
    text(name, found);
    if (!allowed.contains(found)) {
      std::string list;
      for (const auto& option : allowed) {
        list += (list.empty() ? "" : ", ") + option;
      }
      fail(name, found, "one of " + list);
    }
    return found;
  }
  const json::value* find(const char* name, bool required) {
    known_.insert(name);
    if (error_ || !value_.is_object()) {
      return nullptr;
    }
    const json::value* field = value_.as_object().if_contains(name);
    if (field == nullptr && required) {
      fail(name, "nothing", "a value");
    }
    return field;
  }
  void fail(const std::string& field, const std::string& found, const std::string& allowed) {
    if (!error_) {
      error_ = Error{ErrorKind::invalid_argument, field + ": found " + found + ", allowed is " + allowed};
    }
  }
  /// Accepts fields that were not read: a later version may have added them.
  void ignore_others() { strict_ = false; }
  /// @return the first error; fields that were not read count as errors unless ignore_others() was called.
  std::optional<Error> finish() {
    known_.insert({"kind", "name"});
    if (!strict_) {
      return error_;
    }
    if (!error_ && value_.is_object()) {
      for (const auto& field : value_.as_object()) {
        if (!known_.contains(std::string(field.key()))) {
          fail(std::string(field.key()), "an unknown field", "only the documented fields");
        }
      }
    }
    return error_;
  }

 private:
  json::value value_;
  std::set<std::string> known_;
  bool strict_ = true;
  std::optional<Error> error_;
};

template <class Object>
Result<Object> finish(FieldReader& reader, Object object) {
  if (const auto problem = reader.finish()) {
    return *problem;
  }
  return object;
}

constexpr double kLargest = 1e15;

}  // namespace

Result<Template> parse_template(const std::string& name, std::string_view text) {
  FieldReader reader(text);
  Template result;
  result.name = name;
  const std::string target = reader.choice("target", "model", {"model", "service"});
  result.target = target == "service" ? Target::service : Target::model;
  reader.text("pool", result.pool, true);
  reader.text("system_prompt", result.system_prompt);
  reader.number("max_tokens", result.max_tokens, 1, 100'000);
  reader.number("timeout_ms", result.timeout_ms, 10, 3'600'000);
  reader.boolean("repeatable", result.repeatable);
  reader.boolean("batch", result.batch);
  if (!result.repeatable && result.target == Target::model) {
    reader.fail("repeatable", "false", "true for templates whose target is a model");
  }
  if (!result.repeatable) {
    result.batch = false;
  }
  return finish(reader, std::move(result));
}

Result<Tenant> parse_tenant(const std::string& name, std::string_view text) {
  FieldReader reader(text);
  Tenant result;
  result.name = name;
  reader.text("api_key", result.api_key, true);
  reader.number("requests_per_second", result.requests_per_second, 0.001, 1e6);
  reader.number("burst", result.burst, 1, 1e6);
  reader.number("max_jobs", result.max_jobs, 0, 1e6);
  if (const json::value* parameters = reader.find("parameters", false)) {
    if (!parameters->is_object()) {
      reader.fail("parameters", json::serialize(*parameters), "an object of strings");
    } else {
      for (const auto& parameter : parameters->as_object()) {
        if (!parameter.value().is_string()) {
          reader.fail("parameters", json::serialize(parameter.value()), "a string");
          break;
        }
        result.parameters[std::string(parameter.key())] = std::string(parameter.value().as_string());
      }
    }
  }
  return finish(reader, std::move(result));
}

Result<Model> parse_model(const std::string& name, std::string_view text) {
  FieldReader reader(text);
  Model result;
  result.name = name;
  reader.text("version", result.version);
  reader.number("replicas", result.replicas, 0, 100'000);
  reader.number("weight_bytes", result.weight_bytes, 0, kLargest);
  return finish(reader, std::move(result));
}

Result<FleetPolicy> parse_fleet_policy(std::string_view text) {
  FieldReader reader(text);
  FleetPolicy result;
  const std::string routing =
      reader.choice("routing", "prefix_affinity", {"prefix_affinity", "least_connections", "round_robin"});
  if (routing == "least_connections") {
    result.routing = RoutingPolicyName::least_connections;
  } else if (routing == "round_robin") {
    result.routing = RoutingPolicyName::round_robin;
  }
  reader.number("subset_size", result.subset_size, 1, 10'000);
  reader.number("batch_headroom_slots", result.batch_headroom_slots, 0, 1000);
  reader.number("retry_percent", result.retry_percent, 0, 100);
  reader.number("online_queue_percent", result.online_queue_percent, 50, 10'000);
  reader.number("replace_ledger_node_after_s", result.replace_ledger_node_after_s, 1, 1e6);
  reader.boolean("batch_yields", result.batch_yields);
  return finish(reader, result);
}

Result<ledger::GroupMap> parse_group_map(std::string_view text) {
  FieldReader reader(text);
  ledger::GroupMap map;
  const json::value* groups = reader.find("groups", true);
  if (groups == nullptr || !groups->is_array()) {
    reader.fail("groups", "a different type", "an array");
    return *reader.finish();
  }
  try {
    for (const json::value& group_value : groups->as_array()) {
      ledger::ReplicaGroup group;
      group.epoch = group_value.at("epoch").to_number<std::uint64_t>();
      for (const json::value& replica : group_value.at("replicas").as_array()) {
        group.replicas.push_back(
            {NodeId(std::string(replica.at("node").as_string())), DiskId(std::string(replica.at("disk").as_string()))});
      }
      if (const json::value* leaving = group_value.as_object().if_contains("leaving")) {
        for (const json::value& replica : leaving->as_array()) {
          group.leaving.push_back({NodeId(std::string(replica.at("node").as_string())),
                                   DiskId(std::string(replica.at("disk").as_string()))});
        }
      }
      map.groups.push_back(std::move(group));
    }
  } catch (const std::exception& failure) {
    reader.fail("groups", failure.what(), "an epoch, and replicas with node and disk");
  }
  return finish(reader, std::move(map));
}

std::string format_group_map(const ledger::GroupMap& map) {
  json::array groups;
  for (const ledger::ReplicaGroup& group : map.groups) {
    const auto format = [](const std::vector<ledger::ReplicaIdentity>& list) {
      json::array replicas;
      for (const ledger::ReplicaIdentity& replica : list) {
        replicas.push_back(json::object{{"node", replica.node.str()}, {"disk", replica.disk.str()}});
      }
      return replicas;
    };
    json::object description{{"epoch", group.epoch}, {"replicas", format(group.replicas)}};
    if (!group.leaving.empty()) {
      description["leaving"] = format(group.leaving);
    }
    groups.push_back(std::move(description));
  }
  return json::serialize(json::object{{"groups", std::move(groups)}});
}

Result<Machine> parse_machine(const std::string& name, std::string_view text) {
  FieldReader reader(text);
  reader.ignore_others();  // entries may come from nodes of a later version
  Machine result;
  result.id = BackendId(name);
  const std::string target = reader.choice("target", "model", {"model", "service"});
  result.target = target == "service" ? Target::service : Target::model;
  const std::string state = reader.choice("state", "live", {"live", "leaving", "unreadable"});
  const bool readable = state != "unreadable";
  std::string pool;
  reader.text("pool", pool, readable);
  for (std::size_t start = 0; readable && start <= pool.size();) {
    const std::size_t end = std::min(pool.find(',', start), pool.size());
    result.pools.push_back(pool.substr(start, end - start));
    start = end + 1;
  }
  result.address = name;
  reader.text("address", result.address);
  reader.text("zone", result.zone);
  reader.number("slots", result.slots, 1, 100'000);
  result.leaving = state != "live";
  constexpr double kLatestStart = 1e15;
  reader.number("started_ms", result.started_unix_ms, 0, kLatestStart);
  constexpr double kLongestWarmUp = 3'600'000;
  reader.number("warm_up_left_ms", result.warm_up_left_ms, 0, kLongestWarmUp);
  reader.text("software_version", result.software_version);
  return finish(reader, std::move(result));
}

std::string format_machine(const Machine& machine) {
  std::string pools;
  for (const std::string& pool : machine.pools) {
    pools += (pools.empty() ? "" : ",") + pool;
  }
  json::object fields{{"target", machine.target == Target::service ? "service" : "model"},
                      {"pool", pools},
                      {"address", machine.address},
                      {"zone", machine.zone},
                      {"slots", machine.slots},
                      {"state", machine.leaving ? "leaving" : "live"},
                      {"started_ms", machine.started_unix_ms},
                      {"warm_up_left_ms", machine.warm_up_left_ms}};
  if (!machine.software_version.empty()) {
    fields["software_version"] = machine.software_version;
  }
  return json::serialize(fields);
}

Status check_object(const std::string& kind, const std::string& name, std::string_view text) {
  const auto verdict = [](const auto& parsed) -> Status {
    if (!succeeded(parsed)) {
      return error_of(parsed);
    }
    return Ok{};
  };
  if (name.empty() || name.find_first_of("/ \t\n") != std::string::npos) {
    return Error{ErrorKind::invalid_argument,
                 "name: found '" + name + "', allowed is a name without slashes or white space"};
  }
  if (text.size() > kMaxObjectBytes) {
    return Error{ErrorKind::limit_exceeded, "object is larger than " + std::to_string(kMaxObjectBytes) + " bytes"};
  }
  if (kind == kTemplateKind) {
    return verdict(parse_template(name, text));
  }
  if (kind == kTenantKind) {
    return verdict(parse_tenant(name, text));
  }
  if (kind == kModelKind) {
    return verdict(parse_model(name, text));
  }
  if (kind == kFleetPolicyKind) {
    if (name != kDefaultName) {
      return Error{ErrorKind::invalid_argument, "name: found " + name + ", allowed is default for fleet_policy"};
    }
    return verdict(parse_fleet_policy(text));
  }
  return Error{ErrorKind::invalid_argument,
               "kind: found '" + kind + "', allowed is template, tenant, model or fleet_policy"};
}

std::string fill_parameters(const std::string& text, const Tenant& tenant) {
  std::string filled;
  std::size_t position = 0;
  while (position < text.size()) {
    const std::size_t open = text.find('{', position);
    const std::size_t close = open == std::string::npos ? open : text.find('}', open);
    if (close == std::string::npos) {
      break;
    }
    const auto parameter = tenant.parameters.find(text.substr(open + 1, close - open - 1));
    filled.append(text, position, open - position);
    filled.append(parameter == tenant.parameters.end() ? text.substr(open, close - open + 1) : parameter->second);
    position = close + 1;
  }
  return filled.append(text, position);
}

// --- catalog --------------------------------------------------------------------------------

namespace {
template <class Object, class Parser>
void update_named(std::map<std::string, std::shared_ptr<const Object>>& objects, const std::string& name,
                  const Entry* entry, Parser parse) {
  if (entry == nullptr) {
    objects.erase(name);
    return;
  }
  const auto parsed = parse(name, entry->body);
  if (succeeded(parsed)) {
    objects[name] = std::make_shared<const Object>(value_of(parsed));
  }
}
}  // namespace

void Catalog::update_tenant(const std::string& name, const Entry* entry) {
  if (const auto known = find_tenant(name)) {
    tenant_of_key_.erase(known->api_key);
  }
  update_named(tenants_, name, entry, parse_tenant);
  if (const auto tenant = find_tenant(name)) {
    tenant_of_key_[tenant->api_key] = name;
  }
}

void Catalog::update_routes(const std::string& body) {
  auto parsed = forwarding::parse_route_table(body);
  if (succeeded(parsed) && (!routes_ || value_of(parsed).version >= routes_->version)) {
    routes_ = std::make_shared<const forwarding::RouteTable>(std::move(value_of(parsed)));
  }
}

void Catalog::update(const VersionedTable& table, const std::vector<EntryKey>& keys) {
  for (const EntryKey& key : keys) {
    const Entry* entry = table.find(key);
    if (key.kind == kTemplateKind) {
      update_named(templates_, key.name, entry, parse_template);
    } else if (key.kind == kTenantKind) {
      update_tenant(key.name, entry);
    } else if (key.kind == kModelKind) {
      update_named(models_, key.name, entry, parse_model);
    } else if (key.kind == kFleetPolicyKind) {
      const auto parsed = parse_fleet_policy(entry == nullptr ? "{}" : entry->body);
      policy_ = succeeded(parsed) ? value_of(parsed) : policy_;
    } else if (key.kind == kReplicaGroupsKind && entry != nullptr) {
      auto parsed = parse_group_map(entry->body);
      groups_ = succeeded(parsed) ? std::move(value_of(parsed)) : groups_;
    } else if (key.kind == forwarding::kRouteTableKind && entry != nullptr) {
      update_routes(entry->body);
    }
  }
}

namespace {
template <class Object>
std::shared_ptr<const Object> find_in(const std::map<std::string, std::shared_ptr<const Object>>& objects,
                                      const std::string& name) {
  const auto found = objects.find(name);
  return found == objects.end() ? nullptr : found->second;
}
template <class Object>
std::vector<std::shared_ptr<const Object>> all_of(const std::map<std::string, std::shared_ptr<const Object>>& objects) {
  std::vector<std::shared_ptr<const Object>> all;
  for (const auto& [name, object] : objects) {
    all.push_back(object);
  }
  return all;
}
}  // namespace

std::shared_ptr<const Template> Catalog::find_template(const std::string& name) const {
  return find_in(templates_, name);
}
std::shared_ptr<const Tenant> Catalog::find_tenant(const std::string& name) const { return find_in(tenants_, name); }
std::shared_ptr<const Tenant> Catalog::tenant_by_key(const std::string& api_key) const {
  const auto name = tenant_of_key_.find(api_key);
  return name == tenant_of_key_.end() ? nullptr : find_tenant(name->second);
}
std::vector<std::shared_ptr<const Template>> Catalog::templates() const { return all_of(templates_); }
std::vector<std::shared_ptr<const Model>> Catalog::models() const { return all_of(models_); }

}  // namespace madderdeck::config
