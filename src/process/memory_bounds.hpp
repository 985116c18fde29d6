#pragma once
/// @file Bounds the address space that a process takes for threads and for malloc.

#include <cstddef>

namespace madderdeck::process {

/// Stack of each thread but the first, in bytes. Threads of libraries get it, too.
inline constexpr std::size_t kThreadStackBytes = std::size_t{1} << 20;

/// Sets the default stack size to kThreadStackBytes and makes all threads share one arena of malloc, since each further
/// one reserves 64 MiB of addresses. Call it before the first thread is created.
void bound_thread_memory();

}  // namespace madderdeck::process
