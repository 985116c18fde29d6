#include "support/raw_engine.hpp"

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <optional>

namespace madderdeck::tests {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
constexpr char kHeadEnd[] = "\r\n\r\n";
/// So that the peer has read the bytes before they are taken back by the reset.
constexpr std::chrono::milliseconds kBeforeReset{2};
constexpr std::chrono::milliseconds kEndsWithin{15};
/// Bytes of a segment, as on an Ethernet. With those of the loopback the sender's kernel takes in megabytes, so that no
/// write waits beside a response.
constexpr int kSegmentBytes = 1'400;

std::size_t stated_length(const std::string& head) {
  constexpr char kLength[] = "\r\nContent-Length: ";
  const std::size_t start = head.find(kLength);
  return start == std::string::npos ? 0 : std::stoul(head.substr(start + sizeof kLength - 1));
}

}  // namespace

struct raw_engine::connection {
  explicit connection(tcp::socket accepted) : socket(std::move(accepted)), timer(socket.get_executor()) {}
  tcp::socket socket;
  asio::steady_timer timer;
  std::string unread;
  std::optional<raw_answer> answer;  ///< To the request whose head has been read.
};

raw_engine::raw_engine(asio::io_context& context, const std::string& ip, unsigned short port, answers answer)
    : context_(context),
      acceptor_(context, tcp::endpoint(asio::ip::make_address(ip), port)),
      answer_(std::move(answer)) {
  ::setsockopt(acceptor_.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof kSegmentBytes);
  accept();
}

void raw_engine::accept() {
  acceptor_.async_accept([this](error_code failure, tcp::socket socket) {
    if (!failure) {
      ++connections_;
      socket.set_option(tcp::no_delay(true));
      if (full_) {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
        accept();
        return;
      }
      read_request(std::make_shared<connection>(std::move(socket)));
      accept();
    }
  });
}

void raw_engine::read_request(const connection_pointer& peer) {
  const std::size_t head_end = peer->unread.find(kHeadEnd);
  if (head_end != std::string::npos) {
    const std::string head = peer->unread.substr(0, head_end + sizeof kHeadEnd - 1);
    const std::size_t whole = head.size() + stated_length(head);
    if (!peer->answer) {
      peer->answer = answer_(head);
    }
    if (peer->answer->before_body || peer->unread.size() >= whole) {
      peer->unread.erase(0, whole);
      answer_request(peer);
      return;
    }
  }
  auto room = std::make_shared<std::array<char, 4096>>();
  peer->socket.async_read_some(asio::buffer(*room), [this, peer, room](error_code failure, std::size_t bytes) {
    if (failure) {
      ++closed_by_peer_;
      return;
    }
    peer->unread.append(room->data(), bytes);
    read_request(peer);
  });
}

void raw_engine::answer_request(const connection_pointer& peer) {
  const auto answer = std::make_shared<raw_answer>(std::move(*peer->answer));
  peer->answer.reset();
  asio::async_write(peer->socket, asio::buffer(answer->bytes), [this, peer, answer](error_code failure, std::size_t) {
    if (failure) {
      return;
    }
    if (answer->before_body) {
      end_unread(peer, *answer);
    } else {
      end(peer, answer->ending);
    }
  });
}

void raw_engine::end_unread(const connection_pointer& peer, const raw_answer& answer) {
  peer->timer.expires_after(answer.ends_after);
  peer->timer.async_wait([peer, ending = answer.ending](error_code) {
    if (ending == connection_ending::reset) {
      reset(peer);
      return;
    }
    error_code ignored;
    peer->socket.shutdown(tcp::socket::shutdown_send, ignored);
    if (ending == connection_ending::closed_then_reset) {
      peer->timer.expires_after(kBeforeReset);
      peer->timer.async_wait([peer](error_code) { reset(peer); });
      return;
    }
    peer->socket.async_wait(tcp::socket::wait_error, [peer](error_code) {});
  });
}

void raw_engine::reset(const connection_pointer& peer) {
  error_code ignored;
  peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  peer->socket.close(ignored);
}

void raw_engine::stop_listening_later() {
  auto timer = std::make_shared<asio::steady_timer>(context_, kEndsWithin);
  timer->async_wait([this, timer](error_code) {
    error_code ignored;
    acceptor_.close(ignored);
  });
}

void raw_engine::end(const connection_pointer& peer, connection_ending ending) {
  error_code ignored;
  switch (ending) {
    case connection_ending::kept:
      read_request(peer);
      return;
    case connection_ending::ending:
      stop_listening_later();
      [[fallthrough]];
    case connection_ending::full:
      full_ = true;
      peer->socket.shutdown(tcp::socket::shutdown_send, ignored);
      read_request(peer);
      return;
    case connection_ending::gone:
      acceptor_.close(ignored);
      [[fallthrough]];
    case connection_ending::closed:
    case connection_ending::closed_then_reset:
      peer->socket.shutdown(tcp::socket::shutdown_send, ignored);
      read_request(peer);  // until the peer closes, too
      return;
    case connection_ending::reset:
      peer->timer.expires_after(kBeforeReset);
      peer->timer.async_wait([peer](error_code) { reset(peer); });
      return;
    case connection_ending::silent:
      peer->socket.async_wait(tcp::socket::wait_error, [peer](error_code) {});
      return;
  }
}

}  // namespace madderdeck::tests
