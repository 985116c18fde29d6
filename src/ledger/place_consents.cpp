#include "ledger/place_consents.hpp"

#include <charconv>
#include <cstdio>

namespace madderdeck::ledger {
namespace {

constexpr char kConsentPrefix[] = "c/";
constexpr char kEmptiedKey[] = "emptied";
constexpr unsigned kByteBits = 8;

std::string consent_key(std::uint32_t group) {
  char text[16];
  std::snprintf(text, sizeof text, "%s%04u", kConsentPrefix, group);
  return text;
}

/// @return the number of the group whose consent is stored under @p key.
std::optional<std::uint32_t> group_of(std::string_view key) {
  key.remove_prefix(sizeof kConsentPrefix - 1);
  std::uint32_t group = 0;
  const auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), group);
  const bool whole = error == std::errc{} && end == key.data() + key.size();
  return whole ? std::optional(group) : std::nullopt;
}

/// Little-endian.
wire::Bytes encode(std::uint64_t number) {
  wire::Bytes bytes(sizeof number);
  for (std::size_t byte = 0; byte < bytes.size(); ++byte) {
    bytes[byte] = static_cast<std::uint8_t>(number >> (byte * kByteBits));
  }
  return bytes;
}

std::optional<std::uint64_t> decode(std::string_view bytes) {
  std::uint64_t number = 0;
  if (bytes.size() != sizeof number) {
    return std::nullopt;
  }
  for (std::size_t byte = 0; byte < bytes.size(); ++byte) {
    number |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes[byte])) << (byte * kByteBits);
  }
  return number;
}

}  // namespace

const char* name_of(wire::PlaceConsent answer) {
  switch (answer) {
    case wire::PlaceConsent::NotSaid:
      return "not_said";
    case wire::PlaceConsent::NotAsked:
      return "not_asked";
    case wire::PlaceConsent::Given:
      return "given";
    case wire::PlaceConsent::OtherDisk:
      return "other_disk";
    case wire::PlaceConsent::Retiring:
      return "retiring";
    case wire::PlaceConsent::Stopping:
      return "stopping";
    case wire::PlaceConsent::NotReady:
      return "not_ready";
    case wire::PlaceConsent::EpochOver:
      return "epoch_over";
    case wire::PlaceConsent::MemberThere:
      return "member_there";
  }
  return "unknown";
}

Status place_consents::restore() {
  std::map<std::uint32_t, std::uint64_t> given;
  bool sound = true;
  const Status read = storage_.scan(kConsentPrefix, "", [&](std::string_view key, std::string_view value) {
    const auto group = group_of(key);
    const auto epoch = decode(value);
    sound = sound && group && epoch;
    if (sound) {
      given[*group] = *epoch;
    }
    return sound;
  });
  if (!succeeded(read)) {
    return error_of(read);
  }
  if (!sound) {
    return Error{ErrorKind::corrupted, "damaged consent to a place in a replica group"};
  }
  const auto emptied = storage_.get(kEmptiedKey);
  if (!succeeded(emptied)) {
    return error_of(emptied);
  }
  given_ = std::move(given);
  emptied_ = value_of(emptied) && value_of(emptied) == encode(1);
  restored_ = true;
  if (disk_stays_) {
    cancel_draining();
  }
  return Ok{};
}

void place_consents::forget() {
  restored_ = false;
  given_.clear();
}

wire::PlaceConsent place_consents::answer(const place_offer& offer, const ReplicaIdentity& self,
                                          std::uint64_t known_epoch) {
  if (offer.disk != self) {
    return wire::PlaceConsent::OtherDisk;
  }
  if (!restored_) {
    return wire::PlaceConsent::NotReady;
  }
  if (offer.epoch <= known_epoch) {
    return wire::PlaceConsent::EpochOver;
  }
  if (emptied_ || (emptying_ && !offer.although_retiring)) {
    return wire::PlaceConsent::Retiring;
  }
  if (stopping_) {
    return wire::PlaceConsent::Stopping;
  }
  if (given_for(offer.group) < offer.epoch) {
    store(offer.group, offer.epoch);
  }
  return wire::PlaceConsent::Given;
}

std::uint64_t place_consents::given_for(std::uint32_t group) const {
  const auto entry = given_.find(group);
  return entry == given_.end() ? 0 : entry->second;
}

void place_consents::note_emptied() {
  disk_stays_ = false;
  emptied_ = true;
  store_emptied(true);
}

void place_consents::cancel_draining() {
  disk_stays_ = true;
  if (emptied_) {
    emptied_ = false;
    store_emptied(false);
  }
}

void place_consents::store(std::uint32_t group, std::uint64_t epoch) {
  given_[group] = epoch;
  storage_.put(consent_key(group), encode(epoch));
}

void place_consents::store_emptied(bool emptied) { storage_.put(kEmptiedKey, encode(emptied ? 1 : 0)); }

}  // namespace madderdeck::ledger
