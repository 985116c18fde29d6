#include "ledger/client.hpp"

#include <algorithm>
#include <climits>

#include "ledger/copy_progress.hpp"

namespace madderdeck::ledger {
namespace {
constexpr unsigned kMaxBackoffExponent = 6;
/// The timeouts of the attempts at a change or a scan are 0.4, 0.8 and then 1.6 s: three attempts fit into the 4 s of
/// an operation.
constexpr unsigned kMaxAttemptDoublings = 2;
/// How long a notice of a group's next epoch may wait to be sent. Members that miss it learn of the epoch with the next
/// request that they refuse.
constexpr Duration kGroupNoticeTimeout = 4s;
/// Named records that are read individually when a replica does not support fetches by name; the others are left to a
/// later fetch. As many as are settled concurrently, so that the first requested ones are among them.
constexpr std::size_t kMaxSingleReads = 8;

/// @return whether @p reply to a fetch comes from a replica that does not support fetches by name: it handles the
///         request as a scan with limit 0.
bool lacks_fetch_support(const wire::ScanReplyT& reply) { return reply.truncated || reply.records.empty(); }

bool any_lacks_fetch_support(const std::map<std::uint32_t, wire::ScanReplyT>& replies) {
  return std::any_of(replies.begin(), replies.end(),
                     [](const auto& entry) { return lacks_fetch_support(entry.second); });
}
/// Removes all requests of the scan @p id. Requests of earlier attempts are kept until the scan ends.
template <class Requests, class Id>
void forget_requests(Requests& requests, Id id) {
  std::erase_if(requests, [id](const auto& entry) { return entry.second == id; });
}
}  // namespace

Client::Client(Environment& environment, Counters& counters, AddressLookup addresses, ClientOptions options,
               NodeDistance distance)
    : environment_(environment),
      counters_(counters),
      addresses_(std::move(addresses)),
      options_(options),
      distance_(std::move(distance)),
      proposer_(environment.random() | 1U),
      next_request_(environment.random()) {}

void Client::on_group_map(const GroupMap& map) {
  if (map_.groups.size() != map.groups.size()) {
    map_ = map;
    return;
  }
  for (std::uint32_t group = 0; group < map.groups.size(); ++group) {
    learn(group, map.groups[group]);
  }
}

bool Client::learn(std::uint32_t group, const ReplicaGroup& description) {
  if (group >= map_.groups.size() || description.epoch <= map_.groups[group].epoch) {
    return false;
  }
  const std::vector<ReplicaIdentity> named = description.all();
  for (const ReplicaIdentity& before : map_.groups[group].all()) {
    const bool disk_replaced = std::any_of(named.begin(), named.end(), [&](const ReplicaIdentity& now) {
      return now.node == before.node && now.disk != before.disk;
    });
    if (disk_replaced) {
      obsolete_.insert(before);
    }
  }
  map_.groups[group] = description;
  counters_["ledger_group_epochs_learnt_total"]++;
  return true;
}

void Client::decide_next(std::uint32_t group, const ReplicaGroup& next, const EpochRule& rule,
                         std::function<void(Result<ReplicaGroup>)> done) {
  if (group >= map_.groups.size() || next.epoch != map_.groups[group].epoch + 1) {
    done(Error{ErrorKind::conflict, "the epoch of the group has changed"});
    return;
  }
  const wire::Bytes proposal = wire::encode_record(to_wire(next));
  Operation operation;
  operation.key = group_config_key(group, next.epoch);
  operation.rule = rule;
  operation.required_epoch = map_.groups[group].epoch;
  operation.function = [proposal](const OptionalValue& current) {
    return current ? OptionalValue{} : OptionalValue{proposal};
  };
  operation.done = lifetime_.guard([this, group, done](Result<OptionalValue> result) {
    if (!succeeded(result) || !value_of(result)) {
      done(succeeded(result) ? Error{ErrorKind::unavailable, "no description was decided"} : error_of(result));
      return;
    }
    const auto decided = wire::decode_record<wire::GroupDescriptionT>(*value_of(result));
    if (!decided) {
      done(Error{ErrorKind::corrupted, "damaged description of a group"});
      return;
    }
    const ReplicaGroup before = map_.groups[group];
    learn(group, from_wire(*decided));
    announce_group(group);
    // Former members have to learn that they are no longer members.
    wire::AdoptGroupT notice;
    notice.group = group;
    notice.description = std::make_unique<wire::GroupDescriptionT>(*decided);
    broadcast(before, notice, kGroupNoticeTimeout);
    done(map_.groups[group]);
  });
  start_attempt(submit(std::move(operation)));
}

void Client::decide_next_unchanged(std::uint32_t group, std::function<void(Result<ReplicaGroup>)> done) {
  if (group >= map_.groups.size()) {
    done(Error{ErrorKind::unavailable, "unknown group"});
    return;
  }
  ReplicaGroup next = map_.groups[group];
  ++next.epoch;
  decide_next(group, next, EpochRule{}, std::move(done));
}

void Client::send_group_description(std::uint32_t group, const NodeId& node) {
  const auto address = addresses_(node);
  if (group >= map_.groups.size() || !address) {
    return;
  }
  wire::AdoptGroupT notice;
  notice.group = group;
  notice.description = std::make_unique<wire::GroupDescriptionT>(to_wire(map_.groups[group]));
  send_message(environment_, *address, std::move(notice));
}

void Client::announce_group(std::uint32_t group) {
  const ReplicaGroup& description = map_.groups.at(group);
  wire::AdoptGroupT notice;
  notice.group = group;
  notice.description = std::make_unique<wire::GroupDescriptionT>(to_wire(description));
  broadcast(description, notice, kGroupNoticeTimeout);
  for (const ReplicaIdentity& leaver : description.leaving) {
    if (const auto address = addresses_(leaver.node)) {
      send_message(environment_, *address, notice);
    }
  }
}

template <class Reply>
bool Client::reconcile_epochs(const PeerAddress& sender, std::uint32_t group, const Reply& reply) {
  if (on_refusal) {
    on_refusal(sender, group, reply.epoch, reply.status);
  }
  if (reply.status == wire::ReplicaStatus::StaleEpoch && reply.description) {
    return learn(group, from_wire(*reply.description));
  }
  if (reply.status == wire::ReplicaStatus::UnknownEpoch && group < map_.groups.size()) {
    wire::AdoptGroupT notice;
    notice.group = group;
    notice.description = std::make_unique<wire::GroupDescriptionT>(to_wire(map_.groups[group]));
    send_message(environment_, sender, std::move(notice));
  }
  return false;
}

void Client::change(const std::string& key, ChangeFunction function, ChangeDone done) {
  Operation operation;
  operation.key = key;
  operation.function = std::move(function);
  operation.done = std::move(done);
  start_attempt(submit(std::move(operation)));
}

void Client::read(const std::string& key, ChangeDone done) {
  change(
      key, [](const OptionalValue&) { return OptionalValue{}; }, std::move(done));
}

void Client::write_exclusive(const std::string& key, wire::Bytes value, ChangeDone done) {
  Operation operation;
  operation.key = key;
  operation.function = [value](const OptionalValue& current) { return current ? OptionalValue{} : value; };
  operation.value = std::move(value);
  operation.done = std::move(done);
  operation.exclusive = true;
  start_attempt(submit(std::move(operation)));
}

Client::OperationId Client::submit(Operation operation) {
  const OperationId id = ++next_id_;
  operation.deadline = environment_.now() + options_.operation_timeout;
  operations_.emplace(id, std::move(operation));
  counters_["ledger_operations_total"]++;
  return id;
}

template <class Request>
void Client::broadcast(const ReplicaGroup& group, const Request& request, Duration useful_for) {
  for (const ReplicaIdentity& replica : group.replicas) {
    if (const auto address = addresses_(replica.node)) {
      counters_["ledger_requests_sent_total"]++;
      if constexpr (!std::is_same_v<Request, wire::AdoptGroupT>) {
        note_request(replica.node);
      }
      send_message_within(useful_for, environment_, *address, request);
    }
  }
}

void Client::note_request(const NodeId& node) const {
  if (on_request_sent) {
    on_request_sent(node);
  }
}

void Client::note_granted(const PeerAddress& sender, std::uint32_t group, std::uint64_t epoch) const {
  if (on_granted) {
    on_granted(sender, group, epoch);
  }
}

void Client::start_attempt(OperationId id) {
  const auto entry = operations_.find(id);
  if (entry == operations_.end()) {
    return;
  }
  Operation& operation = entry->second;
  if (environment_.now() >= operation.deadline) {
    give_up(id);
    return;
  }
  if (map_.groups.empty()) {
    retry_later(id);
    return;
  }
  by_request_.erase(operation.request);
  if (operation.required_epoch && *operation.required_epoch != map_.groups[map_.group_of(operation.key)].epoch) {
    finish(id, Error{ErrorKind::conflict, "the epoch of the group has changed"});
    return;
  }
  operation.request = ++next_request_;
  by_request_[operation.request] = id;
  operation.group_number = map_.group_of(operation.key);
  operation.group = map_.groups[operation.group_number];
  operation.granted.clear();
  operation.admitted_grants = 0;
  operation.whole_grants = 0;
  operation.standing_unknown = 0;
  operation.not_whole.clear();
  operation.refused = 0;
  operation.best_accepted = Ballot{};
  operation.best_count = 0;
  const bool skip_prepare = operation.exclusive && operation.attempts == 0;
  ++operation.attempts;
  if (skip_prepare) {
    operation.ballot = Ballot{0, proposer_};
    begin_accept(id, operation);
  } else {
    operation.value.reset();
    operation.ballot = Ballot{++highest_counter_, proposer_};
    begin_prepare(id, operation);
  }
}

void Client::begin_prepare(OperationId id, Operation& operation) {
  operation.phase = Phase::preparing;
  wire::PrepareT request;
  request.request = operation.request;
  request.group = operation.group_number;
  request.epoch = operation.group.epoch;
  request.ballot = to_wire(operation.ballot);
  request.key = operation.key;
  request.reads_standing = operation.required_epoch.has_value();
  if (operation.rule.given_up) {
    request.gives_up = std::make_unique<wire::ReplicaIdT>();
    request.gives_up->node = operation.rule.given_up->node.str();
    request.gives_up->disk = operation.rule.given_up->disk.str();
  }
  // Answers that arrive after the attempt do not count.
  broadcast(operation.group, request, attempt_time(operation));
  arm_attempt_timer(id, operation.request);
}

void Client::begin_accept(OperationId id, Operation& operation) {
  operation.phase = Phase::accepting;
  operation.granted.clear();
  operation.refused = 0;
  operation.accept_sent = true;
  by_request_.erase(operation.request);
  operation.request = ++next_request_;
  by_request_[operation.request] = id;
  wire::AcceptT request;
  request.request = operation.request;
  request.group = operation.group_number;
  request.epoch = operation.group.epoch;
  request.ballot = to_wire(operation.ballot);
  request.key = operation.key;
  request.value = *operation.value;
  // Sent even after the attempt ends: a replica that accepts the value late holds one more copy.
  broadcast(operation.group, request, options_.operation_timeout);
  arm_attempt_timer(id, operation.request);
}

Duration Client::attempt_time(const Operation& operation) const {
  // Timeouts grow because answers of an expired attempt do not count: with disks slower than the timeout of the first
  // attempt every answer would arrive too late.
  const unsigned doublings = std::min(operation.attempts - 1, kMaxAttemptDoublings);
  Duration time = options_.attempt_timeout * (1U << doublings);
  if (operation.phase == Phase::accepting && operation.value) {
    const std::size_t bytes = operation.value->size() * operation.group.replicas.size();
    time += std::chrono::milliseconds(bytes * 1000 / options_.min_bytes_per_second);
  }
  return std::min(time, std::max<Duration>(operation.deadline - environment_.now(), options_.attempt_timeout));
}

void Client::arm_attempt_timer(OperationId id, std::uint64_t request) {
  environment_.after(attempt_time(operations_.at(id)), lifetime_.guard([this, id, request] {
    const auto entry = operations_.find(id);
    if (entry != operations_.end() && entry->second.request == request && entry->second.phase != Phase::copying) {
      counters_["ledger_attempt_timeouts_total"]++;
      start_attempt(id);
    }
  }));
}

void Client::retry_later(OperationId id) {
  Operation& operation = operations_.at(id);
  operation.phase = Phase::waiting;
  by_request_.erase(operation.request);
  operation.request = 0;
  counters_["ledger_retries_total"]++;
  const unsigned exponent = std::min(operation.attempts, kMaxBackoffExponent);
  const auto spread = static_cast<std::uint64_t>(options_.backoff_unit.count()) << exponent;
  const Duration pause(static_cast<Duration::rep>(1 + environment_.random() % spread));
  environment_.after(pause, lifetime_.guard([this, id] { start_attempt(id); }));
}

void Client::finish(OperationId id, Result<OptionalValue> result) {
  auto node = operations_.extract(id);
  by_request_.erase(node.mapped().request);
  if (node.mapped().required_epoch && on_decision) {
    on_decision(map_.group_of(node.mapped().key), votes_on(node.mapped()));
  }
  node.mapped().done(std::move(result));
}

decision_votes Client::votes_on(const Operation& operation) const {
  decision_votes votes;
  votes.needed = operation.group.replicas.empty() ? 0 : operation.needed();
  for (std::uint32_t index = 0; index < operation.group.replicas.size(); ++index) {
    member_vote vote{operation.group.replicas[index]};
    const auto address = addresses_(vote.member.node);
    const auto refusal = address ? operation.refusals.find(*address) : operation.refusals.end();
    vote.whole = !operation.not_whole.contains(index);
    vote.counts = operation.counts(index);
    if (operation.given_up_answer == index) {
      vote.ground = refusal_reason::given_up_answers;
    } else if (operation.granted.contains(index)) {
      vote.ground = refusal_reason::none;
    } else if (!address) {
      vote.ground = refusal_reason::no_address;
    } else if (refusal != operation.refusals.end()) {
      vote.ground = refusal_reason_of(refusal->second);
    }
    votes.members.push_back(std::move(vote));
  }
  return votes;
}

void Client::give_up(OperationId id) {
  const bool maybe_written = operations_.at(id).accept_sent;
  counters_["ledger_operations_failed_total"]++;
  const std::string failure = operation_failure(operations_.at(id));
  finish(id, Error{maybe_written ? ErrorKind::ambiguous : ErrorKind::unavailable, failure});
}

std::string Client::operation_failure(const Operation& operation) const {
  std::string detail = "group " + std::to_string(operation.group_number) + " epoch " +
                       std::to_string(operation.group.epoch) + ", " + std::to_string(operation.granted.size()) +
                       " granted of " + std::to_string(operation.needed()) + " needed";
  for (std::uint32_t index = 0; index < operation.group.replicas.size(); ++index) {
    const NodeId& node = operation.group.replicas[index].node;
    const auto address = addresses_(node);
    const auto refusal = address ? operation.refusals.find(*address) : operation.refusals.end();
    detail += (index == 0 ? ": " : ", ") + node.str();
    if (!address) {
      detail += " no address";
    } else if (operation.granted.contains(index)) {
      detail += " granted";
    } else if (refusal != operation.refusals.end()) {
      detail += std::string(" ") + wire::EnumNameReplicaStatus(refusal->second);
    } else {
      detail += " silent";
    }
    detail += operation.counts(index) ? "" : " (does not count)";
  }
  const bool enough = operation.granted.size() >= operation.needed();
  detail += enough ? "; those that granted may lack confirmed records" : "; no majority of replicas answered";
  return detail + ", attempts " + std::to_string(operation.attempts);
}

void Client::refuse(OperationId id, Operation& operation, const Ballot& promised) {
  highest_counter_ = std::max(highest_counter_, promised.counter);
  ++operation.refused;
  const std::size_t tolerated = operation.group.replicas.size() - operation.needed();
  if (operation.refused > tolerated) {
    retry_later(id);
  }
}

void Client::handle(const PeerAddress& sender, const wire::PromiseT& message) {
  const auto id = by_request_.find(message.request);
  if (id == by_request_.end()) {
    return;
  }
  Operation& operation = operations_.at(id->second);
  const bool votes =
      message.status == wire::ReplicaStatus::Granted || message.status == wire::ReplicaStatus::BallotTooLow;
  if (operation.phase == Phase::preparing && votes && operation.gives_up(message.replica)) {
    operation.given_up_answer = message.replica;
    finish(id->second, Error{ErrorKind::conflict, "the member to be given up has answered"});
    return;
  }
  if (operation.phase == Phase::preparing && message.status == wire::ReplicaStatus::MemberThere) {
    operation.refusals[sender] = message.status;
    finish(id->second, Error{ErrorKind::conflict, "another member knows that the member to be given up is alive"});
    return;
  }
  if (operation.phase != Phase::preparing || !operation.counts(message.replica)) {
    return;
  }
  if (message.status != wire::ReplicaStatus::Granted) {
    const OperationId refused = id->second;
    operation.refusals[sender] = message.status;
    if (reconcile_epochs(sender, operation.group_number, message)) {
      start_attempt(refused);
    } else {
      refuse(refused, operation, from_wire(message.promised));
    }
    return;
  }
  note_granted(sender, operation.group_number, message.epoch);
  if (!operation.granted.insert(message.replica).second) {
    return;
  }
  const Ballot accepted = from_wire(message.accepted);
  if (accepted > operation.best_accepted) {
    operation.best_accepted = accepted;
    operation.best_count = 0;
    operation.value = message.value;
  }
  operation.best_count += accepted == operation.best_accepted ? 1 : 0;
  // Members of earlier versions grant a decision only if they are admitted, and do not report whether they are whole.
  const bool says_nothing = message.standing == wire::ReplicaStanding::NotSaid;
  operation.standing_unknown += says_nothing ? 1 : 0;
  operation.admitted_grants += says_nothing || message.standing == wire::ReplicaStanding::Admitted ? 1 : 0;
  operation.whole_grants += message.whole && !operation.lets_go(message.replica) ? 1 : 0;
  if (!says_nothing && !message.whole) {
    operation.not_whole.insert(message.replica);
  }
  if (operation.granted.size() >= operation.needed() && operation.is_safe_to_decide()) {
    on_promises_complete(id->second, operation);
  }
}

bool Client::Operation::is_safe_to_decide() const {
  const bool proposed_before = !best_accepted.is_zero();
  const bool all_of_earlier_versions = standing_unknown == granted.size();
  if (!required_epoch || proposed_before || all_of_earlier_versions) {
    return true;
  }
  if (rule.whole_majority) {
    return whole_grants >= std::max(group.majority(), rule.least_whole);
  }
  return whole_grants > 0 || (!rule.sole && admitted_grants >= needed());
}

void Client::on_promises_complete(OperationId id, Operation& operation) {
  OptionalValue next = operation.function(operation.value);
  if (!next) {
    // The function leaves the record unchanged. If a majority holds the value already, it is chosen and may be
    // returned.
    const bool chosen = operation.best_count >= operation.needed();
    if (chosen || !operation.value) {
      finish(id, operation.value);
      return;
    }
    next = operation.value;
  }
  operation.value = std::move(next);
  begin_accept(id, operation);
}

void Client::handle(const PeerAddress& sender, const wire::AcceptedT& message) {
  const auto id = by_request_.find(message.request);
  if (id == by_request_.end()) {
    return;
  }
  Operation& operation = operations_.at(id->second);
  const bool accepting = operation.phase == Phase::accepting || operation.phase == Phase::copying;
  if (!accepting || !operation.counts(message.replica)) {
    return;
  }
  if (message.status != wire::ReplicaStatus::Granted) {
    const OperationId refused = id->second;
    operation.refusals[sender] = message.status;
    const bool learnt = reconcile_epochs(sender, operation.group_number, message);
    if (operation.phase == Phase::accepting && learnt) {
      start_attempt(refused);
    } else if (operation.phase == Phase::accepting) {
      refuse(refused, operation, from_wire(message.promised));
    }
    return;
  }
  note_granted(sender, operation.group_number, message.epoch);
  operation.granted.insert(message.replica);
  on_accept_progress(id->second, operation);
}

void Client::on_accept_progress(OperationId id, Operation& operation) {
  if (operation.granted.size() == operation.group.replicas.size()) {
    counters_["ledger_changes_on_all_replicas_total"]++;
    finish(id, operation.value);
    return;
  }
  if (operation.phase == Phase::copying || operation.granted.size() < operation.needed()) {
    return;
  }
  operation.phase = Phase::copying;
  const std::uint64_t request = operation.request;
  environment_.after(options_.full_copy_wait, lifetime_.guard([this, id, request] {
    const auto entry = operations_.find(id);
    if (entry == operations_.end() || entry->second.request != request) {
      return;
    }
    counters_["ledger_changes_on_majority_only_total"]++;
    finish(id, entry->second.value);
  }));
}

// --- scans ----------------------------------------------------------------------------------

struct Client::MergedPage {
  ScanPage page;
  std::vector<std::size_t> positions;  ///< Positions of the records that have to be settled.
  std::size_t unsettled = 0;
  bool omit_failed = false;  ///< Records that cannot be settled now are left out; otherwise the scan fails.
  std::optional<Error> failure;
};

void Client::scan(const std::string& prefix, const std::string& after, std::uint32_t limit, ScanDone done,
                  ScanContent content) {
  Scan scan;
  scan.prefix = prefix;
  scan.after = after;
  scan.limit = limit;
  scan.content = content;
  scan.done = std::move(done);
  submit_scan(std::move(scan), options_.operation_timeout);
}

void Client::scan_group(std::uint32_t group, const std::string& prefix, const std::string& after, std::uint32_t limit,
                        ScanDone done, ScanContent content) {
  Scan scan;
  scan.named_group = group;
  scan.prefix = prefix;
  scan.after = after;
  scan.limit = limit;
  scan.content = content;
  scan.done = std::move(done);
  submit_scan(std::move(scan), options_.operation_timeout);
}

void Client::scan_with_timeout(Duration patience, const std::string& prefix, std::uint32_t limit, ScanDone done) {
  Scan scan;
  scan.prefix = prefix;
  scan.limit = limit;
  scan.done = std::move(done);
  submit_scan(std::move(scan), patience);
}

void Client::fetch(const std::vector<std::string>& keys, std::size_t max_bytes, Duration patience, ScanDone done) {
  if (keys.empty()) {
    done(ScanPage{});
    return;
  }
  Scan scan;
  scan.keys = keys;
  scan.max_bytes = max_bytes;
  scan.done = std::move(done);
  submit_scan(std::move(scan), patience);
}

void Client::submit_scan(Scan scan, Duration patience) {
  const OperationId id = ++next_id_;
  scan.deadline = environment_.now() + std::min(patience, options_.operation_timeout);
  counters_["ledger_scans_total"]++;
  scans_.emplace(id, std::move(scan));
  // Ends the scan at its deadline, which may come before the next attempt.
  environment_.after(std::min(patience, options_.operation_timeout), lifetime_.guard([this, id] { start_scan(id); }));
  start_scan(id);
}

std::uint32_t Client::value_source(const ReplicaGroup& group) const {
  std::uint32_t best = 0;
  std::pair<bool, unsigned> best_rank{true, UINT_MAX};
  for (std::uint32_t index = 0; index < group.replicas.size(); ++index) {
    const NodeId& node = group.replicas[index].node;
    const auto silent = avoided_until_.find(node);
    const bool avoided = silent != avoided_until_.end() && environment_.now() < silent->second;
    const std::pair<bool, unsigned> rank{avoided || !addresses_(node), distance_ ? distance_(node) : 0};
    if (rank < best_rank) {
      best_rank = rank;
      best = index;
    }
  }
  return best;
}

void Client::start_scan(OperationId id) {
  const auto entry = scans_.find(id);
  if (entry == scans_.end()) {
    return;
  }
  Scan& scan = entry->second;
  if (environment_.now() >= scan.deadline) {
    forget_requests(by_request_, id);
    auto node = scans_.extract(entry);
    counters_["ledger_scans_failed_total"]++;
    node.mapped().done(scan_failure(node.mapped()));
    return;
  }
  if (map_.groups.empty() || scan.named_group.value_or(0) >= map_.groups.size()) {
    retry_scan(id);
    return;
  }
  begin_attempt(id, scan);
  send_scan_requests(scan);
  const unsigned attempt = scan.attempts;
  const std::uint64_t number = scan.request;
  const Duration patience = options_.attempt_timeout * (1U << std::min(attempt - 1, kMaxAttemptDoublings));
  environment_.after(patience, lifetime_.guard([this, id, number, attempt] {
    const auto found = scans_.find(id);
    if (found != scans_.end() && found->second.request == number && found->second.attempts == attempt) {
      start_scan(id);
    }
  }));
}

void Client::begin_attempt(OperationId id, Scan& scan) {
  counters_["ledger_scan_attempts_total"]++;
  ++scan.attempts;
  // Determined for each attempt: a node that has just started may not have known the groups when the scan began, and
  // another group would answer correctly that it has no such record.
  const std::string& key = scan.keys.empty() ? scan.prefix : scan.keys.front();
  scan.group_number = scan.named_group ? *scan.named_group : map_.group_of(key);
  const ReplicaGroup& group = map_.groups[scan.group_number];
  const bool same = scan.request != 0 && scan.group.epoch == group.epoch;
  if (!same) {
    by_request_.erase(scan.request);
    scan.request = ++next_request_;
    by_request_[scan.request] = id;
    scan.group = group;
    scan.replies.clear();
    scan.refused = 0;
  }
  scan.value_timer_running = false;
  scan.source = value_source(scan.group);
}

bool Client::lacks_answer(const Scan& scan, std::uint32_t replica) {
  const auto reply = scan.replies.find(replica);
  const bool value_wanted = scan.content == ScanContent::values && scan.source == replica;
  return reply == scan.replies.end() || (value_wanted && reply->second.ballots_only);
}

void Client::send_scan_requests(const Scan& scan) {
  wire::ScanRequestT request;
  request.request = scan.request;
  request.group = scan.group_number;
  request.epoch = scan.group.epoch;
  request.prefix = scan.prefix;
  request.after = scan.after;
  request.limit = scan.limit;
  request.keys = scan.keys;
  request.max_bytes = static_cast<std::uint32_t>(scan.max_bytes);
  const Duration patience = scan.deadline - environment_.now();
  request.patience_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(patience / 1ms, 1));
  for (std::uint32_t index = 0; index < scan.group.replicas.size(); ++index) {
    const auto address = addresses_(scan.group.replicas[index].node);
    if (!address || !lacks_answer(scan, index)) {
      continue;
    }
    request.ballots_only = scan.content == ScanContent::keys || (scan.source && index != *scan.source);
    counters_["ledger_requests_sent_total"]++;
    note_request(scan.group.replicas[index].node);
    send_message_within(patience, environment_, *address, request);
  }
}

