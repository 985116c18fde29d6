/// Callers' requests through the adapter and a complete node: keys, tenants' names, requests that arrive before the
/// configuration.
#include "ingress.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "forwarding/route_table.hpp"
#include "net/http_server.hpp"
#include "node/node_core.hpp"
#include "support/fake_backends.hpp"
#include "support/table_word.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::users_platform;

namespace {

class no_store : public object_store::PlatformClient {
 public:
  void watch_objects(std::uint64_t, Duration, object_store::ChangesDone) override {}
  void watch_machines(std::uint64_t, Duration, object_store::ChangesDone) override {}
  void get(const config::EntryKey&, object_store::GetDone) override {}
  void put(const object_store::PutRequest&, object_store::PutDone) override {}
};

/// Records the requests that are sent to engines.
class kept_sends : public forwarding::Upstream {
 public:
  routing::CallId start(forwarding::UpstreamCall call, forwarding::UpstreamEvents /*events*/) override {
    calls.push_back(std::move(call));
    return calls.size();
  }
  void cancel(routing::CallId) override {}
  void pause(routing::CallId) override {}
  void resume(routing::CallId) override {}

  std::vector<forwarding::UpstreamCall> calls;
};

/// An exchange whose response the test reads.
class kept_exchange : public net::Exchange {
 public:
  explicit kept_exchange(net::HttpRequest request) : request_(std::move(request)) {}

  const net::HttpRequest& request() const override { return request_; }
  void respond(net::HttpResponse response) override { answer = std::move(response); }
  std::string take_body() override { return std::move(request_.body); }
  void start_stream(unsigned, const std::string&, const net::Headers&) override {}
  void write(std::string_view) override {}
  void finish() override {}
  void abort() override {}
  std::size_t backlog() const override { return 0; }
  void on_backlog_gone(std::function<void()>) override {}
  bool caller_has_left() const override { return has_left; }
  void on_caller_gone(std::function<void()> hook) override { leave = std::move(hook); }
  void read_body(net::BodyHandler) override {}

  std::optional<net::HttpResponse> answer;
  std::function<void()> leave;
  bool has_left = false;

 private:
  net::HttpRequest request_;
};

struct ingress_fixture {
  explicit ingress_fixture(node::NodeOptions options = node_options())
      : core({environment, counters, nullptr, backends, store, log, &upstream}, std::move(options)) {
    core.start();
  }

  static node::NodeOptions node_options() {
    node::NodeOptions options;
    options.self.id = "n1";
    options.self.peer_address = "10.0.0.1:1";
    options.self.zone = "z";
    options.self.roles = static_cast<std::uint32_t>(membership::Role::gateway);
    options.guards.registry.need_fresh_reports = false;
    return options;
  }

  void configure(const std::string& key = "key", double rate = 0) {
    forwarding::RouteTable table;
    table.version = ++version;
    forwarding::Route route;
    route.name = "r";
    route.host = "h";
    route.path_prefix = "/a/";
    route.pools.push_back({"p", 1});
    table.routes.push_back(route);
    route.name = "open";
    route.path_prefix = "/open/";
    route.needs_no_key = true;
    table.routes.push_back(route);
    route.name = "jobs";
    route.path_prefix = "/jobs/";
    route.needs_no_key = false;
    route.kind = forwarding::RouteKind::batch;
    table.routes.push_back(route);
    table.tenants = value_of(tenancy::tenant_directory::build({tenancy::tenant{"clinic", {key}, 3, {rate, 0}}}));
    core.objects.apply_from_source(core.objects.table().revision(), core.objects.table().revision() + 1,
                                   {{{forwarding::kRouteTableKind, "main"},
                                     forwarding::format_route_table(table),
                                     core.objects.table().revision() + 1}});
    config::Machine machine;
    machine.id = BackendId("e1");
    machine.address = "10.0.0.9:80";
    machine.pools = {"p"};
    machine.zone = "z";
    machine.slots = 64;
    core.machines.apply_from_source(0, 1, {{{config::kMachineKind, "e1"}, config::format_machine(machine), 1}});
  }
  std::shared_ptr<kept_exchange> send(const std::string& target, net::Headers headers, const char* method = "POST") {
    headers.push_back({"Host", "h"});
    headers.push_back({"X-Madderdeck-Request-Id", "id"});
    auto exchange = std::make_shared<kept_exchange>(net::HttpRequest{method, target, headers, "body"});
    if (auto early = ingress.answer_head(exchange->request())) {
      exchange->respond(std::move(*early));
    } else {
      ingress.handle(exchange);
    }
    return exchange;
  }
  unsigned status(const std::string& target, net::Headers headers) {
    const auto exchange = send(target, std::move(headers));
    return exchange->answer ? exchange->answer->status : 0;
  }

