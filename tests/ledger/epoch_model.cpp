#include "ledger/epoch_model.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <deque>
#include <map>
#include <unordered_map>
#include <unordered_set>

#include "ledger/epoch_change.hpp"
#include "ledger/handover.hpp"
#include "ledger/model_fleet.hpp"

namespace madderdeck::tests {
namespace {

using ledger::ReplicaGroup;
using ledger::ReplicaIdentity;

constexpr unsigned kMaxEpochs = 12;
constexpr unsigned kMaxWrites = 2;
constexpr std::uint8_t kNobody = 0xFF;
using node_set = std::uint8_t;  ///< One bit per machine; stands for the machine's current disk.

constexpr bool has(node_set set, unsigned node) { return (set >> node & 1U) != 0; }
constexpr node_set only(unsigned node) { return static_cast<node_set>(1U << node); }
unsigned size_of(node_set set) { return static_cast<unsigned>(std::popcount(set)); }

struct description {
  std::vector<disk> replicas;
  std::vector<disk> leaving;
  std::vector<disk> departed;  ///< Former members that are never accepted again, if the rules keep them.
  auto operator<=>(const description&) const = default;
};

/// A machine with its process and its current disk.
struct machine {
  presence state = presence::spare;
  std::uint8_t disk_number = 0;
  bool retiring = false;
  std::uint8_t epoch = 0;                ///< The latest epoch stored on its disk.
  bool voted = false;                    ///< Its disk was admitted in some epoch.
  bool returning = false;                ///< Its disk has to copy again before it votes.
  bool dropped = false;                  ///< This process knows that it is no longer a member.
  bool holds_leaving = false;            ///< Its disk holds all records of the members that leave in its epoch.
  bool full = false;                     ///< Its disk has copied all records that it lacked when its epoch began.
  node_set copied = 0;                   ///< Sources that this process has copied from in this epoch.
  node_set copied_votes = 0;             ///< The sources among them that were admitted.
  node_set copied_whole = 0;             ///< The sources among them that were whole.
  bool whole = false;                    ///< Its disk holds every record confirmed before its epoch.
  bool whole_with_same_members = false;  ///< It was whole in an earlier epoch of the same members.
  bool whole_in_previous_epoch = false;  ///< It was whole in the epoch before this one.
  bool followed = false;                 ///< Its disk adopted the epoch before this one.
  /// The epoch of the consent stored on its disk; 0: no consent, or one for an epoch that it knows to be over.
  std::uint8_t consented_epoch = 0;
  auto operator<=>(const machine&) const = default;
};

/// A disk's consent to be a member of an epoch, as known to the maintainers that requested it.
struct consent {
  std::uint8_t disk_number = 0;
  std::uint8_t epoch = 0;    ///< 0: none.
  bool last_resort = false;  ///< It is draining, and would return beside the remaining member of a pair.
  auto operator<=>(const consent&) const = default;
};

struct model_state {
  std::array<machine, kMaxNodes> machines;
  std::vector<description> epochs;              ///< Decided epochs; the first one is epoch 1.
  std::array<node_set, kMaxEpochs> voters{};    ///< Disks that store a vote for the next epoch, by epoch.
  std::array<std::uint8_t, kMaxEpochs> sole{};  ///< The sole decider that the store named after an epoch, or kNobody.
  std::array<node_set, kMaxWrites> held{};      ///< Disks that hold each confirmed record.
  std::uint8_t written = 0;
  std::uint8_t published = 1;  ///< The epoch that nodes read from the store when they start.
  bool store_up = true;
  std::uint8_t lost = 0;  ///< Disks lost since all records were last fully copied.
  std::uint8_t faults = 0;
  std::optional<fleet_belief> earlier;  ///< The view of a maintainer that missed some changes.
  std::array<consent, kMaxNodes> consents{};
  node_set drained = 0;  ///< Machines that were drained and removed.

  unsigned latest() const { return static_cast<unsigned>(epochs.size()); }
  const description& of(unsigned epoch) const { return epochs.at(epoch - 1); }
};

std::string text_of(const description& group) {
  std::string text = "{";
  for (const disk& one : group.replicas) {
    text += " " + name_of(one);
  }
  for (const disk& one : group.leaving) {
    text += " (" + name_of(one) + " leaves)";
  }
  for (const disk& one : group.departed) {
    text += " (without " + name_of(one) + ")";
  }
  return text + " }";
}
std::string text_of(node_set set) {
  std::string text;
  for (unsigned node = 0; node < kMaxNodes; ++node) {
    text += has(set, node) ? name_of(node) : "";
  }
  return text;
}

/// @return @p state serialized as bytes; equal states give equal bytes.
std::string key_of(const model_state& state) {
  std::string key;
  const auto put = [&key](unsigned value) { key.push_back(static_cast<char>(value)); };
  for (const machine& one : state.machines) {
    put(static_cast<unsigned>(one.state) | (one.retiring ? 8U : 0U) | (one.voted ? 16U : 0U) |
        (one.returning ? 32U : 0U) | (one.dropped ? 64U : 0U) | (one.full ? 128U : 0U));
    put(one.disk_number * 16U + one.epoch);
    put((one.holds_leaving ? 1U : 0U) | (one.whole ? 2U : 0U) | (one.whole_with_same_members ? 4U : 0U) |
        (one.followed ? 8U : 0U) | (one.whole_in_previous_epoch ? 16U : 0U));
    put(one.copied);
    put(one.copied_votes);
    put(one.copied_whole);
    put(one.consented_epoch);
  }
  for (const consent& one : state.consents) {
    put(one.epoch == 0 ? 0U : one.disk_number * 16U + one.epoch);
    put(one.last_resort ? 1 : 0);
  }
  put(state.drained);
  key += state.earlier ? key_of(*state.earlier) : "";
  put(state.earlier ? 1 : 0);
  for (unsigned epoch = 1; epoch <= state.latest(); ++epoch) {
    for (const auto* list : {&state.of(epoch).replicas, &state.of(epoch).leaving, &state.of(epoch).departed}) {
      for (const disk& one : *list) {
        put(one.node * 16U + one.number);
      }
      put(0xFE);
    }
  }
  for (unsigned epoch = 0; epoch < kMaxEpochs; ++epoch) {
    put(state.voters[epoch]);
    put(state.sole[epoch]);
  }
  for (const node_set holders : state.held) {
    put(holders);
  }
  put(state.written);
  put(state.published);
  put(state.store_up ? 1 : 0);
  put(state.lost);
  put(state.faults);
  return key;
}

/// @return the current fleet.
fleet_belief fleet_of(const model_state& state) {
  fleet_belief fleet;
  for (unsigned node = 0; node < kMaxNodes; ++node) {
    const machine& one = state.machines[node];
    fleet[node] = {one.state, one.disk_number, one.retiring};
  }
  return fleet;
}

/// The model's state transitions and invariants.
class group_model {
 public:
  group_model(const model_scope& scope, const model_rules& rules) : scope_(scope), rules_(rules) {}

