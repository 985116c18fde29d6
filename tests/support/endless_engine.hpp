#pragma once
/// @file An engine that answers every request with bytes that have no end.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace madderdeck::tests {

/// What comes after a request, until the peer closes its connection.
struct endless_answer {
  std::string start;  ///< Sent once.
  std::string unit;   ///< Sent again and again.
  bool slow = false;  ///< A byte of it every 20 ms; otherwise as fast as the peer reads.
};

/// Serves one address. Single threaded.
class endless_engine {
 public:
  endless_engine(boost::asio::io_context& context, const std::string& ip, unsigned short port, endless_answer answer);

  /// @return bytes written over all connections.
  std::size_t sent() const { return sent_; }
  std::size_t connections() const { return connections_; }
  /// @return connections that the peer has closed.
  std::size_t closed() const { return closed_; }

 private:
  struct connection;
  using connection_pointer = std::shared_ptr<connection>;

  void accept();
  void read_request(const connection_pointer& peer);
  void write(const connection_pointer& peer);
  void write_later(const connection_pointer& peer);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const endless_answer answer_;
  const std::string block_;  ///< The unit, repeated.
  std::size_t sent_ = 0;
  std::size_t connections_ = 0;
  std::size_t closed_ = 0;
};

}  // namespace madderdeck::tests
