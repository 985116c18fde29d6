#include "simulation/fleet.hpp"

#include <algorithm>

#include "simulation/support.hpp"

namespace madderdeck::simulation {

Result<std::optional<wire::Bytes>> SimStorage::get(const std::string& key) const {
  const auto found = visible_.find(key);
  return found == visible_.end() ? std::optional<wire::Bytes>() : std::optional(found->second);
}

void SimStorage::put(const std::string& key, const wire::Bytes& value) {
  visible_[key] = value;
  unflushed_[key] = {++writes_, value};
  log_.push_back({writes_, key, value});
}

void SimStorage::put_atomically(const std::vector<Entry>& entries) {
  for (const Entry& entry : entries) {
    put(entry.key, entry.value);  // a crash takes all that was not flushed
  }
}

Status SimStorage::scan(const std::string& prefix, const std::string& after,
                        const std::function<bool(std::string_view, std::string_view)>& visit) const {
  auto entry = after > prefix ? visible_.upper_bound(after) : visible_.lower_bound(prefix);
  for (; entry != visible_.end() && entry->first.starts_with(prefix); ++entry) {
    const auto& bytes = entry->second;
    if (!visit(entry->first, std::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()))) {
      return Ok{};
    }
  }
  return Ok{};
}

void SimStorage::flush(std::function<void(Status)> done) {
  auto writes = std::make_shared<std::map<std::string, Write>>(unflushed_);
  process_.schedule(jitter(world_, 500us, 2ms), [this, writes, up_to = writes_, done = std::move(done)] {
    for (const auto& [key, write] : *writes) {
      std::uint64_t& flushed = flushed_[key];
      if (write.number < flushed) {
        continue;
      }
      flushed = write.number;
      durable_[key] = write.value;
      const auto pending = unflushed_.find(key);
      if (pending != unflushed_.end() && pending->second.number == write.number) {
        unflushed_.erase(pending);
      }
    }
    while (!log_.empty() && log_.front().number <= up_to) {
      log_.pop_front();
    }
    done(Ok{});
  });
}

void SimStorage::crash() {
  visible_ = durable_;
  unflushed_.clear();
  log_.clear();
}

void SimStorage::lose_power() {
  constexpr unsigned kNothingKeptPercent = 25;
  constexpr unsigned kAllKeptPercent = 25;
  std::uint64_t kept = world_.random.below(log_.size() + 1);
  if (world_.random.chance(kNothingKeptPercent)) {
    kept = 0;
  } else if (world_.random.chance(kAllKeptPercent)) {
    kept = log_.size();
  }
  for (std::uint64_t write = 0; write < kept; ++write) {
    durable_[log_[write].key] = log_[write].value;
    flushed_[log_[write].key] = log_[write].number;
  }
  crash();
}

void SimStorage::wipe() {
  visible_.clear();
  durable_.clear();
  unflushed_.clear();
  flushed_.clear();
  log_.clear();
}

}  // namespace madderdeck::simulation
