#pragma once
/// @file HTTP/1.1 server with streamed requests and responses, on Boost.Beast.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "common/counters.hpp"
#include "common/error.hpp"
#include "common/memory_budget.hpp"
#include "net/http_types.hpp"

namespace madderdeck::net {

/// Receives the pieces of a streamed request body. The handler calls @p more to request the next piece; @p last marks
/// the last one.
using BodyHandler = std::function<void(std::string_view piece, bool last, std::function<void()> more)>;

/// One request and its response. All calls on the server's io_context thread.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual const HttpRequest& request() const = 0;
  /// @return the address from which the caller is connected, without its port; empty if it is not known.
  virtual std::string caller_ip() const { return {}; }
  /// Sends a complete response. Exactly one of respond() and start_stream() must be called.
  virtual void respond(HttpResponse response) = 0;
  /// @return the body, moved out of the request.
  virtual std::string take_body() = 0;
  /// Starts a chunked response; for a caller without chunks (HTTP/1.0), one that ends with its connection. If the
  /// content type is empty, the headers may state it.
  virtual void start_stream(unsigned status, const std::string& content_type, const Headers& headers) = 0;
  /// Called before start_stream(): the response is not chunked and ends with its connection. Its headers may state a
  /// length.
  virtual void end_with_connection() {}
  /// Writes bytes that belong to no response, now or after this response has ended, unless the connection has ended or
  /// is in the middle of a response. For stand-ins of faulty servers.
  virtual void send_stray(std::string_view /*bytes*/) {}
  /// The connection ends with a reset when it ends. For stand-ins of faulty servers.
  virtual void reset() {}
  virtual void write(std::string_view piece) = 0;
  virtual void finish() = 0;
  /// Aborts the response and its connection, so that the caller cannot mistake a part for the complete response. Bytes
  /// that were written before are sent first.
  virtual void abort() = 0;
  /// @return number of response bytes that have not been sent to the caller yet.
  virtual std::size_t backlog() const = 0;
  virtual void on_backlog_gone(std::function<void()> hook) = 0;
  /// @return whether the caller has closed its connection by now, also where its hook has not been called yet.
  virtual bool caller_has_left() const { return false; }
  /// Sets @p hook, which is called if the caller closes its connection before the response has ended.
  virtual void on_caller_gone(std::function<void()> hook) = 0;
  /// Starts reading a streamed body; only if ServerOptions::streams_body returned true for the request.
  virtual void read_body(BodyHandler handler) = 0;
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

struct ServerOptions {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  std::size_t max_connections = 10'000;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{30'000};
  std::chrono::milliseconds write_timeout{60'000};
  std::chrono::milliseconds idle_timeout{120'000};
  /// Returns whether the body of a request is passed on piece by piece, without a limit of its total size.
  std::function<bool(const HttpRequest&)> streams_body;
  /// Called with the head of a request; if it returns a response, this is sent at once, and the body is read and
  /// discarded. May be empty.
  std::function<std::optional<HttpResponse>(const HttpRequest&)> answer_head;
  /// Builds the response to a request that the server itself refuses (limits, malformed HTTP).
  std::function<HttpResponse(const Error&)> refusal;
  /// Budget for bodies of requests and for responses that their callers do not read. A body that does not fit is
  /// refused before it is kept (ErrorKind::unavailable, or body_too_large if it never can fit); the rest of it is read
  /// and discarded. Null: no limit.
  std::shared_ptr<memory_budget> budget;
  /// Returns what the body of a request counts as: live_bodies where this is empty.
  std::function<memory_holder(const HttpRequest&)> holder_of;
};

/// Accepts connections on one address. Runs on one io_context thread.
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& context, Counters& counters, ExchangeHandler handler, ServerOptions options);
  ~HttpServer();

  /// Takes an address. Connections to it are refused until start_accepting().
  /// @return the errors of listen_error(); ErrorKind::invalid_argument if @p address is not ip:port.
  Status bind(const std::string& address);
  /// Accepts connections on the address that bind() took.
  /// @return the errors of listen_error(): another process may listen on an address that is only bound.
  Status start_accepting();
  /// bind() and start_accepting().
  Status listen(const std::string& address);
  /// Changes the limits and timeouts of requests, from the next request on.
  void set_limits(std::size_t max_header_bytes, std::size_t max_body_bytes, std::chrono::milliseconds header_timeout,
                  std::chrono::milliseconds idle_timeout);
  /// From now on every response asks its caller to close the connection.
  void announce_closing();
  /// Stops accepting and closes idle connections; other connections are closed after their current request.
  void stop_accepting();
  std::size_t connections() const;

  struct Implementation;

 private:
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace madderdeck::net
