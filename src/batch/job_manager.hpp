#pragma once
/// @file Manages jobs and hands out their items to dispatchers. Several nodes may believe that they manage the same
/// job: each result is written only once, so that an item may run twice but never has two results.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "batch/records.hpp"
#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "ledger/client.hpp"
#include "membership/membership.hpp"
#include "placement/duties.hpp"
#include "policy/policies.hpp"
#include "policy/work_estimate.hpp"

namespace madderdeck::batch {

/// Rules of handing out work; always on in the daemon.
struct ManagerGuards {
  bool lease_jobs = true;        ///< Items are handed out only after a recent read of the job's record.
  bool expire_items = true;      ///< Items that no dispatcher confirms to hold are handed out again.
  bool append_positions = true;  ///< New results are listed after those that are already listed.
  bool merge_positions = true;   ///< Results that other managers have listed stay listed.
};

/// Progress of a job that this node manages.
struct JobProgress {
  JobId job;
  std::uint32_t items = 0;
  std::uint32_t settled = 0;
  std::uint32_t leased = 0;
};

/// Leases the items of the jobs that rank this node first to dispatchers, lists results and completes the jobs. Single
/// threaded.
class JobManager {
 public:
  JobManager(Environment& environment, Counters& counters, ledger::Client& ledger, membership::Membership& members,
             const placement::duties& who, DecisionLog& log, std::shared_ptr<const policy::item_order> order,
             policy::work_estimate& estimate, ManagerGuards guards = {});

  void start();
  void handle(const wire::JobNoticeT& message);
  void handle(const PeerAddress& sender, const wire::TakeItemsT& message);
  void handle(const PeerAddress& sender, const wire::ItemSettledT& message);
  void handle(const PeerAddress& sender, const wire::ItemsHeldT& message);
  /// Called when this node is leaving: sends the progress of unfinished items to the new managers of their jobs.
  void drain();
  std::vector<JobProgress> progress() const;
  /// @return the unsettled tokens of each job managed here whose items state their tokens.
  std::vector<wire::QueuedJobT> queued_jobs() const;
  /// @return the jobs that have ended on this node since the last call.
  std::vector<wire::QueuedJobT> take_ended_jobs();

 private:
  /// The lease of an item that a dispatcher holds.
  struct Lease {
    Timestamp until{};
    PeerAddress holder;
    std::uint64_t incarnation = 0;  ///< Incarnation of the holder's process; 0 if the holder is unknown.
  };
  /// Output of runs that ended before the item was done.
  struct ItemProgress {
    std::string partial;
    std::uint32_t tokens = 0;
    std::string software_version;  ///< That wrote partial; empty: not stated.
    std::uint32_t failed_runs = 0;
    /// The item's end, which the ledger has not taken yet; None: it is to be run.
    wire::ItemFailure failure = wire::ItemFailure::None;
  };
  enum class ItemState : std::uint8_t { pending, leased, settled };
  struct Job {
    wire::JobRecordT record;
    Timestamp confirmed_at{};  ///< Start of the last read that found the job in state Accepted.
    bool confirming = false;
    bool loaded = false;  ///< The keys of the existing results have been read.
    bool completing = false;
    Timestamp hand_out_after{};  ///< Until then, dispatchers report which items they run of a job that was taken over.
    std::vector<ItemState> items;
    std::uint32_t settled = 0;
    std::uint64_t waiting_tokens = 0;  ///< Sum over the items that are not settled.
    std::uint32_t cursor = 0;          ///< No pending item has a lower index.
    std::map<std::uint32_t, Lease> leases;
    std::map<std::uint32_t, Timestamp> first_handed_out;  ///< Keyed by item; only items that are not settled.
    std::map<std::uint32_t, ItemProgress> item_progress;  ///< Progress of items that dispatchers returned unfinished.
    std::map<std::uint32_t, wire::ChunkRecordT> chunks;
    std::set<std::uint32_t> loading_chunks;
    std::set<std::uint32_t> listed;               ///< Items known to be in the order records.
    std::vector<std::uint32_t> unlisted_results;  ///< Settled items that are not in the order records yet.
    std::uint32_t order_segment = 0;
    bool writing_order = false;
    std::set<std::uint32_t> failing_items;  ///< Items whose failure is being written.
    /// @return the failure of an item that has one and is not written yet, or None.
    wire::ItemFailure failure_of(std::uint32_t index) const;
    /// @return whether results are listed in order records, so that their positions never change.
    bool ordered() const { return !record.host.empty(); }
  };

