#pragma once
/// @file A back end that answers with exactly the bytes that a test says, and ends its connection as the test says.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace madderdeck::tests {

/// What becomes of a connection after the bytes of an answer.
enum class connection_ending {
  kept,    ///< The next request may come.
  closed,  ///< In order (FIN), as the kernel does for a process that has ended.
  reset,   ///< RST.
  silent,  ///< Open, and nothing more comes.
  full,    ///< Closed in order, and each new connection is reset: the process lives and has too many.
  ending,  ///< As full, and 15 ms later nobody listens any more: the kernel takes its time over a process that ends.
  gone,    ///< Closed in order, and nobody listens at the address any more: the process has ended.
  closed_then_reset,  ///< With before_body: closed in order, and reset 2 ms later, as by a close with bytes unread.
};

/// One answer of a raw_engine.
struct raw_answer {
  std::string bytes;
  connection_ending ending = connection_ending::kept;
  bool before_body = false;                 ///< Sent once the head is read; the body of the request is left unread.
  std::chrono::milliseconds ends_after{0};  ///< With before_body: from the answer to the end of its connection.
};

/// Answers each request by a function of its head, which is called once it is read. Single threaded.
class raw_engine {
 public:
  using answers = std::function<raw_answer(const std::string& request_head)>;

  raw_engine(boost::asio::io_context& context, const std::string& ip, unsigned short port, answers answer);
  /// @return how many connections the peer has made.
  std::size_t connections() const { return connections_; }
  /// @return how many connections the peer closed while this engine waited for its next request.
  std::size_t closed_by_peer() const { return closed_by_peer_; }

 private:
  struct connection;
  using connection_pointer = std::shared_ptr<connection>;

  void accept();
  void read_request(const connection_pointer& peer);
  void answer_request(const connection_pointer& peer);
  void end_unread(const connection_pointer& peer, const raw_answer& answer);
  static void reset(const connection_pointer& peer);
  void stop_listening_later();
  void end(const connection_pointer& peer, connection_ending ending);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  answers answer_;
  bool full_ = false;
  std::size_t connections_ = 0;
  std::size_t closed_by_peer_ = 0;
};

}  // namespace madderdeck::tests
