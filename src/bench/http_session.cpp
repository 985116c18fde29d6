#include "bench/http_session.hpp"

#include <boost/asio/steady_timer.hpp>

namespace madderdeck::bench {

bool HttpSession::run_until(const std::function<bool()>& condition, std::chrono::milliseconds limit) {
  constexpr std::chrono::milliseconds kSlice{5};
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    run_for(kSlice);
  }
  return true;
}

std::optional<net::SimpleResponse> HttpSession::call(const std::string& endpoint, const std::string& method,
                                                     const std::string& target, const std::string& body,
                                                     const net::Headers& headers, std::chrono::milliseconds limit) {
  auto done = std::make_shared<bool>(false);
  auto answer = std::make_shared<std::optional<net::SimpleResponse>>();
  net::ClientCallOptions options;
  options.idle_timeout = limit;
  client.fetch(
      endpoint, net::HttpRequest{method, target, headers, body},
      [done, answer](std::variant<net::SimpleResponse, net::CallBreak> result) {
        *done = true;
        if (auto* response = std::get_if<net::SimpleResponse>(&result)) {
          *answer = std::move(*response);
        }
      },
      options);
  run_until([done] { return *done; }, limit);
  return *answer;
}

void HttpSession::after(std::chrono::microseconds delay, std::function<void()> task) {
  auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
  timer->async_wait([timer, task = std::move(task)](boost::system::error_code failure) {
    if (!failure) {
      task();
    }
  });
}

}  // namespace madderdeck::bench
