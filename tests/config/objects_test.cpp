#include "config/objects.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::config;

TEST_CASE("the fields of objects are validated") {
  REQUIRE(succeeded(check_object("template", "t", R"({"pool":"m","max_tokens":5})")));
  const auto detail = [](const std::string& kind, const std::string& json) {
    const Status status = check_object(kind, "name", json);
    REQUIRE_FALSE(succeeded(status));
    REQUIRE(error_of(status).kind == ErrorKind::invalid_argument);
    return error_of(status).detail;
  };
  CHECK(detail("template", "[]").find("body") != std::string::npos);
  CHECK(detail("template", "{}").find("pool: found nothing") != std::string::npos);
  CHECK(detail("template", R"({"pool":"m","max_tokens":0})").find("max_tokens: found 0") != std::string::npos);
  CHECK(detail("template", R"({"pool":"m","colour":1})").find("colour: found an unknown field") != std::string::npos);
  CHECK(detail("template", R"({"pool":"m","repeatable":false})").find("repeatable") != std::string::npos);
  CHECK(detail("tenant", R"({"api_key":5})").find("api_key: found 5") != std::string::npos);
  CHECK(detail("fleet_policy", "{}").find("name") != std::string::npos);
  CHECK(detail("thing", "{}").find("kind") != std::string::npos);
  CHECK(error_of(check_object("tenant", "t", std::string(kMaxObjectBytes + 1, ' '))).kind == ErrorKind::limit_exceeded);
}

TEST_CASE("a template of a non-repeatable service is not available to batch jobs") {
  const auto parsed = parse_template("t", R"({"target":"service","pool":"s","repeatable":false,"batch":true})");
  REQUIRE(succeeded(parsed));
  CHECK_FALSE(value_of(parsed).batch);
}

TEST_CASE("a formatted group map parses to the same map") {
  ledger::GroupMap map;
  map.groups.push_back({3, {{NodeId("a"), DiskId("1")}, {NodeId("b"), DiskId("2")}}});
  const auto parsed = parse_group_map(format_group_map(map));
  REQUIRE(succeeded(parsed));
  CHECK(value_of(parsed).groups[0].epoch == 3);
  CHECK(value_of(parsed).groups[0].replicas == map.groups[0].replicas);
}

TEST_CASE("placeholders of known parameters are replaced, unknown placeholders stay") {
  Tenant tenant;
  tenant.parameters["hospital"] = "Abdali";
  CHECK(fill_parameters("at {hospital}, {ward} {", tenant) == "at Abdali, {ward} {");
}

TEST_CASE("the catalog follows changes of a tenant's key") {
  VersionedTable table;
  Catalog catalog;
  catalog.update(table, table.apply(0, 1, {{{"tenant", "t"}, R"({"api_key":"old"})", 1, false}}));
  REQUIRE(catalog.tenant_by_key("old"));
  catalog.update(table, table.apply(1, 2, {{{"tenant", "t"}, R"({"api_key":"new"})", 2, false}}));
  CHECK_FALSE(catalog.tenant_by_key("old"));
  CHECK(catalog.tenant_by_key("new"));
  catalog.update(table, table.apply(2, 3, {{{"tenant", "t"}, "", 3, true}}));
  CHECK_FALSE(catalog.tenant_by_key("new"));
}

TEST_CASE("a back end's entry with a field of a later version is accepted") {
  const auto parsed =
      parse_machine("engine-1", R"({"target":"model","pool":"lm","slots":4,"of_a_later_version":[1,2]})");
  REQUIRE(succeeded(parsed));
  CHECK(value_of(parsed).slots == 4);
}
