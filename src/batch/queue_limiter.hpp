#pragma once
/// @file Limits the tokens that wait on a route over all nodes. See docs/design/queue-limits.md.

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

/// A job that asks to be let in.
struct admission_request {
  std::string route;
  JobId job;
  std::uint64_t tokens = 0;
  std::uint64_t limit = 0;  ///< Tokens that may wait on the route; 0: no limit.

  auto operator<=>(const admission_request&) const = default;
};

enum class admission_verdict : std::uint8_t {
  admitted,
  full,    ///< It does not fit at present.
  unsure,  ///< This node cannot tell; nothing was let in.
};

struct admission {
  admission_verdict verdict = admission_verdict::unsure;
  Duration retry_after{};  ///< When it is worth asking again; zero where admitted.

  auto operator<=>(const admission&) const = default;
};
using AdmissionDone = std::function<void(admission)>;

/// Every node keeps a view of the open jobs of all limited routes: those that let a job in announce it before it is
/// written, those that manage jobs report what still waits. Far below the limit a node decides by its view; near it
/// it asks the route's keeper, the first of the schedulers in rendezvous order, so that two nodes never give the same
/// room away. Single threaded.
class queue_limiter {
 public:
  queue_limiter(Environment& environment, Counters& counters, ledger::Client& ledger, membership::Membership& members,
                DecisionLog& log);

  void start();
  /// @param limit the least limit of a route; 0 where none has one: then nothing is read or told.
  void set_least_limit(std::uint64_t limit);
  bool limited() const { return least_limit_ > 0; }
  /// Decides on a job; @p done may run before this returns.
  void admit(const admission_request& request, AdmissionDone done);
  /// A job that was let in was certainly not accepted, or it needs nothing more.
  void close(const std::string& route, const JobId& job);
  /// @p job was ended by its caller.
  void close(const JobId& job);
  /// What waits of the jobs that this node manages. Told to the others where it changed: soon when a limit is near,
  /// seldom when all are far.
  void set_managed(const std::vector<wire::QueuedJobT>& jobs);

  void handle(const wire::QueueReportT& message);
  void handle(const PeerAddress& sender, const wire::QueueGrantRequestT& message);
  void handle(const wire::QueueGrantReplyT& message);

  /// @return tokens that wait on @p route by this node's view.
  std::uint64_t waiting(const std::string& route) const;
  /// @return whether the view is known to hold all open jobs.
  bool informed() const { return informed_; }

 private:
  struct Entry {
    std::uint64_t tokens = 0;
    Timestamp heard_at{};
    bool estimated = false;  ///< The whole job, from its record; its manager knows better.
  };
  using Jobs = std::map<JobId, Entry>;
  /// A question to a keeper that is under way.
  struct Asked {
    admission_request request;
    AdmissionDone done;
  };

  void tick();
  void read_if_needed();
  /// The view has become complete, or it takes too long: those who wait are decided on.
  void decide_waiting();
  void admit_now(const admission_request& request, const AdmissionDone& done);
  void read_records(std::uint32_t group, const std::string& after);
  void take(const wire::QueuedJobT& job, bool estimated);
  void tell(std::vector<wire::QueuedJobT> jobs);
  /// @return how long to wait between two reports of the jobs managed here.
  Duration report_interval() const;
  admission decide(const admission_request& request);
  /// @return whether @p request fits even if every node lets in as much at this moment without asking.
  bool fits_unasked(const admission_request& request);
  /// Notes that @p request was let in and tells the others.
  void reserve(const admission_request& request);
  void ask_keeper(const wire::MemberT& keeper, const admission_request& request, AdmissionDone done);
  /// A job that is known already takes no further room.
  void admit_if_known(const admission_request& request, const AdmissionDone& done);
  Duration time_until_free(const std::string& route, std::uint64_t tokens) const;
  void record(const admission_request& request, const char* by, const admission& outcome);

  Environment& environment_;
  Counters& counters_;
  ledger::Client& ledger_;
  membership::Membership& members_;
  DecisionLog& log_;
  std::map<std::string, Jobs> routes_;
  std::map<JobId, Timestamp> closed_at_;  ///< Of the last moments: older words of these may still be under way.
  /// Let in without asking, and when; the others may not have heard of it.
  struct Unasked {
    Timestamp at{};
    std::uint64_t tokens = 0;
  };
  std::map<std::string, std::vector<Unasked>> unasked_;  ///< By route; of the last kNewsTravel.
  std::map<std::string, double> freed_per_second_;       ///< Moving average, by route.
  std::map<JobId, wire::QueuedJobT> told_;               ///< What this node last told of the jobs it manages.
  std::map<std::uint64_t, Asked> asked_;
  std::vector<Asked> waiting_for_view_;
  bool decision_scheduled_ = false;
  std::uint64_t next_request_ = 0;
  Timestamp ticked_at_{};
  Timestamp refreshed_at_{};
  Timestamp reported_at_{};
  std::uint64_t least_limit_ = 0;
  bool informed_ = false;
  bool reading_ = false;
  Lifetime lifetime_;
};

}  // namespace madderdeck::batch
