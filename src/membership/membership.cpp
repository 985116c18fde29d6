#include "membership/membership.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace madderdeck::membership {
namespace {

using wire::MemberState;
using wire::MemberT;

constexpr std::size_t kMembersPerDatagram = 5;
/// Enough for the joining node to become known to many and to exchange lists with some. Replying with all members would
/// take 200 datagrams for each of 1,000 nodes that start at once, sent by few seeds.
constexpr std::size_t kMembersPerJoinReply = 25;
constexpr std::size_t kMaxRelays = 1024;
/// Incarnation step when refuting the death of a process of this name at another address. When that process resumes, it
/// may refute the same update with a step of one; with equal incarnations nodes would keep different entries.
constexpr std::uint64_t kIncarnationStepOtherAddress = 2;
/// Remembered peers are pinged only after this time. Seeds that are up answer within some milliseconds.
constexpr Duration kRememberedPeersDelay = 500ms;
/// Maximum number of remembered peers pinged in a period.
constexpr std::size_t kRememberedPeersPerPeriod = 4;
/// A node is taken to know the fleet once it has learned of no new member for this time. While it joins, it receives
/// several member lists per second.
constexpr Duration kJoinQuietTime = 400ms;
/// Upper bound on joining, since nodes that start one after the other would otherwise postpone its end indefinitely.
constexpr Duration kMaxJoinTime = 5s;

/// At the same incarnation a state of higher severity overrides one of lower severity.
int severity(MemberState state) {
  switch (state) {
    case MemberState::Alive:
      return 0;
    case MemberState::Suspect:
      return 1;
    case MemberState::Leaving:
      return 2;
    case MemberState::Dead:
      return 3;
  }
  return 0;
}

bool overrides(const MemberT& update, const MemberT& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return severity(update.state) > severity(known.state);
}

}  // namespace

const char* name_of(MemberState state) {
  switch (state) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Dead:
      return "dead";
  }
  return "unknown";
}

Membership::Membership(Environment& environment, Counters& counters, MemberT self, std::vector<PeerAddress> seeds,
                       Hooks hooks, Options options)
    : environment_(environment),
      counters_(counters),
      options_(options),
      hooks_(std::move(hooks)),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      sequence_(environment.random()) {
  digest_ = digest_of(self_);
}

/// When a whole fleet starts at once, the first ping reaches seeds that do not listen yet. Short retries avoid waiting
/// a whole period for the next one.
void Membership::ping_seeds_until_joined(Duration pause) {
  if (!members_.empty() || seeds_.empty() || pause >= options_.period) {
    return;
  }
  ping_seeds();
  environment_.after(pause, lifetime_.guard([this, pause] { ping_seeds_until_joined(2 * pause); }));
}

void Membership::start() {
  started_at_ = environment_.now();
  begin_search(true);
  ping_seeds_until_joined(options_.join_pause);
  const auto first =
      static_cast<Duration::rep>(environment_.random() % static_cast<std::uint64_t>(options_.period.count()));
  environment_.after(Duration(first), lifetime_.guard([this] { run_period(); }));
}

void Membership::leave() {
  digest_ ^= digest_of(self_);
  self_.state = MemberState::Leaving;
  ++self_.incarnation;
  digest_ ^= digest_of(self_);
  ++version_;
  enqueue(NodeId(self_.id), true);
}

void Membership::retire() {
  if (self_.retiring) {
    return;
  }
  digest_ ^= digest_of(self_);
  self_.retiring = true;
  ++self_.incarnation;
  digest_ ^= digest_of(self_);
  ++version_;
  enqueue(NodeId(self_.id), true);
}

void Membership::set_disk(const std::string& disk_id) {
  digest_ ^= digest_of(self_);
  self_.disk_id = disk_id;
  ++self_.incarnation;
  digest_ ^= digest_of(self_);
  ++version_;
  enqueue(NodeId(self_.id), true);
}

// --- queries --------------------------------------------------------------------------------

const MemberT* Membership::find(const NodeId& node) const {
  if (node.str() == self_.id) {
    return &self_;
  }
  const auto entry = members_.find(node);
  return entry == members_.end() ? nullptr : &entry->second.member;
}

