#pragma once
/// @file Requests engines for this node's calls from the coordinators.

#include <functional>
#include <map>
#include <string>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "forwarding/engine_placer.hpp"
#include "placement/coordinator.hpp"
#include "placement/duties.hpp"

namespace madderdeck::placement {

/// A placement takes one exchange of datagrams, or two if the first zone is full. A coordinator that does not reply is
/// avoided for a while, and the next in rank is asked instead. If all slots are taken, the coordinator replies that the
/// call waits, and replies again with an engine once a slot is free. The client repeats the request meanwhile, so that
/// the failure of a coordinator costs a call no more than its position in the queue. Single threaded.
class place_client : public forwarding::engine_placer {
 public:
  /// @param own this node's coordinator, which is called directly for the domains that it coordinates.
  place_client(Environment& environment, Counters& counters, DecisionLog& log, routing::Registry& registry,
               const duties& node_duties, const wire::MemberT& self, coordinator& own);

  /// @return whether coordinators choose the engines, which they do in large fleets whose prompts have no long shared
  ///         prefixes. With such prefixes, choice by exact call counts spreads requests with the same prefix over more
  ///         engines, each of which has to prefill it: in a fleet of 250 gateways and prompts with 13,300 shared
  ///         tokens, 15.5 million prefix tokens were prefilled again with coordinators, and 11.3 million with affinity
  ///         and reports.
  bool active() const override { return duties_.divided() && long_prefix_share_ < kMaxLongPrefixShare; }
  void note_request(bool long_start) override;
  ticket place(const forwarding::placement_query& query, placed done) override;
  void withdraw(ticket request_id) override;
  void return_unused(const BackendId& engine) override;
  void handle(const PeerAddress& sender, const wire::PlaceReplyT& message);
  /// Called with an engine that was assigned too late, or to a request that cannot use it; its coordinator counts a
  /// call that never comes.
  std::function<void(const BackendId&)> on_unused_assignment;
  /// @return the gateway to ask for engines of @p domain now; null if there is none.
  const wire::MemberT* coordinator_for(const engine_domain& domain) const;

 private:
  struct pending {
    forwarding::placement_query query;
    placed done;
    engine_domain domain;
    bool final = false;
    PeerAddress coordinator_address;
    Timestamp asked_at{};
    Timestamp started{};
    bool waiting = false;       ///< The coordinator has queued the call and will assign an engine.
    std::uint64_t attempt = 0;  ///< Number of the request for this call; timers of earlier ones do nothing.
  };
  struct reply_state {
    unsigned unanswered = 0;  ///< Consecutive requests without a reply.
    Timestamp avoided_until{};
  };

  engine_domain domain_for(const forwarding::placement_query& query) const;
  /// Sends the first or a repeated request for a pending call.
  void ask(ticket request_id);
  void send_request(ticket request_id, const pending& call, const wire::MemberT& member);
  void take(ticket request_id, const placement_choice& choice);
  void finish(ticket request_id, const forwarding::placement_outcome& outcome);
  void schedule_repeat(ticket request_id);
  void on_reply_timeout(ticket request_id, std::uint64_t attempt);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  routing::Registry& registry_;
  const duties& duties_;
  const wire::MemberT& self_;
  coordinator& own_coordinator_;
  std::map<std::uint64_t, pending> pending_;
  std::map<PeerAddress, reply_state> reply_states_;
  /// A single request with a long prefix keeps the average above this limit for some 350 requests. With one such
  /// request in ten, a gateway decides after the first ones.
  static constexpr double kMaxLongPrefixShare = 0.001;
  double long_prefix_share_ = 0;  ///< Moving average of the fraction of requests with a long shared prefix.
  std::uint64_t next_request_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::placement
