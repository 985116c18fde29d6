#pragma once
/// @file Creates threads without exceptions: where the system refuses one, the caller gets an error.

#include <cstddef>
#include <functional>
#include <string>
#include <thread>

#include "common/error.hpp"

namespace madderdeck::process {

/// Creates a thread that runs @p body.
/// @param name of the thread, for debuggers and the last line of a process; the system keeps the first 15 characters.
/// @return ErrorKind::unavailable if the system refuses the thread, its stack or memory for it.
Result<std::thread> start_thread(const std::string& name, std::function<void()> body);

/// Creates @p count threads that exist at the same time and ends them, to see whether a library can create as many. The
/// C library keeps their stacks, so that these libraries need no further addresses for stacks.
/// @return ErrorKind::unavailable if the system refuses one of them.
Status check_threads(std::size_t count);

/// Checks that @p bytes more of memory can be had, without using them.
/// @return ErrorKind::unavailable if a limit of the process on addresses or data is in the way.
Status check_memory(std::size_t bytes);

}  // namespace madderdeck::process
