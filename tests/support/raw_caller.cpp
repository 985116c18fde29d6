#include "support/raw_caller.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace madderdeck::tests {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

using parser = http::response_parser<http::buffer_body>;

void take_head(const parser& read, caller_answer& answer) {
  answer.status = read.get().result_int();
  for (const auto& field : read.get()) {
    answer.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  const bool until_close = !read.chunked() && read.need_eof();
  answer.framing = read.chunked() ? net::body_framing::chunks
                                  : (until_close ? net::body_framing::until_close : net::body_framing::length);
}

asio::awaitable<void> read_body(tcp::socket& socket, beast::flat_buffer& buffer, parser& read, caller_answer& answer) {
  std::string piece(4096, '\0');
  while (!read.is_done()) {
    read.get().body().data = piece.data();
    read.get().body().size = piece.size();
    auto [failure, bytes] = co_await http::async_read_some(socket, buffer, read, kAwait);
    answer.body.append(piece.data(), piece.size() - read.get().body().size);
    if (failure && failure != http::error::need_buffer) {
      answer.malformed = failure != http::error::partial_message && failure != asio::error::connection_reset;
      co_return;
    }
  }
  answer.looks_complete = true;
  answer.malformed = buffer.size() > 0;
}

asio::awaitable<void> converse(tcp::endpoint endpoint, std::string bytes, std::shared_ptr<caller_answer> answer) {
  tcp::socket socket(co_await asio::this_coro::executor);
  auto [unconnected] = co_await socket.async_connect(endpoint, kAwait);
  if (!unconnected) {
    co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
    beast::flat_buffer buffer;
    parser read;
    read.body_limit(boost::none);
    auto [failure, count] = co_await http::async_read_header(socket, buffer, read, kAwait);
    if (!failure) {
      take_head(read, *answer);
      co_await read_body(socket, buffer, read, *answer);
    }
  }
  answer->ended = true;
}

}  // namespace

std::shared_ptr<const caller_answer> call_raw(asio::io_context& context, const std::string& endpoint,
                                              std::string bytes) {
  auto answer = std::make_shared<caller_answer>();
  net::Endpoint parsed;
  net::parse_endpoint(endpoint, parsed);
  asio::co_spawn(context, converse({asio::ip::make_address(parsed.ip), parsed.port}, std::move(bytes), answer),
                 asio::detached);
  return answer;
}

}  // namespace madderdeck::tests
