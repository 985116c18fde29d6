/// Which change of a replica group its maintainer proposes to the members.
#include <catch2/catch.hpp>

#include "node/node_core.hpp"
#include "support/fake_backends.hpp"
#include "support/kept_lines.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::tests;
using ledger::ReplicaGroup;
using ledger::ReplicaIdentity;

namespace {

constexpr std::uint64_t kEpoch = 2;
const ReplicaIdentity kA{NodeId("a"), DiskId("disk-a")};
const ReplicaIdentity kLostB{NodeId("b"), DiskId("disk-b")};
const ReplicaIdentity kNewB{NodeId("b"), DiskId("disk-b2")};
const ReplicaIdentity kC{NodeId("c"), DiskId("disk-c")};

/// An unavailable store; the decisions in these tests do not need it.
class unavailable_store : public object_store::PlatformClient {
 public:
  void watch_objects(std::uint64_t, Duration, object_store::ChangesDone done) override { refuse(done); }
  void watch_machines(std::uint64_t, Duration, object_store::ChangesDone done) override { refuse(done); }
  void get(const config::EntryKey&, object_store::GetDone done) override { refuse(done); }
  void put(const object_store::PutRequest&, object_store::PutDone done) override { refuse(done); }

 private:
  template <class Done>
  static void refuse(const Done& done) {
    done(Error{ErrorKind::unavailable, "away"});
  }
};

struct maintainer_fixture {
  explicit maintainer_fixture(const ReplicaGroup& group = {kEpoch, {kA, kLostB, kC}, {}})
      : core({environment, counters, nullptr, backends, store, log}, options()) {
    core.start();
    core.ledger.on_group_map({{group}});
  }
  static node::NodeOptions options() {
    node::NodeOptions options;
    options.self.id = "self";
    options.self.peer_address = "self:1";
    options.self.zone = "z";
    options.self.roles = static_cast<std::uint32_t>(membership::Role::controller);
    options.self.incarnation = 1;
    options.controller.founding_wait = Duration::zero();
    options.controller.group_check = 100ms;
    options.controller.replicas = 3;
    options.membership.period = 1h;  // the test does not reply to probes
    return options;
  }
  void add(const ReplicaIdentity& identity, bool retiring = false) {
    auto member = std::make_unique<wire::MemberT>();
    member->id = identity.node.str();
    member->peer_address = identity.node.str() + ":1";
    member->zone = identity.node.str();
    member->roles = static_cast<std::uint32_t>(membership::Role::ledger);
    member->incarnation = 1;
    member->disk_id = identity.disk.str();
    member->retiring = retiring;
    auto sync = std::make_unique<wire::MemberSyncT>();
    sync->members.push_back(std::move(member));
    wire::Incoming incoming{PeerAddress("a:1"), {}};
    incoming.body.Set(std::move(*sync));
    core.handle(incoming);
  }
  /// Adds controllers that rank before this node and so maintain the groups.
  void add_maintainers() {
    auto sync = std::make_unique<wire::MemberSyncT>();
    const std::uint64_t own = rendezvous_weight("store-reader", "self");
    for (int number = 0; sync->members.size() < 2; ++number) {
      const std::string id = "maintainer-" + std::to_string(number);
      if (rendezvous_weight("store-reader", id) < own) {
        continue;
      }
      sync->members.push_back(std::make_unique<wire::MemberT>());
      sync->members.back()->id = id;
      sync->members.back()->peer_address = id + ":1";
      sync->members.back()->zone = "z";
      sync->members.back()->roles = static_cast<std::uint32_t>(membership::Role::controller);
      sync->members.back()->incarnation = 1;
    }
    wire::Incoming incoming{PeerAddress("a:1"), {}};
    incoming.body.Set(std::move(*sync));
    core.handle(incoming);
  }
  /// Replies for a disk that is offered a place; disks that are to leave refuse.
  void answer_offer(const PeerAddress& to, const wire::CopyStatusRequestT& request) {
    if (!request.offered) {
      return;
    }
    wire::CopyStatusT status;
    status.group = request.group;
    status.place_epoch = request.place_epoch;
    status.consent =
        leaving_nodes.contains(request.offered->node) ? wire::PlaceConsent::Retiring : wire::PlaceConsent::Given;
    core.controller->handle(to, status);
  }
  /// Runs while disks accept the places that they are offered and no member votes.
  void run_with_places_accepted(Duration time) {
    for (Duration passed{}; passed < time; passed += 50ms) {
      environment.world.run_for(50ms);
      for (const auto& message : std::exchange(environment.sent, {})) {
        if (message.body.type == wire::Message::CopyStatusRequest) {
          answer_offer(message.to, *message.body.AsCopyStatusRequest());
        }
      }
    }
  }
  /// Replies for the members whose disks stayed, which have no decision yet, and for disks that are offered places.
  void answer() {
    const std::map<std::string, std::uint32_t> numbers = {{"a:1", 0}, {"c:1", c_number}};
    for (const auto& message : std::exchange(environment.sent, {})) {
      if (message.body.type == wire::Message::CopyStatusRequest) {
        answer_offer(message.to, *message.body.AsCopyStatusRequest());
      }
      const auto number = numbers.find(message.to.str());
      if (number == numbers.end()) {
        continue;
      }
      if (message.body.type == wire::Message::Prepare) {
        wire::PromiseT promise;
        promise.request = message.body.AsPrepare()->request;
        promise.replica = number->second;
        promise.epoch = kEpoch;
        core.ledger.handle(message.to, promise);
      } else if (message.body.type == wire::Message::Accept) {
        wire::AcceptedT accepted;
        accepted.request = message.body.AsAccept()->request;
        accepted.replica = number->second;
        accepted.epoch = kEpoch;
        core.ledger.handle(message.to, accepted);
      }
    }
  }
  /// @return the group after its members had time to decide.
  ReplicaGroup group_after_votes() {
    const auto& groups = core.ledger.group_map().groups;
    for (int step = 0; step < 20 && groups.at(0).epoch == kEpoch; ++step) {
      environment.world.run_for(50ms);
      answer();
    }
    return groups.at(0);
  }

