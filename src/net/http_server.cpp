#include "net/http_server.hpp"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>

#include "common/log.hpp"
#include "net/http_fields.hpp"
#include "net/listen_error.hpp"

namespace madderdeck::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kPieceBytes = 64 * 1024;
/// Bytes read beyond a request's head, with the sizes and extensions of chunks and trailers.
constexpr std::size_t kMaxReadAheadBytes = 128 * 1024;
constexpr unsigned kFirstVersionWithChunks = 11;  ///< HTTP/1.1 in the parser's numbering.

/// What one byte of a body takes in memory at most while its request is handled.
/// Of a job: the body, its record twice (the submission, the write), and for each of three replicas a message and a
/// frame of three quarters of its length.
constexpr std::int64_t kCopiesOfJob = 6;
constexpr std::int64_t kCopiesOfLive = 2;   ///< The body, and the request to the back end.
constexpr std::int64_t kCopiesOfFrame = 2;  ///< The frame and its messages.

std::int64_t copies_of(memory_holder holder) {
  switch (holder) {
    case memory_holder::job_bodies:
      return kCopiesOfJob;
    case memory_holder::peer_frames:
      return kCopiesOfFrame;
    case memory_holder::live_bodies:
    case memory_holder::peer_outboxes:
    case memory_holder::backlogs:
      break;
  }
  return kCopiesOfLive;
}

HttpRequest to_request(const http::request_header<>& header) {
  HttpRequest request;
  request.method = std::string(header.method_string());
  request.target = std::string(header.target());
  for (const auto& field : header) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return request;
}

/// @return whether the peer has closed or reset the connection, as far as the kernel knows; bytes that it sent before
///         and that were not read hide an orderly close.
bool closed_by_peer(tcp::socket& socket) {
  char byte = 0;
  const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// A notification that one coroutine waits for.
class Wakeup {
 public:
  explicit Wakeup(const asio::any_io_executor& executor) : timer_(executor) {}
  void notify() { timer_.cancel(); }
  asio::awaitable<void> wait() {
    timer_.expires_at(asio::steady_timer::time_point::max());
    co_await timer_.async_wait(kAwait);
  }

 private:
  asio::steady_timer timer_;
};

class HttpExchange : public Exchange, public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(const asio::any_io_executor& executor, HttpRequest request, std::string caller_ip,
               const ServerOptions& options)
      : wakeup(executor),
        request_(std::move(request)),
        caller_ip_(std::move(caller_ip)),
        holder_(options.holder_of ? options.holder_of(request_) : memory_holder::live_bodies),
        body_hold_(options.budget, holder_),
        backlog_hold_(options.budget, memory_holder::backlogs) {}

  const HttpRequest& request() const override { return request_; }
  std::string caller_ip() const override { return caller_ip_; }
  bool caller_has_left() const override { return gone || (is_closed && is_closed()); }
  std::string take_body() override { return std::move(request_.body); }
  HttpRequest& mutable_request() { return request_; }
  /// @return whether the memory budget has room for a body of @p bytes.
  bool reserve_body(std::size_t bytes) {
    return body_hold_.grow_to(static_cast<std::int64_t>(bytes) * copies_of(holder_));
  }
  /// @return whether the budget would have room for such a body if it were the only one.
  bool could_reserve_body(std::size_t bytes) const {
    return body_hold_.could_grow_to(static_cast<std::int64_t>(bytes) * copies_of(holder_));
  }
  /// Drops a body that was refused.
  void drop_body() {
    request_.body = std::string();
    body_hold_.set(0);
  }
  /// Counts what the caller has not read of the response.
  void count_backlog() {
    const std::size_t waiting = pending.size() + writing + (whole ? whole->body.size() : 0);
    backlog_hold_.set(static_cast<std::int64_t>(waiting));
  }

  void respond(HttpResponse response) override {
    whole = std::move(response);
    finished = true;
    count_backlog();
    wakeup.notify();
  }
  void start_stream(unsigned status, const std::string& content_type, const Headers& headers) override {
    stream_header = HttpResponse{status, content_type, headers, ""};
    wakeup.notify();
  }
  void end_with_connection() override { takes_chunks = false; }
  void send_stray(std::string_view bytes) override {
    if (stray_writer) {
      stray_writer(bytes);
    }
  }
  void write(std::string_view piece) override {
    pending.append(piece);
    count_backlog();
    wakeup.notify();
  }
  void finish() override {
    finished = true;
    wakeup.notify();
  }
  void reset() override { resets = true; }
  void abort() override {
    aborted = true;
    wakeup.notify();
  }
  std::size_t backlog() const override { return pending.size() + writing; }
  void on_backlog_gone(std::function<void()> hook) override { backlog_gone = std::move(hook); }
  void on_caller_gone(std::function<void()> hook) override { caller_gone = std::move(hook); }
  void read_body(BodyHandler handler) override {
    body_handler = std::move(handler);
    wakeup.notify();
  }

  /// Called when the connection broke: notifies the handler once, unless its response has ended.
  void notify_disconnected() {
    std::function<void()> hook;
    std::swap(hook, caller_gone);
    const bool ended = finished && pending.empty();
    gone = true;
    wakeup.notify();
    if (hook && !ended) {
      hook();
    }
  }
  /// Breaks reference cycles between the handler's hooks and this object.
  void drop_hooks() {
    caller_gone = nullptr;
    backlog_gone = nullptr;
    body_handler = nullptr;
  }

  Wakeup wakeup;
  bool takes_chunks = true;  ///< If false, a streamed response ends with its connection.
  std::optional<HttpResponse> whole;
  std::optional<HttpResponse> stream_header;
  std::string pending;
  std::size_t writing = 0;
  bool finished = false;
  bool aborted = false;
  bool resets = false;  ///< The connection ends with a reset.
  bool gone = false;
  std::function<void()> backlog_gone;
  std::function<void()> caller_gone;
  BodyHandler body_handler;
  std::function<bool()> is_closed;                     ///< As stray_writer.
  std::function<void(std::string_view)> stray_writer;  ///< Owns nothing: the connection may end before the exchange.

 private:
  HttpRequest request_;
  const std::string caller_ip_;
  const memory_holder holder_;
  memory_hold body_hold_;
  memory_hold backlog_hold_;
};

}  // namespace