  model_state first() const {
    model_state state;
    state.sole.fill(kNobody);
    description founding;
    for (unsigned node = 0; node < scope_.disks; ++node) {
      state.machines[node] = machine{presence::up, 0, false, 1, true, false, false, true, true, 0, 0, 0, true};
      founding.replicas.push_back({static_cast<std::uint8_t>(node), 0});
    }
    for (unsigned node = scope_.disks; node < scope_.disks + scope_.further; ++node) {
      state.machines[node].state = presence::up;
    }
    state.epochs.push_back(founding);
    return state;
  }

  using moves = std::vector<std::pair<std::string, model_state>>;
  /// @return the possible successors of @p state; sets @c violation when one violates an invariant.
  moves next(const model_state& state) {
    moves result;
    steps_of_members(state, result);
    steps_of_maintainers(state, result);
    writes(state, result);
    faults(state, result);
    fork_consents(state, result);
    fork_views(state, result);
    for (auto& [move, then] : result) {
      drop_postponable_knowledge(then);
    }
    return result;
  }

  /// @return @p state without details that affect no later transition, which reduces the number of states to visit.
  model_state canonical(model_state state) const {
    bool published_is_known = false;
    for (unsigned node = 0; node < kMaxNodes; ++node) {
      machine& one = state.machines[node];
      const bool here = one.state == presence::up || one.state == presence::unresponsive;
      if (!here) {
        continue;
      }
      published_is_known = published_is_known || (!one.dropped && one.epoch >= state.published);
      if (scope_.tolerated == 0) {
        one.full = false;
      }
      const bool member = one.epoch > 0 && is_member(state, one.epoch, node);
      if (one.dropped || !member) {
        one.copied = 0;
        one.copied_votes = 0;
        one.copied_whole = 0;
        one.whole_in_previous_epoch = false;
        one.followed = false;
      }
      if (one.dropped) {
        one.whole = false;
        one.whole_with_same_members = false;
        one.holds_leaving = false;
        one.full = false;
      }
    }
    if (scope_.tolerated == 0) {
      state.lost = 0;
    }
    if (rules_.members_tell_epoch && published_is_known) {
      state.published = 0;
    }
    for (unsigned epoch = 1; epoch < state.latest(); ++epoch) {
      drop_past_epoch(state, epoch);
    }
    return state;
  }

  /// @return a description of the fault if a majority would now deny a confirmed record; empty if there is none.
  std::string check_answers(const model_state& state) const {
    for (unsigned epoch = 1; epoch <= state.latest(); ++epoch) {
      const node_set voting = voting_in(state, epoch);
      const unsigned majority = majority_of(state.of(epoch));
      for (unsigned record = 0; record < state.written; ++record) {
        if (size_of(static_cast<node_set>(voting & ~state.held[record])) >= majority) {
          return "a majority of epoch " + std::to_string(epoch) + " denies record " + std::to_string(record) +
                 ", which was confirmed";
        }
      }
    }
    return "";
  }

  /// @return the violation that remains once all processes and the store are back and no more faults happen; empty if
  /// there is none.
  std::string check_recovery(model_state state) {
    for (machine& one : state.machines) {
      if (one.state == presence::unresponsive || one.state == presence::up) {
        restart(one);
      }
    }
    state.store_up = true;
    state.lost = 0;
    state.faults = 0;
    state.earlier.reset();
    state.consents = {};
    const auto [known, unknown] = recovery_violations_.try_emplace(key_of(state));
    if (unknown) {
      known->second = find_recovery_violation(std::move(state));
    }
    return known->second;
  }
  std::size_t checked_recoveries() const { return recovery_violations_.size(); }

  std::string violation;

 private:
  /// Removes from @p state the details of @p epoch if no machine is in it or can still enter it.
  void drop_past_epoch(model_state& state, unsigned epoch) const {
    bool decides = false;
    bool known = epoch == state.published || !rules_.fence_old_epochs || !rules_.members_tell_epoch;
    for (unsigned node = 0; node < kMaxNodes; ++node) {
      const machine& one = state.machines[node];
      if (one.state != presence::up && one.state != presence::unresponsive) {
        continue;
      }
      const bool member = is_member(state, epoch, node);
      const bool in_coarse = one.epoch == epoch && !one.dropped;
      const bool may_decide = scope_.coarse ? in_coarse : one.epoch <= epoch && member;
      const bool may_adopt = one.epoch < epoch && (member || leaves(state, epoch, node));
      decides = decides || may_decide;
      known = known || may_adopt || one.epoch == epoch || one.epoch == epoch + 1U;
    }
    state.voters[epoch] = decides ? state.voters[epoch] : 0;
    state.sole[epoch] = decides ? state.sole[epoch] : kNobody;
    if (!known && !decides) {
      state.epochs[epoch - 1] = {};
    }
  }

  std::string find_recovery_violation(model_state state) {
    for (unsigned round = 0; round < 4 * kMaxEpochs; ++round) {
      const std::string before = key_of(state);
      const unsigned known = epoch_known_at_start(state);
      state.published = static_cast<std::uint8_t>(known);
      for (unsigned node = 0; node < kMaxNodes; ++node) {
        adopt(state, node, known);
      }
      copy_all(state);
      if (const std::string problem = check_answers(state); !problem.empty()) {
        return "all are back: " + problem;
      }
      const bool decided = decide_once(state, known);
      if (!violation.empty()) {
        return violation;
      }
      // The maintainer that decides the epoch, or finds it decided, sends it to all members.
      for (unsigned node = 0; decided && known < state.latest() && node < kMaxNodes; ++node) {
        adopt(state, node, known + 1);
      }
      if (!decided && key_of(state) == before) {
        break;
      }
    }
    const unsigned known = epoch_known_at_start(state);
    const node_set voting = voting_in(state, known);
    const std::string group = "epoch " + std::to_string(known) + " " + text_of(state.of(known));
    if (size_of(voting) < majority_of(state.of(known))) {
      return "all are back, and " + group + " has only " + text_of(voting) + " as admitted members permanently";
    }
    for (const disk& place : state.of(known).replicas) {
      if (state.machines[place.node].state == presence::up && !has(voting, place.node)) {
        return "all are back, and the place of " + name_of(place) + " in " + group + " stays empty permanently";
      }
    }
    for (unsigned node = 0; node < kMaxNodes; ++node) {
      const machine& one = state.machines[node];
      if (one.state == presence::up && one.retiring && waits_for_consented_epoch(one)) {
        return "all are back, and " + name_of(node) + " is never drained: it consented to epoch " +
               std::to_string(one.consented_epoch) + ", which is never decided";
      }
    }
    return "";
  }

