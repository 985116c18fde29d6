#pragma once
/// @file Admits requests within their tenants' rate limits, which apply over all nodes. See docs/design/tenants.md.

#include <functional>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "membership/membership.hpp"
#include "tenancy/rate_keeper.hpp"

namespace madderdeck::tenancy {

struct rate_decision {
  bool let_in = false;
  Duration retry_after{};  ///< If refused: time until a request will likely be allowed.
};

/// Each tenant has a keeper, the first of the gateways in rendezvous order, that counts its requests for all nodes. One
/// exchange of datagrams with the keeper covers a request, or as many requests as the node has recently admitted within
/// kGrantLifetime. A node that gets no reply limits the tenant to its own share: the fraction of the usage that was its
/// own when a keeper last replied. The keeper reserves that share. Single threaded.
class rate_limiter {
 public:
  using decided = std::function<void(rate_decision)>;

  /// @param window time over which limits are applied.
  rate_limiter(Environment& environment, Counters& counters, DecisionLog& log, const membership::Membership& members,
               Duration window);

  void start();
  /// Decides whether a request is admitted. @p done may run before this returns.
  /// @param request id of the request, for the log.
  void admit(const std::string& request, const configured_rate& rate, decided done) {
    try_admit(request, rate, 0, std::move(done));
  }

  void handle(const PeerAddress& sender, const wire::RateRequestT& message);
  void handle(const wire::RateReplyT& message);

 private:
  /// What this node knows of a tenant.
  struct account {
    usage_window used;                ///< Requests admitted by this node, with or without a keeper.
    std::uint32_t unused_grants = 0;  ///< Requests granted and not used yet.
    Timestamp grants_expire_at{};     ///< When these grants expire.
    double share = 0;                 ///< Fraction of the usage that was this node's when a keeper last replied.
    bool had_keeper_reply = false;
    bool by_own_share = false;  ///< Whether the last decision was made without a keeper; for the log.

    explicit account(Duration span) : used(span) {}
  };
  struct pending {
    std::string request;
    configured_rate rate;
    decided done;
    PeerAddress keeper;
    Timestamp asked_at{};
    unsigned tries = 0;  ///< Number of attempts before this one.
  };

  void try_admit(const std::string& request, const configured_rate& rate, unsigned tries, decided done);
  /// Handles a request that no keeper has decided on. A node that has just started retries soon, because the nodes may
  /// not know each other yet; any other node decides by its own share.
  void on_undecided(const std::string& request, const configured_rate& rate, unsigned tries, const decided& done);
  account& account_of(const std::string& tenant);
  const wire::MemberT* keeper_of(const std::string& tenant) const;
  bool is_reachable(const std::string& node) const;
  void refresh_view() const;
  /// @return whether this node knows no other gateway yet although seed addresses are configured.
  bool knows_no_peer() const;
  rate_query query_for(const configured_rate& rate);
  void ask(const wire::MemberT& keeper, const std::string& request, const configured_rate& rate, unsigned tries,
           decided done);
  void take_answer(const std::string& request, const configured_rate& rate, const rate_answer& answer,
                   Timestamp asked_at, const decided& done);
  void decide_by_own_share(const std::string& request, const configured_rate& rate, const decided& done);
  void admit_now(account& tenant_account, const decided& done);
  void refuse(const std::string& request, const configured_rate& rate, const rate_answer& known, std::string_view by,
              const decided& done);
  void log_decision_source(account& tenant_account, const std::string& tenant, bool by_own_share);
  void maintain();

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  const membership::Membership& members_;
  const Duration window_;
  rate_keeper own_keeper_;
  std::map<std::string, account> accounts_;
  std::map<std::uint64_t, pending> pending_;
  std::map<PeerAddress, Timestamp> avoided_until_;  ///< Until when unresponsive keepers are not asked.
  Timestamp started_{};
  std::uint64_t next_request_ = 0;
  /// Membership version from which the fields below were derived; they are rebuilt when it changes.
  mutable std::uint64_t view_version_ = 0;
  mutable std::vector<const wire::MemberT*> gateways_;       ///< Gateways that answer probes.
  mutable std::unordered_set<std::string> reachable_nodes_;  ///< The ids of gateways_.
  mutable std::size_t gateways_known_ = 1;  ///< Also counts gateways that may only be slow; at least 1.
  Lifetime lifetime_;
};

}  // namespace madderdeck::tenancy
