#pragma once
/// @file How the allocator gives memory back to the system.

#include <cstddef>

namespace madderdeck::node {

/// Blocks from this size on come from the system one by one.
inline constexpr std::size_t kLargeBlockBytes = 1 << 20;

/// From now on large blocks are given back to the system when they are freed. Otherwise the allocator begins to take
/// them from its heap once one was freed, where what lies behind them keeps them resident. For the whole process;
/// thread safe.
void return_large_blocks();

}  // namespace madderdeck::node
