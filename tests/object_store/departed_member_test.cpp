/// Disks that are emptied and taken away while others that look after the groups hear of it late, or in another order.
#include <catch2/catch.hpp>

#include "support/departure_site.hpp"

using namespace madderdeck;
using namespace madderdeck::tests;

namespace {

constexpr std::uint64_t kSeeds = 6;     ///< Of each order: departing disk, moments and network delays differ.
constexpr Duration kWithheld = 1500ms;  ///< A member that is silent for that long is suspected, not yet dead.
constexpr Duration kGoneWithin = 1s;    ///< After a node says that its disk is emptied.
constexpr Duration kLostWithin = 5s;    ///< The next disk, after that.
constexpr Duration kForgotten = 20s;    ///< Epochs list no former member by then.

Duration drawn(departure_site& site, Duration most) {
  return Duration(static_cast<Duration::rep>(site.world.random.below(static_cast<std::uint64_t>(most.count()))));
}

/// @return another of the first three nodes, which have a disk.
unsigned another(departure_site& site, unsigned disk) {
  return (disk + 1 + static_cast<unsigned>(site.world.random.below(2))) % 3;
}

/// Plays @p order with several seeds and checks each.
void play(departure_site::shape shape, const std::function<void(departure_site&)>& order) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    shape.seed = seed;
    departure_site site(shape);
    site.found();
    order(site);
    site.recover();
    site.judge();
    INFO("seed " << seed << "\n" << site.account());
    CHECK(site.faults().empty());
  }
}

unsigned departing_disk(departure_site& site) { return static_cast<unsigned>(site.world.random.below(3)); }

/// Waits until @p disk says that it is emptied, and takes it away.
void empty_and_depart(departure_site& site, unsigned disk) {
  REQUIRE(site.wait_until([&] { return site.said_completed(disk); }));
  site.wait(drawn(site, kGoneWithin));
  site.depart(disk);
}

void lose_another(departure_site& site, unsigned departed) {
  site.wait(drawn(site, kLostWithin));
  site.fleet.lose_disk(another(site, departed));
}

}  // namespace

// The order of events of jobs that could not be read: the maintainer put the leaving disk in again.
TEST_CASE("a maintainer that hears of the epoch before it hears who leaves does not name the emptied disk again") {
  play({}, [](departure_site& site) {
    const unsigned disk = departing_disk(site);
    const unsigned late = site.maintainers().at(site.world.random.below(2));
    site.withhold_word(late, disk);
    site.fleet.retire_disk(disk);
    empty_and_depart(site, disk);
    site.wait(kWithheld);
    site.tell_words(late);
    lose_another(site, disk);
  });
}

TEST_CASE("a maintainer that hears who leaves before it hears of the epoch does not name the emptied disk again") {
  play({}, [](departure_site& site) {
    const unsigned disk = departing_disk(site);
    const unsigned late = site.maintainers().at(site.world.random.below(2));
    site.withhold_epochs(late);
    site.fleet.retire_disk(disk);
    empty_and_depart(site, disk);
    site.wait(kWithheld);
    site.tell_epochs(late);
    lose_another(site, disk);
  });
}

// It is turned away by the store, too, so that only the group's members tell it of the epoch.
TEST_CASE("a maintainer that the store turns away does not name a disk that it has not heard is emptied") {
  play({}, [](departure_site& site) {
    const unsigned disk = departing_disk(site);
    const unsigned late = site.maintainers().at(site.world.random.below(2));
    site.fleet.conditions.platform_cuts.insert(late);
    site.withhold_word(late, disk);
    site.fleet.retire_disk(disk);
    empty_and_depart(site, disk);
    site.wait(kWithheld);
    site.tell_words(late);
    lose_another(site, disk);
  });
}

TEST_CASE("a maintainer that was cut off while a disk was emptied does not name it again") {
  play({}, [](departure_site& site) {
    const unsigned disk = departing_disk(site);
    const unsigned late = site.maintainers().at(site.world.random.below(2));
    site.cut_off(late);
    site.fleet.retire_disk(disk);
    empty_and_depart(site, disk);
    site.withhold_word(late, disk);
    site.reconnect(late);
    site.wait(kWithheld);
    site.tell_words(late);
    lose_another(site, disk);
  });
}

