#include "common/memory_budget.hpp"

#include <algorithm>

namespace madderdeck {
namespace {

constexpr std::int64_t kHundred = 100;

std::int64_t capacity_of(std::int64_t memory_bytes) {
  return memory_bytes == 0 ? 0 : std::max(memory_bytes - memory_budget::kProgramBytes, memory_budget::kLeastBytes);
}

/// @return up to which size a reservation for @p holder is always granted.
std::int64_t always_granted(memory_holder holder) {
  switch (holder) {
    case memory_holder::live_bodies:
      return memory_budget::kSmallLiveBytes;
    case memory_holder::peer_frames:
      return memory_budget::kSmallFrameBytes;
    case memory_holder::job_bodies:
    case memory_holder::peer_outboxes:
    case memory_holder::backlogs:
      break;
  }
  return 0;
}

/// @return how much of the budget may be in use after a reservation for @p holder beside others.
std::int64_t percent_for(memory_holder holder) {
  switch (holder) {
    case memory_holder::job_bodies:
      return memory_budget::kJobPercent;
    case memory_holder::live_bodies:
      return memory_budget::kLivePercent;
    case memory_holder::peer_frames:
    case memory_holder::peer_outboxes:
    case memory_holder::backlogs:
      break;
  }
  return kHundred;
}

/// @return the same for @p holder alone.
std::int64_t percent_alone_for(memory_holder holder) {
  return holder == memory_holder::job_bodies ? memory_budget::kLivePercent : percent_for(holder);
}

}  // namespace

const char* name_of(memory_holder holder) {
  switch (holder) {
    case memory_holder::job_bodies:
      return "job_bodies";
    case memory_holder::live_bodies:
      return "live_bodies";
    case memory_holder::peer_frames:
      return "peer_frames";
    case memory_holder::peer_outboxes:
      return "peer_outboxes";
    case memory_holder::backlogs:
      break;
  }
  return "backlogs";
}

memory_budget::memory_budget(std::int64_t memory_bytes, Counters& counters, DecisionLog& log)
    : capacity_(capacity_of(memory_bytes)), counters_(counters), log_(log) {}

bool memory_budget::grow(memory_holder holder, std::int64_t had, std::int64_t wanted) {
  if (!fits(holder, had, wanted)) {
    note_refused(holder, wanted);
    return false;
  }
  add(holder, wanted - had);
  return true;
}

bool memory_budget::fits(memory_holder holder, std::int64_t had, std::int64_t wanted) const {
  if (capacity_ == 0 || wanted <= always_granted(holder)) {
    return true;
  }
  const bool is_first_job = holder == memory_holder::job_bodies && held_by(holder) == had;
  const std::int64_t percent = is_first_job ? percent_alone_for(holder) : percent_for(holder);
  return wanted - had <= capacity_ / kHundred * percent - held_;
}

bool memory_budget::could_hold(memory_holder holder, std::int64_t bytes) const {
  return capacity_ == 0 || bytes <= always_granted(holder) || bytes <= capacity_ / kHundred * percent_alone_for(holder);
}

void memory_budget::add(memory_holder holder, std::int64_t bytes) {
  by_holder_.at(static_cast<std::size_t>(holder)) += bytes;
  held_ += bytes;
}

void memory_budget::note_refused(memory_holder holder, std::int64_t bytes) {
  counters_[std::string("memory_refused_") + name_of(holder) + "_total"]++;
  log_.record("memory_refused", {{"holder", name_of(holder)},
                                 {"bytes", bytes},
                                 {"held_bytes", held_},
                                 {"budget_bytes", capacity_},
                                 {"held_by", describe()}});
}

std::string memory_budget::describe() const {
  std::array<memory_holder, kMemoryHolders> holders{};
  for (std::size_t number = 0; number < kMemoryHolders; ++number) {
    holders.at(number) = static_cast<memory_holder>(number);
  }
  std::stable_sort(holders.begin(), holders.end(),
                   [this](memory_holder one, memory_holder other) { return held_by(one) > held_by(other); });
  std::string text;
  for (const memory_holder holder : holders) {
    if (held_by(holder) > 0) {
      text += (text.empty() ? "" : ", ") + std::string(name_of(holder)) + " " + std::to_string(held_by(holder));
    }
  }
  return text;
}

void memory_budget::publish() {
  counters_["memory_budget_bytes"] = capacity_;
  counters_["memory_held_bytes"] = held_;
  for (std::size_t number = 0; number < kMemoryHolders; ++number) {
    const auto holder = static_cast<memory_holder>(number);
    counters_[std::string("memory_held_") + name_of(holder) + "_bytes"] = held_by(holder);
  }
}

bool memory_hold::grow_to(std::int64_t bytes) {
  if (bytes > bytes_ && budget_ && !budget_->grow(holder_, bytes_, bytes)) {
    return false;
  }
  bytes_ = std::max(bytes, bytes_);
  return true;
}

void memory_hold::set(std::int64_t bytes) {
  if (budget_) {
    budget_->add(holder_, bytes - bytes_);
  }
  bytes_ = bytes;
}

}  // namespace madderdeck
