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
#include "net/http_types.hpp"

namespace madderdeck::net {

/// Receives a streamed request body. Call @p more for the next piece; @p last marks the end.
using BodyHandler = std::function<void(std::string_view piece, bool last, std::function<void()> more)>;

/// One request and its response. All calls on the server's io_context thread.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual const HttpRequest& request() const = 0;
  /// @return the address from which the caller is connected, without its port; empty where that is not known.
  virtual std::string caller_ip() const { return {}; }
  /// Sends a whole response. Exactly one of respond and start_stream is called.
  virtual void respond(HttpResponse response) = 0;
  /// @return the body, moved out of the request.
  virtual std::string take_body() = 0;
  /// Starts a response in chunks; to a caller that knows none (HTTP/1.0), one that ends with its connection. An empty
  /// content type leaves it to the headers.
  virtual void start_stream(unsigned status, const std::string& content_type, const Headers& headers) = 0;
  /// Before start_stream(): the response has no chunks and ends with its connection. Its headers may state a length.
  virtual void end_with_connection() {}
  virtual void write(std::string_view piece) = 0;
  virtual void finish() = 0;
  /// Breaks the connection off, so that the caller cannot take a part for the whole. What was written goes out before.
  virtual void abort() = 0;
  /// @return response bytes that the caller has not taken yet.
  virtual std::size_t backlog() const = 0;
  virtual void on_backlog_gone(std::function<void()> hook) = 0;
  /// Called when the caller closes its connection before the response has ended.
  virtual void on_caller_gone(std::function<void()> hook) = 0;
  /// Starts reading a streamed body; only where ServerOptions::streams_body said so.
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
  /// Whether the body of a request is handed over piece by piece, without a total limit.
  std::function<bool(const HttpRequest&)> streams_body;
  /// Looks at the head of a request; an answer is sent at once, and the body read and dropped. May be empty.
  std::function<std::optional<HttpResponse>(const HttpRequest&)> answer_head;
  /// Builds the response to a request that the server itself refuses (limits, bad syntax).
  std::function<HttpResponse(const Error&)> refusal;
};

/// Accepts connections on one address. Runs on one io_context thread.
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& context, Counters& counters, ExchangeHandler handler, ServerOptions options);
  ~HttpServer();

  /// @return ErrorKind::address_in_use when the address is taken, ErrorKind::invalid_argument
  ///         when it is none of this machine's.
  Status listen(const std::string& address);
  /// Changes what callers may send and how long they may take, from the next request on.
  void set_limits(std::size_t max_header_bytes, std::size_t max_body_bytes, std::chrono::milliseconds header_timeout,
                  std::chrono::milliseconds idle_timeout);
  /// From now on every response asks its caller to close the connection.
  void announce_closing();
  /// Stops accepting and closes idle connections; others end with their present request.
  void stop_accepting();
  std::size_t connections() const;

  struct Implementation;

 private:
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace madderdeck::net
