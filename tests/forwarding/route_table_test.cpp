#include "forwarding/route_table.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::forwarding;

namespace {
RouteTable sample() {
  RouteTable table;
  table.version = 7;
  Route outer;
  outer.name = "outer";
  outer.host = "a.example";
  outer.path_prefix = "/x/";
  outer.pools = {{"pool-1", 90}, {"pool-2", 10}};
  outer.timeout_ms = 8000;
  Route inner = outer;
  inner.name = "inner";
  inner.path_prefix = "/x/y/";
  inner.kind = RouteKind::stream;
  inner.resumable = true;
  table.routes = {outer, inner};
  table.pools = {{"pool-1", 300}};
  table.limits.max_body_bytes = 1234;
  return table;
}
}  // namespace

TEST_CASE("a path matches the route of its host with the longest prefix") {
  const RouteTable table = sample();
  REQUIRE(table.match("a.example", "/x/y/z") != nullptr);
  CHECK(table.match("a.example", "/x/y/z")->name == "inner");
  CHECK(table.match("a.example", "/x/q")->name == "outer");
  CHECK(table.match("a.example", "/xy/") == nullptr);
  CHECK(table.match("b.example", "/x/q") == nullptr);
}

TEST_CASE("only repeatable requests and resumable streams may run more than once") {
  Route route;
  route.kind = RouteKind::unrepeatable;
  CHECK_FALSE(route.may_repeat());
  route.kind = RouteKind::stream;
  CHECK_FALSE(route.may_repeat());
  route.resumable = true;
  CHECK(route.may_repeat());
  route.kind = RouteKind::repeatable;
  CHECK(route.may_repeat());
}

TEST_CASE("a route table is unchanged after formatting and parsing") {
  const auto parsed = parse_route_table(format_route_table(sample()));
  REQUIRE(succeeded(parsed));
  const RouteTable& table = value_of(parsed);
  CHECK(table.version == 7);
  CHECK(table.routes.at(1).kind == RouteKind::stream);
  CHECK(table.routes.at(1).resumable);
  CHECK(table.routes.at(0).pools.at(1).weight == 10);
  CHECK(table.find_pool("pool-1")->max_connections == 300);
  CHECK(table.limits.max_body_bytes == 1234);
}

TEST_CASE("parsing an invalid route table returns invalid_argument") {
  for (const char* text : {"", "[]", "{}", R"({"routes":[{"name":"r"}],"pools":[],"limits":{}})",
                           R"({"routes":[],"pools":[],"limits":7})"}) {
    const auto parsed = parse_route_table(text);
    REQUIRE_FALSE(succeeded(parsed));
    CHECK(error_of(parsed).kind == ErrorKind::invalid_argument);
  }
}
