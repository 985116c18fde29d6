#include "membership/remembered_peers.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "common/hash.hpp"
#include "membership/membership.hpp"

namespace madderdeck::membership {
namespace {

using Candidates = std::vector<const wire::MemberT*>;

/// @return @p candidates interleaved by zone. Within a zone they are ordered by rendezvous weight for @p self, so that
///         different nodes remember different peers.
Candidates interleave_by_zone(const Candidates& candidates, const std::string& self) {
  std::map<std::string, std::vector<std::pair<std::uint64_t, const wire::MemberT*>>> zones;
  for (const wire::MemberT* member : candidates) {
    zones[member->zone].emplace_back(rendezvous_weight(self, member->id), member);
  }
  std::size_t most = 0;
  for (auto& [zone, ranked] : zones) {
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    most = std::max(most, ranked.size());
  }
  Candidates ordered;
  for (std::size_t rank = 0; rank < most; ++rank) {
    for (const auto& [zone, ranked] : zones) {
      if (rank < ranked.size()) {
        ordered.push_back(ranked[rank].second);
      }
    }
  }
  return ordered;
}

void append(const Candidates& ordered, std::size_t most, std::vector<remembered_peer>& chosen) {
  for (const wire::MemberT* member : ordered) {
    if (chosen.size() >= most) {
      return;
    }
    chosen.push_back({NodeId(member->id), PeerAddress(member->peer_address), member->zone, member->roles});
  }
}

}  // namespace

std::vector<remembered_peer> choose_peers(const Membership& members, const std::vector<remembered_peer>& before) {
  Candidates with_disk;
  Candidates others;
  std::set<PeerAddress> live_addresses{PeerAddress(members.self().peer_address)};
  for (const wire::MemberT* member : members.members()) {
    if (member == &members.self() || member->state == wire::MemberState::Dead) {
      continue;
    }
    live_addresses.insert(PeerAddress(member->peer_address));
    (has_role(*member, Role::ledger) ? with_disk : others).push_back(member);
  }
  std::vector<remembered_peer> chosen;
  append(interleave_by_zone(with_disk, members.self().id), kMaxRememberedPeersWithDisk, chosen);
  append(interleave_by_zone(others, members.self().id), kMaxLiveRememberedPeers, chosen);
  for (const remembered_peer& peer : before) {
    // A peer that is live again at another address, or whose address now belongs to another node, is dropped.
    if (chosen.size() < kMaxRememberedPeers && !members.is_live(peer.id) && !live_addresses.contains(peer.address)) {
      chosen.push_back(peer);
    }
  }
  return chosen;
}

}  // namespace madderdeck::membership
