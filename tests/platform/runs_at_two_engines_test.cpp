/// Engines whose answers must not be forwarded, or belong to no request: a request runs at one engine at a time, and
/// one that may run once never runs again.
#include <catch2/catch.hpp>

#include "bench/http_session.hpp"
#include "engine_client.hpp"
#include "names.hpp"
#include "support/raw_engine.hpp"

using namespace madderdeck;
using namespace madderdeck::users_platform;
using madderdeck::tests::connection_ending;
using madderdeck::tests::raw_answer;

namespace {

constexpr char kIp[] = "127.91.5.1";
constexpr unsigned short kPort = 9340;
constexpr std::chrono::milliseconds kTestTimeout{5'000};
/// An engine has to be told within this time that its run is no longer wanted; the rule allows 400 ms.
constexpr std::chrono::milliseconds kToldWithin{200};

class one_engine : public forwarding::BackendDirectory {
 public:
  std::string address_of(const BackendId&) const override { return std::string(kIp) + ":" + std::to_string(kPort); }
  bool accepts_work(const BackendId&) const override { return true; }
  bool is_leaving(const BackendId&) const override { return false; }
  std::size_t connection_share(const BackendId&) const override { return kConnections; }
  void on_load(const BackendId&, const routing::LoadReport&) override {}

 private:
  static constexpr std::size_t kConnections = 10;
};

/// How a send ended.
struct send_outcome {
  std::optional<unsigned> status;
  std::string body;
  bool finished = false;
  std::optional<routing::CallFailure> failure;
  bool ended() const { return finished || failure; }
};

/// A client of one engine that answers as the test says.
struct engine_site {
  explicit engine_site(tests::raw_engine::answers answers) : engine(http.context, kIp, kPort, std::move(answers)) {
    client.attach(directory);
  }

  send_outcome send(const std::string& id, bool may_repeat) {
    auto outcome = std::make_shared<send_outcome>();
    auto request = std::make_shared<forwarding::ForwardedRequest>();
    request->id = id;
    request->method = "POST";
    request->target = "/a/1";
    request->headers = {{"Host", "h.example"}, {header::kRequestId, id}};
    forwarding::UpstreamCall call;
    call.backend = BackendId("i-1");
    call.request = request;
    call.time_left = 2s;
    call.may_repeat = may_repeat;
    forwarding::UpstreamEvents events;
    events.head = [outcome](const forwarding::AnswerHead& head) { outcome->status = head.status; };
    events.piece = [outcome](std::string_view piece) { outcome->body.append(piece); };
    events.finished = [outcome] { outcome->finished = true; };
    events.failed = [outcome](const forwarding::send_failure& failure) { outcome->failure = failure.reason; };
    client.start(std::move(call), std::move(events));
    http.run_until([outcome] { return outcome->ended(); }, kTestTimeout);
    return *outcome;
  }

  std::optional<routing::CallFailure> run_item(const std::string& id) {
    auto failure = std::make_shared<std::optional<routing::CallFailure>>();
    auto item = std::make_shared<routing::HttpItemCall>();
    item->id = id;
    item->method = "POST";
    item->target = "/jobs/1";
    item->host = "h.example";
    routing::EngineCall call;
    call.http = item;
    routing::EngineEvents events;
    events.token = [](std::uint32_t, std::string_view) {};
    events.finished = [](std::uint32_t) {};
    events.failed = [failure](routing::CallFailure why) { *failure = why; };
    client.start(BackendId("i-1"), call, std::move(events));
    http.run_until([failure] { return failure->has_value(); }, kTestTimeout);
    return *failure;
  }

  bool is_told() {
    return http.run_until([this] { return engine.closed_by_peer() > 0; }, kToldWithin);
  }

  bench::HttpSession http;
  tests::raw_engine engine;
  one_engine directory;
  EngineClient client{http.client};
};

std::string head_of(const std::string& status, const std::string& id, const std::string& more) {
  return "HTTP/1.1 " + status + "\r\n" + (id.empty() ? "" : std::string(header::kRequestId) + ": " + id + "\r\n") +
         more;
}

/// A stream whose first event has come and which goes on.
std::string begun_stream(const std::string& more) {
  return head_of("200 OK", "r1", more + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") +
         "11\r\nid: 1\ndata: one\n\n\r\n";
}

std::string whole_answer(const std::string& id, const std::string& body) {
  return head_of("200 OK", id,
                 std::string(header::kStamp) + ": s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n") +
         body;
}

const std::string kEncodedHead = begun_stream(std::string(header::kStamp) + ": s\r\nContent-Encoding: gzip\r\n");
const std::string kUnstampedHead = begun_stream("");
const std::string kRefusalWithoutId =
    head_of("503 Service Unavailable", "", std::string(header::kNotRun) + ": 1\r\nContent-Length: 0\r\n\r\n");
const std::string kUnmarkedRefusalWithoutId = head_of("503 Service Unavailable", "", "Content-Length: 0\r\n\r\n");

}  // namespace

// The connection stayed open for up to a second, so that the run went on beside the next one.
TEST_CASE("a run whose answer cannot be forwarded is ended at its engine at once") {
  const std::string head = GENERATE(kEncodedHead, kUnstampedHead);
  engine_site site([&head](const std::string&) { return raw_answer{head, connection_ending::kept}; });
  SECTION("of a live request") { CHECK(site.send("r1", true).failure == routing::CallFailure::broken); }
  SECTION("of a batch item") { CHECK(site.run_item("r1") == routing::CallFailure::broken); }
  CHECK(site.is_told());
}

// One more answer than there were requests was taken for the present request's, which ran a second time.
TEST_CASE("an answer without an id on a kept connection is not taken for the present request's") {
  const std::string stray = GENERATE(kRefusalWithoutId, kUnmarkedRefusalWithoutId);
  const bool may_repeat = GENERATE(false, true);
  engine_site site([&](const std::string& head) {
    const bool first = head.find("r1") != std::string::npos;
    return raw_answer{first ? whole_answer("r1", "one") : stray + whole_answer("r2", "two"), connection_ending::kept};
  });
  CHECK(site.send("r1", may_repeat).body == "one");
  const send_outcome second = site.send("r2", may_repeat);
  CHECK_FALSE(second.failure);
  CHECK(second.status == 200);
  CHECK(second.body == "two");
}

// A caller that is told so comes back with a request that may run once.
TEST_CASE("an answer that the engine does not mark as not run is no promise to the caller") {
  const std::string status = GENERATE("408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable");
  const std::string stamp = std::string(header::kStamp) + ": s\r\n";
  SECTION("without the engine's stamp") {
    engine_site site([&status](const std::string&) {
      return raw_answer{head_of(status, "r1", "Content-Length: 0\r\n\r\n"), connection_ending::kept};
    });
    const send_outcome outcome = site.send("r1", false);
    CHECK_FALSE(outcome.status);
    CHECK(outcome.failure == routing::CallFailure::broken);
  }
  SECTION("with it, the status is the engine's own and stays") {
    engine_site site([&](const std::string&) {
      return raw_answer{head_of(status, "r1", stamp + "Content-Length: 0\r\n\r\n"), connection_ending::kept};
    });
    CHECK(site.send("r1", false).status == static_cast<unsigned>(std::stoul(status)));
  }
}

// One more answer to an item's failed run was taken for the answer to its next run.
TEST_CASE("a request is not sent again over the connection of its last run") {
  engine_site site([](const std::string&) {
    return raw_answer{
        head_of("500 Internal Server Error", "r1", std::string(header::kStamp) + ": s\r\nContent-Length: 0\r\n\r\n"),
        connection_ending::kept};
  });
  CHECK(site.send("r1", true).status == 500);
  CHECK(site.send("r1", true).status == 500);
  CHECK(site.engine.connections() == 2);
}

TEST_CASE("an engine's report tells whether it has a request") {
  using routing::run_presence;
  const auto [report, expected] = GENERATE(table<std::string, run_presence>({
      {R"({"running":2,"waiting":0,"runs":[["r0",1,2,0],["r1",3,4,0]]})", run_presence::running},
      {R"({"running":1,"waiting":0,"runs":[["r0",1,2,0]]})", run_presence::absent},
      {R"({"running":1,"waiting":1,"runs":[["r0",1,2,0]]})", run_presence::may_wait},
      {R"({"running":1,"waiting":0})", run_presence::may_wait},
      {R"({"running":0,"waiting":0})", run_presence::absent},
      {R"({"running":0,"waiting":0,"runs":[[],7,["x"]]})", run_presence::absent},
      {R"({"runs":[]})", run_presence::may_wait},
      {R"({"running":)", run_presence::unreachable},
  }));
  engine_site site([&report](const std::string&) {
    return raw_answer{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(report.size()) + "\r\n\r\n" + report,
                      connection_ending::kept};
  });
  std::optional<run_presence> found;
  site.client.find_run(BackendId("i-1"), "r1", [&found](run_presence told) { found = told; });
  site.http.run_until([&found] { return found.has_value(); }, kTestTimeout);
  CHECK(found == expected);
}

TEST_CASE("an engine that does not answer cannot tell whether it has a request") {
  engine_site site([](const std::string&) { return raw_answer{"", connection_ending::silent}; });
  std::optional<routing::run_presence> found;
  site.client.find_run(BackendId("i-1"), "r1", [&found](routing::run_presence told) { found = told; });
  site.http.run_until([&found] { return found.has_value(); }, kTestTimeout);
  CHECK(found == routing::run_presence::unreachable);
}
