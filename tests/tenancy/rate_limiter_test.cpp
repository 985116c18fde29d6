#include "tenancy/rate_limiter.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "placement/fleet_members.hpp"

using namespace madderdeck;
using namespace madderdeck::tenancy;
using tests::fleet_members;

namespace {

constexpr unsigned kNodes = 50;

/// A node of a fleet, for which the test plays the keeper.
struct limiter_fixture {
  explicit limiter_fixture(Duration up = 10s) {
    limiter.start();
    run_for(up);
  }

  fleet_members fleet{kNodes};
  NoDecisionLog log;
  rate_limiter limiter{fleet.environment, fleet.counters, log, fleet.members, 5s};
  int let_in = 0;
  int refused = 0;
  Duration retry_after{};

  void admit(const configured_rate& rate) {
    limiter.admit("r", rate, [this](const rate_decision& decision) {
      (decision.let_in ? let_in : refused) += 1;
      retry_after = decision.retry_after;
    });
  }
  void run_for(Duration time) { fleet.environment.world.run_for(time); }
  /// @return the last request to a keeper.
  const wire::RateRequestT& query() {
    REQUIRE_FALSE(fleet.environment.sent.empty());
    const wire::RateRequestT* found = fleet.environment.sent.back().body.AsRateRequest();
    REQUIRE(found != nullptr);
    return *found;
  }
  void answer(std::uint32_t granted, double used, double allowed, bool keeper = true) {
    wire::RateReplyT reply;
    reply.request = query().request;
    reply.keeper = keeper;
    reply.granted = granted;
    reply.used = used;
    reply.allowed = allowed;
    reply.retry_us = granted == 0 ? 700'000 : 0;
    limiter.handle(reply);
  }
};

configured_rate rate(const std::string& tenant, double per_second = 20, double burst = 0) {
  return {tenant, 1, {per_second, burst}};
}

/// @return a tenant whose keeper is the fixture's node, if @p here is set, or another node.
std::string tenant_with_keeper(bool here) {
  for (int number = 0;; ++number) {
    limiter_fixture fixture;
    const std::string name = "t" + std::to_string(number);
    fixture.admit(rate(name));
    if ((fixture.let_in == 1) == here) {
      return name;
    }
  }
}

}  // namespace

TEST_CASE("requests of a tenant without a limit are admitted without a keeper") {
  limiter_fixture fixture;
  fixture.admit({"any", 1, {}});
  CHECK(fixture.let_in == 1);
  CHECK(fixture.fleet.environment.sent.empty());
}

TEST_CASE("the keeper's reply decides, and a refusal passes on its retry time") {
  const std::string tenant = tenant_with_keeper(false);
  limiter_fixture fixture;
  fixture.admit(rate(tenant));
  CHECK(fixture.let_in + fixture.refused == 0);
  CHECK(fixture.query().tenant == tenant);
  fixture.answer(1, 3, 105);
  CHECK(fixture.let_in == 1);
  fixture.admit(rate(tenant));
  CHECK(fixture.query().recent == 1);
  fixture.answer(0, 105, 105);
  CHECK(fixture.refused == 1);
  CHECK(fixture.retry_after == 700ms);
}

TEST_CASE("grants beyond one request are used without another exchange, for 250 ms from the time they were requested") {
  const std::string tenant = tenant_with_keeper(false);
  limiter_fixture fixture;
  fixture.admit(rate(tenant));
  fixture.run_for(10ms);
  fixture.answer(3, 3, 105);
  fixture.admit(rate(tenant));
  CHECK(fixture.let_in == 2);
  fixture.run_for(245ms);
  fixture.admit(rate(tenant));
  CHECK(fixture.let_in == 2);  // the grant has expired, so that the keeper is asked again
}

TEST_CASE("an unresponsive keeper delays a request by 40 ms, and is not asked for the next ones") {
  const std::string tenant = tenant_with_keeper(false);
  limiter_fixture fixture;
  fixture.admit(rate(tenant));
  fixture.run_for(39ms);
  CHECK(fixture.let_in == 0);
  fixture.run_for(2ms);
  CHECK(fixture.let_in == 1);
  const std::size_t sent = fixture.fleet.environment.sent.size();
  fixture.admit(rate(tenant));
  CHECK(fixture.let_in == 2);
  CHECK(fixture.fleet.environment.sent.size() == sent);
}

