#include "process/memory_bounds.hpp"

#include <malloc.h>
#include <pthread.h>

namespace madderdeck::process {

void bound_thread_memory() {
  // Neither call fails with these values; if one did, threads would have the system's defaults.
  ::mallopt(M_ARENA_MAX, 1);
  pthread_attr_t attributes;
  ::pthread_attr_init(&attributes);
  ::pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  ::pthread_setattr_default_np(&attributes);
  ::pthread_attr_destroy(&attributes);
}

}  // namespace madderdeck::process
