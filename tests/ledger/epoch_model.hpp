#pragma once
/// @file A model of one replica group: who is a member in which epoch, what each disk knows and holds. Small enough to
/// look at every state that a few faults can bring about. Who belongs to the next epoch and who must agree on it is the
/// product's own rule; how a replica admits, fences and copies is told here again, and epoch_model_test.cpp holds each
/// of these rules against the real class.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace madderdeck::tests {

/// The rules of a replica and of those who look after groups. Each one turned off is a model that has to fail.
struct model_rules {
  bool copy_before_voting = true;  ///< A disk that joins has copied from all other members before it votes.
  /// A disk whose place was taken meanwhile copies again before it votes.
  bool copy_when_back = true;
  /// Members of a group that has fewer of them than before copy from each other.
  bool copy_when_fewer = true;
  bool fence_old_epochs = true;
  bool one_sole_decider = true;  ///< The store names one of a pair, never both.
  /// A disk that joins has what leaving members held: from them, or from a member that has copied it.
  bool wait_for_leaving = true;
  bool members_tell_epoch = true;  ///< Members that start tell the epoch that their disks know.
  /// Members vote on the next epoch whatever they hold, where one of them is whole.
  bool whole_members_decide = true;
  bool decide_only_with_all_records = true;  ///< Who decides holds every confirmed record, together or one of them.
  bool compare_in_each_epoch = true;         ///< A member is whole only by a copy in the present epoch.
  /// A disk that is to be emptied goes only once as many others as the losses ask for hold everything.
  bool leave_enough_copies = true;
};

/// What is searched.
struct model_scope {
  unsigned disks = 3;      ///< Of as many machines; all of them are founding members.
  unsigned further = 0;    ///< Machines with a disk that hold nothing of the group at first.
  unsigned spares = 0;     ///< Machines that start when one is gone.
  unsigned tolerated = 1;  ///< Disks that may be lost until everything has been copied again.
  unsigned faults = 3;     ///< In one path.
  unsigned writes = 1;     ///< Records confirmed in one path.
  bool retirements = false;
  bool store_away = false;
  /// Members that are silent are taken for gone, as a long silence makes it.
  bool silent_replaced = true;
  /// Fewer states, for more disks: a decision is heard by all that are up, and a disk copies from all that are there
  /// at once.
  bool coarse = false;
  std::size_t most_states = 4'000'000;  ///< The search fails when there are more.
};

/// What a search found.
struct model_result {
  std::size_t states = 0;
  std::size_t quiet_states = 0;  ///< Of them looked at for whether all comes back.
  bool complete = true;          ///< Every state was looked at.
  std::string violation;         ///< Empty when there is none.
  std::vector<std::string> path;
};

/// Looks at every state, the shortest paths first, until one breaks a promise: no group without a majority of admitted
/// members once all processes and the store are back; no confirmed record out of sight of a majority that answers; no
/// two descriptions of one epoch; no disk emptied and taken away that leaves a record on fewer disks than the losses
/// ask for.
model_result search(const model_scope& scope, const model_rules& rules);

}  // namespace madderdeck::tests
