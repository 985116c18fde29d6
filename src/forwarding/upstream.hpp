#pragma once
/// @file Interface through which the forwarding logic sends requests to back ends.

#include <functional>

#include "forwarding/answer_end.hpp"
#include "forwarding/request.hpp"
#include "routing/backend.hpp"

namespace madderdeck::forwarding {

/// One send of a request to one back end.
struct UpstreamCall {
  BackendId backend;  ///< Another back end that now has the same address does not run the request.
  ForwardedRequestPointer request;
  Duration time_left{};            ///< Time after which the back end gives the request up.
  std::uint64_t resume_after = 0;  ///< Number of the event after which the answer is resumed.
  bool may_repeat = false;         ///< Otherwise only a connection that is known to be alive is used.
};

/// Head of a back end's answer, as it is forwarded to the caller.
struct AnswerHead {
  unsigned status = 0;
  net::Headers headers;
  bool event_stream = false;
  net::body_framing framing = net::body_framing::length;  ///< Of the back end's answer; may differ towards the caller.
};

/// Callbacks of a send. Unless the send is cancelled, exactly one of finished and failed is called last.
/// An answer stating that the request was not run counts as a failure.
struct UpstreamEvents {
  std::function<void(AnswerHead)> head;
  std::function<void(std::string_view piece)> piece;
  std::function<void()> finished;
  std::function<void(send_failure)> failed;
  /// An answer with this status came on the send's connection and belongs to another request or to none. May be empty.
  std::function<void(unsigned status)> skipped;
};

/// Connections to back ends. Callbacks never run inside start(). Single threaded.
class Upstream {
 public:
  virtual ~Upstream() = default;
  virtual routing::CallId start(UpstreamCall call, UpstreamEvents events) = 0;
  virtual void cancel(routing::CallId call) = 0;
  virtual void pause(routing::CallId call) = 0;
  virtual void resume(routing::CallId call) = 0;
  /// Asks @p backend whether it has the request with @p id. May call @p done inside this call. By default no back end
  /// can be asked.
  virtual void find_run(const BackendId& /*backend*/, const std::string& /*id*/, routing::RunFound done) {
    done(routing::run_presence::unreachable);
  }
};

}  // namespace madderdeck::forwarding
