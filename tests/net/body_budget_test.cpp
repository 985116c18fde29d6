/// Bodies that do not fit into the memory of the process.
#include <catch2/catch.hpp>

#include "bench/http_session.hpp"
#include "net/http_server.hpp"
#include "support/kept_lines.hpp"
#include "support/raw_caller.hpp"

using namespace madderdeck;
using namespace madderdeck::net;

namespace {

constexpr char kAddress[] = "127.73.6.1:9370";
constexpr std::size_t kMb = 1'000'000;
constexpr std::int64_t kCapacity = 40'000'000;
constexpr std::chrono::milliseconds kTestTimeout{10'000};
constexpr unsigned kUnavailable = 503;
constexpr unsigned kTooLarge = 413;
/// The least memory of a machine that takes requests, by the sheets of the users' sites.
constexpr std::int64_t kSheetMemoryBytes = 220'000'000;

/// A server with a budget that keeps each request until it is told to answer.
class budget_server {
 public:
  explicit budget_server(std::int64_t memory_bytes = memory_budget::kProgramBytes + kCapacity,
                         std::size_t max_body_bytes = 50 * kMb)
      : budget(std::make_shared<memory_budget>(memory_bytes, counters, lines)),
        server_(
            http.context, counters, [this](const std::shared_ptr<Exchange>& exchange) { take(exchange); },
            options(max_body_bytes)) {
    REQUIRE(succeeded(server_.listen(kAddress)));
  }

  /// Starts a request with a body of @p bytes.
  void start(std::size_t bytes, const std::string& path = "/") {
    http.client.fetch(kAddress, {"POST", path, {}, std::string(bytes, 'b')},
                      [this](const std::variant<SimpleResponse, CallBreak>& result) {
                        const auto* response = std::get_if<SimpleResponse>(&result);
                        statuses.push_back(response == nullptr ? 0 : response->status);
                      });
  }
  bool await_kept(std::size_t count) {
    return http.run_until([this, count] { return kept.size() == count; }, kTestTimeout);
  }
  bool await_answers(std::size_t count) {
    return http.run_until([this, count] { return statuses.size() == count; }, kTestTimeout);
  }
  void answer_all() {
    for (const std::shared_ptr<Exchange>& exchange : kept) {
      exchange->respond({200, "text/plain", {}, "ok"});
    }
    kept.clear();
  }
  std::size_t connections() const { return server_.connections(); }

  bench::HttpSession http;
  Counters counters;
  tests::kept_lines lines;
  std::shared_ptr<memory_budget> budget;
  std::vector<std::shared_ptr<Exchange>> kept;
  std::vector<unsigned> statuses;  ///< Of the responses so far; 0: none came.

 private:
  void take(const std::shared_ptr<Exchange>& exchange) {
    if (exchange->request().path() == "/now") {
      exchange->respond({200, "text/plain", {}, std::to_string(exchange->request().body.size())});
      return;
    }
    kept.push_back(exchange);
  }
  static unsigned status_of(ErrorKind kind) {
    if (kind == ErrorKind::unavailable) {
      return kUnavailable;
    }
    return kind == ErrorKind::body_too_large ? kTooLarge : 400U;
  }
  ServerOptions options(std::size_t max_body_bytes) const {
    ServerOptions options;
    options.max_body_bytes = max_body_bytes;
    options.refusal = [](const Error& error) {
      return HttpResponse{status_of(error.kind), "text/plain", {}, std::string(error_kind_name(error.kind))};
    };
    options.budget = budget;
    options.holder_of = [](const HttpRequest& request) {
      return request.path() == "/job" ? memory_holder::job_bodies : memory_holder::live_bodies;
    };
    return options;
  }

  HttpServer server_;
};

std::string chunks_of(std::size_t pieces, std::size_t bytes) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes);
  std::string text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t piece = 0; piece < pieces; ++piece) {
    text += size + std::string(bytes, 'c') + "\r\n";
  }
  return text + "0\r\n\r\n";
}

}  // namespace

