/// Tests the engine client with engines that answer with scripted bytes, valid and malformed.
#include "engine_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "bench/http_session.hpp"

using namespace madderdeck;
using namespace madderdeck::users_platform;
using boost::asio::ip::tcp;

namespace {

constexpr char kAddress[] = "127.91.0.2:9310";
constexpr char kNobody[] = "127.91.0.2:9399";  ///< An address without a listener.

/// Answers the n-th request over all connections with the n-th script; an empty script sends nothing.
class ScriptedEngine {
 public:
  struct Script {
    std::string bytes;
    bool close = false;
  };
  ScriptedEngine(boost::asio::io_context& context, std::vector<Script> scripts)
      : acceptor_(context, tcp::endpoint(boost::asio::ip::make_address("127.91.0.2"), 9310)),
        scripts_(std::move(scripts)) {
    accept();
  }
  std::vector<std::string> requests;
  std::size_t connections = 0;

 private:
  struct Connection {
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string read;
  };
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code failure, tcp::socket socket) {
      if (!failure) {
        ++connections;
        serve(std::make_shared<Connection>(std::move(socket)));
        accept();
      }
    });
  }
  void serve(const std::shared_ptr<Connection>& connection) {
    boost::asio::async_read_until(connection->socket, boost::asio::dynamic_buffer(connection->read), "\r\n\r\n",
                                  [this, connection](boost::system::error_code failure, std::size_t length) {
                                    if (failure || requests.size() >= scripts_.size()) {
                                      return;
                                    }
                                    const Script& script = scripts_[requests.size()];
                                    requests.push_back(connection->read.substr(0, length));
                                    connection->read.clear();
                                    boost::asio::write(connection->socket, boost::asio::buffer(script.bytes));
                                    if (script.close) {
                                      connection->socket.close();
                                    } else {
                                      serve(connection);
                                    }
                                  });
  }
  tcp::acceptor acceptor_;
  std::vector<Script> scripts_;
};

class Directory : public forwarding::BackendDirectory {
 public:
  std::string address_of(const BackendId&) const override { return address; }
  bool accepts_work(const BackendId&) const override { return open; }
  bool is_leaving(const BackendId&) const override { return false; }
  std::size_t connection_share(const BackendId&) const override { return share; }
  void on_load(const BackendId&, const routing::LoadReport& report) override { load = report; }
  std::string address = kAddress;
  std::size_t share = 10;
  bool open = true;
  std::optional<routing::LoadReport> load;
};

std::string answer(const std::string& id, const std::string& body, const std::string& extra = "") {
  return "HTTP/1.1 200 OK\r\nX-Madderdeck-Request-Id: " + id + "\r\nX-Madderdeck-Response-Stamp: s\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Outcome of one call.
struct Outcome {
  std::optional<forwarding::AnswerHead> head;
  std::string body;
  bool finished = false;
  std::optional<routing::CallFailure> failure;
  bool ended() const { return finished || failure; }
};

struct Fixture {
  explicit Fixture(std::vector<ScriptedEngine::Script> scripts) : engine(http.context, std::move(scripts)) {
    client.attach(directory);
  }
  Outcome call(const std::string& id, bool may_repeat = true) {
    auto outcome = std::make_shared<Outcome>();
    auto request = std::make_shared<forwarding::ForwardedRequest>();
    request->id = id;
    request->method = "POST";
    request->target = "/a/1";
    request->headers = {{"Host", "h.example"}, {"X-Madderdeck-Request-Id", id}};
    request->body = "body";
    forwarding::UpstreamCall call;
    call.backend = BackendId("i-1");
    call.request = request;
    call.time_left = 2s;
    call.may_repeat = may_repeat;
    forwarding::UpstreamEvents events;
    events.head = [outcome](forwarding::AnswerHead head) { outcome->head = std::move(head); };
    events.piece = [outcome](std::string_view piece) { outcome->body.append(piece); };
    events.finished = [outcome] { outcome->finished = true; };
    events.failed = [outcome](const forwarding::send_failure& failure) { outcome->failure = failure.reason; };
    client.start(std::move(call), std::move(events));
    http.run_until([outcome] { return outcome->ended(); }, std::chrono::seconds(5));
    return *outcome;
  }
  bench::HttpSession http;
  ScriptedEngine engine;
  Directory directory;
  EngineClient client{http.client};
};

}  // namespace

TEST_CASE("an engine's answer and its load report are read over one kept-alive connection") {
  Fixture fixture({{answer("r1", "whole", "X-Madderdeck-Server-Load: 3,2,8\r\n")}, {answer("r2", "again")}});
  const Outcome first = fixture.call("r1");
  CHECK(first.finished);
  CHECK(first.body == "whole");
  REQUIRE(fixture.directory.load);
  CHECK(fixture.directory.load->running_online == 3);
  CHECK(fixture.directory.load->waiting == 2);
  CHECK(fixture.call("r2").body == "again");
  CHECK(fixture.engine.connections == 1);
  CHECK(fixture.engine.requests.at(0).find("X-Madderdeck-Expect-Instance: i-1\r\n") != std::string::npos);
  CHECK(fixture.engine.requests.at(0).find("Host: h.example\r\n") != std::string::npos);
}

