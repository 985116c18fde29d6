/// @file Exchange of whole member lists between nodes that differ.

#include <algorithm>

#include "common/hash.hpp"
#include "membership/membership.hpp"

namespace madderdeck::membership {

using wire::MemberState;
using wire::MemberT;

// Single updates cannot carry a storm: when a whole fleet starts at once, each node would have
// to pass on hundreds of them, six a message. Probes carry a digest of the live members, and
// nodes that differ exchange their lists.

std::uint64_t Membership::digest_of(const MemberT& member) {
  if (member.state == MemberState::Dead) {
    return 0;
  }
  const bool leaving = member.state == MemberState::Leaving;
  return stable_hash(member.id, member.incarnation * 2 + (leaving ? 1 : 0));
}

void Membership::compare_lists(const PeerAddress& sender, std::uint64_t digest) {
  if (digest == 0 || digest == digest_ || environment_.now() - last_sync_ < sync_interval_) {
    return;
  }
  last_sync_ = environment_.now();
  sync_interval_ = std::clamp(sync_interval_ * 2, options_.least_sync_interval, options_.most_sync_interval);
  counters_["membership_lists_sent_total"]++;
  send_whole_list(list_partner(sender), true);
}

/// Who starts hears first of the seeds, and so does everybody else who starts then: their lists would go to all, over
/// one link.
PeerAddress Membership::list_partner(const PeerAddress& differs) {
  if (knows_fleet() || std::find(seeds_.begin(), seeds_.end(), differs) == seeds_.end()) {
    return differs;
  }
  for (const PeerAddress& peer : random_peers(seeds_.size() + 1)) {
    if (std::find(seeds_.begin(), seeds_.end(), peer) == seeds_.end()) {
      return peer;
    }
  }
  return differs;
}

void Membership::send_whole_list(const PeerAddress& to, bool reply) {
  wire::MemberSyncT sync;
  sync.reply = reply;
  sync.members.push_back(std::make_unique<MemberT>(self_));
  for (const auto& [node, entry] : members_) {
    sync.members.push_back(std::make_unique<MemberT>(entry.member));
  }
  send_message(environment_, to, std::move(sync));
}

void Membership::handle(const PeerAddress& sender, const wire::MemberSyncT& message) {
  bool changed = false;
  for (const auto& member : message.members) {
    changed = merge(*member, false, false) || changed;
  }
  if (changed) {
    sync_interval_ = options_.least_sync_interval;
  }
  if (message.reply) {
    send_whole_list(sender, false);
  }
}

}  // namespace madderdeck::membership