std::optional<PeerAddress> Membership::address_of(const NodeId& node) const {
  const MemberT* member = find(node);
  return member == nullptr ? std::nullopt : std::optional(PeerAddress(member->peer_address));
}

std::optional<member_contact> Membership::last_contact_of(const NodeId& node) const {
  if (node.str() == self_.id) {
    return member_contact{};
  }
  const auto entry = members_.find(node);
  if (entry == members_.end()) {
    return std::nullopt;
  }
  const Timestamp last_direct_at = entry->second.last_direct_at;
  const Timestamp last_forwarded_at = entry->second.last_forwarded_at;
  return member_contact{environment_.now() - std::max(last_direct_at, last_forwarded_at),
                        last_direct_at >= last_forwarded_at};
}

unsigned Membership::distance_to(const NodeId& node) const {
  const MemberT* member = find(node);
  if (member == nullptr || member->region != self_.region) {
    return 2;
  }
  return member->zone == self_.zone ? 0 : 1;
}

bool Membership::is_near(const PeerAddress& address) const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
    const MemberT& member = entry.second.member;
    return member.zone == self_.zone && member.peer_address == address.str();
  });
}

std::vector<const MemberT*> Membership::members() const {
  std::vector<const MemberT*> all{&self_};
  for (const auto& [node, entry] : members_) {
    all.push_back(&entry.member);
  }
  return all;
}

std::vector<const MemberT*> Membership::others_except_long_dead(Duration within) const {
  std::vector<const MemberT*> found;
  for (const auto& [node, entry] : members_) {
    const bool dead = entry.member.state == MemberState::Dead;
    if (!dead || environment_.now() - entry.state_since < within) {
      found.push_back(&entry.member);
    }
  }
  return found;
}

std::vector<const MemberT*> Membership::available(Role role) const {
  std::vector<const MemberT*> found = members();
  std::erase_if(found, [role](const MemberT* member) {
    const bool accepts_work = member->state == MemberState::Alive || member->state == MemberState::Suspect;
    return !accepts_work || !has_role(*member, role);
  });
  return found;
}

std::vector<const MemberT*> Membership::responsive(Role role) const {
  std::vector<const MemberT*> found = available(role);
  std::erase_if(found, [](const MemberT* member) { return member->state != MemberState::Alive; });
  return found;
}

bool Membership::knows_fleet() const {
  const Timestamp now = environment_.now();
  if (seeds_.empty() || now - started_at_ >= kMaxJoinTime) {
    return true;
  }
  return !members_.empty() && now - last_new_member_at_ >= kJoinQuietTime;
}

bool Membership::is_live(const NodeId& node) const {
  const MemberT* member = find(node);
  return member != nullptr && member->state != MemberState::Dead;
}

std::size_t Membership::live_count() const {
  std::size_t count = 1;
  for (const auto& [node, entry] : members_) {
    count += entry.member.state == MemberState::Dead ? 0 : 1;
  }
  return count;
}

std::vector<const MemberT*> Membership::random_members(std::size_t count) {
  std::vector<const MemberT*> live;
  for (const auto& [node, entry] : members_) {
    if (entry.member.state != MemberState::Dead) {
      live.push_back(&entry.member);
    }
  }
  std::vector<const MemberT*> chosen;
  while (chosen.size() < count && !live.empty()) {
    const std::size_t position = environment_.random() % live.size();
    chosen.push_back(live[position]);
    live[position] = live.back();
    live.pop_back();
  }
  return chosen;
}

std::vector<PeerAddress> Membership::random_peers(std::size_t count) {
  std::vector<PeerAddress> chosen;
  for (const MemberT* member : random_members(count)) {
    chosen.emplace_back(member->peer_address);
  }
  return chosen;
}

// --- probing --------------------------------------------------------------------------------

void Membership::run_period() {
  environment_.after(options_.period, lifetime_.guard([this] { run_period(); }));
  if (const auto target = next_probe_target()) {
    probe(*target);
  } else {
    search_for_fleet();
  }
  ping_unknown_seed();
  ping_remembered_peers();
  if (search_.active() || environment_.now() - last_dead_probe_ >= options_.dead_probe_interval) {
    last_dead_probe_ = environment_.now();
    probe_dead_member();
  }
}