  static unsigned majority_of(const description& group) { return static_cast<unsigned>(group.replicas.size() / 2 + 1); }
  static bool names(const std::vector<disk>& list, const model_state& state, unsigned node) {
    const disk wanted{static_cast<std::uint8_t>(node), state.machines[node].disk_number};
    return std::find(list.begin(), list.end(), wanted) != list.end();
  }
  static bool is_member(const model_state& state, unsigned epoch, unsigned node) {
    return names(state.of(epoch).replicas, state, node);
  }
  static bool leaves(const model_state& state, unsigned epoch, unsigned node) {
    return names(state.of(epoch).leaving, state, node);
  }
  static bool takes_part(const machine& one) { return one.state == presence::up && one.epoch > 0 && !one.dropped; }

  /// @return the machines whose votes count in @p epoch now.
  node_set voting_in(const model_state& state, unsigned epoch) const {
    node_set result = 0;
    for (unsigned node = 0; node < kMaxNodes; ++node) {
      const machine& one = state.machines[node];
      const bool fits = rules_.fence_old_epochs ? one.epoch == epoch : one.epoch >= epoch;
      if (takes_part(one) && fits && one.voted && !one.returning && is_member(state, epoch, node)) {
        result |= only(node);
      }
    }
    return result;
  }

  void restart(machine& one) const {
    one.state = presence::up;
    one.consented_epoch = rules_.consents_are_durable ? one.consented_epoch : 0;
    one.dropped = false;
    one.copied = 0;
    one.copied_votes = 0;
    one.copied_whole = 0;
  }

  /// Machine @p node adopts the decided @p epoch if it is later than its own.
  void adopt(model_state& state, unsigned node, unsigned epoch) const {
    machine& one = state.machines[node];
    if (one.state != presence::up || epoch <= one.epoch) {
      return;
    }
    one.consented_epoch = one.consented_epoch <= epoch ? 0 : one.consented_epoch;
    if (!is_member(state, epoch, node) && !leaves(state, epoch, node)) {
      one.dropped = true;
      return;
    }
    const bool followed = epoch == one.epoch + 1U;
    const bool first_sight = one.dropped || one.epoch == 0;
    const description& group = state.of(epoch);
    const description before = one.epoch > 0 ? state.of(one.epoch) : description{};
    const bool shrinks =
        one.epoch > 0 && (group.replicas.size() < before.replicas.size() || !all_in(before.leaving, group.leaving));
    one.holds_leaving =
        group.leaving.empty() || (one.holds_leaving && followed && all_in(group.leaving, before.leaving));
    auto named = group.replicas;
    named.insert(named.end(), group.leaving.begin(), group.leaving.end());
    const bool half_could_decide = before.replicas.size() % 2 == 0 || !rules_.whole_members_decide;
    const bool unsafe = rules_.wait_for_leaving && half_could_decide && !one.holds_leaving && !one.whole &&
                        !all_in(before.replicas, named);
    const bool kept_all = followed && !one.returning && !unsafe;
    const bool took_part_in_all = one.epoch > 0 && majority_of(before) == before.replicas.size();
    one.whole_in_previous_epoch = rules_.whole_members_decide && (one.whole || one.whole_with_same_members) && kept_all;
    one.whole_with_same_members = one.whole_in_previous_epoch && before.replicas == group.replicas;
    const bool stays_whole = kept_all && (took_part_in_all || !rules_.compare_in_each_epoch);
    one.whole = rules_.whole_members_decide && one.whole && stays_whole;
    one.followed = followed && !group.leaving.empty();
    const bool former = rules_.copy_when_back && one.epoch > 0 && leaves(state, one.epoch, node);
    one.returning = one.returning || (one.voted && (former || (rules_.copy_when_back && !followed) || unsafe));
    one.voted = one.voted || !rules_.copy_before_voting;
    one.dropped = false;
    one.epoch = static_cast<std::uint8_t>(epoch);
    const bool lacks =
        first_sight || !one.voted || one.returning || !group.leaving.empty() || (rules_.copy_when_fewer && shrinks);
    const bool compares = rules_.whole_members_decide && rules_.copy_when_fewer && !one.whole;
    one.copied = lacks || compares ? 0 : static_cast<node_set>(0xFF);
    one.copied_votes = 0;
    one.copied_whole = 0;
    one.full = !lacks;
  }
  static bool is_admitted(const model_state& state, unsigned node) {
    const machine& one = state.machines[node];
    return takes_part(one) && one.voted && !one.returning && is_member(state, one.epoch, node);
  }
  static node_set nodes_of(const std::vector<disk>& list) {
    node_set result = 0;
    for (const disk& one : list) {
      result |= only(one.node);
    }
    return result;
  }
  static bool all_in(const std::vector<disk>& some, const std::vector<disk>& all) {
    return std::all_of(some.begin(), some.end(),
                       [&all](const disk& one) { return std::find(all.begin(), all.end(), one) != all.end(); });
  }

  /// @return the sources of @p node in @p epoch: the leaving members if @p leaving, otherwise the other members.
  static std::vector<disk> sources_of(const model_state& state, unsigned epoch, unsigned node, bool leaving) {
    std::vector<disk> result = leaving ? state.of(epoch).leaving : state.of(epoch).replicas;
    std::erase_if(result, [node](const disk& one) { return one.node == node; });
    return result;
  }

  bool has_copied(const model_state& state, unsigned node, bool leaving) const {
    const machine& one = state.machines[node];
    if (leaving && one.holds_leaving) {
      return true;
    }
    const auto sources = sources_of(state, one.epoch, node, leaving);
    return std::all_of(sources.begin(), sources.end(), [&](const disk& from) { return has(one.copied, from.node); });
  }
  /// @return whether @p node has copied from all other members and all leaving members.
  bool holds_all(const model_state& state, unsigned node) const {
    return has_copied(state, node, false) && has_copied(state, node, true);
  }

  /// @return whether @p node has copied enough to hold every record confirmed before its epoch.
  bool has_copied_all(const model_state& state, unsigned node) const {
    const machine& one = state.machines[node];
    const bool all_members = has_copied(state, node, false);
    const bool waits = rules_.wait_for_leaving && !one.holds_leaving;
    if (!rules_.whole_members_decide) {
      return all_members && !waits;
    }
    if (one.copied_whole != 0) {
      return true;
    }
    const description& group = state.of(one.epoch);
    const unsigned admitted = size_of(one.copied_votes & nodes_of(group.replicas));
    if (!is_admitted(state, node)) {
      return (all_members && (!waits || one.whole_in_previous_epoch)) || admitted >= majority_of(group);
    }
    const node_set before = one.followed ? nodes_of(state.of(one.epoch - 1U).replicas) : 0;
    const unsigned recent_leavers = size_of(one.copied_votes & nodes_of(group.leaving) & before);
    return (all_members && (!waits || one.whole_in_previous_epoch)) ||
           1 + admitted + recent_leavers >= majority_of(group);
  }

