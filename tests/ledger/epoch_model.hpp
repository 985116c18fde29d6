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

/// Which former members a group keeps, so that no voter lets them in again.
enum class departed_rule {
  forgotten,
  kept_where_gone,  ///< Those that the proposer knew to be emptied, or to have lost their disk.
  all_kept,
};

/// What a maintainer may have missed that proposes beside those who know the fleet.
enum class earlier_view {
  none,
  of_one_moment,      ///< Everything since some moment.
  of_single_changes,  ///< Any changes, while it heard of others.
};

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
  /// Who stands among the leaving members takes no place as any free disk does.
  bool leaving_are_no_substitutes = true;
  departed_rule departed = departed_rule::forgotten;
  /// A disk becomes a member of an epoch only if its machine said so for it: it is up, and is not to be emptied or the
  /// last that can come back.
  bool candidates_consent = true;
  bool consent_for_one_epoch = true;  ///< It holds for one number.
  /// The word of one that is to be emptied holds for coming back beside the one that is left of a pair, and no more.
  bool consent_for_what_was_asked = true;
  bool consents_are_durable = true;  ///< A machine knows after a start what it agreed to.
  /// A machine that agreed is not emptied before it knows an epoch of that number or a later one.
  bool consent_holds_up_emptying = true;
  /// Where nobody wants that epoch, the same members decide it once more.
  bool unused_consents_end = true;
  bool given_up_may_answer = true;   ///< An answer of a member that would be given up ends the decision.
  bool obsolete_disks_known = true;  ///< A maintainer does not take a disk for there that the group has seen replaced.
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
  /// Machines that hold nothing of the group are emptied, too, and go at once.
  bool others_emptied = false;
  bool store_away = false;
  /// Changes of the group may be proposed by one that knows its epoch and believes the fleet to be as it was.
  earlier_view earlier_views = earlier_view::none;
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
/// ask for; no epoch that names a disk whose machine was emptied and taken away, before or after; no machine that is
/// never emptied for the sake of an epoch that does not come.
model_result search(const model_scope& scope, const model_rules& rules);

}  // namespace madderdeck::tests
