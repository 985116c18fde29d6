#include "ledger/group_health.hpp"

#include <algorithm>

namespace madderdeck::ledger {
namespace {

constexpr Duration kCheckInterval = 500ms;
/// Under normal conditions a live member that was suspected has refuted it by then.
constexpr Duration kLossReportDelay = 2s;
constexpr Duration kRecoveryReportDelay = 500ms;
/// Minimum interval between loss reports of one group: at most two lines per group in that time.
constexpr Duration kMinLossReportInterval = 10s;
/// Grace period after startup, in which the node may not know all members yet.
constexpr Duration kStartupGracePeriod = 3s;
/// How long a refusal is taken into account; by then the member has been asked or has answered the next request.
constexpr Duration kRefusalLifetime = 5s;
/// Interval between any two questions; a question and its answer are about 70 bytes each.
constexpr Duration kQuestionInterval = 1s;
/// Interval between questions to one member about one group; it doubles after kQuestionsBeforeDoubling questions. An
/// admitted member also reports it unasked.
constexpr Duration kFirstQuestionPause = 1s;
constexpr unsigned kQuestionsBeforeDoubling = 4;
constexpr unsigned kMaxQuestionDoublings = 4;
/// Limit while a group has no majority, so that its recovery is noticed soon.
constexpr unsigned kMaxQuestionDoublingsWhenLost = 2;
constexpr std::uint64_t kFoundingEpoch = 1;
/// Questions are sent over connections. One that is not answered reached no node, or a node that does not know the
/// epoch and runs a version that does not report this.
constexpr unsigned kUnresponsiveQuestions = 3;
/// A node counts as unresponsive (state silent) if it answers none of the requests that were sent to it for this time.
constexpr Duration kUnresponsiveAfter = 3s;
constexpr unsigned kUnresponsiveRequests = 5;
/// Longer than copying 30 MB of records takes with half a core.
constexpr Duration kUnadmittedReportDelay = 5s;
constexpr Duration kMaxUnadmittedReportPause = 80s;

/// @return the state that a member reports for @p epoch; nothing if the report does not determine it.
std::optional<member_state> state_from(const wire::CopyStatusT& message, std::uint64_t epoch) {
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
  // The member knows a later epoch than this node, or its version reports only whether it has copied everything, while
  // it may vote before that.
  return std::nullopt;
}

}  // namespace

const char* name_of(member_state state) {
  switch (state) {
    case member_state::counts:
      return "admitted";
    case member_state::not_heard:
      return "not_heard";
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

const char* name_of(evidence known_by) {
  switch (known_by) {
    case evidence::nothing:
      return "no word yet";
    case evidence::founding:
      return "founding member";
    case evidence::membership:
      return "probes";
    case evidence::requests:
      return "requests unanswered";
    case evidence::refusal:
      return "refused a request";
    case evidence::own_report:
      return "its own word";
    case evidence::own_disk:
      return "this node";
  }
  return "unknown";
}

std::size_t group_view::counting() const {
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [](const member_view& member) { return member.state == member_state::counts; }));
}

std::size_t group_view::not_heard() const {
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const member_view& member) {
    return member.state == member_state::not_heard;
  }));
}

std::string group_view::text() const {
  std::string text;
  for (const member_view& member : members) {
    text += (text.empty() ? "" : ", ") + text_of(member.identity) + " " + name_of(member.state);
  }
  return text;
}

