#pragma once
/// @file Who reads the platform's store, and who passes on what it says.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/membership.hpp"

namespace madderdeck::object_store {

/// How many nodes read the store and pass its word on.
struct feed_sizes {
  std::size_t readers = 2;         ///< Of the whole fleet.
  std::size_t relays = 2;          ///< Of each zone, where it has no reader.
  std::size_t all_read_up_to = 0;  ///< In fleets of so many controllers or fewer every one reads.
};

/// Readers tell the relays of each zone, relays the other controllers of theirs. Derived from the members known, so
/// that nodes with the same view agree and nobody is elected; derived again only when the members change. Single
/// threaded.
class feed_tree {
 public:
  /// @param members outlives this.
  feed_tree(const membership::Membership& members, feed_sizes sizes) : members_(members), sizes_(sizes) {}

  /// @return whether the fleet is so small that every controller reads the store.
  bool all_read() const;
  /// @return whether this node is one of those that read the store for the others.
  bool is_reader() const;
  /// @return whether this node passes the readers' word on in its zone; a reader does in its own.
  bool is_relay() const;
  /// @return the nodes of this zone that rely on this node, and for a reader the relays of the other zones.
  const std::vector<PeerAddress>& fed_from_here() const;
  /// @return the other controllers of this zone.
  const std::vector<PeerAddress>& zone_peers() const;
  /// @return how many controllers of this zone look into the store before this node does.
  std::size_t rank_in_zone() const;
  static constexpr std::size_t kNoRank = SIZE_MAX;
  /// @return how many controllers of the fleet come before this node, of those that take new work; kNoRank where it
  ///         takes none itself.
  std::size_t rank_in_fleet() const;
  /// @return how many controllers of the fleet take new work, this node among them.
  std::size_t count_in_fleet() const;
  /// @return the first @p count controllers of the fleet by that rank, fewer where there are fewer.
  std::vector<NodeId> first_in_fleet(std::size_t count) const;

 private:
  struct controller {
    std::uint64_t weight = 0;  ///< Those of greater weight come first.
    const wire::MemberT* member = nullptr;
  };
  using controllers = std::vector<controller>;

  void refresh() const;
  void find_ranks(const controllers& all) const;
  /// Leaves the first @p count of @p among, in their order.
  static void keep_first(controllers& among, std::size_t count);
  static bool holds(const controllers& among, const wire::MemberT* member);
  /// @return the nodes of the zone whose controllers are @p here that pass the word on there.
  controllers relays_among(const controllers& here, const controllers& readers) const;
  void find_fed(const std::map<std::string, controllers>& zones, const controllers& readers) const;

  const membership::Membership& members_;
  const feed_sizes sizes_;
  mutable std::uint64_t version_ = 0;  ///< Of the members that the following is derived from.
  mutable bool all_read_ = false;
  mutable bool is_reader_ = false;
  mutable bool is_relay_ = false;
  mutable std::vector<PeerAddress> fed_;
  mutable std::vector<PeerAddress> zone_peers_;
  mutable std::size_t rank_in_zone_ = 0;
  mutable std::size_t rank_in_fleet_ = 0;
  mutable std::size_t count_in_fleet_ = 0;
};

}  // namespace madderdeck::object_store
