#pragma once
/// @file Asks coordinators for engines.

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

/// One exchange of datagrams for a call, two where the first zone is full. A coordinator that does not answer is left
/// alone for a while: then the next in rank is asked. Where all slots are taken the coordinator says so, and names an
/// engine once one is free; meanwhile the question is repeated, so that a coordinator that dies costs a call no more
/// than its place among those that wait. Single threaded.
class place_client : public forwarding::engine_placer {
 public:
  /// @param own this node's coordinator, for the domains that are its own.
  place_client(Environment& environment, Counters& counters, DecisionLog& log, routing::Registry& registry,
               const duties& who, const wire::MemberT& self, coordinator& own);

  /// Coordinators choose in large fleets whose prompts have no long shared starts. Where they have, exact counts spread
  /// requests with the same start over more engines, which read it again: on a fleet of 250 gateways and prompts of
  /// 13,300 shared tokens 15.5 million tokens of starts were read again by coordinators, 11.3 million by affinity and
  /// reports (one run of a busy day each).
  bool active() const override { return duties_.divided() && long_starts_ < kMostLongStarts; }
  void note_request(bool long_start) override;
  ticket place(const forwarding::place_query& query, placed done) override;
  void withdraw(ticket question) override;
  void handle(const PeerAddress& sender, const wire::PlaceReplyT& message);
  /// Told of engines that were named too late to be used: their coordinator counts a call there that never comes.
  std::function<void(const BackendId&)> on_unused;
  /// @return the gateway that is asked for engines of @p domain now; null where there is none.
  const wire::MemberT* coordinator_for(const engine_domain& domain) const;

 private:
  struct pending {
    forwarding::place_query query;
    placed done;
    engine_domain domain;
    bool final = false;
    PeerAddress asked;
    Timestamp asked_at{};
    Timestamp started{};
    bool waiting = false;     ///< The coordinator has said that an engine follows.
    std::uint64_t round = 0;  ///< Of questions for this call; timers of earlier ones do nothing.
  };
  struct silence {
    unsigned unanswered = 0;  ///< In a row.
    Timestamp avoided_until{};
  };

  engine_domain domain_for(const forwarding::place_query& query) const;
  /// Asks (again) for a call that is pending.
  void ask(ticket question);
  void send_question(ticket question, const pending& asked, const wire::MemberT& member);
  void take(ticket question, const placement_choice& choice);
  void finish(ticket question, const forwarding::place_outcome& outcome);
  void ask_again_later(ticket question);
  void on_silence(ticket question, std::uint64_t round);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  routing::Registry& registry_;
  const duties& duties_;
  const wire::MemberT& self_;
  coordinator& own_;
  std::map<std::uint64_t, pending> pending_;
  std::map<PeerAddress, silence> silences_;
  /// A single long start counts for some 350 requests; with one in ten a gateway is sure after the first ones.
  static constexpr double kMostLongStarts = 0.001;
  double long_starts_ = 0;  ///< Moving average of the part of requests.
  std::uint64_t next_request_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::placement
