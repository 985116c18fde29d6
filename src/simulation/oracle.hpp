#pragma once
/// @file What must hold, kept as simply as possible and apart from the code under test.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/environment.hpp"

namespace madderdeck::simulation {

/// Runs of a listed item that engines have to fail before it may be listed as failed.
inline constexpr unsigned kListedAttempts = 3;

/// The promises, as they are named in results and in docs/INVARIANTS.md.
enum class Promise {
  item_exactly_once,
  cancelled_job_stops,
  live_never_behind_batch,
  whole_own_answer,
  not_run_is_true,
  at_most_once,
  leaving_gets_no_work,
  planned_stop_cuts_nothing,
  configuration_never_reverts,
  fatal_request_contained,
  results_keep_positions,
  group_stays_readable,
  job_readable_in_time,
  successor_taken_in,
  epoch_names_disks_that_exist,
  broken_off_never_whole,
  stream_keeps_version,
  interrupted_item_runs_again,
  fatal_part_contained,
};
inline constexpr std::size_t kPromises = 19;
const char* promise_name(Promise promise);

/// How much of each kind of load and fault there was; a kind that never ran shows nothing.
struct LoadCounts {
  std::uint64_t accepted_items = 0;
  std::uint64_t completed_items = 0;
  std::uint64_t non_repeatable_sent = 0;
  std::uint64_t cancelled_jobs = 0;
  std::uint64_t config_changes = 0;
  std::uint64_t live_answered = 0;
  std::uint64_t planned_stops = 0;
  std::uint64_t streams_resumed = 0;                     ///< Attempts of clients that had events before.
  std::uint64_t resumed_streams_finished = 0;            ///< Streams that came to their end after that.
  std::map<std::string, std::uint64_t> resumes_refused;  ///< By kind of error.
  std::map<std::string, std::uint64_t> faults;

  void add(const LoadCounts& other);
  /// @return whether every kind of load ran at least once.
  bool every_load_ran() const;
};

/// One replica group as a look from outside shows it.
struct GroupSight {
  bool whole_majority = false;  ///< A majority of its members' disks hold all of it.
  bool bears_a_loss = false;    ///< ... also without as many of them as may be lost at once.
  bool can_vote = false;        ///< A majority of its members run, reach each other and vote.
  std::string members;          ///< Who they are and how they stand.
};

/// How long the groups and jobs took to be back.
struct RecoveryTimes {
  std::vector<Duration> job_after_majority;    ///< From when its group could vote again until a job was read.
  std::vector<Duration> job_after_all_back;    ///< The same from when all machines were back.
  std::vector<Duration> group_after_all_back;  ///< From then until the group could vote; zero: it always could.
  void add(const RecoveryTimes& other);
};

struct Violation {
  Promise promise;
  std::string detail;
  Timestamp at{};
};

/// Knows only what callers were told and what back ends did.
class Oracle {
 public:
  void violated(Promise promise, std::string detail, Timestamp at);
  const std::vector<Violation>& violations() const { return violations_; }

  // Requests that may not be repeated.
  void service_ran(const std::string& key, Timestamp at);
  std::uint64_t runs_of(const std::string& key) const;

  // Live requests: prompts are unique.
  void engine_took(const std::string& prompt) { taken_prompts_.insert(prompt); }
  /// An engine failed a run of the item with that prompt.
  void item_run_failed(const std::string& prompt) { ++failed_runs_[prompt]; }
  void item_run_began(const std::string& prompt, Timestamp at);
  /// @return whether an item with that prompt may be listed as failed.
  bool may_have_failed(const std::string& prompt) const;
  bool engine_has_taken(const std::string& prompt) const { return taken_prompts_.contains(prompt); }

  // Requests that end every engine that begins to run them.
  void fatal_request_sent(const std::string& body, bool by_node_in_touch, Timestamp at);
  void engine_ended_under(const std::string& body, Timestamp at);
  struct FatalRequest {
    unsigned ends = 0;
    Timestamp third_end_at{};
    unsigned sent_after = 0;       ///< After the third end.
    unsigned sent_long_after = 0;  ///< When every node in touch had to know of it.
  };
  const std::map<std::string, FatalRequest>& fatal_requests() const { return fatal_; }