// A request that was assigned to an engine could wait up to a second for its connection, and was then sent even if the
// engine had reported meanwhile that it drains.
TEST_CASE("a request is not sent to an engine that has begun to drain while the connection was made") {
  Fixture fixture({{answer("r1", "one")}});
  fixture.directory.open = false;
  const Outcome left = fixture.call("r1");
  CHECK(left.failure == routing::CallFailure::not_sent);
  CHECK(fixture.engine.connections == 1);
  CHECK(fixture.engine.requests.empty());
  fixture.directory.open = true;
  CHECK(fixture.call("r1").body == "one");
}

TEST_CASE("an extra answer on a kept-alive connection is discarded") {
  Fixture fixture({{answer("r1", "one") + answer("r1", "one")}, {answer("r2", "two")}});
  CHECK(fixture.call("r1").body == "one");
  CHECK(fixture.call("r2").body == "two");
}

TEST_CASE("an answer to an earlier request is skipped") {
  Fixture fixture({{answer("r1", "one")}, {answer("r1", "late") + answer("r2", "two")}});
  CHECK(fixture.call("r1").body == "one");
  const Outcome second = fixture.call("r2");
  CHECK(second.finished);
  CHECK(second.body == "two");
}

TEST_CASE("an answer that ends early is a failure") {
  std::string early = answer("r1", "whole body");
  early.resize(early.size() - 4);
  Fixture fixture({{early, true}});
  const Outcome outcome = fixture.call("r1");
  CHECK_FALSE(outcome.finished);
  CHECK(outcome.failure == routing::CallFailure::broken);
}

TEST_CASE("a broken chunk is a failure") {
  Fixture fixture(
      {{"HTTP/1.1 200 OK\r\nX-Madderdeck-Request-Id: r1\r\nX-Madderdeck-Response-Stamp: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\nzz\r\n",
        true}});
  CHECK(fixture.call("r1").failure == routing::CallFailure::broken);
}

TEST_CASE("bytes that are not an HTTP answer are a failure") {
  Fixture fixture({{"garbage garbage\r\n\r\n", true}});
  CHECK(fixture.call("r1").failure == routing::CallFailure::broken);
}

TEST_CASE("a 200 answer that lacks the engine's headers or is content-encoded is a failure") {
  Fixture fixture({{"HTTP/1.1 200 OK\r\nX-Madderdeck-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"},
                   {answer("r2", "zipped", "Content-Encoding: gzip\r\n")}});
  CHECK(fixture.call("r1").failure == routing::CallFailure::broken);
  CHECK(fixture.call("r2").failure == routing::CallFailure::broken);
}

TEST_CASE("an engine's statement that it did not run the request is used") {
  Fixture fixture(
      {{"HTTP/1.1 503 Service Unavailable\r\nX-Madderdeck-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
       {"HTTP/1.1 421 Misdirected Request\r\nX-Madderdeck-Request-Id: r2\r\nX-Madderdeck-Instance-Id: i-2\r\n"
        "Content-Length: 0\r\n\r\n"},
       {"HTTP/1.1 500 Internal Server Error\r\nX-Madderdeck-Request-Id: r3\r\nContent-Length: 4\r\n\r\noops"}});
  CHECK(fixture.call("r1").failure == routing::CallFailure::refused);
  CHECK(fixture.call("r2").failure == routing::CallFailure::leaving);
  const Outcome failed = fixture.call("r3");
  REQUIRE(failed.head);
  CHECK(failed.head->status == 500);  // it ran: the answer is forwarded to the caller
  CHECK(failed.body == "oops");
}

TEST_CASE("a connection closed after sending is ambiguous; without a connection the call fails as not sent") {
  Fixture fixture({{"", true}});
  CHECK(fixture.call("r1").failure == routing::CallFailure::broken);
  fixture.directory.address = kNobody;
  CHECK(fixture.call("r2").failure == routing::CallFailure::not_sent);
}

// In a fleet of 70 gateways without faults, 298 of 1,823 batch runs failed as "not sent", since a gateway's share of an
// engine's connections was six and its slots are eight; 189 healthy engines were ejected as unreachable.
TEST_CASE("a call beyond this node's share of connections does not count as a failure of the engine") {
  Fixture fixture({{answer("a", "one")}});
  fixture.directory.share = 0;
  CHECK(fixture.call("a").failure == routing::CallFailure::refused);
  CHECK(fixture.engine.connections == 0);
}