struct HttpServer::Implementation : std::enable_shared_from_this<HttpServer::Implementation> {
  Implementation(asio::io_context& io_context, Counters& metrics, ExchangeHandler exchange_handler,
                 ServerOptions server_options)
      : context(io_context),
        counters(metrics),
        handler(std::move(exchange_handler)),
        options(std::move(server_options)),
        acceptor(io_context) {}

  /// Closes the acceptor after a failure.
  Status outcome_of(const beast::error_code& failure) {
    if (!failure) {
      return Ok{};
    }
    beast::error_code ignored;  // the acceptor may not even be open
    acceptor.close(ignored);
    return listen_error(address, failure);
  }

  asio::io_context& context;
  Counters& counters;
  ExchangeHandler handler;
  ServerOptions options;
  tcp::acceptor acceptor;
  std::string address;  ///< For error messages.
  std::size_t connections = 0;
  bool closing = false;                 ///< Responses carry Connection: close.
  std::set<tcp::socket*> idle_sockets;  ///< Of connections between two requests.
};

namespace {

/// A parser that reports a header field which the message cannot hold as an error; the library's own one throws.
class limited_parser : public http::request_parser<http::buffer_body> {
  void on_field_impl(http::field field, beast::string_view name, beast::string_view value,
                     beast::error_code& failure) override {
    if (name.size() > kMaxFieldBytes || value.size() > kMaxFieldBytes) {
      failure = http::error::header_limit;
      return;
    }
    get().insert(field, name, value);
  }
};

/// One connection of a caller; serves its requests one after the other.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<HttpServer::Implementation> server, tcp::socket socket)
      : server_(std::move(server)),
        stream_(std::move(socket)),
        buffer_(server_->options.max_header_bytes + kMaxReadAheadBytes) {
    ++server_->connections;
  }
  ~Session() { --server_->connections; }

  asio::awaitable<void> run(std::shared_ptr<Session> self) {
    try {
      while (co_await serve_one()) {
      }
    } catch (const std::exception& thrown) {
      break_off(thrown.what());
    }
    beast::error_code ignored;
    if (ends_with_reset_) {
      stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    } else {
      stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }
    stream_.close();
    (void)self;
  }

 private:
  using Parser = limited_parser;

  /// @return why no request came; no error when its first bytes are there. The stream's own expiry does not cover waits
  ///         for its socket.
  asio::awaitable<beast::error_code> wait_for_request() {
    asio::steady_timer idle(stream_.get_executor(), server_->options.idle_timeout);
    const auto waiting = std::make_shared<bool>(true);
    idle.async_wait([this, waiting](beast::error_code cancelled) {
      if (!cancelled && *waiting) {
        server_->counters["http_idle_connections_closed_total"]++;
        beast::error_code ignored;
        stream_.socket().cancel(ignored);
      }
    });
    auto [failure] = co_await stream_.socket().async_wait(tcp::socket::wait_read, kAwait);
    *waiting = false;
    co_return failure;
  }