// Guards against a process that is ended because of the bodies that its callers send side by side.
TEST_CASE("bodies beyond the memory budget are refused before they are kept, and the others are served") {
  budget_server server;
  for (int body = 0; body < 3; ++body) {
    server.start(5 * kMb);
  }
  REQUIRE(server.await_kept(3));
  server.start(5 * kMb);
  REQUIRE(server.await_answers(1));
  CHECK(server.statuses.at(0) == kUnavailable);
  CHECK(server.kept.size() == 3);
  CHECK(server.counters["memory_refused_live_bodies_total"] == 1);
  CHECK(server.counters["http_bodies_refused_for_memory_total"] == 1);
  CHECK(server.lines.count("memory_refused") == 1);
  const auto small = server.http.call(kAddress, "POST", "/now", "small");
  REQUIRE(small);
  CHECK(small->status == 200);
  // None is left open for the refused body but the one that the small request used.
  CHECK(server.http.run_until([&server] { return server.connections() == 4; }, kTestTimeout));
  server.answer_all();
  REQUIRE(server.await_answers(4));
  CHECK(server.statuses == std::vector<unsigned>{kUnavailable, 200, 200, 200});
  server.http.run_for(std::chrono::milliseconds(50));
  CHECK(server.budget->held() == 0);
}

// Guards against jobs that take the memory which live requests need.
TEST_CASE("the body of a job is refused where that of a live request is still taken") {
  budget_server server;
  server.start(4 * kMb, "/job");
  REQUIRE(server.await_kept(1));
  server.start(1 * kMb, "/job");
  REQUIRE(server.await_answers(1));
  CHECK(server.statuses.at(0) == kUnavailable);
  server.start(2 * kMb);
  REQUIRE(server.await_kept(2));
  server.answer_all();
  REQUIRE(server.await_answers(3));
}

// Guards against a body without a length that grows beyond the budget, and an answer to it that is lost in a reset.
TEST_CASE("a body in chunks is refused once it does not fit, and its caller gets the answer") {
  budget_server server;
  server.start(6 * kMb);
  REQUIRE(server.await_kept(1));
  const auto answer = tests::call_raw(server.http.context, kAddress, chunks_of(45, kMb));
  REQUIRE(server.http.run_until([&answer] { return answer->ended; }, kTestTimeout));
  CHECK(answer->status == kUnavailable);
  CHECK(answer->looks_complete);
  CHECK(server.kept.size() == 1);
  server.answer_all();
  REQUIRE(server.await_answers(1));
  server.http.run_for(std::chrono::milliseconds(50));
  CHECK(server.budget->held() == 0);
}

// Guards against a caller that comes back for good with a body that no state of this node has room for.
TEST_CASE("a body that never fits into the memory is refused for good, with and without a length") {
  budget_server server;
  server.start(18 * kMb);
  REQUIRE(server.await_answers(1));
  server.start(6 * kMb, "/job");
  REQUIRE(server.await_answers(2));
  const auto in_chunks = tests::call_raw(server.http.context, kAddress, chunks_of(45, kMb));
  REQUIRE(server.http.run_until([&in_chunks] { return in_chunks->ended; }, kTestTimeout));
  CHECK(server.statuses == std::vector<unsigned>{kTooLarge, kTooLarge});
  CHECK(in_chunks->status == kTooLarge);
  CHECK(in_chunks->looks_complete);
  CHECK(server.counters["http_bodies_beyond_memory_total"] == 3);
  CHECK(server.kept.empty());
  server.http.run_for(std::chrono::milliseconds(50));
  CHECK(server.budget->held() == 0);
}

// Guards against a budget that refuses what the sheet and the configuration allow.
TEST_CASE("the longest body that is allowed fits into the smallest machine, as a job and as a live request") {
  const std::size_t longest = ServerOptions().max_body_bytes;
  for (const char* path : {"/job", "/"}) {
    budget_server server(kSheetMemoryBytes, longest);
    server.start(longest, path);
    REQUIRE(server.await_kept(1));
    CHECK(server.kept.front()->request().body.size() == longest);
    server.answer_all();
    REQUIRE(server.await_answers(1));
    CHECK(server.statuses == std::vector<unsigned>{200});
  }
}

// Guards against responses that fill the memory since nobody reads them.
TEST_CASE("a response that its caller does not read counts, and new bodies are refused meanwhile") {
  budget_server server;
  server.start(1);
  REQUIRE(server.await_kept(1));
  server.kept.at(0)->start_stream(200, "text/plain", {});
  for (int piece = 0; piece < 40; ++piece) {
    server.kept.at(0)->write(std::string(kMb, 'w'));
  }
  CHECK(server.budget->held_by(memory_holder::backlogs) == kCapacity);
  CHECK_FALSE(server.budget->reserve(memory_holder::live_bodies, memory_budget::kSmallLiveBytes + 1));
  server.kept.at(0)->finish();
  REQUIRE(server.await_answers(1));
  server.kept.clear();
  server.http.run_for(std::chrono::milliseconds(50));
  CHECK(server.budget->held() == 0);
}
