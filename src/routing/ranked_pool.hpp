#pragma once
/// @file The back ends of one pool, in this node's order of preference.

#include <cstddef>
#include <cstdint>
#include <set>

#include "routing/backend.hpp"

namespace madderdeck::routing {

struct Backend;

/// Keeps the back ends in rendezvous order: adding or removing one changes at most one of the first k. A change costs
/// O(log n), so that a node can add the back ends of a large pool one by one. Single threaded.
class ranked_pool {
 public:
  struct member {
    std::uint64_t weight = 0;  ///< Rendezvous weight of the back end for this node.
    BackendId id;
    Backend* backend = nullptr;  ///< Owned by the registry.

    bool operator<(const member& other) const { return weight != other.weight ? weight > other.weight : id < other.id; }
  };

  /// @param node_hash stable hash of the node's id.
  void add(std::uint64_t node_hash, Backend& backend);
  void remove(std::uint64_t node_hash, const Backend& backend);

  std::size_t size() const { return members_.size(); }
  /// @return how many members have an entry in the machine list.
  std::size_t listed() const { return members_.size() - unlisted_; }
  /// @return all members, the most preferred first.
  const std::set<member>& in_order() const { return members_; }

 private:
  std::set<member> members_;
  std::size_t unlisted_ = 0;  ///< Number of members without an entry in the machine list.
};

}  // namespace madderdeck::routing
