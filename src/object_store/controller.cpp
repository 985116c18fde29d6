#include "object_store/controller.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace madderdeck::object_store {
namespace {
constexpr std::size_t kMaxRejectedLines = 8;  ///< Of one answer of the store.
constexpr Duration kReaderCheckInterval = 500ms;
constexpr Duration kFeedCheckInterval = 100ms;
constexpr Duration kStartCheckInterval = 50ms;
/// Changes in a large fleet come in bursts, as when all back ends start; changes within this time share one call.
constexpr Duration kChangeBatchDelay = 400ms;
constexpr Duration kCallSummaryInterval = 5s;
/// Delay between the polls of nodes with successive ranks in a zone: the result of the first one takes that long to
/// arrive.
constexpr Duration kPollStagger = 40ms;
/// Delay between the polls of a zone's first nodes that have no data yet: a list of 10,000 back ends takes some seconds
/// to read, and each of its 50 pages is a call.
constexpr Duration kInitialPollStagger = 500ms;
constexpr Duration::rep kMaxStaggeredInitialPolls = 8;
constexpr Duration kMinPollRetryDelay = 1s;  ///< After a failed poll; doubles.
/// With this limit a node has the store's data at most 4 s after the store serves it again.
constexpr unsigned kMaxPollDelayDoublings = 1;
/// A feed that is newer by less than this is not forwarded.
constexpr Duration kMinRelayAdvance = 300ms;
constexpr Duration kDeclareCooldown = 1s;
constexpr Duration kAnnounceDuration = 5s;
/// Time for which a former member has to appear gone: a controller that was frozen or partitioned may know its node
/// with an earlier disk for a while, and the records of the former member may have no other copy.
constexpr Duration kLeaverGoneDelay = 5s;
/// The same for a former member that is alive and does not report that it leaves: it may have just started and, while
/// the store is unavailable, not know yet that it is to be drained.
constexpr Duration kPresentLeaverGoneDelay = 60s;
/// Time after its start from which a node treats members unknown to it as missing. A member that starts later keeps its
/// records for the others to copy.
constexpr Duration kFleetJoinTime = 1s;
/// Time for which a member waits for the maintainers to publish its group's epoch in the store before it does.
constexpr Duration kPublishTimeout = 2s;
/// Delay between the turns of controllers of successive ranks to found the groups.
constexpr Duration kFoundingTurnInterval = 2s;
/// Time after a refusal for which the same change is not proposed again.
constexpr Duration kRefusedChangeCooldown = 1s;
/// Limit of concurrent decisions at a node that is not a maintainer of the groups.
constexpr std::size_t kMaxConcurrentDecisions = 16;
/// Interval at which the process records that it is running. A reply may be read after the first record that follows a
/// suspension, so the last but one is used.
constexpr Duration kRunRecordInterval = 50ms;

}  // namespace

Controller::Controller(Environment& environment, Counters& counters, membership::Membership& members,
                       config::TableReplicator& objects, config::TableReplicator& machines,
                       config::TableReplicator& groups, config::TableReplicator& evacuations,
                       const config::Catalog& catalog, ledger::Client& ledger, PlatformClient& platform,
                       Declarations& declarations, DecisionLog& log, ControllerOptions options)
    : environment_(environment),
      counters_(counters),
      members_(members),
      objects_(objects),
      machines_(machines),
      groups_(groups),
      evacuations_(evacuations),
      catalog_(catalog),
      ledger_(ledger),
      platform_(platform),
      declarations_(declarations),
      log_(log),
      options_(options),
      feeds_(members, {options.readers, options.relays, options.all_read_up_to}),
      pending_(environment, counters, log),
      proposals_(environment, counters, log, members),
      deciders_(environment, declarations, platform),
      offers_(environment, counters, log, [this](const NodeId& node) { return members_.address_of(node); }) {}

