#include "node/stored_tables.hpp"

#include <algorithm>

namespace madderdeck::node {
namespace {

/// Marks questions of this module among those for the age of a table; the others count from 1.
constexpr std::uint64_t kQuestionNumber = 1ULL << 63U;

std::string folder_of(wire::TableId id) { return "t/" + std::to_string(static_cast<unsigned>(id)) + "/"; }
std::string head_key(wire::TableId id) { return folder_of(id) + "revision"; }
std::string entries_prefix(wire::TableId id) { return folder_of(id) + "e/"; }
std::string entry_key(wire::TableId id, const config::EntryKey& key) {
  return entries_prefix(id) + key.kind + "/" + key.name;
}

/// The record of a table's revision. Its number is the time of day in milliseconds at which it was written.
wire::Bytes encode_head(wire::TableId id, std::uint64_t revision, std::uint64_t unix_ms) {
  wire::TableDeltaT head;
  head.table = id;
  head.up_to = revision;
  head.number = unix_ms;
  return wire::encode_record(head);
}

wire::Bytes encode_entry(const config::Entry& entry) {
  wire::TableEntryT record;
  record.kind = entry.key.kind;
  record.name = entry.key.name;
  record.body = entry.body;
  record.revision = entry.revision;
  record.deleted = entry.deleted;
  return wire::encode_record(record);
}

std::optional<config::Entry> decode_entry(std::string_view bytes) {
  const auto record = wire::decode_record<wire::TableEntryT>(bytes);
  if (!record) {
    return std::nullopt;
  }
  return config::Entry{{record->kind, record->name}, record->body, record->revision, record->deleted};
}

}  // namespace

stored_tables::stored_tables(Environment& environment, Counters& counters, DecisionLog& log,
                             membership::Membership& members, DiskSet disks)
    : environment_(environment), counters_(counters), log_(log), members_(members), disks_(std::move(disks)) {}

void stored_tables::add(wire::TableId id, config::TableReplicator& table) { tables_[id].live = &table; }

void stored_tables::store_in(ledger::Storage& storage) {
  storage_ = &storage;
  if (!read_) {
    read_ = true;
    started_ = environment_.now();
    for (auto& [id, table] : tables_) {
      read(id, table);
    }
    environment_.after(kFirstAsk, lifetime_.guard([this] { ask_disks(); }));
  }
  schedule_write();
}

void stored_tables::read(wire::TableId id, kept_table& table) {
  table.stored.clear();
  const Result<std::optional<wire::Bytes>> bytes = storage_->get(head_key(id));
  if (!succeeded(bytes)) {
    read_ = error_of(bytes).kind == ErrorKind::corrupted && read_;
    note_unread(id, error_of(bytes));
    return;
  }
  if (!value_of(bytes)) {
    return;
  }
  const auto head = wire::decode_record<wire::TableDeltaT>(*value_of(bytes));
  bool whole = head.has_value();
  const Status scanned = storage_->scan(entries_prefix(id), "", [&](std::string_view, std::string_view value) {
    const auto entry = decode_entry(value);
    whole = whole && entry.has_value();
    if (entry) {
      table.stored.push_back(*entry);
      table.on_disk[entry->key] = {entry->revision, entry->deleted};
    }
    return whole;
  });
  if (!succeeded(scanned) || !whole) {
    table.stored.clear();
    table.on_disk.clear();
    note_unread(id,
                succeeded(scanned) ? Error{ErrorKind::corrupted, "a record is not one of a table"} : error_of(scanned));
    return;
  }
  table.stored_revision = head->up_to;
  table.stored_unix_ms = head->number;
  table.waits = !is_replaced(table);
  if (!table.waits) {
    replace_stored(table);
  }
  log_.record("stored_table_read", {{"table", table.live->name()},
                                    {"revision", head->up_to},
                                    {"entries", table.stored.size()},
                                    {"live_revision", table.live->table().revision()}});
}

void stored_tables::note_unread(wire::TableId id, const Error& error) {
  counters_["stored_tables_unread_total"]++;
  log_.record("stored_table_not_read",
              {{"table", wire::EnumNameTableId(id)}, {"error", error_kind_name(error.kind)}, {"detail", error.detail}});
}

std::optional<std::uint64_t> stored_tables::revision_of(wire::TableId id) const {
  const auto table = tables_.find(id);
  if (!read_ || table == tables_.end()) {
    return std::nullopt;
  }
  const std::uint64_t stored = table->second.waits ? table->second.stored_revision : 0;
  return std::max(stored, table->second.live->table().revision());
}

bool stored_tables::handle(const PeerAddress& sender, const wire::RevisionQuestionT& message) {
  if (message.number != kQuestionNumber) {
    return false;
  }
  if (const std::optional<std::uint64_t> revision = revision_of(message.table)) {
    wire::RevisionAnswerT answer;
    answer.table = message.table;
    answer.number = message.number;
    answer.revision = *revision;
    send_message(environment_, sender, std::move(answer));
  }
  return true;
}

bool stored_tables::is_replaced(const kept_table& table) {
  return table.live->as_of().count() > 0 || table.live->table().revision() >= table.stored_revision;
}

bool stored_tables::is_waiting() const {
  return std::any_of(tables_.begin(), tables_.end(), [](const auto& entry) { return entry.second.waits; });
}

void stored_tables::ask_disks() {
  if (!is_waiting()) {
    return;
  }
  environment_.after(kAskInterval, lifetime_.guard([this] { ask_disks(); }));
  const std::set<ledger::ReplicaIdentity> disks = disks_();
  for (auto& [id, table] : tables_) {
    restore_if_newest(id, table);
    if (!table.waits) {
      continue;
    }
    for (const ledger::ReplicaIdentity& disk : disks) {
      ask(id, disk);
    }
  }
}

void stored_tables::ask(wire::TableId id, const ledger::ReplicaIdentity& disk) {
  const wire::MemberT* member = members_.find(disk.node);
  if (member == nullptr || member->disk_id != disk.disk.str() || member->id == members_.self().id) {
    return;
  }
  wire::RevisionQuestionT question;
  question.table = id;
  question.number = kQuestionNumber;
  send_message(environment_, PeerAddress(member->peer_address), std::move(question));
}

bool stored_tables::handle(const PeerAddress& sender, const wire::RevisionAnswerT& message) {
  const auto table = tables_.find(message.table);
  if (message.number != kQuestionNumber || table == tables_.end()) {
    return false;
  }
  for (const ledger::ReplicaIdentity& disk : disks_()) {
    const wire::MemberT* member = members_.find(disk.node);
    if (member != nullptr && member->peer_address == sender.str() && member->disk_id == disk.disk.str()) {
      table->second.heard[disk] = {message.revision, environment_.now()};
    }
  }
  restore_if_newest(message.table, table->second);
  return true;
}

void stored_tables::restore_if_newest(wire::TableId id, kept_table& table) {
  if (!table.waits) {
    return;
  }
  if (is_replaced(table)) {
    replace_stored(table);
    return;
  }
  const Timestamp now = environment_.now();
  std::erase_if(table.heard, [now](const auto& entry) { return now - entry.second.second > kAnswerValid; });
  const std::set<ledger::ReplicaIdentity> disks = disks_();
  const disk_count count{disks.size(), 1 + table.heard.size(), lost_disks(disks)};
  const bool is_newest = std::all_of(table.heard.begin(), table.heard.end(), [&table](const auto& entry) {
    return entry.second.first <= table.stored_revision;
  });
  if (!count.suffices() || !is_newest) {
    return;
  }
  const std::uint64_t unix_ms = environment_.unix_milliseconds();
  const std::uint64_t age_ms = unix_ms > table.stored_unix_ms ? unix_ms - table.stored_unix_ms : 0;
  log_.record("stored_table_restored", {{"table", wire::EnumNameTableId(id)},
                                        {"revision", table.stored_revision},
                                        {"entries", table.stored.size()},
                                        {"written_ms_ago", age_ms},
                                        {"disks_heard", count.heard},
                                        {"disks_lost", count.lost},
                                        {"disks", count.all},
                                        {"waited_ms", (now - started_) / 1ms}});
  counters_["stored_tables_restored_total"]++;
  table.waits = false;
  const std::vector<config::Entry> entries = std::move(table.stored);
  table.stored.clear();
  table.live->restore(entries, table.stored_revision);
}

bool stored_tables::disk_count::suffices() const {
  const std::size_t majority = all / 2 + 1;
  const std::size_t unheard = all - std::min(all, heard + lost);
  return all > 0 && heard + lost >= majority && (unheard == 0 || unheard + lost < majority);
}

std::size_t stored_tables::lost_disks(const std::set<ledger::ReplicaIdentity>& disks) const {
  return static_cast<std::size_t>(std::count_if(disks.begin(), disks.end(), [this](const auto& disk) {
    const wire::MemberT* member = members_.find(disk.node);
    return member != nullptr && member->state == wire::MemberState::Alive && !member->disk_id.empty() &&
           member->disk_id != disk.disk.str();
  }));
}

void stored_tables::replace_stored(kept_table& table) {
  table.waits = false;
  // Entries that only the disk has must not come back at the next start.
  for (const config::Entry& entry : table.stored) {
    table.unwritten.insert(entry.key);
  }
  table.stored.clear();
  table.heard.clear();
  schedule_write();
}

void stored_tables::on_changed(wire::TableId id, const std::vector<config::EntryKey>& keys) {
  const auto found = tables_.find(id);
  if (found == tables_.end()) {
    return;
  }
  kept_table& table = found->second;
  if (table.live->table().revision() == table.stored_revision && !table.waits) {
    return;  // it was given back by this object
  }
  table.unwritten.insert(keys.begin(), keys.end());
  if (table.waits && is_replaced(table)) {
    replace_stored(table);
  }
  schedule_write();
}

void stored_tables::schedule_write() {
  const bool changed =
      std::any_of(tables_.begin(), tables_.end(), [](const auto& entry) { return !entry.second.unwritten.empty(); });
  if (!changed || write_scheduled_ || storage_ == nullptr || !read_) {
    return;
  }
  write_scheduled_ = true;
  const Timestamp now = environment_.now();
  const Duration interval = failure_logged_ ? kRetryInterval : kMinWriteInterval;
  const Duration rest =
      written_at_ ? std::max<Duration>(*written_at_ + interval - now, kWriteDelay) : Duration(kWriteDelay);
  environment_.after(rest, lifetime_.guard([this] { write(); }));
}

void stored_tables::write() {
  write_scheduled_ = false;
  std::vector<ledger::Storage::Entry> batch;
  std::map<wire::TableId, std::set<config::EntryKey>> written;
  for (auto& [id, table] : tables_) {
    // A live table that is behind the disk's is no news; its keys are written once it has caught up.
    if (table.unwritten.empty() || table.waits) {
      continue;
    }
    add_changes(id, table, batch);
    written[id] = std::exchange(table.unwritten, {});
  }
  if (batch.empty()) {
    return;
  }
  written_at_ = environment_.now();
  counters_["stored_tables_writes_total"]++;
  storage_->put_atomically(batch);
  storage_->flush(lifetime_.guard([this, written](const Status& flushed) { note_written(flushed, written); }));
}

void stored_tables::add_changes(wire::TableId id, kept_table& table, std::vector<ledger::Storage::Entry>& batch) const {
  const config::VersionedTable& live = table.live->table();
  const std::size_t before = batch.size();
  for (const config::EntryKey& key : table.unwritten) {
    const config::Entry* present = live.find(key);
    const config::Entry entry = present != nullptr ? *present : config::Entry{key, "", live.revision(), true};
    kept_entry& kept = table.on_disk[key];
    const bool is_kept = entry.deleted ? kept.deleted : kept == kept_entry{entry.revision, false};
    if (!is_kept) {
      kept = {entry.revision, entry.deleted};
      batch.push_back({entry_key(id, key), encode_entry(entry)});
    }
  }
  if (batch.size() > before) {
    table.stored_revision = live.revision();
    batch.push_back({head_key(id), encode_head(id, live.revision(), environment_.unix_milliseconds())});
  }
}

void stored_tables::note_written(const Status& flushed,
                                 const std::map<wire::TableId, std::set<config::EntryKey>>& written) {
  if (succeeded(flushed)) {
    failure_logged_ = false;
    return;
  }
  for (const auto& [id, keys] : written) {
    kept_table& table = tables_[id];
    table.unwritten.insert(keys.begin(), keys.end());
    for (const config::EntryKey& key : keys) {
      table.on_disk.erase(key);
    }
  }
  if (!failure_logged_) {
    counters_["stored_tables_write_failures_total"]++;
    log_.record("stored_tables_not_written",
                {{"error", error_kind_name(error_of(flushed).kind)}, {"detail", error_of(flushed).detail}});
  }
  failure_logged_ = true;
}

}  // namespace madderdeck::node