void Membership::begin_search(bool at_start) {
  search_.begin(environment_.now(), at_start);
  counters_["membership_alone"] = 1;
}

void Membership::search_for_fleet() {
  if (!search_.active()) {
    begin_search(false);
  }
  ping_seeds();
  if (search_.take_due_report(environment_.now()) && hooks_.on_fleet_not_found) {
    hooks_.on_fleet_not_found(search_);
  }
}

void Membership::end_search_if_member_known(const PeerAddress& sender) {
  if (!search_.active() || live_count() == 1) {
    return;
  }
  search_.end();
  counters_["membership_alone"] = 0;
  if (hooks_.on_fleet_found) {
    hooks_.on_fleet_found(search_, sender, classify_peer_at(sender));
  }
}

discovery_source Membership::classify_peer_at(const PeerAddress& address) const {
  if (std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end()) {
    return discovery_source::seed;
  }
  const bool remembered = std::any_of(remembered_.begin(), remembered_.end(),
                                      [&address](const remembered_peer& peer) { return peer.address == address; });
  return remembered ? discovery_source::remembered_peer : discovery_source::peer;
}

void Membership::recall(std::vector<remembered_peer> peers) {
  remembered_ = std::move(peers);
  remembered_not_pinged_ = remembered_.size();
}

bool Membership::knows_address(const PeerAddress& address) const {
  return address.str() == self_.peer_address || std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
           return entry.second.member.peer_address == address.str();
         });
}

void Membership::ping_remembered_peers() {
  const Timestamp now = environment_.now();
  const bool alone = search_.active();
  const bool often = alone || remembered_not_pinged_ > 0;
  if (now - started_at_ < kRememberedPeersDelay || (alone && search_.alone(now) < kRememberedPeersDelay) ||
      (!often && now - last_remembered_ping_ < options_.dead_probe_interval)) {
    return;
  }
  last_remembered_ping_ = now;
  std::size_t left = often ? kRememberedPeersPerPeriod : 1;
  for (std::size_t looked = 0; looked < remembered_.size() && left > 0; ++looked) {
    const PeerAddress& address = remembered_[next_remembered_++ % remembered_.size()].address;
    remembered_not_pinged_ -= remembered_not_pinged_ > 0 ? 1 : 0;
    if (!alone && knows_address(address)) {
      continue;
    }
    wire::PingT ping = make_probe_message<wire::PingT>(++sequence_);
    ping.join = alone;
    search_.remembered_asked++;
    counters_["membership_remembered_asked_total"]++;
    send_message(environment_, address, std::move(ping));
    --left;
  }
}

void Membership::ping_seeds() {
  for (const PeerAddress& seed : seeds_) {
    if (seed.str() == self_.peer_address) {
      continue;
    }
    wire::PingT ping = make_probe_message<wire::PingT>(++sequence_);
    ping.join = true;
    search_.seeds_asked++;
    send_message(environment_, seed, std::move(ping));
  }
}

/// Pings one seed per period if it is not a known live member. If messages are lost at the start, the fleet can split
/// into parts that each contain a seed and never learn of each other; the answer shows whether the lists differ.
void Membership::ping_unknown_seed() {
  if (seeds_.empty()) {
    return;
  }
  const PeerAddress& seed = seeds_[next_seed_++ % seeds_.size()];
  const bool known =
      seed.str() == self_.peer_address || std::any_of(members_.begin(), members_.end(), [&seed](const auto& entry) {
        const MemberT& member = entry.second.member;
        return member.peer_address == seed.str() && member.state != MemberState::Dead;
      });
  if (!known) {
    counters_["membership_unknown_seeds_asked_total"]++;
    send_message(environment_, seed, make_probe_message<wire::PingT>(++sequence_));
  }
}

