#pragma once
/// @file A model of one replica group: the members of each epoch, and what each disk knows and holds. It is small
/// enough to visit every state that a few faults can lead to. The members of the next epoch and the votes that it needs
/// come from the production code; how a replica admits, fences and copies is modelled here a second time, and
/// epoch_model_test.cpp checks each of these rules against the real class.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace madderdeck::tests {

/// Which former members a group records, so that no voter accepts them as members again.
enum class departed_rule {
  forgotten,
  kept_where_gone,  ///< Those that the proposer knew to be drained, or to have lost their disk.
  all_kept,
};

/// Which changes of the fleet one maintainer may have missed, while other maintainers know all of them.
enum class earlier_view {
  none,
  of_one_moment,      ///< All changes since some moment.
  of_single_changes,  ///< Any single changes, while it has received others.
};

/// The rules of replicas and of the maintainers of groups. A model with any one of them turned off has to fail.
struct model_rules {
  bool copy_before_voting = true;  ///< A disk that joins has copied from all other members before it votes.
  /// A disk that returns after another one held its place in an epoch copies again before it votes.
  bool copy_when_back = true;
  /// Members copy from each other when the group has fewer members than in the previous epoch.
  bool copy_when_fewer = true;
  bool fence_old_epochs = true;
  bool one_sole_decider = true;  ///< The store names one member of a pair as the sole decider, never both.
  /// A disk that joins copies what leaving members held, from them or from a member that has copied it.
  bool wait_for_leaving = true;
  bool members_tell_epoch = true;  ///< Members that start report the latest epoch stored on their disks.
  /// Members vote on the next epoch whatever records they hold, provided that one of them is whole.
  bool whole_members_decide = true;
  /// The deciding members hold every confirmed record, together or in one of them.
  bool decide_only_with_all_records = true;
  bool compare_in_each_epoch = true;  ///< A member is whole only after a copy in the current epoch.
  /// A draining disk is removed only once enough other disks hold everything to tolerate the configured losses.
  bool leave_enough_copies = true;
  /// A leaving member is not chosen as a free disk for a vacant place.
  bool leaving_are_no_substitutes = true;
  departed_rule departed = departed_rule::forgotten;
  /// A disk becomes a member of an epoch only if its machine consented to that: the machine is up, and it is not
  /// draining or is the last one that can come back.
  bool candidates_consent = true;
  bool consent_for_one_epoch = true;  ///< A consent is valid for one epoch number.
  /// The consent of a draining machine is valid only for its return beside the remaining member of a pair.
  bool consent_for_what_was_asked = true;
  bool consents_are_durable = true;  ///< A machine keeps its consents over a restart.
  /// A machine that consented to an epoch is not drained before it knows that epoch or a later one.
  bool consent_delays_draining = true;
  /// Where no other change needs that epoch, it is decided with the same members, so that the consent ends.
  bool unused_consents_end = true;
  bool given_up_may_answer = true;   ///< A reply of the member that is to be given up aborts the decision.
  bool obsolete_disks_known = true;  ///< A maintainer does not count a disk as present that the group has replaced.
};

/// The bounds of a search.
struct model_scope {
  unsigned disks = 3;      ///< Founding members, each on a machine of its own.
  unsigned further = 0;    ///< Machines with a disk that holds no record of the group at first.
  unsigned spares = 0;     ///< Machines that start when another one is gone.
  unsigned tolerated = 1;  ///< Disks that may be lost before everything has been copied again.
  unsigned faults = 3;     ///< Most faults in one path.
  unsigned writes = 1;     ///< Most records confirmed in one path.
  bool retirements = false;
  /// Machines that hold no record of the group are drained, too, and leave at once.
  bool others_drained = false;
  bool store_away = false;
  /// Epochs may be proposed by a maintainer that knows the latest epoch but has an outdated view of the fleet.
  earlier_view earlier_views = earlier_view::none;
  /// Unresponsive members count as gone, as after a long time without a reply.
  bool replace_unresponsive = true;
  /// Reduces the number of states, so that more disks can be modelled: all processes that are up learn of a decision at
  /// once, and a disk copies from all present members in one step.
  bool coarse = false;
  std::size_t max_states = 4'000'000;  ///< The search stops as incomplete when there are more.
};

/// The result of a search.
struct model_result {
  std::size_t states = 0;
  std::size_t recovery_states = 0;  ///< States that were also checked for recovery once everything is back.
  bool complete = true;             ///< Every state was visited.
  std::string violation;            ///< Empty when there is none.
  std::vector<std::string> path;
};

/// Visits every state, breadth first, until one violates an invariant: a group has a majority of admitted members once
/// all processes and the store are back; a majority that answers holds every confirmed record; an epoch has one
/// description; removing a drained disk leaves each record on enough disks for the tolerated losses; no epoch names a
/// disk whose machine was drained and removed, before or after; no machine waits with its draining for an epoch that is
/// never decided.
model_result search(const model_scope& scope, const model_rules& rules);

}  // namespace madderdeck::tests
