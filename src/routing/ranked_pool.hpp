#pragma once
/// @file The back ends of one pool, in the order in which one node uses them.

#include <cstddef>
#include <cstdint>
#include <set>

#include "routing/backend.hpp"

namespace madderdeck::routing {

struct Backend;

/// Rendezvous order: a change of one back end changes the first of them by one at most. A change costs log n, so that a
/// node can learn of a large pool back end by back end. Single threaded.
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
  /// @return how many have an entry in the machine list.
  std::size_t listed() const { return members_.size() - unlisted_; }
  /// @return all of them, those that are used first in front.
  const std::set<member>& in_order() const { return members_; }

 private:
  std::set<member> members_;
  std::size_t unlisted_ = 0;  ///< Of members_: those whose entry has gone.
};

}  // namespace madderdeck::routing