bool Client::scan_complete(const Scan& scan) {
  const bool has_values =
      scan.content == ScanContent::keys || std::any_of(scan.replies.begin(), scan.replies.end(),
                                                       [](const auto& reply) { return !reply.second.ballots_only; });
  return has_values && scan.replies.size() >= scan.group.majority();
}

/// Called when the other replicas have answered. If the nearest one does not answer in time, the values are requested
/// from the next one.
void Client::await_value(OperationId id, Scan& scan) {
  if (scan.replies.size() < scan.group.majority() || scan.value_timer_running) {
    return;
  }
  scan.value_timer_running = true;
  const std::uint64_t number = scan.request;
  const unsigned attempt = scan.attempts;
  const auto bytes_time = std::chrono::milliseconds(scan.max_bytes * 1000 / options_.min_value_bytes_per_second);
  environment_.after(options_.value_wait + bytes_time, lifetime_.guard([this, id, number, attempt] {
    const auto found = scans_.find(id);
    const bool over = found == scans_.end() || found->second.request != number || found->second.attempts != attempt;
    if (over || !found->second.source) {
      return;
    }
    counters_["ledger_scan_values_late_total"]++;
    const NodeId silent = found->second.group.replicas[*found->second.source].node;
    avoided_until_[silent] = environment_.now() + options_.avoid_unresponsive;
    start_scan(id);
  }));
}