  tests::TestEnvironment environment;
  Counters counters;
  NoDecisionLog log;
  tests::FakeBackends backends;
  no_store store;
  kept_sends upstream;
  node::NodeCore core;
  gateway::ApiContext context{core, "", [] {}};
  Ingress ingress{context};
  std::uint64_t version = 0;
};

const net::Headers kKnown{{"x-api-key", "key"}};
const net::Headers kUnknown{{"X-Api-Key", "other"}};

}  // namespace

TEST_CASE("a request with a known key is served as its tenant, whatever tenant the caller states") {
  ingress_fixture fixture;
  fixture.configure();
  CHECK(fixture.status("/a/1", {{"x-api-key", "key"}, {"X-Madderdeck-Tenant", "forged"}}) == 0);
  REQUIRE(fixture.upstream.calls.size() == 1);
  CHECK(fixture.upstream.calls[0].request->tenant == "clinic");
  CHECK(fixture.upstream.calls[0].request->tenant_priority == 3);
}

TEST_CASE("unknown, missing and ambiguous keys are refused before anything runs, on every kind of call") {
  ingress_fixture fixture;
  fixture.configure();
  for (const char* target : {"/a/1", "/jobs/1", "/nowhere/", "/open/1"}) {
    CHECK(fixture.status(target, kUnknown) == 401);
  }
  for (const char* target : {"/a/1", "/jobs/1", "/nowhere/"}) {
    CHECK(fixture.status(target, {}) == 401);
  }
  CHECK(fixture.status("/a/1", {{"X-Api-Key", "key"}, {"X-Api-Key", "other"}}) == 401);
  CHECK(fixture.send("/lots/7", kUnknown, "GET")->answer->status == 401);
  CHECK(fixture.send("/lots/7", kUnknown, "DELETE")->answer->status == 401);
  CHECK(fixture.send("/items/7?id=1", {}, "GET")->answer->status == 401);
  CHECK(fixture.upstream.calls.empty());
  CHECK(fixture.status("/nowhere/", kKnown) == 404);
}

TEST_CASE("a public route serves callers without a key, without a tenant") {
  ingress_fixture fixture;
  fixture.configure();
  CHECK(fixture.status("/open/1", {}) == 0);
  REQUIRE(fixture.upstream.calls.size() == 1);
  CHECK(fixture.upstream.calls[0].request->tenant.empty());
}

TEST_CASE("a removed key is refused from that configuration version on, a new one is served") {
  ingress_fixture fixture;
  fixture.configure("key");
  fixture.configure("next");
  CHECK(fixture.status("/a/1", kKnown) == 401);
  CHECK(fixture.status("/a/1", {{"X-Api-Key", "next"}}) == 0);
  CHECK(fixture.upstream.calls.size() == 1);
}

TEST_CASE("requests before the configuration wait for it, and get a retry delay if it does not arrive") {
  ingress_fixture fixture;
  const auto early = fixture.send("/a/1", kKnown);
  CHECK_FALSE(early->answer);
  fixture.environment.world.run_for(300ms);
  fixture.configure();
  CHECK_FALSE(early->answer);
  CHECK(fixture.upstream.calls.size() == 1);

  ingress_fixture without;
  const auto given_up = without.send("/a/1", kKnown);
  const auto left = without.send("/a/2", kKnown);
  left->leave();
  without.environment.world.run_for(node::NodeCore::kConfigurationTimeout + 1ms);
  REQUIRE(given_up->answer);
  CHECK(given_up->answer->status == 503);
  CHECK_FALSE(net::find_header(given_up->answer->headers, "Retry-After").empty());
  CHECK_FALSE(left->answer);
}

TEST_CASE("a tenant beyond its rate limit gets 429 with a retry delay") {
  ingress_fixture fixture;
  fixture.configure("key", 4);  // 21 in a window and a grant's time
  fixture.environment.world.run_for(5s);
  unsigned refused = 0;
  for (int request = 0; request < 30; ++request) {
    const auto exchange = fixture.send("/a/1", kKnown);
    if (exchange->answer) {
      ++refused;
      CHECK(exchange->answer->status == 429);
      CHECK_FALSE(net::find_header(exchange->answer->headers, "Retry-After").empty());
    }
  }
  CHECK(refused == 9);
}

TEST_CASE("if the settings limit the age of keys, requests with older keys are refused") {
  node::NodeOptions closed = ingress_fixture::node_options();
  closed.key_trust = {5s, true};
  ingress_fixture fixture(closed);
  fixture.configure();
  hear_and_confirm(fixture.environment, fixture.core.objects, PeerAddress("10.0.0.2:1"), 1, 0);
  CHECK(fixture.status("/a/1", kKnown) == 0);
  fixture.environment.world.run_for(6s);
  CHECK(fixture.status("/a/1", kKnown) == 503);
  hear_and_confirm(fixture.environment, fixture.core.objects, PeerAddress("10.0.0.2:1"), 1, 100);
  CHECK(fixture.status("/a/1", kKnown) == 0);
  ingress_fixture open;
  open.configure();
  open.environment.world.run_for(60s);
  CHECK(open.status("/a/1", kKnown) == 0);
}