void Controller::start() {
  started_ = environment_.now();
  ledger_.on_decision = lifetime_.guard(
      [this](std::uint32_t group, const ledger::decision_votes& votes) { proposals_.note_votes(group, votes); });
  watch(objects_, &PlatformClient::watch_objects, false);
  watch(machines_, &PlatformClient::watch_machines, false);
  if (platform_.has_group_source()) {
    watch(groups_, &PlatformClient::watch_groups, false);
  }
  if (platform_.has_evacuations()) {
    watch(evacuations_, &PlatformClient::watch_evacuations, false);
  }
  environment_.after(options_.group_check, lifetime_.guard([this] { maintain_groups(); }));
  environment_.after(kCallSummaryInterval, lifetime_.guard([this] { log_calls(); }));
  if (options_.feed_silence.count() > 0) {
    check_feed();
  }
}

bool Controller::waits_for_peers() const {
  // The other nodes expect the feed from the seeds.
  if (!members_.has_seeds() || members_.is_seed()) {
    return false;
  }
  const Duration up = environment_.now() - started_;
  const Timestamp last_feed = objects_.as_of();
  if (last_feed.count() == 0) {
    const auto before = static_cast<Duration::rep>(feeds_.rank_in_fleet());
    return up < options_.peer_wait_at_start + std::min<Duration>(kPollStagger * before, options_.peer_feed_at_start);
  }
  // While few members are known, a large fleet appears small enough for every node to read the store.
  return up < options_.peer_feed_at_start && environment_.now() - last_feed < options_.feed_silence;
}

bool Controller::is_reader() const {
  if (waits_for_peers()) {
    return false;
  }
  return feeds_.all_read() || feeds_.is_reader();
}

void Controller::relay(config::TableReplicator& table, RelayState& relayed) {
  // A new revision is forwarded at once, regardless of the time since the last message.
  const bool has_changes = table.table().revision() > relayed.revision;
  const bool fresher = table.as_of() >= relayed.as_of + kMinRelayAdvance;
  if ((!has_changes && !fresher) || feeds_.all_read() || !feeds_.is_relay()) {
    return;
  }
  relayed = {table.table().revision(), table.as_of()};
  counters_["platform_feeds_relayed_total"]++;
  table.feed(feeds_.fed_from_here());
}

Duration Controller::feed_timeout(bool empty) const {
  const auto before = static_cast<Duration::rep>(feeds_.rank_in_zone());
  if (empty) {
    const Duration::rep apart = std::min(before, kMaxStaggeredInitialPolls);
    return options_.feed_silence + kInitialPollStagger * apart + kPollStagger * (before - apart);
  }
  return options_.feed_silence + std::min<Duration>(kPollStagger * before, options_.poll_spread);
}

void Controller::watch(config::TableReplicator& table, Watch source, bool at_once) {
  const auto again_after = [this, &table, source](Duration pause, bool probe) {
    environment_.after(pause, lifetime_.guard([this, &table, source, probe] { watch(table, source, probe); }));
  };
  if (!is_reader()) {
    again_after(waits_for_peers() ? kStartCheckInterval : kReaderCheckInterval, false);
    return;
  }
  const auto next = [this, &table, source, again_after, before = table.table().revision()](bool answered) {
    const bool has_changes = table.table().revision() != before;
    if (answered && has_changes && !feeds_.all_read()) {
      again_after(kChangeBatchDelay, false);
    } else if (answered) {
      watch(table, source, false);
    } else {
      again_after(options_.store_retry, true);
    }
  };
  const bool feeds_others =
      !feeds_.all_read() && options_.feed_silence.count() > 0 && (&table == &objects_ || &table == &machines_);
  const Duration wait =
      feeds_others ? std::min(options_.watch_wait, options_.watch_wait_of_readers) : options_.watch_wait;
  // A restored table may be out of date, which a watch that waits for the next change would not show.
  read_source(table, source, at_once || table.is_restored() ? Duration::zero() : wait, next);
}