  bool owns(const std::string& job) const;
  /// @return the scheduler that ranks first for @p name.
  const wire::MemberT* highest_ranked_scheduler(const std::string& name) const;
  /// Sends the progress of the job's items to the node that manages the job now.
  void hand_over(const Job& job);
  /// Removes a job that is completed or cancelled.
  void finish(std::map<JobId, Job>::iterator job);
  static wire::QueuedJobT queued_job(const Job& job);
  void apply_settlement(Job& job, const PeerAddress& sender, const wire::ItemSettledT& message);
  /// Applies the messages about @p id that arrived before the job was open on this node.
  void apply_early_messages(const JobId& id);
  /// @return the first ledger group from @p from on that this node scans for jobs; past the last group if none.
  std::uint32_t next_scanned_group(std::uint32_t from) const;
  void notify_owner(const std::string& job);
  void tick();
  void announce_pending();
  void discover_jobs(std::uint32_t group, const std::string& after);
  void open_job(const JobId& job);
  void on_job_record(const JobId& job, Timestamp read_started, Result<ledger::OptionalValue> result);
  void load_results(const JobId& job, const std::string& after);
  void confirm_job(const JobId& job);
  void renew_leases(Job& job, const PeerAddress& holder, const std::vector<std::uint32_t>& items);
  /// @return a new lease for @p holder, starting now.
  Lease lease_of(const PeerAddress& holder) const;
  void expire_leases(Job& job);
  bool holder_is_alive(const Lease& lease) const;
  /// Which items are handed out in one pass over the jobs: all, those that can meet their deadline, or the others.
  enum class HandOutPass : std::uint8_t { any, in_time, late };
  void hand_out(Job& job, const PeerAddress& to, std::uint32_t capacity, HandOutPass pass, wire::GiveItemsT& reply);
  bool in_pass(HandOutPass pass, const Job& job, std::uint32_t index) const;
  bool item_body(Job& job, std::uint32_t index, std::string& body);
  void load_chunk(Job& job, std::uint32_t chunk);
  void settle(Job& job, std::uint32_t index);
  void update_wait_ratio(Job& job, std::uint32_t index);
  const wire::MemberT* scheduler_at(const PeerAddress& address) const;
  void complete_if_done(const JobId& id);
  /// Lists settled items in the job's order records.
  void append_order(const JobId& id);
  void on_order_written(const JobId& id, const Result<ledger::OptionalValue>& result);
  /// Writes failed results for unfinished items once the job's give-up time has passed.
  void fail_overdue_items(const JobId& id);
  /// Writes the failures that dispatchers reported and do not hold any more.
  void write_reported_failures(const JobId& id);
  /// Writes that an item failed for good, unless it has a result.
  /// @return false if the item has to be read before.
  bool write_failure(const JobId& id, std::uint32_t index, wire::ItemFailure failure);
  void on_failure_written(const JobId& id, std::uint32_t index, wire::ItemFailure failure, bool written);

  Environment& environment_;
  Counters& counters_;
  ledger::Client& ledger_;
  membership::Membership& members_;
  const placement::duties& duties_;
  DecisionLog& log_;
  const std::shared_ptr<const policy::item_order> item_order_;
  policy::work_estimate& estimate_;
  const ManagerGuards guards_;
  std::map<JobId, Job> jobs_;
  /// A message about a job that is not open on this node yet.
  struct EarlyMessage {
    Timestamp at{};
    PeerAddress sender;
    wire::ItemSettledT message;
  };
  std::map<JobId, std::vector<EarlyMessage>> early_messages_;
  std::vector<wire::QueuedJobT> closed_jobs_;
  std::set<std::string> finished_jobs_;  ///< Jobs known to be completed or cancelled.
  bool discovering_jobs_ = false;
  Timestamp last_discovery_{};
  Timestamp last_announcement_{};
  /// Ownership of jobs, valid for members_version_.
  mutable std::map<std::string, bool> owned_jobs_;
  mutable std::uint64_t members_version_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::batch
