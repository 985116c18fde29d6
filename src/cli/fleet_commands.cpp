/// @file Commands that show the state of the fleet and stop nodes.

#include <boost/json.hpp>
#include <iostream>
#include <thread>

#include "cli/commands.hpp"
#include "cli/group_rows.hpp"
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

/// Adds to each member's row the details that only this member can report; they are queried from it.
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
        row["disk"] = disk == nullptr ? json::value("") : *disk;  // earlier versions do not report it
      }
    }
    members.push_back(std::move(row));
  }
  return members;
}

/// Prints the replica groups in the view of the node that was asked; nodes of earlier versions report none.
void print_groups(const json::value& status) {
  if (!status.as_object().contains("groups")) {
    return;
  }
  const table_rows members = member_rows(status);
  print_table(members.rows, members.columns);
  std::cout << "\n";
  const table_rows gone = gone_disk_rows(status);
  if (!gone.rows.empty()) {
    std::cout << "Permanently gone disks of groups without a majority:\n";
    print_table(gone.rows, gone.columns);
    std::cout << "\n";
  }
}

void print_backends(const json::value& status) {
  print_table(status.at("backends").as_array(),
              {"id", "pool", "zone", "state", "slots", "online_in_flight", "reported_online", "reported_batch"});
}

void print_rejected(const json::value& status) {
  const json::object& fields = status.as_object();
  const json::value* unreadable = fields.if_contains("unreadable_backends");
  const json::value* rejected = fields.if_contains("rejected_objects");
  if (unreadable != nullptr && rejected != nullptr && (*unreadable != 0 || *rejected != 0)) {
    std::cout << "\n"
              << json::serialize(*unreadable) << " entries of back ends cannot be read; " << json::serialize(*rejected)
              << " objects of the store were rejected by this node since its start\n";
  }
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
  print_rejected(value_of(status));
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