  void run_with_replies(Duration time) {
    for (Duration passed{}; passed < time; passed += 50ms) {
      environment.world.run_for(50ms);
      answer();
    }
  }

  std::uint32_t c_number = 2;           ///< Index of member c in its group.
  std::set<std::string> leaving_nodes;  ///< Nodes that are to be drained, which only they know.
  TestEnvironment environment;
  Counters counters;
  FakeBackends backends;
  unavailable_store store;
  kept_lines log;
  node::NodeCore core;
};

}  // namespace

TEST_CASE("a lost disk is replaced by the new one of its node") {
  maintainer_fixture fixture;
  fixture.add(kA);
  fixture.add(kNewB);
  fixture.add(kC);
  CHECK(fixture.group_after_votes() == ReplicaGroup{kEpoch + 1, {kA, kNewB, kC}, {}});
}

// A node that had lost its disk was requested to leave before its new disk was in its groups (fleet runner,
// --faults=losses). No other node could replace it, and the groups kept the lost disk as a member: after the next lost
// disk, one member of three was left.
TEST_CASE("a lost disk whose node is to leave is removed from its group where there is no other node") {
  maintainer_fixture fixture;
  fixture.add(kA);
  fixture.add(kNewB, true);
  fixture.add(kC);
  CHECK(fixture.group_after_votes() == ReplicaGroup{kEpoch + 1, {kA, kC}, {}});
}

TEST_CASE("another node takes the place of a lost disk whose node is to leave") {
  const ReplicaIdentity d{NodeId("d"), DiskId("disk-d")};
  maintainer_fixture fixture;
  fixture.add(kA);
  fixture.add(kNewB, true);
  fixture.add(kC);
  fixture.add(d);
  CHECK(fixture.group_after_votes() == ReplicaGroup{kEpoch + 1, {kA, d, kC}, {}});
}

