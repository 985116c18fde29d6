#include "simulation/group_watch.hpp"

#include <algorithm>

#include "batch/records.hpp"
#include "simulation/support.hpp"

namespace madderdeck::simulation {
namespace {

constexpr std::size_t kToleratedDisks = 1;
constexpr Duration kReadingPause = 200ms;  ///< Between two tries to read one job.
constexpr Duration kReadingPatience = 1s;
constexpr Duration kStoreAnswersWithin = 100ms;

std::string node_name(unsigned number) { return "node-" + std::to_string(number); }

}  // namespace

GroupWatch::GroupWatch(World& world, SimFleet& fleet, Oracle& oracle)
    : world_(world), fleet_(fleet), oracle_(oracle), rule_(kToleratedDisks, kCatchUp) {}

void GroupWatch::look() {
  look_at_store();
  look_at_machines();
  learn_descriptions();
  look_at_disks();
  for (const auto& [group, description] : groups_) {
    GroupSight sight = sight_of(group, description);
    const bool can_vote = sight.can_vote;
    if (can_vote) {
      voted_[group] = description;
    }
    sight.whole_majority = has_whole_majority(group, 0);
    sight.bears_a_loss = has_whole_majority(group, kToleratedDisks);
    oracle_.group_seen(group, std::move(sight), world_.now());
    note_votes(group, can_vote);
  }
  if (store_away_) {
    after_majority_.clear();  // a node that starts meanwhile does not know the groups
  }
  const auto since = everything_back_since();
  start_rounds_when_all_are_back(since);
  for (auto& [group, round] : after_majority_) {
    read_on(round);
  }
  for (auto& [group, round] : after_all_back_) {
    read_on(round);
  }
  judge(since);
  if (fleet_.profile.successors_judged) {
    judge_successors();
  }
}

bool GroupWatch::is_back(unsigned node) const {
  const SimProcess& process = fleet_.nodes[node]->process;
  const bool cut_off = fleet_.nodes[node]->has_disk ? fleet_.is_apart(node) : fleet_.is_cut_off(node);
  return fleet_.usable(node) && !process.frozen() && !cut_off;
}

void GroupWatch::look_at_machines() {
  for (const unsigned node : fleet_.disk_nodes()) {
    const bool back = is_back(node) && !fleet_.can_find_nobody(node);
    rule_.observe(node, back, fleet_.nodes[node]->apart_at, world_.now());
  }
  // The pages do not say what a machine that starts while the store is away owes.
  if (!store_away_ && world_.now() - store_back_at_ >= kCatchUp) {
    rule_.expire(world_.now());
  }
}

void GroupWatch::machine_removed(unsigned node) {
  oracle_.loss_seen(world_.now());
  rule_.machine_removed(node);
}

void GroupWatch::disk_lost(unsigned node) {
  oracle_.loss_seen(world_.now());
  rule_.disk_lost(node, world_.now());
}

void GroupWatch::power_lost() { oracle_.loss_seen(world_.now()); }

bool GroupWatch::may_lose_disk(unsigned node) {
  look_at_store();
  look_at_machines();
  return rule_.may_lose(node);
}

void GroupWatch::learn_descriptions() {
  std::map<std::uint32_t, ledger::ReplicaGroup> latest;
  for (const unsigned node : fleet_.disk_nodes()) {
    const SimNode& at = *fleet_.nodes[node];
    if (!at.process.up() || !at.life.core) {
      continue;
    }
    for (const auto& [group, description] : at.life.core->replica->descriptions()) {
      if (description.epoch > latest[group].epoch) {
        latest[group] = description;
      }
    }
  }
  for (auto& [group, description] : latest) {
    groups_[group] = std::move(description);
  }
}

void GroupWatch::look_at_disks() {
  for (const unsigned node : fleet_.disk_nodes()) {
    const SimNode& at = *fleet_.nodes[node];
    if (!at.process.up() || !at.life.core) {
      continue;  // its disk holds what it held
    }
    std::set<std::uint32_t>& whole = whole_[at.disk_id];
    for (const auto& [group, description] : at.life.core->replica->descriptions()) {
      if (at.life.core->replica->holds(group, 0)) {
        whole.insert(group);
      } else {
        whole.erase(group);  // its place was another's meanwhile
      }
    }
  }
}

std::optional<unsigned> GroupWatch::holder_of(const ledger::ReplicaIdentity& member) const {
  for (const unsigned node : fleet_.disk_nodes()) {
    if (node_name(node) == member.node.str() && fleet_.nodes[node]->disk_id == member.disk.str()) {
      return node;
    }
  }
  return std::nullopt;
}

GroupSight GroupWatch::sight_of(std::uint32_t group, const ledger::ReplicaGroup& description) const {
  GroupSight sight;
  sight.members = "epoch " + std::to_string(description.epoch);
  std::size_t voting = 0;
  for (const ledger::ReplicaIdentity& member : description.replicas) {
    sight.members += ", " + describe_member(group, description.epoch, member);
    const auto node = holder_of(member);
    if (!node) {
      continue;
    }
    voting += is_back(*node) && fleet_.core(*node).replica->holds(group, description.epoch) ? 1 : 0;
  }
  sight.can_vote = voting >= description.majority();
  return sight;
}

bool GroupWatch::has_whole_majority(std::uint32_t group, std::size_t further_losses) const {
  const auto voted = voted_.find(group);
  if (voted == voted_.end()) {
    return false;
  }
  const auto holds = [this, group](const ledger::ReplicaIdentity& member) {
    const auto disk = whole_.find(member.disk.str());
    return holder_of(member) && disk != whole_.end() && disk->second.contains(group);
  };
  const auto& members = voted->second.replicas;
  const auto whole = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), holds));
  return whole >= voted->second.majority() + further_losses;
}

