#include "node/caller_connections.hpp"

#include <algorithm>

namespace madderdeck::node {

std::int64_t caller_connections(std::int64_t max_connections, std::int64_t max_descriptors) {
  constexpr std::int64_t kHundred = 100;
  if (max_descriptors == 0) {
    return max_connections;
  }
  const std::int64_t free = (max_descriptors - kLibraryDescriptors) * kCallersPercent / kHundred;
  return std::min(max_connections, std::max(free, kLeastCallers));
}

}  // namespace madderdeck::node