void Client::retry_scan(OperationId id) {
  // The request number stays registered, so that a member whose refusal arrives late is not reported as silent.
  scans_.at(id).request = 0;
  environment_.after(options_.backoff_unit * 4, lifetime_.guard([this, id] { start_scan(id); }));
}

void Client::handle(const PeerAddress& sender, const wire::ScanReplyT& message) {
  const auto id = by_request_.find(message.request);
  if (id == by_request_.end()) {
    return;
  }
  Scan& scan = scans_.at(id->second);
  const bool late = message.request != scan.request;
  if (message.status != wire::ReplicaStatus::Granted) {
    ++scan.refusals[sender][message.status];
    scan.latest_refusals[sender] = {message.status, message.standing, message.known_epoch, message.copied_bytes,
                                    message.waits_ms};
  }
  if (late) {
    if (message.status != wire::ReplicaStatus::Granted && on_refusal) {
      on_refusal(sender, scan.group_number, message.epoch, message.status);
    }
    return;
  }
  if (message.status != wire::ReplicaStatus::Granted) {
    const bool learnt = reconcile_epochs(sender, scan.group_number, message);
    ++scan.refused;
    if (learnt || scan.refused > scan.group.replicas.size() - scan.group.majority()) {
      retry_scan(id->second);
    }
    return;
  }
  note_granted(sender, scan.group_number, message.epoch);
  const auto [reply, first] = scan.replies.try_emplace(message.replica, message);
  if (!first && reply->second.ballots_only) {
    reply->second = message;
  }
  const OperationId scan_id = id->second;
  if (scan_complete(scan)) {
    if (scan.attempts > 1) {
      forget_requests(by_request_, scan_id);
    } else {
      by_request_.erase(id);
    }
    finish_scan(scan_id);
  } else {
    await_value(scan_id, scan);
  }
}