TEST_CASE("a node that reaches no keeper admits requests up to its last share of the usage, and no more") {
  const std::string tenant = tenant_with_keeper(false);
  limiter_fixture fixture;
  // Five of the twenty requests of all nodes came from this node, which gives it a quarter of 105.
  for (int request = 0; request < 5; ++request) {
    fixture.admit(rate(tenant));
    fixture.answer(1, 20, 105);
  }
  fixture.admit(rate(tenant));
  fixture.answer(1, 20, 105);
  for (int request = 0; request < 200; ++request) {
    fixture.admit(rate(tenant));
    fixture.run_for(45ms);
  }
  const int own_share = 105 * 6 / 20;
  // 200 requests in 9 s exceed the share of 5 windows, so that the share of both windows that they cover is used up.
  CHECK(fixture.let_in <= 2 * own_share + 6);
  CHECK(fixture.let_in >= own_share);
  CHECK(fixture.refused > 0);
  CHECK(fixture.retry_after >= 100ms);
}

TEST_CASE("a node that is not the tenant's keeper in its own view grants nothing") {
  const std::string tenant = tenant_with_keeper(false);
  limiter_fixture fixture;
  wire::RateRequestT request;
  request.request = 7;
  request.node = "node-3";
  request.tenant = tenant;
  request.per_second = 20;
  request.wanted = 1;
  fixture.limiter.handle(PeerAddress("node-3:1"), request);
  REQUIRE(fixture.fleet.environment.sent.back().body.AsRateReply() != nullptr);
  CHECK_FALSE(fixture.fleet.environment.sent.back().body.AsRateReply()->keeper);
  CHECK(fixture.fleet.environment.sent.back().body.AsRateReply()->granted == 0);
}

TEST_CASE("a keeper counts the requests of all nodes that ask") {
  const std::string tenant = tenant_with_keeper(true);
  limiter_fixture fixture;
  unsigned granted = 0;
  for (unsigned request = 0; request < 500; ++request) {
    wire::RateRequestT query;
    query.request = request;
    query.node = "node-" + std::to_string(1 + request % (kNodes - 1));
    query.tenant = tenant;
    query.per_second = 20;
    query.wanted = 1;
    fixture.limiter.handle(PeerAddress(query.node + ":1"), query);
    granted += fixture.fleet.environment.sent.back().body.AsRateReply()->granted;
  }
  CHECK(granted == 105);
}

TEST_CASE("a keeper's reply after the timeout is counted and otherwise ignored") {
  const std::string tenant = tenant_with_keeper(false);
  limiter_fixture fixture;
  fixture.admit(rate(tenant));
  const std::uint64_t request = fixture.query().request;
  fixture.run_for(50ms);
  CHECK(fixture.let_in == 1);
  wire::RateReplyT reply;
  reply.request = request;
  reply.keeper = true;
  reply.granted = 1;
  fixture.limiter.handle(reply);
  CHECK(fixture.let_in == 1);
  CHECK(fixture.fleet.counters["tenant_rate_answers_late_total"] == 1);
}

TEST_CASE("a node that has just started retries for a bounded time while the nodes do not know each other") {
  const std::string tenant = tenant_with_keeper(false);
  limiter_fixture fixture(0s);
  fixture.admit(rate(tenant));
  fixture.answer(0, 0, 0, false);
  CHECK(fixture.let_in + fixture.refused == 0);
  fixture.run_for(65ms);
  CHECK(fixture.fleet.environment.sent_of(wire::Message::RateRequest) == 2);
  fixture.answer(1, 1, 105);
  CHECK(fixture.let_in == 1);
  // Without any reply, the request is decided after the last retry.
  fixture.admit(rate(tenant));
  fixture.run_for(900ms);
  CHECK(fixture.let_in + fixture.refused == 2);
}