  asio::awaitable<bool> serve_one() {
    const ServerOptions& options = server_->options;
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(options.max_header_bytes));
    parser.body_limit(boost::none);
    if (buffer_.size() == 0) {
      server_->idle_sockets.insert(&stream_.socket());
      const beast::error_code wait_failure = co_await wait_for_request();
      server_->idle_sockets.erase(&stream_.socket());
      if (wait_failure) {
        co_return false;
      }
    }
    stream_.expires_after(options.header_timeout);
    auto [failure, header_bytes] = co_await http::async_read_header(stream_, buffer_, parser, kAwait);
    if (failure) {
      co_return co_await refuse_unreadable(failure);
    }
    auto exchange =
        std::make_shared<HttpExchange>(stream_.get_executor(), to_request(parser.get()), caller_ip(), options);
    current_ = exchange;
    exchange->takes_chunks = parser.get().version() >= kFirstVersionWithChunks;
    exchange->is_closed = [weak = weak_from_this()] {
      const auto session = weak.lock();
      return !session || closed_by_peer(session->stream_.socket());
    };
    exchange->stray_writer = [weak = weak_from_this()](std::string_view bytes) {
      if (const auto session = weak.lock()) {
        session->send_stray(bytes);
      }
    };
    const bool keep_alive = parser.get().keep_alive() && exchange->takes_chunks;
    const bool streamed = options.streams_body && options.streams_body(exchange->request());
    server_->counters["http_requests_total"]++;
    bool body_read = false;
    if (auto answer = options.answer_head ? options.answer_head(exchange->request()) : std::nullopt) {
      exchange->respond(std::move(*answer));
      co_await write_response(*exchange, keep_alive);
      co_return co_await drop_body(parser, *exchange) && keep_alive && !server_->closing;
    }
    if (!streamed && !exchange->reserve_body(stated_length(parser))) {
      refuse_for_memory(*exchange, stated_length(parser));
      co_await write_response(*exchange, keep_alive);
      co_return co_await drop_body(parser, *exchange) && keep_alive && !server_->closing;
    }
    if (streamed) {
      server_->handler(exchange);
      body_read = co_await feed_body(parser, *exchange);
    } else {
      body_read = co_await collect_body(parser, *exchange);
      if (!body_read && exchange->finished) {
        co_await write_response(*exchange, false);
        co_await drop_body(parser, *exchange);
        co_return false;
      }
      if (body_read && !exchange->finished) {
        server_->handler(exchange);
      }
    }
    if (!exchange->gone) {
      watch_caller(exchange);
      co_await write_response(*exchange, keep_alive && body_read);
    }
    const bool framed = exchange->whole || exchange->takes_chunks;
    const bool reusable =
        keep_alive && framed && body_read && !exchange->gone && !exchange->aborted && !server_->closing;
    ends_with_reset_ = ends_with_reset_ || exchange->resets;
    exchange->drop_hooks();
    current_.reset();
    co_return reusable;
  }

  /// Ends this connection alone after an exception: the process has others in hand. Its caller gets no answer, or a
  /// part that does not look complete.
  void break_off(const char* error) {
    server_->counters["http_sessions_broken_off_total"]++;
    log_event(LogLevel::error, "http_session_threw", {{"caller", caller_ip()}, {"error", error}});
    ends_with_reset_ = true;
    if (const auto exchange = current_.lock()) {
      exchange->notify_disconnected();
      exchange->drop_hooks();
    }
  }

  asio::awaitable<bool> refuse_unreadable(beast::error_code failure) {
    if (failure == http::error::end_of_stream || failure == asio::error::eof || failure == beast::error::timeout ||
        failure == asio::error::connection_reset || failure == asio::error::operation_aborted) {
      if (failure == beast::error::timeout) {
        server_->counters["http_slow_senders_total"]++;
      }
      co_return false;
    }
    const bool too_large = failure == http::error::header_limit;
    server_->counters[too_large ? "http_headers_too_large_total" : "http_malformed_requests_total"]++;
    const Error error{too_large ? ErrorKind::header_too_large : ErrorKind::invalid_argument,
                      too_large ? "request header is too large" : "malformed HTTP: " + failure.message()};
    HttpExchange exchange(stream_.get_executor(), HttpRequest(), caller_ip(), server_->options);
    exchange.respond(server_->options.refusal(error));
    co_await write_response(exchange, false);
    co_return false;
  }

  /// @return the length of the body that the head states, up to the longest that is allowed; 0 if it states none.
  std::size_t stated_length(const Parser& parser) const {
    const std::uint64_t length = parser.content_length().value_or(0);
    return static_cast<std::size_t>(std::min<std::uint64_t>(length, server_->options.max_body_bytes));
  }

  /// @param bytes of the body, as far as they are known.
  void refuse_for_memory(HttpExchange& exchange, std::size_t bytes) {
    server_->counters["http_bodies_refused_for_memory_total"]++;
    if (exchange.could_reserve_body(bytes)) {
      exchange.respond(
          server_->options.refusal({ErrorKind::unavailable, "the memory of this node is in use; nothing was run"}));
      return;
    }
    server_->counters["http_bodies_beyond_memory_total"]++;
    exchange.respond(server_->options.refusal(
        {ErrorKind::body_too_large, "request body is larger than the memory of this node allows; nothing was run"}));
  }

  /// Reads a complete body into the request.
  asio::awaitable<bool> collect_body(Parser& parser, HttpExchange& exchange) {
    std::string piece(std::min<std::size_t>(kPieceBytes, server_->options.max_body_bytes), '\0');
    exchange.mutable_request().body.reserve(stated_length(parser));
    while (!parser.is_done()) {
      parser.get().body().data = piece.data();
      parser.get().body().size = piece.size();
      stream_.expires_after(server_->options.body_timeout);
      auto [failure, bytes] = co_await http::async_read_some(stream_, buffer_, parser, kAwait);
      if (failure && failure != http::error::need_buffer) {
        server_->counters["http_bodies_broken_total"]++;
        exchange.gone = true;
        co_return false;
      }
      const std::size_t length = piece.size() - parser.get().body().size;
      const std::size_t known = std::min(exchange.request().body.size() + length, server_->options.max_body_bytes);
      if (!exchange.reserve_body(known)) {
        exchange.drop_body();
        refuse_for_memory(exchange, known);
        co_return false;
      }
      exchange.mutable_request().body.append(piece.data(), length);
      if (exchange.request().body.size() > server_->options.max_body_bytes) {
        server_->counters["http_bodies_too_large_total"]++;
        exchange.drop_body();
        exchange.respond(server_->options.refusal(
            {ErrorKind::body_too_large,
             "request body is larger than " + std::to_string(server_->options.max_body_bytes) + " bytes"}));
        co_return false;
      }
    }
    co_return true;
  }

  /// Reads a body to its end and discards it: closing a socket with unread bytes resets the connection, and the
  /// response could be lost.
  asio::awaitable<bool> drop_body(Parser& parser, HttpExchange& exchange) {
    std::string piece(kPieceBytes, '\0');
    std::size_t dropped = 0;
    while (!parser.is_done() && !exchange.gone && dropped <= server_->options.max_body_bytes) {
      parser.get().body().data = piece.data();
      parser.get().body().size = piece.size();
      stream_.expires_after(server_->options.body_timeout);
      auto [failure, bytes] = co_await http::async_read_some(stream_, buffer_, parser, kAwait);
      if (failure && failure != http::error::need_buffer) {
        server_->counters["http_bodies_broken_total"]++;
        exchange.gone = true;
      }
      dropped += piece.size() - parser.get().body().size;
    }
    co_return parser.is_done() && !exchange.gone;
  }

  /// Passes the body to the handler piece by piece, whenever the handler asks for the next piece.
  asio::awaitable<bool> feed_body(Parser& parser, HttpExchange& exchange) {
    std::string piece(kPieceBytes, '\0');
    while (!exchange.finished) {
      if (!exchange.body_handler) {
        co_await exchange.wakeup.wait();
        continue;
      }
      parser.get().body().data = piece.data();
      parser.get().body().size = piece.size();
      const bool was_done = parser.is_done();
      if (!was_done) {
        stream_.expires_after(server_->options.body_timeout);
        auto [failure, bytes] = co_await http::async_read_some(stream_, buffer_, parser, kAwait);
        if (failure && failure != http::error::need_buffer) {
          server_->counters["http_bodies_broken_total"]++;
          exchange.notify_disconnected();
          co_return false;
        }
      }
      const std::size_t length = was_done ? 0 : piece.size() - parser.get().body().size;
      const bool last = parser.is_done();
      auto wanted = std::make_shared<bool>(false);
      std::weak_ptr<HttpExchange> weak = exchange.weak_from_this();
      exchange.body_handler(std::string_view(piece.data(), length), last, [wanted, weak] {
        *wanted = true;
        if (const auto strong = weak.lock()) {
          strong->wakeup.notify();
        }
      });
      if (last) {
        co_return true;
      }
      while (!*wanted && !exchange.finished) {
        co_await exchange.wakeup.wait();
      }
    }
    co_return parser.is_done();
  }

  void send_stray(std::string_view bytes) {
    const auto present = current_.lock();
    const bool responds = present && (present->whole || present->stream_header);
    if (!responds && stream_.socket().is_open()) {
      ::send(stream_.socket().native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
  }

  void watch_caller(const std::shared_ptr<HttpExchange>& exchange) {
    current_ = exchange;
    std::weak_ptr<HttpExchange> weak = exchange;
    stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this(), weak](beast::error_code failure) {
      const auto watched = weak.lock();
      if (!watched || self->current_.lock() != watched) {
        return;
      }
      if (failure || closed_by_peer(self->stream_.socket())) {
        watched->notify_disconnected();
      }
    });
  }

  asio::awaitable<void> write_response(HttpExchange& exchange, bool keep_alive) {
    while (!exchange.whole && !exchange.stream_header && !exchange.gone && !exchange.aborted) {
      co_await exchange.wakeup.wait();
    }
    if (exchange.gone || (exchange.aborted && !exchange.stream_header)) {
      co_return;
    }
    if (exchange.whole) {
      co_await write_whole(exchange, keep_alive);
    } else {
      co_await write_stream(exchange, keep_alive);
    }
  }

  template <class Body>
  static void fill_header(http::response<Body>& message, const HttpResponse& response, bool keep_alive) {
    message.version(11);
    message.result(response.status);
    if (!response.content_type.empty()) {
      message.set(http::field::content_type, response.content_type);
    }
    for (const Header& header : response.headers) {
      message.insert(header.name, header.value);
    }
    message.keep_alive(keep_alive);
  }

  asio::awaitable<void> write_whole(HttpExchange& exchange, bool keep_alive) {
    keep_alive = keep_alive && !server_->closing;
    http::response<http::string_body> message;
    fill_header(message, *exchange.whole, keep_alive);
    message.body() = std::move(exchange.whole->body);
    message.prepare_payload();
    stream_.expires_after(server_->options.write_timeout);
    auto [failure, bytes] = co_await http::async_write(stream_, message, kAwait);
    if (failure) {
      exchange.gone = true;
    }
  }

  asio::awaitable<void> write_stream(HttpExchange& exchange, bool keep_alive) {
    keep_alive = keep_alive && exchange.takes_chunks && !server_->closing;
    http::response<http::empty_body> message;
    fill_header(message, *exchange.stream_header, keep_alive);
    if (exchange.takes_chunks) {
      message.chunked(true);  // chunked(false) would remove a stated Content-Length
    }
    http::response_serializer<http::empty_body> serializer(message);
    stream_.expires_after(server_->options.write_timeout);
    auto [failure, bytes] = co_await http::async_write_header(stream_, serializer, kAwait);
    if (failure) {
      exchange.notify_disconnected();
    }
    while (!exchange.gone) {
      if (exchange.pending.empty()) {
        if (exchange.finished || exchange.aborted) {
          break;
        }
        co_await exchange.wakeup.wait();
        continue;
      }
      std::string piece;
      std::swap(piece, exchange.pending);
      exchange.writing = piece.size();
      stream_.expires_after(server_->options.write_timeout);
      // The end of the response is written together with the last piece if it is known already.
      const bool last = exchange.finished && !exchange.aborted;
      const beast::error_code write_failure = co_await write_piece(piece, last, exchange.takes_chunks);
      exchange.writing = 0;
      exchange.count_backlog();
      if (last && !write_failure) {
        co_return;
      }
      if (write_failure) {
        server_->counters["http_slow_readers_total"] += write_failure == beast::error::timeout ? 1 : 0;
        exchange.notify_disconnected();
        break;
      }
      if (exchange.backlog_gone && exchange.pending.empty()) {
        exchange.backlog_gone();
      }
    }
    const bool whole = !exchange.gone && !exchange.aborted;
    if (whole && exchange.takes_chunks) {
      auto [end_failure, end_bytes] = co_await asio::async_write(stream_, http::make_chunk_last(), kAwait);
      exchange.gone = exchange.gone || static_cast<bool>(end_failure);
    }
    // Without chunks there is no last chunk to be missing: an orderly close would mark the response as complete, so an
    // aborted one ends with a reset.
    ends_with_reset_ = !whole && !exchange.takes_chunks;
  }

  /// @param last whether the end of the response is written together with @p piece.
  asio::awaitable<beast::error_code> write_piece(const std::string& piece, bool last, bool in_chunks) {
    if (!in_chunks) {
      auto [failure, written] = co_await asio::async_write(stream_, asio::buffer(piece), kAwait);
      co_return failure;
    }
    if (!last) {
      auto [failure, written] = co_await asio::async_write(stream_, http::make_chunk(asio::buffer(piece)), kAwait);
      co_return failure;
    }
    auto [failure, written] = co_await asio::async_write(
        stream_, beast::buffers_cat(http::make_chunk(asio::buffer(piece)), http::make_chunk_last()), kAwait);
    co_return failure;
  }

  std::string caller_ip() const {
    beast::error_code failure;
    const tcp::endpoint remote = stream_.socket().remote_endpoint(failure);
    return failure ? std::string() : remote.address().to_string();
  }

  std::shared_ptr<HttpServer::Implementation> server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::weak_ptr<HttpExchange> current_;
  bool ends_with_reset_ = false;
};

