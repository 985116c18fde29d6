#include "cli/group_rows.hpp"

#include "cli/table.hpp"

namespace madderdeck::cli {

namespace json = boost::json;

namespace {

/// @return the columns of a row that describe one member; nodes of earlier versions report fewer.
json::object describe_member(const json::value& member) {
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  const json::object& reported = member.as_object();
  json::object row{{"member", plain(reported.at("node")) + "/" + plain(reported.at("disk"))},
                   {"state", reported.at("state")}};
  if (const json::value* held = reported.if_contains("state_for_ms")) {
    row["for_s"] = held->to_number<std::int64_t>() / kMillisecondsPerSecond;
  }
  if (const json::value* why = reported.if_contains("why")) {
    row["why"] = *why;
  }
  if (const json::value* heard = reported.if_contains("heard_ms_ago")) {
    row["heard_s_ago"] = heard->to_number<std::int64_t>() / kMillisecondsPerSecond;
  }
  if (const json::value* address = reported.if_contains("address")) {
    row["address"] = *address;
  }
  return row;
}

/// @return the groups that @p status reports.
json::array groups_of(const json::value& status) {
  const json::value* groups = status.as_object().if_contains("groups");
  return groups == nullptr ? json::array() : groups->as_array();
}

}  // namespace

table_rows member_rows(const json::value& status) {
  json::array rows;
  for (const json::value& group : groups_of(status)) {
    const bool has_vote_count = group.as_object().contains("counting");
    const std::string votes = has_vote_count ? plain(group.at("counting")) + "/" + plain(group.at("needed")) : "";
    bool first = true;
    for (const json::value& member : group.at("members").as_array()) {
      json::object row = describe_member(member);
      // The figures of the group itself are shown only in its first row.
      row["group"] = first ? plain(group.at("group")) : "";
      row["epoch"] = first ? plain(group.at("epoch")) : "";
      row["votes"] = first ? votes : "";
      row["majority"] = first ? plain(group.at("majority")) : "";
      rows.push_back(std::move(row));
      first = false;
    }
  }
  return {std::move(rows),
          {"group", "epoch", "votes", "majority", "member", "state", "for_s", "heard_s_ago", "address", "why"}};
}

table_rows gone_disk_rows(const json::value& status) {
  json::array rows;
  for (const json::value& group : groups_of(status)) {
    const json::value* gone = group.as_object().if_contains("gone_for_good");
    if (gone == nullptr) {
      continue;
    }
    for (const json::value& disk : gone->as_array()) {
      rows.push_back(json::object{{"group", group.at("group")},
                                  {"epoch", group.at("epoch")},
                                  {"disk", plain(disk.at("node")) + "/" + plain(disk.at("disk"))},
                                  {"reason", disk.at("reason")},
                                  {"why", disk.at("why")}});
    }
  }
  return {std::move(rows), {"group", "epoch", "disk", "reason", "why"}};
}

}  // namespace madderdeck::cli