std::string Client::describe_refusal(const member_refusal& refusal, std::uint64_t epoch) {
  std::string text = wire::EnumNameReplicaStatus(refusal.status);
  if (refusal.known_epoch != 0 && refusal.known_epoch != epoch) {
    text += " epoch " + std::to_string(refusal.known_epoch);
  }
  switch (refusal.standing) {
    case wire::ReplicaStanding::NotSaid:
      return text + " (why not said)";
    case wire::ReplicaStanding::Copying:
      return text + " copied " + short_bytes(refusal.copied_bytes) + " in " + std::to_string(refusal.waits_ms / 1000) +
             " s";
    case wire::ReplicaStanding::UnknownEpoch:
      return refusal.known_epoch == 0 ? text + " knows none" : text;
    case wire::ReplicaStanding::Admitted:
      break;
  }
  return text;
}

std::string Client::describe_member(const Scan& scan, std::uint32_t index) const {
  const NodeId& node = scan.group.replicas[index].node;
  const auto address = addresses_(node);
  if (!address) {
    return node.str() + " no address";
  }
  const auto reply = scan.replies.find(index);
  if (reply != scan.replies.end()) {
    return node.str() + (reply->second.ballots_only ? " told ballots" : " answered");
  }
  const auto refusal = scan.latest_refusals.find(*address);
  return node.str() + " " +
         (refusal == scan.latest_refusals.end() ? "silent" : describe_refusal(refusal->second, scan.group.epoch));
}

