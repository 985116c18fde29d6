#pragma once
/// @file Asks a disk that is to become a member of a replica group whether it accepts the place.

#include <functional>
#include <map>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "common/error.hpp"
#include "ledger/place_consents.hpp"

namespace madderdeck::object_store {

/// The proposing side. It asks the disk, because the proposer's view of the disk may be out of date. One offer per
/// group at a time. Single threaded.
class place_offers {
 public:
  /// Ok if the disk accepts the place; ErrorKind::conflict if it refuses; ErrorKind::unavailable if it does not reply.
  using answered = std::function<void(const Status&)>;

  place_offers(Environment& environment, Counters& counters, DecisionLog& log, ledger::AddressLookup addresses);

  /// Offers a place; @p done runs once. An open offer for the same group is dropped without running its callback.
  void ask(const ledger::place_offer& offer, answered done);
  void handle(const PeerAddress& sender, const wire::CopyStatusT& answer);
  /// @return whether the disk refused a place, or did not reply, recently; other disks are preferred then.
  bool is_declined(const ledger::ReplicaIdentity& disk) const;

 private:
  struct open_offer {
    ledger::place_offer offer;
    answered done;
    PeerAddress asked;  ///< Empty: the address of the disk's node is not known.
    Timestamp began_at{};
    std::uint64_t number = 0;  ///< Distinguishes this offer from others of the same group.
  };

  void send(open_offer& open) const;
  /// Sends the offer again until the reply timeout.
  void check_offer(std::uint32_t group, std::uint64_t number);
  void end(std::uint32_t group, wire::PlaceConsent answer);
  void decline(const open_offer& open, const char* ground);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  const ledger::AddressLookup addresses_;
  std::map<std::uint32_t, open_offer> open_;                  ///< By group.
  std::map<ledger::ReplicaIdentity, Timestamp> declined_at_;  ///< Disks that did not accept a place.
  std::uint64_t next_number_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
