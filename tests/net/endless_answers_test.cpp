/// Peers whose answers have no end, in a head, a body or the bytes around chunks.
#include <catch2/catch.hpp>
#include <optional>

#include "bench/http_session.hpp"
#include "net/http_backend_client.hpp"
#include "support/endless_engine.hpp"

using namespace madderdeck;
using madderdeck::tests::endless_answer;
using madderdeck::tests::endless_engine;

namespace {

constexpr char kIp[] = "127.91.5.1";
constexpr unsigned short kPort = 9340;
constexpr char kEndpoint[] = "127.91.5.1:9340";
constexpr std::chrono::milliseconds kTestTimeout{5'000};
constexpr std::size_t kMaxBody = 100'000;
/// What the kernel holds for a connection beside what the client has read.
constexpr std::size_t kSocketBytes = 8 * 1024 * 1024;
const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

using fetched = std::variant<net::SimpleResponse, net::CallBreak>;

/// @return how a fetch of an endless answer ended; nothing if it did not.
std::optional<fetched> fetch(bench::HttpSession& session, net::ClientCallOptions options) {
  std::optional<fetched> result;
  options.may_end_with_connection = true;
  session.client.fetch(
      kEndpoint, {"GET", "/", {}, ""}, [&result](fetched outcome) { result = std::move(outcome); }, options);
  session.run_until([&result] { return result.has_value(); }, kTestTimeout);
  return result;
}

net::ClientCallOptions limited() {
  net::ClientCallOptions options;
  options.max_body_bytes = kMaxBody;
  return options;
}

struct form {
  const char* name;
  endless_answer answer;
};

std::vector<form> fast_forms() {
  return {{"one line of a head", {kOk + "X-Line: ", "a"}},
          {"lines of a head", {kOk, "X-Line: a\r\n"}},
          {"a status line", {"HTTP/1.1 200 ", "a"}},
          {"a body in chunks", {kChunked, "5\r\nabcde\r\n"}},
          {"a body with a false length", {kOk + "Content-Length: 99999999999\r\n\r\n", "a"}},
          {"a body that ends with the connection", {kOk + "\r\n", "a"}},
          {"a chunk extension", {kChunked + "5;x=", "a"}},
          {"chunk extensions", {kChunked, "1;abcdefgh=ijklmnop\r\na\r\n"}},
          {"one trailer", {kChunked + "0\r\nX-Trailer: ", "a"}},
          {"trailers", {kChunked + "0\r\n", "X-Trailer: a\r\n"}}};
}

}  // namespace

// Guards against a peer that fills this node's memory with bytes that are no answer.
TEST_CASE("an answer without end fails as too long once its limit is reached, in every form") {
  for (const form& one : fast_forms()) {
    INFO(one.name);
    bench::HttpSession session;
    endless_engine engine(session.context, kIp, kPort, one.answer);
    const std::optional<fetched> result = fetch(session, limited());
    REQUIRE(result);
    const auto* reason = std::get_if<net::CallBreak>(&*result);
    REQUIRE(reason != nullptr);
    CHECK(*reason == net::CallBreak::too_long);
    session.run_until([&engine] { return engine.closed() == 1; }, kTestTimeout);
    CHECK(engine.closed() == 1);
    CHECK(engine.sent() < kSocketBytes);
  }
}

TEST_CASE("interim answers without end are a malformed answer") {
  bench::HttpSession session;
  endless_engine engine(session.context, kIp, kPort, {"", "HTTP/1.1 100 Continue\r\n\r\n"});
  const std::optional<fetched> result = fetch(session, limited());
  REQUIRE(result);
  const auto* reason = std::get_if<net::CallBreak>(&*result);
  REQUIRE(reason != nullptr);
  CHECK(*reason == net::CallBreak::malformed);
}

TEST_CASE("an answer to another request without end is not skipped for ever") {
  bench::HttpSession session;
  endless_engine engine(session.context, kIp, kPort, {kChunked, "5\r\nabcde\r\n"});
  net::ClientCallOptions options;
  options.belongs = [](unsigned, const net::Headers&, bool) { return false; };
  const std::optional<fetched> result = fetch(session, options);
  REQUIRE(result);
  CHECK(std::get<net::CallBreak>(*result) == net::CallBreak::too_long);
  CHECK(engine.sent() < kSocketBytes);
}

// Guards against a peer that sends a byte now and then, so that it never idles.
TEST_CASE("an answer that comes byte by byte without end fails at the call's deadline") {
  for (form one : fast_forms()) {
    INFO(one.name);
    one.answer.slow = true;
    bench::HttpSession session;
    endless_engine engine(session.context, kIp, kPort, one.answer);
    net::ClientCallOptions options = limited();
    options.total_timeout = std::chrono::milliseconds(300);
    const bool false_length = one.answer.start.find("Content-Length") != std::string::npos;
    options.max_body_bytes = false_length ? net::HttpClient::kMaxFetchedBytes : kMaxBody;
    const auto began = std::chrono::steady_clock::now();
    const std::optional<fetched> result = fetch(session, options);
    REQUIRE(result);
    CHECK(std::holds_alternative<net::CallBreak>(*result));
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1'500));
  }
}

TEST_CASE("a body of the largest allowed size is read whole") {
  bench::HttpSession session;
  const std::string body(kMaxBody, 'a');
  endless_engine engine(session.context, kIp, kPort,
                        {kOk + "Content-Length: " + std::to_string(kMaxBody) + "\r\n\r\n" + body, "a"});
  const std::optional<fetched> result = fetch(session, limited());
  REQUIRE(result);
  REQUIRE(std::holds_alternative<net::SimpleResponse>(*result));
  CHECK(std::get<net::SimpleResponse>(*result).body == body);
}

TEST_CASE("the rest of a skipped answer ends no later than after its time and its size") {
  bench::HttpSession session;
  endless_engine engine(session.context, kIp, kPort, {kChunked, "5\r\nabcde\r\n"});
  net::HttpClient::CallNumber call = 0;
  bool told = false;
  net::ClientCallEvents events;
  events.header = [&](const net::ResponseHead&) { session.client.skip_rest(call); };
  events.body = [&told](std::string_view) { told = true; };
  events.done = [&told] { told = true; };
  events.failed = [&told](net::CallBreak) { told = true; };
  call = session.client.start(kEndpoint, {"GET", "/", {}, ""}, std::move(events));
  session.run_until([&engine] { return engine.closed() == 1; }, kTestTimeout);
  CHECK(engine.closed() == 1);
  CHECK_FALSE(told);
  CHECK(engine.sent() < kSocketBytes);
}

// Guards the program's own interface to engines against the same bytes.
TEST_CASE("a generation whose answer has no end is broken off, and so is a refusal") {
  const std::string head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const endless_answer& form :
       {endless_answer{kOk + head, "5\r\nabcde\r\n"}, endless_answer{kOk + head, "b\r\n: nothing\n\n\r\n"},
        endless_answer{"HTTP/1.1 503 Service Unavailable\r\n" + head, "5\r\nabcde\r\n"}}) {
    INFO(form.start << form.unit);
    bench::HttpSession session;
    Counters counters;
    endless_engine engine(session.context, kIp, kPort, form);
    net::HttpBackendClient client(session.client, counters);
    std::optional<routing::CallFailure> failed;
    routing::EngineEvents events;
    events.token = [](std::uint32_t, std::string_view) {};
    events.finished = [](std::uint32_t) {};
    events.failed = [&failed](routing::CallFailure failure) { failed = failure; };
    routing::EngineCall call;
    call.model = "m";
    client.start(BackendId(kEndpoint), call, std::move(events));
    session.run_until([&failed] { return failed.has_value(); }, kTestTimeout);
    CHECK(failed == routing::CallFailure::broken);
    CHECK(engine.sent() < kSocketBytes);
  }
}
