/// Machines that are emptied and taken away while others believe them to be there, and what decided epochs name.
#include <catch2/catch.hpp>

#include <algorithm>

#include "simulation/driver.hpp"
#include "simulation/epoch_watch.hpp"
#include "simulation/group_watch.hpp"
#include "simulation/support.hpp"

using namespace madderdeck;
using namespace madderdeck::simulation;

namespace {

constexpr unsigned kLeaver = 0;
constexpr unsigned kProposer = 3;  ///< A node without a disk.
constexpr std::uint32_t kGroup = 1;

/// A fleet whose messages are made up by the test.
struct watched_epochs {
  explicit watched_epochs(std::uint64_t seed)
      : world(seed),
        fleet(world, oracle, profile_for(ScheduleMix::departures, *find_profile("qasr")), node::Guards()),
        watch(world, fleet, oracle) {}

  ledger::ReplicaGroup group(std::uint64_t epoch, const std::vector<ledger::ReplicaIdentity>& members) const {
    return {epoch, members, {}};
  }
  void propose(const ledger::ReplicaGroup& next) {
    wire::AcceptT accept;
    accept.group = kGroup;
    accept.key = ledger::group_config_key(kGroup, next.epoch);
    accept.value = wire::encode_record(ledger::to_wire(next));
    wire::MessageUnion message;
    message.Set(std::move(accept));
    watch.sent(kProposer, message);
  }
  void announce(const ledger::ReplicaGroup& next) {
    wire::AdoptGroupT notice;
    notice.group = kGroup;
    notice.description = std::make_unique<wire::GroupDescriptionT>(ledger::to_wire(next));
    wire::MessageUnion message;
    message.Set(std::move(notice));
    watch.sent(kProposer, message);
  }
  std::size_t violations() const {
    return static_cast<std::size_t>(
        std::count_if(oracle.violations().begin(), oracle.violations().end(),
                      [](const Violation& one) { return one.promise == Promise::epoch_names_disks_that_exist; }));
  }
  void empty_leaver() {
    fleet.nodes[kLeaver]->retiring = true;
    fleet.note_emptied(kLeaver);
  }

  Oracle oracle;
  World world;
  SimFleet fleet;
  epoch_watch watch;
};

}  // namespace

TEST_CASE("an epoch that newly names a disk which has said that it is emptied is noticed") {
  watched_epochs site(1);
  const auto leaver = site.fleet.identity_of(kLeaver);
  const auto one = site.fleet.identity_of(1);
  const auto other = site.fleet.identity_of(2);
  site.announce(site.group(1, {leaver, one, other}));
  site.empty_leaver();
  site.announce(site.group(2, {one, other}));
  CHECK(site.violations() == 0);
  site.announce(site.group(3, {one, other, leaver}));
  CHECK(site.violations() == 1);
  site.announce(site.group(4, {one, leaver}));  // named before
  CHECK(site.violations() == 1);
}

TEST_CASE("an epoch that named a disk before it was emptied is none of those") {
  watched_epochs site(1);
  const auto leaver = site.fleet.identity_of(kLeaver);
  const auto one = site.fleet.identity_of(1);
  site.announce(site.group(1, {one}));
  site.announce(site.group(2, {one, leaver}));
  site.empty_leaver();
  site.announce(site.group(3, {one, leaver}));
  CHECK(site.violations() == 0);
}

TEST_CASE("a disk that was named by an epoch of which nobody has told counts as named before") {
  watched_epochs site(1);
  const auto leaver = site.fleet.identity_of(kLeaver);
  const auto one = site.fleet.identity_of(1);
  site.announce(site.group(1, {one}));
  site.propose(site.group(2, {one, leaver}));
  site.empty_leaver();
  site.announce(site.group(3, {one, leaver}));
  CHECK(site.violations() == 0);
}

TEST_CASE("an epoch may name a disk that was lost after it was proposed, but none that was lost long before") {
  for (const bool lost_before : {false, true}) {
    CAPTURE(lost_before);
    watched_epochs site(1);
    site.world.run_for(1s);
    const auto lost = site.fleet.identity_of(kLeaver);
    const auto next = site.group(2, {site.fleet.identity_of(1), lost});
    site.announce(site.group(1, {site.fleet.identity_of(1)}));
    if (!lost_before) {
      site.propose(next);
    }
    site.fleet.lose_disk(kLeaver);
    site.world.run_for(6s);
    site.propose(next);
    site.announce(next);
    CHECK(site.violations() == (lost_before ? 1 : 0));
  }
}

TEST_CASE("what a thawed process does may have begun before it was frozen") {
  World world(1);
  SimProcess process(world);
  process.start();
  world.run_for(10s);
  const Timestamp frozen_at = world.now();
  process.freeze();
  world.run_for(20s);
  process.thaw();
  CHECK(process.begun_since(2s) == frozen_at - 2s);
  world.run_for(3s);
  CHECK(process.begun_since(2s) == world.now() - 2s);
}

TEST_CASE("a machine that was emptied and taken away is no loss, and no setting names it") {
  watched_epochs site(1);
  GroupWatch watch(site.world, site.fleet, site.oracle);
  site.world.run_for(10s);
  watch.look();
  site.fleet.retire_disk(kLeaver);
  site.world.run_for(5s);
  REQUIRE(site.fleet.nodes[kLeaver]->emptied);
  watch.machine_departed(kLeaver);
  site.fleet.take_away(kLeaver);
  CHECK(watch.may_lose_disk(1));
  CHECK(site.fleet.disk_nodes() == std::vector<unsigned>{1, 2});
  CHECK_FALSE(site.fleet.nodes[kLeaver]->process.up());
  site.fleet.start_node(kLeaver);
  CHECK_FALSE(site.fleet.nodes[kLeaver]->process.up());
}

TEST_CASE("word of members and all other messages can be kept from a node one without the other") {
  watched_epochs site(1);
  site.fleet.conditions.datagrams_lost_to.insert(1);
  site.fleet.conditions.streams_lost_to.insert(2);
  CHECK(site.fleet.keeps_from(1, wire::Message::Ping));
  CHECK_FALSE(site.fleet.keeps_from(1, wire::Message::AdoptGroup));
  CHECK(site.fleet.keeps_from(2, wire::Message::AdoptGroup));
  CHECK_FALSE(site.fleet.keeps_from(2, wire::Message::Ack));
  CHECK(site.fleet.is_cut_off(1));
  CHECK(site.fleet.is_cut_off(2));
  CHECK_FALSE(site.fleet.is_cut_off(3));
}

TEST_CASE("schedules of departures empty machines, take them away and lose other disks, the same at each run") {
  constexpr std::size_t kSteps = 60;
  const Profile profile = profile_for(ScheduleMix::departures, *find_profile("qasr"));
  LoadCounts counts;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const auto schedule = make_schedule(seed, kSteps, ScheduleMix::departures);
    const RunResult first = run_schedule(seed, schedule, profile, node::Guards());
    CHECK(first.trace_hash == run_schedule(seed, schedule, profile, node::Guards()).trace_hash);
    counts.add(first.counts);
  }
  CHECK(counts.faults["emptied_and_gone"] > 0);
  CHECK(counts.faults["disk_lost"] + counts.faults["machine_replaced"] > 0);
  CHECK(counts.faults["view_back"] > 0);
}
