#include "net/http_client.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
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
#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/log.hpp"
#include "net/boot_clock.hpp"
#include "net/http_fields.hpp"

namespace madderdeck::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kPieceBytes = 32 * 1024;
constexpr std::size_t kPooledPerEndpoint = 64;
constexpr std::chrono::milliseconds kDefaultKeepAlive{4'000};  ///< If the peer states none.
constexpr std::chrono::milliseconds kKeepAliveMargin{500};     ///< Closed this long before the peer's timeout.
constexpr std::size_t kWriteFirstBytes = 16 * 1024;   ///< Longer bodies are written while reading the response.
constexpr std::size_t kMaxStrayResponses = 4;         ///< Max number that is skipped on one connection.
constexpr std::size_t kMaxSkippedBytes = 256 * 1024;  ///< Of the body of a response that nobody reads.
constexpr std::chrono::milliseconds kMaxSkipTime{1'000};
/// Bytes that were read and do not belong to a body yet: a head, the sizes and extensions of chunks, trailers.
constexpr std::size_t kMaxBufferedBytes = 128 * 1024;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;  ///< Lower ones announce a later response.
constexpr unsigned kFirstErrorStatus = 400;
constexpr unsigned kLastStatus = 599;
/// A reply from another zone takes a few milliseconds.
constexpr std::chrono::milliseconds kLivenessTimeout{250};
/// While a process terminates, its address accepts connections until the kernel closes the listening socket, and then
/// resets them.
constexpr std::chrono::milliseconds kLivenessRetryDelay{5};
constexpr unsigned kMaxLivenessRequests = 10;

struct Call {
  explicit Call(asio::io_context& context) : wakeup(context) {}

  std::string endpoint;
  http::request<http::string_body> request;
  ClientCallEvents events;
  ClientCallOptions options;
  std::unique_ptr<beast::tcp_stream> stream;
  asio::steady_timer wakeup;
  bool cancelled = false;
  bool unsendable = false;  ///< It has no request.
  bool paused = false;
  bool skipped = false;  ///< Its events have ended, and its response is read to the end.
  std::optional<boot_clock::time_point> deadline;
  std::size_t body_bytes = 0;  ///< Of the response that is being read.
  bool counted = false;        ///< Included in the endpoint's number of open connections.
  bool written = false;        ///< The complete request has been written.
  beast::error_code write_failure;
  bool connection_is_new = false;  ///< Neither a request before this one nor a response came on it.
};

/// An idle connection in the pool.
struct Pooled {
  std::unique_ptr<beast::tcp_stream> stream;
  boot_clock::time_point since;
  std::chrono::milliseconds keep_alive;
  std::string last_request;  ///< Its id; empty: it had none.
};

/// All connections to one endpoint.
struct EndpointConnections {
  std::vector<Pooled> idle;
  std::size_t busy = 0;
};

/// Sets TCP options that break the connection when the peer is unresponsive for about three seconds, whether or not
/// bytes are in transit to it.
void set_unresponsive_timeout(tcp::socket& socket) {
  const int enabled = 1;
  const int seconds = 1;
  const int probes = 2;
  const unsigned unacknowledged_ms = 2'500;
  const int handle = socket.native_handle();
  ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof unacknowledged_ms);
}

http::request<http::string_body> message_of(HttpRequest request, const std::string& endpoint) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  for (const Header& header : request.headers) {
    message.insert(header.name, header.value);
  }
  if (message.find(http::field::host) == message.end()) {
    message.set(http::field::host, endpoint);
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

/// @return how long the peer keeps an idle connection open, from its Keep-Alive header.
std::chrono::milliseconds keep_alive_of(const Headers& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = find_header(headers, "Keep-Alive");
  const std::size_t start = value.find(kTimeout);
  unsigned seconds = 0;
  if (start == std::string_view::npos) {
    return kDefaultKeepAlive;
  }
  const char* first = value.data() + start + kTimeout.size();
  std::from_chars(first, value.data() + value.size(), seconds);
  return std::chrono::seconds(seconds);
}

/// @return whether the peer has kept an idle connection open.
bool still_open(beast::tcp_stream& stream) {
  char byte = 0;
  const auto received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

struct HttpClient::Implementation : std::enable_shared_from_this<HttpClient::Implementation> {
  Implementation(asio::io_context& io_context, std::string ip) : context(io_context), local_ip(std::move(ip)) {}

  /// @return why @p stream could not be connected to @p address; no error when it is.
  asio::awaitable<beast::error_code> open(beast::tcp_stream& stream, const std::string& address,
                                          std::chrono::milliseconds timeout) {
    Endpoint endpoint;
    if (!parse_endpoint(address, endpoint)) {
      co_return asio::error::invalid_argument;
    }
    const tcp::endpoint remote(asio::ip::make_address(endpoint.ip), endpoint.port);
    beast::error_code failure;
    stream.socket().open(remote.protocol(), failure);
    if (!failure && !local_ip.empty()) {
      const int enabled = 1;
      ::setsockopt(stream.socket().native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof enabled);
      stream.socket().bind(tcp::endpoint(asio::ip::make_address(local_ip), 0), failure);
    }
    if (failure) {
      co_return failure;
    }
    stream.expires_after(timeout);
    auto [connect_failure] = co_await stream.async_connect(remote, kAwait);
    co_return connect_failure;
  }

  asio::awaitable<bool> connect(Call& call) {
    call.stream = std::make_unique<beast::tcp_stream>(context);
    const beast::error_code failure = co_await open(*call.stream, call.endpoint, call.options.connect_timeout);
    if (!failure) {
      beast::error_code ignored;
      call.stream->socket().set_option(tcp::no_delay(true), ignored);
      set_unresponsive_timeout(call.stream->socket());
    }
    co_return !failure;
  }

  asio::awaitable<void> probe(std::string address, std::chrono::milliseconds timeout, routing::ReachabilityDone done) {
    co_await asio::post(context, asio::use_awaitable);
    beast::tcp_stream stream(context);
    const beast::error_code failure = co_await open(stream, address, timeout);
    using routing::reachability;
    const bool refused = failure == asio::error::connection_refused;
    done(!failure ? reachability::listening : (refused ? reachability::refused : reachability::silent));
  }

  /// Result of a liveness request to a peer.
  enum class PeerLiveness { answers, refuses, silent, breaks };

  /// @return whether the peer was expected to keep running and now refuses connections. A peer that does not respond
  ///         may still be running, and so may one that breaks each connection because it has too many.
  /// The check is skipped (false) if the call has no liveness request.
  asio::awaitable<bool> peer_has_terminated(Call& call) {
    if (!call.options.liveness_request || (call.options.peer_keeps_running && !call.options.peer_keeps_running())) {
      co_return false;
    }
    for (unsigned asked = 0; asked < kMaxLivenessRequests; ++asked) {
      const PeerLiveness liveness = co_await check_liveness(call.endpoint, *call.options.liveness_request);
      if (liveness != PeerLiveness::breaks) {
        co_return liveness == PeerLiveness::refuses;
      }
      asio::steady_timer pause(context, kLivenessRetryDelay);
      co_await pause.async_wait(kAwait);
    }
    co_return false;
  }

  asio::awaitable<PeerLiveness> check_liveness(const std::string& endpoint, const HttpRequest& request) {
    beast::tcp_stream stream(context);
    const beast::error_code failure = co_await open(stream, endpoint, kLivenessTimeout);
    if (failure) {
      co_return failure == asio::error::connection_refused ? PeerLiveness::refuses : liveness_of(failure);
    }
    http::request<http::string_body> message = message_of(request, endpoint);
    stream.expires_after(kLivenessTimeout);
    auto [write_failure, written] = co_await http::async_write(stream, message, kAwait);
    if (write_failure) {
      co_return liveness_of(write_failure);
    }
    beast::flat_buffer buffer(kMaxBufferedBytes);
    http::response_parser<http::buffer_body> parser;
    auto [read_failure, count] = co_await http::async_read_header(stream, buffer, parser, kAwait);
    co_return read_failure ? liveness_of(read_failure) : PeerLiveness::answers;
  }

  static PeerLiveness liveness_of(beast::error_code failure) {
    return failure == beast::error::timeout ? PeerLiveness::silent : PeerLiveness::breaks;
  }

  bool take_pooled(Call& call) {
    auto& idle = pool[call.endpoint].idle;
    const auto now = boot_clock::now();
    const std::string& id = call.options.request_id;
    for (std::size_t left = idle.size(); left > 0; --left) {
      const auto place = idle.begin() + static_cast<std::ptrdiff_t>(left - 1);
      if (!id.empty() && place->last_request == id) {
        continue;
      }
      Pooled candidate = std::move(*place);
      idle.erase(place);
      const auto rested = now - candidate.since;
      const bool young = rested < candidate.keep_alive - kKeepAliveMargin && rested < call.options.max_reuse_idle;
      if (young && still_open(*candidate.stream)) {
        call.stream = std::move(candidate.stream);
        return true;
      }
    }
    return false;
  }

  void return_to_pool(Call& call, std::chrono::milliseconds keep_alive) {
    auto& idle = pool[call.endpoint].idle;
    const bool useful = keep_alive > kKeepAliveMargin;
    if (useful && idle.size() < kPooledPerEndpoint) {
      call.stream->expires_never();
      idle.push_back({std::move(call.stream), boot_clock::now(), keep_alive, call.options.request_id});
    }
  }

  /// @return whether the endpoint may have one more open connection; an idle one is closed to make room.
  bool claim_connection(Call& call) {
    EndpointConnections& connections = pool[call.endpoint];
    if (connections.busy >= call.options.max_connections) {
      return false;
    }
    const std::size_t idle_allowed = call.options.max_connections - connections.busy;
    if (connections.idle.size() > idle_allowed) {
      connections.idle.erase(
          connections.idle.begin(),
          connections.idle.begin() + static_cast<std::ptrdiff_t>(connections.idle.size() - idle_allowed));
    }
    ++connections.busy;
    call.counted = true;
    return true;
  }

  void release_connection(Call& call) {
    if (call.counted) {
      call.counted = false;
      --pool[call.endpoint].busy;
    }
  }

  void fail(CallNumber number, Call& call, CallBreak reason) {
    calls.erase(number);
    release_connection(call);
    if (call.stream) {
      call.stream->close();
    }
    if (!call.cancelled && !call.skipped && call.events.failed) {
      call.events.failed(reason);
    }
  }

  static CallBreak reason_of(beast::error_code failure) {
    if (failure == beast::error::timeout) {
      return CallBreak::timed_out;
    }
    if (failure == http::error::end_of_stream || failure == http::error::partial_message) {
      return CallBreak::closed;
    }
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow ||
        failure == http::error::body_limit) {
      return CallBreak::too_long;
    }
    return failure.category() == http::make_error_code(http::error::bad_version).category() ? CallBreak::malformed
                                                                                            : CallBreak::reset;
  }

  /// Lets the next operation on the call's connection fail after its idle time, or at its deadline if that is earlier.
  static void set_expiry(Call& call) {
    std::chrono::milliseconds timeout = call.options.idle_timeout;
    if (call.deadline) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*call.deadline - boot_clock::now());
      timeout = std::clamp(left, std::chrono::milliseconds(0), timeout);
    }
    call.stream->expires_after(timeout);
  }

  /// @return how long the body of a response may be.
  static std::size_t max_body_of(const Call& call, bool belongs) {
    return belongs && !call.skipped ? call.options.max_body_bytes : kMaxSkippedBytes;
  }

  /// @return whether the peer's kernel has the whole request. What is written without an error may still wait here.
  static bool is_request_received(Call& call) {
    int unacknowledged_bytes = 0;
    const bool known = ::ioctl(call.stream->socket().native_handle(), SIOCOUTQ, &unacknowledged_bytes) == 0;
    return call.written && (!known || unacknowledged_bytes == 0);
  }

  /// @return whether the write of the request met the error by which the connection broke before the peer had closed it
  ///         in order. A reset after such a close is a broken pipe to the writer, and takes nothing from the response.
  static bool has_write_met_break(const Call& call) {
    return call.write_failure.failed() && call.write_failure != asio::error::broken_pipe;
  }

  /// A response without a length is complete where its connection ends in order. The end of one that broke looks the
  /// same here if the write of the request met the error first; that write has then completed before the read. A
  /// success counts only once the request has arrived. A failure may come before that.
  static bool is_ended_in_order(Call& call, const ResponseHead& head) {
    if (head.framing != body_framing::until_close) {
      return true;
    }
    if (head.status >= kFirstErrorStatus) {
      return !has_write_met_break(call);
    }
    int socket_error = 0;
    socklen_t length = sizeof socket_error;
    ::getsockopt(call.stream->socket().native_handle(), SOL_SOCKET, SO_ERROR, &socket_error, &length);
    return socket_error == 0 && is_request_received(call);
  }

  static body_framing framing_of(const http::response_parser<http::buffer_body>& parser) {
    if (parser.chunked()) {
      return body_framing::chunks;
    }
    return parser.need_eof() ? body_framing::until_close : body_framing::length;
  }

  /// Runs a call. An exception fails this call alone: the process has others in hand.
  asio::awaitable<void> run_contained(CallNumber number, std::shared_ptr<Call> call) {
    try {
      co_await run(number, call);
    } catch (const std::exception& thrown) {
      log_event(LogLevel::error, "http_call_threw", {{"peer", call->endpoint}, {"error", thrown.what()}});
      if (calls.contains(number)) {
        fail(number, *call, CallBreak::malformed);
      }
    }
  }

  asio::awaitable<void> run(CallNumber number, std::shared_ptr<Call> call) {
    // Nothing below may run inside start(), since events must not be delivered there.
    co_await asio::post(context, asio::use_awaitable);
    if (call->cancelled) {
      co_return;
    }
    if (call->unsendable) {
      fail(number, *call, CallBreak::unsendable);
      co_return;
    }
    const bool pooled = !call->options.fresh_connection && take_pooled(*call);
    if (!claim_connection(*call)) {
      fail(number, *call, CallBreak::limit_reached);
      co_return;
    }
    if (!pooled && !co_await connect(*call)) {
      fail(number, *call, CallBreak::connect_failed);
      co_return;
    }
    call->connection_is_new = !pooled;
    if (call->cancelled) {
      co_return;
    }
    if (call->options.may_still_send && !call->options.may_still_send()) {
      fail(number, *call, CallBreak::connect_failed);
      co_return;
    }
    set_expiry(*call);
    if (call->request.body().size() > kWriteFirstBytes) {
      // The peer may respond before it has read the whole request.
      asio::co_spawn(
          context, [self = shared_from_this(), call]() { return self->write_request(call); }, asio::detached);
    } else {
      co_await write_request(call);
      if (call->write_failure || call->cancelled) {
        fail(number, *call, CallBreak::reset);
        co_return;
      }
    }
    beast::flat_buffer buffer(kMaxBufferedBytes);
    std::size_t strays = 0;
    while (co_await read_response(number, call, buffer) == ReadOutcome::stray) {
      if (++strays > kMaxStrayResponses) {
        fail(number, *call, CallBreak::malformed);
        co_return;
      }
    }
  }

  asio::awaitable<void> write_request(std::shared_ptr<Call> call) {
    // If the call is cancelled during the write, its stream is closed and the write ends with an error.
    auto [failure, written] = co_await http::async_write(*call->stream, call->request, kAwait);
    call->written = !failure;
    call->write_failure = failure;
  }

  enum class ReadOutcome { ended, stray };

  /// Reads one response. Events are delivered only if it belongs to the call.
  asio::awaitable<ReadOutcome> read_response(CallNumber number, std::shared_ptr<Call> call,
                                             beast::flat_buffer& buffer) {
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    call->body_bytes = 0;
    set_expiry(*call);
    auto [failure, bytes] = co_await http::async_read_header(*call->stream, buffer, parser, kAwait);
    if (failure || call->cancelled) {
      fail(number, *call, reason_of(failure));
      co_return ReadOutcome::ended;
    }
    ResponseHead head;
    head.status = parser.get().result_int();
    head.framing = framing_of(parser);
    for (const auto& field : parser.get()) {
      head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    if (head.status < kFirstStatus || head.status > kLastStatus) {
      fail(number, *call, CallBreak::malformed);
      co_return ReadOutcome::ended;
    }
    const bool interim = head.status < kFirstFinalStatus;
    const bool belongs = !interim && (!call->options.belongs ||
                                      call->options.belongs(head.status, head.headers, call->connection_is_new));
    call->connection_is_new = call->connection_is_new && interim;
    if (parser.content_length().value_or(0) > max_body_of(*call, belongs)) {
      fail(number, *call, CallBreak::too_long);
      co_return ReadOutcome::ended;
    }
    if (belongs && call->events.header) {
      call->events.header(head);
    } else if (!belongs && !interim && !call->skipped && call->events.skipped) {
      call->events.skipped(head);
    }
    std::string piece(kPieceBytes, '\0');
    while (!parser.is_done() && !call->cancelled) {
      parser.get().body().data = piece.data();
      parser.get().body().size = piece.size();
      set_expiry(*call);
      auto [read_failure, count] = co_await http::async_read_some(*call->stream, buffer, parser, kAwait);
      if ((read_failure && read_failure != http::error::need_buffer) || call->cancelled) {
        fail(number, *call, reason_of(read_failure));
        co_return ReadOutcome::ended;
      }
      const std::size_t length = piece.size() - parser.get().body().size;
      call->body_bytes += length;
      if (call->body_bytes > max_body_of(*call, belongs)) {
        fail(number, *call, CallBreak::too_long);
        co_return ReadOutcome::ended;
      }
      if (belongs && length > 0 && !call->skipped && call->events.body) {
        call->events.body(std::string_view(piece.data(), length));
      }
      while (call->paused && !call->cancelled) {
        call->stream->expires_never();
        call->wakeup.expires_at(asio::steady_timer::time_point::max());
        co_await call->wakeup.async_wait(kAwait);
      }
    }
    if (call->cancelled) {
      co_return ReadOutcome::ended;
    }
    const bool judged = belongs && !call->skipped;
    if (judged && !is_ended_in_order(*call, head)) {
      fail(number, *call, CallBreak::closed);
      co_return ReadOutcome::ended;
    }
    if (judged && head.framing == body_framing::until_close && co_await peer_has_terminated(*call)) {
      fail(number, *call, CallBreak::closed);
      co_return ReadOutcome::ended;
    }
    if (call->cancelled) {
      co_return ReadOutcome::ended;
    }
    // While the peer was asked, it may have reset the connection of its response.
    if (judged && !is_ended_in_order(*call, head)) {
      fail(number, *call, CallBreak::closed);
      co_return ReadOutcome::ended;
    }
    if (!belongs && parser.get().keep_alive()) {
      co_return ReadOutcome::stray;
    }
    if (!belongs) {
      fail(number, *call, CallBreak::malformed);
      co_return ReadOutcome::ended;
    }
    calls.erase(number);
    release_connection(*call);
    // Bytes after a complete response belong to no request, so the connection is not reused.
    if (parser.get().keep_alive() && buffer.size() == 0 && call->written) {
      return_to_pool(*call, keep_alive_of(head.headers));
    } else {
      call->stream->close();
    }
    if (!call->skipped && call->events.done) {
      call->events.done();
    }
    co_return ReadOutcome::ended;
  }

  asio::io_context& context;
  std::string local_ip;
  std::unordered_map<std::string, EndpointConnections> pool;
  std::unordered_map<CallNumber, std::shared_ptr<Call>> calls;
  CallNumber next = 0;
};

const char* call_break_name(CallBreak reason) {
  switch (reason) {
    case CallBreak::connect_failed:
      return "connect_failed";
    case CallBreak::unsendable:
      return "unsendable";
    case CallBreak::limit_reached:
      return "limit_reached";
    case CallBreak::closed:
      return "closed";
    case CallBreak::reset:
      return "reset";
    case CallBreak::malformed:
      return "malformed";
    case CallBreak::too_long:
      return "too_long";
    case CallBreak::timed_out:
      break;
  }
  return "timed_out";
}

HttpClient::HttpClient(asio::io_context& context, std::string local_ip)
    : implementation_(std::make_shared<Implementation>(context, std::move(local_ip))) {}
HttpClient::~HttpClient() = default;

HttpClient::CallNumber HttpClient::start(const std::string& endpoint, HttpRequest request, ClientCallEvents events,
                                         ClientCallOptions options) {
  auto call = std::make_shared<Call>(implementation_->context);
  call->endpoint = endpoint;
  call->events = std::move(events);
  call->options = options;
  if (options.total_timeout.count() > 0) {
    call->deadline = boot_clock::now() + options.total_timeout;
  }
  call->unsendable = find_unsendable(request).has_value();
  if (!call->unsendable) {
    call->request = message_of(std::move(request), endpoint);
  }
  const CallNumber number = ++implementation_->next;
  implementation_->calls.emplace(number, call);
  asio::co_spawn(
      implementation_->context,
      [implementation = implementation_, number, call]() -> asio::awaitable<void> {
        co_await implementation->run_contained(number, call);
      },
      asio::detached);
  return number;
}

HttpClient::CallNumber HttpClient::fetch(const std::string& endpoint, HttpRequest request, SimpleDone done,
                                         ClientCallOptions options) {
  auto response = std::make_shared<SimpleResponse>();
  ClientCallEvents events;
  events.header = [response](const ResponseHead& head) {
    response->status = head.status;
    response->headers = head.headers;
    response->framing = head.framing;
  };
  events.body = [response](std::string_view piece) { response->body.append(piece); };
  events.done = [response, done, may_end = options.may_end_with_connection] {
    if (response->framing == body_framing::until_close && !may_end) {
      done(CallBreak::closed);
      return;
    }
    done(std::move(*response));
  };
  events.failed = [done](CallBreak reason) { done(reason); };
  options.max_body_bytes = std::min(options.max_body_bytes, kMaxFetchedBytes);
  return start(endpoint, std::move(request), std::move(events), options);
}

void HttpClient::probe(const std::string& endpoint, std::chrono::milliseconds timeout, routing::ReachabilityDone done) {
  asio::co_spawn(
      implementation_->context,
      [implementation = implementation_, endpoint, timeout, done = std::move(done)]() -> asio::awaitable<void> {
        co_await implementation->probe(endpoint, timeout, done);
      },
      asio::detached);
}

void HttpClient::skip_rest(CallNumber number) {
  if (const auto entry = implementation_->calls.find(number); entry != implementation_->calls.end()) {
    Call& call = *entry->second;
    call.skipped = true;
    call.deadline = boot_clock::now() + kMaxSkipTime;
    resume(number);
  }
}

void HttpClient::cancel(CallNumber number) {
  const auto entry = implementation_->calls.find(number);
  if (entry == implementation_->calls.end()) {
    return;
  }
  const std::shared_ptr<Call> call = entry->second;
  implementation_->calls.erase(entry);
  call->cancelled = true;
  implementation_->release_connection(*call);
  call->wakeup.cancel();
  if (call->stream) {
    call->stream->close();
  }
}

void HttpClient::pause(CallNumber number) {
  if (const auto entry = implementation_->calls.find(number); entry != implementation_->calls.end()) {
    entry->second->paused = true;
  }
}

void HttpClient::resume(CallNumber number) {
  if (const auto entry = implementation_->calls.find(number); entry != implementation_->calls.end()) {
    entry->second->paused = false;
    entry->second->wakeup.cancel();
  }
}

}  // namespace madderdeck::net
