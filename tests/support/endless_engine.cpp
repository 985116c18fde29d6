#include "support/endless_engine.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace madderdeck::tests {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
constexpr std::size_t kBlockBytes = 64 * 1024;
constexpr std::chrono::milliseconds kSlowPause{20};

std::string repeated(const endless_answer& answer) {
  std::string block = answer.unit;
  while (!answer.slow && block.size() < kBlockBytes) {
    block += answer.unit;
  }
  return block;
}

}  // namespace

struct endless_engine::connection {
  explicit connection(tcp::socket accepted) : socket(std::move(accepted)), timer(socket.get_executor()) {}
  tcp::socket socket;
  asio::steady_timer timer;
  std::string unread;
  std::size_t next = 0;  ///< Position in the block, where bytes come one by one.
};

endless_engine::endless_engine(asio::io_context& context, const std::string& ip, unsigned short port,
                               endless_answer answer)
    : context_(context),
      acceptor_(context, tcp::endpoint(asio::ip::make_address(ip), port)),
      answer_(std::move(answer)),
      block_(repeated(answer_)) {
  accept();
}

void endless_engine::accept() {
  acceptor_.async_accept([this](error_code failure, tcp::socket socket) {
    if (!failure) {
      ++connections_;
      read_request(std::make_shared<connection>(std::move(socket)));
      accept();
    }
  });
}

void endless_engine::read_request(const connection_pointer& peer) {
  asio::async_read_until(peer->socket, asio::dynamic_buffer(peer->unread), "\r\n\r\n",
                         [this, peer](error_code failure, std::size_t) {
                           if (failure) {
                             return;
                           }
                           asio::async_write(peer->socket, asio::buffer(answer_.start),
                                             [this, peer](error_code, std::size_t) { write(peer); });
                         });
}

void endless_engine::write(const connection_pointer& peer) {
  const auto bytes = answer_.slow ? asio::buffer(block_.data() + peer->next++ % block_.size(), 1)
                                  : asio::buffer(block_.data(), block_.size());
  asio::async_write(peer->socket, bytes, [this, peer](error_code failure, std::size_t count) {
    sent_ += count;
    if (failure) {
      ++closed_;
    } else if (answer_.slow) {
      write_later(peer);
    } else {
      write(peer);
    }
  });
}

void endless_engine::write_later(const connection_pointer& peer) {
  peer->timer.expires_after(kSlowPause);
  peer->timer.async_wait([this, peer](error_code) { write(peer); });
}

}  // namespace madderdeck::tests