void Membership::probe_dead_member() {
  std::vector<NodeId> dead;
  for (auto entry = members_.begin(); entry != members_.end();) {
    const bool is_dead = entry->second.member.state == MemberState::Dead;
    if (is_dead && environment_.now() - entry->second.state_since > options_.forget_dead_after) {
      entry = members_.erase(entry);
      continue;
    }
    if (is_dead) {
      dead.push_back(entry->first);
    }
    ++entry;
  }
  if (!dead.empty()) {
    const NodeId& chosen = dead[environment_.random() % dead.size()];
    wire::PingT ping = make_probe_message<wire::PingT>(++sequence_);
    // Include the update that declares the member dead, so that the member can refute it.
    ping.updates.push_back(std::make_unique<MemberT>(members_.at(chosen).member));
    send_message(environment_, PeerAddress(members_.at(chosen).member.peer_address), std::move(ping));
  }
}

std::optional<NodeId> Membership::next_probe_target() {
  while (true) {
    if (probe_order_.empty()) {
      for (const auto& [node, entry] : members_) {
        if (entry.member.state != MemberState::Dead) {
          probe_order_.push_back(node);
        }
      }
      for (std::size_t position = probe_order_.size(); position > 1; --position) {
        std::swap(probe_order_[position - 1], probe_order_[environment_.random() % position]);
      }
      if (probe_order_.empty()) {
        return std::nullopt;
      }
    }
    const NodeId target = probe_order_.back();
    probe_order_.pop_back();
    if (is_live(target)) {
      return target;
    }
  }
}

void Membership::probe(const NodeId& target) {
  const std::uint64_t sequence = ++sequence_;
  probes_[sequence] = Probe{target, false};
  send_message(environment_, PeerAddress(members_.at(target).member.peer_address),
               make_probe_message<wire::PingT>(sequence));
  environment_.after(options_.ack_timeout, lifetime_.guard([this, sequence] { probe_indirectly(sequence); }));
  environment_.after(options_.period, lifetime_.guard([this, sequence] { finish_probe(sequence); }));
}

void Membership::probe_indirectly(std::uint64_t sequence) {
  const auto entry = probes_.find(sequence);
  if (entry == probes_.end() || entry->second.answered) {
    return;
  }
  const auto target = address_of(entry->second.target);
  if (!target) {
    return;
  }
  counters_["membership_indirect_probes_total"]++;
  for (const PeerAddress& peer : random_peers(options_.indirect_probes)) {
    if (peer == *target) {
      continue;
    }
    wire::PingRequestT request;
    request.sequence = sequence;
    request.target = target->str();
    send_message(environment_, peer, std::move(request));
  }
}

void Membership::finish_probe(std::uint64_t sequence) {
  const auto node = probes_.extract(sequence);
  if (!node.empty() && !node.mapped().answered) {
    suspect(node.mapped().target);
  }
}

void Membership::suspect(const NodeId& node) {
  const auto entry = members_.find(node);
  if (entry == members_.end()) {
    return;
  }
  MemberT& member = entry->second.member;
  if (member.state == MemberState::Dead) {
    return;
  }
  counters_["membership_suspicions_total"]++;
  if (member.state == MemberState::Alive) {
    MemberT update = member;
    update.state = MemberState::Suspect;
    accept_update(entry->second, update);
  } else if (member.state == MemberState::Leaving) {
    // A leaving member that no longer answers has probably exited; it needs no suspect state first.
    schedule_death(node, member.incarnation);
  }
}

void Membership::schedule_death(const NodeId& node, std::uint64_t incarnation) {
  const double scale = std::max(1.0, std::log10(static_cast<double>(members_.size()) + 1.0));
  const auto wait = Duration(
      static_cast<Duration::rep>(options_.suspicion_periods * scale * static_cast<double>(options_.period.count())));
  environment_.after(wait, lifetime_.guard([this, node, incarnation] {
    const auto entry = members_.find(node);
    if (entry == members_.end() || entry->second.member.incarnation != incarnation) {
      return;
    }
    const MemberState state = entry->second.member.state;
    if (state != MemberState::Suspect && state != MemberState::Leaving) {
      return;
    }
    MemberT update = entry->second.member;
    update.state = MemberState::Dead;
    counters_["membership_deaths_declared_total"]++;
    accept_update(entry->second, update);
  }));
}

// --- messages -------------------------------------------------------------------------------

