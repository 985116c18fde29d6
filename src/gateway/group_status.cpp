#include "gateway/group_status.hpp"

namespace madderdeck::gateway {

namespace json = boost::json;

namespace {

json::array describe_gone_disks(const ledger::group_view& seen) {
  json::array gone;
  for (const ledger::gone_disk& disk : seen.gone) {
    gone.push_back(json::object{{"node", disk.identity.node.str()},
                                {"disk", disk.identity.disk.str()},
                                {"reason", ledger::name_of(disk.reason)},
                                {"why", disk.why}});
  }
  return gone;
}

}  // namespace

json::array describe_groups(const ledger::group_health& health) {
  json::array groups;
  for (const ledger::group_view& seen : health.views()) {
    json::array members;
    for (const ledger::member_view& member : seen.members) {
      json::object shown{
          {"node", member.identity.node.str()},        {"disk", member.identity.disk.str()},
          {"state", ledger::name_of(member.state)},    {"state_for_ms", member.held_for / 1ms},
          {"why", health.explain(seen.group, member)}, {"address", member.address ? member.address->str() : ""}};
      if (member.heard_ago) {
        shown["heard_ms_ago"] = *member.heard_ago / 1ms;
      }
      members.push_back(std::move(shown));
    }
    groups.push_back(json::object{{"group", seen.group},
                                  {"epoch", seen.epoch},
                                  {"counting", seen.counting()},
                                  {"needed", seen.needed()},
                                  {"majority", seen.has_majority()},
                                  {"gone_for_good", describe_gone_disks(seen)},
                                  {"members", std::move(members)}});
  }
  return groups;
}

}  // namespace madderdeck::gateway