std::string group_view::uncounted_text() const {
  std::string text;
  for (const member_view& member : members) {
    if (member.state == member_state::counts) {
      continue;
    }
    const std::string heard =
        member.heard_ago ? "heard " + std::to_string(*member.heard_ago / 1ms) + " ms ago" : "not heard";
    text += (text.empty() ? "" : ", ") + member.identity.node.str() + " " + name_of(member.state) + " for " +
            std::to_string(member.held_for / 1ms) + " ms " + heard + " " +
            (member.address ? "at " + member.address->str() : "no address");
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
      member_(std::move(member)),
      gone_(environment,
            {member_, [&client](const ReplicaIdentity& disk) { return client.is_obsolete(disk); }, {}, {}}) {}

void group_health::set_loss_criteria(std::function<Duration()> patience,
                                     std::function<std::optional<bool>(const NodeId&)> is_drained) {
  gone_.known().patience = std::move(patience);
  gone_.known().is_drained = std::move(is_drained);
}

void group_health::start() {
  started_ = environment_.now();
  check();
}

void group_health::check() {
  environment_.after(kCheckInterval, lifetime_.guard([this] { check(); }));
  adopt_epochs();
  gone_.look(client_.group_map().groups);
  CounterValue lost = 0;
  CounterValue lost_with_gone_disks = 0;
  for (std::uint32_t group = 0; group < groups_.size(); ++group) {
    update_seen(group, groups_[group]);
    check_majority(group, groups_[group]);
    lost += groups_[group].loss_reported ? 1 : 0;
    lost_with_gone_disks += report_gone_disks(group, groups_[group]) ? 1 : 0;
  }
  counters_["ledger_groups_without_majority"] = lost;
  counters_["ledger_groups_without_majority_with_gone_disks"] = lost_with_gone_disks;
  if (replica_ != nullptr) {
    check_admissions();
  }
  send_next_question();
}

void group_health::adopt_epochs() {
  groups_.resize(client_.group_map().groups.size());
  for (std::uint32_t group = 0; group < groups_.size(); ++group) {
    const ReplicaGroup& present = description(group);
    group_state& state = groups_[group];
    if (state.epoch == present.epoch) {
      continue;
    }
    state.epoch = present.epoch;
    std::map<ReplicaIdentity, member_report> reports;
    for (const ReplicaIdentity& identity : present.replicas) {
      const auto known = state.reports.find(identity);
      const bool admitted = known != state.reports.end() && known->second.state == member_state::counts;
      // The disks of a group in its founding epoch lack no records.
      if (admitted) {
        reports[identity] = known->second;
      } else if (present.epoch == kFoundingEpoch) {
        reports[identity].state = member_state::counts;
        reports[identity].by = evidence::founding;
      } else {
        reports[identity] = member_report{};
      }
    }
    state.reports = std::move(reports);
  }
}

void group_health::update_seen(std::uint32_t group, group_state& state) const {
  std::map<ReplicaIdentity, seen_member> seen;
  for (const ReplicaIdentity& identity : description(group).replicas) {
    const member_state now_seen = find_state(group, identity).state;
    const auto before = state.seen.find(identity);
    const bool as_before = before != state.seen.end() && before->second.state == now_seen;
    seen[identity] = as_before ? before->second : seen_member{now_seen, environment_.now()};
  }
  state.seen = std::move(seen);
}

// --- majorities -----------------------------------------------------------------------------

void group_health::check_majority(std::uint32_t group, group_state& state) {
  const Timestamp now = environment_.now();
  if (now - started_ < kStartupGracePeriod) {
    return;
  }
  const group_view seen = view(group);
  const bool differs = state.loss_reported ? seen.has_majority() : !seen.may_have_majority();
  if (!differs) {
    state.change_pending_since.reset();
    return;
  }
  if (!state.change_pending_since) {
    state.change_pending_since = now;
  }
  const bool settled =
      now - *state.change_pending_since >= (state.loss_reported ? kRecoveryReportDelay : kLossReportDelay);
  const bool interval_passed =
      state.loss_reported_at.count() == 0 || now - state.loss_reported_at >= kMinLossReportInterval;
  if (settled && (state.loss_reported || interval_passed)) {
    report_majority(seen, state);
  }
}

void group_health::report_majority(const group_view& seen, group_state& state) {
  const Timestamp now = environment_.now();
  const bool lost = !seen.has_majority();
  if (lost) {
    state.lost_since = *state.change_pending_since;
    state.loss_reported_at = now;
  }
  state.loss_reported = lost;
  state.change_pending_since.reset();
  counters_[lost ? "ledger_majorities_lost_total" : "ledger_majorities_regained_total"]++;
  log_.record(lost ? "group_majority_lost" : "group_majority_regained",
              {{"group", seen.group},
               {"epoch", seen.epoch},
               {"counting", seen.counting()},
               {"needed", seen.needed()},
               {"lost_for_ms", (now - state.lost_since) / 1ms},
               {"members", seen.text()},
               {"uncounted", seen.uncounted_text()}});
}

bool group_health::report_gone_disks(std::uint32_t group, group_state& state) {
  if (!state.loss_reported) {
    state.reported_gone.clear();
    return false;
  }
  const std::vector<gone_disk> gone = gone_.named_by(description(group));
  std::size_t news = 0;
  for (const gone_disk& disk : gone) {
    news += state.reported_gone.insert(disk.identity).second ? 1 : 0;
  }
  if (news > 0) {
    log_.record("group_disks_gone", {{"group", group}, {"epoch", state.epoch}, {"gone", text_of(gone)}});
  }
  return !gone.empty();
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
    const known_state found = find_state(group, identity);
    member_view member{identity, found.state, found.known_by, {}, {}, {}};
    if (const Timestamp heard_at = last_heard(group, identity); heard_at.count() != 0) {
      member.heard_ago = environment_.now() - heard_at;
    }
    if (const wire::MemberT* node = member_(identity.node); node != nullptr) {
      member.address = PeerAddress(node->peer_address);
    }
    if (group < groups_.size()) {
      const auto before = groups_[group].seen.find(identity);
      const bool as_before = before != groups_[group].seen.end() && before->second.state == found.state;
      member.held_for = as_before ? environment_.now() - before->second.since : Duration{};
    }
    seen.members.push_back(std::move(member));
  }
  if (!seen.has_majority()) {
    seen.gone = gone_.named_by(present);
  }
  return seen;
}

group_health::known_state group_health::find_state(std::uint32_t group, const ReplicaIdentity& identity) const {
  const member_state presence = presence_of(identity);
  if (presence != member_state::counts) {
    return {presence, evidence::membership};
  }
  if (replica_ != nullptr && replica_->is(identity)) {
    return {own_state(group), evidence::own_disk};
  }
  const known_state heard = reported_state(group, identity);
  const bool may_vote = heard.state == member_state::counts || heard.state == member_state::not_heard;
  return may_vote && is_silent(identity.node) ? known_state{member_state::silent, evidence::requests} : heard;
}

member_state group_health::own_state(std::uint32_t group) const {
  switch (replica_->standing(group, description(group).epoch)) {
    case wire::ReplicaStanding::Admitted:
      return member_state::counts;
    case wire::ReplicaStanding::Copying:
      return member_state::not_admitted;
    case wire::ReplicaStanding::UnknownEpoch:
    case wire::ReplicaStanding::NotSaid:
      break;
  }
  return member_state::unknown_epoch;
}

group_health::known_state group_health::reported_state(std::uint32_t group, const ReplicaIdentity& identity) const {
  const member_report* heard = nullptr;
  if (group < groups_.size()) {
    const auto entry = groups_[group].reports.find(identity);
    heard = entry == groups_[group].reports.end() ? nullptr : &entry->second;
  }
  if (heard == nullptr) {  // This node has just learnt of the epoch.
    const bool founding = description(group).epoch == kFoundingEpoch;
    return founding ? known_state{member_state::counts, evidence::founding} : known_state{};
  }
  const bool over = heard->by == evidence::refusal && environment_.now() - heard->heard_at >= kRefusalLifetime;
  if (heard->state && !over) {
    return {*heard->state, heard->by};
  }
  if (heard->unanswered >= kUnresponsiveQuestions) {
    return {member_state::silent, evidence::requests};
  }
  const bool cannot_tell = heard->answered && !heard->state;
  return cannot_tell ? known_state{member_state::counts, evidence::own_report} : known_state{};
}

std::string group_health::explain(std::uint32_t group, const member_view& member) const {
  const wire::MemberT* node = member_(member.identity.node);
  if (member.state == member_state::disk_replaced && node != nullptr) {
    return "its node runs with " + node->disk_id;
  }
  if (member.known_by != evidence::own_disk || member.state != member_state::not_admitted) {
    return name_of(member.known_by);
  }
  const copy_progress* copy = replica_->copy_of(group);
  std::string text = "copied " + short_bytes(copy == nullptr ? 0 : copy->total().bytes);
  for (const awaited_source& source : replica_->awaited_sources(group)) {
    text += ", waits for " + text_of(source.identity);
  }
  return text;
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

Timestamp group_health::last_heard(std::uint32_t group, const ReplicaIdentity& identity) const {
  Timestamp heard_at{};
  if (const auto asked = request_activities_.find(identity.node); asked != request_activities_.end()) {
    heard_at = asked->second.heard_at;
  }
  if (group < groups_.size()) {
    const auto report = groups_[group].reports.find(identity);
    heard_at = report == groups_[group].reports.end() ? heard_at : std::max(heard_at, report->second.heard_at);
  }
  return heard_at;
}

// --- incoming answers ------------------------------------------------------------------------

void group_health::on_request_sent(const NodeId& node) {
  request_activity& entry = request_activities_[node];
  const Timestamp now = environment_.now();
  // The time without requests is not counted as unresponsive.
  if (entry.requests == 0 || now - entry.last > kUnresponsiveAfter) {
    entry = request_activity{now, now, 0, entry.heard_at};
  }
  entry.last = now;
  ++entry.requests;
}

void group_health::on_heard(const PeerAddress& sender) {
  for (auto& [node, entry] : request_activities_) {
    const wire::MemberT* member = entry.requests == 0 ? nullptr : member_(node);
    if (member != nullptr && member->peer_address == sender.str()) {
      entry.requests = 0;
      entry.heard_at = environment_.now();
      return;
    }
  }
}

bool group_health::is_silent(const NodeId& node) const {
  const auto entry = request_activities_.find(node);
  if (entry == request_activities_.end() || entry->second.requests < kUnresponsiveRequests) {
    return false;
  }
  const Timestamp now = environment_.now();
  return now - entry->second.first >= kUnresponsiveAfter && now - entry->second.last < kUnresponsiveAfter;
}

group_health::member_report* group_health::report_of(const PeerAddress& sender, std::uint32_t group) {
  if (group >= groups_.size()) {
    return nullptr;
  }
  for (auto& [identity, heard] : groups_[group].reports) {
    const wire::MemberT* node = member_(identity.node);
    if (node != nullptr && node->peer_address == sender.str()) {
      return &heard;
    }
  }
  return nullptr;
}

group_health::member_report* group_health::report_at(const PeerAddress& sender, std::uint32_t group,
                                                     std::uint64_t epoch) {
  // The epoch may have been learnt since the last check.
  if (group >= groups_.size() || groups_[group].epoch != epoch) {
    adopt_epochs();
  }
  const bool present = group < groups_.size() && groups_[group].epoch == epoch;
  return present ? report_of(sender, group) : nullptr;
}

bool group_health::all_admitted(std::uint32_t group, std::uint64_t epoch) const {
  if (group >= groups_.size() || groups_[group].epoch != epoch) {
    return false;
  }
  const auto& reports = groups_[group].reports;
  return std::all_of(reports.begin(), reports.end(),
                     [](const auto& entry) { return entry.second.state == member_state::counts; });
}

void group_health::on_granted(const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch) {
  if (all_admitted(group, epoch)) {
    return;
  }
  member_report* heard = report_at(sender, group, epoch);
  if (heard == nullptr) {
    return;
  }
  heard->state = member_state::counts;
  heard->by = evidence::own_report;
  heard->heard_at = environment_.now();
  heard->unanswered = 0;
}

void group_health::on_refusal(const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch,
                              wire::ReplicaStatus status) {
  switch (status) {
    case wire::ReplicaStatus::Granted:
    case wire::ReplicaStatus::BallotTooLow:
    case wire::ReplicaStatus::Corrupted:
    case wire::ReplicaStatus::MemberThere:
      on_granted(sender, group, epoch);  // The member votes, but not for this proposal.
      return;
    case wire::ReplicaStatus::StaleEpoch:
      return;
    case wire::ReplicaStatus::UnknownEpoch:
    case wire::ReplicaStatus::NotReady:
      break;
  }
  member_report* heard = report_at(sender, group, epoch);
  if (heard == nullptr) {
    return;
  }
  if (heard->state == member_state::counts) {
    heard->asked = 0;
    heard->next_question_at = environment_.now();
  }
  const bool not_ready = status == wire::ReplicaStatus::NotReady;
  heard->state = not_ready ? member_state::not_admitted : member_state::unknown_epoch;
  heard->by = evidence::refusal;
  heard->heard_at = environment_.now();
  heard->unanswered = 0;
}

void group_health::handle(const PeerAddress& sender, const wire::CopyStatusT& message) {
  member_report* heard = report_of(sender, message.group);
  if (heard == nullptr) {
    return;
  }
  heard->unanswered = 0;
  heard->heard_at = environment_.now();
  heard->by = evidence::own_report;
  heard->answered = true;
  heard->state = state_from(message, groups_[message.group].epoch);
}

// --- questions ------------------------------------------------------------------------------

bool group_health::needs_question(const ReplicaIdentity& identity, const member_report& heard) const {
  const bool admitted = heard.state == member_state::counts;
  const bool own = replica_ != nullptr && replica_->is(identity);
  return !admitted && !own && presence_of(identity) == member_state::counts;
}

void group_health::send_next_question() {
  const Timestamp now = environment_.now();
  member_report* due = nullptr;
  const ReplicaIdentity* asked = nullptr;
  std::uint32_t asked_group = 0;
  for (std::uint32_t group = 0; group < groups_.size(); ++group) {
    for (auto& [identity, heard] : groups_[group].reports) {
      if (now >= heard.next_question_at && (due == nullptr || heard.next_question_at < due->next_question_at) &&
          needs_question(identity, heard)) {
        due = &heard;
        asked = &identity;
        asked_group = group;
      }
    }
  }
  if (due == nullptr || now - last_question_ < kQuestionInterval) {
    return;
  }
  const unsigned most_doublings =
      groups_[asked_group].loss_reported ? kMaxQuestionDoublingsWhenLost : kMaxQuestionDoublings;
  const unsigned doublings =
      std::min(std::max(due->asked, kQuestionsBeforeDoubling) - kQuestionsBeforeDoubling, most_doublings);
  due->next_question_at = now + kFirstQuestionPause * (1U << doublings);
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

void group_health::check_admissions() {
  const Timestamp now = environment_.now();
  const std::vector<Replica::unadmitted> present = replica_->list_unadmitted();
  std::erase_if(waiting_, [&present](const auto& entry) {
    return std::none_of(present.begin(), present.end(),
                        [&entry](const Replica::unadmitted& replica) { return replica.group == entry.first; });
  });
  for (const Replica::unadmitted& replica : present) {
    const auto [entry, inserted] = waiting_.try_emplace(
        replica.group, unadmitted_replica{now, now + kUnadmittedReportDelay, kUnadmittedReportDelay});
    unadmitted_replica& waiting = entry->second;
    if (!inserted && now >= waiting.next_report_at) {
      report_unadmitted(replica, waiting);
      waiting.pause = std::min(waiting.pause * 2, kMaxUnadmittedReportPause);
      waiting.next_report_at = now + waiting.pause;
    }
  }
  counters_["ledger_replicas_not_admitted"] = static_cast<CounterValue>(present.size());
}

void group_health::report_unadmitted(const Replica::unadmitted& replica, const unadmitted_replica& waiting) {
  std::string sources;
  for (const ReplicaIdentity& source : replica.waits_for) {
    sources += (sources.empty() ? "" : ", ") + text_of(source) + " " +
               (presence_of(source) == member_state::counts ? "copying" : name_of(presence_of(source)));
  }
  log_.record("replica_not_admitted", {{"group", replica.group},
                                       {"epoch", replica.epoch},
                                       {"waits_ms", (environment_.now() - waiting.since) / 1ms},
                                       {"waits_for", sources}});
}

}  // namespace madderdeck::ledger
