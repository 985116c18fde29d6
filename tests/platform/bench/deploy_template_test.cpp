#include "deploy_template.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::users_platform::bench;

namespace {

std::string fill(std::string_view text) {
  const auto fields = boost::json::parse(R"({"name":"n1","ports":[7660,7675],"seeds":["a:1","b:2"],
      "limits":{"share":"0.25"},"bounds":{"apply_ms":4000},"closed":false,"zones":{"x":"r","y":"s"}})");
  return value_of(fill_template(text, fields.as_object()));
}

}  // namespace

TEST_CASE("gaps of a template take single values, entries of lists, fields of tables and JSON") {
  CHECK(fill("id={{name}} {{ports.1}} {{limits.share}} {{ports}} {{ports|json}}") ==
        "id=n1 7675 0.25 7660,7675 [7660,7675]");
  CHECK(fill("[{{missing}}{{limits.none}}]") == "[]");
}

TEST_CASE("sections of a template come once for each entry, once for a value, and not without one") {
  CHECK(fill("[{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}]") == "[\"a:1\",\"b:2\"]");
  CHECK(fill("{{#bounds.apply_ms}}apply = {{.}}{{/bounds.apply_ms}}") == "apply = 4000");
  CHECK(fill("{{#bounds.none}}apply = {{.}}{{/bounds.none}}{{^bounds.none}}none{{/bounds.none}}") == "none");
  CHECK(fill("{{#closed}}yes{{/closed}}{{^closed}}no{{/closed}}") == "no");
  CHECK(fill("{{#zones}}{{@}}={{.}}{{,}}{{/zones}} {{#zones}}{{name}}{{/zones}}") == "x=r,y=s n1n1");
}

TEST_CASE("a template with an open section or gap is a typed error") {
  for (const char* text : {"{{#seeds}}", "{{name"}) {
    const auto filled = fill_template(text, boost::json::object());
    REQUIRE_FALSE(succeeded(filled));
    CHECK(error_of(filled).kind == ErrorKind::invalid_argument);
  }
}