  void admit_if_complete(model_state& state, unsigned node) const {
    machine& one = state.machines[node];
    one.holds_leaving = one.holds_leaving || has_copied(state, node, true);
    if (is_member(state, one.epoch, node) && has_copied_all(state, node)) {
      one.whole = rules_.whole_members_decide;
      one.voted = true;
      one.returning = false;
    }
    one.full = one.full || one.whole || holds_all(state, node);
    normalize_whole_member(state, node);
  }

  /// Clears the details of a whole member that have no further effect, so that equivalent states compare equal.
  void normalize_whole_member(model_state& state, unsigned node) const {
    machine& one = state.machines[node];
    if (!one.whole) {
      return;
    }
    one.whole_with_same_members = false;
    one.whole_in_previous_epoch = false;
    one.copied_votes = 0;
    one.copied_whole = 0;
    if (holds_all(state, node)) {
      one.copied = static_cast<node_set>(0xFF);
    }
  }

  /// @return whether anything was copied.
  bool copy(model_state& state, unsigned node, const disk& from) const {
    machine& one = state.machines[node];
    machine& source = state.machines[from.node];
    const bool there = source.state == presence::up && source.disk_number == from.number;
    const bool again = source.whole && !one.whole && !has(one.copied_whole, from.node);
    if (!takes_part(one) || !there || (has(one.copied, from.node) && !again)) {
      return false;
    }
    adopt(state, from.node, one.epoch);  // the copy request carries the epoch
    if (!takes_part(source) || source.epoch != one.epoch) {
      adopt(state, node, source.dropped ? 0 : source.epoch);
      return false;
    }
    one.copied |= only(from.node);
    one.copied_votes |= source.voted && !source.returning ? only(from.node) : 0;
    one.copied_whole |= source.whole ? only(from.node) : 0;
    if (source.voted && !source.returning && is_member(state, one.epoch, from.node)) {
      one.holds_leaving = one.holds_leaving || source.holds_leaving;
    }
    if (source.voted) {  // otherwise its disk is new and has confirmed nothing
      take_all(state, node, from.node);
    }
    admit_if_complete(state, node);
    return true;
  }

  static void take_all(model_state& state, unsigned node, unsigned from) {
    for (node_set& holders : state.held) {
      holders |= has(holders, from) ? only(node) : 0;
    }
  }

  std::vector<disk> all_sources(const model_state& state, unsigned node) const {
    const unsigned epoch = state.machines[node].epoch;
    if (epoch == 0 || !is_member(state, epoch, node)) {
      return {};
    }
    auto result = sources_of(state, epoch, node, false);
    const auto leaving = sources_of(state, epoch, node, true);
    result.insert(result.end(), leaving.begin(), leaving.end());
    return result;
  }

  void copy_all(model_state& state) const {
    for (unsigned node = 0; node < kMaxNodes; ++node) {
      for (const disk& from : all_sources(state, node)) {
        copy(state, node, from);
      }
      if (takes_part(state.machines[node])) {
        admit_if_complete(state, node);
      }
    }
  }

  /// @return the epoch that a starting node learns: it reads the published epoch from the store and asks the members.
  unsigned epoch_known_at_start(const model_state& state) const {
    unsigned known = state.published;
    for (bool learnt = true; learnt;) {
      learnt = false;
      for (unsigned node = 0; node < kMaxNodes; ++node) {
        const machine& one = state.machines[node];
        const auto named = [node](const disk& place) { return place.node == node; };
        const description& group = state.of(known);
        const bool asked = std::any_of(group.replicas.begin(), group.replicas.end(), named);
        if (takes_part(one) && one.epoch > known && (asked || rules_.members_tell_epoch)) {
          known = one.epoch;
          learnt = true;
        }
      }
    }
    return known;
  }

  void steps_of_members(const model_state& state, moves& result) const {
    for (unsigned node = 0; node < kMaxNodes; ++node) {
      const machine& one = state.machines[node];
      if (one.state == presence::up) {
        const unsigned first = scope_.coarse ? std::max(state.latest(), one.epoch + 1U) : one.epoch + 1U;
        for (unsigned epoch = first; epoch <= state.latest(); ++epoch) {
          const bool consented_to_it = one.consented_epoch > 0 && one.consented_epoch <= epoch;
          if (one.dropped && !consented_to_it && !is_member(state, epoch, node) && !leaves(state, epoch, node)) {
            continue;
          }
          model_state then = state;
          adopt(then, node, epoch);
          result.emplace_back(name_of(node) + " adopts epoch " + std::to_string(epoch), std::move(then));
        }
      }
      if (!takes_part(one)) {
        continue;
      }
      if (scope_.coarse) {
        model_state then = state;
        bool any = false;
        for (const disk& from : all_sources(state, node)) {
          any = copy(then, node, from) || any;
        }
        if (any) {
          result.emplace_back(name_of(node) + " copies in epoch " + std::to_string(one.epoch), std::move(then));
        }
        continue;
      }
      for (const disk& from : all_sources(state, node)) {
        model_state then = state;
        if (copy(then, node, from)) {
          result.emplace_back(
              name_of(node) + " copies from " + name_of(from) + " in epoch " + std::to_string(one.epoch),
              std::move(then));
        }
      }
    }
  }

  /// @return the machines that can vote now on the epoch after @p epoch.
  node_set deciding_in(const model_state& state, unsigned epoch) const {
    if (!rules_.whole_members_decide) {
      return voting_in(state, epoch);
    }
    node_set result = 0;
    for (unsigned node = 0; node < kMaxNodes; ++node) {
      const machine& one = state.machines[node];
      if (takes_part(one) && one.epoch == epoch && is_member(state, epoch, node)) {
        result |= only(node);
      }
    }
    return result;
  }

  /// @return whether @p granting reach @p quorum and together hold every confirmed record.
  bool may_decide(const model_state& state, unsigned epoch, const ledger::epoch_change& change, node_set granting,
                  unsigned quorum) const {
    if (size_of(granting) < quorum) {
      return false;
    }
    if (!rules_.whole_members_decide || !rules_.decide_only_with_all_records) {
      return true;
    }
    unsigned whole = 0;
    for (unsigned node = 0; node < kMaxNodes; ++node) {
      const machine& one = state.machines[node];
      const bool let_go =
          change.rule.let_go && disk_of(*change.rule.let_go) == disk{static_cast<std::uint8_t>(node), one.disk_number};
      whole += has(granting, node) && !let_go && (one.whole || one.whole_with_same_members) ? 1 : 0;
    }
    if (change.rule.whole_majority) {
      return whole >= std::max<std::size_t>(majority_of(state.of(epoch)), change.rule.least_whole);
    }
    const unsigned admitted = size_of(granting & voting_in(state, epoch));
    return whole > 0 || (!change.rule.sole && admitted >= quorum);
  }

