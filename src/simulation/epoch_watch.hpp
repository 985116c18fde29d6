#pragma once
/// @file Which disks decided epochs name, as the nodes' own messages show.

#include <map>
#include <vector>

#include "simulation/fleet.hpp"

namespace madderdeck::simulation {

/// Tells the oracle of epochs that newly name a disk of which its machine has said that it holds nothing any more.
class epoch_watch {
 public:
  epoch_watch(World& world, SimFleet& fleet, Oracle& oracle) : world_(world), fleet_(fleet), oracle_(oracle) {}

  /// Node @p from sends @p message.
  void sent(unsigned from, const wire::MessageUnion& message);

 private:
  /// What the members of an epoch were asked to agree on.
  struct proposal {
    ledger::ReplicaGroup next;
    unsigned proposer = 0;
    Timestamp not_before{};  ///< It was surely not begun earlier.
  };
  using group_epoch = std::pair<std::uint32_t, std::uint64_t>;

  void proposed(unsigned from, const wire::AcceptT& accept);
  /// A node tells others of an epoch, and so knows that it was decided.
  void decided(std::uint32_t group, const ledger::ReplicaGroup& description);
  void judge(std::uint32_t group, const ledger::ReplicaGroup& before, const ledger::ReplicaGroup& description);
  const proposal* find_proposal(std::uint32_t group, const ledger::ReplicaGroup& description) const;
  /// @return whether an epoch between @p before and @p description, of which nobody has told, may have named @p disk.
  bool named_between(std::uint32_t group, const ledger::ReplicaGroup& before, const ledger::ReplicaGroup& description,
                     const ledger::ReplicaIdentity& disk) const;

  World& world_;
  SimFleet& fleet_;
  Oracle& oracle_;
  std::map<group_epoch, std::vector<proposal>> proposals_;
  std::map<group_epoch, ledger::ReplicaGroup> decided_;
};

}  // namespace madderdeck::simulation
