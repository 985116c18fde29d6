#pragma once
/// @file Ballots order the attempts to change one ledger record.

#include <compare>
#include <cstdint>
#include <memory>

#include "wire/messages_generated.h"

namespace madderdeck::ledger {

/// Attempts are ordered by counter, then by proposer. The zero ballot precedes all others.
struct Ballot {
  std::uint64_t counter = 0;
  std::uint64_t proposer = 0;

  auto operator<=>(const Ballot&) const = default;
  bool is_zero() const { return counter == 0 && proposer == 0; }
};

inline Ballot from_wire(const std::unique_ptr<wire::Ballot>& ballot) {
  return ballot ? Ballot{ballot->counter(), ballot->proposer()} : Ballot{};
}
inline std::unique_ptr<wire::Ballot> to_wire(const Ballot& ballot) {
  return std::make_unique<wire::Ballot>(ballot.counter, ballot.proposer);
}

}  // namespace madderdeck::ledger
