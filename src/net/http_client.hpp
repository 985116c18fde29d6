#pragma once
/// @file HTTP/1.1 client with connection pool, streamed responses and cancellation.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "net/http_types.hpp"
#include "routing/backend.hpp"

namespace madderdeck::net {

/// Why a call ended without a whole response.
enum class CallBreak {
  connect_failed,  ///< Not a byte was sent.
  limit_reached,   ///< Not sent, since this client has as many connections to the endpoint as it may.
  closed,          ///< The peer closed the connection, after sending had begun and before its answer was whole.
  reset,           ///< The connection broke otherwise after sending had begun.
  malformed,       ///< The peer's bytes are no answer to this call.
  timed_out,       ///< No progress in time after sending had begun.
};

/// @return a word for log lines.
const char* call_break_name(CallBreak reason);

struct ClientCallEvents {
  std::function<void(const ResponseHead&)> header;
  std::function<void(std::string_view piece)> body;
  /// The response has ended as its framing says; whoever gets body_framing::until_close judges the end by itself.
  std::function<void()> done;
  std::function<void(CallBreak)> failed;
};

struct ClientCallOptions {
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds idle_timeout{60'000};  ///< Longest wait for the next bytes.
  bool fresh_connection = false;                   ///< Never an old connection, which may be half closed.
  /// Longest time that a pooled connection may have been at rest to be used again.
  std::chrono::milliseconds reuse_within{3'600'000};
  /// Open connections to the endpoint, calls and pool together; a call beyond them is not sent.
  std::size_t max_connections = 10'000;
  /// For fetch(): whether a response may have no framing of its own and end with its connection. One that was cut looks
  /// the same: only for responses whose reader knows a whole one by itself. Others fail as closed.
  bool may_end_with_connection = false;
  /// Sent when a response has ended with its connection: whoever answers it, however, has not ended with that
  /// connection. Where nobody takes connections any more, the call fails as closed. Empty: nothing is asked.
  std::optional<HttpRequest> life_sign;
  /// Asked before that: whether the peer is expected to go on. One that is not may end right after its last response.
  std::function<bool()> peer_goes_on;
  /// Asked right before the request is sent, when there is a connection: where it says no, the call fails as not sent.
  /// Empty: it is.
  std::function<bool()> still_wanted;
  /// Tells whether a response is the one to this call. Others, which a faulty peer left on a
  /// kept connection, are read past. Empty: every response is.
  std::function<bool(unsigned status, const Headers& headers)> belongs;
};

/// Whole response of a simple call.
struct SimpleResponse {
  unsigned status = 0;
  Headers headers;
  std::string body;
  body_framing framing = body_framing::length;
};
using SimpleDone = std::function<void(std::variant<SimpleResponse, CallBreak>)>;

/// Single threaded, on one io_context.
class HttpClient {
 public:
  using CallNumber = std::uint64_t;

  /// @param local_ip address to connect from; empty for any.
  HttpClient(boost::asio::io_context& context, std::string local_ip);
  ~HttpClient();

  /// Sends a request to @p endpoint ("ip:port"). Events never run inside this call.
  CallNumber start(const std::string& endpoint, HttpRequest request, ClientCallEvents events,
                   ClientCallOptions options = {});
  /// Collects the whole response; see ClientCallOptions::may_end_with_connection.
  CallNumber fetch(const std::string& endpoint, HttpRequest request, SimpleDone done, ClientCallOptions options = {});
  /// Opens a connection to @p endpoint and closes it at once. @p done never runs inside this call.
  void probe(const std::string& endpoint, std::chrono::milliseconds timeout, routing::ReachabilityDone done);
  /// Ends a call; its connection closes and no further event arrives.
  void cancel(CallNumber call);
  void pause(CallNumber call);
  void resume(CallNumber call);

  struct Implementation;

 private:
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace madderdeck::net
