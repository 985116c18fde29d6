#include "ledger/model_fleet.hpp"

#include <algorithm>
#include <utility>

namespace madderdeck::tests {

using ledger::ReplicaIdentity;

std::string name_of(unsigned node) { return std::string(1, static_cast<char>('a' + node)); }
std::string name_of(const disk& one) { return name_of(one.node) + std::to_string(one.number); }

ReplicaIdentity identity_of(const disk& one) { return {NodeId(name_of(one.node)), DiskId(std::to_string(one.number))}; }

ReplicaIdentity former_identity_of(const disk& one) {
  return {NodeId("former-" + name_of(one.node)), DiskId(std::to_string(one.number))};
}

disk disk_of(const ReplicaIdentity& identity) {
  return {static_cast<std::uint8_t>(identity.node.str().back() - 'a'),
          static_cast<std::uint8_t>(std::stoi(identity.disk.str()))};
}

std::string key_of(const fleet_belief& fleet) {
  std::string key;
  for (const machine_belief& one : fleet) {
    key.push_back(
        static_cast<char>(static_cast<unsigned>(one.state) + one.disk_number * 8U + (one.retiring ? 4U : 0U)));
  }
  return key;
}

believed_fleet::believed_fleet(const fleet_belief& fleet, bool unresponsive_are_missing, std::vector<disk> named)
    : fleet_(fleet), missing_(unresponsive_are_missing), named_(std::move(named)) {}

ledger::replica_state believed_fleet::state_of(const ReplicaIdentity& replica) {
  const disk wanted = disk_of(replica);
  const machine_belief& one = fleet_[wanted.node];
  if (!believed(one)) {
    return ledger::replica_state::missing;
  }
  const bool known_as_it_was = is_obsolete({wanted.node, one.disk_number});
  if (one.disk_number != wanted.number && !known_as_it_was) {
    return ledger::replica_state::disk_replaced;
  }
  return one.retiring ? ledger::replica_state::retiring : ledger::replica_state::present;
}

bool believed_fleet::is_there(const ReplicaIdentity& replica) const {
  const disk wanted = disk_of(replica);
  const machine_belief& one = fleet_[wanted.node];
  return believed(one) && one.disk_number == wanted.number;
}

bool believed_fleet::is_permanently_gone(const ReplicaIdentity& leaver) {
  const ledger::replica_state state = state_of(leaver);
  return state == ledger::replica_state::disk_replaced || state == ledger::replica_state::missing;
}

bool believed_fleet::is_retiring(const NodeId& node) const {
  return fleet_[static_cast<std::size_t>(node.str().back() - 'a')].retiring;
}

bool believed_fleet::is_spare_for(const ReplicaIdentity&, const ReplicaIdentity&) const { return true; }

std::vector<ledger::disk_place> believed_fleet::places() const {
  std::vector<ledger::disk_place> result;
  for (unsigned node = 0; node < kMaxNodes; ++node) {
    const machine_belief& one = fleet_[node];
    const disk place{static_cast<std::uint8_t>(node), one.disk_number};
    if (believed(one) && !one.retiring && !is_obsolete(place)) {
      result.push_back({identity_of(place), "zone-" + name_of(node)});
    }
  }
  return result;
}

bool believed_fleet::believed(const machine_belief& one) const {
  return one.state == presence::up || (one.state == presence::unresponsive && !missing_);
}

bool believed_fleet::is_obsolete(const disk& one) const {
  return std::any_of(named_.begin(), named_.end(),
                     [&one](const disk& later) { return later.node == one.node && later.number > one.number; });
}

}  // namespace madderdeck::tests