std::string Client::describe_refusals(const Scan& scan) const {
  std::string text;
  for (const ReplicaIdentity& member : scan.group.replicas) {
    const auto address = addresses_(member.node);
    const auto refused = address ? scan.refusals.find(*address) : scan.refusals.end();
    if (refused == scan.refusals.end()) {
      continue;
    }
    text += ", " + member.node.str();
    for (const auto& [status, count] : refused->second) {
      text += std::string(" ") + wire::EnumNameReplicaStatus(status) + " " + std::to_string(count);
    }
  }
  return text;
}

Error Client::scan_failure(const Scan& scan) const {
  std::string detail = "group " + std::to_string(scan.group_number) + " epoch " + std::to_string(scan.group.epoch) +
                       ", " + std::to_string(scan.replies.size()) + " of " + std::to_string(scan.group.replicas.size());
  for (std::uint32_t index = 0; index < scan.group.replicas.size(); ++index) {
    detail += (index == 0 ? ": " : ", ") + describe_member(scan, index);
  }
  detail += "; no majority of replicas answered the scan, attempts " + std::to_string(scan.attempts);
  const std::string refusals = describe_refusals(scan);
  return Error{ErrorKind::unavailable, refusals.empty() ? detail : detail + ", refusals" + refusals.substr(1)};
}

