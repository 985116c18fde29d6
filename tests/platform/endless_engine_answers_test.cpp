/// Engines whose answers have no end, as the deployed program's client of engines reads them.
#include <catch2/catch.hpp>
#include <optional>

#include "bench/http_session.hpp"
#include "engine_client.hpp"
#include "support/endless_engine.hpp"

using namespace madderdeck;
using namespace madderdeck::users_platform;
using madderdeck::tests::endless_answer;
using madderdeck::tests::endless_engine;

namespace {

constexpr char kIp[] = "127.91.5.2";
constexpr unsigned short kPort = 9341;
constexpr std::chrono::milliseconds kTestTimeout{5'000};
/// What the kernel holds for a connection beside what the client has read.
constexpr std::size_t kSocketBytes = 8 * 1024 * 1024;
const std::string kStamped = "X-Madderdeck-Request-Id: r\r\nX-Madderdeck-Response-Stamp: s\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string kStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + kStamped;

class one_engine : public forwarding::BackendDirectory {
 public:
  std::string address_of(const BackendId&) const override { return std::string(kIp) + ":" + std::to_string(kPort); }
  bool accepts_work(const BackendId&) const override { return true; }
  bool is_leaving(const BackendId&) const override { return false; }
  std::size_t connection_share(const BackendId&) const override { return 10; }
  void on_load(const BackendId&, const routing::LoadReport&) override {}
};

struct fixture {
  explicit fixture(endless_answer answer) : engine(http.context, kIp, kPort, std::move(answer)) {
    client.attach(directory);
  }
  /// @return how a run of a batch item failed; nothing if it did not.
  std::optional<routing::CallFailure> run_item() {
    std::optional<routing::CallFailure> failed;
    auto item = std::make_shared<routing::HttpItemCall>();
    item->id = "r";
    item->method = "POST";
    item->target = "/jobs/1";
    item->host = "h";
    routing::EngineCall call;
    call.http = item;
    routing::EngineEvents events;
    events.token = [this](std::uint32_t, std::string_view) { ++tokens; };
    events.finished = [](std::uint32_t) {};
    events.failed = [&failed](routing::CallFailure failure) { failed = failure; };
    client.start(BackendId("e"), call, std::move(events));
    http.run_until([&failed] { return failed.has_value(); }, kTestTimeout);
    return failed;
  }
  /// @return how a forwarded request failed; nothing if it did not.
  std::optional<routing::CallFailure> forward() {
    std::optional<routing::CallFailure> failed;
    auto request = std::make_shared<forwarding::ForwardedRequest>();
    request->id = "r";
    request->method = "POST";
    request->target = "/a/1";
    forwarding::UpstreamCall call;
    call.backend = BackendId("e");
    call.request = request;
    call.time_left = 2s;
    forwarding::UpstreamEvents events;
    events.head = [](const forwarding::AnswerHead&) {};
    events.piece = [](std::string_view) {};
    events.finished = [] {};
    events.failed = [&failed](const forwarding::send_failure& failure) { failed = failure.reason; };
    client.start(std::move(call), std::move(events));
    http.run_until([&failed] { return failed.has_value(); }, kTestTimeout);
    return failed;
  }
  /// @return whether the client has closed the connection after a bounded number of bytes.
  bool is_closed() {
    http.run_until([this] { return engine.closed() > 0; }, kTestTimeout);
    return engine.closed() > 0 && engine.sent() < kSocketBytes;
  }

  bench::HttpSession http;
  endless_engine engine;
  one_engine directory;
  EngineClient client{http.client};
  std::size_t tokens = 0;
};

}  // namespace

// Guards against a batch item that waits for an engine whose answer has no end, and against the memory that it takes.
TEST_CASE("a run of an item whose answer has no end is broken off in every form") {
  const std::string failed = "HTTP/1.1 500 Internal Server Error\r\n" + kStamped + kChunked;
  const std::string plain = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + kStamped + kChunked;
  const std::vector<endless_answer> forms = {
      {kStream + "\r\nid: 1\ndata: ", "a"},   {kStream + "\r\n", ": nothing\n\n"}, {kStream + "\r\n", "no field\n"},
      {kStream + "\r\nid: 1\n", "data: a\n"}, {failed, "5\r\nabcde\r\n"},          {plain, "5\r\nabcde\r\n"}};
  for (const endless_answer& form : forms) {
    INFO(form.start << form.unit);
    fixture one(form);
    CHECK(one.run_item() == routing::CallFailure::broken);
    CHECK(one.is_closed());
    CHECK(one.tokens == 0);
  }
}

TEST_CASE("a refusal counts with its head, and its body without end is not read on") {
  const std::string refused = "HTTP/1.1 503 Service Unavailable\r\nX-Madderdeck-Not-Executed: 1\r\n" + kChunked;
  fixture live({refused, "5\r\nabcde\r\n"});
  CHECK(live.forward() == routing::CallFailure::refused);
  CHECK(live.is_closed());
}

TEST_CASE("a refusal whose body comes byte by byte without end is closed after a bounded time") {
  fixture live({"HTTP/1.1 421 Misdirected Request\r\n" + kChunked, "1\r\na\r\n", true});
  CHECK(live.forward() == routing::CallFailure::leaving);
  CHECK(live.is_closed());
}

// Guards against a load report that took a gateway to 3.2 GB in 20 s.
TEST_CASE("a load report without end is given up at its limit, or at its deadline when it is slow") {
  for (const bool slow : {false, true}) {
    fixture one({"HTTP/1.1 200 OK\r\n\r\n", "{\"running\": 0}", slow});
    bool answered = false;
    std::optional<routing::LoadReport> report;
    one.client.fetch_load(BackendId("e"), [&](const std::optional<routing::LoadReport>& found) {
      answered = true;
      report = found;
    });
    one.http.run_until([&answered] { return answered; }, kTestTimeout);
    CHECK(answered);
    CHECK_FALSE(report);
    CHECK(one.is_closed());
  }
}

TEST_CASE("heads without end fail a live request and a batch item as broken") {
  for (const endless_answer& form :
       {endless_answer{"HTTP/1.1 200 OK\r\nX-A: ", "a"}, endless_answer{"HTTP/1.1 200 OK\r\n", "X-A: a\r\n"}}) {
    fixture one(form);
    CHECK(one.forward() == routing::CallFailure::broken);
    CHECK(one.run_item() == routing::CallFailure::broken);
    CHECK(one.is_closed());
  }
}
