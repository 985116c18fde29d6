#include <catch2/catch.hpp>

#include "bench/http_session.hpp"
#include "net/http_server.hpp"
#include "net/sse_reader.hpp"
#include "support/raw_caller.hpp"
#include "support/raw_engine.hpp"

using namespace madderdeck;
using namespace madderdeck::net;

namespace {
constexpr char kAddress[] = "127.91.0.1:9300";

ServerOptions small_limits() {
  ServerOptions options;
  options.max_header_bytes = 1024;
  options.max_body_bytes = 2000;
  options.header_timeout = std::chrono::milliseconds(300);
  options.refusal = [](const Error& error) {
    return HttpResponse{400, "text/plain", {}, std::string(error_kind_name(error.kind))};
  };
  return options;
}

struct ServerFixture {
  explicit ServerFixture(ExchangeHandler handler) : server(http.context, counters, std::move(handler), small_limits()) {
    REQUIRE(succeeded(server.listen(kAddress)));
  }
  bench::HttpSession http;
  Counters counters;
  HttpServer server;
};
}  // namespace

TEST_CASE("several requests are answered over one connection") {
  ServerFixture fixture([](const std::shared_ptr<Exchange>& exchange) {
    exchange->respond({200, "text/plain", {}, exchange->request().body + exchange->request().query("x")});
  });
  for (int call = 0; call < 3; ++call) {
    const auto response = fixture.http.call(kAddress, "POST", "/path?x=%41b", "body-");
    REQUIRE(response);
    CHECK(response->body == "body-Ab");
  }
  CHECK(fixture.server.connections() == 1);
}

TEST_CASE("requests beyond limits get a typed error and the server continues to serve") {
  ServerFixture fixture([](const std::shared_ptr<Exchange>& exchange) {
    exchange->respond({200, "text/plain", {}, "ok"});
  });
  const auto large_body = fixture.http.call(kAddress, "POST", "/", std::string(5000, 'x'));
  REQUIRE(large_body);
  CHECK(large_body->body == "body_too_large");
  const auto large_header = fixture.http.call(kAddress, "GET", "/", "", {{"X-Large", std::string(3000, 'x')}});
  REQUIRE(large_header);
  CHECK(large_header->body == "header_too_large");
  const auto good = fixture.http.call(kAddress, "GET", "/");
  REQUIRE(good);
  CHECK(good->body == "ok");
}

TEST_CASE("starting a second server on the same address fails with a typed error") {
  ServerFixture fixture([](const std::shared_ptr<Exchange>&) {});
  HttpServer second(
      fixture.http.context, fixture.counters, [](const std::shared_ptr<Exchange>&) {}, small_limits());
  const Status status = second.listen(kAddress);
  REQUIRE_FALSE(succeeded(status));
  CHECK(error_of(status).kind == ErrorKind::address_in_use);
}

TEST_CASE("a caller's disconnection is reported, and a call with a refused connection fails as not sent") {
  bool gone = false;
  ServerFixture fixture([&gone](const std::shared_ptr<Exchange>& exchange) {
    exchange->start_stream(200, "text/plain", {});
    exchange->write("first");
    exchange->on_caller_gone([&gone] { gone = true; });
  });
  bool started = false;
  ClientCallEvents events;
  events.body = [&started](std::string_view) { started = true; };
  const auto call = fixture.http.client.start(kAddress, {"GET", "/", {}, ""}, events);
  REQUIRE(fixture.http.run_until([&started] { return started; }, std::chrono::seconds(5)));
  fixture.http.client.cancel(call);
  CHECK(fixture.http.run_until([&gone] { return gone; }, std::chrono::seconds(5)));

  std::optional<CallBreak> reason;
  ClientCallEvents failing;
  failing.failed = [&reason](CallBreak why) { reason = why; };
  fixture.http.client.start("127.91.0.2:9301", {"GET", "/", {}, ""}, failing);
  REQUIRE(fixture.http.run_until([&reason] { return reason.has_value(); }, std::chrono::seconds(5)));
  CHECK(*reason == CallBreak::connect_failed);
}

TEST_CASE("an aborted stream ends with an error for the caller and is not complete") {
  ServerFixture fixture([](const std::shared_ptr<Exchange>& exchange) {
    exchange->start_stream(200, "text/plain", {});
    exchange->write("part");
    exchange->on_backlog_gone([exchange] { exchange->abort(); });
  });
  CHECK_FALSE(fixture.http.call(kAddress, "GET", "/", "", {}, std::chrono::milliseconds(3000)));
}

TEST_CASE("server-sent events are assembled from pieces") {
  std::vector<std::string> events;
  SseReader reader([&events](std::string_view data) { events.emplace_back(data); });
  reader.feed("data: on");
  reader.feed("e\n\ndata: two\n");
  reader.feed("\nevent: error\ndata: x\n\n");
  CHECK(events == std::vector<std::string>{"one", "two"});
}

