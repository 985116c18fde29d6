#pragma once
/// @file The final answer to a caller's request.

#include <string>

#include "common/environment.hpp"
#include "common/error.hpp"

namespace madderdeck::routing {

/// Whether a request without an answer may have run.
enum class Ran { no, unknown };

/// The refusal of a request. It is final, and the caller is told immediately.
struct Refusal {
  Error error;
  Ran ran = Ran::no;
  Duration retry_after{};  ///< When the caller may retry; zero if a retry is pointless.
};

}  // namespace madderdeck::routing
