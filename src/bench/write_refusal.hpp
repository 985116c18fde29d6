#pragma once
/// @file Has the kernel refuse a process every write to a file.

#include <sys/resource.h>
#include <sys/types.h>

#include <cerrno>
#include <cstring>

#include "common/error.hpp"

namespace madderdeck::bench {

/// From now on each write of @p process that makes a file longer fails with EFBIG, or none does any more. A process
/// that does not ignore SIGXFSZ is ended by such a write. Files are still made and removed, and pipes written.
/// @param process 0: this one.
/// @return ErrorKind::unavailable where the process has gone.
inline Status refuse_writes(pid_t process, bool refused) {
  rlimit limit{};
  if (::prlimit(process, RLIMIT_FSIZE, nullptr, &limit) != 0) {
    return Error{ErrorKind::unavailable, std::string("cannot read the limit: ") + std::strerror(errno)};
  }
  limit.rlim_cur = refused ? 0 : limit.rlim_max;
  if (::prlimit(process, RLIMIT_FSIZE, &limit, nullptr) != 0) {
    return Error{ErrorKind::unavailable, std::string("cannot set the limit: ") + std::strerror(errno)};
  }
  return Ok{};
}

}  // namespace madderdeck::bench
