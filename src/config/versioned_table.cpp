#include "config/versioned_table.hpp"

#include <algorithm>
#include <boost/json.hpp>

#include "config/objects.hpp"

namespace madderdeck::config {
namespace {
/// A back end's entry has about 200 bytes, so a node that starts in a fleet of 10,000 back ends has all entries after
/// 40 exchanges. On a link of 30 Mbit/s a delta takes 17 ms.
constexpr std::size_t kMaxBytesPerDelta = 64 * 1024;
constexpr std::size_t kMaxEntriesPerDelta = 512;
constexpr std::size_t kAnnounceFanout = 3;
constexpr std::uint64_t kFarBehindRevisions =
    1'000;  ///< In revisions: more than a burst of changes, less than a full table.
/// Peers of a zone probe each other about once a second. If none of them has the table, at most twice this time is
/// lost.
constexpr Duration kNearPeerWait = 1500ms;
constexpr Duration kPullTimeout = 250ms;
/// Round trip of a datagram. A later reply comes from a busy peer, so the age in it is too uncertain.
constexpr Duration kAgeReplyTimeout = 250ms;
/// A peer is asked for its age only if its claim is fresher than as_of() by at least this.
constexpr Duration kMinAgeImprovement = 300ms;

/// Removes the fields that nodes of an earlier version do not know. Such nodes send pulls without a number, reject a
/// back end's entry that has an unknown field and treat the back end as removed: a node of that version that started
/// beside newer ones had no back end left and refused every request. Pull numbers and the first of these fields were
/// added in the same version.
std::string body_for_earlier_version(const Entry& change) {
  if (change.key.kind != kMachineKind) {
    return change.body;
  }
  boost::system::error_code failure;
  boost::json::value body = boost::json::parse(change.body, failure);
  if (failure || !body.is_object()) {
    return change.body;
  }
  for (const char* later_field : {"started_ms", "warm_up_left_ms"}) {
    body.as_object().erase(later_field);
  }
  return boost::json::serialize(body);
}

}  // namespace

const Entry* VersionedTable::find(const EntryKey& key) const {
  const auto entry = entries_.find(key);
  return entry == entries_.end() || entry->second.deleted ? nullptr : &entry->second;
}

std::vector<const Entry*> VersionedTable::list(const std::string& kind) const {
  std::vector<const Entry*> found;
  for (auto entry = entries_.lower_bound(EntryKey{kind, ""}); entry != entries_.end() && entry->first.kind == kind;
       ++entry) {
    if (!entry->second.deleted) {
      found.push_back(&entry->second);
    }
  }
  return found;
}

std::vector<const Entry*> VersionedTable::changes_after(std::uint64_t since, std::size_t limit) const {
  std::vector<const Entry*> changes;
  for (auto position = by_revision_.lower_bound({since + 1, EntryKey{}}); position != by_revision_.end(); ++position) {
    if (changes.size() >= limit && changes.back()->revision != position->first) {
      break;
    }
    changes.push_back(&entries_.at(position->second));
  }
  return changes;
}

void VersionedTable::hold(const Entry& change) {
  Entry& held = entries_[change.key];
  by_revision_.erase({held.revision, change.key});
  held = change;
  by_revision_.insert({change.revision, change.key});
}

void VersionedTable::delete_missing(std::uint64_t up_to, const std::vector<Entry>& present,
                                    std::vector<EntryKey>& changed) {
  std::set<EntryKey> listed;
  for (const Entry& entry : present) {
    listed.insert(entry.key);
  }
  std::vector<Entry> gone;
  for (const auto& [key, entry] : entries_) {
    if (!entry.deleted && !listed.contains(key)) {
      gone.push_back(Entry{key, "", up_to, true});
    }
  }
  for (const Entry& entry : gone) {
    hold(entry);
    changed.push_back(entry.key);
  }
}

std::vector<EntryKey> VersionedTable::apply(std::uint64_t since, std::uint64_t up_to, const std::vector<Entry>& changes,
                                            bool complete) {
  std::vector<EntryKey> changed;
  if (reject_older_entries && (since > revision_ || up_to <= revision_)) {
    return changed;
  }
  for (const Entry& change : changes) {
    const auto held = entries_.find(change.key);
    if (reject_older_entries && held != entries_.end() && held->second.revision >= change.revision) {
      continue;
    }
    hold(change);
    changed.push_back(change.key);
  }
  if (complete) {
    delete_missing(up_to, changes, changed);
  }
  revision_ = up_to;
  return changed;
}

TableReplicator::TableReplicator(Environment& environment, Counters& counters, wire::TableId id, PeerChoice peers,
                                 OnChange on_change)
    : environment_(environment),
      counters_(counters),
      id_(id),
      peers_(std::move(peers)),
      on_change_(std::move(on_change)) {}

void TableReplicator::apply_from_source(std::uint64_t since, std::uint64_t up_to, const std::vector<Entry>& changes,
                                        bool complete, Timestamp as_of) {
  if (take(since, up_to, changes, complete)) {
    announce();
  }
  // A reply that was overtaken by later changes does not confirm the current state, unless it covers its revision.
  if (up_to >= table_.revision()) {
    advance_as_of(as_of);
  }
}

void TableReplicator::restore(const std::vector<Entry>& entries, std::uint64_t revision) {
  if (revision <= table_.revision()) {
    return;
  }
  restored_ = as_of_.count() == 0;
  if (take(0, revision, entries, false)) {
    announce();
  }
}

void TableReplicator::advance_as_of(Timestamp as_of) {
  as_of_ = std::max(as_of_, as_of);
  if (restored_ && as_of_.count() > 0) {
    restored_ = false;
    if (on_confirmed) {
      on_confirmed();
    }
  }
}

std::uint32_t TableReplicator::age_ms() const {
  if (as_of_.count() == 0) {
    return restored_ ? kRestoredAge : kUnknownAge;
  }
  return static_cast<std::uint32_t>(std::min<std::int64_t>((environment_.now() - as_of_) / 1ms, kRestoredAge - 1));
}

bool TableReplicator::take(std::uint64_t since, std::uint64_t up_to, const std::vector<Entry>& changes, bool complete) {
  const std::uint64_t before = table_.revision();
  const std::vector<EntryKey> changed = table_.apply(since, up_to, changes, complete);
  const bool news = table_.revision() != before && !changed.empty();
  counters_["table_updates_total"] += news ? 1 : 0;
  unchanged_until_ = std::max(as_of_, watched_until_);
  if (!changed.empty()) {
    on_change_(changed);
  }
  return news;
}

void TableReplicator::announce() { feed(peers_(kAnnounceFanout)); }

void TableReplicator::feed(const std::vector<PeerAddress>& peers) {
  for (const PeerAddress& peer : peers) {
    wire::RevisionNoticeT notice;
    notice.table = id_;
    notice.revision = table_.revision();
    notice.age_ms = age_ms();
    send_message(environment_, peer, std::move(notice));
  }
}

void TableReplicator::on_peer_revision(const PeerAddress& peer, std::uint64_t revision, std::uint32_t age_ms) {
  if (revision > table_.revision()) {
    if (revision > claimed_revision_) {
      claimed_revision_ = revision;
      claimant_ = peer;
    }
    if (!pulling_from_ && !waits_for_near(peer)) {
      pull(peer);
    }
    return;
  }
  // This node holds everything that the source had at the time that the peer's claim names.
  const bool known = age_ms < kRestoredAge;
  const Timestamp claimed = known ? environment_.now() - std::chrono::milliseconds(age_ms) : Timestamp{};
  if (!known || claimed < as_of_ + kMinAgeImprovement) {
    return;
  }
  if (!verify_age) {
    advance_as_of(claimed);
  } else if (!age_requested_at_ || environment_.now() - *age_requested_at_ > kAgeReplyTimeout) {
    request_age(peer);
  }
}

bool TableReplicator::is_far_behind() const { return claimed_revision_ > table_.revision() + kFarBehindRevisions; }

bool TableReplicator::waits_for_near(const PeerAddress& peer) {
  if (!is_near_ || !is_far_behind() || is_near_(peer)) {
    near_awaited_until_.reset();
    return false;
  }
  const Timestamp now = environment_.now();
  if (!near_awaited_until_) {
    // The random part staggers the nodes of a zone, so that the first ones to stop waiting pull the table for the
    // others.
    const auto extra = static_cast<Duration::rep>(environment_.random() % kNearPeerWait.count());
    near_awaited_until_ = now + kNearPeerWait + Duration(extra);
  }
  return now < *near_awaited_until_;
}

void TableReplicator::request_age(const PeerAddress& peer) {
  age_requested_at_ = environment_.now();
  counters_["table_age_questions_total"]++;
  wire::RevisionQuestionT question;
  question.table = id_;
  question.number = ++age_request_number_;
  send_message(environment_, peer, std::move(question));
}

void TableReplicator::confirm(Timestamp asked_at, std::uint32_t age_ms) {
  if (age_ms < kRestoredAge) {
    advance_as_of(asked_at - std::chrono::milliseconds(age_ms));
  }
}

void TableReplicator::handle(const PeerAddress& sender, const wire::RevisionQuestionT& message) {
  wire::RevisionAnswerT answer;
  answer.table = id_;
  answer.number = message.number;
  answer.revision = table_.revision();
  answer.age_ms = age_ms();
  send_message(environment_, sender, std::move(answer));
}

void TableReplicator::handle(const wire::RevisionAnswerT& message) {
  if (!age_requested_at_ || message.number != age_request_number_) {
    counters_["table_age_answers_stale_total"]++;
    return;
  }
  const Timestamp asked_at = *age_requested_at_;
  age_requested_at_.reset();
  if (message.revision <= table_.revision()) {
    confirm(asked_at, message.age_ms);
  }
}

void TableReplicator::pull(const PeerAddress& peer) {
  pulling_from_ = peer;
  pulled_at_ = environment_.now();
  const std::uint64_t number = ++pull_number_;
  wire::TablePullT request;
  request.table = id_;
  request.since = table_.revision();
  request.number = number;
  send_message(environment_, peer, std::move(request));
  environment_.after(kPullTimeout, lifetime_.guard([this, number] {
    if (number != pull_number_) {
      return;
    }
    // No reply. The next claim, which comes with a peer's next probe, starts another pull.
    counters_["table_pull_timeouts_total"]++;
    pulling_from_.reset();
    claimed_revision_ = 0;
  }));
}

void TableReplicator::handle(const PeerAddress& sender, const wire::TablePullT& message) {
  wire::TableDeltaT delta;
  delta.table = id_;
  delta.since = message.since;
  delta.number = message.number;
  delta.up_to = table_.revision();
  delta.age_ms = age_ms();
  std::size_t bytes = 0;
  const auto changes = table_.changes_after(message.since, kMaxEntriesPerDelta + 1);
  for (const Entry* change : changes) {
    const bool full = delta.entries.size() >= kMaxEntriesPerDelta || bytes > kMaxBytesPerDelta;
    if (full && delta.entries.back()->revision != change->revision) {
      delta.up_to = delta.entries.back()->revision;
      delta.age_ms = restored_ ? kRestoredAge : kUnknownAge;
      break;
    }
    auto entry = std::make_unique<wire::TableEntryT>();
    entry->kind = change->key.kind;
    entry->name = change->key.name;
    entry->body = message.number == 0 ? body_for_earlier_version(*change) : change->body;
    entry->revision = change->revision;
    entry->deleted = change->deleted;
    bytes += change->body.size();
    delta.entries.push_back(std::move(entry));
  }
  send_message(environment_, sender, std::move(delta));
}

void TableReplicator::handle(const PeerAddress& sender, const wire::TableDeltaT& message) {
  std::vector<Entry> changes;
  for (const auto& entry : message.entries) {
    changes.push_back(Entry{{entry->kind, entry->name}, entry->body, entry->revision, entry->deleted});
  }
  const std::uint64_t before = table_.revision();
  const bool advances = message.since <= before && message.up_to > before;
  if (advances && message.age_ms == kRestoredAge && as_of_.count() == 0) {
    restored_ = true;
  }
  const bool news = take(message.since, message.up_to, changes, false);
  // A revision that is known to be behind is not announced, as the next delta follows immediately.
  if (news && table_.revision() >= claimed_revision_) {
    announce();
  }
  if (!pulling_from_ || *pulling_from_ != sender) {
    return;
  }
  if (message.number == pull_number_ && message.up_to <= table_.revision()) {
    confirm(pulled_at_, message.age_ms);
  }
  ++pull_number_;
  pulling_from_.reset();
  if (claimed_revision_ <= table_.revision()) {
    return;
  }
  if (table_.revision() > before || sender != claimant_) {
    const bool continues_with_sender = table_.revision() > before && is_far_behind() && is_near_ && is_near_(sender);
    pull(continues_with_sender ? sender : claimant_);
  } else {
    claimed_revision_ = 0;  // the claimant does not hold the claimed revision; immediate retries would never end
  }
}

}  // namespace madderdeck::config