void Controller::read_source(config::TableReplicator& table, Watch source, Duration wait,
                             std::function<void(bool)> next) {
  const Timestamp asked_at = environment_.now();
  const bool watches = wait.count() > 0;
  if (open_requests_++ == 0 && !records_running_) {
    record_running();
  }
  if (watches) {
    watched_since_[&table] = asked_at;
  }
  const auto take = [this, &table, asked_at, wait, next, watches](Result<ChangeList> result) {
    --open_requests_;
    note_store(succeeded(result));
    if (!succeeded(result)) {
      if (watches) {
        watched_since_.erase(&table);
      }
      counters_["platform_watch_failures_total"]++;
      next(false);
      return;
    }
    const ChangeList& changes = value_of(result);
    note_rejected(changes);
    // Without changes the store replies at the end of the wait. Changes may have arrived long before this node reads
    // them, since its process may have been suspended, so the reply is dated by the last time at which the process is
    // known to have run without them.
    const Timestamp none_yet = std::max(asked_at, ran_at_.back());
    const bool has_changes = !changes.entries.empty() || !changes.rejected.empty() || changes.complete;
    const Timestamp as_of = has_changes ? none_yet : std::min(environment_.now(), asked_at + wait);
    table.apply_from_source(changes.since, changes.up_to, changes.entries, changes.complete, as_of);
    if (watches) {
      watched_since_.erase(&table);
    }
    if (options_.feed_silence.count() > 0 && !feeds_.all_read() && is_reader()) {
      table.feed(feeds_.fed_from_here());
    }
    next(true);
  };
  counters_["platform_reads_total"]++;
  (platform_.*source)(table.table().revision(), wait, lifetime_.guard(take));
}

/// Runs only while replies are outstanding.
void Controller::record_running() {
  records_running_ = open_requests_ > 0;
  if (!records_running_) {
    return;
  }
  environment_.after(kRunRecordInterval, lifetime_.guard([this] { record_running(); }));
  std::rotate(ran_at_.rbegin(), ran_at_.rbegin() + 1, ran_at_.rend());
  ran_at_.front() = environment_.now();
  if (store_unavailable_since_.count() != 0) {
    return;
  }
  for (const auto& [table, since] : watched_since_) {
    if (ran_at_.back() > since) {
      table->record_unchanged(ran_at_.back());
    }
  }
}

void Controller::check_feed() {
  environment_.after(kFeedCheckInterval, lifetime_.guard([this] { check_feed(); }));
  if (is_reader()) {
    return;
  }
  relay(objects_, objects_relay_);
  relay(machines_, machines_relay_);
  poll_if_overdue(objects_, &PlatformClient::watch_objects, objects_poll_);
  poll_if_overdue(machines_, &PlatformClient::watch_machines, machines_poll_);
  if (platform_.has_group_source() && groups_.table().revision() == 0) {
    poll_if_overdue(groups_, &PlatformClient::watch_groups, groups_poll_);
  }
}

void Controller::poll_if_overdue(config::TableReplicator& table, Watch source, PollState& poll) {
  const Timestamp now = environment_.now();
  const Duration silence = now - std::max(table.as_of(), started_);
  if (poll.running || now < poll.not_before || silence < options_.feed_silence) {
    return;
  }
  const bool empty = table.table().revision() == 0;
  // A table that is being pulled from a peer in parts need not be read from the store.
  if (silence < feed_timeout(empty) || (empty && table.pulls())) {
    return;
  }
  poll.running = true;
  counters_["platform_feed_silences_total"]++;
  log_.record("store_feed_silent",
              {{"table", table.name()}, {"revision", table.table().revision()}, {"age_ms", table.age_ms()}});
  read_source(table, source, Duration::zero(), [this, &table, &poll](bool answered) {
    poll.running = false;
    if (answered) {
      poll.failures = 0;
      // Spares the other nodes of this zone without a feed their own polls.
      table.feed(feeds_.zone_peers());
      if (&table == &machines_) {
        read_evacuations();
      }
      return;
    }
    // The readers keep retrying; the same rate from all other nodes would flood the store while it is unavailable.
    const Duration pause = kMinPollRetryDelay * (1U << std::min(poll.failures++, kMaxPollDelayDoublings));
    poll.not_before = environment_.now() + pause + Duration(environment_.random() % pause.count());
  });
}