  /// Adds one successor for each set of members of @p epoch that may decide the next epoch.
  /// @param view the proposer's view of the fleet
  void decide(const model_state& state, unsigned epoch, const fleet_belief& view, bool unresponsive_are_missing,
              moves& result) {
    auto change = change_of(state, epoch, view, unresponsive_are_missing);
    if (!change && needs_unchanged_epoch(state, epoch)) {
      change = no_change(state, epoch);
    }
    if (!change || epoch + 1 >= kMaxEpochs || given_up_answers(state, *change)) {
      return;
    }
    const node_set voting = deciding_in(state, epoch);
    const node_set allowed =
        change->rule.sole ? static_cast<node_set>(voting & only(disk_of(*change->rule.sole).node)) : voting;
    const unsigned quorum =
        change->rule.quorum > 0 ? static_cast<unsigned>(change->rule.quorum) : majority_of(state.of(epoch));
    if (change->rule.sole && !named_sole(state, epoch, disk_of(*change->rule.sole))) {
      ask_store(state, epoch, disk_of(*change->rule.sole), result);
      return;
    }
    const description wanted = described(state, epoch, *change, view);
    const std::vector<disk> joining = not_in(state.of(epoch).replicas, wanted.replicas);
    const bool decided = epoch < state.latest();
    if (!decided && !may_decide(state, epoch, *change, allowed, quorum)) {
      return;
    }
    if (!decided && !(may_join(state, epoch, joining) && all_consent(state, epoch, joining, view))) {
      return;
    }
    for (unsigned set = 1; set < 1U << kMaxNodes; ++set) {
      const auto chosen = static_cast<node_set>(set);
      if ((chosen & ~allowed) != 0 || size_of(chosen) != quorum) {
        continue;
      }
      if (decided) {
        found_decided_ = true;
        const auto unaware = static_cast<node_set>(allowed & ~state.voters[epoch]);
        if ((chosen & state.voters[epoch]) == 0 && may_decide(state, epoch, *change, unaware, quorum)) {
          violation = text_of(chosen) + " decide epoch " + std::to_string(epoch + 1) + " again as " + text_of(wanted) +
                      ", which others have decided as " + text_of(state.of(epoch + 1));
        }
        continue;
      }
      model_state then = state;
      then.epochs.push_back(wanted);
      then.voters[epoch] = scope_.coarse ? voting : chosen;
      record_joining(then, joining);
      for (unsigned node = 0; scope_.coarse && node < kMaxNodes; ++node) {
        adopt(then, node, epoch + 1);
      }
      result.emplace_back(text_of(chosen) + " decide epoch " + std::to_string(epoch + 1) + " " + text_of(wanted) +
                              proposer_text(state, view),
                          std::move(then));
      if (scope_.coarse) {
        return;
      }
    }
  }

  bool named_sole(const model_state& state, unsigned epoch, const disk& member) const {
    return !rules_.one_sole_decider || state.sole[epoch] == member.node * 16U + member.number;
  }
  static void ask_store(const model_state& state, unsigned epoch, const disk& member, moves& result) {
    if (!state.store_up || state.sole[epoch] != kNobody) {
      return;
    }
    model_state then = state;
    then.sole[epoch] = static_cast<std::uint8_t>(member.node * 16U + member.number);
    result.emplace_back("the store names " + name_of(member) + " sole decider after epoch " + std::to_string(epoch),
                        std::move(then));
  }

  /// @return the change that the production code wants; cached, since the same few inputs recur often.
  std::optional<ledger::epoch_change> change_of(const model_state& state, unsigned epoch, const fleet_belief& view,
                                                bool unresponsive_are_missing) {
    const description& present = state.of(epoch);
    std::string key = key_of(view);
    key.push_back(unresponsive_are_missing ? 1 : 0);
    key.push_back(static_cast<char>(epoch));
    key += text_of(present);
    const auto [known, unknown] = changes_.try_emplace(key);
    if (unknown) {
      const ReplicaGroup group = group_of(present, epoch);
      std::vector<disk> named = rules_.obsolete_disks_known ? present.replicas : std::vector<disk>{};
      if (rules_.obsolete_disks_known) {
        named.insert(named.end(), present.leaving.begin(), present.leaving.end());
      }
      believed_fleet fleet(view, unresponsive_are_missing, std::move(named));
      known->second = ledger::next_epoch_change(group, fleet, scope_.disks);
    }
    return known->second;
  }
  /// @return @p present as the production type. Without the rule leaving_are_no_substitutes the leaving members get
  /// other names, so that the production code does not recognize them.
  ReplicaGroup group_of(const description& present, unsigned epoch) const {
    ReplicaGroup group;
    group.epoch = epoch;
    for (const disk& one : present.replicas) {
      group.replicas.push_back(identity_of(one));
    }
    for (const disk& one : present.leaving) {
      group.leaving.push_back(rules_.leaving_are_no_substitutes ? identity_of(one) : former_identity_of(one));
    }
    return group;
  }
  /// @return the description of the next epoch as the group stores it.
  /// @param view the proposer's view of the fleet
  description described(const model_state& state, unsigned epoch, const ledger::epoch_change& change,
                        const fleet_belief& view) const {
    description wanted;
    for (const ReplicaIdentity& one : change.next.replicas) {
      wanted.replicas.push_back(disk_of(one));
    }
    for (const ReplicaIdentity& one : change.next.leaving) {
      wanted.leaving.push_back(disk_of(one));
    }
    std::erase_if(wanted.leaving, [&wanted](const disk& one) { return contains(wanted.replicas, one); });
    if (rules_.departed == departed_rule::forgotten) {
      return wanted;
    }
    const description& before = state.of(epoch);
    wanted.departed = before.departed;
    for (const auto* list : {&before.replicas, &before.leaving}) {
      for (const disk& one : *list) {
        const machine_belief& believed = view[one.node];
        const bool drained = believed.state == presence::gone && has(state.drained, one.node);
        const bool for_good = drained || believed.retiring || believed.disk_number != one.number;
        const bool named = contains(wanted.replicas, one) || contains(wanted.leaving, one);
        if (!named && (for_good || rules_.departed == departed_rule::all_kept)) {
          wanted.departed.push_back(one);
        }
      }
    }
    return wanted;
  }
  static bool contains(const std::vector<disk>& list, const disk& one) {
    return std::find(list.begin(), list.end(), one) != list.end();
  }
  /// @return the disks of @p next that are not in @p before.
  static std::vector<disk> not_in(const std::vector<disk>& before, const std::vector<disk>& next) {
    std::vector<disk> result = next;
    std::erase_if(result, [&before](const disk& one) { return contains(before, one); });
    return result;
  }
  std::string proposer_text(const model_state& state, const fleet_belief& view) const {
    if (view == fleet_of(state)) {
      return "";
    }
    std::string text = ", proposed by a maintainer that believes in";
    for (unsigned node = 0; node < kMaxNodes; ++node) {
      const machine_belief& one = view[node];
      if (one.state == presence::up || one.state == presence::unresponsive) {
        text += " " + name_of({static_cast<std::uint8_t>(node), one.disk_number});
        text += one.state == presence::unresponsive ? " unresponsive" : "";
        text += one.retiring ? " draining" : "";
      }
    }
    return text;
  }

