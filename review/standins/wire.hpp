#pragma once
// HTTP/1.1 over blocking sockets, for the stand-ins of the review. One thread for each connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <thread>

namespace trial {

using Clock = std::chrono::steady_clock;

inline std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

inline sockaddr_in address_of(const std::string& address) {
  sockaddr_in result{};
  const auto colon = address.rfind(':');
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

/// A connection with a buffer of what has been read ahead.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { close(); }

  static int dial(const std::string& address, int timeout_ms) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in remote = address_of(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0 && errno != EINPROGRESS) {
      ::close(fd);
      return -1;
    }
    pollfd waiting{fd, POLLOUT, 0};
    int failure = 0;
    socklen_t size = sizeof failure;
    if (::poll(&waiting, 1, timeout_ms) != 1 || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 ||
        failure != 0) {
      ::close(fd);
      return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
  }

  void close() {
    if (fd_ >= 0) {
      ::close(fd_);
      fd_ = -1;
    }
  }
  bool send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
        continue;
      }
      pollfd waiting{fd_, POLLOUT, 0};
      if (errno != EAGAIN || ::poll(&waiting, 1, 5000) != 1) {
        return false;
      }
    }
    return true;
  }
  /// @return 1: more bytes; 0: closed in order; -1: reset; -2: nothing until @p until.
  int fill(Clock::time_point until) {
    while (true) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
      pollfd waiting{fd_, POLLIN, 0};
      const int ready = left <= 0 ? 0 : ::poll(&waiting, 1, static_cast<int>(left));
      if (ready == 0) {
        return -2;
      }
      char piece[16384];
      const auto count = ::recv(fd_, piece, sizeof piece, MSG_DONTWAIT);
      if (count > 0) {
        ahead_.append(piece, static_cast<std::size_t>(count));
        return 1;
      }
      if (count == 0) {
        return 0;
      }
      if (errno != EAGAIN && errno != EINTR) {
        return -1;
      }
    }
  }
  /// @return whether the peer has closed the connection.
  bool peer_gone() const {
    char byte = 0;
    const auto count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
  }
  std::string& ahead() { return ahead_; }

 private:
  int fd_;
  std::string ahead_;
};

struct Message {
  std::string first;  ///< The request line or the status line.
  std::multimap<std::string, std::string> headers;  ///< Names in lower case.
  std::string head;                                 ///< As read.
  std::string body;
  unsigned status = 0;
  std::string method, target;
  bool whole = false;  ///< It ended as its framing says (or in order, where it has none).
  std::string end = "none";

  std::string header(const std::string& name) const {
    const auto found = headers.find(lower(name));
    return found == headers.end() ? "" : found->second;
  }
};

/// Reads the head of a message. @return false where there is none.
inline bool read_head(Connection& connection, Message& message, Clock::time_point until) {
  std::string& ahead = connection.ahead();
  std::size_t end = 0;
  while ((end = ahead.find("\r\n\r\n")) == std::string::npos) {
    const int read = connection.fill(until);
    if (read <= 0) {
      message.end = read == 0 ? "closed before the head" : (read == -1 ? "reset before the head" : "no answer");
      return false;
    }
  }
  message.head = ahead.substr(0, end + 4);
  ahead.erase(0, end + 4);
  std::size_t at = message.head.find("\r\n");
  message.first = message.head.substr(0, at);
  while (at + 2 < message.head.size()) {
    const std::size_t next = message.head.find("\r\n", at + 2);
    const std::string line = message.head.substr(at + 2, next - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
      message.headers.emplace(lower(line.substr(0, colon)), value);
    }
    at = next;
  }
  if (message.first.starts_with("HTTP/")) {
    message.status = static_cast<unsigned>(std::atoi(message.first.c_str() + 9));
  } else {
    const std::size_t space = message.first.find(' ');
    message.method = message.first.substr(0, space);
    message.target = message.first.substr(space + 1, message.first.rfind(' ') - space - 1);
  }
  return true;
}

/// Reads a body in whatever framing; @p response: one without framing lasts until the connection ends.
inline void read_body(Connection& connection, Message& message, bool response, Clock::time_point until,
                      const std::function<void(const std::string&)>& on_piece = nullptr) {
  std::string& ahead = connection.ahead();
  const auto take = [&](std::size_t count) {
    if (on_piece) {
      on_piece(ahead.substr(0, count));
    }
    message.body += ahead.substr(0, count);
    ahead.erase(0, count);
  };
  const auto more = [&] {
    const int read = connection.fill(until);
    message.end = read == 0 ? "closed" : (read == -1 ? "reset" : (read == -2 ? "silent" : message.end));
    return read > 0;
  };
  if (lower(message.header("transfer-encoding")).find("chunked") != std::string::npos) {
    while (true) {
      std::size_t line = 0;
      while ((line = ahead.find("\r\n")) == std::string::npos) {
        if (!more()) {
          return;
        }
      }
      const std::size_t size = std::strtoul(ahead.c_str(), nullptr, 16);
      while (ahead.size() < line + 2 + size + 2) {
        if (!more()) {
          return;
        }
      }
      ahead.erase(0, line + 2);
      take(size);
      ahead.erase(0, 2);
      if (size == 0) {
        message.whole = true;
        message.end = "whole";
        return;
      }
    }
  }
  if (!message.header("content-length").empty() || !response) {
    const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    while (message.body.size() < length) {
      if (ahead.empty() && !more()) {
        return;
      }
      take(std::min(ahead.size(), length - message.body.size()));
    }
    message.whole = true;
    message.end = "whole";
    return;
  }
  while (true) {
    take(ahead.size());
    if (!more()) {
      message.whole = message.end == "closed";
      return;
    }
  }
}

/// One call on a new connection.
inline Message call(const std::string& address, const std::string& method, const std::string& target,
                    const std::multimap<std::string, std::string>& headers, const std::string& body, int timeout_ms,
                    const std::function<void(const std::string&)>& on_piece = nullptr) {
  Message answer;
  const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
  const int fd = Connection::dial(address, std::min(timeout_ms, 1000));
  if (fd < 0) {
    answer.end = "no connection";
    return answer;
  }
  Connection connection(fd);
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!connection.send(text)) {
    answer.end = "reset while sending";
    return answer;
  }
  if (read_head(connection, answer, until)) {
    read_body(connection, answer, true, until, on_piece);
  }
  return answer;
}

inline std::string response_text(unsigned status, const std::string& body,
                                 const std::string& type = "application/json", const std::string& more = "") {
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: " + type + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves each connection on a thread of its own until the process ends. @return false where it can't listen.
inline bool serve(const std::string& address, const std::function<bool(Connection&, Message&)>& handle) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in local = address_of(address);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 || ::listen(fd, 512) != 0) {
    return false;
  }
  std::thread([fd, handle, on] {
    while (true) {
      const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([accepted, handle] {
        Connection connection(accepted);
        while (true) {
          Message request;
          if (!read_head(connection, request, Clock::now() + std::chrono::seconds(60))) {
            return;
          }
          read_body(connection, request, false, Clock::now() + std::chrono::seconds(60));
          if (!request.whole || !handle(connection, request)) {
            return;
          }
        }
      }).detach();
    }
  }).detach();
  return true;
}

}  // namespace trial
