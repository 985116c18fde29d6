#pragma once
/// @file Passing requests to back ends, as decision logic sees it.

#include <functional>

#include "forwarding/answer_end.hpp"
#include "forwarding/request.hpp"
#include "routing/backend.hpp"

namespace madderdeck::forwarding {

/// One send of a request to one back end.
struct UpstreamCall {
  BackendId backend;  ///< Whoever else has its address does not run the request.
  ForwardedRequestPointer request;
  Duration time_left{};            ///< The back end gives up after it.
  std::uint64_t resume_after = 0;  ///< The answer goes on after this event.
  bool may_repeat = false;         ///< Otherwise only a connection that is surely alive is used.
};

/// Head of a back end's answer, as it is passed to the caller.
struct AnswerHead {
  unsigned status = 0;
  net::Headers headers;
  bool event_stream = false;
  net::body_framing framing = net::body_framing::length;  ///< The back end's, not that towards the caller.
};

/// What becomes of a send. Exactly one of finished and failed comes last, unless it is cancelled.
/// An answer that says the request was not run is a failure.
struct UpstreamEvents {
  std::function<void(AnswerHead)> head;
  std::function<void(std::string_view piece)> piece;
  std::function<void()> finished;
  std::function<void(send_failure)> failed;
};

/// Connections to back ends. Events never run inside start(). Single threaded.
class Upstream {
 public:
  virtual ~Upstream() = default;
  virtual routing::CallId start(UpstreamCall call, UpstreamEvents events) = 0;
  virtual void cancel(routing::CallId call) = 0;
  virtual void pause(routing::CallId call) = 0;
  virtual void resume(routing::CallId call) = 0;
};

}  // namespace madderdeck::forwarding
