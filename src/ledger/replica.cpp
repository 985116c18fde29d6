#include "ledger/replica.hpp"

#include <algorithm>
#include <cstdio>

#include "ledger/accepted_value.hpp"

namespace madderdeck::ledger {
namespace {

constexpr std::uint32_t kCopyPageRecords = 256;
constexpr std::size_t kPageBytes = 1 << 20;
/// Limit for the bytes read from the disk for one page, also if only ballots are sent: the node answers nothing else
/// meanwhile.
constexpr std::size_t kPageReadBytes = 4 << 20;
/// Limit for the values in one answer to a replica that copies: answers to readers wait behind it.
constexpr std::size_t kCopyPageBytes = 512 << 10;
/// How long the answer to a scan is worth sending if the reader does not specify it.
constexpr Duration kDefaultScanTimeout = 4s;
constexpr Duration kCopyRetryInterval = 200ms;
constexpr Duration kStateRereadDelay = 1s;  ///< Delay before group states that could not be read are read again.
/// A page that has not arrived is requested again after this time, which doubles with each further request.
constexpr Duration kCopyReplyTimeout = 400ms;
constexpr Duration kValuesReplyTimeout = 1s;  ///< The same for requests for values.
constexpr Duration kMaxCopyReplyTimeout = 3200ms;
constexpr Duration kUnsentValuesTimeout = 2s;  ///< How long a source may leave values unsent that others offer as well.
/// Limit for outstanding pages over all groups of a replica that copies: 8 MB at most.
constexpr std::size_t kMaxOutstandingPages = 16;
constexpr char kFirstCursor[] = "p:";  ///< Cursor at which a copy begins: the first promise.

std::string group_prefix(char area, std::uint32_t group) {
  char text[16];
  std::snprintf(text, sizeof text, "%c/%04u/", area, group);
  return text;
}
std::string promise_key(std::uint32_t group, const std::string& key) { return group_prefix('p', group) + key; }
std::string accept_key(std::uint32_t group, const std::string& key) { return group_prefix('a', group) + key; }
std::string state_key(std::uint32_t group) { return group_prefix('g', group); }
std::string marks_key(std::uint32_t group) { return group_prefix('m', group); }

/// Marks as stored: one byte of these flags, then the epoch in which they were written, little-endian.
constexpr std::uint8_t kReturning = 1;
constexpr std::uint8_t kHoldsLeaving = 2;
constexpr std::uint8_t kWhole = 4;
constexpr std::uint8_t kWholeWithSameMembers = 8;
constexpr std::uint8_t kWholeInPreviousEpoch = 16;
constexpr unsigned kFirstRecentLeaverBit = 5;  ///< First of the bits for the first leaving members.
constexpr unsigned kMaxRecentLeavers = 3;
constexpr std::uint8_t kRecentLeaversMask = 0xE0;
constexpr std::size_t kMarksBytes = 1 + sizeof(std::uint64_t);
constexpr unsigned kByteBits = 8;

/// @return the bit of the leaving member at @p position; zero if it has none.
std::uint8_t recent_leaver_bit(std::size_t position) {
  return position < kMaxRecentLeavers ? static_cast<std::uint8_t>(1U << (kFirstRecentLeaverBit + position)) : 0;
}

/// @return the bits of the leaving members of @p now that were members of @p before.
std::uint8_t recent_leavers_of(const ReplicaGroup& now, const ReplicaGroup& before) {
  std::uint8_t bits = 0;
  for (std::size_t position = 0; position < now.leaving.size(); ++position) {
    bits |= before.index_of(now.leaving[position]) ? recent_leaver_bit(position) : 0;
  }
  return bits;
}

bool all_in(const std::vector<ReplicaIdentity>& some, const std::vector<ReplicaIdentity>& all) {
  return std::all_of(some.begin(), some.end(), [&all](const ReplicaIdentity& one) {
    return std::find(all.begin(), all.end(), one) != all.end();
  });
}

}  // namespace

Replica::Replica(Environment& environment, Storage& storage, Counters& counters, NodeId self, DiskId disk,
                 AddressLookup addresses, ReplicaGuards guards)
    : environment_(environment),
      storage_(storage),
      counters_(counters),
      self_(std::move(self)),
      disk_(std::move(disk)),
      addresses_(std::move(addresses)),
      guards_(guards),
      consents_(storage) {}

void Replica::on_group_map(const GroupMap& map) {
  for (std::uint32_t group = 0; group < map.groups.size(); ++group) {
    adopt_group(group, map.groups[group]);
  }
}

void Replica::restore() {
  if (suspended_) {
    return;
  }
  std::vector<std::uint32_t> groups;
  const Status read = storage_.scan("g/", "", [&groups](std::string_view key, std::string_view) {
    groups.push_back(static_cast<std::uint32_t>(std::strtoul(std::string(key.substr(2)).c_str(), nullptr, 10)));
    return true;
  });
  const Status consents = consents_.restore();
  group_list_unread_ = !succeeded(read) || !succeeded(consents);
  if (group_list_unread_) {
    counters_["ledger_group_states_unreadable_total"]++;
    if (on_unreadable) {
      on_unreadable(std::nullopt, error_of(succeeded(read) ? consents : read));
    }
    schedule_state_reread();
    return;
  }
  for (const std::uint32_t group : groups) {
    restore_group(group);
  }
}

void Replica::restore_group(std::uint32_t group) {
  auto read = restore_group_state(group);
  if (!succeeded(read)) {
    note_unreadable(group, error_of(read), {});
    return;
  }
  GroupProgress& progress = value_of(read);
  const auto number = progress.description.source_number_of({self_, disk_});
  if (!number) {
    return;
  }
  progress.index = *number;
  progress.former = *number >= progress.description.replicas.size();
  progress_[group] = std::move(progress);
  last_requested_at_.try_emplace(group, environment_.now());
  report_epoch(group, progress_.at(group), progress_.at(group));
  start_copy(group);
}

void Replica::note_unreadable(std::uint32_t group, const Error& error, const ReplicaGroup& heard) {
  const auto [entry, first] = unreadable_.try_emplace(group, heard);
  entry->second = heard.epoch > entry->second.epoch ? heard : entry->second;
  counters_["ledger_group_states_unreadable_total"]++;
  if (first && on_unreadable) {
    on_unreadable(group, error);
  }
  schedule_state_reread();
}

void Replica::schedule_state_reread() {
  if (reread_scheduled_) {
    return;
  }
  reread_scheduled_ = true;
  environment_.after(kStateRereadDelay, lifetime_.guard([this] {
    reread_scheduled_ = false;
    reread_states();
  }));
}

void Replica::reread_states() {
  if (suspended_) {
    return;  // resume() reads everything again.
  }
  const std::map<std::uint32_t, ReplicaGroup> heard = std::exchange(unreadable_, {});
  if (group_list_unread_) {
    restore();
  } else {
    for (const auto& [group, description] : heard) {
      restore_group(group);
    }
  }
  for (const auto& [group, description] : heard) {
    if (description.epoch > 0) {
      adopt_group(group, description);
    }
  }
}

void Replica::suspend() {
  suspended_ = true;
  progress_.clear();
  unreadable_.clear();
  group_list_unread_ = false;
  consents_.forget();
}

void Replica::resume() {
  suspended_ = false;
  restore();
}

void Replica::note_latest_epoch(std::uint32_t group, const ReplicaGroup& description) {
  LatestEpoch& latest = latest_epochs_[group];
  if (description.epoch < latest.epoch) {
    return;
  }
  latest.epoch = description.epoch;
  latest.names_former_disk =
      std::any_of(description.replicas.begin(), description.replicas.end(),
                  [this](const ReplicaIdentity& member) { return member.node == self_ && member.disk != disk_; });
}

void Replica::adopt_group(std::uint32_t group, const ReplicaGroup& description) {
  note_latest_epoch(group, description);
  if (suspended_) {
    return;
  }
  auto known = progress_.find(group);
  const bool first_sight = known == progress_.end();
  if (group_list_unread_ || unreadable_.contains(group)) {
    ReplicaGroup& heard = unreadable_[group];
    heard = description.epoch > heard.epoch ? description : heard;
    return;
  }
  auto read = first_sight ? restore_group_state(group) : Result<GroupProgress>(known->second);
  if (!succeeded(read)) {
    note_unreadable(group, error_of(read), description);
    return;
  }
  GroupProgress progress = std::move(value_of(read));
  if (!first_sight && description.epoch <= progress.epoch) {
    return;
  }
  const bool later = description.epoch > progress.epoch;
  const bool undescribed = progress.description.replicas.empty();  // Stored by an earlier version.
  const ReplicaGroup before = progress.description;
  const GroupProgress progress_before = progress;
  if (later || (undescribed && description.epoch == progress.epoch)) {
    progress.description = description;
  }
  const auto number = progress.description.source_number_of({self_, disk_});
  if (!number) {
    if (!first_sight && on_epoch) {
      on_epoch({group, progress.epoch, description, replica_role::left, copy_reason::none});
    }
    progress.description = before;
    leave_group(group, std::move(progress));
    return;
  }
  const bool was_former = progress.former;
  progress.index = *number;
  progress.former = *number >= progress.description.replicas.size();
  progress.handover.begin_epoch();
  if (later) {
    enter_epoch(group, progress, before, was_former);
  }
  // The records of a member that is gone may be held by only one of the others.
  const bool fewer = progress.description.replicas.size() < before.replicas.size() ||
                     !all_in(before.leaving, progress.description.leaving);
  const bool lacks_something =
      first_sight || !votes(progress) || !progress.whole || fewer || !progress.description.leaving.empty();
  const bool copies = lacks_something && guards_.admission_before_voting;
  progress_[group] = std::move(progress);
  last_requested_at_.try_emplace(group, environment_.now());
  if (later || first_sight) {
    report_epoch(group, progress_before, progress_.at(group));
  }
  if (copies) {
    start_copy(group);
  }
}

void Replica::leave_group(std::uint32_t group, GroupProgress progress) {
  if (progress.synchronized && !progress.returning) {
    progress.returning = true;
    store_marks(group, progress);
    storage_.flush([](const Status&) {});
  }
  progress_.erase(group);
}

void Replica::enter_epoch(std::uint32_t group, GroupProgress& progress, const ReplicaGroup& before, bool was_former) {
  const ReplicaGroup& now = progress.description;
  // The sources are numbered by the previous description: a leaving member may be gone now.
  progress.copying.clear();
  // A founding member starts with an empty, complete copy. A disk that joins later has to copy.
  constexpr std::uint64_t kFoundingEpoch = 1;
  const bool founding = progress.epoch == 0 && now.epoch == kFoundingEpoch;
  // In an epoch that this disk has missed it may not have been a member.
  const bool followed = now.epoch == progress.epoch + 1;
  progress.holds_leaving =
      now.leaving.empty() || (progress.holds_leaving && followed && all_in(now.leaving, before.leaving));
  // If half of the members could decide, a record that was confirmed by a lost member and a leaving one may be held by
  // the leaving one alone.
  const bool half_could_decide = before.replicas.size() % 2 == 0;
  const bool lacks_confirmed =
      half_could_decide && !progress.holds_leaving && !progress.whole && !all_in(before.replicas, now.all());
  const bool copies_again = progress.returning || !followed || lacks_confirmed || was_former;
  const bool kept_all = followed && !progress.returning && !lacks_confirmed;
  const bool was_whole = progress.whole || progress.whole_with_same_members;
  // If a majority needs all members, nothing was confirmed without this one.
  const bool took_part_in_all = before.majority() == before.replicas.size();
  progress.whole = founding || (progress.whole && kept_all && took_part_in_all);
  progress.whole_in_previous_epoch = was_whole && kept_all;
  progress.whole_with_same_members = progress.whole_in_previous_epoch && before.replicas == now.replicas;
  progress.recent_leavers = followed ? recent_leavers_of(now, before) : 0;
  progress.returning = progress.synchronized && copies_again && guards_.admission_before_voting;
  progress.awaits_flush = false;
  progress.epoch = now.epoch;
  progress.synchronized = progress.synchronized || founding || !guards_.admission_before_voting;
  store_group_state(group, progress);
  counters_["ledger_epochs_adopted_total"]++;
}

std::map<std::uint32_t, ReplicaGroup> Replica::descriptions() const {
  std::map<std::uint32_t, ReplicaGroup> result;
  for (const auto& [group, progress] : progress_) {
    result.emplace(group, progress.description);
  }
  return result;
}

bool Replica::synchronized() const {
  if (suspended_) {
    return false;
  }
  for (const auto& [group, progress] : progress_) {
    if (!progress.synchronized || progress.returning) {
      return false;
    }
  }
  return true;
}

std::vector<Replica::unadmitted> Replica::list_unadmitted() const {
  std::vector<unadmitted> found;
  for (const auto& [group, progress] : progress_) {
    if ((progress.synchronized && !progress.returning) || progress.former) {
      continue;
    }
    unadmitted replica{group, progress.epoch, {}};
    for (const auto& [number, source] : progress.copying) {
      if (!source.complete && number < progress.description.replicas.size()) {
        replica.waits_for.push_back(progress.description.replicas[number]);
      }
    }
    found.push_back(std::move(replica));
  }
  return found;
}

std::vector<Replica::unasked> Replica::list_unasked(Timestamp before) const {
  std::vector<unasked> found;
  for (const auto& [group, progress] : progress_) {
    const auto asked = last_requested_at_.find(group);
    if (asked != last_requested_at_.end() && asked->second <= before) {
      found.push_back({group, progress.epoch, asked->second});
    }
  }
  return found;
}

void Replica::note_request(std::uint32_t group) {
  if (const auto entry = last_requested_at_.find(group); entry != last_requested_at_.end()) {
    entry->second = environment_.now();
  }
}

wire::ReplicaStanding Replica::standing(std::uint32_t group, std::uint64_t epoch) const {
  const auto entry = progress_.find(group);
  if (entry == progress_.end() || entry->second.epoch < epoch) {
    return wire::ReplicaStanding::UnknownEpoch;
  }
  return holds(group, epoch) ? wire::ReplicaStanding::Admitted : wire::ReplicaStanding::Copying;
}

bool Replica::holds(std::uint32_t group, std::uint64_t epoch) const {
  const auto entry = progress_.find(group);
  return entry != progress_.end() && entry->second.epoch >= epoch && entry->second.synchronized &&
         !entry->second.returning;
}

void Replica::catch_up() {
  for (const auto& [group, progress] : progress_) {
    start_copy(group);
  }
}

template <class Reply>
void Replica::describe_group(std::uint32_t group, Reply& reply) const {
  const auto entry = progress_.find(group);
  if (reply.status == wire::ReplicaStatus::StaleEpoch && entry != progress_.end()) {
    reply.description = std::make_unique<wire::GroupDescriptionT>(to_wire(entry->second.description));
  }
}

wire::ReplicaStatus Replica::admit(std::uint32_t group, std::uint64_t epoch, bool for_copy) const {
  const auto entry = progress_.find(group);
  if (entry == progress_.end()) {
    return wire::ReplicaStatus::UnknownEpoch;
  }
  const GroupProgress& progress = entry->second;
  if (guards_.fence_old_epochs && epoch < progress.epoch) {
    return wire::ReplicaStatus::StaleEpoch;
  }
  if (epoch > progress.epoch) {
    return wire::ReplicaStatus::UnknownEpoch;
  }
  const bool allowed = for_copy ? progress.synchronized : votes(progress);
  return allowed ? wire::ReplicaStatus::Granted : wire::ReplicaStatus::NotReady;
}

bool Replica::is_decision_of_member(std::uint32_t group, std::uint64_t epoch, const std::string& key) const {
  const auto entry = progress_.find(group);
  const bool member = entry != progress_.end() && entry->second.epoch == epoch && !entry->second.former;
  return member && key == group_config_key(group, epoch + 1);
}

wire::ReplicaStatus Replica::admit_to(const wire::PrepareT& message) const {
  const wire::ReplicaStatus status = admit(message.group, message.epoch);
  // A proposer of an earlier version assumes that a member that grants also votes on records.
  const bool decides = status == wire::ReplicaStatus::NotReady && message.reads_standing &&
                       is_decision_of_member(message.group, message.epoch, message.key);
  const wire::ReplicaStatus admitted = decides ? wire::ReplicaStatus::Granted : status;
  const bool refuses = admitted == wire::ReplicaStatus::Granted && gives_up_present_member(message);
  return refuses ? wire::ReplicaStatus::MemberThere : admitted;
}

bool Replica::gives_up_present_member(const wire::PrepareT& message) const {
  return message.gives_up && is_there && is_there({NodeId(message.gives_up->node), DiskId(message.gives_up->disk)});
}

wire::ReplicaStatus Replica::admit_to(const wire::AcceptT& message) const {
  const wire::ReplicaStatus status = admit(message.group, message.epoch);
  const bool decides =
      status == wire::ReplicaStatus::NotReady && is_decision_of_member(message.group, message.epoch, message.key);
  return decides ? wire::ReplicaStatus::Granted : status;
}

Result<Ballot> Replica::load_promise(std::uint32_t group, const std::string& key) const {
  Ballot promised;
  bool sound = true;
  const Status found = storage_.look_at(promise_key(group, key), [&](std::string_view bytes) {
    const auto state = wire::decode_record<wire::PromiseStateT>(bytes);
    sound = state.has_value();
    promised = state ? from_wire(state->ballot) : Ballot{};
  });
  if (!succeeded(found)) {
    return error_of(found);
  }
  return sound ? Result<Ballot>(promised) : Error{ErrorKind::corrupted, "damaged promise of " + key};
}

Result<Replica::StoredRecord> Replica::load(std::uint32_t group, const std::string& key, bool with_value) const {
  StoredRecord record;
  const Result<Ballot> promised = load_promise(group, key);
  if (!succeeded(promised)) {
    return error_of(promised);
  }
  record.promised = value_of(promised);
  bool value_sound = true;
  const Status accept = storage_.look_at(accept_key(group, key), [&](std::string_view bytes) {
    const auto view = view_accept(bytes);
    value_sound = view.has_value();
    record.stored_bytes = bytes.size();
    record.accepted = view ? view->ballot : Ballot{};
    if (view && with_value) {
      record.value.assign(view->value.begin(), view->value.end());
    }
  });
  if (!succeeded(accept)) {
    return error_of(accept);
  }
  if (!value_sound) {
    return Error{ErrorKind::corrupted, "damaged value of " + key};
  }
  return record;
}

void Replica::store_promise(std::uint32_t group, const std::string& key, const Ballot& ballot) {
  wire::PromiseStateT state;
  state.ballot = to_wire(ballot);
  storage_.put(promise_key(group, key), wire::encode_record(state));
}

void Replica::store_accept(std::uint32_t group, const std::string& key, const Ballot& ballot,
                           const wire::Bytes& value) {
  storage_.put(accept_key(group, key), encode_accept(ballot, value));
}

void Replica::store_group_state(std::uint32_t group, const GroupProgress& progress) {
  wire::GroupStateT state;
  state.epoch = progress.epoch;
  state.complete = progress.synchronized;
  state.description = std::make_unique<wire::GroupDescriptionT>(to_wire(progress.description));
  // If the epoch were stored without its marks, this replica would vote too early after a restart.
  storage_.put_atomically({{marks_key(group), encode_marks(progress)}, {state_key(group), wire::encode_record(state)}});
  storage_.flush([](const Status&) {});
}

wire::Bytes Replica::encode_marks(const GroupProgress& progress) {
  wire::Bytes marks(kMarksBytes);
  marks[0] = static_cast<std::uint8_t>(
      (progress.returning ? kReturning : 0) | (progress.holds_leaving ? kHoldsLeaving : 0) |
      (progress.whole ? kWhole : 0) | (progress.whole_with_same_members ? kWholeWithSameMembers : 0) |
      (progress.whole_in_previous_epoch ? kWholeInPreviousEpoch : 0) | progress.recent_leavers);
  for (std::size_t byte = 1; byte < kMarksBytes; ++byte) {
    marks[byte] = static_cast<std::uint8_t>(progress.epoch >> ((byte - 1) * kByteBits));
  }
  return marks;
}

void Replica::store_marks(std::uint32_t group, const GroupProgress& progress) {
  storage_.put(marks_key(group), encode_marks(progress));
}

Status Replica::restore_marks(std::uint32_t group, GroupProgress& progress) const {
  const auto stored = storage_.get(marks_key(group));
  progress.holds_leaving = progress.description.leaving.empty();
  if (!succeeded(stored)) {
    return error_of(stored);
  }
  if (!value_of(stored) || value_of(stored)->size() != kMarksBytes) {
    return Ok{};  // Written by an earlier version.
  }
  const wire::Bytes& marks = *value_of(stored);
  std::uint64_t epoch = 0;
  for (std::size_t byte = 1; byte < kMarksBytes; ++byte) {
    epoch |= static_cast<std::uint64_t>(marks[byte]) << ((byte - 1) * kByteBits);
  }
  progress.returning = (marks[0] & kReturning) != 0;
  if (epoch == progress.epoch) {
    progress.holds_leaving = progress.holds_leaving || (marks[0] & kHoldsLeaving) != 0;
    progress.whole = (marks[0] & kWhole) != 0;
    progress.whole_with_same_members = (marks[0] & kWholeWithSameMembers) != 0;
    progress.whole_in_previous_epoch = (marks[0] & kWholeInPreviousEpoch) != 0;
    progress.recent_leavers = marks[0] & kRecentLeaversMask;
  }
  return Ok{};
}

Result<Replica::GroupProgress> Replica::restore_group_state(std::uint32_t group) const {
  GroupProgress progress;
  const auto stored = storage_.get(state_key(group));
  if (!succeeded(stored)) {
    return error_of(stored);
  }
  if (!value_of(stored)) {
    return progress;
  }
  const auto state = wire::decode_record<wire::GroupStateT>(*value_of(stored));
  if (!state) {
    return Error{ErrorKind::corrupted, "damaged state of group " + std::to_string(group)};
  }
  progress.epoch = state->epoch;
  progress.synchronized = state->complete;
  if (state->description) {
    progress.description = from_wire(*state->description);
  }
  if (const Status marks = restore_marks(group, progress); !succeeded(marks)) {
    return error_of(marks);
  }
  return progress;
}

template <class Send>
void Replica::when_durable(Send send) {
  if (!guards_.flush_before_reply || !storage_.has_unflushed()) {
    send();
    return;
  }
  storage_.flush(lifetime_.guard([this, send = std::move(send)](const Status& status) mutable {
    if (!succeeded(status)) {
      counters_["ledger_flush_failures_total"]++;
      return;
    }
    send();
  }));
}

template <class Reply>
void Replica::reply_when_durable(const PeerAddress& to, Reply reply) {
  when_durable([this, to, reply = std::move(reply)]() mutable { send_message(environment_, to, std::move(reply)); });
}

template <class Reply>
void Replica::refuse(const PeerAddress& to, Reply reply) {
  if (reply.description) {
    reply_when_durable(to, std::move(reply));
  } else {
    send_message(environment_, to, std::move(reply));
  }
}

template <class Request, class Reply>
std::optional<Replica::StoredRecord> Replica::open_request(const PeerAddress& sender, const Request& message,
                                                           Reply& reply, bool with_value) {
  note_request(message.group);
  reply.request = message.request;
  reply.epoch = message.epoch;
  reply.status = admit_to(message);
  if (reply.status != wire::ReplicaStatus::Granted) {
    describe_group(message.group, reply);
    refuse(sender, std::move(reply));
    return std::nullopt;
  }
  reply.replica = progress_.at(message.group).index;
  auto loaded = load(message.group, message.key, with_value);
  if (!succeeded(loaded)) {
    counters_["ledger_corrupted_reads_total"]++;
    reply.status = wire::ReplicaStatus::Corrupted;
    send_message(environment_, sender, std::move(reply));
    return std::nullopt;
  }
  return std::move(value_of(loaded));
}

template <class Reply>
void Replica::refuse_ballot(const PeerAddress& sender, Reply reply) {
  reply.status = wire::ReplicaStatus::BallotTooLow;
  send_message(environment_, sender, std::move(reply));
}

void Replica::handle(const PeerAddress& sender, const wire::PrepareT& message) {
  wire::PromiseT reply;
  const auto record = open_request(sender, message, reply, true);
  if (!record) {
    return;
  }
  const Ballot ballot = from_wire(message.ballot);
  reply.promised = to_wire(record->promised);
  if (guards_.reject_lower_ballots && ballot <= record->promised) {
    refuse_ballot(sender, std::move(reply));
    return;
  }
  store_promise(message.group, message.key, ballot);
  if (message.key == group_config_key(message.group, message.epoch + 1)) {
    reply.standing = standing(message.group, message.epoch);
    const GroupProgress& progress = progress_.at(message.group);
    reply.whole = progress.whole || progress.whole_with_same_members;
  }
  reply.accepted = to_wire(record->accepted);
  reply.value = record->value;
  reply_when_durable(sender, std::move(reply));
}

void Replica::handle(const PeerAddress& sender, const wire::AcceptT& message) {
  wire::AcceptedT reply;
  const auto record = open_request(sender, message, reply, false);
  if (!record) {
    return;
  }
  const Ballot ballot = from_wire(message.ballot);
  const Ballot floor = std::max(record->promised, record->accepted);
  reply.promised = to_wire(floor);
  if (guards_.reject_lower_ballots && ballot < floor) {
    refuse_ballot(sender, std::move(reply));
    return;
  }
  store_accept(message.group, message.key, ballot, message.value);
  counters_["ledger_accepts_total"]++;
  reply_when_durable(sender, std::move(reply));
}

Result<Replica::Records> Replica::page(const PageQuery& query, bool& truncated) const {
  Records records;
  std::size_t bytes = 0;
  std::size_t read_bytes = 0;
  truncated = false;
  const std::string area_prefix = group_prefix(query.promises ? 'p' : 'a', query.group);
  const auto visit = [&](std::string_view stored_key, std::string_view stored_value) {
    if (records.size() >= query.limit || bytes >= kPageBytes || read_bytes >= kPageReadBytes) {
      truncated = true;
      return false;
    }
    read_bytes += stored_value.size();
    auto record = std::make_unique<wire::LedgerRecordT>();
    record->key = std::string(stored_key.substr(area_prefix.size()));
    if (query.promises) {
      if (const auto state = wire::decode_record<wire::PromiseStateT>(stored_value)) {
        record->promised = to_wire(from_wire(state->ballot));
      }
    } else {
      const auto accepted = view_accept(stored_value);
      record->accepted = to_wire(accepted ? accepted->ballot : Ballot{});
      if (accepted && query.values) {
        record->value.assign(accepted->value.begin(), accepted->value.end());
      }
    }
    bytes += record->key.size() + record->value.size();
    records.push_back(std::move(record));
    return true;
  };
  const std::string after = query.after.empty() ? "" : area_prefix + query.after;
  if (const Status read = storage_.scan(area_prefix + query.prefix, after, visit); !succeeded(read)) {
    counters_["ledger_scans_unreadable_total"]++;
    return error_of(read);
  }
  return records;
}

Replica::Records Replica::records_of(const RecordQuery& query) const {
  Records records;
  std::size_t bytes = 0;
  std::size_t read_bytes = 0;
  for (const std::string& key : query.keys) {
    // The same limit as for the replica that sends the values, since answers are compared up to the shortest one.
    if (read_bytes >= kPageReadBytes) {
      break;
    }
    auto record = std::make_unique<wire::LedgerRecordT>();
    record->key = key;
    record->accepted = to_wire(Ballot{});
    if (auto loaded = load(query.group, key, query.values); succeeded(loaded)) {
      record->accepted = to_wire(value_of(loaded).accepted);
      read_bytes += value_of(loaded).stored_bytes;
      if (query.values) {
        record->value = std::move(value_of(loaded).value);
      }
    } else {
      counters_["ledger_corrupted_reads_total"]++;
    }
    bytes += record->key.size() + record->value.size();
    if (bytes > query.max_bytes && !records.empty()) {
      break;
    }
    records.push_back(std::move(record));
  }
  return records;
}

void Replica::handle(const PeerAddress& sender, const wire::ScanRequestT& message) {
  note_request(message.group);
  wire::ScanReplyT reply;
  reply.request = message.request;
  reply.epoch = message.epoch;
  reply.status = admit(message.group, message.epoch);
  if (reply.status != wire::ReplicaStatus::Granted) {
    describe_group(message.group, reply);
    describe_standing(message, reply);
    refuse(sender, std::move(reply));
    return;
  }
  reply.replica = progress_.at(message.group).index;
  reply.ballots_only = message.ballots_only;
  const PageQuery query{message.group, message.prefix, message.after, message.limit, false, !message.ballots_only};
  if (!message.keys.empty()) {
    const std::size_t max_bytes = std::min<std::size_t>(message.max_bytes, kPageBytes);
    reply.records = records_of({message.group, message.keys, max_bytes, !message.ballots_only});
  } else if (auto records = page(query, reply.truncated); succeeded(records)) {
    reply.records = std::move(value_of(records));
  } else {
    reply.status = wire::ReplicaStatus::Corrupted;
    refuse(sender, std::move(reply));
    return;
  }
  // A reader that has given up needs no answer, and other messages wait behind its values.
  const Duration useful_for =
      message.patience_ms == 0 ? kDefaultScanTimeout : std::chrono::milliseconds(message.patience_ms);
  const Timestamp useful_until = environment_.now() + useful_for;
  // A reader treats what a majority reports as chosen, so it has to be durable.
  when_durable([this, sender, useful_until, reply = std::move(reply)]() mutable {
    const Timestamp now = environment_.now();
    if (now < useful_until) {
      send_message_within(useful_until - now, environment_, sender, std::move(reply));
    }
  });
}

// --- copying to a new or returning replica -------------------------------------------------
// The cursor of a copy runs first over the promises ("p:" + key), then over the accepted
// values ("a:" + key); both are merged by taking the greater ballot. Pages contain only ballots.
// Values are requested only if the source has a later one, so that no value is sent twice to a
// replica that returns with its disk or has already copied from another source.

void Replica::start_copy(std::uint32_t group) {
  GroupProgress& progress = progress_.at(group);
  progress.copying.clear();
  const ReplicaGroup& description = progress.description;
  const auto sources = static_cast<std::uint32_t>(description.replicas.size() + description.leaving.size());
  for (std::uint32_t number = 0; number < sources && !progress.former; ++number) {
    const bool leaving = number >= description.replicas.size();
    if (number != progress.index && !(leaving && progress.holds_leaving)) {
      progress.copying[number] = CopySource{kFirstCursor, false};
    }
  }
  note_copy_begun(group);
  finish_copy_if_complete(group);
  request_copies();
  schedule_copy_retry();
}

bool Replica::is_awaited(const CopySource& source, const PeerAddress& address) const {
  if (source.asked_at.count() == 0) {
    return false;
  }
  const Timestamp now = environment_.now();
  const Duration waited = now - source.asked_at;
  const auto heard = source_activities_.find(address);
  if (waited < source.reply_timeout || heard == source_activities_.end()) {
    return waited < source.reply_timeout;
  }
  const source_activity& came = heard->second;
  const bool overtaken = (source.wanted.empty() ? came.ballots_asked_at : came.values_asked_at) > source.asked_at;
  // Pages of other groups show that the source is working: this request waits behind them, and so would another one.
  return !overtaken && now - came.page_came_at < source.reply_timeout && waited < kMaxCopyReplyTimeout;
}

void Replica::note_page(const PeerAddress& address, const CopySource& source) {
  source_activity& came = source_activities_[address];
  came.page_came_at = environment_.now();
  (source.wanted.empty() ? came.ballots_asked_at : came.values_asked_at) = source.asked_at;
}

void Replica::request_copies() {
  std::size_t under_way = 0;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> due;  // Group number and source number.
  for (const auto& [group, progress] : progress_) {
    for (const auto& [number, source] : progress.copying) {
      const auto address = addresses_(progress.description.source(number).node);
      if (!source.complete && address && is_awaited(source, *address)) {
        ++under_way;
      } else if (!source.complete && address) {
        due.emplace_back(group, number);
      }
    }
  }
  const auto source_of = [this](const auto& one) -> CopySource& {
    return progress_.at(one.first).copying.at(one.second);
  };
  std::stable_sort(due.begin(), due.end(), [&](const auto& left, const auto& right) {
    return source_of(left).asked_at < source_of(right).asked_at;
  });
  for (const auto& one : due) {
    if (under_way >= kMaxOutstandingPages) {
      return;
    }
    ++under_way;
    CopySource& source = source_of(one);
    const bool again = source.asked_at.count() != 0;
    const Duration first = source.wanted.empty() ? kCopyReplyTimeout : kValuesReplyTimeout;
    source.reply_timeout = again ? std::min(source.reply_timeout * 2, kMaxCopyReplyTimeout) : first;
    const GroupProgress& progress = progress_.at(one.first);
    request_page(*addresses_(progress.description.source(one.second).node), one.first, progress, source);
  }
}

void Replica::request_page(const PeerAddress& from, std::uint32_t group, const GroupProgress& progress,
                           CopySource& source) {
  source.asked_at = environment_.now();
  wire::CopyRequestT request;
  request.group = group;
  request.epoch = progress.epoch;
  request.after = source.after;
  request.limit = kCopyPageRecords;
  for (const auto& [key, ballot] : source.wanted) {
    request.keys.push_back(key);
  }
  // A source that does not know this epoch yet learns it from this description and then rejects requests of earlier
  // epochs.
  request.description = std::make_unique<wire::GroupDescriptionT>(to_wire(progress.description));
  send_message(environment_, from, std::move(request));
}

void Replica::schedule_copy_retry() {
  if (copy_retry_scheduled_) {
    return;
  }
  copy_retry_scheduled_ = true;
  environment_.after(kCopyRetryInterval, lifetime_.guard([this] {
    copy_retry_scheduled_ = false;
    bool unfinished = false;
    for (const auto& [group, progress] : progress_) {
      unfinished = unfinished || !progress.copying.empty();
    }
    if (unfinished) {
      reassign_overdue_values();
      request_source_standings();
      request_copies();
      schedule_copy_retry();
    }
  }));
}

void Replica::reassign_overdue_values() {
  const Timestamp now = environment_.now();
  for (auto& [group, progress] : progress_) {
    for (auto& [number, silent] : progress.copying) {
      if (silent.wanted.empty() || now - silent.values_since < kUnsentValuesTimeout) {
        continue;
      }
      silent.wanted.clear();
      for (auto& [other, source] : progress.copying) {
        if (source.deferred_to.contains(number)) {
          source = CopySource{kFirstCursor, false};
        }
      }
    }
  }
}

void Replica::request_source_standings() {
  for (const auto& [group, progress] : progress_) {
    if (progress.whole || progress.former) {
      continue;
    }
    for (const auto& [number, source] : progress.copying) {
      const bool member = number < progress.description.replicas.size();
      const auto address = addresses_(progress.description.source(number).node);
      if (member && source.complete && address) {
        wire::CopyStatusRequestT request;
        request.group = group;
        request.epoch = progress.epoch;
        send_message(environment_, *address, std::move(request));
      }
    }
  }
}

void Replica::copy_from_start(CopySource& source) {
  source = CopySource{kFirstCursor, false};
  source.holds_leaving = true;
}

void Replica::note_holds_leaving(std::uint32_t group, std::uint32_t member) {
  GroupProgress& progress = progress_.at(group);
  const auto source = progress.copying.find(member);
  const bool is_member = member < progress.description.replicas.size();
  if (progress.holds_leaving || !is_member || source == progress.copying.end() || source->second.holds_leaving) {
    return;
  }
  // The source may have received records of the leaving members after sending its pages. The copy in progress is
  // completed first: what it brings is not sent twice.
  if (!source->second.complete) {
    source->second.restart_when_complete = true;
    return;
  }
  copy_from_start(source->second);
  request_copies();
}

void Replica::note_whole(std::uint32_t group, std::uint32_t number) {
  GroupProgress& progress = progress_.at(group);
  const auto source = progress.copying.find(number);
  if (progress.whole || source == progress.copying.end() || source->second.whole || !source->second.complete) {
    return;
  }
  // The source may have received the records that made it whole after sending its pages.
  const bool holds_leaving = source->second.holds_leaving;
  source->second = CopySource{kFirstCursor, false};
  source->second.holds_leaving = holds_leaving;
  request_copies();
}

void Replica::handle(const PeerAddress& sender, const wire::CopyRequestT& message) {
  if (message.description) {
    adopt_group(message.group, from_wire(*message.description));
  }
  wire::CopyReplyT reply;
  reply.group = message.group;
  reply.epoch = message.epoch;
  reply.after = message.after;
  reply.status = admit(message.group, message.epoch, true);
  describe_group(message.group, reply);
  if (const auto entry = progress_.find(message.group); entry != progress_.end()) {
    reply.replica = entry->second.index;
    reply.standing = standing(message.group, message.epoch);
    reply.whole = entry->second.whole && entry->second.epoch == message.epoch;
  }
  if (reply.status == wire::ReplicaStatus::Granted) {
    reply.ballots_only = message.keys.empty();
    if (reply.ballots_only) {
      const bool promises = message.after.starts_with("p:");
      const std::string after = message.after.size() > 2 ? message.after.substr(2) : "";
      auto records = page({message.group, "", after, message.limit, promises, false}, reply.truncated);
      if (!succeeded(records)) {
        return;  // The page will be requested again; a partial one would be taken as complete.
      }
      reply.records = std::move(value_of(records));
    } else {
      reply.records = records_of({message.group, message.keys, kCopyPageBytes, true});
    }
  }
  // The records have to be durable here before they can become durable at the copying replica.
  reply_when_durable(sender, std::move(reply));
}

void Replica::merge_promise(std::uint32_t group, const wire::LedgerRecordT& incoming) {
  const Result<Ballot> held = load_promise(group, incoming.key);
  const Ballot promised = from_wire(incoming.promised);
  if (promised > (succeeded(held) ? value_of(held) : Ballot{})) {
    store_promise(group, incoming.key, promised);
  }
}

void Replica::merge_value(std::uint32_t group, const wire::LedgerRecordT& incoming) {
  const auto held = load(group, incoming.key, false);
  const Ballot accepted = from_wire(incoming.accepted);
  if (accepted > (succeeded(held) ? value_of(held).accepted : Ballot{})) {
    store_accept(group, incoming.key, accepted, incoming.value);
    counters_["ledger_copied_records_total"]++;
    counters_["ledger_copied_bytes_total"] += static_cast<CounterValue>(incoming.value.size());
  }
}

void Replica::handle(const PeerAddress& sender, const wire::CopyReplyT& message) {
  if (message.status == wire::ReplicaStatus::StaleEpoch && message.description) {
    adopt_group(message.group, from_wire(*message.description));
    return;
  }
  const auto entry = progress_.find(message.group);
  if (entry == progress_.end() || entry->second.epoch != message.epoch) {
    return;
  }
  GroupProgress& progress = entry->second;
  const auto source_entry = progress.copying.find(message.replica);
  if (source_entry == progress.copying.end()) {
    return;
  }
  if (source_entry->second.after != message.after) {
    merge_late_values(message.group, message);
    return;
  }
  if (message.status == wire::ReplicaStatus::NotReady) {
    // The disk of the source is new as well and has confirmed nothing yet, so the required records are held by the
    // others. Two new disks waiting for each other would never finish.
    source_entry->second.complete = true;
    source_entry->second.wanted.clear();
    counters_["ledger_copy_sources_new_total"]++;
    finish_copy_if_complete(message.group);
    request_copies();
    return;
  }
  if (message.status != wire::ReplicaStatus::Granted) {
    return;
  }
  CopySource& source = source_entry->second;
  note_page(sender, source);
  if (message.ballots_only != source.wanted.empty()) {
    merge_late_values(message.group, message);
    return;
  }
  note_standing(source, message);
  note_page(message.group, progress.description.source(message.replica), message);
  if (message.ballots_only) {
    process_ballots(message.group, source, message);
  } else if (const values_result taken = process_values(message.group, source, message);
             taken == values_result::lost_at_source) {
    // The value has been damaged at the source since it was offered. It may not have been requested from others because
    // of this source, so the copy restarts from all sources.
    counters_["ledger_copies_restarted_total"]++;
    start_copy(message.group);
    return;
  } else if (taken == values_result::known) {
    return;  // Second answer to a page that was requested twice: the next request has been sent already.
  }
  source.values_since = environment_.now();
  if (source.wanted.empty()) {
    source.complete = source.next_after.empty();
    source.after = source.next_after;
  }
  if (source.complete && source.restart_when_complete) {
    copy_from_start(source);
  }
  if (source.complete) {
    finish_copy_if_complete(message.group);
    request_copies();
    return;
  }
  source.reply_timeout = source.wanted.empty() ? kCopyReplyTimeout : kValuesReplyTimeout;
  request_page(sender, message.group, progress, source);
}

void Replica::note_standing(CopySource& source, const wire::CopyReplyT& page) {
  const bool begins = page.ballots_only && page.after == kFirstCursor;
  if (begins) {
    source.votes = page.standing == wire::ReplicaStanding::Admitted;
    source.whole = page.whole;
  }
}

void Replica::process_ballots(std::uint32_t group, CopySource& source, const wire::CopyReplyT& page) {
  const std::string area = page.after.substr(0, 2);
  const bool promises = area == "p:";
  for (const auto& record : page.records) {
    if (is_decision(record->key)) {
      continue;  // Each member votes on a decision by its own record, so decisions are not copied.
    }
    if (promises) {
      // The values are not read: a page of promises is small however large the values of these records are.
      merge_promise(group, *record);
      continue;
    }
    const auto held = load(group, record->key, false);
    const Ballot here = succeeded(held) ? value_of(held).accepted : Ballot{};
    const Ballot there = from_wire(record->accepted);
    if (there <= here) {
      continue;
    }
    if (const auto other = awaited_from(progress_.at(group), record->key, there)) {
      source.deferred_to.insert(*other);
    } else {
      source.wanted.emplace(record->key, there);
    }
  }
  if (page.truncated && !page.records.empty()) {
    source.next_after = area + page.records.back()->key;
  } else {
    source.next_after = promises ? "a:" : "";
  }
}

std::optional<std::uint32_t> Replica::awaited_from(const GroupProgress& progress, const std::string& key,
                                                   const Ballot& ballot) {
  const auto source = std::find_if(progress.copying.begin(), progress.copying.end(), [&](const auto& entry) {
    const auto wanted = entry.second.wanted.find(key);
    const bool member = entry.first < progress.description.replicas.size();
    return member && wanted != entry.second.wanted.end() && wanted->second >= ballot;
  });
  return source == progress.copying.end() ? std::nullopt : std::optional(source->first);
}

void Replica::merge_late_values(std::uint32_t group, const wire::CopyReplyT& values) {
  const GroupProgress& progress = progress_.at(group);
  const bool votes = progress.synchronized && !progress.returning;
  if (votes || values.status != wire::ReplicaStatus::Granted || values.ballots_only) {
    return;
  }
  for (const auto& record : values.records) {
    merge_value(group, *record);
  }
}

Replica::values_result Replica::process_values(std::uint32_t group, CopySource& source,
                                               const wire::CopyReplyT& values) {
  values_result taken = values_result::known;
  for (const auto& record : values.records) {
    const auto wanted = source.wanted.find(record->key);
    if (wanted != source.wanted.end() && from_wire(record->accepted) < wanted->second) {
      return values_result::lost_at_source;
    }
    merge_value(group, *record);
    if (wanted != source.wanted.end()) {
      source.wanted.erase(wanted);
      taken = values_result::wanted;
    }
  }
  return taken;
}

bool Replica::copied_from(const GroupProgress& progress, bool leaving) {
  return std::all_of(progress.copying.begin(), progress.copying.end(), [&](const auto& entry) {
    return (entry.first >= progress.description.replicas.size()) != leaving || entry.second.complete;
  });
}

bool Replica::holds_all_of(const GroupProgress& progress, const CopySource& source) {
  return source.complete && std::all_of(source.deferred_to.begin(), source.deferred_to.end(), [&](std::uint32_t other) {
           return progress.copying.contains(other) && progress.copying.at(other).complete;
         });
}

bool Replica::copied_from_whole(const GroupProgress& progress) {
  return std::any_of(progress.copying.begin(), progress.copying.end(),
                     [&](const auto& entry) { return entry.second.whole && holds_all_of(progress, entry.second); });
}

std::size_t Replica::admitted_copied_from(const GroupProgress& progress, bool recent_leavers) {
  const auto counts = [&](const auto& entry) {
    const std::size_t members = progress.description.replicas.size();
    const bool member = entry.first < members;
    const bool recent_leaver =
        recent_leavers && !member && (recent_leaver_bit(entry.first - members) & progress.recent_leavers) != 0;
    return entry.second.votes && (member || recent_leaver) && holds_all_of(progress, entry.second);
  };
  return static_cast<std::size_t>(std::count_if(progress.copying.begin(), progress.copying.end(), counts));
}

bool Replica::has_copied_all(const GroupProgress& progress, bool holds_leaving) {
  const bool all_members = copied_from(progress, false);
  const std::size_t majority = progress.description.majority();
  if (copied_from_whole(progress)) {
    return true;
  }
  if (all_members && (holds_leaving || progress.whole_in_previous_epoch)) {
    return true;
  }
  return votes(progress) ? 1 + admitted_copied_from(progress, true) >= majority
                         : admitted_copied_from(progress, false) >= majority;
}

bool Replica::newly_holds_leaving(const GroupProgress& progress) {
  const bool told = std::any_of(progress.copying.begin(), progress.copying.end(),
                                [](const auto& entry) { return entry.second.complete && entry.second.holds_leaving; });
  // Values that a leaving member offers may be awaited from a member that holds them as well.
  const bool copied = copied_from(progress, false) && copied_from(progress, true);
  return !progress.holds_leaving && (told || copied);
}

bool Replica::newly_whole(const GroupProgress& progress) {
  const bool holds_leaving = progress.holds_leaving || newly_holds_leaving(progress);
  return !progress.whole && !progress.former && has_copied_all(progress, holds_leaving);
}

void Replica::finish_copy_if_complete(std::uint32_t group) {
  GroupProgress& progress = progress_.at(group);
  const copied_parts parts{newly_holds_leaving(progress), newly_whole(progress)};
  if (!parts.leaving && !parts.whole) {
    end_copy_if_complete(progress);
    return;
  }
  if (progress.awaits_flush) {
    return;
  }
  // Marks must not become durable before the records that they describe.
  progress.awaits_flush = true;
  storage_.flush(lifetime_.guard([this, group, parts, epoch = progress.epoch](const Status& status) {
    const auto entry = progress_.find(group);
    if (entry == progress_.end() || entry->second.epoch != epoch) {
      return;
    }
    entry->second.awaits_flush = false;
    if (!succeeded(status)) {
      counters_["ledger_flush_failures_total"]++;
      return;
    }
    mark_copied(group, parts);
    finish_copy_if_complete(group);  // More may have arrived in the meantime.
  }));
}

void Replica::end_copy_if_complete(GroupProgress& progress) {
  if (copied_from(progress, false) && progress.holds_leaving && (progress.whole || progress.former)) {
    progress.copying.clear();
  }
}

void Replica::mark_copied(std::uint32_t group, copied_parts parts) {
  GroupProgress& progress = progress_.at(group);
  // The copy may have restarted since and lost its progress.
  const bool held = parts.leaving && newly_holds_leaving(progress);
  const bool whole = parts.whole && newly_whole(progress);
  const bool admitted = whole && !votes(progress);
  if (held) {
    progress.holds_leaving = true;
    std::erase_if(progress.copying,
                  [&](const auto& entry) { return entry.first >= progress.description.replicas.size(); });
  }
  if (whole) {
    progress.whole = true;
    counters_["ledger_replicas_whole_total"]++;
  }
  if (admitted) {
    progress.synchronized = true;
    progress.returning = false;
  }
  end_copy_if_complete(progress);
  if (whole || held) {
    store_group_state(group, progress);
  }
  if (admitted) {
    counters_["ledger_replicas_admitted_total"]++;
    announce_admission(group);
    if (on_admitted) {
      on_admitted(group, progress.epoch);
    }
    copies_[group].to_vote = false;
  }
}

void Replica::announce_admission(std::uint32_t group) {
  const GroupProgress& progress = progress_.at(group);
  for (const ReplicaIdentity& member : progress.description.replicas) {
    const auto address = is(member) ? std::nullopt : addresses_(member.node);
    if (address) {
      reply_when_durable(*address, describe_copy(group, progress.epoch));
    }
  }
}

// --- notifications for operators -------------------------------------------------------------

replica_role Replica::role_of(const GroupProgress& progress) {
  if (progress.former) {
    return replica_role::former;
  }
  if (!progress.synchronized) {
    return replica_role::copying;
  }
  return progress.returning ? replica_role::returning : replica_role::voting;
}

copy_reason Replica::reason_of(const GroupProgress& before, const GroupProgress& progress) {
  const replica_role role = role_of(progress);
  if (role != replica_role::copying && role != replica_role::returning) {
    return copy_reason::none;
  }
  if (before.epoch == 0) {
    return copy_reason::new_disk;
  }
  if (!before.synchronized || before.returning) {
    return copy_reason::not_copied_before;
  }
  if (before.former) {
    return copy_reason::was_former;
  }
  return progress.epoch == before.epoch + 1 ? copy_reason::members_not_covered : copy_reason::epochs_missed;
}

void Replica::report_epoch(std::uint32_t group, const GroupProgress& before, const GroupProgress& progress) const {
  if (on_epoch) {
    on_epoch({group, before.epoch, progress.description, role_of(progress), reason_of(before, progress)});
  }
}

void Replica::note_copy_begun(std::uint32_t group) {
  const GroupProgress& progress = progress_.at(group);
  if (progress.former) {
    return;
  }
  const bool to_vote = !progress.synchronized || progress.returning;
  const auto known = copies_.find(group);
  if (known != copies_.end() && known->second.to_vote && to_vote) {
    ++known->second.restarts;
  } else {
    copies_[group] = copy_progress{environment_.now(), to_vote, 0, {}};
  }
  if (on_copy_begun) {
    on_copy_begun(group, progress.epoch);
  }
}

void Replica::note_page(std::uint32_t group, const ReplicaIdentity& source, const wire::CopyReplyT& page) {
  source_progress& counted = copies_[group].sources[source];
  ++counted.pages;
  if (page.ballots_only) {
    return;
  }
  counted.records += page.records.size();
  for (const auto& record : page.records) {
    counted.bytes += record->value.size();
  }
}

const copy_progress* Replica::copy_of(std::uint32_t group) const {
  const auto known = copies_.find(group);
  return known == copies_.end() ? nullptr : &known->second;
}

std::vector<awaited_source> Replica::awaited_sources(std::uint32_t group) const {
  std::vector<awaited_source> awaited;
  const auto entry = progress_.find(group);
  if (entry == progress_.end()) {
    return awaited;
  }
  for (const auto& [number, source] : entry->second.copying) {
    if (!source.complete) {
      awaited.push_back({entry->second.description.source(number), source.asked_at});
    }
  }
  return awaited;
}

void Replica::describe_standing(const wire::ScanRequestT& request, wire::ScanReplyT& reply) const {
  if (reply.status == wire::ReplicaStatus::Granted) {
    return;
  }
  reply.standing = standing(request.group, request.epoch);
  if (const auto entry = progress_.find(request.group); entry != progress_.end()) {
    reply.known_epoch = entry->second.epoch;
  }
  const copy_progress* copy = copy_of(request.group);
  if (reply.standing != wire::ReplicaStanding::Copying || copy == nullptr) {
    return;
  }
  const source_progress total = copy->total();
  reply.copied_records = static_cast<std::uint32_t>(total.records);
  reply.copied_bytes = total.bytes;
  reply.waits_ms = static_cast<std::uint32_t>((environment_.now() - copy->began_at) / 1ms);
}

// --- leaving --------------------------------------------------------------------------------

void Replica::ask_copy_status() {
  for (const auto& [group, progress] : progress_) {
    for (std::uint32_t index = 0; progress.former && index < progress.description.replicas.size(); ++index) {
      const auto address = addresses_(progress.description.replicas[index].node);
      if (progress.handover.is_copied_by(index) || !address) {
        continue;
      }
      wire::CopyStatusRequestT request;
      request.group = group;
      request.epoch = progress.epoch;
      send_message(environment_, *address, std::move(request));
    }
  }
}

void Replica::handle(const PeerAddress& sender, const wire::CopyStatusRequestT& message) {
  wire::CopyStatusT status = describe_copy(message.group, message.epoch);
  if (message.offered) {
    const ReplicaIdentity offered{NodeId(message.offered->node), DiskId(message.offered->disk)};
    status.place_epoch = message.place_epoch;
    place_offer offer{message.group, message.place_epoch, offered, message.although_retiring, std::nullopt};
    if (message.gives_up) {
      offer.gives_up = ReplicaIdentity{NodeId(message.gives_up->node), DiskId(message.gives_up->disk)};
    }
    status.consent = answer_offer(offer);
  }
  reply_when_durable(sender, std::move(status));
}

wire::PlaceConsent Replica::answer_offer(const place_offer& offer) {
  const wire::PlaceConsent answer = offer.gives_up ? answer_sole_decision(offer) : answer_place(offer);
  counters_[std::string("ledger_place_offers_") + name_of(answer) + "_total"]++;
  if (on_place_answered) {
    on_place_answered(offer, answer);
  }
  return answer;
}

wire::PlaceConsent Replica::answer_place(const place_offer& offer) {
  const bool readable = !suspended_ && !group_list_unread_ && unreadable_.empty();
  return readable ? consents_.answer(offer, {self_, disk_}, known_epoch(offer.group)) : wire::PlaceConsent::NotReady;
}

wire::PlaceConsent Replica::answer_sole_decision(const place_offer& offer) const {
  if (!is(offer.disk)) {
    return wire::PlaceConsent::OtherDisk;
  }
  const bool other_is_there = is_there && is_there(*offer.gives_up);
  return other_is_there ? wire::PlaceConsent::MemberThere : wire::PlaceConsent::Given;
}

wire::CopyStatusT Replica::describe_copy(std::uint32_t group, std::uint64_t epoch) const {
  wire::CopyStatusT status;
  status.consent = wire::PlaceConsent::NotAsked;
  status.group = group;
  status.standing = standing(group, epoch);
  if (const auto entry = progress_.find(group); entry != progress_.end()) {
    status.epoch = entry->second.epoch;
    status.replica = entry->second.index;
    status.complete = status.epoch == epoch && entry->second.synchronized && !entry->second.returning &&
                      entry->second.copying.empty();
    status.whole = status.epoch == epoch && entry->second.whole;
  }
  return status;
}

void Replica::handle(const wire::CopyStatusT& message) {
  const auto entry = progress_.find(message.group);
  if (entry == progress_.end() || entry->second.epoch != message.epoch) {
    return;
  }
  if (entry->second.former) {
    if (message.complete) {
      entry->second.handover.note_copied(message.replica);
    }
    return;
  }
  if (message.whole) {
    note_whole(message.group, message.replica);
  }
  if (message.complete) {
    note_holds_leaving(message.group, message.replica);
  }
}

std::vector<pending_handover> Replica::pending_handovers(std::size_t least_copies) const {
  std::vector<pending_handover> pending;
  for (const auto& [group, latest] : latest_epochs_) {
    if (latest.names_former_disk) {
      pending.push_back({group, latest.epoch, 0, least_copies, true});
    }
  }
  for (const auto& [group, progress] : progress_) {
    const std::size_t needed = copies_needed(progress.description, least_copies);
    const std::size_t copies = progress.handover.copies();
    if (!progress.former || copies < needed) {
      pending.push_back({group, progress.epoch, copies, needed, !progress.former});
    }
  }
  return pending;
}

bool Replica::left_all_groups(std::size_t least_copies) const {
  const bool knows_groups = !latest_epochs_.empty() || !progress_.empty();
  const bool all_read = !suspended_ && !group_list_unread_ && unreadable_.empty();
  const bool named_nowhere = open_places().empty() || !guards_.open_consents_block_removal;
  return all_read && knows_groups && named_nowhere && pending_handovers(least_copies).empty();
}

std::uint64_t Replica::known_epoch(std::uint32_t group) const {
  const auto latest = latest_epochs_.find(group);
  const auto progress = progress_.find(group);
  return std::max(latest == latest_epochs_.end() ? 0 : latest->second.epoch,
                  progress == progress_.end() ? 0 : progress->second.epoch);
}

std::vector<open_place> Replica::open_places() const {
  std::vector<open_place> open;
  for (const auto& [group, epoch] : consents_.given()) {
    if (epoch > known_epoch(group)) {
      open.push_back({group, epoch});
    }
  }
  return open;
}

void Replica::note_emptied(std::function<void(Status)> done) {
  consents_.note_emptied();
  storage_.flush(std::move(done));
}

void Replica::cancel_draining() {
  consents_.cancel_draining();
  storage_.flush([](const Status&) {});
}

}  // namespace madderdeck::ledger