template <class Message>
Message Membership::make_probe_message(std::uint64_t sequence) {
  Message message;
  message.sequence = sequence;
  message.sender = std::make_unique<MemberT>(self_);
  message.updates = take_updates();
  const TableRevisions revisions = hooks_.local_revisions();
  message.object_revision = revisions.objects;
  message.machine_revision = revisions.machines;
  message.group_revision = revisions.groups;
  message.objects_age_ms = revisions.objects_age_ms;
  message.machines_age_ms = revisions.machines_age_ms;
  message.evacuation_revision = revisions.evacuations;
  message.members_digest = digest_;
  return message;
}

template <class Message>
void Membership::apply_probe_message(const PeerAddress& sender, const Message& message) {
  if (message.sender) {
    merge(*message.sender, true, true);
  }
  for (const auto& update : message.updates) {
    merge(*update, false, true);
  }
  end_search_if_member_known(sender);
  TableRevisions revisions{message.object_revision, message.machine_revision, message.group_revision};
  revisions.objects_age_ms = message.objects_age_ms;
  revisions.machines_age_ms = message.machines_age_ms;
  revisions.evacuations = message.evacuation_revision;
  hooks_.on_peer_revisions(sender, revisions);
  compare_lists(sender, message.members_digest);
}

void Membership::handle(const PeerAddress& sender, const wire::PingT& message) {
  apply_probe_message(sender, message);
  if (message.join) {
    send_member_sample(sender);
  }
  if (message.sequence != 0) {
    wire::AckT ack = make_probe_message<wire::AckT>(message.sequence);
    const MemberT* known = message.sender ? find(NodeId(message.sender->id)) : nullptr;
    if (known != nullptr && known->state != MemberState::Alive && known->state != message.sender->state) {
      ack.updates.push_back(std::make_unique<MemberT>(*known));
    }
    send_message(environment_, sender, std::move(ack));
  }
}

void Membership::send_member_sample(const PeerAddress& to) {
  const std::vector<const MemberT*> chosen = random_members(kMembersPerJoinReply);
  for (std::size_t first = 0; first < chosen.size(); first += kMembersPerDatagram) {
    wire::AckT ack;
    ack.sender = std::make_unique<MemberT>(self_);
    for (std::size_t position = first; position < std::min(first + kMembersPerDatagram, chosen.size()); ++position) {
      ack.updates.push_back(std::make_unique<MemberT>(*chosen[position]));
    }
    send_message(environment_, to, std::move(ack));
  }
}

void Membership::handle(const PeerAddress& sender, const wire::PingRequestT& message) {
  if (relays_.size() > kMaxRelays) {
    relays_.erase(relays_.begin());
  }
  const std::uint64_t sequence = ++sequence_;
  relays_[sequence] = Relay{sender, message.sequence};
  send_message(environment_, PeerAddress(message.target), make_probe_message<wire::PingT>(sequence));
  environment_.after(options_.period, lifetime_.guard([this, sequence] { relays_.erase(sequence); }));
}

void Membership::handle(const PeerAddress& sender, const wire::AckT& message) {
  apply_probe_message(sender, message);
  if (const auto probe = probes_.find(message.sequence); probe != probes_.end()) {
    probe->second.answered = true;
  }
  if (const auto relay = relays_.extract(message.sequence); !relay.empty()) {
    wire::AckT forwarded;
    forwarded.sequence = relay.mapped().sequence;
    forwarded.sender = std::make_unique<MemberT>(*message.sender);
    send_message(environment_, relay.mapped().origin, std::move(forwarded));
  }
}

// --- merging --------------------------------------------------------------------------------

bool Membership::merge(const MemberT& update, bool received_directly, bool spread) {
  if (update.id.empty()) {
    return false;
  }
  if (update.id == self_.id) {
    refute(update);
    return false;
  }
  const NodeId node(update.id);
  auto [position, inserted] = members_.try_emplace(node);
  Entry& entry = position->second;
  if (received_directly) {
    entry.last_direct_at = environment_.now();
  }
  if (!inserted && !overrides(update, entry.member)) {
    return false;
  }
  if (inserted && update.state == MemberState::Dead && received_directly) {
    members_.erase(position);
    return false;
  }
  if (!received_directly) {
    entry.last_forwarded_at = environment_.now();
  }
  accept_update(entry, update, spread);
  return true;
}