// A member had permanently left its group of three; a gateway that did not know yet that it was to leave added it again
// as the third member, and after the next lost disk one member of three was left (fleet runner, --faults=losses, seed
// 221).
TEST_CASE("a member that leaving_nodes its group is not added again by a maintainer that does not know why it left") {
  maintainer_fixture fixture({kEpoch, {kA, kC}, {kNewB}});
  fixture.c_number = 1;
  fixture.add(kA);
  fixture.add(kNewB);
  fixture.add(kC);
  CHECK(fixture.group_after_votes().epoch == kEpoch);
}

// A maintainer that thaws, or starts with an outdated list of members, knows neither that a disk is to be drained nor
// that an earlier epoch removed it.
TEST_CASE("a disk that is to be drained is not named by a maintainer that does not know of it") {
  maintainer_fixture fixture({kEpoch, {kA, kC}, {}});
  fixture.c_number = 1;
  fixture.leaving_nodes = {kNewB.node.str()};
  fixture.add(kA);
  fixture.add(kNewB);
  fixture.add(kC);
  CHECK(fixture.group_after_votes().epoch == kEpoch);
}

TEST_CASE("another node is asked if one refuses the place of a lost disk") {
  const ReplicaIdentity d{NodeId("d"), DiskId("disk-d")};
  maintainer_fixture fixture({kEpoch, {kA, kC}, {}});
  fixture.c_number = 1;
  fixture.leaving_nodes = {kNewB.node.str()};
  fixture.add(kA);
  fixture.add(kNewB);
  fixture.add(kC);
  fixture.add(d);
  CHECK(fixture.group_after_votes().replicas == std::vector<ReplicaIdentity>{kA, kC, d});
}

TEST_CASE("another node takes the place of a member that has left its group") {
  const ReplicaIdentity d{NodeId("d"), DiskId("disk-d")};
  maintainer_fixture fixture({kEpoch, {kA, kC}, {kNewB}});
  fixture.c_number = 1;
  fixture.add(kA);
  fixture.add(kNewB);
  fixture.add(kC);
  fixture.add(d);
  CHECK(fixture.group_after_votes().replicas == std::vector<ReplicaIdentity>{kA, kC, d});
}

TEST_CASE("a controller that is not to make a change logs that it is wanted and not made") {
  maintainer_fixture fixture;
  fixture.add(kA);
  fixture.add(kNewB);
  fixture.add(kC);
  fixture.add_maintainers();
  fixture.environment.world.run_for(4s);
  const auto line = std::find_if(fixture.log.lines.begin(), fixture.log.lines.end(),
                                 [](const auto& text) { return text.starts_with("group_change_pending "); });
  REQUIRE(line != fixture.log.lines.end());
  CHECK(line->find("epoch=2 reason=b/disk-b disk_replaced") != std::string::npos);
  CHECK(line->find("rank=2 makers=maintainer-") != std::string::npos);
}

TEST_CASE("a lost disk is replaced by a controller that does not rank first if no other one does it") {
  maintainer_fixture fixture;
  fixture.add(kA);
  fixture.add(kNewB);
  fixture.add(kC);
  fixture.add_maintainers();
  CHECK(fixture.group_after_votes().epoch == kEpoch);
  fixture.run_with_replies(8s);
  CHECK(fixture.core.ledger.group_map().groups.at(0) == ReplicaGroup{kEpoch + 1, {kA, kNewB, kC}, {}});
  CHECK(fixture.log.count("group_change_taken_up") == 1);
}

TEST_CASE("an unresponsive member is not given up by a controller that neither ranks first nor is a member") {
  const ReplicaIdentity d{NodeId("d"), DiskId("disk-d")};
  maintainer_fixture fixture;
  fixture.add(kA);
  fixture.add(kC);
  fixture.add(d);
  fixture.add_maintainers();
  fixture.run_with_replies(300s);
  CHECK(fixture.core.ledger.group_map().groups.at(0).epoch == kEpoch);
  CHECK(fixture.log.count("group_change_pending") > 0);
  CHECK(fixture.log.lines.back().find("reason=b/disk-b missing") != std::string::npos);
}