  /// @return whether the member to be given up answers, which aborts the decision.
  bool given_up_answers(const model_state& state, const ledger::epoch_change& change) const {
    if (!rules_.given_up_may_answer || !change.rule.given_up) {
      return false;
    }
    const disk lost = disk_of(*change.rule.given_up);
    const machine& one = state.machines[lost.node];
    return takes_part(one) && one.disk_number == lost.number;
  }
  /// @return whether none of @p joining is recorded in @p epoch as permanently departed.
  bool may_join(const model_state& state, unsigned epoch, const std::vector<disk>& joining) const {
    return std::none_of(joining.begin(), joining.end(),
                        [&](const disk& one) { return contains(state.of(epoch).departed, one); });
  }

  /// @return whether @p one would consent now to be a member of the epoch after @p epoch.
  /// @param last_resort whether it is asked to return though it is draining
  bool would_consent(const model_state& state, unsigned epoch, const disk& one, bool last_resort) const {
    const machine& candidate = state.machines[one.node];
    if (candidate.state != presence::up || candidate.disk_number != one.number || candidate.epoch > epoch) {
      return false;
    }
    const bool leaves_a_pair = contains(state.of(epoch).leaving, one) && state.of(epoch).replicas.size() == 2;
    return !candidate.retiring || (last_resort && leaves_a_pair);
  }
  /// @return whether @p one has consented to be a member of the epoch after @p epoch.
  /// @param last_resort whether it was asked to return though it is draining
  bool has_consented(const model_state& state, unsigned epoch, const disk& one, bool last_resort) const {
    const consent& given = state.consents[one.node];
    const bool for_this = given.epoch == epoch + 1 || (!rules_.consent_for_one_epoch && given.epoch > 0);
    const bool for_that = !given.last_resort || last_resort || !rules_.consent_for_what_was_asked;
    return given.disk_number == one.number && for_this && for_that;
  }
  /// @return whether all of @p joining consent or have consented to the epoch after @p epoch.
  /// @param view the proposer's view of the fleet
  bool all_consent(const model_state& state, unsigned epoch, const std::vector<disk>& joining,
                   const fleet_belief& view) const {
    return !rules_.candidates_consent || std::all_of(joining.begin(), joining.end(), [&](const disk& one) {
      const bool last_resort = view[one.node].retiring;
      return has_consented(state, epoch, one, last_resort) || would_consent(state, epoch, one, last_resort);
    });
  }
  /// Records that the latest epoch names @p joining, which were not members before.
  void record_joining(model_state& state, const std::vector<disk>& joining) {
    for (const disk& one : joining) {
      machine& joins = state.machines[one.node];
      if (has(state.drained, one.node) && joins.disk_number == one.number) {
        violation = "epoch " + std::to_string(state.latest()) + " " + text_of(state.of(state.latest())) + " names " +
                    name_of(one) + ", which was drained and removed";
      }
      if (rules_.candidates_consent && joins.disk_number == one.number && joins.state != presence::gone) {
        joins.consented_epoch = static_cast<std::uint8_t>(state.latest());
      }
    }
  }
  bool waits_for_consented_epoch(const machine& one) const {
    return rules_.consent_delays_draining && one.consented_epoch > 0;
  }
  /// @return whether a draining machine waits for the epoch after @p epoch because of its consent. The members then
  /// decide that epoch unchanged.
  bool needs_unchanged_epoch(const model_state& state, unsigned epoch) const {
    return rules_.unused_consents_end &&
           std::any_of(state.machines.begin(), state.machines.end(), [&](const machine& one) {
             return one.state == presence::up && one.retiring && waits_for_consented_epoch(one) &&
                    one.consented_epoch == epoch + 1;
           });
  }
  ledger::epoch_change no_change(const model_state& state, unsigned epoch) const {
    ledger::epoch_change change;
    change.next = group_of(state.of(epoch), epoch + 1);
    return change;
  }

  bool may_be_asked(const model_state& state, unsigned node) const {
    const unsigned epoch = state.latest();
    const disk one{static_cast<std::uint8_t>(node), state.machines[node].disk_number};
    const consent& given = state.consents[node];
    const bool asked = given.epoch == epoch + 1 && given.disk_number == one.number;
    return !asked && epoch + 1 < kMaxEpochs && !is_member(state, epoch, node) && would_consent(state, epoch, one, true);
  }
  /// Adds variants in which a disk consented earlier in this epoch. A consent only matters once the disk would no
  /// longer give it, so the variant is added at that point.
  void fork_consents(const model_state& state, moves& result) const {
    if (!rules_.candidates_consent) {
      return;
    }
    const fleet_belief before = fleet_of(state);
    for (std::size_t at = 0, moves_before = result.size(); at < moves_before; ++at) {
      const fleet_belief after = fleet_of(result[at].second);
      for (unsigned node = 0; node < kMaxNodes; ++node) {
        if (before[node] == after[node] || !may_be_asked(state, node)) {
          continue;
        }
        const bool leaves_now = after[node].state == presence::gone && has(result[at].second.drained, node);
        if (leaves_now && rules_.consent_delays_draining) {
          continue;
        }
        auto [move, then] = result[at];
        const auto epoch = static_cast<std::uint8_t>(state.latest() + 1);
        then.consents[node] = {before[node].disk_number, epoch, before[node].retiring};
        const bool keeps_disk =
            after[node].state != presence::gone && after[node].disk_number == before[node].disk_number;
        then.machines[node].consented_epoch = keeps_disk ? epoch : then.machines[node].consented_epoch;
        result.emplace_back(name_of(node) + " consents to epoch " + std::to_string(epoch) + "; " + move,
                            std::move(then));
      }
    }
  }
  /// Adds variants in which one maintainer misses a change of the fleet.
  void fork_views(const model_state& state, moves& result) const {
    if (scope_.earlier_views == earlier_view::none) {
      return;
    }
    const fleet_belief before = fleet_of(state);
    for (std::size_t at = 0, moves_before = result.size(); at < moves_before; ++at) {
      auto& [move, then] = result[at];
      const fleet_belief after = fleet_of(then);
      if (before == after || (state.earlier && scope_.earlier_views == earlier_view::of_one_moment)) {
        continue;
      }
      model_state unheard = then;
      unheard.earlier = state.earlier.value_or(before);
      for (unsigned node = 0; then.earlier && node < kMaxNodes; ++node) {
        (*then.earlier)[node] = before[node] == after[node] ? (*then.earlier)[node] : after[node];
      }
      result.emplace_back(move + ", missed by a maintainer", std::move(unheard));
    }
  }
  /// Drops consents and views that can be added later with the same effect, which reduces the number of states to
  /// visit.
  void drop_postponable_knowledge(model_state& state) const {
    if (state.earlier && *state.earlier == fleet_of(state)) {
      state.earlier.reset();
    }
    for (unsigned node = 0; rules_.consent_for_one_epoch && node < kMaxNodes; ++node) {
      consent& given = state.consents[node];
      machine& one = state.machines[node];
      if (given.epoch > 0 && given.epoch <= state.latest()) {
        given = {};
      }
      const disk present{static_cast<std::uint8_t>(node), one.disk_number};
      const bool undecided = given.epoch > state.latest() && given.disk_number == one.disk_number;
      if (undecided && !one.retiring && would_consent(state, state.latest(), present, false)) {
        given = {};
        one.consented_epoch = one.consented_epoch > state.latest() ? 0 : one.consented_epoch;
      }
    }
  }

