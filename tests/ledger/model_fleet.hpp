#pragma once
/// @file The view of the fleet that a maintainer of the modelled replica group has: the current one or an outdated one.
/// Used by the epoch model.

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "ledger/epoch_change.hpp"

namespace madderdeck::tests {

constexpr unsigned kMaxNodes = 6;

/// A disk, identified by its machine and the number of disks that this machine lost before.
struct disk {
  std::uint8_t node = 0;
  std::uint8_t number = 0;
  auto operator<=>(const disk&) const = default;
};

enum class presence : std::uint8_t { up, unresponsive, gone, spare };

/// The state of a machine in a maintainer's view.
struct machine_belief {
  presence state = presence::spare;
  std::uint8_t disk_number = 0;
  bool retiring = false;
  auto operator<=>(const machine_belief&) const = default;
};
using fleet_belief = std::array<machine_belief, kMaxNodes>;

/// @return "a", "b" and so on.
std::string name_of(unsigned node);
/// @return "a0" for the first disk of machine a.
std::string name_of(const disk& one);
ledger::ReplicaIdentity identity_of(const disk& one);
/// @return the disk of @p identity, which identity_of() or former_identity_of() returned.
disk disk_of(const ledger::ReplicaIdentity& identity);
/// @return an identity of @p one under another node name, so that no rule matches it with the same machine.
ledger::ReplicaIdentity former_identity_of(const disk& one);
/// @return @p fleet serialized as bytes; equal views give equal bytes.
std::string key_of(const fleet_belief& fleet);

/// A fleet view made from a maintainer's belief; unresponsive machines count as present or as missing.
class believed_fleet : public ledger::fleet_view {
 public:
  /// @param unresponsive_are_missing whether unresponsive machines count as missing
  /// @param named disks of the group's current epoch: an earlier disk of the same machine is obsolete
  believed_fleet(const fleet_belief& fleet, bool unresponsive_are_missing, std::vector<disk> named);

  ledger::replica_state state_of(const ledger::ReplicaIdentity& replica) override;
  bool is_there(const ledger::ReplicaIdentity& replica) const override;
  bool is_permanently_gone(const ledger::ReplicaIdentity& leaver) override;
  bool is_retiring(const NodeId& node) const override;
  /// Always true, since the model has one group.
  bool is_spare_for(const ledger::ReplicaIdentity& spare, const ledger::ReplicaIdentity& stopping) const override;
  std::vector<ledger::disk_place> places() const override;

 private:
  bool believed(const machine_belief& one) const;
  /// @return whether the group's current epoch names a later disk of the same machine.
  bool is_obsolete(const disk& one) const;

  const fleet_belief fleet_;
  const bool missing_;
  const std::vector<disk> named_;
};

}  // namespace madderdeck::tests
