#pragma once
/// @file Lets requests in within their tenants' rates, which hold over all nodes. See docs/design/tenants.md.

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
  Duration retry_after{};  ///< Where it is not: when a request will likely fit.
};

/// Each tenant has a keeper, the first of the gateways in rendezvous order, that counts for all: one exchange of
/// datagrams for a request, or for as many as a node has lately let in within kGrantUseful. A node that gets no answer
/// goes on by its own part of what was used when it last heard from a keeper; the keeper holds that part back. Single
/// threaded.
class rate_limiter {
 public:
  using decided = std::function<void(rate_decision)>;

  /// @param window over which limits are judged.
  rate_limiter(Environment& environment, Counters& counters, DecisionLog& log, const membership::Membership& members,
               Duration window);

  void start();
  /// Decides on one request. @p done may run before this returns.
  /// @param request its id, for the log.
  void admit(const std::string& request, const stated_rate& rate, decided done) {
    try_admit(request, rate, 0, std::move(done));
  }

  void handle(const PeerAddress& sender, const wire::RateRequestT& message);
  void handle(const wire::RateReplyT& message);

 private:
  /// What this node knows of a tenant.
  struct account {
    usage_window used;       ///< By this node, by whomever it was granted.
    std::uint32_t held = 0;  ///< Granted and not used yet,
    Timestamp held_until{};  ///< useful until then.
    double part = 0;         ///< Of the limit, that this node used when a keeper last answered.
    bool keeper_known = false;
    bool by_own_part = false;  ///< For the log: how it was last decided.

    explicit account(Duration span) : used(span) {}
  };
  struct pending {
    std::string request;
    stated_rate rate;
    decided done;
    PeerAddress keeper;
    Timestamp asked_at{};
    unsigned tries = 0;  ///< Before this one.
  };

  void try_admit(const std::string& request, const stated_rate& rate, unsigned tries, decided done);
  /// No keeper has decided. A node that has just started asks again soon: the nodes do not know each other yet.
  void on_undecided(const std::string& request, const stated_rate& rate, unsigned tries, const decided& done);
  account& account_of(const std::string& tenant);
  const wire::MemberT* keeper_of(const std::string& tenant) const;
  bool is_reachable(const std::string& node) const;
  void refresh_view() const;
  /// @return whether this node has found nobody yet though it has been told where to look.
  bool alone() const;
  rate_question question_for(const stated_rate& rate);
  void ask(const wire::MemberT& keeper, const std::string& request, const stated_rate& rate, unsigned tries,
           decided done);
  void take_answer(const std::string& request, const stated_rate& rate, const rate_answer& answer, Timestamp asked_at,
                   const decided& done);
  void decide_by_own_part(const std::string& request, const stated_rate& rate, const decided& done);
  void let_in(account& of, const decided& done);
  void refuse(const std::string& request, const stated_rate& rate, const rate_answer& known, std::string_view by,
              const decided& done);
  void note_way(account& of, const std::string& tenant, bool by_own_part);
  void maintain();

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  const membership::Membership& members_;
  const Duration window_;
  rate_keeper own_;
  std::map<std::string, account> accounts_;
  std::map<std::uint64_t, pending> pending_;
  std::map<PeerAddress, Timestamp> silent_until_;  ///< Keepers that have not answered.
  Timestamp started_{};
  std::uint64_t next_request_ = 0;
  /// Derived again when the members change.
  mutable std::uint64_t view_version_ = 0;
  mutable std::vector<const wire::MemberT*> gateways_;       ///< Those that answer probes.
  mutable std::unordered_set<std::string> reachable_nodes_;  ///< Their ids.
  mutable std::size_t gateways_known_ = 1;                   ///< Those that may only be slow among them; at least 1.
  Lifetime lifetime_;
};

}  // namespace madderdeck::tenancy
