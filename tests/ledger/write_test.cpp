#include <catch2/catch.hpp>

#include "ledger/client.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::TestEnvironment;

namespace {

/// A client whose replicas stay silent.
struct WriteFixture {
  WriteFixture() {
    client.on_group_map(
        {{{1, {{NodeId("a"), DiskId("da")}, {NodeId("b"), DiskId("db")}, {NodeId("c"), DiskId("dc")}}}}});
  }
  std::size_t accepts() const { return environment.sent_of(wire::Message::Accept); }
  std::size_t prepares() const { return environment.sent_of(wire::Message::Prepare); }

  TestEnvironment environment;
  Counters counters;
  Client client{environment, counters, [](const NodeId& node) { return std::optional(PeerAddress(node.str())); }};
};

}  // namespace

TEST_CASE("a large value is given the time that its bytes take before it is sent again") {
  // Day trouble-2 of qhs-amman-grown: jobs of 350 KB were sent again every 400 ms over 30 Mbit/s, and never arrived.
  WriteFixture fixture;
  const wire::Bytes large(350 * 1024);
  fixture.client.write_exclusive("k/1", large, [](const Result<OptionalValue>&) {});
  CHECK(fixture.accepts() == 3);
  fixture.environment.world.run_for(1200ms);
  CHECK(fixture.prepares() == 0);
  fixture.environment.world.run_for(400ms);
  CHECK(fixture.prepares() == 3);
}

TEST_CASE("a small value is sent again soon") {
  WriteFixture fixture;
  fixture.client.write_exclusive("k/1", wire::Bytes(100), [](const Result<OptionalValue>&) {});
  fixture.environment.world.run_for(450ms);
  CHECK(fixture.prepares() == 3);
}