TEST_CASE("a quarantined request gets a failure that neither promises that it did not run nor has a retry delay") {
  const net::HttpResponse response = users_platform::refusal_response(
      {Error{ErrorKind::quarantined, "back ends ended"}, routing::Ran::no, Duration::zero()});
  CHECK(response.status == 502);
  CHECK(net::find_header(response.headers, "Retry-After").empty());
  CHECK(response.body.find("urn:madderdeck:error:quarantined") != std::string::npos);
}

// Callers sent refused jobs again, 976 times in one run; each job (2.6 MB) was read, parsed and decoded before it was
// refused, by nodes that had a third of a core for all their callers.
TEST_CASE("a batch job that cannot be stored before its deadline is refused by its head, with a retry delay") {
  ingress_fixture fixture;
  fixture.configure();
  net::Headers headers = kKnown;
  headers.push_back({"Content-Length", std::to_string(2 * fixture.core.submissions.window_bytes())});
  const auto early = [&](const std::string& target, const char* method = "POST") {
    net::Headers with_host = headers;
    with_host.push_back({"Host", "h"});
    return fixture.ingress.answer_head(net::HttpRequest{method, target, with_host, ""});
  };
  CHECK_FALSE(early("/jobs/1"));  // a job without others in progress may always be written
  REQUIRE(fixture.core.submissions.enter(1));
  const auto refused = early("/jobs/1");
  REQUIRE(refused);
  CHECK(refused->status == 503);
  CHECK_FALSE(net::find_header(refused->headers, "Retry-After").empty());
  CHECK_FALSE(early("/a/1"));
  headers[1].value = "1000";
  CHECK_FALSE(early("/jobs/1"));
}

// A node that had stood still began a run for a caller that had closed its connection and come back at another node.
TEST_CASE("no run begins for a caller that left while its request was unread") {
  constexpr char kEntry[] = "127.91.5.2:9341";
  constexpr std::chrono::milliseconds kReadWithin{200};
  using boost::asio::ip::tcp;
  ingress_fixture fixture;
  fixture.configure();
  boost::asio::io_context io;
  net::HttpServer server(
      io, fixture.counters,
      [&fixture](const std::shared_ptr<net::Exchange>& exchange) { fixture.ingress.handle(exchange); }, {});
  REQUIRE(succeeded(server.listen(kEntry)));
  tcp::socket caller(io);
  caller.connect(tcp::endpoint(boost::asio::ip::make_address("127.91.5.2"), 9341));
  boost::asio::write(caller, boost::asio::buffer(std::string("POST /open/1 HTTP/1.1\r\nHost: h\r\n"
                                                             "X-Madderdeck-Request-Id: r1\r\n"
                                                             "Content-Length: 4\r\n\r\nbody")));
  SECTION("by an orderly close") {}
  SECTION("by a reset") { caller.set_option(boost::asio::socket_base::linger(true, 0)); }
  caller.close();
  io.run_for(kReadWithin);
  CHECK(fixture.upstream.calls.empty());
}

TEST_CASE("a batch job is not taken from a caller that left while it was unread") {
  ingress_fixture fixture;
  fixture.configure();
  net::Headers headers = kKnown;
  headers.push_back({"Host", "h"});
  headers.push_back({"X-Madderdeck-Request-Id", "job"});
  auto exchange = std::make_shared<kept_exchange>(net::HttpRequest{"POST", "/jobs/1", headers, R"({"items":[]})"});
  exchange->has_left = true;
  fixture.ingress.handle(exchange);
  CHECK_FALSE(exchange->answer);
  CHECK(fixture.counters["jobs_of_left_callers_total"] == 1);
}

// Guards against requests that are taken late in a planned stop, passed on, and cut off at its end.
TEST_CASE("a request whose body ends late in a planned stop is passed on and cut off") {
  ingress_fixture fixture;
  fixture.configure();
  const std::vector<std::string> targets = {"/a/1", "/jobs/"};
  for (const std::string& target : targets) {
    const std::size_t sent = fixture.upstream.calls.size();
    fixture.core.drain();
    fixture.core.stop_taking_work(fixture.environment.now() + 4400ms);
    net::Headers headers = kKnown;
    headers.push_back({"Host", "h"});
    headers.push_back({"X-Madderdeck-Request-Id", "late"});
    const auto exchange = std::make_shared<kept_exchange>(net::HttpRequest{"POST", target, headers, "{}"});
    fixture.ingress.handle(exchange);
    fixture.environment.world.run_for(10ms);
    INFO(target);
    REQUIRE(exchange->answer);
    CHECK(exchange->answer->status == 503);
    CHECK_FALSE(net::find_header(exchange->answer->headers, "Retry-After").empty());
    CHECK(fixture.upstream.calls.size() == sent);
  }
}
