#include "ledger/handover.hpp"

#include <algorithm>

namespace madderdeck::ledger {

std::size_t copies_needed(const ReplicaGroup& group, std::size_t least_copies) {
  return std::max(group.replicas.size(), least_copies);
}

}  // namespace madderdeck::ledger