std::string GroupWatch::describe_member(std::uint32_t group, std::uint64_t epoch,
                                        const ledger::ReplicaIdentity& member) const {
  const auto node = holder_of(member);
  if (!node) {
    return member.node.str() + " lost";
  }
  if (!is_back(*node)) {
    return member.node.str() + " away";
  }
  const ledger::Replica& replica = *fleet_.core(*node).replica;
  for (const ledger::Replica::unadmitted& waiting : replica.list_unadmitted()) {
    if (waiting.group != group) {
      continue;
    }
    std::string text = member.node.str() + " at epoch " + std::to_string(waiting.epoch) + " copies, waits for";
    for (const ledger::ReplicaIdentity& source : waiting.waits_for) {
      text += " " + source.node.str() + (holder_of(source) ? "" : " (lost)");
    }
    return text;
  }
  return member.node.str() + (replica.holds(group, epoch) ? " votes" : " knows an earlier epoch");
}

std::vector<std::string> GroupWatch::describe() const {
  std::vector<std::string> lines;
  for (const auto& [group, description] : groups_) {
    lines.push_back("group " + std::to_string(group) + " " + sight_of(group, description).members);
  }
  return lines;
}

void GroupWatch::note_votes(std::uint32_t group, bool can_vote) {
  const bool could = votes_since_.contains(group);
  if (!can_vote) {
    votes_since_.erase(group);
    after_majority_.erase(group);
  } else if (!could) {
    votes_since_[group] = world_.now();
    after_majority_[group] = new_round(group, true);
  }
}

void GroupWatch::look_at_store() {
  const Conditions& conditions = fleet_.conditions;
  store_away_ = conditions.platform_down || conditions.platform_delay > kStoreAnswersWithin;
  if (store_away_) {
    store_back_at_ = world_.now();
  }
}

std::optional<Timestamp> GroupWatch::everything_back_since() const {
  if (store_away_) {
    return std::nullopt;
  }
  Timestamp since = store_back_at_;
  for (unsigned node = 0; node < fleet_.nodes.size(); ++node) {
    if (fleet_.nodes[node]->removed) {
      continue;
    }
    if (!is_back(node)) {
      return std::nullopt;
    }
    since = std::max(since, fleet_.nodes[node]->disturbed_at);
  }
  return since;
}