namespace {

/// @return the only log line of that event.
std::string only_line_of(const kept_lines& log, const std::string& event) {
  REQUIRE(log.count(event) == 1);
  return *std::find_if(log.lines.begin(), log.lines.end(),
                       [&event](const auto& line) { return line.starts_with(event + " "); });
}

bool has(const std::string& line, const std::string& part) { return line.find(part) != std::string::npos; }

}  // namespace

// Four groups permanently lost their majority, and no log line showed which members an epoch named, which node had
// proposed it and with which view of the members.
TEST_CASE(
    "a decided epoch is logged with its members, its proposer, the proposer's view and the members that granted it") {
  maintainer_fixture fixture;
  fixture.add(kA);
  fixture.add(kNewB);
  fixture.add(kC);
  REQUIRE(fixture.group_after_votes().epoch == kEpoch + 1);
  const std::string line = only_line_of(fixture.log, "group_changed");
  CHECK(has(line, "from_epoch=2 epoch=3 outcome=decided ground= proposer=self as_asked=true"));
  CHECK(has(line, "reason=b/disk-b disk_replaced"));
  CHECK(has(line, "members=a/disk-a, b/disk-b2, c/disk-c leaving= granted=a/disk-a, c/disk-c refused=b/disk-b silent"));
  CHECK(has(line, "view=a/disk-a alive "));
  CHECK(has(line, "ms by others, b/disk-b2 alive "));
  CHECK_FALSE(has(line, "view_age_ms=-1"));
  CHECK(fixture.counters["ledger_epochs_decided_total"] == 1);
}

TEST_CASE("a refused epoch is logged with the refusing members and the reason, and counted by reason") {
  maintainer_fixture fixture;
  fixture.add(kA);
  fixture.add(kNewB);
  fixture.add(kC);
  fixture.run_with_places_accepted(4800ms);
  const std::string line = only_line_of(fixture.log, "group_changed");
  CHECK(has(line, "from_epoch=2 epoch=2 outcome=unavailable ground=silent proposer=self as_asked=false"));
  CHECK(has(line, "members=a/disk-a, b/disk-b2, c/disk-c"));
  CHECK(has(line, "granted= refused=a/disk-a silent, b/disk-b silent, c/disk-c silent"));
  CHECK(fixture.counters["ledger_epochs_refused_silent_total"] == 1);
  CHECK(fixture.counters["ledger_epochs_decided_total"] == 0);
}

TEST_CASE("an epoch whose new member does not consent is logged as refused by that disk") {
  maintainer_fixture fixture;
  fixture.leaving_nodes = {kNewB.node.str()};
  fixture.add(kA);
  fixture.add(kNewB);
  fixture.add(kC);
  REQUIRE(fixture.group_after_votes().epoch == kEpoch);
  const auto line = std::find_if(fixture.log.lines.begin(), fixture.log.lines.end(),
                                 [](const auto& text) { return text.starts_with("group_changed "); });
  REQUIRE(line != fixture.log.lines.end());
  CHECK(has(*line, "outcome=conflict ground=candidate proposer=self"));
  CHECK(has(*line, "b/disk-b2 refused a place in the group: retiring"));
  CHECK(fixture.counters["ledger_epochs_refused_candidate_total"] > 0);
}

TEST_CASE("an epoch that the store did not let one member decide alone is logged as refused by the store") {
  maintainer_fixture fixture({kEpoch, {kA, kC}, {}});
  fixture.c_number = 1;
  fixture.add(kA);
  fixture.run_with_places_accepted(70s);
  REQUIRE(fixture.log.count("group_changed") > 0);
  const auto line = std::find_if(fixture.log.lines.begin(), fixture.log.lines.end(),
                                 [](const auto& text) { return text.starts_with("group_changed "); });
  CHECK(has(*line, "outcome=unavailable ground=store proposer=self"));
  CHECK(has(*line, "reason=c/disk-c missing"));
  CHECK(has(*line, "sole_decider=a/disk-a"));
  CHECK(fixture.counters["ledger_epochs_refused_store_total"] ==
        static_cast<CounterValue>(fixture.log.count("group_changed")));
}
