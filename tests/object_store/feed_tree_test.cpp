#include "object_store/feed_tree.hpp"

#include <catch2/catch.hpp>

#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::object_store;

namespace {

constexpr unsigned kZones = 5;
constexpr feed_sizes kSizes{2, 2, 24};

wire::MemberT controller(unsigned number) {
  wire::MemberT member;
  member.id = "node-" + std::to_string(number);
  member.peer_address = member.id + ":1";
  member.zone = "z" + std::to_string(number % kZones);
  member.roles = static_cast<std::uint32_t>(membership::Role::controller);
  member.incarnation = 1;
  return member;
}

/// The view that node @p self has of a fleet of @p count nodes.
struct view {
  view(unsigned self, unsigned count) : members(environment, counters, controller(self), {}, hooks()) {
    wire::MemberSyncT sync;
    for (unsigned number = 0; number < count; ++number) {
      if (number != self) {
        sync.members.push_back(std::make_unique<wire::MemberT>(controller(number)));
      }
    }
    members.handle(PeerAddress("node-0:1"), sync);
  }
  static membership::Hooks hooks() {
    membership::Hooks hooks;
    hooks.local_revisions = [] { return membership::TableRevisions{}; };
    hooks.on_peer_revisions = [](const PeerAddress&, const membership::TableRevisions&) {};
    return hooks;
  }

  tests::TestEnvironment environment;
  Counters counters;
  membership::Membership members;
  feed_tree feeds{members, kSizes};
};

}  // namespace

TEST_CASE("every node of a large fleet that does not read the store is fed by another one, at any fleet size") {
  for (const unsigned count : {60U, 300U}) {
    std::map<std::string, unsigned> told;
    unsigned readers = 0;
    std::size_t most_fed = 0;
    for (unsigned self = 0; self < count; ++self) {
      const view one(self, count);
      CHECK_FALSE(one.feeds.all_read());
      readers += one.feeds.is_reader() ? 1 : 0;
      told.try_emplace(controller(self).peer_address, one.feeds.is_reader() ? 1 : 0);
      for (const PeerAddress& fed : one.feeds.fed_from_here()) {
        ++told[fed.str()];
      }
      most_fed = std::max(most_fed, one.feeds.fed_from_here().size());
    }
    CHECK(readers == kSizes.readers);
    CHECK(told.size() == count);
    for (const auto& [address, times] : told) {
      CHECK(times >= 1);
      CHECK(times <= kSizes.readers);  // each reader feeds the relays
    }
    // A relay feeds half of its zone, a reader also the relays of other zones; a single reader feeds its whole zone.
    CHECK(most_fed <= count / kZones + kZones * kSizes.relays);
  }
}

TEST_CASE("a rank is the number of controllers that rank before the node") {
  constexpr unsigned kCount = 40;
  std::set<std::size_t> ranks;
  for (unsigned self = 0; self < kCount; ++self) {
    ranks.insert(view(self, kCount).feeds.rank_in_fleet());
  }
  CHECK(ranks.size() == kCount);
  CHECK(*ranks.rbegin() == kCount - 1);
}

TEST_CASE("a leaving node is neither a reader nor a maintainer") {
  view one(0, 4);
  CHECK(one.feeds.all_read());
  one.members.leave();
  CHECK(one.feeds.rank_in_fleet() == feed_tree::kNoRank);
  CHECK_FALSE(one.feeds.is_reader());
}