std::shared_ptr<Client::MergedPage> Client::merge_replies(const Scan& scan) {
  const bool fetched = !scan.keys.empty();
  // A truncated reply has no information about keys after its last one. The reply with the values of a fetch may end
  // before the others.
  std::string horizon;
  std::size_t reached = scan.keys.size();
  // A replica that does not support fetches by name has no information about the records: each record is settled by a
  // read unless the other replicas agree on it.
  const bool some_lack_fetch_support = fetched && any_lacks_fetch_support(scan.replies);
  if (some_lack_fetch_support) {
    reached = std::min(reached, kMaxSingleReads);
  }
  for (const auto& [replica, reply] : scan.replies) {
    if (fetched && lacks_fetch_support(reply)) {
      continue;
    }
    if (reply.truncated && !reply.records.empty() && (horizon.empty() || reply.records.back()->key < horizon)) {
      horizon = reply.records.back()->key;
    }
    reached = std::min(reached, reply.records.size());
  }
  const bool keys_only = scan.content == ScanContent::keys;
  const wire::Bytes no_value;
  struct Candidate {
    Ballot ballot;
    std::size_t count = 0;
    const wire::Bytes* value = nullptr;  ///< Null if only the ballot is known.
  };
  std::map<std::string, Candidate> candidates;
  for (std::size_t position = 0; some_lack_fetch_support && position < reached; ++position) {
    candidates.try_emplace(scan.keys[position]);
  }
  for (const auto& [replica, reply] : scan.replies) {
    std::size_t position = 0;
    for (const auto& record : reply.records) {
      const bool beyond =
          fetched ? position++ >= reached || lacks_fetch_support(reply) : !horizon.empty() && record->key > horizon;
      if (beyond) {
        break;
      }
      const Ballot ballot = from_wire(record->accepted);
      if (fetched && ballot.is_zero()) {
        continue;  // This replica does not hold the record.
      }
      const auto [known, first] = candidates.try_emplace(record->key, Candidate{ballot});
      Candidate& candidate = known->second;
      if (ballot > candidate.ballot) {
        candidate = Candidate{ballot};
      }
      if (ballot == candidate.ballot) {
        ++candidate.count;
        candidate.value = reply.ballots_only ? candidate.value : &record->value;
      }
    }
  }
  auto merged = std::make_shared<MergedPage>();
  merged->omit_failed = fetched;
  merged->page.next_after = fetched ? (reached < scan.keys.size() ? scan.keys[reached] : "") : horizon;
  for (const auto& [key, candidate] : candidates) {
    const bool has_value = keys_only || candidate.value != nullptr;
    if (candidate.count < scan.group.majority() || candidate.ballot.is_zero() || !has_value) {
      merged->positions.push_back(merged->page.records.size());
    }
    merged->page.records.push_back({key, candidate.value == nullptr ? no_value : *candidate.value});
  }
  return merged;
}