void Controller::read_evacuations() {
  if (!platform_.has_evacuations()) {
    return;
  }
  read_source(evacuations_, &PlatformClient::watch_evacuations, Duration::zero(), [this](bool answered) {
    if (answered) {
      evacuations_.feed(feeds_.zone_peers());
    }
  });
}

/// Logs the number of calls to the store, since calls are billed and rate limited.
void Controller::log_calls() {
  environment_.after(kCallSummaryInterval, lifetime_.guard([this] { log_calls(); }));
  const CounterValue reads = counters_["platform_reads_total"];
  if (reads == logged_reads_) {
    return;
  }
  log_.record("store_calls", {{"reads", reads - logged_reads_},
                              {"failures", counters_["platform_watch_failures_total"]},
                              {"looks", counters_["platform_feed_silences_total"]},
                              {"reader", is_reader()}});
  logged_reads_ = reads;
}

void Controller::note_rejected(const ChangeList& changes) {
  counters_["platform_objects_rejected_total"] += static_cast<CounterValue>(changes.rejected.size());
  const std::size_t logged = std::min(changes.rejected.size(), kMaxRejectedLines);
  for (std::size_t number = 0; number < logged; ++number) {
    const RejectedObject& object = changes.rejected[number];
    log_.record("object_rejected", {{"kind", object.key.kind},
                                    {"name", object.key.name},
                                    {"revision", object.revision},
                                    {"reason", object.reason.detail},
                                    {"rejected", changes.rejected.size()}});
  }
}

void Controller::note_store(bool answers) {
  const bool answered = store_unavailable_since_.count() == 0;
  if (answers == answered) {
    return;
  }
  log_.record(answers ? "store_regained" : "store_lost",
              {{"silent_ms", answered ? 0 : (environment_.now() - store_unavailable_since_) / 1ms},
               {"objects_revision", objects_.table().revision()},
               {"machines_revision", machines_.table().revision()}});
  store_unavailable_since_ = answers ? Timestamp{} : environment_.now();
}

// --- replica groups -------------------------------------------------------------------------

std::vector<const wire::MemberT*> Controller::ledger_nodes() const {
  auto nodes = members_.available(membership::Role::ledger);
  std::erase_if(nodes, [this](const wire::MemberT* member) {
    const bool obsolete = ledger_.is_obsolete({NodeId(member->id), DiskId(member->disk_id)});
    return member->disk_id.empty() || member->retiring || obsolete;
  });
  return nodes;
}

void Controller::maintain_groups() {
  environment_.after(options_.group_check, lifetime_.guard([this] { maintain_groups(); }));
  if (!ledger_.has_group_map() && !knows_fleet()) {
    return;
  }
  const bool maintains = feeds_.rank_in_fleet() < options_.maintainers;
  if (ledger_.has_group_map()) {
    change_groups(maintains);
    log_pending_changes();
  }
  if (!ledger_.has_group_map()) {
    if (maintains || is_to_found()) {
      found_groups();
    }
  } else if (maintains) {
    publish_groups();
  } else {
    publish_overdue_groups();
  }
}

bool Controller::is_to_found() const {
  const std::size_t rank = feeds_.rank_in_fleet();
  if (rank == feed_tree::kNoRank) {
    return false;
  }
  const auto before = static_cast<Duration::rep>(rank - options_.maintainers);
  return environment_.now() - started_ >= options_.founding_timeout + kFoundingTurnInterval * (1 + before);
}

