/// @file Anti-entropy: exchange of member lists between nodes whose lists differ.

#include <algorithm>

#include "common/hash.hpp"
#include "membership/membership.hpp"

namespace madderdeck::membership {

using wire::MemberState;
using wire::MemberT;

// Gossip of single updates does not scale to a burst of changes: when a whole fleet starts at once, each node would
// have to forward hundreds of updates at six per message. Probes therefore carry a digest of the live members, and
// nodes whose digests differ exchange only the parts of their lists that differ. A change of one member costs one
// part of 64 instead of the whole list of 1,000 members from each node.

namespace {

constexpr std::size_t kListParts = 64;

std::size_t part_of(const std::string& id) { return stable_hash(id) % kListParts; }

}  // namespace

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
  sync_interval_ = std::clamp(sync_interval_ * 2, options_.min_sync_interval, options_.max_sync_interval);
  send_digests(choose_sync_peer(sender), true);
}

std::vector<std::uint64_t> Membership::part_digests() const {
  std::vector<std::uint64_t> digests(kListParts);
  digests[part_of(self_.id)] ^= digest_of(self_);
  for (const auto& [node, entry] : members_) {
    digests[part_of(entry.member.id)] ^= digest_of(entry.member);
  }
  return digests;
}

void Membership::send_digests(const PeerAddress& to, bool reply) {
  counters_["membership_digests_sent_total"]++;
  wire::MemberDigestsT message;
  message.parts = part_digests();
  message.reply = reply;
  send_message(environment_, to, std::move(message));
}

void Membership::handle(const PeerAddress& sender, const wire::MemberDigestsT& message) {
  if (message.parts.size() != kListParts) {
    send_whole_list(sender, true);  // the sender runs a version that partitions its list differently
    return;
  }
  const std::vector<std::uint64_t> own = part_digests();
  wire::MemberSyncT sync;
  const auto add_if_differs = [&](const MemberT& member) {
    const std::size_t part = part_of(member.id);
    if (own[part] != message.parts[part]) {
      sync.members.push_back(std::make_unique<MemberT>(member));
    }
  };
  add_if_differs(self_);
  for (const auto& [node, entry] : members_) {
    add_if_differs(entry.member);
  }
  if (own != message.parts && message.reply) {
    send_digests(sender, false);
  }
  if (!sync.members.empty()) {
    counters_["membership_lists_sent_total"]++;
    counters_["membership_list_members_sent_total"] += static_cast<CounterValue>(sync.members.size());
    send_message(environment_, sender, std::move(sync));
  }
}

/// A starting node usually hears from a seed first. When many nodes start together, exchanging lists with the seeds
/// would send a list to each of them over the seeds' links, so another peer is preferred until the fleet is known.
PeerAddress Membership::choose_sync_peer(const PeerAddress& differs) {
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
    sync_interval_ = options_.min_sync_interval;
  }
  end_search_if_member_known(sender);
  if (message.reply) {
    send_whole_list(sender, false);
  }
}

}  // namespace madderdeck::membership