TEST_CASE("a request that is refused by its head is answered at once, and its connection serves the next request") {
  bench::HttpSession http;
  Counters counters;
  ServerOptions options = small_limits();
  options.answer_head = [](const HttpRequest& request) -> std::optional<HttpResponse> {
    if (request.path() == "/refused") {
      return HttpResponse{401, "text/plain", {}, "no"};
    }
    return std::nullopt;
  };
  int handled = 0;
  HttpServer server(
      http.context, counters,
      [&handled](const std::shared_ptr<Exchange>& exchange) {
        ++handled;
        exchange->respond({200, "text/plain", {}, "yes"});
      },
      options);
  REQUIRE(succeeded(server.listen(kAddress)));
  for (int call = 0; call < 3; ++call) {
    const auto refused = http.call(kAddress, "POST", "/refused", std::string(1500, 'x'));
    REQUIRE(refused);
    CHECK(refused->status == 401);
    const auto served = http.call(kAddress, "POST", "/served", std::string(1500, 'x'));
    REQUIRE(served);
    CHECK(served->body == "yes");
  }
  CHECK(handled == 3);
  CHECK(server.connections() == 1);
}

TEST_CASE("a probe distinguishes an address with a listener from one without") {
  const auto probe = [](bench::HttpSession& http, const std::string& address) {
    std::optional<routing::reachability> found;
    http.client.probe(address, std::chrono::milliseconds(500), [&](routing::reachability what) { found = what; });
    CHECK_FALSE(found);  // the callback never runs inside the call
    http.run_until([&] { return found.has_value(); }, std::chrono::milliseconds(2000));
    return found;
  };
  ServerFixture fixture([](const std::shared_ptr<Exchange>& exchange) { exchange->respond({}); });
  CHECK(probe(fixture.http, kAddress) == routing::reachability::listening);
  CHECK(probe(fixture.http, "127.91.0.1:9399") == routing::reachability::refused);
  CHECK(probe(fixture.http, "no address") == routing::reachability::silent);
}

namespace {

/// @return what the caller receives of a streamed response that has one piece and is then ended by @p end.
tests::caller_answer stream_to(const std::string& protocol, const std::function<void(Exchange&)>& end) {
  ServerFixture fixture([&end](const std::shared_ptr<Exchange>& exchange) {
    exchange->start_stream(200, "text/plain", {});
    exchange->write("piece");
    end(*exchange);
  });
  const auto answer = tests::call_raw(fixture.http.context, kAddress, "GET / " + protocol + "\r\nHost: h\r\n\r\n");
  fixture.http.run_until([&answer] { return answer->ended; }, std::chrono::seconds(5));
  return *answer;
}

}  // namespace

TEST_CASE("bytes that were written before a response is aborted are sent") {
  const auto got = stream_to("HTTP/1.1", [](Exchange& exchange) { exchange.abort(); });
  CHECK(got.status == 200);
  CHECK(got.body == "piece");
  CHECK_FALSE(got.looks_complete);
}

TEST_CASE("a stream to a caller without chunks ends with its connection, and with a reset if it is aborted") {
  const auto whole = stream_to("HTTP/1.0", [](Exchange& exchange) { exchange.finish(); });
  CHECK(whole.framing == body_framing::until_close);
  CHECK(whole.looks_complete);
  CHECK(whole.body == "piece");
  const auto broken = stream_to("HTTP/1.0", [](Exchange& exchange) { exchange.abort(); });
  CHECK(broken.ended);
  CHECK_FALSE(broken.looks_complete);
}

TEST_CASE("a response that ends with its connection is accepted only by readers that recognize a complete one") {
  for (const bool may_end : {false, true}) {
    bench::HttpSession http;
    tests::raw_engine peer(http.context, "127.91.0.1", 9301, [](const std::string&) {
      return tests::raw_answer{"HTTP/1.1 200 OK\r\n\r\nbody", tests::connection_ending::closed};
    });
    std::optional<std::variant<SimpleResponse, CallBreak>> result;
    ClientCallOptions options;
    options.may_end_with_connection = may_end;
    http.client.fetch(
        "127.91.0.1:9301", {"GET", "/", {}, ""}, [&result](auto outcome) { result = std::move(outcome); }, options);
    http.run_until([&result] { return result.has_value(); }, std::chrono::seconds(5));
    REQUIRE(result);
    CHECK(std::holds_alternative<SimpleResponse>(*result) == may_end);
    if (!may_end) {
      CHECK(std::get<CallBreak>(*result) == CallBreak::closed);
    }
  }
}
