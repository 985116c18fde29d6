#pragma once
/// @file Limits the tokens that wait on a route, summed over all nodes. See docs/design/queue-limits.md.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "batch/records.hpp"
#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "ledger/client.hpp"
#include "membership/membership.hpp"

namespace madderdeck::batch {

/// A job that asks for admission to the queue of a route.
struct admission_request {
  std::string route;
  JobId job;
  std::uint64_t tokens = 0;
  std::uint64_t limit = 0;  ///< Tokens that may wait on the route; 0: no limit.

  auto operator<=>(const admission_request&) const = default;
};

enum class admission_verdict : std::uint8_t {
  admitted,
  full,    ///< The job does not fit within the limit at present.
  unsure,  ///< This node cannot decide; the job was not admitted.
};

struct admission {
  admission_verdict verdict = admission_verdict::unsure;
  Duration retry_after{};  ///< Time after which to ask again; zero where admitted.

  auto operator<=>(const admission&) const = default;
};
using AdmissionDone = std::function<void(admission)>;

/// Every node keeps a view of the open jobs of all limited routes. A node that admits a job announces it before the job
/// is written; nodes that manage jobs report the tokens that still wait. Far below the limit a node decides by its own
/// view. Near the limit it asks the route's keeper, the scheduler that ranks first for the route by rendezvous hashing,
/// so that two nodes never grant the same tokens. Single threaded.
class queue_limiter {
 public:
  queue_limiter(Environment& environment, Counters& counters, ledger::Client& ledger, membership::Membership& members,
                DecisionLog& log);

  void start();
  /// @param limit the lowest limit of any route; 0 if no route has a limit, and then nothing is read or reported.
  void set_lowest_limit(std::uint64_t limit);
  bool limited() const { return lowest_limit_ > 0; }
  /// Decides whether to admit a job; @p done may run before this returns.
  void admit(const admission_request& request, AdmissionDone done);
  /// Releases the tokens of an admitted job that was certainly not accepted, or that has ended.
  void close(const std::string& route, const JobId& job);
  /// Releases the tokens of @p job in this node's view, since its caller ended it.
  void close(const JobId& job);
  /// Sets the waiting tokens of the jobs that this node manages. Changes are reported to the other nodes: at short
  /// intervals when a route is near the limit, at long ones otherwise.
  void set_managed_jobs(const std::vector<wire::QueuedJobT>& jobs);

  void handle(const wire::QueueReportT& message);
  void handle(const PeerAddress& sender, const wire::QueueGrantRequestT& message);
  void handle(const wire::QueueGrantReplyT& message);

  /// @return the tokens that wait on @p route according to this node's view.
  std::uint64_t waiting(const std::string& route) const;
  /// @return whether this node's view is known to contain all open jobs.
  bool view_complete() const { return view_complete_; }

 private:
  struct JobEntry {
    std::uint64_t tokens = 0;
    Timestamp received_at{};
    bool estimated = false;  ///< All tokens of the job, from its record; reports of its manager replace them.
  };
  using JobEntries = std::map<JobId, JobEntry>;
  /// An admission request that waits for the keeper's answer or for a complete view.
  struct PendingAdmission {
    admission_request request;
    AdmissionDone done;
  };

  void tick();
  void read_if_needed();
  /// Decides on the waiting requests, since the view has become complete or has taken too long.
  void decide_waiting_requests();
  void decide_admission(const admission_request& request, const AdmissionDone& done);
  void read_records(std::uint32_t group, const std::string& after);
  /// Adds @p job to the view, replaces its entry, or removes the entry of a closed job.
  /// @param estimated whether the tokens come from the job's record or request and not from a report.
  void update_view(const wire::QueuedJobT& job, bool estimated);
  void report_to_peers(std::vector<wire::QueuedJobT> jobs);
  /// @return the interval between two reports of the jobs that this node manages.
  Duration report_interval() const;
  admission decide(const admission_request& request);
  /// @return whether @p request fits even if every node admits as much at the same moment without asking the keeper.
  bool fits_without_keeper(const admission_request& request);
  /// Records that @p request was admitted and reports it to the other nodes.
  void reserve(const admission_request& request);
  void ask_keeper(const wire::MemberT& keeper, const admission_request& request, AdmissionDone done);
  /// Admits a job whose record exists already, since it takes no further tokens; refuses any other as full.
  void admit_if_known(const admission_request& request, const AdmissionDone& done);
  Duration time_until_free(const std::string& route, std::uint64_t tokens) const;
  void log_admission(const admission_request& request, const char* by, const admission& outcome);

  Environment& environment_;
  Counters& counters_;
  ledger::Client& ledger_;
  membership::Membership& members_;
  DecisionLog& log_;
  std::map<std::string, JobEntries> routes_;
  std::map<JobId, Timestamp> closed_at_;  ///< Recently closed jobs; older reports of them may still be in transit.
  /// A job that this node admitted by its own decision; the other nodes may not have received the report yet.
  struct LocalAdmission {
    Timestamp at{};
    std::uint64_t tokens = 0;
  };
  /// Keyed by route; those of the last kReportDelayLimit.
  std::map<std::string, std::vector<LocalAdmission>> local_admissions_;
  std::map<std::string, double> freed_per_second_;   ///< Moving average, keyed by route.
  std::map<JobId, wire::QueuedJobT> last_reported_;  ///< Last reported state of the jobs that this node manages.
  std::map<std::uint64_t, PendingAdmission> pending_admissions_;
  std::vector<PendingAdmission> waiting_for_view_;
  bool decision_scheduled_ = false;
  std::uint64_t next_request_ = 0;
  Timestamp ticked_at_{};
  Timestamp refreshed_at_{};
  Timestamp reported_at_{};
  std::uint64_t lowest_limit_ = 0;
  bool view_complete_ = false;
  bool reading_records_ = false;
  Lifetime lifetime_;
};

}  // namespace madderdeck::batch
