#pragma once
/// @file How an answer of a back end ended.

#include <string_view>

#include "routing/backend.hpp"

namespace madderdeck::forwarding {

/// As far as the node that passes the answer on can tell. Each has a counter, `answers_ended_NAME_total`.
enum class answer_end {
  whole,         ///< Where its framing says, and a stream between two events.
  inside_event,  ///< A stream ended as its framing says, but inside an event.
  empty,         ///< A success ended with its connection before any of its body came.
  closed,        ///< The connection was closed before the end that the framing states.
  reset,         ///< The connection broke otherwise.
  malformed,     ///< Its bytes are none of HTTP, or not the answer to this request.
  silent,        ///< Nothing came for too long.
  out_of_order,  ///< An event of the stream is missing.
  given_up,      ///< The request's time was up.
  caller_gone,   ///< The caller has left.
  unanswered,    ///< The back end never began one, or said that it did not run the request.
};

/// @return a word for log lines and counters.
std::string_view answer_end_name(answer_end end);

/// Why a send came to nothing.
struct send_failure {
  // NOLINTNEXTLINE(google-explicit-constructor): most failures say all by their reason.
  send_failure(routing::CallFailure why, answer_end answer = answer_end::unanswered) : reason(why), end(answer) {}

  routing::CallFailure reason;
  answer_end end;
};

}  // namespace madderdeck::forwarding
