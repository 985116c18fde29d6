#pragma once
/// @file Selects the peers that a node with a disk stores there, to contact at its next start if its seeds do not
/// answer.

#include <cstdint>
#include <string>
#include <vector>

#include "common/strong_id.hpp"

namespace madderdeck::membership {

class Membership;

/// A peer as it was last known; its address may belong to another node by now.
struct remembered_peer {
  NodeId id;
  PeerAddress address;
  std::string zone;
  std::uint32_t roles = 0;  ///< Bit mask, as in Member::roles.
  bool operator==(const remembered_peer&) const = default;
};

/// Maximum length of the list, which keeps its record at a few kilobytes.
inline constexpr std::size_t kMaxRememberedPeers = 32;
inline constexpr std::size_t kMaxLiveRememberedPeers =
    24;  ///< The remaining entries are reserved for peers not known to be live.
inline constexpr std::size_t kMaxRememberedPeersWithDisk = 16;  ///< Maximum number of live peers with a disk.

/// @param before the previous list. Its peers that are not known to be live are kept while there is room, so that a
///        part of the fleet that started separately does not forget the other parts.
/// @return live peers first, those with a disk before others, interleaved by zone.
std::vector<remembered_peer> choose_peers(const Membership& members, const std::vector<remembered_peer>& before);

}  // namespace madderdeck::membership
