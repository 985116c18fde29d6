#include "node/caller_connections.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck::node;

// Guards against callers that take the last descriptors, so that no engine, peer or file can be opened.
TEST_CASE("callers leave descriptors for engines, peers and files") {
  CHECK(caller_connections(3'000, 0) == 3'000);
  CHECK(caller_connections(3'000, 4'100) == 3'000);
  CHECK(caller_connections(3'000, 1'200) == 800);
  CHECK(caller_connections(3'000, 256) == 44);
  CHECK(caller_connections(3'000, 20) == kLeastCallers);
  CHECK(caller_connections(4, 20) == 4);
}
