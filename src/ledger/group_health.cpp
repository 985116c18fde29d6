#include "ledger/group_health.hpp"

#include <algorithm>

namespace madderdeck::ledger {
namespace {

constexpr Duration kCheck = 500ms;
/// A member that only seems dead has refuted it by then, in calm.
constexpr Duration kLostAfter = 2s;
constexpr Duration kRegainedAfter = 500ms;
/// From one line about a lost majority of a group to the next: two lines for each group in that time.
constexpr Duration kLeastBetweenLosses = 10s;
/// A node that starts has not heard of all members yet.
constexpr Duration kStarting = 3s;
/// Of a refusal: who still asks hears the next one before.
constexpr Duration kRefusalHolds = 5s;
/// From one question to the next, to whomever: a question and its answer are some 70 bytes each.
constexpr Duration kBetweenQuestions = 1s;
/// From one question to the next about the same; it doubles after some. A member that is admitted says so unasked, too.
constexpr Duration kFirstAskPause = 1s;
constexpr unsigned kAsksBeforeDoubling = 4;
constexpr unsigned kMostAskDoublings = 4;
/// Questions go over connections: one that is not answered met no one, or a node that does not know the epoch and is of
/// a version that does not say so.
constexpr unsigned kUnansweredMeansSilent = 3;
/// Without a single answer, of requests that are still being sent.
constexpr Duration kSilentAfter = 3s;
constexpr unsigned kSilentRequests = 5;
/// A copy of 30 MB of records at half a core takes less.
constexpr Duration kLongWait = 5s;
constexpr Duration kMostWaitPause = 80s;

/// @return what a member says about itself at @p epoch; nothing when that cannot be told.
std::optional<member_state> said_by(const wire::CopyStatusT& message, std::uint64_t epoch) {
  if (message.epoch < epoch) {
    return member_state::unknown_epoch;
  }
  if (message.epoch == epoch) {
    if (message.complete || message.standing == wire::ReplicaStanding::Admitted) {
      return member_state::counts;
    }
    if (message.standing == wire::ReplicaStanding::Copying) {
      return member_state::not_admitted;
    }
  }
  // It knows a later epoch than this node, or is of a version that tells only whether it has copied all: it may vote
  // before that.
  return std::nullopt;
}

}  // namespace

const char* name_of(member_state state) {
  switch (state) {
    case member_state::counts:
      return "admitted";
    case member_state::not_admitted:
      return "not_admitted";
    case member_state::unknown_epoch:
      return "unknown_epoch";
    case member_state::silent:
      return "silent";
    case member_state::suspected:
      return "suspected";
    case member_state::dead:
      return "dead";
    case member_state::disk_replaced:
      return "disk_replaced";
    case member_state::unknown_node:
      return "unknown_node";
  }
  return "unknown";
}

std::size_t group_view::counting() const {
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [](const member_view& member) { return member.state == member_state::counts; }));
}

std::string group_view::text() const {
  std::string text;
  for (const member_view& member : members) {
    text += (text.empty() ? "" : ", ") + member.identity.node.str() + "/" + member.identity.disk.str() + " " +
            name_of(member.state);
  }
  return text;
}

group_health::group_health(Environment& environment, Counters& counters, DecisionLog& log, const Client& client,
                           const Replica* replica, member_lookup member)
    : environment_(environment),
      counters_(counters),
      log_(log),
      client_(client),
      replica_(replica),
      member_(std::move(member)) {}

void group_health::start() {
  started_ = environment_.now();
  check();
}

void group_health::check() {
  environment_.after(kCheck, lifetime_.guard([this] { check(); }));
  take_epochs();
  CounterValue lost = 0;
  for (std::uint32_t group = 0; group < groups_.size(); ++group) {
    review(group, groups_[group]);
    lost += groups_[group].told_lost ? 1 : 0;
  }
  counters_["ledger_groups_without_majority"] = lost;
  if (replica_ != nullptr) {
    review_admissions();
    ask_next();
  }
}

void group_health::take_epochs() {
  constexpr std::uint64_t kFoundingEpoch = 1;
  groups_.resize(client_.group_map().groups.size());
  for (std::uint32_t group = 0; group < groups_.size(); ++group) {
    const ReplicaGroup& present = description(group);
    group_state& state = groups_[group];
    if (state.epoch == present.epoch) {
      continue;
    }
    state.epoch = present.epoch;
    std::map<ReplicaIdentity, word> words;
    for (const ReplicaIdentity& identity : present.replicas) {
      const auto known = state.words.find(identity);
      const bool admitted = known != state.words.end() && known->second.said == member_state::counts;
      // A group is founded on disks that lack nothing.
      if (admitted || present.epoch == kFoundingEpoch) {
        words[identity].said = member_state::counts;
      } else {
        words[identity] = word{};
      }
    }
    state.words = std::move(words);
  }
}

