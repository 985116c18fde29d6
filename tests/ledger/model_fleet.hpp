#pragma once
/// @file What one who looks after a group of the model of epochs believes of the fleet, now or as it was at an earlier
/// moment.

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "ledger/epoch_change.hpp"

namespace madderdeck::tests {

constexpr unsigned kMostNodes = 6;

/// A disk: the machine and how many disks this machine has lost before.
struct disk {
  std::uint8_t node = 0;
  std::uint8_t number = 0;
  auto operator<=>(const disk&) const = default;
};

enum class presence : std::uint8_t { up, silent, gone, spare };

/// A machine as somebody believes it to be.
struct machine_belief {
  presence state = presence::spare;
  std::uint8_t disk_number = 0;
  bool retiring = false;
  auto operator<=>(const machine_belief&) const = default;
};
using fleet_belief = std::array<machine_belief, kMostNodes>;

/// @return "a", "b" and so on.
std::string name_of(unsigned node);
/// @return "a0" for the first disk of machine a.
std::string name_of(const disk& one);
ledger::ReplicaIdentity identity_of(const disk& one);
/// @return the disk that @p identity, made by identity_of() or former_identity_of(), stands for.
disk disk_of(const ledger::ReplicaIdentity& identity);
/// @return an identity of @p one that no rule takes for one of the same machine.
ledger::ReplicaIdentity former_identity_of(const disk& one);
/// @return the bytes of @p fleet; equal beliefs have equal ones.
std::string key_of(const fleet_belief& fleet);

/// A fleet as it is believed to be; silent machines are still believed in, or not any more.
class believed_fleet : public ledger::fleet_view {
 public:
  /// @param named disks of the group's present epoch: an earlier disk of the same machine is known to be over
  believed_fleet(const fleet_belief& fleet, bool silent_are_missing, std::vector<disk> named);

  ledger::replica_state state_of(const ledger::ReplicaIdentity& replica) override;
  bool is_there(const ledger::ReplicaIdentity& replica) const override;
  bool has_gone(const ledger::ReplicaIdentity& leaver) override;
  bool is_retiring(const NodeId& node) const override;
  /// There is one group.
  bool is_spare_for(const ledger::ReplicaIdentity& spare, const ledger::ReplicaIdentity& stopping) const override;
  std::vector<ledger::disk_place> places() const override;

 private:
  bool believed(const machine_belief& one) const;
  /// @return whether the group names a later disk of the same machine.
  bool is_obsolete(const disk& one) const;

  const fleet_belief fleet_;
  const bool missing_;
  const std::vector<disk> named_;
};

}  // namespace madderdeck::tests
