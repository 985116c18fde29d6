#include "simulation/epoch_watch.hpp"

#include <algorithm>

namespace madderdeck::simulation {
namespace {

constexpr Duration kLongestProposal = 5s;  ///< From a proposer's look at the group to its first word to the members.

}  // namespace

void epoch_watch::sent(unsigned from, const wire::MessageUnion& message) {
  if (message.type == wire::Message::Accept && ledger::is_decision(message.AsAccept()->key)) {
    proposed(from, *message.AsAccept());
  }
  if (message.type == wire::Message::AdoptGroup && message.AsAdoptGroup()->description) {
    decided(message.AsAdoptGroup()->group, ledger::from_wire(*message.AsAdoptGroup()->description));
  }
}

void epoch_watch::proposed(unsigned from, const wire::AcceptT& accept) {
  const auto description = wire::decode_record<wire::GroupDescriptionT>(accept.value);
  if (!description) {
    return;
  }
  ledger::ReplicaGroup next = ledger::from_wire(*description);
  if (find_proposal(accept.group, next) != nullptr) {
    return;
  }
  const Timestamp not_before = fleet_.nodes[from]->process.begun_since(kLongestProposal);
  std::vector<proposal>& known = proposals_[{accept.group, next.epoch}];
  known.push_back({std::move(next), from, not_before});
}

void epoch_watch::decided(std::uint32_t group, const ledger::ReplicaGroup& description) {
  const auto [known, first] = decided_.try_emplace({group, description.epoch}, description);
  const bool has_earlier = known != decided_.begin() && std::prev(known)->first.first == group;
  if (first && has_earlier) {
    judge(group, std::prev(known)->second, description);
  }
}

void epoch_watch::judge(std::uint32_t group, const ledger::ReplicaGroup& before,
                        const ledger::ReplicaGroup& description) {
  const proposal* asked = find_proposal(group, description);
  for (const ledger::ReplicaIdentity& disk : description.replicas) {
    if (before.index_of(disk) || named_between(group, before, description, disk)) {
      continue;
    }
    const auto emptied = fleet_.gone.emptied.find(disk);
    const auto replaced = fleet_.gone.replaced.find(disk);
    const bool was_emptied = emptied != fleet_.gone.emptied.end();
    const bool was_lost =
        asked != nullptr && replaced != fleet_.gone.replaced.end() && replaced->second < asked->not_before;
    if (!was_emptied && !was_lost) {
      continue;
    }
    const Timestamp gone_at = was_emptied ? emptied->second : replaced->second;
    oracle_.epoch_names_gone_disk(
        group,
        "epoch " + std::to_string(description.epoch) + " names " + ledger::text_of(disk) +
            (was_emptied ? ", emptied at " : ", another disk there since ") + std::to_string(gone_at / 1ms) +
            " ms, proposed by " + (asked == nullptr ? "nobody seen" : "node-" + std::to_string(asked->proposer)) +
            "; before: " + ledger::text_of(before.replicas) + " leaving: " + ledger::text_of(before.leaving),
        world_.now());
  }
}

const epoch_watch::proposal* epoch_watch::find_proposal(std::uint32_t group,
                                                        const ledger::ReplicaGroup& description) const {
  const auto asked = proposals_.find({group, description.epoch});
  if (asked == proposals_.end()) {
    return nullptr;
  }
  const auto same = std::find_if(asked->second.begin(), asked->second.end(),
                                 [&description](const proposal& one) { return one.next == description; });
  return same == asked->second.end() ? nullptr : &*same;
}

bool epoch_watch::named_between(std::uint32_t group, const ledger::ReplicaGroup& before,
                                const ledger::ReplicaGroup& description, const ledger::ReplicaIdentity& disk) const {
  const auto from = proposals_.upper_bound({group, before.epoch});
  const auto to = proposals_.lower_bound({group, description.epoch});
  return std::any_of(from, to, [&disk](const auto& entry) {
    return std::any_of(entry.second.begin(), entry.second.end(),
                       [&disk](const proposal& one) { return one.next.index_of(disk).has_value(); });
  });
}

}  // namespace madderdeck::simulation
