#include "object_store/place_offers.hpp"

#include <string>
#include <utility>

namespace madderdeck::object_store {
namespace {

constexpr Duration kRetryInterval = 200ms;
/// A disk writes its consent before it replies, which can take several syncs on a slow disk.
constexpr Duration kReplyTimeout = 1s;
/// Time after a refusal during which other disks are preferred.
constexpr Duration kDeclinedCooldown = 3s;

}  // namespace

place_offers::place_offers(Environment& environment, Counters& counters, DecisionLog& log,
                           ledger::AddressLookup addresses)
    : environment_(environment), counters_(counters), log_(log), addresses_(std::move(addresses)) {}

void place_offers::ask(const ledger::place_offer& offer, answered done) {
  counters_["replica_places_offered_total"]++;
  const std::uint64_t number = ++next_number_;
  open_offer& open = open_[offer.group];
  open = {offer, std::move(done), PeerAddress(""), environment_.now(), number};
  send(open);
  environment_.after(kRetryInterval,
                     lifetime_.guard([this, group = offer.group, number] { check_offer(group, number); }));
}

void place_offers::send(open_offer& open) const {
  const auto address = addresses_(open.offer.disk.node);
  if (!address) {
    return;
  }
  open.asked = *address;
  wire::CopyStatusRequestT request;
  request.group = open.offer.group;
  request.epoch = open.offer.epoch;
  request.place_epoch = open.offer.epoch;
  request.offered = std::make_unique<wire::ReplicaIdT>();
  request.offered->node = open.offer.disk.node.str();
  request.offered->disk = open.offer.disk.disk.str();
  request.although_retiring = open.offer.although_retiring;
  if (open.offer.gives_up) {
    request.gives_up = std::make_unique<wire::ReplicaIdT>();
    request.gives_up->node = open.offer.gives_up->node.str();
    request.gives_up->disk = open.offer.gives_up->disk.str();
  }
  send_message_within(kRetryInterval, environment_, *address, std::move(request));
}

void place_offers::check_offer(std::uint32_t group, std::uint64_t number) {
  const auto entry = open_.find(group);
  if (entry == open_.end() || entry->second.number != number) {
    return;
  }
  if (environment_.now() - entry->second.began_at >= kReplyTimeout) {
    const open_offer open = std::move(open_.extract(entry).mapped());
    decline(open, "silent");
    open.done(Error{ErrorKind::unavailable,
                    ledger::text_of(open.offer.disk) + " did not reply to the offer of a place in the group"});
    return;
  }
  send(entry->second);
  environment_.after(kRetryInterval, lifetime_.guard([this, group, number] { check_offer(group, number); }));
}

void place_offers::handle(const PeerAddress& sender, const wire::CopyStatusT& answer) {
  const auto entry = open_.find(answer.group);
  if (entry == open_.end() || entry->second.asked != sender || answer.consent == wire::PlaceConsent::NotAsked) {
    return;
  }
  // The reply of a node of an earlier version has no field for consent; that the node replies counts as consent.
  const bool lacks_consent_field = answer.consent == wire::PlaceConsent::NotSaid;
  if (lacks_consent_field || answer.place_epoch == entry->second.offer.epoch) {
    end(answer.group, answer.consent);
  }
}

void place_offers::end(std::uint32_t group, wire::PlaceConsent answer) {
  const open_offer open = std::move(open_.extract(group).mapped());
  switch (answer) {
    case wire::PlaceConsent::NotSaid:
      counters_["replica_places_taken_unsaid_total"]++;
      open.done(Ok{});
      return;
    case wire::PlaceConsent::Given:
    // That epoch is already decided; its members report the result.
    case wire::PlaceConsent::EpochOver:
      open.done(Ok{});
      return;
    default:
      decline(open, ledger::name_of(answer));
      open.done(Error{ErrorKind::conflict,
                      ledger::text_of(open.offer.disk) + " refused a place in the group: " + ledger::name_of(answer)});
      return;
  }
}

void place_offers::decline(const open_offer& open, const char* ground) {
  const Timestamp now = environment_.now();
  std::erase_if(declined_at_, [now](const auto& one) { return now - one.second > kDeclinedCooldown; });
  declined_at_[open.offer.disk] = now;
  counters_[std::string("replica_places_declined_") + ground + "_total"]++;
  log_.record("replica_place_declined", {{"group", open.offer.group},
                                         {"epoch", open.offer.epoch},
                                         {"disk", ledger::text_of(open.offer.disk)},
                                         {"ground", ground},
                                         {"waited_ms", (now - open.began_at) / 1ms}});
}

bool place_offers::is_declined(const ledger::ReplicaIdentity& disk) const {
  const auto entry = declined_at_.find(disk);
  return entry != declined_at_.end() && environment_.now() - entry->second <= kDeclinedCooldown;
}

}  // namespace madderdeck::object_store
