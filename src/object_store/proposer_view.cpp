#include "object_store/proposer_view.hpp"

#include <algorithm>

namespace madderdeck::object_store {
namespace {

disk_view view_of_disk(const ledger::ReplicaIdentity& identity, const membership::Membership& members) {
  disk_view disk;
  disk.identity = identity;
  disk.contact = members.last_contact_of(identity.node);
  const wire::MemberT* node = members.find(identity.node);
  if (node == nullptr) {
    return disk;
  }
  disk.state = node->state;
  disk.retiring = node->retiring;
  if (!node->disk_id.empty() && node->disk_id != identity.disk.str()) {
    disk.other_disk = DiskId(node->disk_id);
  }
  return disk;
}

}  // namespace

std::string disk_view::text() const {
  std::string text = ledger::text_of(identity);
  if (!state) {
    return text + " unknown";
  }
  if (*state != wire::MemberState::Alive || !retiring) {
    text += std::string(" ") + membership::name_of(*state);
  }
  text += retiring ? " retiring" : "";
  text += other_disk.empty() ? "" : " with " + other_disk.str();
  if (contact) {
    text += " " + std::to_string(contact->age / 1ms) + "ms";
    text += contact->received_directly ? "" : " by others";
  }
  return text;
}

std::optional<Duration> proposer_view::age() const {
  Duration oldest{};
  for (const disk_view& disk : disks) {
    if (!disk.contact) {
      return std::nullopt;
    }
    oldest = std::max(oldest, disk.contact->age);
  }
  return oldest;
}

std::string proposer_view::text() const {
  std::string text;
  for (const disk_view& disk : disks) {
    text += (text.empty() ? "" : ", ") + disk.text();
  }
  return text;
}

proposer_view view_of(const ledger::ReplicaGroup& next, const membership::Membership& members, Timestamp now) {
  proposer_view view;
  view.taken_at = now;
  for (const ledger::ReplicaIdentity& identity : next.all()) {
    view.disks.push_back(view_of_disk(identity, members));
  }
  return view;
}

}  // namespace madderdeck::object_store
