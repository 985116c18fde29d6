#pragma once
/// @file Calls to application services, repeatable and non-repeatable.

#include <functional>
#include <map>
#include <set>
#include <string>

#include "common/counters.hpp"
#include "routing/claims.hpp"
#include "routing/limits.hpp"
#include "routing/outcome.hpp"
#include "routing/registry.hpp"
#include "routing/repeat_guard.hpp"

namespace madderdeck::routing {

struct ServiceRequest {
  std::string service;
  ClaimKey key;  ///< Used if the request is not repeatable.
  bool repeatable = true;
  std::string body;
  Duration timeout{};
};

using ServiceOutcome = std::variant<ServiceAnswer, Refusal>;
using ServiceDone = std::function<void(ServiceOutcome)>;

/// Rules of service calls; always on in the daemon.
struct ServiceGuards {
  bool claim_before_sending = true;
  bool never_resend_after_break = true;  ///< A non-repeatable call that may have run is not sent again.
  bool unknown_after_sending = true;     ///< A call that may have run is never reported as not run.
};

/// All service calls of one node. Single threaded.
class ServiceRouter {
 public:
  ServiceRouter(Environment& environment, Counters& counters, Registry& registry, BackendClient& client,
                ClaimStore& claims, ServiceGuards guards = {});

  void set_policy(const config::FleetPolicy& policy) { budget_.set_percent(policy.retry_percent); }
  /// Runs one request; @p done is called exactly once.
  void call(ServiceRequest request, ServiceDone done);
  std::size_t active() const { return requests_.size(); }
  /// From now on, requests that terminate the back ends that run them are not sent again. @p guard must outlive this.
  void set_repeat_guard(repeat_guard& guard) { repeats_ = &guard; }

 private:
  using RequestId = std::uint64_t;
  struct Active {
    ServiceRequest request;
    ServiceDone done;           ///< Empty once the caller has its outcome.
    std::uint64_t attempt = 0;  ///< Also identifies the claim.
    BackendId backend;
    std::set<BackendId> tried;
    bool claimed = false;
    bool maybe_ran = false;
    break_history breaks;
    Timestamp deadline{};
  };

  void claim(RequestId id);
  void on_claim(RequestId id, Result<ClaimResult> result);
  void on_existing_claim(RequestId id, const wire::ClaimRecordT& record);
  void poll_claim(RequestId id);
  /// Postpones the request while the repeat guard cannot say yet whether it may be sent.
  /// @return whether the request was postponed; it is sent later if its caller still waits then.
  bool wait_if_undecided(RequestId id);
  /// @return whether the request was refused.
  bool refuse_if_quarantined(RequestId id, send_stage stage);
  void send(RequestId id);
  void on_answer(RequestId id, const ServiceAnswer& answer);
  void on_failure(RequestId id, CallFailure failure);
  void resend_or_end(RequestId id, CallFailure failure);
  static request_fingerprint fingerprint_of(const ServiceRequest& request);
  void on_deadline(RequestId id);
  void end_without_answer(RequestId id, ErrorKind kind, const std::string& detail);
  void refuse(RequestId id, ErrorKind kind, const std::string& detail, Ran ran, Duration retry_after);
  void answer_caller(RequestId id, ServiceOutcome outcome);
  void forget(RequestId id);
  void release_backend(Active& active);

  Environment& environment_;
  Counters& counters_;
  Registry& registry_;
  BackendClient& client_;
  ClaimStore& claims_;
  const ServiceGuards guards_;
  RetryBudget budget_;
  repeat_guard* repeats_ = nullptr;
  std::map<RequestId, Active> requests_;
  RequestId next_id_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::routing
