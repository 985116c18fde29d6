#pragma once
/// @file Which peers a node with a disk remembers there, for a start at which its seeds answer nobody.

#include <cstdint>
#include <string>
#include <vector>

#include "common/strong_id.hpp"

namespace madderdeck::membership {

class Membership;

/// A peer as it was last known; another node may live at its address by now.
struct remembered_peer {
  NodeId id;
  PeerAddress address;
  std::string zone;
  std::uint32_t roles = 0;  ///< As Member::roles.
  bool operator==(const remembered_peer&) const = default;
};

/// Bounds of the list: a record of a few kilobytes.
inline constexpr std::size_t kMostRemembered = 32;
inline constexpr std::size_t kMostLivingRemembered = 24;  ///< The rest is for peers that are not known to live.
inline constexpr std::size_t kMostDisksRemembered = 16;   ///< Of the living ones, those with a disk.

/// @param before the list until now; its peers that are not known to live are kept while there is room: a part of the
///        fleet that has come up apart must not forget the others.
/// @return living peers first, those with a disk before others, of all zones in turn.
std::vector<remembered_peer> choose_peers(const Membership& members, const std::vector<remembered_peer>& before);

}  // namespace madderdeck::membership