void Controller::log_pending_changes() {
  change_makers makers;
  for (const NodeId& node : feeds_.first_in_fleet(options_.maintainers)) {
    makers.first += (makers.first.empty() ? "" : ", ") + node.str();
  }
  const std::size_t rank = feeds_.rank_in_fleet();
  makers.rank = rank == feed_tree::kNoRank ? -1 : static_cast<std::int64_t>(rank);
  pending_.log_due(makers);
}

bool Controller::has_joined_fleet() const {
  const Duration least = std::min<Duration>(kFleetJoinTime, options_.founding_wait);
  return members_.knows_fleet() && environment_.now() - started_ >= least;
}

bool Controller::knows_fleet() const { return environment_.now() - started_ >= options_.founding_wait; }

void Controller::found_groups() {
  if (declaring_) {
    return;
  }
  const auto nodes = ledger_nodes();
  const bool patient = environment_.now() - started_ < options_.founding_timeout;
  if (nodes.empty() || (nodes.size() < options_.replicas && patient)) {
    return;
  }
  const std::size_t replicas = std::min(options_.replicas, nodes.size());
  ledger::GroupMap map;
  for (std::size_t number = 0; number < options_.group_count; ++number) {
    auto order = nodes;
    const std::string name = "group-" + std::to_string(number);
    std::sort(order.begin(), order.end(), [&](const wire::MemberT* left, const wire::MemberT* right) {
      return rendezvous_weight(name, left->id) > rendezvous_weight(name, right->id);
    });
    ledger::ReplicaGroup group;
    group.epoch = 1;
    // Each round takes one node of each zone, so that the replicas are spread evenly over the zones.
    while (group.replicas.size() < replicas) {
      std::set<std::string> used;
      std::vector<const wire::MemberT*> left;
      for (const wire::MemberT* node : order) {
        if (group.replicas.size() < replicas && used.insert(node->zone).second) {
          group.replicas.push_back({NodeId(node->id), DiskId(node->disk_id)});
        } else {
          left.push_back(node);
        }
      }
      order = std::move(left);
    }
    map.groups.push_back(std::move(group));
  }
  declare_groups(map);
}

const wire::MemberT* Controller::member(const NodeId& node) const { return members_.find(node); }

ledger::replica_state Controller::state_of(const ledger::ReplicaIdentity& replica) {
  const wire::MemberT* node = member(replica.node);
  if (node != nullptr && node->state != wire::MemberState::Dead) {
    missing_since_.erase(replica.node);
    // A node that was frozen has an outdated list of members, but may have just received later epochs.
    const bool known_as_it_was = ledger_.is_obsolete({replica.node, DiskId(node->disk_id)});
    if (!node->disk_id.empty() && node->disk_id != replica.disk.str() && !known_as_it_was) {
      return ledger::replica_state::disk_replaced;
    }
    if (node->retiring) {
      return ledger::replica_state::retiring;
    }
    const bool stopping = node->state == wire::MemberState::Leaving;
    return stopping ? ledger::replica_state::stopping : ledger::replica_state::present;
  }
  if (!has_joined_fleet()) {
    return ledger::replica_state::present;
  }
  const Duration patience = options_.replace_after.count() > 0
                                ? options_.replace_after
                                : std::chrono::seconds(catalog_.policy().replace_ledger_node_after_s);
  const auto [since, inserted] = missing_since_.try_emplace(replica.node, environment_.now());
  return environment_.now() - since->second > patience ? ledger::replica_state::missing
                                                       : ledger::replica_state::present;
}

/// This controller's view of the fleet, as input to the rule for the next epoch.
class Controller::local_fleet_view : public ledger::fleet_view {
 public:
  explicit local_fleet_view(Controller& controller) : controller_(controller) {}

