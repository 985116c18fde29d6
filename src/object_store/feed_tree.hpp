#pragma once
/// @file Selects the nodes that read the platform's store and those that forward its changes.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/membership.hpp"

namespace madderdeck::object_store {

/// Numbers of nodes that read the store and forward its changes.
struct feed_sizes {
  std::size_t readers = 2;         ///< Of the whole fleet.
  std::size_t relays = 2;          ///< Of each zone, where it has no reader.
  std::size_t all_read_up_to = 0;  ///< In fleets with at most this many controllers, all read.
};

/// Readers feed the relays of each zone, and relays the other controllers of their zone. The tree is computed from the
/// known members, so that nodes with the same view agree without an election; it is recomputed only when the members
/// change. Single threaded.
class feed_tree {
 public:
  /// @param members outlives this.
  feed_tree(const membership::Membership& members, feed_sizes sizes) : members_(members), sizes_(sizes) {}

  /// @return whether the fleet is so small that every controller reads the store.
  bool all_read() const;
  /// @return whether this node is one of those that read the store for the whole fleet.
  bool is_reader() const;
  /// @return whether this node forwards the feed in its zone; a reader is the relay of its own zone.
  bool is_relay() const;
  /// @return the nodes of this zone that this node feeds, and for a reader also the relays of the other zones.
  const std::vector<PeerAddress>& fed_from_here() const;
  /// @return the other controllers of this zone.
  const std::vector<PeerAddress>& zone_peers() const;
  /// @return how many controllers of this zone rank before this node, and so poll the store earlier.
  std::size_t rank_in_zone() const;
  static constexpr std::size_t kNoRank = SIZE_MAX;
  /// @return how many controllers of the fleet that accept new work rank before this node; kNoRank if this node accepts
  ///         none.
  std::size_t rank_in_fleet() const;
  /// @return how many controllers of the fleet accept new work, including this node if it does.
  std::size_t count_in_fleet() const;
  /// @return the first @p count controllers of the fleet by that rank, fewer where there are fewer.
  std::vector<NodeId> first_in_fleet(std::size_t count) const;

 private:
  struct controller {
    std::uint64_t weight = 0;  ///< Controllers of greater weight rank first.
    const wire::MemberT* member = nullptr;
  };
  using controllers = std::vector<controller>;

  void refresh() const;
  void find_ranks(const controllers& all) const;
  /// Sorts @p among by rank and keeps the first @p count.
  static void keep_first(controllers& among, std::size_t count);
  static bool holds(const controllers& among, const wire::MemberT* member);
  /// @return the relays of a zone, whose controllers are @p here.
  controllers relays_among(const controllers& here, const controllers& readers) const;
  void find_fed_nodes(const std::map<std::string, controllers>& zones, const controllers& readers) const;

  const membership::Membership& members_;
  const feed_sizes sizes_;
  mutable std::uint64_t version_ = 0;  ///< Version of the member list that the following is computed from.
  mutable bool all_read_ = false;
  mutable bool is_reader_ = false;
  mutable bool is_relay_ = false;
  mutable std::vector<PeerAddress> fed_nodes_;
  mutable std::vector<PeerAddress> zone_peers_;
  mutable std::size_t rank_in_zone_ = 0;
  mutable std::size_t rank_in_fleet_ = 0;
  mutable std::size_t count_in_fleet_ = 0;
};

}  // namespace madderdeck::object_store
