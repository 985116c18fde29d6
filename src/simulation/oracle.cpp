#include "simulation/oracle.hpp"

#include <algorithm>
#include <array>

#include "simulation/support.hpp"

namespace madderdeck::simulation {
namespace {
/// A cancelled job's items may still start for this long: the job lease of 2 s and a margin.
constexpr Duration kCancelGrace = 3s;
/// After so many ends nodes in touch may send the request this many times more, once kContact has passed.
constexpr unsigned kEndsThatTell = 3;
constexpr unsigned kSendsBorne = 3;
/// The same for all requests that share a part of their prompts.
constexpr unsigned kPartEndsThatTell = 5;
constexpr Duration kContact = 3s;
/// Engines that end take the count of failed runs with them; items may be run for so many times their attempts.
constexpr unsigned kRunsBorne = 3;

template <class Element>
void append(std::vector<Element>& to, const std::vector<Element>& from) {
  to.insert(to.end(), from.begin(), from.end());
}
}  // namespace

const char* promise_name(Promise promise) {
  static constexpr std::array<const char*, kPromises> kNames = {
      "item_exactly_once",       "cancelled_job_stops",       "live_never_behind_batch",
      "whole_own_answer",        "not_run_is_true",           "at_most_once",
      "leaving_gets_no_work",    "planned_stop_cuts_nothing", "configuration_never_reverts",
      "fatal_request_contained", "results_keep_positions",    "group_stays_readable",
      "job_readable_in_time",    "successor_taken_in",        "epoch_names_disks_that_exist",
      "broken_off_never_whole",  "stream_keeps_version",      "interrupted_item_runs_again",
      "fatal_part_contained"};
  return kNames.at(static_cast<std::size_t>(promise));
}

void RecoveryTimes::add(const RecoveryTimes& other) {
  append(job_after_majority, other.job_after_majority);
  append(job_after_all_back, other.job_after_all_back);
  append(group_after_all_back, other.group_after_all_back);
}

void Oracle::item_run_began(const std::string& prompt, Timestamp at) {
  const auto failed = failed_runs_.find(prompt);
  if (failed != failed_runs_.end() && failed->second >= kRunsBorne * kListedAttempts) {
    violated(Promise::item_exactly_once, prompt + " was run after " + std::to_string(failed->second) + " failed runs",
             at);
  }
}

bool Oracle::may_have_failed(const std::string& prompt) const {
  const auto failed = failed_runs_.find(prompt);
  return failed != failed_runs_.end() && failed->second >= kListedAttempts;
}

void LoadCounts::add(const LoadCounts& other) {
  accepted_items += other.accepted_items;
  completed_items += other.completed_items;
  non_repeatable_sent += other.non_repeatable_sent;
  cancelled_jobs += other.cancelled_jobs;
  config_changes += other.config_changes;
  live_answered += other.live_answered;
  planned_stops += other.planned_stops;
  streams_resumed += other.streams_resumed;
  resumed_streams_finished += other.resumed_streams_finished;
  for (const auto& [kind, count] : other.resumes_refused) {
    resumes_refused[kind] += count;
  }
  for (const auto& [kind, count] : other.faults) {
    faults[kind] += count;
  }
}

bool LoadCounts::every_load_ran() const {
  return accepted_items > 0 && completed_items > 0 && non_repeatable_sent > 0 && cancelled_jobs > 0 &&
         config_changes > 0 && live_answered > 0 && planned_stops > 0;
}

void Oracle::violated(Promise promise, std::string detail, Timestamp at) {
  violations_.push_back({promise, std::move(detail), at});
}

void Oracle::service_ran(const std::string& key, Timestamp at) {
  if (++runs_[key] > 1) {
    violated(Promise::at_most_once, "key " + key + " ran again", at);
  }
}

std::uint64_t Oracle::runs_of(const std::string& key) const {
  const auto found = runs_.find(key);
  return found == runs_.end() ? 0 : found->second;
}

void Oracle::fatal_request_sent(const std::string& body, bool by_node_in_touch, Timestamp at) {
  FatalRequest& request = fatal_[body];
  if (request.ends < kEndsThatTell) {
    return;
  }
  ++request.sent_after;
  if (by_node_in_touch && at > request.third_end_at + kContact && ++request.sent_long_after > kSendsBorne) {
    violated(Promise::fatal_request_contained,
             body + " was sent once more after " + std::to_string(request.ends) + " engines had ended under it", at);
  }
}

void Oracle::engine_ended_under(const std::string& body, Timestamp at) {
  FatalRequest& request = fatal_[body];
  if (++request.ends == kEndsThatTell) {
    request.third_end_at = at;
  }
}

void Oracle::fatal_part_sent(const std::string& part, bool by_node_in_touch, Timestamp at) {
  FatalPart& known = fatal_parts_[part];
  const bool late = known.ends >= kPartEndsThatTell && at > known.fifth_end_at + kContact;
  if (late && by_node_in_touch && ++known.sent_long_after > kSendsBorne) {
    violated(Promise::fatal_part_contained,
             part + " was sent once more after " + std::to_string(known.ends) + " engines had ended under it", at);
  }
}

void Oracle::engine_ended_under_part(const std::string& part, Timestamp at) {
  FatalPart& known = fatal_parts_[part];
  if (!first_part_crash_) {
    first_part_crash_ = at;
  }
  if (++known.ends <= kPartEndsThatTell) {
    known.fifth_end_at = at;
    telling_part_crash_ = at;
  }
}

unsigned Oracle::most_item_ends() const {
  unsigned most = 0;
  for (const auto& [item, ends] : item_ends_) {
    most = std::max(most, ends);
  }
  return most;
}

void Oracle::job_accepted(const std::string& job, std::uint32_t items, std::uint64_t number) {
  const auto [entry, inserted] = jobs_.try_emplace(job);
  if (inserted) {
    entry->second.items = items;
    entry->second.number = number;
    counts.accepted_items += items;
  }
}

void Oracle::job_cancelled(const std::string& job, Timestamp at) {
  Job& entry = jobs_[job];
  if (!entry.cancelled) {
    entry.cancelled = true;
    entry.cancelled_at = at;
    ++counts.cancelled_jobs;
  }
}

void Oracle::item_started(const std::string& job, std::uint32_t index, Timestamp at) {
  const auto entry = jobs_.find(job);
  if (entry != jobs_.end() && entry->second.cancelled && at > entry->second.cancelled_at + kCancelGrace) {
    violated(Promise::cancelled_job_stops, job + " item " + std::to_string(index) + " started after the cancel", at);
  }
}

void Oracle::result_read(const std::string& job, std::uint32_t index, const std::string& body, Timestamp at) {
  const auto [entry, inserted] = jobs_[job].results.try_emplace(index, body);
  if (inserted) {
    ++counts.completed_items;
  } else if (entry->second != body) {
    violated(Promise::item_exactly_once, job + " item " + std::to_string(index) + " changed its result", at);
  }
}

void Oracle::position_read(const std::string& job, std::uint32_t position, std::uint32_t index, const std::string& body,
                           Timestamp at) {
  auto& positions = jobs_[job].at_position;
  const auto [entry, first] = positions.try_emplace(position, index);
  if (entry->second != index) {
    violated(Promise::results_keep_positions,
             job + " position " + std::to_string(position) + " held item " + std::to_string(entry->second) +
                 ", now item " + std::to_string(index),
             at);
  }
  for (const auto& [other, item] : positions) {
    if (first && other != position && item == index) {
      violated(Promise::results_keep_positions, job + " lists item " + std::to_string(index) + " twice", at);
    }
  }
  result_read(job, index, body, at);
}

void Oracle::declaration_accepted(const std::string& name, std::uint64_t revision, const std::string& body) {
  Declaration& known = declarations_[name];
  ++counts.config_changes;
  if (revision > known.revision) {
    known = {revision, body};
  }
}

void Oracle::node_holds(const std::string& node_life, const std::string& name, std::uint64_t revision, Timestamp at) {
  std::uint64_t& held = held_[node_life][name];
  if (revision < held) {
    violated(Promise::configuration_never_reverts, node_life + " went back on " + name, at);
  }
  held = revision;
}

void Oracle::group_seen(std::uint32_t group, GroupSight sight, Timestamp at) {
  Group& known = groups_[group];
  if (sight.whole_majority) {
    known.whole_at = at;
  }
  known.sight = std::move(sight);
}

void Oracle::recovery_is_due(Timestamp at) {
  for (const auto& [number, group] : groups_) {
    const bool was_whole = group.whole_at && *group.whole_at >= last_loss_at_ - kRecover;
    if (!group.sight.can_vote && was_whole) {
      violated(Promise::group_stays_readable,
               "group " + std::to_string(number) + " cannot vote: " + group.sight.members, at);
    }
  }
}

void Oracle::successor_not_taken_in(std::uint32_t group, Timestamp since, Timestamp at) {
  violated(Promise::successor_taken_in,
           "group " + std::to_string(group) + " bears no further loss, all with a disk are back since " +
               std::to_string(since / 1ms) + " ms: " + groups_[group].sight.members,
           at);
}

void Oracle::epoch_names_gone_disk(std::uint32_t group, const std::string& detail, Timestamp at) {
  violated(Promise::epoch_names_disks_that_exist, "group " + std::to_string(group) + " " + detail, at);
}

void Oracle::job_unread(const std::string& job, std::uint32_t group, Timestamp at) {
  violated(Promise::job_readable_in_time,
           job + " of group " + std::to_string(group) + " cannot be read, " + groups_[group].sight.members, at);
}

}  // namespace madderdeck::simulation