  /// Applies the first transition that decides something while all processes and the store are back.
  /// @return whether the epoch after @p epoch is decided now, or the store has named who may do so.
  bool decide_once(model_state& state, unsigned epoch) {
    moves possible;
    found_decided_ = false;
    decide(state, epoch, fleet_of(state), true, possible);
    if (possible.empty()) {
      return found_decided_;
    }
    state = std::move(possible.front().second);
    return true;
  }

  /// Adds the decisions on the epoch after @p epoch that a maintainer with @p view proposes.
  void propose(const model_state& state, unsigned epoch, const fleet_belief& view, moves& result) {
    decide(state, epoch, view, false, result);
    const bool silent = std::any_of(view.begin(), view.end(),
                                    [](const machine_belief& one) { return one.state == presence::unresponsive; });
    if (silent && scope_.replace_unresponsive) {
      decide(state, epoch, view, true, result);
    }
  }

  void steps_of_maintainers(const model_state& state, moves& result) {
    for (unsigned epoch = 1; epoch <= state.latest(); ++epoch) {
      propose(state, epoch, fleet_of(state), result);
      if (state.earlier) {
        propose(state, epoch, *state.earlier, result);
      }
    }
    if (state.store_up && state.published < state.latest()) {
      model_state then = state;
      then.published = static_cast<std::uint8_t>(state.latest());
      result.emplace_back("the store receives epoch " + std::to_string(state.latest()), std::move(then));
    }
  }

  void writes(const model_state& state, moves& result) const {
    if (state.written >= scope_.writes) {
      return;
    }
    for (unsigned epoch = 1; epoch <= state.latest(); ++epoch) {
      const node_set voting = voting_in(state, epoch);
      for (unsigned set = 1; set < 1U << kMaxNodes; ++set) {
        const auto chosen = static_cast<node_set>(set);
        if ((chosen & ~voting) != 0 || size_of(chosen) != majority_of(state.of(epoch))) {
          continue;
        }
        model_state then = state;
        then.held[then.written++] = chosen;
        result.emplace_back(text_of(chosen) + " confirm a record in epoch " + std::to_string(epoch), std::move(then));
      }
    }
  }

  /// @return whether as many disks as possible hold every record.
  bool whole(const model_state& state) const {
    const description& group = state.of(state.latest());
    std::size_t places = 0;
    for (const machine& one : state.machines) {
      places += one.state != presence::gone && one.state != presence::spare && !one.retiring ? 1 : 0;
    }
    const bool successors_here = scope_.spares == 0 || started_spares(state) >= lost_machines(state);
    if (group.replicas.size() < std::min<std::size_t>(places, scope_.disks) || !successors_here) {
      return false;
    }
    return std::all_of(group.replicas.begin(), group.replicas.end(), [&](const disk& place) {
      const machine& one = state.machines[place.node];
      const bool here = one.disk_number == place.number && one.epoch == state.latest() && takes_part(one);
      return here && one.voted && !one.returning && one.full;
    });
  }

  void faults(const model_state& state, moves& result) {
    for (unsigned node = 0; node < kMaxNodes; ++node) {
      const machine& one = state.machines[node];
      if (one.state == presence::unresponsive) {
        model_state then = state;
        then.machines[node].state = presence::up;
        result.emplace_back(name_of(node) + " is back", std::move(then));
        then = state;
        restart(then.machines[node]);
        result.emplace_back(name_of(node) + " is back, restarted", std::move(then));
      }
      if (one.state == presence::up && one.retiring && has_left(state, node)) {
        model_state then = state;
        remove(then, node);
        then.drained |= only(node);
        check_copies_left(state, then, node);
        check_not_named(state, node);
        result.emplace_back(name_of(node) + " has left and is removed", std::move(then));
      }
      if (one.state == presence::spare && node < scope_.disks + scope_.further + scope_.spares &&
          started_spares(state) < lost_machines(state)) {
        model_state then = state;
        then.machines[node].state = presence::up;
        result.emplace_back("the new machine " + name_of(node) + " starts", std::move(then));
      }
    }
    if (!state.store_up) {
      model_state then = state;
      then.store_up = true;
      result.emplace_back("the store is back", std::move(then));
    }
    if (state.faults < scope_.faults) {
      new_faults(state, result);
    }
  }

  static unsigned lost_machines(const model_state& state) {
    return static_cast<unsigned>(std::count_if(state.machines.begin(), state.machines.end(),
                                               [](const machine& one) { return one.state == presence::gone; }));
  }
  unsigned started_spares(const model_state& state) const {
    const auto first = state.machines.begin() + scope_.disks + scope_.further;
    return static_cast<unsigned>(std::count_if(first, first + scope_.spares, [](const machine& one) {
      return one.state == presence::up || one.state == presence::unresponsive;
    }));
  }
  static void erase_disk(model_state& state, unsigned node) {
    const auto others = static_cast<node_set>(~only(node));
    for (node_set& holders : state.held) {
      holders &= others;
    }
    for (node_set& holders : state.voters) {
      holders &= others;
    }
  }
  static void remove(model_state& state, unsigned node) {
    erase_disk(state, node);
    machine& one = state.machines[node];
    one = machine{presence::gone, one.disk_number, false, 0, false, false, false, false, false, 0};
  }