  ledger::replica_state state_of(const ledger::ReplicaIdentity& replica) override {
    return controller_.state_of(replica);
  }
  bool is_there(const ledger::ReplicaIdentity& replica) const override {
    const wire::MemberT* node = controller_.member(replica.node);
    return node != nullptr && node->state != wire::MemberState::Dead && node->disk_id == replica.disk.str();
  }
  bool is_permanently_gone(const ledger::ReplicaIdentity& leaver) override {
    const ledger::replica_state state = controller_.state_of(leaver);
    if (state == ledger::replica_state::retiring || state == ledger::replica_state::stopping) {
      controller_.leaver_gone_since_.erase(leaver);
      return false;
    }
    const Timestamp now = controller_.environment_.now();
    const Duration patience = state == ledger::replica_state::present ? kPresentLeaverGoneDelay : kLeaverGoneDelay;
    return now - controller_.leaver_gone_since_.try_emplace(leaver, now).first->second > patience;
  }
  bool is_retiring(const NodeId& node) const override {
    const wire::MemberT* known = controller_.member(node);
    return known != nullptr && known->retiring;
  }
  bool is_spare_for(const ledger::ReplicaIdentity& spare, const ledger::ReplicaIdentity& stopping) const override {
    const auto& groups = controller_.ledger_.group_map().groups;
    return std::all_of(groups.begin(), groups.end(), [&](const ledger::ReplicaGroup& group) {
      const bool replaced = std::find(group.leaving.begin(), group.leaving.end(), stopping) != group.leaving.end();
      return !group.source_number_of(spare) || (replaced && group.index_of(spare));
    });
  }
  std::vector<ledger::disk_place> places() const override {
    if (!places_) {
      places_.emplace();
      for (const wire::MemberT* node : controller_.ledger_nodes()) {
        const ledger::ReplicaIdentity identity{NodeId(node->id), DiskId(node->disk_id)};
        places_->push_back({identity, node->zone, controller_.offers_.is_declined(identity)});
      }
    }
    return *places_;
  }

 private:
  Controller& controller_;
  mutable std::optional<std::vector<ledger::disk_place>> places_;  ///< Cached for one check, as every node runs them.
};

namespace {
/// @return the disk that @p change adds to the members in @p present; there is at most one.
std::optional<ledger::ReplicaIdentity> new_member_of(const ledger::epoch_change& change,
                                                     const ledger::ReplicaGroup& present) {
  for (const ledger::ReplicaIdentity& replica : change.next.replicas) {
    if (!present.index_of(replica)) {
      return replica;
    }
  }
  return std::nullopt;
}
}  // namespace

bool Controller::wants_place_of(std::uint32_t group, const ledger::ReplicaIdentity& member) {
  const auto& groups = ledger_.group_map().groups;
  if (group >= groups.size() || !groups[group].index_of(member)) {
    return false;
  }
  local_fleet_view view(*this);
  const auto change = ledger::next_epoch_change(groups[group], view, options_.replicas, options_.changes);
  return change && change->rule.let_go == member;
}

std::optional<proposal_turns> Controller::turns_at(const ledger::ReplicaGroup& group) {
  const std::size_t rank = feeds_.rank_in_fleet();
  if (rank == feed_tree::kNoRank) {
    return std::nullopt;
  }
  const ledger::ReplicaIdentity self{NodeId(members_.self().id), DiskId(members_.self().disk_id)};
  std::optional<std::size_t> place;
  std::size_t there = 0;
  for (const ledger::ReplicaIdentity& replica : group.replicas) {
    const ledger::replica_state state = state_of(replica);
    if (state == ledger::replica_state::disk_replaced || state == ledger::replica_state::missing) {
      continue;
    }
    if (replica == self) {
      place = there;
    }
    ++there;
  }
  // Members come first: no change can be decided unless they reach each other. Later, every other turn is theirs.
  if (place) {
    return proposal_turns{*place, 2 * there};
  }
  const std::size_t others = feeds_.count_in_fleet() - options_.maintainers;
  return proposal_turns{there + rank - options_.maintainers, std::max<std::size_t>(1, others)};
}

bool Controller::drops_unresponsive_member(const ledger::epoch_change& change) {
  const auto& given_up = change.rule.given_up;
  const bool leavers_dropped = change.rule.whole_majority && !change.rule.let_go;
  return leavers_dropped || (given_up && state_of(*given_up) == ledger::replica_state::missing);
}

