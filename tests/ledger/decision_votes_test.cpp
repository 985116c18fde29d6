/// The votes on a group's next epoch: which members granted it, which refused it, and the refusal reasons.
#include <catch2/catch.hpp>

#include "ledger/client.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::TestEnvironment;

namespace {

const ReplicaIdentity kA{NodeId("a"), DiskId("disk-a")};
const ReplicaIdentity kB{NodeId("b"), DiskId("disk-b")};
const ReplicaIdentity kC{NodeId("c"), DiskId("disk-c")};
const Error kUnavailable{ErrorKind::unavailable, "too few"};

decision_votes votes_of(refusal_reason a, refusal_reason b, refusal_reason c) {
  return {2, {{kA, a}, {kB, b}, {kC, c}}};
}

/// How a member answers a prepare.
struct member_answer {
  wire::ReplicaStatus status = wire::ReplicaStatus::Granted;
  bool whole = true;
};

/// The votes and the result that a proposer of the next epoch received.
struct decision_report {
  std::optional<decision_votes> votes;
  std::optional<Result<ReplicaGroup>> result;
  unsigned calls = 0;
  refusal_reason ground() const {
    return succeeded(*result) ? refusal_reason::none : refusal_reason_of(error_of(*result), *votes);
  }
};

/// @return the report on a decision where members answer as in @p answers; members not in it do not answer.
decision_report decide(const std::map<std::string, member_answer>& answers, const EpochRule& rule = {}) {
  const std::vector<ReplicaIdentity> members{kA, kB, kC};
  TestEnvironment environment;
  Counters counters;
  Client client{environment, counters, [](const NodeId& node) { return std::optional(PeerAddress(node.str())); }};
  client.on_group_map({{ReplicaGroup{3, members, {}}}});
  decision_report report;
  client.on_decision = [&report](std::uint32_t group, const decision_votes& votes) {
    CHECK(group == 0);
    CHECK_FALSE(report.result);
    report.votes = votes;
    ++report.calls;
  };
  client.decide_next(0, {4, {kA, kB}, {kC}}, rule,
                     [&report](const Result<ReplicaGroup>& result) { report.result = result; });
  for (int step = 0; step < 60 && !report.result; ++step) {
    for (const auto& message : std::exchange(environment.sent, {})) {
      const auto answer = answers.find(message.to.str());
      if (answer == answers.end()) {
        continue;
      }
      const auto number = static_cast<std::uint32_t>(std::distance(
          members.begin(), std::find_if(members.begin(), members.end(),
                                        [&](const auto& member) { return member.node.str() == message.to.str(); })));
      if (message.body.type == wire::Message::Prepare) {
        wire::PromiseT promise;
        promise.request = message.body.AsPrepare()->request;
        promise.replica = number;
        promise.epoch = 3;
        promise.status = answer->second.status;
        promise.whole = answer->second.whole;
        promise.standing = answer->second.whole ? wire::ReplicaStanding::Admitted : wire::ReplicaStanding::Copying;
        client.handle(message.to, promise);
      } else if (message.body.type == wire::Message::Accept) {
        wire::AcceptedT accepted;
        accepted.request = message.body.AsAccept()->request;
        accepted.replica = number;
        accepted.epoch = 3;
        accepted.status = answer->second.status;
        client.handle(message.to, accepted);
      }
    }
    environment.world.run_for(100ms);
  }
  REQUIRE(report.result);
  return report;
}

}  // namespace

TEST_CASE("the refusal reason of an epoch is that of most members that refused it") {
  constexpr auto kNone = refusal_reason::none;
  constexpr auto kSilent = refusal_reason::silent;
  constexpr auto kCopies = refusal_reason::not_admitted;
  CHECK(refusal_reason_of(kUnavailable, votes_of(kNone, kCopies, kCopies)) == kCopies);
  CHECK(refusal_reason_of(kUnavailable, votes_of(kSilent, kCopies, kCopies)) == kCopies);
  CHECK(refusal_reason_of(kUnavailable, votes_of(kNone, kCopies, kSilent)) ==
        kSilent);  // a tie: the first in the order of reasons
  CHECK(refusal_reason_of(kUnavailable, votes_of(kNone, kNone, kSilent)) == refusal_reason::not_whole);
  CHECK(refusal_reason_of(kUnavailable, {}) == refusal_reason::other);
  const Error conflict{ErrorKind::conflict, ""};
  CHECK(refusal_reason_of(conflict, votes_of(kNone, kNone, kSilent)) == refusal_reason::epoch_passed);
  CHECK(refusal_reason_of(conflict, {}) == refusal_reason::epoch_passed);
  CHECK(refusal_reason_of(conflict, votes_of(refusal_reason::given_up_answers, kNone, kNone)) ==
        refusal_reason::given_up_answers);
}

TEST_CASE("the answer of a member that does not count is reported but is no refusal reason") {
  decision_votes votes = votes_of(refusal_reason::none, refusal_reason::silent, refusal_reason::silent);
  votes.needed = 1;
  votes.members[0].counts = false;
  votes.members[1].counts = false;
  votes.members[2].ground = refusal_reason::not_admitted;
  CHECK(votes.granted() == 0);
  CHECK(refusal_reason_of(kUnavailable, votes) == refusal_reason::not_admitted);
  CHECK(votes.refused_text() == "b/disk-b silent (does not count), c/disk-c not_admitted");
}

TEST_CASE("each refusal reason has a unique name") {
  std::set<std::string> names;
  for (const refusal_reason ground : kRefusalReasons) {
    names.insert(name_of(ground));
  }
  CHECK(names.size() == kRefusalReasons.size());
}

TEST_CASE("a proposer receives one report of the members that granted a decided epoch and those that did not") {
  const decision_report report = decide({{"a", {}}, {"b", {}}});
  CHECK(report.calls == 1);
  CHECK(succeeded(*report.result));
  CHECK(report.ground() == refusal_reason::none);
  CHECK(report.votes->granted_text() == "a/disk-a, b/disk-b");
  CHECK(report.votes->refused_text() == "c/disk-c silent");
}

TEST_CASE("a proposer receives the members that refused an epoch and their reasons") {
  const decision_report copies =
      decide({{"a", {}}, {"b", {wire::ReplicaStatus::NotReady}}, {"c", {wire::ReplicaStatus::NotReady}}});
  CHECK(copies.calls == 1);
  CHECK(copies.ground() == refusal_reason::not_admitted);
  CHECK(copies.votes->granted_text() == "a/disk-a");
  CHECK(copies.votes->refused_text() == "b/disk-b not_admitted, c/disk-c not_admitted");

  const decision_report silent = decide({{"a", {}}});
  CHECK(silent.ground() == refusal_reason::silent);
  CHECK(silent.votes->refused_text() == "b/disk-b silent, c/disk-c silent");

  const decision_report lacking =
      decide({{"a", {wire::ReplicaStatus::Granted, false}}, {"b", {wire::ReplicaStatus::Granted, false}}});
  CHECK(lacking.ground() == refusal_reason::not_whole);
  CHECK(lacking.votes->granted_text() == "a/disk-a not_whole, b/disk-b not_whole");
  CHECK(error_of(*lacking.result).detail.find("those that granted may lack confirmed records") != std::string::npos);
}

TEST_CASE("a proposer receives a report that the member to be given up has answered") {
  EpochRule rule;
  rule.given_up = kC;
  const decision_report report = decide({{"c", {}}}, rule);
  CHECK(report.ground() == refusal_reason::given_up_answers);
  CHECK(report.votes->refused_text() == "a/disk-a silent, b/disk-b silent, c/disk-c given_up_answers");
}