  /// Sets @c violation if removing @p node leaves a record on fewer disks than required.
  void check_copies_left(const model_state& before, const model_state& after, unsigned node) {
    const std::size_t least = ledger::least_copies(scope_.disks);
    for (unsigned record = 0; record < before.written; ++record) {
      const bool had_enough = size_of(before.held[record]) >= least;
      if (had_enough && size_of(after.held[record]) < least) {
        violation = name_of(node) + " was drained and removed, and record " + std::to_string(record) + " is on " +
                    text_of(after.held[record]) + " only";
      }
    }
  }

  /// Sets @c violation if @p node is removed while the latest epoch, unknown to @p node, names it as a member.
  void check_not_named(const model_state& before, unsigned node) {
    const unsigned latest = before.latest();
    if (is_member(before, latest, node)) {
      violation = name_of(node) + " was drained and removed, and epoch " + std::to_string(latest) + " " +
                  text_of(before.of(latest)) + " names it";
    }
  }

  /// @return whether retiring machine @p node is no longer in the group and all members hold its records.
  bool has_left(const model_state& state, unsigned node) const {
    const machine& one = state.machines[node];
    if (waits_for_consented_epoch(one)) {
      return false;
    }
    if (scope_.others_drained && (one.dropped || one.epoch == 0)) {
      return true;
    }
    if (one.dropped || one.epoch == 0 || !leaves(state, one.epoch, node)) {
      return false;
    }
    const auto& members = state.of(one.epoch).replicas;
    const ReplicaGroup sized{one.epoch, std::vector<ReplicaIdentity>(members.size()), {}};
    const std::size_t least = rules_.leave_enough_copies ? ledger::least_copies(scope_.disks) : 0;
    if (members.size() < ledger::copies_needed(sized, least)) {
      return false;
    }
    return std::all_of(members.begin(), members.end(), [&](const disk& place) {
      const machine& member = state.machines[place.node];
      const bool here = member.disk_number == place.number && takes_part(member) && member.epoch == one.epoch;
      return here && member.voted && holds_all(state, place.node);
    });
  }

  void new_faults(const model_state& state, moves& result) const {
    model_state struck = state;
    ++struck.faults;
    const bool may_lose = scope_.tolerated > 0 && (state.lost < scope_.tolerated || whole(state));
    for (unsigned node = 0; node < kMaxNodes; ++node) {
      const machine& one = state.machines[node];
      const bool here = one.state == presence::up || one.state == presence::unresponsive;
      if (one.state == presence::up) {
        model_state then = struck;
        then.machines[node].state = presence::unresponsive;
        result.emplace_back(name_of(node) + " becomes unresponsive", std::move(then));
      }
      if (here && may_lose) {
        lose(struck, state, node, result);
      }
      const bool holds_group = one.epoch > 0 && is_member(state, one.epoch, node);
      const bool may_retire =
          scope_.retirements && one.state == presence::up && !one.retiring && (holds_group || scope_.others_drained);
      if (may_retire && std::none_of(state.machines.begin(), state.machines.end(), [](const machine& other) {
            return other.retiring || other.state == presence::gone;
          })) {
        model_state then = struck;
        then.machines[node].retiring = true;
        result.emplace_back(name_of(node) + " starts draining", std::move(then));
      }
    }
    model_state dark = struck;
    for (machine& one : dark.machines) {
      if (one.state == presence::up || one.state == presence::unresponsive) {
        restart(one);
      }
    }
    result.emplace_back("all lose power and start again", std::move(dark));
    if (scope_.store_away && state.store_up) {
      model_state then = struck;
      then.store_up = false;
      result.emplace_back("the store becomes unavailable", std::move(then));
    }
  }

  void lose(const model_state& struck, const model_state& state, unsigned node, moves& result) const {
    model_state then = struck;
    then.lost = static_cast<std::uint8_t>((whole(state) ? 0 : state.lost) + 1);
    model_state gone = then;
    erase_disk(then, node);
    const machine before = then.machines[node];
    then.machines[node] = machine{presence::up,    static_cast<std::uint8_t>(before.disk_number + 1),
                                  before.retiring, 0,
                                  false,           false,
                                  false,           false,
                                  false,           0};
    result.emplace_back(name_of(node) + " loses its disk", std::move(then));
    if (lost_machines(state) < scope_.spares) {
      remove(gone, node);
      result.emplace_back(name_of(node) + " is lost permanently", std::move(gone));
    }
  }

  const model_scope scope_;
  const model_rules rules_;
  std::unordered_map<std::string, std::optional<ledger::epoch_change>> changes_;
  bool found_decided_ = false;  ///< Whether the last call of decide() found the epoch decided.
  std::unordered_map<std::string, std::string>
      recovery_violations_;  ///< Violations that remain once all are back, by state.
};

/// How a state was reached: the index of its predecessor and the transition.
struct reached {
  std::size_t from = 0;
  std::string move;
};

std::vector<std::string> path_to(const std::vector<reached>& all, std::size_t last) {
  std::vector<std::string> path;
  for (std::size_t at = last; at != 0; at = all[at].from) {
    path.push_back(all[at].move);
  }
  std::reverse(path.begin(), path.end());
  return path;
}

}  // namespace

model_result search(const model_scope& scope, const model_rules& rules) {
  group_model model(scope, rules);
  model_result result;
  std::unordered_set<std::string> seen;
  std::vector<reached> all(1);
  std::deque<std::pair<std::size_t, model_state>> open;
  open.emplace_back(0, model.first());
  seen.insert(key_of(model.canonical(open.front().second)));
  while (!open.empty()) {
    auto [number, state] = std::move(open.front());
    open.pop_front();
    ++result.states;
    result.recovery_states = model.checked_recoveries();
    result.violation = model.check_answers(state);
    if (result.violation.empty()) {
      result.violation = model.check_recovery(state);
    }
    auto moves = result.violation.empty() ? model.next(state) : group_model::moves{};
    if (!model.violation.empty()) {
      result.violation = model.violation;
    }
    if (!result.violation.empty()) {
      result.path = path_to(all, number);
      return result;
    }
    for (auto& [move, then] : moves) {
      if (!seen.insert(key_of(model.canonical(then))).second) {
        continue;
      }
      all.push_back({number, std::move(move)});
      open.emplace_back(all.size() - 1, std::move(then));
    }
    if (all.size() > scope.max_states) {
      result.complete = false;
      return result;
    }
  }
  return result;
}

}  // namespace madderdeck::tests
