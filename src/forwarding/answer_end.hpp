#pragma once
/// @file How a back end's answer to a forwarded request ended.

#include <string_view>

#include "routing/backend.hpp"

namespace madderdeck::forwarding {

/// The end of an answer as seen by the node that forwards it. Each value has a counter, `answers_ended_NAME_total`.
enum class answer_end {
  whole,          ///< Complete according to its framing; an event stream ended between two events.
  inside_event,   ///< An event stream ended where its framing says, but inside an event.
  empty,          ///< A successful answer ended by closing its connection before any byte of its body arrived.
  closed,         ///< The connection was closed before the end that the framing states.
  reset,          ///< The connection failed in another way than by an orderly close.
  unforwardable,  ///< Its head must not reach the caller: the body is encoded, or the back end's stamp is missing.
  malformed,      ///< Its bytes are not valid HTTP, or not an answer to this request.
  too_long,       ///< More bytes came than an answer, or an event of it, may have.
  silent,         ///< The back end was unresponsive: no byte arrived for too long.
  out_of_order,   ///< The event numbers of the stream have a gap.
  given_up,       ///< The request reached its deadline.
  caller_gone,    ///< The caller closed its connection.
  unanswered,     ///< The back end sent no answer, or stated that it did not run the request.
};

/// @return the name of @p end in log fields and counter names.
std::string_view answer_end_name(answer_end end);

/// Who ended a send to a back end.
enum class send_ender {
  back_end,  ///< It answered or closed the connection, or there was no connection.
  gateway,   ///< This node closed the connection.
};

/// Why a send to a back end failed.
struct send_failure {
  // NOLINTNEXTLINE(google-explicit-constructor): most failures are fully described by their reason.
  send_failure(routing::CallFailure why, answer_end answer = answer_end::unanswered,
               send_ender ended_by = send_ender::back_end)
      : reason(why), end(answer), by(ended_by) {}

  routing::CallFailure reason;
  answer_end end;
  send_ender by;
};

}  // namespace madderdeck::forwarding