void Membership::refute(const MemberT& claim) {
  const bool elsewhere = claim.peer_address != self_.peer_address;
  const bool dead = claim.state == MemberState::Dead;
  const bool accused = claim.state == MemberState::Suspect || dead;
  const bool outdated = claim.incarnation > self_.incarnation;
  // Another process with this node's name may still run at the other address, so its entry is overridden only after it
  // was declared dead.
  if (claim.incarnation < self_.incarnation || (elsewhere ? !dead : !accused && !outdated)) {
    return;
  }
  digest_ ^= digest_of(self_);
  self_.incarnation = claim.incarnation + (elsewhere ? kIncarnationStepOtherAddress : 1);
  digest_ ^= digest_of(self_);
  counters_["membership_refutations_total"]++;
  enqueue(NodeId(self_.id), true);
  if (claim.state == MemberState::Dead && hooks_.on_self_refuted) {
    hooks_.on_self_refuted();
  }
}

void Membership::accept_update(Entry& entry, const MemberT& update, bool spread) {
  const MemberState before = entry.member.state;
  const bool is_new = entry.member.id.empty();
  const bool changed = is_new || before != update.state || entry.member.disk_id != update.disk_id;
  digest_ ^= is_new ? 0 : digest_of(entry.member);
  entry.member = update;
  digest_ ^= digest_of(update);
  entry.state_since = environment_.now();
  last_new_member_at_ = is_new ? environment_.now() : last_new_member_at_;
  const NodeId node(update.id);
  const bool urgent = is_new || update.state == MemberState::Leaving || update.state == MemberState::Dead ||
                      (before == MemberState::Dead && update.state == MemberState::Alive);
  if (spread) {
    enqueue(node, urgent);
  }
  if (update.state == MemberState::Suspect) {
    schedule_death(node, update.incarnation);
  }
  version_ += changed ? 1 : 0;
  if (changed && hooks_.on_change) {
    hooks_.on_change(entry.member);
  }
}

void Membership::enqueue(const NodeId& node, bool eager) {
  std::erase_if(updates_, [&](const Update& update) { return update.node == node; });
  const MemberT* member = find(node);
  const bool leaving = member != nullptr && member->state == MemberState::Leaving;
  updates_.push_back(Update{node, 0, leaving});
  const bool storm = updates_.size() > options_.eager_limit;
  if (eager && !eager_scheduled_ && (leaving || !storm)) {
    eager_scheduled_ = true;
    environment_.after(options_.eager_delay, lifetime_.guard([this] { flush_eagerly(); }));
  }
}

void Membership::flush_eagerly() {
  eager_scheduled_ = false;
  for (const PeerAddress& peer : random_peers(options_.eager_fanout)) {
    send_message(environment_, peer, make_probe_message<wire::PingT>(0));
  }
}

std::vector<std::unique_ptr<MemberT>> Membership::take_updates() {
  const double scale = std::log2(static_cast<double>(members_.size()) + 2.0);
  const auto limit = static_cast<std::size_t>(std::ceil(options_.retransmit_factor * scale));
  // Updates about leaving members go first, since peers must stop sending them work; then those sent least often, which
  // are the newest; then the oldest.
  std::vector<std::size_t> order(updates_.size());
  std::iota(order.begin(), order.end(), 0);
  const std::size_t wanted = std::min(options_.updates_per_message, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(wanted), order.end(),
                    [this](std::size_t left_position, std::size_t right_position) {
                      const Update& left = updates_[left_position];
                      const Update& right = updates_[right_position];
                      if (left.leaving != right.leaving) {
                        return left.leaving;
                      }
                      return left.sent != right.sent ? left.sent < right.sent : left_position < right_position;
                    });
  std::vector<std::unique_ptr<MemberT>> taken;
  for (std::size_t position = 0; position < wanted; ++position) {
    Update& update = updates_[order[position]];
    if (const MemberT* member = find(update.node)) {
      taken.push_back(std::make_unique<MemberT>(*member));
    }
    ++update.sent;
  }
  std::erase_if(updates_, [limit](const Update& update) { return update.sent >= limit; });
  return taken;
}

}  // namespace madderdeck::membership