bool Controller::takes_turn(std::uint32_t group, const ledger::epoch_change& change) {
  if (deciding_.size() >= kMaxConcurrentDecisions) {
    return false;
  }
  // That an unresponsive node is gone is only this node's view. It suffices only if this node is a member, since other
  // members have to agree with it.
  const ledger::ReplicaGroup& description = ledger_.group_map().groups[group];
  const bool is_member =
      description.index_of({NodeId(members_.self().id), DiskId(members_.self().disk_id)}).has_value();
  if (drops_unresponsive_member(change) && !is_member) {
    return false;
  }
  const auto turns = turns_at(description);
  if (!turns || !pending_.take_turn(group, *turns)) {
    return false;
  }
  counters_["replica_replacements_in_turn_total"]++;
  log_.record("group_change_taken_up", {{"group", group},
                                        {"epoch", change.next.epoch - 1},
                                        {"reason", change.reason},
                                        {"pending_ms", pending_.wanted_for(group) / 1ms},
                                        {"rank", feeds_.rank_in_fleet()},
                                        {"turn", turns->first}});
  return true;
}

bool Controller::was_just_refused(std::uint32_t group, const ledger::epoch_change& change) const {
  const auto entry = refused_.find(group);
  return entry != refused_.end() && entry->second.next == change.next &&
         environment_.now() - entry->second.at < kRefusedChangeCooldown;
}

void Controller::change_groups(bool maintains) {
  const auto& groups = ledger_.group_map().groups;
  local_fleet_view view(*this);
  for (std::uint32_t group = 0; group < groups.size(); ++group) {
    if (deciding_.contains(group)) {
      continue;
    }
    if (const auto change = ledger::next_epoch_change(groups[group], view, options_.replicas, options_.changes)) {
      pending_.note_wanted(group, *change);
      if (!was_just_refused(group, *change) && (maintains || takes_turn(group, *change))) {
        begin_change(group, *change);
      }
      continue;
    }
    pending_.note_unwanted(group);
    const auto announced = announce_until_.find(group);
    if (announced != announce_until_.end() && environment_.now() < announced->second) {
      ledger_.announce_group(group);
    }
  }
}

void Controller::begin_change(std::uint32_t group, const ledger::epoch_change& change) {
  deciding_.insert(group);
  pending_.note_attempt(group);
  proposals_.note_proposed(group, change);
  const auto new_member = new_member_of(change, ledger_.group_map().groups[group]);
  if (!new_member || !options_.changes.new_members_consent) {
    ask_sole_decider(group, change);
    return;
  }
  const wire::MemberT* node = member(new_member->node);
  const bool retiring = node != nullptr && node->retiring;
  offers_.ask({group, change.next.epoch, *new_member, retiring, std::nullopt},
              lifetime_.guard([this, group, change](const Status& status) {
                if (succeeded(status)) {
                  ask_sole_decider(group, change);
                } else {
                  end_change(group, change, error_of(status));
                }
              }));
}

void Controller::ask_sole_decider(std::uint32_t group, const ledger::epoch_change& change) {
  if (!change.rule.sole || !options_.changes.protect_members_seen_up) {
    ask_store(group, change);
    return;
  }
  offers_.ask({group, change.next.epoch, *change.rule.sole, false, change.rule.given_up},
              lifetime_.guard([this, group, change](const Status& status) {
                if (succeeded(status)) {
                  ask_store(group, change);
                } else {
                  end_change(group, change, error_of(status));
                }
              }));
}

void Controller::end_change(std::uint32_t group, const ledger::epoch_change& change, const Error& why) {
  refused_[group] = {change.next, environment_.now()};
  proposals_.log_declined(group, change, why);
  pending_.note_outcome(group, why);
  deciding_.erase(group);
}

