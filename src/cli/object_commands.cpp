/// @file Commands that declare, read, watch and delete objects.

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "cli/commands.hpp"
#include "cli/table.hpp"

namespace madderdeck::cli {
namespace {

namespace json = boost::json;
constexpr std::chrono::milliseconds kWaitStep{100};
constexpr int kWaitSteps = 300;

std::string path_of(const std::string& kind, const std::string& name) { return "/admin/objects/" + kind + "/" + name; }

Result<json::array> read_objects(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{ErrorKind::invalid_argument, "cannot read " + path};
  }
  std::ostringstream text;
  text << file.rdbuf();
  boost::system::error_code failure;
  json::value value = json::parse(text.str(), failure);
  if (failure) {
    return Error{ErrorKind::invalid_argument, path + ": " + failure.message()};
  }
  json::array objects = value.is_array() ? value.as_array() : json::array{value};
  for (const json::value& object : objects) {
    const json::object* fields = object.if_object();
    if (fields == nullptr || !fields->contains("kind") || !fields->contains("name")) {
      return Error{ErrorKind::invalid_argument, path + ": each object must have the fields kind and name"};
    }
  }
  return objects;
}

/// An object as currently declared in the fleet; revision 0 if it does not exist.
struct DeclaredObject {
  std::uint64_t revision = 0;
  json::value body;
};

Result<DeclaredObject> declared_object(FleetClient& fleet, const std::string& kind, const std::string& name) {
  const auto response = fleet.call("GET", path_of(kind, name));
  if (!succeeded(response)) {
    if (error_of(response).kind == ErrorKind::not_found) {
      return DeclaredObject{};
    }
    return error_of(response);
  }
  const json::value value = json::parse(value_of(response).body);
  return DeclaredObject{value.at("revision").to_number<std::uint64_t>(), value.at("body")};
}

/// Waits until every member of the fleet has applied @p revision.
Status wait_everywhere(FleetClient& fleet, std::uint64_t revision) {
  for (int step = 0; step < kWaitSteps; ++step) {
    const auto response = fleet.call("GET", "/admin/status");
    if (!succeeded(response)) {
      return error_of(response);
    }
    bool everywhere = true;
    const json::value status = json::parse(value_of(response).body);
    for (const json::value& member : status.at("members").as_array()) {
      if (member.at("state").as_string() == "dead") {
        continue;
      }
      const auto one = fleet.call_node(plain(member.at("api_address")), "GET", "/admin/status");
      everywhere = everywhere && succeeded(one) &&
                   json::parse(value_of(one).body).at("object_revision").to_number<std::uint64_t>() >= revision;
    }
    if (everywhere) {
      return Ok{};
    }
    std::this_thread::sleep_for(kWaitStep);
  }
  return Error{ErrorKind::unavailable, "revision " + std::to_string(revision) + " is not applied on all nodes yet"};
}

}  // namespace

Status run_apply(CommandContext& context) {
  auto objects = read_objects(context.file);
  if (!succeeded(objects)) {
    return error_of(objects);
  }
  json::array outcome;
  std::uint64_t latest = 0;
  for (const json::value& object : value_of(objects)) {
    const std::string kind = plain(object.at("kind"));
    const std::string name = plain(object.at("name"));
    std::string label = kind;
    label.append(" ").append(name);
    auto standing = declared_object(context.fleet, kind, name);
    if (!succeeded(standing)) {
      return error_of(standing);
    }
    std::uint64_t revision = value_of(standing).revision;
    const bool unchanged = revision != 0 && value_of(standing).body == object;
    if (!unchanged) {
      const std::uint64_t expected = context.expected_given ? context.expected : revision;
      const auto response = context.fleet.call("PUT", path_of(kind, name) + "?expected=" + std::to_string(expected),
                                               json::serialize(object));
      if (!succeeded(response)) {
        label.append(": ").append(error_of(response).detail);
        return Error{error_of(response).kind, label};
      }
      revision = json::parse(value_of(response).body).at("revision").to_number<std::uint64_t>();
    }
    latest = std::max(latest, revision);
    outcome.push_back(json::object{
        {"kind", kind}, {"name", name}, {"revision", revision}, {"outcome", unchanged ? "unchanged" : "accepted"}});
  }
  if (context.json) {
    std::cout << json::serialize(outcome) << std::endl;
  } else {
    print_table(outcome, {"kind", "name", "revision", "outcome"});
  }
  return context.wait ? wait_everywhere(context.fleet, latest) : Status(Ok{});
}

Status run_diff(CommandContext& context) {
  auto objects = read_objects(context.file);
  if (!succeeded(objects)) {
    return error_of(objects);
  }
  json::array differences;
  for (const json::value& object : value_of(objects)) {
    const std::string kind = plain(object.at("kind"));
    const std::string name = plain(object.at("name"));
    auto standing = declared_object(context.fleet, kind, name);
    if (!succeeded(standing)) {
      return error_of(standing);
    }
    const bool absent = value_of(standing).revision == 0;
    if (absent || value_of(standing).body != object) {
      differences.push_back(json::object{{"kind", kind},
                                         {"name", name},
                                         {"present", absent ? json::value() : value_of(standing).body},
                                         {"wanted", object}});
    }
  }
  if (context.json) {
    std::cout << json::serialize(differences) << std::endl;
  } else {
    print_table(differences, {"kind", "name", "present", "wanted"});
  }
  return Ok{};
}

Status run_get(CommandContext& context) {
  if (context.arguments.size() == 2) {
    const auto response = context.fleet.call("GET", path_of(context.arguments[0], context.arguments[1]));
    if (!succeeded(response)) {
      return error_of(response);
    }
    std::cout << value_of(response).body << std::endl;
    return Ok{};
  }
  const std::string kind = context.arguments.empty() ? "" : "?kind=" + context.arguments[0];
  const auto response = context.fleet.call("GET", "/admin/objects" + kind);
  if (!succeeded(response)) {
    return error_of(response);
  }
  if (context.json) {
    std::cout << value_of(response).body << std::endl;
  } else {
    print_table(json::parse(value_of(response).body).at("objects").as_array(), {"kind", "name", "revision", "body"});
  }
  return Ok{};
}

Status run_delete(CommandContext& context) {
  if (context.arguments.size() != 2) {
    return Error{ErrorKind::invalid_argument, "delete requires KIND and NAME"};
  }
  auto standing = declared_object(context.fleet, context.arguments[0], context.arguments[1]);
  if (!succeeded(standing)) {
    return error_of(standing);
  }
  const std::uint64_t expected = context.expected_given ? context.expected : value_of(standing).revision;
  const auto response = context.fleet.call(
      "DELETE", path_of(context.arguments[0], context.arguments[1]) + "?expected=" + std::to_string(expected));
  return succeeded(response) ? Status(Ok{}) : Status(error_of(response));
}

}  // namespace madderdeck::cli
