#include "ledger/gone_disks.hpp"

#include <set>

namespace madderdeck::ledger {
namespace {

std::string seconds_text(Duration time) { return std::to_string(time / 1s) + " s"; }

}  // namespace

const char* name_of(gone_reason reason) {
  switch (reason) {
    case gone_reason::disk_replaced:
      return "disk_replaced";
    case gone_reason::emptied:
      return "emptied";
    case gone_reason::dead_as_it_left:
      return "dead_as_it_left";
    case gone_reason::dead_for_long:
      return "dead_for_long";
    case gone_reason::unknown_for_long:
      return "unknown_for_long";
  }
  return "unknown";
}

std::string text_of(const std::vector<gone_disk>& disks) {
  std::string text;
  for (const gone_disk& disk : disks) {
    text += (text.empty() ? "" : ", ") + text_of(disk.identity) + " " + name_of(disk.reason);
  }
  return text;
}

gone_disks::gone_disks(Environment& environment, disk_knowledge known)
    : environment_(environment), known_(std::move(known)) {}

void gone_disks::look(const std::vector<ReplicaGroup>& groups) {
  std::set<NodeId> away;
  for (const ReplicaGroup& group : groups) {
    for (const ReplicaIdentity& identity : group.all()) {
      if (is_away(identity.node)) {
        away.insert(identity.node);
        away_since_.try_emplace(identity.node, environment_.now());
      }
    }
  }
  std::erase_if(away_since_, [&away](const auto& entry) { return !away.contains(entry.first); });
}

std::vector<gone_disk> gone_disks::named_by(const ReplicaGroup& group) const {
  std::vector<gone_disk> gone;
  for (const ReplicaIdentity& identity : group.all()) {
    if (auto disk = evaluate(identity)) {
      gone.push_back(std::move(*disk));
    }
  }
  return gone;
}

std::optional<gone_disk> gone_disks::evaluate(const ReplicaIdentity& identity) const {
  const wire::MemberT* node = known_.member(identity.node);
  if (node != nullptr && !node->disk_id.empty() && node->disk_id != identity.disk.str()) {
    return gone_disk{identity, gone_reason::disk_replaced, "its node runs with " + node->disk_id};
  }
  if (known_.is_obsolete && known_.is_obsolete(identity)) {
    return gone_disk{identity, gone_reason::disk_replaced, "a later epoch names its node with another disk"};
  }
  const bool away = is_away(identity.node);
  const std::optional<bool> emptied = known_.is_drained ? known_.is_drained(identity.node) : std::nullopt;
  // A disk of a drained node still counts as present if a new machine with the node's name is up and not being drained.
  if (emptied.value_or(false) && (away || node->retiring)) {
    return gone_disk{identity, gone_reason::emptied, "its node was emptied"};
  }
  if (!away) {
    return std::nullopt;
  }
  const Duration away_for = this->away_for(identity.node);
  if (node != nullptr && node->retiring && !emptied) {
    return gone_disk{identity, gone_reason::dead_as_it_left,
                     "its node was being emptied, dead for " + seconds_text(away_for)};
  }
  if (!known_.patience || away_for <= known_.patience()) {
    return std::nullopt;
  }
  return node == nullptr
             ? gone_disk{identity, gone_reason::unknown_for_long, "no word of its node for " + seconds_text(away_for)}
             : gone_disk{identity, gone_reason::dead_for_long, "its node is dead for " + seconds_text(away_for)};
}

bool gone_disks::is_away(const NodeId& node) const {
  const wire::MemberT* member = known_.member(node);
  return member == nullptr || member->state == wire::MemberState::Dead;
}

Duration gone_disks::away_for(const NodeId& node) const {
  const auto since = away_since_.find(node);
  return since == away_since_.end() ? Duration::zero() : environment_.now() - since->second;
}

}  // namespace madderdeck::ledger
