#pragma once
/// @file The final answer to a caller's request.

#include <string>

#include "common/environment.hpp"
#include "common/error.hpp"

namespace madderdeck::routing {

/// Whether a request that got no answer may have run.
enum class Ran { no, unknown };

/// A request given up on. Final; the caller learns at once.
struct Refusal {
  Error error;
  Ran ran = Ran::no;
  Duration retry_after{};  ///< When to come back; zero when coming back is no use.
};

}  // namespace madderdeck::routing
