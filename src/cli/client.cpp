#include "cli/client.hpp"

#include <array>
#include <boost/json.hpp>

namespace madderdeck::cli {
namespace {

namespace json = boost::json;
constexpr unsigned kFirstFailure = 300;
constexpr std::chrono::milliseconds kAnswerTimeout{60'000};

ErrorKind kind_of(const std::string& title) {
  constexpr int kKinds = static_cast<int>(ErrorKind::corrupted) + 1;
  for (int number = 0; number < kKinds; ++number) {
    if (error_kind_name(static_cast<ErrorKind>(number)) == title) {
      return static_cast<ErrorKind>(number);
    }
  }
  return ErrorKind::unavailable;
}

Error error_from(const net::SimpleResponse& response) {
  boost::system::error_code failure;
  const json::value problem = json::parse(response.body, failure);
  const json::object* fields = failure ? nullptr : problem.if_object();
  if (fields == nullptr || !fields->contains("title")) {
    return Error{ErrorKind::unavailable, "status " + std::to_string(response.status)};
  }
  Error error{kind_of(std::string(fields->at("title").as_string())), std::string(fields->at("detail").as_string())};
  if (const json::value* wait = fields->if_contains("retry_after_ms")) {
    error.detail += " (retry in " + std::to_string(wait->to_number<std::int64_t>()) + " ms)";
  }
  return error;
}

}  // namespace

Result<net::SimpleResponse> FleetClient::call_node(const std::string& node, const std::string& method,
                                                   const std::string& target, const std::string& body,
                                                   const net::Headers& headers) {
  net::HttpRequest request{method, target, headers, body};
  if (!key_.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + key_});
  }
  std::optional<std::variant<net::SimpleResponse, net::CallBreak>> outcome;
  net::ClientCallOptions options;
  options.idle_timeout = kAnswerTimeout;
  client_.fetch(
      node, std::move(request),
      [&outcome](std::variant<net::SimpleResponse, net::CallBreak> result) { outcome = std::move(result); }, options);
  while (!outcome) {
    context_.restart();
    context_.run_one();
  }
  if (const auto* reason = std::get_if<net::CallBreak>(&*outcome)) {
    const bool not_sent = *reason == net::CallBreak::connect_failed;
    return Error{not_sent ? ErrorKind::unavailable : ErrorKind::ambiguous, "no answer from " + node};
  }
  auto& response = std::get<net::SimpleResponse>(*outcome);
  if (response.status >= kFirstFailure) {
    return error_from(response);
  }
  return std::move(response);
}

Result<net::SimpleResponse> FleetClient::call(const std::string& method, const std::string& target,
                                              const std::string& body, const net::Headers& headers) {
  Result<net::SimpleResponse> last = Error{ErrorKind::unavailable, "no nodes given"};
  for (const std::string& node : nodes_) {
    last = call_node(node, method, target, body, headers);
    const bool unreached = !succeeded(last) && error_of(last).kind == ErrorKind::unavailable &&
                           error_of(last).detail.starts_with("no answer");
    if (!unreached) {
      return last;
    }
  }
  return last;
}

}  // namespace madderdeck::cli