void Controller::ask_store(std::uint32_t group, const ledger::epoch_change& change) {
  if (!change.rule.sole) {
    decide(group, change);
    return;
  }
  const std::uint64_t epoch = change.next.epoch - 1;
  deciders_.grant(group, epoch, *change.rule.sole, lifetime_.guard([this, group, epoch, change](const Status& status) {
    log_.record("sole_decider_asked",
                {{"group", group},
                 {"epoch", epoch},
                 {"member", change.rule.sole->node.str()},
                 {"outcome", succeeded(status) ? "granted" : error_kind_name(error_of(status).kind)}});
    if (succeeded(status)) {
      decide(group, change);
    } else {
      pending_.note_outcome(group, error_of(status));
      proposals_.log_not_granted(group, change, error_of(status));
      deciding_.erase(group);  // proposed again at the next check, if still wanted
    }
  }));
}

void Controller::decide(std::uint32_t group, const ledger::epoch_change& change) {
  counters_["replica_replacements_total"]++;
  const auto new_member = new_member_of(change, ledger_.group_map().groups[group]);
  const auto decided = [this, group, change, new_member](const Result<ledger::ReplicaGroup>& result) {
    deciding_.erase(group);
    announce_until_[group] = environment_.now() + kAnnounceDuration;
    proposals_.log_outcome(group, change, result);
    // The new disk waits to learn whether that epoch names it.
    if (new_member) {
      ledger_.send_group_description(group, new_member->node);
    }
    if (!succeeded(result)) {
      if (error_of(result).kind == ErrorKind::conflict) {
        refused_[group] = {change.next, environment_.now()};
      }
      pending_.note_outcome(group, error_of(result));
    }
  };
  ledger_.decide_next(group, change.next, change.rule, lifetime_.guard(decided));
}

/// The published map lets starting nodes find the groups; the members' own decisions are authoritative.
void Controller::publish_groups() {
  const auto& known = ledger_.group_map().groups;
  const auto& published = catalog_.groups().groups;
  bool later = false;
  for (std::size_t group = 0; group < known.size(); ++group) {
    later = later || group >= published.size() || known[group].epoch > published[group].epoch;
  }
  if (later && !declaring_) {
    declare_groups(ledger_.group_map());
  }
}

std::optional<std::uint32_t> Controller::index_in_unpublished_group() const {
  const auto& known = ledger_.group_map().groups;
  const auto& published = catalog_.groups().groups;
  const ledger::ReplicaIdentity self{NodeId(members_.self().id), DiskId(members_.self().disk_id)};
  for (std::size_t group = 0; group < std::min(known.size(), published.size()); ++group) {
    const auto place = known[group].index_of(self);
    if (place && known[group].epoch > published[group].epoch) {
      return place;
    }
  }
  return std::nullopt;
}

void Controller::publish_overdue_groups() {
  const auto place = index_in_unpublished_group();
  if (!place) {
    unpublished_since_ = Timestamp{};
    return;
  }
  if (unpublished_since_.count() == 0) {
    unpublished_since_ = environment_.now();
  }
  // Members take turns, so that a publication by the first one spares the others the call.
  if (environment_.now() - unpublished_since_ > kPublishTimeout * (1 + *place)) {
    publish_groups();
  }
}

void Controller::declare_groups(const ledger::GroupMap& map) {
  const config::VersionedTable& source = platform_.has_group_source() ? groups_.table() : objects_.table();
  const config::Entry* present = source.find({config::kReplicaGroupsKind, config::kDefaultName});
  PutRequest request;
  request.key = {config::kReplicaGroupsKind, config::kDefaultName};
  request.body = config::format_group_map(map);
  request.expected_revision = present == nullptr ? 0 : present->revision;
  declaring_ = true;
  declarations_.declare(std::move(request), lifetime_.guard([this](const Result<std::uint64_t>&) {
    // Whichever write won, the watch delivers the current object.
    environment_.after(kDeclareCooldown, lifetime_.guard([this] { declaring_ = false; }));
  }));
}

}  // namespace madderdeck::object_store
