#include "ledger/groups.hpp"

#include <charconv>
#include <cstdio>

#include "common/hash.hpp"

namespace madderdeck::ledger {

namespace {

constexpr std::string_view kConfigKind = "group-config/";

std::optional<std::uint32_t> position_of(const std::vector<ReplicaIdentity>& list, const ReplicaIdentity& identity) {
  for (std::size_t index = 0; index < list.size(); ++index) {
    if (list[index] == identity) {
      return static_cast<std::uint32_t>(index);
    }
  }
  return std::nullopt;
}

std::vector<std::unique_ptr<wire::ReplicaIdT>> to_wire(const std::vector<ReplicaIdentity>& list) {
  std::vector<std::unique_ptr<wire::ReplicaIdT>> result;
  for (const ReplicaIdentity& identity : list) {
    auto replica = std::make_unique<wire::ReplicaIdT>();
    replica->node = identity.node.str();
    replica->disk = identity.disk.str();
    result.push_back(std::move(replica));
  }
  return result;
}

std::vector<ReplicaIdentity> from_wire(const std::vector<std::unique_ptr<wire::ReplicaIdT>>& list) {
  std::vector<ReplicaIdentity> result;
  for (const auto& replica : list) {
    result.push_back({NodeId(replica->node), DiskId(replica->disk)});
  }
  return result;
}

}  // namespace

std::vector<ReplicaIdentity> ReplicaGroup::all() const {
  std::vector<ReplicaIdentity> result = replicas;
  result.insert(result.end(), leaving.begin(), leaving.end());
  return result;
}

std::optional<std::uint32_t> ReplicaGroup::index_of(const ReplicaIdentity& identity) const {
  return position_of(replicas, identity);
}

std::optional<std::uint32_t> ReplicaGroup::source_number_of(const ReplicaIdentity& identity) const {
  if (const auto index = index_of(identity)) {
    return index;
  }
  const auto position = position_of(leaving, identity);
  return position ? std::optional(static_cast<std::uint32_t>(replicas.size()) + *position) : std::nullopt;
}

std::size_t decision_quorum(std::size_t members, bool one_lost) {
  const bool even = members % 2 == 0;
  return one_lost && even ? members / 2 : members / 2 + 1;
}

std::string group_config_key(std::uint32_t group, std::uint64_t epoch) {
  char number[48];
  std::snprintf(number, sizeof number, "%u/%020llu", group, static_cast<unsigned long long>(epoch));
  return std::string(kConfigKind) + number;
}

bool is_decision(std::string_view key) { return key.starts_with(kConfigKind); }

wire::GroupDescriptionT to_wire(const ReplicaGroup& group) {
  wire::GroupDescriptionT description;
  description.epoch = group.epoch;
  description.replicas = to_wire(group.replicas);
  description.leaving = to_wire(group.leaving);
  return description;
}

ReplicaGroup from_wire(const wire::GroupDescriptionT& description) {
  return ReplicaGroup{description.epoch, from_wire(description.replicas), from_wire(description.leaving)};
}

std::string text_of(const ReplicaIdentity& identity) { return identity.node.str() + "/" + identity.disk.str(); }

std::string text_of(const std::vector<ReplicaIdentity>& identities) {
  std::string text;
  for (const ReplicaIdentity& identity : identities) {
    text += (text.empty() ? "" : ", ") + text_of(identity);
  }
  return text;
}

std::uint32_t GroupMap::group_of(std::string_view key) const {
  const std::size_t kind_end = key.find('/');
  std::string_view partition = kind_end == std::string_view::npos ? key : key.substr(kind_end + 1);
  partition = partition.substr(0, partition.find('/'));
  if (key.starts_with(kConfigKind)) {
    std::uint32_t number = 0;
    std::from_chars(partition.data(), partition.data() + partition.size(), number);
    return number;
  }
  return static_cast<std::uint32_t>(stable_hash(partition) % groups.size());
}

}  // namespace madderdeck::ledger
