#pragma once
/// @file Looks at the replica groups and reads the accepted jobs while machines and disks are lost.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "simulation/fleet.hpp"
#include "simulation/loss_rule.hpp"

namespace madderdeck::simulation {

/// Sees what an operator with access to every machine would see, and tells the oracle. Looks are to come regularly.
class GroupWatch {
 public:
  GroupWatch(World& world, SimFleet& fleet, Oracle& oracle);

  void look();
  /// A machine with a disk is taken away for good.
  void machine_removed(unsigned node);
  void disk_lost(unsigned node);
  /// A machine is taken away that has said that its disk is emptied.
  void machine_departed(unsigned node) { rule_.machine_departed(node); }
  /// Some machines lose power; their disks stay.
  void power_lost();
  /// @return whether the disk of @p node may be lost now, by the users' rule.
  bool may_lose_disk(unsigned node);
  /// @return the standing of the members of each group, one line each.
  std::vector<std::string> describe() const;

 private:
  /// A round of readings of one group's jobs, until each was read once.
  struct Round {
    Timestamp since{};
    bool after_majority = false;  ///< Otherwise all machines have come back.
    std::set<std::string> unread;
    Timestamp next_try{};
  };
  using RoundPointer = std::shared_ptr<Round>;

  void look_at_machines();
  void look_at_store();
  /// @return whether the machine runs and reaches all others.
  bool is_back(unsigned node) const;
  void learn_descriptions();
  void look_at_disks();
  GroupSight sight_of(std::uint32_t group, const ledger::ReplicaGroup& description) const;
  /// @return whether a majority of the disks under which the group could last vote hold all of it, also without
  ///         @p further_losses of them.
  bool has_whole_majority(std::uint32_t group, std::size_t further_losses) const;
  std::string describe_member(std::uint32_t group, std::uint64_t epoch, const ledger::ReplicaIdentity& member) const;
  /// @return the node that has the disk, if it is not lost.
  std::optional<unsigned> holder_of(const ledger::ReplicaIdentity& member) const;
  void note_votes(std::uint32_t group, bool can_vote);
  /// @return since when all machines and the store are back; nothing while one is away.
  std::optional<Timestamp> everything_back_since() const;
  void start_rounds_when_all_are_back(const std::optional<Timestamp>& since);
  RoundPointer new_round(std::uint32_t group, bool after_majority) const;
  void read_on(RoundPointer& round);
  void judge(const std::optional<Timestamp>& since);
  /// Once all have been back for as long as the service may rest, a majority of each group's disks has to exist.
  void judge_disks();
  /// Once all machines with a disk have had their time to catch up, the groups have to bear the next loss.
  void judge_successors();

  World& world_;
  SimFleet& fleet_;
  Oracle& oracle_;
  LossRule rule_;
  /// The description under which each group could last vote. A later one that never could has confirmed nothing.
  std::map<std::uint32_t, ledger::ReplicaGroup> voted_;
  std::map<std::uint32_t, ledger::ReplicaGroup> groups_;  ///< The latest description of each.
  std::map<std::string, std::set<std::uint32_t>> whole_;  ///< By disk: groups that it holds.
  std::map<std::uint32_t, Timestamp> votes_since_;        ///< Groups that can vote.
  std::map<std::uint32_t, RoundPointer> after_majority_;
  std::map<std::uint32_t, RoundPointer> after_all_back_;
  bool store_away_ = false;
  Timestamp store_back_at_{};
  Timestamp rounds_of_{};          ///< The return of all machines that after_all_back_ belongs to.
  Timestamp judged_{};             ///< The return of all machines that was judged last.
  Timestamp successors_judged_{};  ///< The same of those with a disk alone.
};

}  // namespace madderdeck::simulation