asio::awaitable<void> accept_loop(std::shared_ptr<HttpServer::Implementation> server) {
  while (server->acceptor.is_open()) {
    auto [failure, socket] = co_await server->acceptor.async_accept(kAwait);
    if (failure) {
      if (!server->acceptor.is_open()) {
        co_return;
      }
      asio::steady_timer pause(server->context, std::chrono::milliseconds(50));
      co_await pause.async_wait(kAwait);
      continue;
    }
    if (server->connections >= server->options.max_connections) {
      server->counters["http_connections_refused_total"]++;
      continue;  // closes it
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto session = std::make_shared<Session>(server, std::move(socket));
    asio::co_spawn(server->context, session->run(session), asio::detached);
  }
}

}  // namespace

HttpServer::HttpServer(asio::io_context& context, Counters& counters, ExchangeHandler handler, ServerOptions options)
    : implementation_(std::make_shared<Implementation>(context, counters, std::move(handler), std::move(options))) {}

HttpServer::~HttpServer() { stop_accepting(); }

Status HttpServer::bind(const std::string& address) {
  Endpoint endpoint;
  if (!parse_endpoint(address, endpoint)) {
    return Error{ErrorKind::invalid_argument, "listening address '" + address + "': allowed is ip:port"};
  }
  implementation_->address = address;
  beast::error_code failure;
  const tcp::endpoint local(asio::ip::make_address(endpoint.ip), endpoint.port);
  tcp::acceptor& acceptor = implementation_->acceptor;
  acceptor.open(local.protocol(), failure);
  if (!failure) {
    acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) {
    acceptor.bind(local, failure);
  }
  return implementation_->outcome_of(failure);
}