// --- majorities -----------------------------------------------------------------------------

void group_health::review(std::uint32_t group, group_state& state) {
  const Timestamp now = environment_.now();
  if (now - started_ < kStarting) {
    return;
  }
  const group_view seen = view(group);
  if (seen.has_majority() != state.told_lost) {
    state.differs_since.reset();
    return;
  }
  if (!state.differs_since) {
    state.differs_since = now;
  }
  const bool settled = now - *state.differs_since >= (state.told_lost ? kRegainedAfter : kLostAfter);
  const bool rested = state.told_lost_at.count() == 0 || now - state.told_lost_at >= kLeastBetweenLosses;
  if (settled && (state.told_lost || rested)) {
    tell(seen, state);
  }
}

void group_health::tell(const group_view& seen, group_state& state) {
  const Timestamp now = environment_.now();
  const bool lost = !seen.has_majority();
  if (lost) {
    state.lost_since = *state.differs_since;
    state.told_lost_at = now;
  }
  state.told_lost = lost;
  state.differs_since.reset();
  counters_[lost ? "ledger_majorities_lost_total" : "ledger_majorities_regained_total"]++;
  log_.record(lost ? "group_majority_lost" : "group_majority_regained",
              {{"group", seen.group},
               {"epoch", seen.epoch},
               {"counting", seen.counting()},
               {"needed", seen.needed()},
               {"lost_for_ms", (now - state.lost_since) / 1ms},
               {"members", seen.text()}});
}

std::vector<group_view> group_health::views() const {
  std::vector<group_view> seen;
  for (std::uint32_t group = 0; group < client_.group_map().groups.size(); ++group) {
    seen.push_back(view(group));
  }
  return seen;
}

group_view group_health::view(std::uint32_t group) const {
  const ReplicaGroup& present = description(group);
  group_view seen;
  seen.group = group;
  seen.epoch = present.epoch;
  for (const ReplicaIdentity& identity : present.replicas) {
    seen.members.push_back({identity, state_of(group, identity)});
  }
  return seen;
}

member_state group_health::state_of(std::uint32_t group, const ReplicaIdentity& identity) const {
  const member_state presence = presence_of(identity);
  if (presence != member_state::counts) {
    return presence;
  }
  if (replica_ != nullptr && replica_->is(identity)) {
    switch (replica_->standing(group, description(group).epoch)) {
      case wire::ReplicaStanding::Admitted:
        return member_state::counts;
      case wire::ReplicaStanding::Copying:
        return member_state::not_admitted;
      case wire::ReplicaStanding::UnknownEpoch:
      case wire::ReplicaStanding::NotSaid:
        return member_state::unknown_epoch;
    }
  }
  if (group < groups_.size()) {
    const auto entry = groups_[group].words.find(identity);
    if (entry != groups_[group].words.end()) {
      const word& heard = entry->second;
      const bool over = heard.refusal && environment_.now() - heard.heard_at >= kRefusalHolds;
      if (heard.said && !over && *heard.said != member_state::counts) {
        return *heard.said;
      }
      if (!heard.said && heard.unanswered >= kUnansweredMeansSilent) {
        return member_state::silent;
      }
    }
  }
  return is_silent(identity.node) ? member_state::silent : member_state::counts;
}

member_state group_health::presence_of(const ReplicaIdentity& identity) const {
  const wire::MemberT* node = member_(identity.node);
  if (node == nullptr) {
    return member_state::unknown_node;
  }
  if (node->state == wire::MemberState::Dead) {
    return member_state::dead;
  }
  if (!node->disk_id.empty() && node->disk_id != identity.disk.str()) {
    return member_state::disk_replaced;
  }
  return node->state == wire::MemberState::Suspect ? member_state::suspected : member_state::counts;
}

// --- what is heard --------------------------------------------------------------------------

void group_health::on_asked(const NodeId& node) {
  silence& entry = silent_[node];
  const Timestamp now = environment_.now();
  // Without requests in between nothing is known of the time.
  if (entry.requests == 0 || now - entry.last > kSilentAfter) {
    entry = silence{now, now, 0};
  }
  entry.last = now;
  ++entry.requests;
}

void group_health::on_heard(const PeerAddress& sender) {
  for (auto& [node, entry] : silent_) {
    const wire::MemberT* member = entry.requests == 0 ? nullptr : member_(node);
    if (member != nullptr && member->peer_address == sender.str()) {
      entry.requests = 0;
      return;
    }
  }
}

bool group_health::is_silent(const NodeId& node) const {
  const auto entry = silent_.find(node);
  if (entry == silent_.end() || entry->second.requests < kSilentRequests) {
    return false;
  }
  const Timestamp now = environment_.now();
  return now - entry->second.first >= kSilentAfter && now - entry->second.last < kSilentAfter;
}