GroupWatch::RoundPointer GroupWatch::new_round(std::uint32_t group, bool after_majority) const {
  auto round = std::make_shared<Round>();
  round->since = world_.now();
  round->after_majority = after_majority;
  ledger::GroupMap map;
  map.groups.resize(groups_.size());
  for (const auto& [job, facts] : oracle_.jobs()) {
    const bool accepted = facts.items > 0;
    if (accepted && map.group_of(batch::job_key(JobId(job))) == group) {
      round->unread.insert(job);
    }
  }
  return round;
}

void GroupWatch::start_rounds_when_all_are_back(const std::optional<Timestamp>& since) {
  if (!since) {
    after_all_back_.clear();
    return;
  }
  if (*since == rounds_of_) {
    return;
  }
  rounds_of_ = *since;
  for (const auto& [group, description] : groups_) {
    after_all_back_[group] = new_round(group, false);
    after_all_back_[group]->since = *since;
  }
}

void GroupWatch::read_on(RoundPointer& round) {
  std::vector<unsigned> readers;
  for (unsigned node = 0; node < fleet_.nodes.size(); ++node) {
    if (is_back(node) && !fleet_.can_find_nobody(node)) {
      readers.push_back(node);
    }
  }
  if (readers.empty() || world_.now() < round->next_try) {
    return;
  }
  round->next_try = world_.now() + kReadingPause;
  const std::set<std::string> unread = round->unread;
  for (const std::string& job : unread) {
    const std::string key = batch::job_key(JobId(job));
    const unsigned reader = readers[stable_hash(job) % readers.size()];
    // A node that has started since could not be asked before.
    const Timestamp since = std::max(round->since, fleet_.nodes[reader]->disturbed_at);
    const auto take = [this, round, job, key, since](const Result<ledger::ScanPage>& result) {
      const bool found =
          succeeded(result) && std::any_of(value_of(result).records.begin(), value_of(result).records.end(),
                                           [&key](const ledger::ScanRecord& record) { return record.key == key; });
      if (found && round->unread.erase(job) > 0) {
        auto& times = round->after_majority ? oracle_.recovery.job_after_majority : oracle_.recovery.job_after_all_back;
        times.push_back(world_.now() - since);
      }
    };
    fleet_.core(reader).ledger.scan_with_timeout(kReadingPatience, key, 2, take);
  }
}

void GroupWatch::judge_successors() {
  const auto back_since = rule_.all_back_since();
  const Conditions& conditions = fleet_.conditions;
  if (store_away_ || conditions.platform_lost_answers > 0 || !back_since) {
    return;
  }
  const Timestamp since = std::max({*back_since, store_back_at_, conditions.platform_disturbed_at});
  if (since == successors_judged_ || world_.now() - since < kCatchUp) {
    return;
  }
  successors_judged_ = since;
  for (const auto& [group, description] : groups_) {
    if (!oracle_.bears_a_loss(group)) {
      oracle_.successor_not_taken_in(group, since, world_.now());
    }
  }
}

void GroupWatch::judge_disks() {
  for (const auto& [group, description] : groups_) {
    const auto& members = description.replicas;
    const auto existing = std::count_if(members.begin(), members.end(),
                                        [this](const auto& member) { return holder_of(member).has_value(); });
    if (static_cast<std::size_t>(existing) < description.majority()) {
      oracle_.epoch_names_gone_disk(
          group, "has no majority of disks that exist: " + sight_of(group, description).members, world_.now());
    }
  }
}

void GroupWatch::judge(const std::optional<Timestamp>& since) {
  if (!since || *since == judged_ || world_.now() - *since < kRecover) {
    return;
  }
  judged_ = *since;
  oracle_.recovery_is_due(world_.now());
  if (fleet_.profile.departures) {
    judge_disks();
  }
  for (const auto& [group, round] : after_all_back_) {
    for (const std::string& job : round->unread) {
      oracle_.job_unread(job, group, world_.now());
    }
  }
  for (const auto& [group, votes_since] : votes_since_) {
    oracle_.recovery.group_after_all_back.push_back(std::max<Duration>(votes_since - *since, Duration::zero()));
  }
}

}  // namespace madderdeck::simulation
