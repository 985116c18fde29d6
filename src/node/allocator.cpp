#include "node/allocator.hpp"

#include <malloc.h>

namespace madderdeck::node {

void return_large_blocks() {
  // Any of these also stops the allocator from raising both thresholds as blocks are freed.
  ::mallopt(M_MMAP_THRESHOLD, static_cast<int>(kLargeBlockBytes));
  ::mallopt(M_TRIM_THRESHOLD, static_cast<int>(2 * kLargeBlockBytes));
}

}  // namespace madderdeck::node