Status HttpServer::start_accepting() {
  beast::error_code failure;
  implementation_->acceptor.listen(asio::socket_base::max_listen_connections, failure);
  const Status listening = implementation_->outcome_of(failure);
  if (succeeded(listening)) {
    asio::co_spawn(implementation_->context, accept_loop(implementation_), asio::detached);
  }
  return listening;
}

Status HttpServer::listen(const std::string& address) {
  const Status bound = bind(address);
  return succeeded(bound) ? start_accepting() : bound;
}

void HttpServer::set_limits(std::size_t max_header_bytes, std::size_t max_body_bytes,
                            std::chrono::milliseconds header_timeout, std::chrono::milliseconds idle_timeout) {
  ServerOptions& options = implementation_->options;
  options.max_header_bytes = max_header_bytes;
  options.max_body_bytes = max_body_bytes;
  options.header_timeout = header_timeout;
  options.idle_timeout = idle_timeout;
}

void HttpServer::announce_closing() { implementation_->closing = true; }

void HttpServer::stop_accepting() {
  beast::error_code ignored;
  implementation_->closing = true;
  implementation_->acceptor.close(ignored);
  for (tcp::socket* socket : implementation_->idle_sockets) {
    socket->cancel(ignored);
  }
}

std::size_t HttpServer::connections() const { return implementation_->connections; }

}  // namespace madderdeck::net