void Client::finish_scan(OperationId id) {
  auto node = scans_.extract(id);
  Scan& scan = node.mapped();
  const std::shared_ptr<MergedPage> merged = merge_replies(scan);
  counters_["ledger_fetches_not_understood_total"] +=
      !scan.keys.empty() && any_lacks_fetch_support(scan.replies) ? 1 : 0;
  if (merged->positions.size() > options_.max_concurrent_settles && !scan.keys.empty()) {
    // The remaining records are left to a later fetch.
    for (std::size_t number = options_.max_concurrent_settles; number < merged->positions.size(); ++number) {
      merged->page.records[merged->positions[number]].key.clear();
    }
    merged->positions.resize(options_.max_concurrent_settles);
  }
  settle(merged, std::move(scan.done));
}

/// Settles the records whose value may not be chosen because only some replicas hold it, with a read each.
void Client::settle(const std::shared_ptr<MergedPage>& merged, ScanDone scan_done) {
  const auto finish = [merged](const ScanDone& done) {
    if (merged->failure) {
      done(*merged->failure);
      return;
    }
    std::erase_if(merged->page.records, [](const ScanRecord& record) { return record.key.empty(); });
    done(std::move(merged->page));
  };
  merged->unsettled = merged->positions.size();
  if (merged->unsettled == 0) {
    finish(scan_done);
    return;
  }
  auto done = std::make_shared<ScanDone>(std::move(scan_done));
  for (const std::size_t position : merged->positions) {
    counters_["ledger_scan_settles_total"]++;
    read(merged->page.records[position].key, [merged, position, done, finish](Result<OptionalValue> result) {
      if (succeeded(result) && value_of(result)) {
        merged->page.records[position].value = *value_of(result);
      } else if (succeeded(result) || merged->omit_failed) {
        merged->page.records[position].key.clear();
      } else {
        merged->failure = error_of(result);
      }
      if (--merged->unsettled == 0) {
        finish(*done);
      }
    });
  }
}

}  // namespace madderdeck::ledger
