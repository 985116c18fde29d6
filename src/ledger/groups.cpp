#include "ledger/groups.hpp"

#include "common/hash.hpp"

namespace madderdeck::ledger {

std::optional<std::uint32_t> ReplicaGroup::index_of(const ReplicaIdentity& identity) const {
  for (std::size_t index = 0; index < replicas.size(); ++index) {
    if (replicas[index] == identity) {
      return static_cast<std::uint32_t>(index);
    }
  }
  return std::nullopt;
}

std::uint32_t GroupMap::group_of(std::string_view key) const {
  const std::size_t kind_end = key.find('/');
  std::string_view partition = kind_end == std::string_view::npos ? key : key.substr(kind_end + 1);
  partition = partition.substr(0, partition.find('/'));
  return static_cast<std::uint32_t>(stable_hash(partition) % groups.size());
}

}  // namespace madderdeck::ledger