TEST_CASE("a maintainer that thaws right after an emptied disk has gone does not name it again") {
  play({}, [](departure_site& site) {
    const unsigned disk = departing_disk(site);
    const unsigned late = site.maintainers().at(site.world.random.below(2));
    site.freeze(late);
    site.fleet.retire_disk(disk);
    empty_and_depart(site, disk);
    site.wait(drawn(site, 2s));
    site.withhold_word(late, disk);
    site.thaw(late);
    site.wait(kWithheld);
    site.tell_words(late);
    lose_another(site, disk);
  });
}

// No epoch lists the departed disk any more, so that nothing tells the maintainer that it has left.
TEST_CASE("a maintainer that thaws when no epoch lists the emptied disk any more does not name it again") {
  play({}, [](departure_site& site) {
    const unsigned disk = departing_disk(site);
    const unsigned late = site.maintainers().at(site.world.random.below(2));
    site.freeze(late);
    site.fleet.retire_disk(disk);
    empty_and_depart(site, disk);
    REQUIRE(site.wait_until([&] { return !site.is_named(disk); }, kForgotten));
    site.withhold_word(late, disk);
    site.thaw(late);
    site.wait(kWithheld);
    site.tell_words(late);
    lose_another(site, disk);
  });
}

// The same without any message withheld: what came while it was frozen is lost, all else arrives.
TEST_CASE("a maintainer that thaws long after an emptied disk has gone does not name it again") {
  play({}, [](departure_site& site) {
    const unsigned disk = departing_disk(site);
    const unsigned late = site.maintainers().at(site.world.random.below(2));
    site.freeze(late);
    site.fleet.retire_disk(disk);
    empty_and_depart(site, disk);
    REQUIRE(site.wait_until([&] { return !site.is_named(disk); }, kForgotten));
    site.thaw(late);
    lose_another(site, disk);
  });
}

// Its peer was frozen all the time and tells what it knew before.
TEST_CASE("a maintainer that starts with the members of a peer that is behind does not name the emptied disk again") {
  play({}, [](departure_site& site) {
    const unsigned disk = departing_disk(site);
    const auto maintainers = site.maintainers();
    const unsigned started = maintainers.at(0);
    const unsigned behind = maintainers.at(1);
    site.freeze(behind);
    site.fleet.retire_disk(disk);
    empty_and_depart(site, disk);
    REQUIRE(site.wait_until([&] { return !site.is_named(disk); }, kForgotten));
    site.fleet.crash_node(started);
    site.fleet.set_seeds_of(started, {behind});
    site.withhold_word(behind, disk);
    site.cut_off(started);
    site.thaw(behind);  // reaches the one that starts as well
    site.fleet.start_node(started);
    site.wait(300ms);
    site.reconnect(started);
    for (unsigned node = 0; node < site.fleet.nodes.size(); ++node) {
      if (node != behind) {
        site.hold(started, [behind](unsigned from, const wire::MessageUnion& message) {
          const bool of_members = message.type == wire::Message::Ping || message.type == wire::Message::Ack ||
                                  message.type == wire::Message::MemberSync;
          return of_members && from != behind;
        });
      }
    }
    site.wait(kWithheld);
    site.release(started);
    site.tell_words(behind);
    lose_another(site, disk);
  });
}

// A maintainer that does not know the successor takes it for missing, and the departed disk for its substitute.
TEST_CASE("a maintainer that thaws and knows no successor does not give its place to the emptied disk") {
  play({}, [](departure_site& site) {
    const unsigned disk = departing_disk(site);
    const unsigned late = site.maintainers().at(site.world.random.below(2));
    site.freeze(late);
    const unsigned successor = site.add_spare();
    site.wait(2s);
    site.fleet.retire_disk(disk);
    empty_and_depart(site, disk);
    REQUIRE(site.wait_until([&] { return !site.is_named(disk); }, kForgotten));
    site.withhold_word(late, disk);
    site.withhold_word(late, successor);
    site.thaw(late);
    site.wait(kWithheld);
    site.tell_words(late);
    lose_another(site, disk);
  });
}

