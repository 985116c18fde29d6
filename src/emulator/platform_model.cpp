#include "emulator/platform_model.hpp"

#include <algorithm>

namespace madderdeck::emulator {

std::uint64_t WatchedTable::store(config::Entry entry, const std::string& change_id, Duration lag) {
  entry.revision = ++revision_;
  const config::EntryKey key = entry.key;
  objects_[key] = object_store::StoredObject{std::move(entry), change_id};
  const std::uint64_t revision = revision_;
  const auto reveal = [this, revision] {
    visible_ = std::max(visible_, revision);
    wake();
  };
  if (lag.count() == 0) {
    reveal();
  } else {
    environment_.after(lag, lifetime_.guard(reveal));
  }
  return revision;
}

const object_store::StoredObject* WatchedTable::find(const config::EntryKey& key) const {
  const auto found = objects_.find(key);
  return found == objects_.end() ? nullptr : &found->second;
}

object_store::ChangeList WatchedTable::changes_after(std::uint64_t since) const {
  object_store::ChangeList changes;
  changes.since = since;
  changes.up_to = std::max(since, visible_);
  for (const auto& [key, object] : objects_) {
    if (object.entry.revision > since && object.entry.revision <= visible_) {
      changes.entries.push_back(object.entry);
    }
  }
  std::sort(changes.entries.begin(), changes.entries.end(),
            [](const config::Entry& left, const config::Entry& right) { return left.revision < right.revision; });
  return changes;
}

void WatchedTable::watch(std::uint64_t since, Duration wait, std::function<void(object_store::ChangeList)> done) {
  if (visible_ > since) {
    done(changes_after(since));
    return;
  }
  const std::uint64_t number = ++next_number_;
  waiting_.push_back({number, since, std::move(done)});
  environment_.after(wait, lifetime_.guard([this, number] {
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(), [number](const Waiting& one) { return one.number == number; });
    if (found != waiting_.end()) {
      const Waiting expired = std::move(*found);
      waiting_.erase(found);
      expired.done(changes_after(expired.since));
    }
  }));
}

void WatchedTable::wake() {
  std::list<Waiting> woken;
  woken.swap(waiting_);
  for (const Waiting& one : woken) {
    one.done(changes_after(one.since));
  }
}

Duration WeightStore::reserve(std::uint64_t bytes) {
  const Timestamp now = environment_.now();
  if (free_at_ > now) {
    return free_at_ - now;
  }
  free_at_ = now + Duration(static_cast<Duration::rep>(1e6 * static_cast<double>(bytes) / rate_));
  return Duration::zero();
}

Result<std::uint64_t> compare_and_set(WatchedTable& table, const object_store::PutRequest& request) {
  const object_store::StoredObject* present = table.find(request.key);
  const std::uint64_t standing = present == nullptr || present->entry.deleted ? 0 : present->entry.revision;
  if (standing != request.expected_revision) {
    return Error{ErrorKind::conflict, "revision " + std::to_string(standing) + " stands"};
  }
  return table.store(config::Entry{request.key, request.body, 0, request.remove}, request.change_id, Duration::zero());
}

}  // namespace madderdeck::emulator
