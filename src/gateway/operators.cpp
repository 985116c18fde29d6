/// @file Operator endpoints: configuration objects and status.

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "gateway/api.hpp"
#include "gateway/group_status.hpp"
#include "gateway/problem.hpp"

namespace madderdeck::gateway {
namespace {

namespace json = boost::json;
constexpr char kPrefix[] = "/admin/objects";

json::object describe(const config::Entry& entry) {
  boost::system::error_code failure;
  json::value body = json::parse(entry.body, failure);
  json::object shown{{"kind", entry.key.kind}, {"name", entry.key.name}, {"revision", entry.revision}};
  shown["body"] = failure ? json::value(entry.body) : std::move(body);
  return shown;
}

void list_objects(ApiContext& context, const ExchangePointer& exchange) {
  const std::string kind = exchange->request().query("kind");
  json::array found;
  for (const char* known : {config::kTemplateKind, config::kTenantKind, config::kModelKind, config::kFleetPolicyKind,
                            config::kReplicaGroupsKind}) {
    if (!kind.empty() && kind != known) {
      continue;
    }
    for (const config::Entry* entry : context.core.objects.table().list(known)) {
      found.push_back(describe(*entry));
    }
  }
  const json::object answer{{"revision", context.core.objects.table().revision()}, {"objects", std::move(found)}};
  exchange->respond({200, "application/json", {}, json::serialize(answer)});
}

void declare(ApiContext& context, const ExchangePointer& exchange, const config::EntryKey& key) {
  const net::HttpRequest& request = exchange->request();
  object_store::PutRequest put;
  put.key = key;
  put.remove = request.method == "DELETE";
  put.body = request.body;
  const std::string expected = request.query("expected");
  const auto parsed = std::from_chars(expected.data(), expected.data() + expected.size(), put.expected_revision);
  if (expected.empty() || parsed.ec != std::errc()) {
    exchange->respond(
        problem(Error{ErrorKind::invalid_argument, "expected: must be the revision to replace, 0 for a new object"}));
    return;
  }
  const Status checked = put.remove ? Status(Ok{}) : config::check_object(key.kind, key.name, put.body);
  if (!succeeded(checked)) {
    exchange->respond(problem(error_of(checked)));
    return;
  }
  context.core.declarations.declare(std::move(put), [exchange](const Result<std::uint64_t>& result) {
    if (succeeded(result)) {
      exchange->respond({200, "application/json", {}, json::serialize(json::object{{"revision", value_of(result)}})});
      return;
    }
    const Error& error = error_of(result);
    const auto ran = error.kind == ErrorKind::ambiguous ? routing::Ran::unknown : routing::Ran::no;
    const bool transient = error.kind == ErrorKind::ambiguous || error.kind == ErrorKind::unavailable;
    exchange->respond(problem(routing::Refusal{error, ran, transient ? Duration(2s) : Duration::zero()}));
  });
}

json::array describe_members(const node::NodeCore& core) {
  json::array members;
  for (const wire::MemberT* member : core.members.members()) {
    members.push_back(json::object{{"id", member->id},
                                   {"state", membership::name_of(member->state)},
                                   {"zone", member->zone},
                                   {"peer_address", member->peer_address},
                                   {"api_address", member->api_address},
                                   {"disk_id", member->disk_id},
                                   {"roles", member->roles},
                                   {"incarnation", member->incarnation}});
  }
  return members;
}

/// @return the state of this node's own disk in the status document.
const char* disk_state(const node::NodeCore& core) {
  if (!core.replica) {
    return "none";
  }
  return core.replica->is_suspended() ? "refuses writes" : "open";
}

json::array describe_backends(const node::NodeCore& core) {
  json::array backends;
  for (const auto& [id, backend] : core.registry.backends()) {
    const bool ejected = core.environment.now() < backend.ejected_until;
    const char* state = !core.registry.open(backend) ? "leaving" : (ejected ? "ejected" : "open");
    backends.push_back(json::object{{"id", id.str()},
                                    {"pool", backend.machine.pools.empty() ? "" : backend.machine.pools.front()},
                                    {"zone", backend.machine.zone},
                                    {"state", state},
                                    {"slots", backend.machine.slots},
                                    {"online_in_flight", backend.online_in_flight},
                                    {"reported_online", backend.report.running_online},
                                    {"reported_batch", backend.report.running_batch}});
  }
  return backends;
}

}  // namespace

void handle_objects(ApiContext& context, const ExchangePointer& exchange) {
  const net::HttpRequest& request = exchange->request();
  std::string rest(request.path().substr(sizeof kPrefix - 1));
  if (rest.empty()) {
    list_objects(context, exchange);
    return;
  }
  rest.erase(0, 1);
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos) {
    exchange->respond(problem(Error{ErrorKind::invalid_argument, "the path must be /admin/objects/KIND/NAME"}));
    return;
  }
  const config::EntryKey key{rest.substr(0, slash), rest.substr(slash + 1)};
  if (request.method == "GET") {
    const config::Entry* entry = context.core.objects.table().find(key);
    if (entry == nullptr) {
      exchange->respond(problem(Error{ErrorKind::not_found, "no " + key.kind + " named " + key.name}));
    } else {
      exchange->respond({200, "application/json", {}, json::serialize(describe(*entry))});
    }
  } else if (request.method == "PUT" || request.method == "DELETE") {
    declare(context, exchange, key);
  } else {
    exchange->respond(problem(Error{ErrorKind::invalid_argument, "allowed methods are GET, PUT and DELETE"}));
  }
}

/// @return how many entries of back ends cannot be read, and offer none.
std::size_t unreadable_backends(const node::NodeCore& core) {
  const auto entries = core.machines.table().list(config::kMachineKind);
  return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [](const config::Entry* entry) {
    return entry->body == config::kUnreadableMachine;
  }));
}

void handle_status(ApiContext& context, const ExchangePointer& exchange) {
  const node::NodeCore& core = context.core;
  json::array jobs;
  if (core.jobs) {
    for (const batch::JobProgress& progress : core.jobs->progress()) {
      jobs.push_back(json::object{{"id", progress.job.str()},
                                  {"items", progress.items},
                                  {"settled", progress.settled},
                                  {"leased", progress.leased}});
    }
  }
  const json::object answer{{"node", core.members.self().id},
                            {"ready", core.ready() && !context.drain_started},
                            {"draining", core.draining() || context.drain_started},
                            {"object_revision", core.objects.table().revision()},
                            {"machine_revision", core.machines.table().revision()},
                            {"replica_groups", core.catalog.groups().groups.size()},
                            {"replica_synchronized", !core.replica || core.replica_is_current()},
                            {"disk", disk_state(core)},
                            {"live_active", core.live.active()},
                            {"members", describe_members(core)},
                            {"groups", describe_groups(*core.group_health)},
                            {"unreadable_backends", unreadable_backends(core)},
                            {"rejected_objects", context.core.counters["platform_objects_rejected_total"]},
                            {"backends", describe_backends(core)},
                            {"jobs", std::move(jobs)}};
  exchange->respond({200, "application/json", {}, json::serialize(answer)});
}

}  // namespace madderdeck::gateway
