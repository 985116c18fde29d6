#pragma once
/// @file The bench's own event loop and HTTP client, with calls that wait.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "net/http_client.hpp"

namespace madderdeck::bench {

/// Single threaded. Everything asynchronous in the bench runs inside run_for and run_until.
class HttpSession {
 public:
  HttpSession() : client(context, "") {}

  /// Runs the loop for @p length.
  void run_for(std::chrono::milliseconds length) {
    context.restart();
    context.run_for(length);
  }
  /// Runs the loop until @p condition holds or @p limit has passed.
  /// @return whether the condition holds.
  bool run_until(const std::function<bool()>& condition, std::chrono::milliseconds limit);
  /// As run_until, looking after every event; for timing single calls.
  void run_until_quick(const std::function<bool()>& condition) {
    context.restart();
    while (!condition()) {
      context.run_one();
    }
  }
  /// @return the response; nothing when there was none.
  std::optional<net::SimpleResponse> call(const std::string& endpoint, const std::string& method,
                                          const std::string& target, const std::string& body = "",
                                          const net::Headers& headers = {},
                                          std::chrono::milliseconds limit = std::chrono::milliseconds(10'000));
  /// Runs @p task after @p delay.
  void after(std::chrono::microseconds delay, std::function<void()> task);

  boost::asio::io_context context{1};
  net::HttpClient client;

 private:
  /// So that run_for lasts its time although nothing is under way.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{context.get_executor()};
};

}  // namespace madderdeck::bench
