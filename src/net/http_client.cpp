#include "net/http_client.hpp"

#include <netinet/in.h>
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
#include <map>
#include <unordered_map>
#include <vector>

namespace madderdeck::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kPieceBytes = 32 * 1024;
constexpr std::size_t kPooledPerEndpoint = 64;

struct Call {
  explicit Call(asio::io_context& context) : wakeup(context) {}

  std::string endpoint;
  http::request<http::string_body> request;
  ClientCallEvents events;
  ClientCallOptions options;
  std::unique_ptr<beast::tcp_stream> stream;
  asio::steady_timer wakeup;
  bool cancelled = false;
  bool paused = false;
};

/// @return whether the peer has kept an idle connection open.
bool still_open(beast::tcp_stream& stream) {
  char byte = 0;
  const auto received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

struct HttpClient::Implementation : std::enable_shared_from_this<HttpClient::Implementation> {
  Implementation(asio::io_context& io_context, std::string ip) : context(io_context), local_ip(std::move(ip)) {}

  asio::awaitable<bool> connect(Call& call) {
    Endpoint endpoint;
    if (!parse_endpoint(call.endpoint, endpoint)) {
      co_return false;
    }
    call.stream = std::make_unique<beast::tcp_stream>(context);
    const tcp::endpoint remote(asio::ip::make_address(endpoint.ip), endpoint.port);
    beast::error_code failure;
    call.stream->socket().open(remote.protocol(), failure);
    if (!failure && !local_ip.empty()) {
      const int enabled = 1;
      ::setsockopt(call.stream->socket().native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled,
                   sizeof enabled);
      call.stream->socket().bind(tcp::endpoint(asio::ip::make_address(local_ip), 0), failure);
    }
    if (failure) {
      co_return false;
    }
    call.stream->expires_after(call.options.connect_timeout);
    auto [connect_failure] = co_await call.stream->async_connect(remote, kAwait);
    if (!connect_failure) {
      call.stream->socket().set_option(tcp::no_delay(true), failure);
    }
    co_return !connect_failure;
  }

  bool take_pooled(Call& call) {
    auto& idle = pool[call.endpoint];
    while (!idle.empty()) {
      auto candidate = std::move(idle.back());
      idle.pop_back();
      if (still_open(*candidate)) {
        call.stream = std::move(candidate);
        return true;
      }
    }
    return false;
  }

  void give_back(Call& call) {
    auto& idle = pool[call.endpoint];
    if (idle.size() < kPooledPerEndpoint) {
      call.stream->expires_never();
      idle.push_back(std::move(call.stream));
    }
  }

  void fail(CallNumber number, Call& call, CallBreak reason) {
    calls.erase(number);
    if (!call.cancelled && call.events.failed) {
      call.events.failed(reason);
    }
  }

  static CallBreak reason_of(beast::error_code failure) {
    return failure == beast::error::timeout ? CallBreak::timed_out : CallBreak::broken;
  }

  asio::awaitable<void> run(CallNumber number, std::shared_ptr<Call> call) {
    // Whatever happens below must not run inside start().
    co_await asio::post(context, asio::use_awaitable);
    if (call->cancelled) {
      co_return;
    }
    const bool pooled = !call->options.fresh_connection && take_pooled(*call);
    if (!pooled && !co_await connect(*call)) {
      fail(number, *call, CallBreak::connect_failed);
      co_return;
    }
    if (call->cancelled) {
      co_return;
    }
    call->stream->expires_after(call->options.idle_timeout);
    auto [write_failure, written] = co_await http::async_write(*call->stream, call->request, kAwait);
    if (write_failure || call->cancelled) {
      fail(number, *call, reason_of(write_failure));
      co_return;
    }
    co_await read_response(number, call);
  }

  asio::awaitable<void> read_response(CallNumber number, std::shared_ptr<Call> call) {
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    call->stream->expires_after(call->options.idle_timeout);
    auto [failure, bytes] = co_await http::async_read_header(*call->stream, buffer, parser, kAwait);
    if (failure || call->cancelled) {
      fail(number, *call, reason_of(failure));
      co_return;
    }
    Headers headers;
    for (const auto& field : parser.get()) {
      headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    if (call->events.header) {
      call->events.header(parser.get().result_int(), headers);
    }
    std::string piece(kPieceBytes, '\0');
    while (!parser.is_done() && !call->cancelled) {
      parser.get().body().data = piece.data();
      parser.get().body().size = piece.size();
      call->stream->expires_after(call->options.idle_timeout);
      auto [read_failure, count] = co_await http::async_read_some(*call->stream, buffer, parser, kAwait);
      if ((read_failure && read_failure != http::error::need_buffer) || call->cancelled) {
        fail(number, *call, reason_of(read_failure));
        co_return;
      }
      const std::size_t length = piece.size() - parser.get().body().size;
      if (length > 0 && call->events.body) {
        call->events.body(std::string_view(piece.data(), length));
      }
      while (call->paused && !call->cancelled) {
        call->stream->expires_never();
        call->wakeup.expires_at(asio::steady_timer::time_point::max());
        co_await call->wakeup.async_wait(kAwait);
      }
    }
    calls.erase(number);
    if (call->cancelled) {
      co_return;
    }
    if (parser.get().keep_alive()) {
      give_back(*call);
    }
    if (call->events.done) {
      call->events.done();
    }
  }

  asio::io_context& context;
  std::string local_ip;
  std::unordered_map<std::string, std::vector<std::unique_ptr<beast::tcp_stream>>> pool;
  std::unordered_map<CallNumber, std::shared_ptr<Call>> calls;
  CallNumber next = 0;
};

HttpClient::HttpClient(asio::io_context& context, std::string local_ip)
    : implementation_(std::make_shared<Implementation>(context, std::move(local_ip))) {}
HttpClient::~HttpClient() = default;

HttpClient::CallNumber HttpClient::start(const std::string& endpoint, HttpRequest request, ClientCallEvents events,
                                         ClientCallOptions options) {
  auto call = std::make_shared<Call>(implementation_->context);
  call->endpoint = endpoint;
  call->events = std::move(events);
  call->options = options;
  call->request.version(11);
  call->request.method_string(request.method);
  call->request.target(request.target);
  call->request.set(http::field::host, endpoint);
  for (const Header& header : request.headers) {
    call->request.set(header.name, header.value);
  }
  call->request.body() = std::move(request.body);
  call->request.prepare_payload();
  const CallNumber number = ++implementation_->next;
  implementation_->calls.emplace(number, call);
  asio::co_spawn(
      implementation_->context,
      [implementation = implementation_, number, call]() -> asio::awaitable<void> {
        co_await implementation->run(number, call);
      },
      asio::detached);
  return number;
}

HttpClient::CallNumber HttpClient::fetch(const std::string& endpoint, HttpRequest request, SimpleDone done,
                                         ClientCallOptions options) {
  auto response = std::make_shared<SimpleResponse>();
  ClientCallEvents events;
  events.header = [response](unsigned status, const Headers& headers) {
    response->status = status;
    response->headers = headers;
  };
  events.body = [response](std::string_view piece) { response->body.append(piece); };
  events.done = [response, done] { done(std::move(*response)); };
  events.failed = [done](CallBreak reason) { done(reason); };
  return start(endpoint, std::move(request), std::move(events), options);
}

void HttpClient::cancel(CallNumber number) {
  const auto entry = implementation_->calls.find(number);
  if (entry == implementation_->calls.end()) {
    return;
  }
  const std::shared_ptr<Call> call = entry->second;
  implementation_->calls.erase(entry);
  call->cancelled = true;
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
