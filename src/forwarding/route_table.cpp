#include "forwarding/route_table.hpp"

#include <array>
#include <boost/json.hpp>

namespace madderdeck::forwarding {
namespace {

namespace json = boost::json;
constexpr std::array<std::string_view, 4> kKindNames = {"repeatable", "unrepeatable", "stream", "batch"};

std::string text_of(const json::object& fields, const char* name) { return std::string(fields.at(name).as_string()); }

template <class Number>
void read_number(const json::object& fields, const char* name, Number& target) {
  if (const json::value* field = fields.if_contains(name)) {
    target = field->to_number<Number>();
  }
}

RouteKind parse_kind(const std::string& name) {
  for (std::size_t position = 0; position < kKindNames.size(); ++position) {
    if (kKindNames.at(position) == name) {
      return static_cast<RouteKind>(position);
    }
  }
  throw std::invalid_argument("kind: found " + name + ", allowed are repeatable, unrepeatable, stream and batch");
}

Route parse_route(const json::object& fields) {
  Route route;
  route.name = text_of(fields, "name");
  route.host = text_of(fields, "host");
  route.path_prefix = text_of(fields, "path_prefix");
  route.kind = parse_kind(text_of(fields, "kind"));
  for (const json::value& entry : fields.at("pools").as_array()) {
    WeightedPool pool;
    pool.pool = text_of(entry.as_object(), "pool");
    read_number(entry.as_object(), "weight", pool.weight);
    route.pools.push_back(std::move(pool));
  }
  read_number(fields, "timeout_ms", route.timeout_ms);
  read_number(fields, "target_ms", route.target_ms);
  read_number(fields, "silence_ms", route.silence_ms);
  read_number(fields, "max_attempts", route.max_attempts);
  read_number(fields, "priority", route.priority);
  read_number(fields, "run_target_ms", route.run_target_ms);
  read_number(fields, "keep_ms", route.keep_ms);
  read_number(fields, "max_queued_tokens", route.max_queued_tokens);
  route.resumable = fields.at("resumable").as_bool();
  route.prefix_affinity = fields.at("prefix_affinity").as_bool();
  const json::value* needs_no_key = fields.if_contains("needs_no_key");
  route.needs_no_key = needs_no_key != nullptr && needs_no_key->as_bool();
  return route;
}

json::object format_route(const Route& route) {
  json::array pools;
  for (const WeightedPool& pool : route.pools) {
    pools.push_back(json::object{{"pool", pool.pool}, {"weight", pool.weight}});
  }
  return json::object{{"name", route.name},
                      {"host", route.host},
                      {"path_prefix", route.path_prefix},
                      {"kind", kKindNames.at(static_cast<std::size_t>(route.kind))},
                      {"pools", std::move(pools)},
                      {"timeout_ms", route.timeout_ms},
                      {"target_ms", route.target_ms},
                      {"silence_ms", route.silence_ms},
                      {"max_attempts", route.max_attempts},
                      {"priority", route.priority},
                      {"run_target_ms", route.run_target_ms},
                      {"keep_ms", route.keep_ms},
                      {"max_queued_tokens", route.max_queued_tokens},
                      {"resumable", route.resumable},
                      {"prefix_affinity", route.prefix_affinity},
                      {"needs_no_key", route.needs_no_key}};
}

tenancy::tenant parse_tenant(const json::object& fields) {
  tenancy::tenant tenant;
  tenant.name = text_of(fields, "name");
  for (const json::value& key : fields.at("keys").as_array()) {
    tenant.keys.emplace_back(key.as_string());
  }
  read_number(fields, "priority", tenant.priority);
  read_number(fields, "per_second", tenant.rate.per_second);
  read_number(fields, "burst", tenant.rate.burst);
  return tenant;
}

json::object format_tenant(const tenancy::tenant& tenant) {
  return json::object{{"name", tenant.name},
                      {"keys", json::array(tenant.keys.begin(), tenant.keys.end())},
                      {"priority", tenant.priority},
                      {"per_second", tenant.rate.per_second},
                      {"burst", tenant.rate.burst}};
}

}  // namespace

const Route* RouteTable::match(std::string_view host, std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    const bool fits = route.host == host && path.starts_with(route.path_prefix);
    if (fits && (best == nullptr || route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const Route* RouteTable::find_batch_route(std::string_view host, std::string_view name,
                                          std::string_view path_prefix) const {
  const Route* same_prefix = nullptr;
  for (const Route& route : routes) {
    if (route.kind != RouteKind::batch || route.host != host) {
      continue;
    }
    if (route.name == name) {
      return &route;
    }
    if (!path_prefix.empty() && route.path_prefix == path_prefix) {
      same_prefix = &route;
    }
  }
  return same_prefix;
}

const Pool* RouteTable::find_pool(std::string_view name) const {
  for (const Pool& pool : pools) {
    if (pool.name == name) {
      return &pool;
    }
  }
  return nullptr;
}

Result<RouteTable> parse_route_table(std::string_view text) {
  try {
    const json::value document = json::parse(json::string_view(text.data(), text.size()));
    const json::object& fields = document.as_object();
    RouteTable table;
    read_number(fields, "version", table.version);
    for (const json::value& route : fields.at("routes").as_array()) {
      table.routes.push_back(parse_route(route.as_object()));
    }
    for (const json::value& entry : fields.at("pools").as_array()) {
      Pool pool;
      pool.name = text_of(entry.as_object(), "name");
      read_number(entry.as_object(), "max_connections", pool.max_connections);
      read_number(entry.as_object(), "warm_up_ms", pool.warm_up_ms);
      read_number(entry.as_object(), "warm_up_per_second", pool.warm_up_per_second);
      if (const json::value* path = entry.as_object().if_contains("health_path")) {
        pool.health_path = std::string(path->as_string());
      }
      table.pools.push_back(std::move(pool));
    }
    const json::object& limits = fields.at("limits").as_object();
    read_number(limits, "max_header_bytes", table.limits.max_header_bytes);
    read_number(limits, "max_body_bytes", table.limits.max_body_bytes);
    read_number(limits, "header_timeout_ms", table.limits.header_timeout_ms);
    read_number(limits, "idle_timeout_ms", table.limits.idle_timeout_ms);
    std::vector<tenancy::tenant> tenants;
    if (const json::value* entries = fields.if_contains("tenants")) {
      for (const json::value& entry : entries->as_array()) {
        tenants.push_back(parse_tenant(entry.as_object()));
      }
    }
    auto directory = tenancy::tenant_directory::build(std::move(tenants));
    if (!succeeded(directory)) {
      return error_of(directory);
    }
    table.tenants = std::move(value_of(directory));
    return table;
  } catch (const std::exception& failure) {
    return Error{ErrorKind::invalid_argument, std::string("route table: ") + failure.what()};
  }
}

std::string format_route_table(const RouteTable& table) {
  json::array routes;
  for (const Route& route : table.routes) {
    routes.push_back(format_route(route));
  }
  json::array pools;
  for (const Pool& pool : table.pools) {
    pools.push_back(json::object{{"name", pool.name},
                                 {"max_connections", pool.max_connections},
                                 {"warm_up_ms", pool.warm_up_ms},
                                 {"warm_up_per_second", pool.warm_up_per_second},
                                 {"health_path", pool.health_path}});
  }
  json::array tenants;
  for (const tenancy::tenant& tenant : table.tenants.tenants()) {
    tenants.push_back(format_tenant(tenant));
  }
  return json::serialize(json::object{{"version", table.version},
                                      {"routes", std::move(routes)},
                                      {"tenants", std::move(tenants)},
                                      {"pools", std::move(pools)},
                                      {"limits", json::object{{"max_header_bytes", table.limits.max_header_bytes},
                                                              {"max_body_bytes", table.limits.max_body_bytes},
                                                              {"header_timeout_ms", table.limits.header_timeout_ms},
                                                              {"idle_timeout_ms", table.limits.idle_timeout_ms}}}});
}

}  // namespace madderdeck::forwarding