// The spare disk was never a member, so that it says at once that it is emptied.
TEST_CASE("a spare disk that is emptied does not take the place of a member that is to be emptied, too") {
  play({}, [](departure_site& site) {
    const unsigned spare = site.add_spare();
    const unsigned disk = departing_disk(site);
    site.wait(3s);
    REQUIRE_FALSE(site.is_named(spare));
    for (const unsigned maintainer : site.maintainers()) {
      site.withhold_word(maintainer, spare);
    }
    site.fleet.retire_disk(spare);
    site.fleet.retire_disk(disk);
    empty_and_depart(site, spare);
    site.wait(500ms);
    for (const unsigned maintainer : site.maintainers()) {
      site.tell_words(maintainer);
    }
    lose_another(site, disk);
  });
}

// All three held what was confirmed; the frozen one is back in the end.
TEST_CASE("a spare disk that is emptied does not take the place of a silent member") {
  play({}, [](departure_site& site) {
    const unsigned spare = site.add_spare();
    const unsigned silent = departing_disk(site);
    site.wait(3s);
    REQUIRE_FALSE(site.is_named(spare));
    site.freeze(silent);
    site.wait(1800ms);
    for (const unsigned maintainer : site.maintainers()) {
      site.withhold_word(maintainer, spare);
    }
    site.fleet.retire_disk(spare);
    empty_and_depart(site, spare);
    site.wait(kWithheld);
    lose_another(site, silent);
    site.wait(3s);
  });
}

// No view is old: the disk says that it is emptied between the question to the members and their votes.
TEST_CASE("a spare disk does not say that it is emptied while a decision that names it is under way") {
  play({}, [](departure_site& site) {
    const unsigned spare = site.add_spare();
    const unsigned disk = departing_disk(site);
    site.wait(3s);
    REQUIRE_FALSE(site.is_named(spare));
    bool voting = false;
    for (unsigned member = 0; member < 3; ++member) {
      site.hold(member, [&voting](unsigned, const wire::MessageUnion& message) {
        const auto* accept = message.AsAccept();
        const bool decision = accept != nullptr && ledger::is_decision(accept->key);
        voting = voting || decision;
        return decision;
      });
    }
    site.fleet.retire_disk(disk);
    REQUIRE(site.wait_until([&] { return voting; }));
    site.fleet.retire_disk(spare);
    site.wait(50ms);
    for (unsigned member = 0; member < 3; ++member) {
      site.release(member);
    }
    empty_and_depart(site, spare);
    lose_another(site, disk);
  });
}

// The last copy that it waits for is told just as the other two decide to take it up again beside a silent one.
TEST_CASE("a leaving disk does not say that it is emptied while a decision takes it up again") {
  play({}, [](departure_site& site) {
    const unsigned disk = departing_disk(site);
    const unsigned silent = another(site, disk);
    const unsigned stays = 3 - disk - silent;
    site.hold(disk, [stays](unsigned from, const wire::MessageUnion& message) {
      return from == stays && message.type == wire::Message::CopyStatus;
    });
    site.fleet.retire_disk(disk);
    REQUIRE(site.wait_until([&] { return site.is_named(disk) && !site.is_member(disk); }));
    site.wait(1s);
    site.fleet.crash_node(silent);
    site.hold(disk, [stays](unsigned from, const wire::MessageUnion& message) {
      const bool of_members = message.type == wire::Message::Ping || message.type == wire::Message::Ack;
      return (from == stays && message.type == wire::Message::CopyStatus) || !of_members;
    });
    const bool taken_up = site.wait_until([&] { return site.is_member(disk); }, 10s);
    CAPTURE(taken_up);
    site.release(disk);
    site.wait(500ms);
    if (site.said_completed(disk)) {
      site.depart(disk);
    }
    site.wait(drawn(site, kLostWithin));
  });
}
