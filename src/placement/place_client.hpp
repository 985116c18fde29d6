#pragma once
/// @file Asks coordinators for engines.

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
/// alone for a while: then the next in rank is asked. Single threaded.
class place_client : public forwarding::engine_placer {
 public:
  /// @param own this node's coordinator, for the domains that are its own.
  place_client(Environment& environment, Counters& counters, DecisionLog& log, routing::Registry& registry,
               const duties& who, const wire::MemberT& self, coordinator& own);

  bool active() const override { return duties_.divided(); }
  void place(const forwarding::place_query& query, placed done) override;
  void handle(const wire::PlaceReplyT& message);
  /// @return the gateway that is asked for engines of @p domain now; null where there is none.
  const wire::MemberT* coordinator_for(const engine_domain& domain) const;

 private:
  struct pending {
    forwarding::place_query query;
    placed done;
    PeerAddress asked;
    Timestamp asked_at{};
  };
  struct silence {
    unsigned unanswered = 0;  ///< In a row.
    Timestamp avoided_until{};
  };

  engine_domain domain_for(const forwarding::place_query& query) const;
  void ask(const engine_domain& domain, const forwarding::place_query& query, bool final, placed done);
  void on_silence(std::uint64_t request);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  routing::Registry& registry_;
  const duties& duties_;
  const wire::MemberT& self_;
  coordinator& own_;
  std::map<std::uint64_t, pending> pending_;
  std::map<PeerAddress, silence> silences_;
  std::uint64_t next_request_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::placement
