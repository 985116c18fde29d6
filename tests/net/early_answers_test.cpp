/// Answers that come before the request has been sent, heads that are none, and what their readers take from them.
#include <catch2/catch.hpp>
#include <optional>

#include "bench/http_session.hpp"
#include "support/raw_engine.hpp"

using namespace madderdeck;
using madderdeck::tests::connection_ending;
using madderdeck::tests::raw_answer;
using madderdeck::tests::raw_engine;
using std::chrono::milliseconds;

namespace {

constexpr char kIp[] = "127.91.6.1";
constexpr unsigned short kPort = 9350;
constexpr char kEndpoint[] = "127.91.6.1:9350";
constexpr milliseconds kTestTimeout{5'000};
const std::string kPart(700, 'p');
const std::string kOk = "HTTP/1.1 200 OK\r\n";

using fetched = std::variant<net::SimpleResponse, net::CallBreak>;

/// @return how a fetch with a body of @p body_bytes ended; nothing if it did not.
std::optional<fetched> fetch(bench::HttpSession& session, std::size_t body_bytes) {
  std::optional<fetched> result;
  net::ClientCallOptions options;
  options.may_end_with_connection = true;
  options.liveness_request = net::HttpRequest{"GET", "/alive", {}, ""};
  options.total_timeout = milliseconds(3'000);
  session.client.fetch(
      kEndpoint, {"POST", "/", {}, std::string(body_bytes, 'b')},
      [&result](fetched outcome) { result = std::move(outcome); }, options);
  session.run_until([&result] { return result.has_value(); }, kTestTimeout);
  return result;
}

/// A peer that lives, gives each request with a body @p answer, and others a whole one.
class early_peer {
 public:
  early_peer(bench::HttpSession& session, raw_answer answer)
      : engine_(session.context, kIp, kPort, [this, answer = std::move(answer)](const std::string& head) -> raw_answer {
          const bool scripted = head.starts_with("POST") && requests_++ >= whole_before;
          return scripted ? answer : raw_answer{kOk + "Content-Length: 2\r\n\r\nok", connection_ending::kept};
        }) {}

  std::size_t whole_before = 0;  ///< Requests that are answered whole before.

 private:
  std::size_t requests_ = 0;
  raw_engine engine_;
};

/// @return the response to a request that is answered with @p bytes in order; nothing if there is none.
std::optional<net::SimpleResponse> response_to(const std::string& bytes, milliseconds* took = nullptr) {
  bench::HttpSession session;
  early_peer peer(session, {bytes, connection_ending::closed});
  const auto began = std::chrono::steady_clock::now();
  const std::optional<fetched> result = fetch(session, 1);
  if (took != nullptr) {
    *took = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - began);
  }
  REQUIRE(result);
  const auto* response = std::get_if<net::SimpleResponse>(&*result);
  return response == nullptr ? std::nullopt : std::optional(*response);
}

std::string three_digits(unsigned status) {
  std::string text = std::to_string(status);
  return std::string(3 - text.size(), '0') + text;
}

}  // namespace

// Guards against a part of an answer that is taken for a whole one, since the write of the request met the reset.
TEST_CASE("an answer without a length that is reset before its request was read is not whole") {
  for (const std::size_t body_bytes : {1UL, 1'000UL, 16'384UL, 16'385UL, 200'000UL, 3'800'000UL, 4'194'304UL}) {
    for (const int ends_after_ms : {0, 20, 300}) {
      for (const std::size_t whole_before : {0UL, 1UL}) {
        INFO(body_bytes << " bytes, reset after " << ends_after_ms << " ms, " << whole_before << " requests before");
        bench::HttpSession session;
        early_peer peer(session, {kOk + "\r\n" + kPart, connection_ending::reset, true, milliseconds(ends_after_ms)});
        peer.whole_before = whole_before;
        for (std::size_t earlier = 0; earlier < whole_before; ++earlier) {
          REQUIRE(std::holds_alternative<net::SimpleResponse>(*fetch(session, 1)));
        }
        const std::optional<fetched> result = fetch(session, body_bytes);
        REQUIRE(result);
        CHECK(std::holds_alternative<net::CallBreak>(*result));
      }
    }
  }
}

TEST_CASE("an answer without a length that is closed in order while its request is being sent is not whole") {
  for (const std::size_t body_bytes : {3'800'000UL, 4'194'304UL}) {
    for (const int ends_after_ms : {0, 20, 300}) {
      INFO(body_bytes << " bytes, closed after " << ends_after_ms << " ms");
      bench::HttpSession session;
      early_peer peer(session, {kOk + "\r\n" + kPart, connection_ending::closed, true, milliseconds(ends_after_ms)});
      const std::optional<fetched> result = fetch(session, body_bytes);
      REQUIRE(result);
      CHECK(std::holds_alternative<net::CallBreak>(*result));
    }
  }
}

// Guards against a part of a failure that is taken for a whole one, since the write of the request met the reset.
TEST_CASE("a failure without a length that is reset before its request was read is not whole") {
  for (const std::string head : {"HTTP/1.1 413 Large\r\n", "HTTP/1.1 500 Failed\r\n"}) {
    for (const std::size_t body_bytes : {1UL, 1'000UL, 16'384UL, 16'385UL, 200'000UL, 3'800'000UL, 4'194'304UL}) {
      for (const int ends_after_ms : {0, 20, 300}) {
        for (const std::size_t whole_before : {0UL, 1UL}) {
          INFO(head << body_bytes << " bytes, reset after " << ends_after_ms << " ms, " << whole_before
                    << " requests before");
          bench::HttpSession session;
          early_peer peer(session,
                          {head + "\r\n" + kPart, connection_ending::reset, true, milliseconds(ends_after_ms)});
          peer.whole_before = whole_before;
          for (std::size_t earlier = 0; earlier < whole_before; ++earlier) {
            REQUIRE(std::holds_alternative<net::SimpleResponse>(*fetch(session, 1)));
          }
          const std::optional<fetched> result = fetch(session, body_bytes);
          REQUIRE(result);
          CHECK(std::holds_alternative<net::CallBreak>(*result));
        }
      }
    }
  }
}

// A peer that closes in order and leaves the request unread resets the connection with the next bytes that arrive.
TEST_CASE("a connection that is reset after it was closed in order leaves a failure whole, and no success") {
  for (const std::size_t body_bytes : {1UL, 16'385UL, 200'000UL, 3'800'000UL, 4'194'304UL}) {
    for (const int ends_after_ms : {0, 20, 300}) {
      INFO(body_bytes << " bytes, closed after " << ends_after_ms << " ms");
      for (const std::string head : {"HTTP/1.1 413 Large\r\n", "HTTP/1.1 500 Failed\r\n"}) {
        bench::HttpSession session;
        early_peer peer(
            session, {head + "\r\n" + kPart, connection_ending::closed_then_reset, true, milliseconds(ends_after_ms)});
        const std::optional<fetched> result = fetch(session, body_bytes);
        REQUIRE(result);
        REQUIRE(std::holds_alternative<net::SimpleResponse>(*result));
        CHECK(std::get<net::SimpleResponse>(*result).body == kPart);
      }
    }
  }
  bench::HttpSession session;
  early_peer peer(session, {kOk + "\r\n" + kPart, connection_ending::closed_then_reset, true, milliseconds(20)});
  const std::optional<fetched> result = fetch(session, 3'800'000UL);
  REQUIRE(result);
  CHECK(std::holds_alternative<net::CallBreak>(*result));
}

// Guards against early answers that are lost: refusals, and sound ones that state their length.
TEST_CASE("an early refusal, and an early answer that states its length, are read whole") {
  const std::string text = "too much";
  for (const std::string head :
       {"HTTP/1.1 413 Large\r\nContent-Length: 8\r\n", "HTTP/1.1 429 Busy\r\nContent-Length: 8\r\n",
        "HTTP/1.1 503 Full\r\nContent-Length: 8\r\n", "HTTP/1.1 413 Large\r\n", "HTTP/1.1 503 Full\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n"}) {
    for (const std::size_t body_bytes : {1'000UL, 3'800'000UL}) {
      for (const int ends_after_ms : {20, 300}) {
        INFO(head << body_bytes << " bytes, closed after " << ends_after_ms << " ms");
        bench::HttpSession session;
        early_peer peer(session, {head + "\r\n" + text, connection_ending::closed, true, milliseconds(ends_after_ms)});
        const std::optional<fetched> result = fetch(session, body_bytes);
        REQUIRE(result);
        REQUIRE(std::holds_alternative<net::SimpleResponse>(*result));
        CHECK(std::get<net::SimpleResponse>(*result).body == text);
      }
    }
  }
}

// Guards against a status that is none: waited out, or passed on to callers.
TEST_CASE("a status below 100 or above 599 is a malformed answer at once") {
  for (const std::string& before : {std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n")}) {
    for (const std::string& length : {std::string("Content-Length: 2\r\n"), std::string()}) {
      for (unsigned status = 0; status < 1'000; status += status < 110 || status > 580 ? 7 : 50) {
        INFO(before << status << " " << length);
        milliseconds took{};
        const auto response =
            response_to(before + "HTTP/1.1 " + three_digits(status) + " Some\r\n" + length + "\r\nok", &took);
        const bool final = status >= 200 && status <= 599;
        CHECK(response.has_value() == final);
        CHECK(took < milliseconds(1'000));
      }
    }
  }
}

// Guards against heads whose fields cannot be told apart, passed on or with a body that is not the peer's.
TEST_CASE("a field whose name holds a blank or a control byte makes an answer malformed") {
  const std::vector<std::string> lines = {
      "X Line: a\r\n",    "X\tLine: a\r\n",           "X\x01Line: a\r\n", std::string("X\0Line: a\r\n", 11),
      ": a\r\n",          "X-Line : a\r\n",           "X\x7fLine: a\r\n", "X(Line: a\r\n",
      "no colon\r\n",     "Content-Length : 100\r\n",

      "X\x0bLine: a\r\n", "Content Length: 0\r\n"};
  for (const std::string& line : lines) {
    for (const std::string& before :
         {std::string(), std::string("X-Folded: a\r\n b\r\n"), std::string("X-First: a\r\n")}) {
      INFO(before << line);
      CHECK_FALSE(response_to(kOk + before + line + "Content-Length: 2\r\n\r\nok"));
      CHECK_FALSE(response_to(kOk + "Content-Length: 2\r\n" + before + line + "\r\nok"));
      CHECK_FALSE(response_to(kOk + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + before + line + "\r\n"));
    }
  }
}

// A line that begins with a blank continues the value of the field before it; there is none.
TEST_CASE("a blank before the first field of an answer makes it malformed") {
  CHECK_FALSE(response_to(kOk + " : a\r\nContent-Length: 2\r\n\r\nok"));
  CHECK_FALSE(response_to(kOk + " X-Line: a\r\nContent-Length: 2\r\n\r\nok"));
}

TEST_CASE("bare line feeds and odd chunk extensions make an answer malformed") {
  const std::string chunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& bytes :
       {std::string("HTTP/1.1 200 OK\nContent-Length: 2\n\nok"), kOk + "X-Line: a\nContent-Length: 2\r\n\r\nok",
        kOk + "Content-Length: 2\n\r\nok", chunked + "2\nok\r\n0\r\n\r\n", chunked + "2 x\r\nok\r\n0\r\n\r\n",
        chunked + "2;\x01=a\r\nok\r\n0\r\n\r\n", chunked + "2; =\r\nok\r\n0\r\n\r\n",
        chunked + "\r\nok\r\n0\r\n\r\n"}) {
    INFO(bytes);
    CHECK_FALSE(response_to(bytes));
  }
}
