#include "gateway/problem.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::gateway;

TEST_CASE("a problem document of a refusal states whether the request ran and when to retry") {
  const auto response = problem(routing::Refusal{{ErrorKind::unavailable, "busy"}, routing::Ran::no, 1200ms});
  CHECK(response.status == 503);
  CHECK(response.content_type == "application/problem+json");
  CHECK(net::find_header(response.headers, "retry-after") == "2");
  CHECK(response.body.find("\"ran\":\"no\"") != std::string::npos);
  CHECK(problem(Error{ErrorKind::conflict, ""}).status == 409);
}