  // Requests with a part in their prompts that ends every engine which begins to write an answer on it.
  void fatal_part_sent(const std::string& part, bool by_node_in_touch, Timestamp at);
  void engine_ended_under_part(const std::string& part, Timestamp at);
  struct FatalPart {
    unsigned ends = 0;
    Timestamp fifth_end_at{};      ///< The last one so far while there are fewer.
    unsigned sent_long_after = 0;  ///< When every node in touch had to know of the fifth end.
  };
  const std::map<std::string, FatalPart>& fatal_parts() const { return fatal_parts_; }
  /// @return when an engine ended under any such part for the first time.
  std::optional<Timestamp> first_part_crash() const { return first_part_crash_; }
  /// @return when the last fatal part ended its fifth engine, or its last one where it has ended fewer.
  std::optional<Timestamp> telling_part_crash() const { return telling_part_crash_; }

  // Jobs.
  void job_accepted(const std::string& job, std::uint32_t items, std::uint64_t number);
  /// A cancel was sent; until its outcome is known the job need not complete.
  void job_cancel_sent(const std::string& job) { jobs_[job].cancel_sent = true; }
  void job_cancelled(const std::string& job, Timestamp at);
  void item_started(const std::string& job, std::uint32_t index, Timestamp at);
  /// An engine ended while it ran @p item.
  void engine_ended_under_item(const std::string& item) { ++item_ends_[item]; }
  /// @return the most engines that ended under one item.
  unsigned most_item_ends() const;
  /// A result was read; it has to be the same at every reading.
  void result_read(const std::string& job, std::uint32_t index, const std::string& body, Timestamp at);

  /// The result of item @p index was read at @p position; both have to be the same at every reading.
  void position_read(const std::string& job, std::uint32_t position, std::uint32_t index, const std::string& body,
                     Timestamp at);

  // Configuration.
  void declaration_accepted(const std::string& name, std::uint64_t revision, const std::string& body);
  /// A node holds @p revision of an object; it may never hold an older one in the same life.
  void node_holds(const std::string& node_life, const std::string& name, std::uint64_t revision, Timestamp at);

  // Replica groups under losses.
  void group_seen(std::uint32_t group, GroupSight sight, Timestamp at);
  bool bears_a_loss(std::uint32_t group) const {
    const auto found = groups_.find(group);
    return found != groups_.end() && found->second.sight.bears_a_loss;
  }
  /// A disk was lost, or power.
  void loss_seen(Timestamp at) { last_loss_at_ = at; }
  /// All machines have been back for as long as the service may rest.
  void recovery_is_due(Timestamp at);
  /// A job can not be read although recovery is due.
  void job_unread(const std::string& job, std::uint32_t group, Timestamp at);

  /// An epoch has been decided that names a disk of which its machine had said that it holds nothing any more, or all
  /// machines have long been back and no majority of a group's disks exists.
  void epoch_names_gone_disk(std::uint32_t group, const std::string& detail, Timestamp at);

  /// A group would not bear another loss although all machines with a disk have been back since @p since, for as long
  /// as one is given to catch up.
  void successor_not_taken_in(std::uint32_t group, Timestamp since, Timestamp at);

  struct Job {
    std::uint32_t items = 0;
    std::uint64_t number = 0;
    bool cancel_sent = false;
    bool cancelled = false;
    Timestamp cancelled_at{};
    std::map<std::uint32_t, std::string> results;        ///< By index.
    std::map<std::uint32_t, std::uint32_t> at_position;  ///< Indexes, where results have positions.
  };
  struct Declaration {
    std::uint64_t revision = 0;
    std::string body;
  };
  const std::map<std::string, Job>& jobs() const { return jobs_; }
  const std::map<std::string, Declaration>& declarations() const { return declarations_; }

  LoadCounts counts;
  RecoveryTimes recovery;

 private:
  struct Group {
    GroupSight sight;
    std::optional<Timestamp> whole_at;  ///< When a majority of its disks last held all of it.
  };
  std::map<std::uint32_t, Group> groups_;
  Timestamp last_loss_at_{};
  std::vector<Violation> violations_;
  std::map<std::string, std::uint64_t> runs_;
  std::set<std::string> taken_prompts_;
  std::map<std::string, unsigned> failed_runs_;  ///< Of listed items, by prompt.
  std::map<std::string, FatalRequest> fatal_;
  std::map<std::string, FatalPart> fatal_parts_;
  std::optional<Timestamp> first_part_crash_;
  std::optional<Timestamp> telling_part_crash_;
  std::map<std::string, unsigned> item_ends_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Declaration> declarations_;
  std::map<std::string, std::map<std::string, std::uint64_t>> held_;
};

}  // namespace madderdeck::simulation
