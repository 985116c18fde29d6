#pragma once
/// @file HTTP/1.1 client with connection pool, streamed responses and cancellation.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "net/http_types.hpp"
#include "routing/backend.hpp"

namespace madderdeck::net {

/// Why a call ended without a complete response.
enum class CallBreak {
  connect_failed,  ///< No byte was sent.
  unsendable,      ///< Not sent, since its head cannot be expressed in HTTP (http_fields.hpp).
  limit_reached,   ///< Not sent, since this client has its max number of connections to the endpoint.
  closed,          ///< The peer closed the connection after sending had begun and before its response was complete.
  reset,           ///< The connection broke in another way after sending had begun.
  malformed,       ///< The peer's bytes are not a valid response to this call.
  too_long,        ///< A head, a body or the bytes around chunks are longer than allowed.
  timed_out,       ///< No progress within the timeout after sending had begun.
};

/// @return the name of @p reason for log lines.
const char* call_break_name(CallBreak reason);

struct ClientCallEvents {
  std::function<void(const ResponseHead&)> header;
  std::function<void(std::string_view piece)> body;
  /// The response has ended according to its framing; with body_framing::until_close the receiver has to decide whether
  /// it is complete.
  std::function<void()> done;
  std::function<void(CallBreak)> failed;
  /// A final response came that does not belong to the call. Its body is read and discarded. May be empty.
  std::function<void(const ResponseHead&)> skipped;
};

struct ClientCallOptions {
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds idle_timeout{60'000};  ///< Max time between two reads of bytes.
  /// Max time from the start to the end of the response; zero: none. A peer that sends a byte now and then never idles.
  std::chrono::milliseconds total_timeout{0};
  /// Max size of the body; a longer response fails as too_long. fetch() allows kMaxFetchedBytes at most.
  std::size_t max_body_bytes = std::numeric_limits<std::size_t>::max();
  bool fresh_connection = false;  ///< Never reuse a connection, since it may be half closed.
  /// Max idle time of a pooled connection that is reused.
  std::chrono::milliseconds max_reuse_idle{3'600'000};
  /// Max open connections to the endpoint, in use and pooled; a call that would need one more is not sent.
  std::size_t max_connections = 10'000;
  /// For fetch(): whether a response may have no framing and end with its connection. A truncated one looks the same,
  /// so this is only for responses whose reader recognizes a complete one. Without it such a response fails as closed.
  bool may_end_with_connection = false;
  /// Liveness request, sent when a response has ended with its connection: any answer shows that the peer's process did
  /// not terminate with it. If the peer refuses connections, the call fails as closed. Empty: no check.
  std::optional<HttpRequest> liveness_request;
  /// Called before the liveness request: whether the peer is expected to keep running. A peer that is shutting down may
  /// terminate right after its last response, so it is not checked.
  std::function<bool()> peer_keeps_running;
  /// Identifies the request towards the peer. A connection whose last request had the same id is not reused: one more
  /// response to that request would be taken for the response to this one. Empty: none.
  std::string request_id;
  /// Called once there is a connection, right before the request is sent: if it returns false, the call fails as not
  /// sent. Empty: the request is always sent.
  std::function<bool()> may_still_send;
  /// Returns whether a response belongs to this call. Others, which a faulty peer left on a
  /// kept-alive connection, are skipped. @c first: no request or response came before on the connection. Empty: every
  /// response belongs to the call.
  std::function<bool(unsigned status, const Headers& headers, bool first)> belongs;
};

/// Complete response of a simple call.
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
  /// Largest body that fetch() collects: some times the largest page of the platform's store.
  static constexpr std::size_t kMaxFetchedBytes = 16 * 1024 * 1024;

  /// @param local_ip address to connect from; empty for any.
  HttpClient(boost::asio::io_context& context, std::string local_ip);
  ~HttpClient();

  /// Sends a request to @p endpoint ("ip:port"). Events never run inside this call.
  CallNumber start(const std::string& endpoint, HttpRequest request, ClientCallEvents events,
                   ClientCallOptions options = {});
  /// Sends a request and collects the complete response; see ClientCallOptions::may_end_with_connection.
  CallNumber fetch(const std::string& endpoint, HttpRequest request, SimpleDone done, ClientCallOptions options = {});
  /// Opens a connection to @p endpoint and closes it at once. @p done never runs inside this call.
  void probe(const std::string& endpoint, std::chrono::milliseconds timeout, routing::ReachabilityDone done);
  /// Ends the events of a call whose head has arrived. The rest of its response is read for a bounded time and up to a
  /// bounded size, so that its connection can be used again.
  void skip_rest(CallNumber call);
  /// Ends a call; its connection closes and no further event arrives.
  void cancel(CallNumber call);
  void pause(CallNumber call);
  void resume(CallNumber call);

  struct Implementation;

 private:
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace madderdeck::net
