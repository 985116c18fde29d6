#pragma once
/// @file Asks a disk that is to become a member of a replica group whether it takes the place.

#include <functional>
#include <map>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "common/error.hpp"
#include "ledger/place_consents.hpp"

namespace madderdeck::object_store {

/// The proposing side: what a node believes of a disk may be out of date, the disk's own word is not. One offer a group
/// at a time. Single threaded.
class place_offers {
 public:
  /// Ok where the disk takes the place. ErrorKind::conflict: it refuses. ErrorKind::unavailable: it has not answered.
  using answered = std::function<void(const Status&)>;

  place_offers(Environment& environment, Counters& counters, DecisionLog& log, ledger::AddressLookup addresses);

  /// Offers a place; @p done runs once. An offer for the same group that is open still is dropped unanswered.
  void ask(const ledger::place_offer& offer, answered done);
  void handle(const PeerAddress& sender, const wire::CopyStatusT& answer);
  /// @return whether the disk has refused a place, or not answered, a short time ago: others are asked first.
  bool is_declined(const ledger::ReplicaIdentity& disk) const;

 private:
  struct open_offer {
    ledger::place_offer offer;
    answered done;
    PeerAddress asked;  ///< Empty: its node has no address.
    Timestamp began_at{};
    std::uint64_t number = 0;  ///< Tells this offer from others of the same group.
  };

  void send(open_offer& open) const;
  /// Asks again until the disk has had its time.
  void look_at(std::uint32_t group, std::uint64_t number);
  void end(std::uint32_t group, wire::PlaceConsent answer);
  void decline(const open_offer& open, const char* ground);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  const ledger::AddressLookup addresses_;
  std::map<std::uint32_t, open_offer> open_;                  ///< By group.
  std::map<ledger::ReplicaIdentity, Timestamp> declined_at_;  ///< Disks that did not take a place.
  std::uint64_t next_number_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