group_health::word* group_health::word_of(const PeerAddress& sender, std::uint32_t group) {
  if (group >= groups_.size()) {
    return nullptr;
  }
  for (auto& [identity, heard] : groups_[group].words) {
    const wire::MemberT* node = member_(identity.node);
    if (node != nullptr && node->peer_address == sender.str()) {
      return &heard;
    }
  }
  return nullptr;
}

void group_health::on_refusal(const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch,
                              wire::ReplicaStatus status) {
  const bool not_ready = status == wire::ReplicaStatus::NotReady;
  const bool unknown = status == wire::ReplicaStatus::UnknownEpoch;
  word* heard = word_of(sender, group);
  if (heard == nullptr || (!not_ready && !unknown) || groups_[group].epoch != epoch) {
    return;
  }
  heard->said = not_ready ? member_state::not_admitted : member_state::unknown_epoch;
  heard->refusal = true;
  heard->heard_at = environment_.now();
  heard->unanswered = 0;
}

void group_health::handle(const PeerAddress& sender, const wire::CopyStatusT& message) {
  word* heard = word_of(sender, message.group);
  if (heard == nullptr) {
    return;
  }
  heard->unanswered = 0;
  heard->heard_at = environment_.now();
  heard->refusal = false;
  heard->said = said_by(message, groups_[message.group].epoch);
}

// --- questions ------------------------------------------------------------------------------

bool group_health::is_member(const ReplicaGroup& group) const {
  return replica_ != nullptr && std::any_of(group.replicas.begin(), group.replicas.end(),
                                            [this](const ReplicaIdentity& member) { return replica_->is(member); });
}

bool group_health::has_to_be_asked(const ReplicaIdentity& identity, const word& heard) const {
  const bool admitted = heard.said == member_state::counts;
  return !admitted && !replica_->is(identity) && presence_of(identity) == member_state::counts;
}

void group_health::ask_next() {
  const Timestamp now = environment_.now();
  word* due = nullptr;
  const ReplicaIdentity* asked = nullptr;
  std::uint32_t asked_group = 0;
  for (std::uint32_t group = 0; group < groups_.size(); ++group) {
    if (!is_member(description(group))) {
      continue;
    }
    for (auto& [identity, heard] : groups_[group].words) {
      if (now >= heard.ask_at && (due == nullptr || heard.ask_at < due->ask_at) && has_to_be_asked(identity, heard)) {
        due = &heard;
        asked = &identity;
        asked_group = group;
      }
    }
  }
  if (due == nullptr || now - last_question_ < kBetweenQuestions) {
    return;
  }
  const unsigned doublings =
      std::min(std::max(due->asked, kAsksBeforeDoubling) - kAsksBeforeDoubling, kMostAskDoublings);
  due->ask_at = now + kFirstAskPause * (1U << doublings);
  ++due->asked;
  ++due->unanswered;
  last_question_ = now;
  wire::CopyStatusRequestT request;
  request.group = asked_group;
  request.epoch = groups_[asked_group].epoch;
  send_message(environment_, PeerAddress(member_(asked->node)->peer_address), std::move(request));
  counters_["ledger_standings_asked_total"]++;
}

// --- this node's own replicas -----------------------------------------------------------------

void group_health::review_admissions() {
  const Timestamp now = environment_.now();
  const std::vector<Replica::unadmitted> present = replica_->list_unadmitted();
  std::erase_if(waiting_, [&present](const auto& entry) {
    return std::none_of(present.begin(), present.end(),
                        [&entry](const Replica::unadmitted& replica) { return replica.group == entry.first; });
  });
  for (const Replica::unadmitted& replica : present) {
    const auto [entry, inserted] =
        waiting_.try_emplace(replica.group, waiting_replica{now, now + kLongWait, kLongWait});
    waiting_replica& waiting = entry->second;
    if (!inserted && now >= waiting.tell_at) {
      tell_waiting(replica, waiting);
      waiting.pause = std::min(waiting.pause * 2, kMostWaitPause);
      waiting.tell_at = now + waiting.pause;
    }
  }
  counters_["ledger_replicas_not_admitted"] = static_cast<CounterValue>(present.size());
}

void group_health::tell_waiting(const Replica::unadmitted& replica, const waiting_replica& waiting) {
  std::string sources;
  for (const ReplicaIdentity& source : replica.waits_for) {
    sources += (sources.empty() ? "" : ", ") + source.node.str() + "/" + source.disk.str() + " " +
               (presence_of(source) == member_state::counts ? "copying" : name_of(presence_of(source)));
  }
  log_.record("replica_not_admitted", {{"group", replica.group},
                                       {"epoch", replica.epoch},
                                       {"waits_ms", (environment_.now() - waiting.since) / 1ms},
                                       {"waits_for", sources}});
}

}  // namespace madderdeck::ledger
