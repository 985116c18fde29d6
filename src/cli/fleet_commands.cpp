/// @file Looking at the fleet and stopping nodes.

#include <boost/json.hpp>
#include <iostream>
#include <thread>

#include "cli/commands.hpp"
#include "cli/table.hpp"

namespace madderdeck::cli {
namespace {

namespace json = boost::json;
constexpr std::chrono::milliseconds kWatchStep{500};
constexpr std::chrono::milliseconds kTopStep{1000};

Result<json::value> read_status(FleetClient& fleet) {
  const auto response = fleet.call("GET", "/admin/status");
  if (!succeeded(response)) {
    return error_of(response);
  }
  return json::parse(value_of(response).body);
}

/// Adds to each member what only that member knows.
json::array members_with_details(FleetClient& fleet, const json::value& status) {
  json::array members;
  for (const json::value& member : status.at("members").as_array()) {
    json::object row = member.as_object();
    if (plain(row.at("state")) != "dead") {
      const auto one = fleet.call_node(plain(row.at("api_address")), "GET", "/admin/status");
      if (succeeded(one)) {
        const json::value details = json::parse(value_of(one).body);
        row["ready"] = details.at("ready");
        row["revision"] = details.at("object_revision");
        row["live"] = details.at("live_active");
        const json::value* disk = details.as_object().if_contains("disk");
        row["disk"] = disk == nullptr ? json::value("") : *disk;  // earlier versions do not tell it
      }
    }
    members.push_back(std::move(row));
  }
  return members;
}

/// @return the part of a row that tells of one member; nodes of earlier versions tell less.
json::object describe_member(const json::value& member) {
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  const json::object& told = member.as_object();
  json::object row{{"member", plain(told.at("node")) + "/" + plain(told.at("disk"))}, {"state", told.at("state")}};
  if (const json::value* held = told.if_contains("state_for_ms")) {
    row["for_s"] = held->to_number<std::int64_t>() / kMillisecondsPerSecond;
  }
  if (const json::value* why = told.if_contains("why")) {
    row["why"] = *why;
  }
  if (const json::value* heard = told.if_contains("heard_ms_ago")) {
    row["heard_s_ago"] = heard->to_number<std::int64_t>() / kMillisecondsPerSecond;
  }
  if (const json::value* address = told.if_contains("address")) {
    row["address"] = *address;
  }
  return row;
}

/// Prints the replica groups as the node that was asked sees them; a fleet of an earlier version tells none.
void print_groups(const json::value& status) {
  const json::value* groups = status.as_object().if_contains("groups");
  if (groups == nullptr) {
    return;
  }
  json::array rows;
  for (const json::value& group : groups->as_array()) {
    const bool tells_count = group.as_object().contains("counting");
    const std::string votes = tells_count ? plain(group.at("counting")) + "/" + plain(group.at("needed")) : "";
    bool first = true;
    for (const json::value& member : group.at("members").as_array()) {
      json::object row = describe_member(member);
      // A group's own figures stand in its first row.
      row["group"] = first ? plain(group.at("group")) : "";
      row["epoch"] = first ? plain(group.at("epoch")) : "";
      row["votes"] = first ? votes : "";
      row["majority"] = first ? plain(group.at("majority")) : "";
      rows.push_back(std::move(row));
      first = false;
    }
  }
  print_table(rows,
              {"group", "epoch", "votes", "majority", "member", "state", "for_s", "heard_s_ago", "address", "why"});
  std::cout << "\n";
}

void print_backends(const json::value& status) {
  print_table(status.at("backends").as_array(),
              {"id", "pool", "zone", "state", "slots", "online_in_flight", "reported_online", "reported_batch"});
}

}  // namespace

Status run_status(CommandContext& context) {
  const auto status = read_status(context.fleet);
  if (!succeeded(status)) {
    return error_of(status);
  }
  if (context.json) {
    std::cout << json::serialize(value_of(status)) << std::endl;
    return Ok{};
  }
  print_table(members_with_details(context.fleet, value_of(status)),
              {"id", "state", "ready", "zone", "revision", "live", "api_address", "disk", "disk_id"});
  std::cout << "\n";
  print_groups(value_of(status));
  print_backends(value_of(status));
  return Ok{};
}

Status run_top(CommandContext& context) {
  const std::uint64_t rounds =
      context.arguments.empty() ? UINT64_MAX : std::strtoull(context.arguments[0].c_str(), nullptr, 10);
  for (std::uint64_t round = 0; round < rounds; ++round) {
    const auto status = read_status(context.fleet);
    if (!succeeded(status)) {
      return error_of(status);
    }
    std::cout << "\033[H\033[2J";
    print_table(members_with_details(context.fleet, value_of(status)), {"id", "state", "ready", "zone", "live"});
    std::cout << "\n";
    print_backends(value_of(status));
    std::cout << "\n";
    print_table(value_of(status).at("jobs").as_array(), {"id", "items", "settled", "leased"});
    std::cout << std::flush;
    if (round + 1 < rounds) {
      std::this_thread::sleep_for(kTopStep);
    }
  }
  return Ok{};
}

Status run_watch(CommandContext& context) {
  const std::string kind = context.arguments.empty() ? "" : "?kind=" + context.arguments[0];
  std::uint64_t seen = 0;
  while (true) {
    const auto response = context.fleet.call("GET", "/admin/objects" + kind);
    if (!succeeded(response)) {
      return error_of(response);
    }
    const json::value list = json::parse(value_of(response).body);
    for (const json::value& object : list.at("objects").as_array()) {
      if (object.at("revision").to_number<std::uint64_t>() > seen) {
        std::cout << json::serialize(object) << std::endl;
      }
    }
    seen = list.at("revision").to_number<std::uint64_t>();
    std::this_thread::sleep_for(kWatchStep);
  }
}

Status run_drain(CommandContext& context) {
  if (context.arguments.size() != 1) {
    return Error{ErrorKind::invalid_argument, "drain needs the API address of one node"};
  }
  const auto response = context.fleet.call_node(context.arguments[0], "POST", "/admin/drain");
  return succeeded(response) ? Status(Ok{}) : Status(error_of(response));
}

Status run_completion(CommandContext&) {
  std::cout << "complete -W \"";
  for (const Command& command : commands()) {
    std::cout << command.name << " ";
  }
  std::cout << "template tenant model fleet_policy --nodes --key -o --file --wait\" madderdeck" << std::endl;
  return Ok{};
}

}  // namespace madderdeck::cli
