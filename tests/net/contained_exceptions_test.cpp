/// Guards against a process that ends with all its calls because one of them met an exception. The coroutines of the
/// HTTP server and client were spawned detached, so that what one of them threw left the event loop.
#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <stdexcept>

#include "bench/http_session.hpp"
#include "net/http_server.hpp"
#include "support/raw_caller.hpp"

using namespace madderdeck;
using namespace madderdeck::net;

namespace {

constexpr char kAddress[] = "127.91.7.1:9360";
constexpr std::chrono::milliseconds kTestTimeout{5'000};

/// A server whose handler throws for some paths.
class throwing_server {
 public:
  throwing_server()
      : server_(
            http.context, counters, [this](const std::shared_ptr<Exchange>& exchange) { handle(exchange); },
            options()) {
    REQUIRE(succeeded(server_.listen(kAddress)));
  }
  std::size_t connections() const { return server_.connections(); }

  bench::HttpSession http;
  Counters counters;
  std::vector<std::shared_ptr<Exchange>> kept;
  unsigned callers_gone = 0;

 private:
  void handle(const std::shared_ptr<Exchange>& exchange) {
    const std::string path(exchange->request().path());
    if (path == "/throws") {
      throw std::out_of_range("no such entry");
    }
    if (path == "/throws-in-stream") {
      exchange->on_caller_gone([this] { ++callers_gone; });
      exchange->start_stream(200, "text/plain", {});
      exchange->write("part");
      exchange->on_backlog_gone([] { throw std::bad_alloc(); });
      kept.push_back(exchange);
      return;
    }
    exchange->respond({200, "text/plain", {}, "ok"});
  }
  static ServerOptions options() {
    ServerOptions options;
    options.refusal = [](const Error&) { return HttpResponse{400, "text/plain", {}, ""}; };
    return options;
  }

  HttpServer server_;
};

}  // namespace

TEST_CASE("an exception while a request is handled ends its connection alone, without an answer") {
  throwing_server server;
  for (unsigned times = 1; times <= 3; ++times) {
    const auto broken = server.http.call(kAddress, "GET", "/throws", "", {}, kTestTimeout);
    CHECK_FALSE(broken);
    CHECK(server.counters["http_sessions_broken_off_total"] == times);
  }
  const auto served = server.http.call(kAddress, "GET", "/", "", {}, kTestTimeout);
  REQUIRE(served);
  CHECK(served->status == 200);
}

TEST_CASE(
    "an exception in the middle of a response leaves a part that does not look complete, and its handler is told") {
  throwing_server server;
  const auto answer =
      tests::call_raw(server.http.context, kAddress, "GET /throws-in-stream HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(server.http.run_until([&answer] { return answer->ended; }, kTestTimeout));
  CHECK_FALSE(answer->looks_complete);
  CHECK(server.callers_gone == 1);
  server.kept.clear();
  CHECK(server.http.run_until([&server] { return server.connections() == 0; }, kTestTimeout));
}

TEST_CASE("an exception while an answer is read fails that call alone") {
  throwing_server server;
  std::optional<CallBreak> broken;
  ClientCallEvents events;
  events.header = [](const ResponseHead&) { throw std::length_error("too long a name"); };
  events.failed = [&broken](CallBreak reason) { broken = reason; };
  server.http.client.start(kAddress, {"GET", "/", {}, ""}, std::move(events), ClientCallOptions());
  REQUIRE(server.http.run_until([&broken] { return broken.has_value(); }, kTestTimeout));
  CHECK(*broken == CallBreak::malformed);
  const auto served = server.http.call(kAddress, "GET", "/", "", {}, kTestTimeout);
  REQUIRE(served);
  CHECK(served->status == 200);
}
