#pragma once
/// @file Jobs that this node hands out item by item. Any number of nodes may believe that
/// they manage a job: results are written once, so that only work is doubled, never effect.

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
  bool lease_jobs = true;        ///< Items are handed out only under a fresh reading of the job's record.
  bool expire_items = true;      ///< Items that nobody says they hold are handed out again.
  bool append_positions = true;  ///< New results come after those that are listed.
  bool merge_positions = true;   ///< What other managers have listed stays.
};

/// Progress of a job that this node manages.
struct JobProgress {
  JobId job;
  std::uint32_t items = 0;
  std::uint32_t settled = 0;
  std::uint32_t leased = 0;
};

/// Single threaded.
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
  /// This node is leaving: what items have made goes to the nodes that look after their jobs from now on.
  void drain();
  std::vector<JobProgress> progress() const;
  /// @return what is still to be done of the jobs managed here whose items state their tokens.
  std::vector<wire::QueuedJobT> queued_jobs() const;
  /// @return jobs that have ended here since the last call.
  std::vector<wire::QueuedJobT> take_closed();

 private:
  /// An item given to a dispatcher.
  struct Lease {
    Timestamp until{};
    PeerAddress holder;
    std::uint64_t incarnation = 0;  ///< Of the holder's process.
  };
  /// What a run that ended early has made.
  struct Progress {
    std::string partial;
    std::uint32_t tokens = 0;
    std::uint32_t failed_runs = 0;
  };
  enum class ItemState : std::uint8_t { pending, leased, settled };
  struct Job {
    wire::JobRecordT record;
    Timestamp confirmed_at{};  ///< Start of the last reading that showed the job accepted.
    bool confirming = false;
    bool loaded = false;  ///< Earlier results have been read.
    bool completing = false;
    Timestamp hand_out_after{};  ///< Until then, those who run items of a job taken over from another node say so.
    std::vector<ItemState> items;
    std::uint32_t settled = 0;
    std::uint64_t waiting_tokens = 0;  ///< Of the items that are not settled.
    std::uint32_t cursor = 0;          ///< No pending item lies before it.
    std::map<std::uint32_t, Lease> leases;
    std::map<std::uint32_t, Timestamp> first_handed_out;  ///< Of items that are not settled.
    std::map<std::uint32_t, Progress> unfinished;         ///< What earlier runs of given-back items left.
    std::map<std::uint32_t, wire::ChunkRecordT> chunks;
    std::set<std::uint32_t> loading_chunks;
    std::set<std::uint32_t> listed;            ///< Items known to stand in the order records.
    std::vector<std::uint32_t> order_pending;  ///< Settled items that are to be listed.
    std::uint32_t order_segment = 0;
    bool ordering = false;
    std::set<std::uint32_t> giving_up;
    /// @return whether results are listed in a lasting order.
    bool ordered() const { return !record.host.empty(); }
  };

  bool owns(const std::string& job) const;
  /// @return the scheduler that ranks first for @p name.
  const wire::MemberT* best_ranked(const std::string& name) const;
  void hand_over(const Job& job);
  /// The job needs nothing more.
  void finish(std::map<JobId, Job>::iterator job);
  static wire::QueuedJobT queued_job(const Job& job);
  void apply(Job& job, const PeerAddress& sender, const wire::ItemSettledT& message);
  /// Applies what came about @p id before its job was open here.
  void apply_early(const JobId& id);
  /// @return the first group from @p from on that this node looks through; past the last if none.
  std::uint32_t next_watched_group(std::uint32_t from) const;
  void tell_owner(const std::string& job);
  void tick();
  void announce_pending();
  void discover(std::uint32_t group, const std::string& after);
  void open_job(const JobId& job);
  void on_job_record(const JobId& job, Timestamp read_started, Result<ledger::OptionalValue> result);
  void load_results(const JobId& job, const std::string& after);
  void confirm(const JobId& job);
  void renew_leases(Job& job, const PeerAddress& holder, const std::vector<std::uint32_t>& items);
  /// @return the lease that @p holder has from now on.
  Lease lease_of(const PeerAddress& holder) const;
  void expire_leases(Job& job);
  bool holder_lives(const Lease& lease) const;
  /// What is handed out in one pass over the jobs.
  enum class Pass : std::uint8_t { any, in_time, late };
  void hand_out(Job& job, const PeerAddress& to, std::uint32_t capacity, Pass pass, wire::GiveItemsT& reply);
  bool belongs_to(Pass pass, const Job& job, std::uint32_t index) const;
  bool item_body(Job& job, std::uint32_t index, std::string& body);
  void load_chunk(Job& job, std::uint32_t chunk);
  void settle(Job& job, std::uint32_t index);
  void learn_stretch(Job& job, std::uint32_t index);
  const wire::MemberT* scheduler_at(const PeerAddress& address) const;
  void complete_if_done(const JobId& id);
  /// Lists settled items in the job's order records.
  void append_order(const JobId& id);
  void on_order_written(const JobId& id, const Result<ledger::OptionalValue>& result);
  /// Fails what is unfinished when the time for it is over.
  void give_up_late_items(const JobId& id);

  Environment& environment_;
  Counters& counters_;
  ledger::Client& ledger_;
  membership::Membership& members_;
  const placement::duties& duties_;
  DecisionLog& log_;
  const std::shared_ptr<const policy::item_order> order_;
  policy::work_estimate& estimate_;
  const ManagerGuards guards_;
  std::map<JobId, Job> jobs_;
  /// Told about a job that is not open here yet.
  struct Early {
    Timestamp at{};
    PeerAddress sender;
    wire::ItemSettledT message;
  };
  std::map<JobId, std::vector<Early>> early_;
  std::vector<wire::QueuedJobT> closed_;
  std::set<std::string> finished_;  ///< Jobs known to need nothing more.
  bool discovering_ = false;
  Timestamp last_discovery_{};
  Timestamp last_announcement_{};
  /// Ownership of jobs as of members_version_.
  mutable std::map<std::string, bool> owned_;
  mutable std::uint64_t members_version_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::batch
