#include "ledger/replica.hpp"

#include <catch2/catch.hpp>

#include "ledger/client.hpp"
#include "simulation/fleet.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::TestEnvironment;

namespace {

const PeerAddress kCaller("10.0.0.9:1");
constexpr std::size_t kLeastCopies = least_copies(3);

/// Counts the requested flushes.
class flush_counting_storage : public simulation::SimStorage {
 public:
  using SimStorage::SimStorage;
  void flush(std::function<void(Status)> done) override {
    ++flushes;
    SimStorage::flush(std::move(done));
  }
  void put_atomically(const std::vector<Entry>& entries) override {
    last_together.clear();
    for (const Entry& entry : entries) {
      last_together.push_back(entry.key);
    }
    SimStorage::put_atomically(entries);
  }
  unsigned flushes = 0;
  std::vector<std::string> last_together;  ///< Keys of the last put_atomically() call.
};

/// One replica with a disk.
struct ReplicaFixture {
  explicit ReplicaFixture(const std::string& disk = "disk-a") {
    process.start();
    replica = std::make_unique<Replica>(environment, storage, counters, NodeId("a"), DiskId(disk),
                                        [](const NodeId& node) { return std::optional(PeerAddress(node.str())); });
  }
  GroupMap map(std::uint64_t epoch, const std::string& disk = "disk-a") {
    return {{{epoch, {{NodeId("a"), DiskId(disk)}, {NodeId("b"), DiskId("disk-b")}, {NodeId("c"), DiskId("disk-c")}}}}};
  }
  wire::PromiseT prepare(std::uint64_t epoch, Ballot ballot) {
    wire::PrepareT request;
    request.epoch = epoch;
    request.ballot = to_wire(ballot);
    request.key = "k/1";
    environment.sent.clear();
    replica->handle(kCaller, request);
    environment.world.run_for(20ms);
    return *last(wire::Message::Promise).AsPromise();
  }
  wire::AcceptedT accept(std::uint64_t epoch, Ballot ballot, const wire::Bytes& value) {
    wire::AcceptT request;
    request.epoch = epoch;
    request.ballot = to_wire(ballot);
    request.key = "k/1";
    request.value = value;
    environment.sent.clear();
    replica->handle(kCaller, request);
    environment.world.run_for(20ms);
    return *last(wire::Message::Accepted).AsAccepted();
  }
  wire::MessageUnion last(wire::Message type) {
    for (auto message = environment.sent.rbegin(); message != environment.sent.rend(); ++message) {
      if (message->body.type == type) {
        return message->body;
      }
    }
    FAIL("no such message was sent");
    return {};
  }

  /// Waits until the copied records are synced.
  void sync() { environment.world.run_for(20ms); }

  /// @return the keys whose values the last copy request asks for.
  std::vector<std::string> wanted_keys() { return last(wire::Message::CopyRequest).AsCopyRequest()->keys; }

  TestEnvironment environment;
  Counters counters;
  simulation::SimProcess process{environment.world};
  flush_counting_storage storage{environment.world, process};
  std::unique_ptr<Replica> replica;
};

/// Another member that this replica copies from. It holds one record, with a ballot of its own.
class CopySourceScript {
 public:
  CopySourceScript(ReplicaFixture& fixture, std::uint32_t index, std::string peer)
      : fixture_(fixture), index_(index), peer_(std::move(peer)), ballot_{index + 5, 1} {}

  void set_ballot(Ballot ballot) { ballot_ = ballot; }
  /// Answers the request for the page after @p after, or for its values.
  void answer(const std::string& after, bool ballots_only) {
    wire::CopyReplyT reply;
    reply.epoch = 2;
    reply.replica = index_;
    reply.after = after;
    reply.ballots_only = ballots_only;
    auto record = std::make_unique<wire::LedgerRecordT>();
    record->key = "k/1";
    record->promised = to_wire(after == "p:" ? ballot_ : Ballot{});
    record->accepted = to_wire(after == "a:" ? ballot_ : Ballot{});
    if (!ballots_only) {
      record->value = {static_cast<std::uint8_t>(index_)};
    }
    reply.records.push_back(std::move(record));
    fixture_.replica->handle(PeerAddress(peer_), reply);
  }

 private:
  ReplicaFixture& fixture_;
  const std::uint32_t index_;
  const std::string peer_;
  Ballot ballot_;
};

}  // namespace

TEST_CASE("a replica promises only higher ballots and keeps what it accepted") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  CHECK(fixture.prepare(1, {5, 1}).status == wire::ReplicaStatus::Granted);
  CHECK(fixture.prepare(1, {4, 1}).status == wire::ReplicaStatus::BallotTooLow);
  CHECK(fixture.accept(1, {4, 1}, {1}).status == wire::ReplicaStatus::BallotTooLow);
  CHECK(fixture.accept(1, {5, 1}, {2}).status == wire::ReplicaStatus::Granted);
  const wire::PromiseT promise = fixture.prepare(1, {6, 1});
  CHECK(promise.status == wire::ReplicaStatus::Granted);
  CHECK(promise.value == std::vector<std::uint8_t>{2});
  CHECK(from_wire(promise.accepted) == Ballot{5, 1});
}

TEST_CASE("replies are sent only after the sync") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  wire::AcceptT request;
  request.epoch = 1;
  request.ballot = to_wire({1, 1});
  request.key = "k/1";
  fixture.environment.sent.clear();
  fixture.replica->handle(kCaller, request);
  CHECK(fixture.environment.sent.empty());
  fixture.environment.world.run_for(20ms);
  CHECK(fixture.environment.sent.size() == 1);
}

TEST_CASE("a scan returns only what would survive a power loss") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  fixture.environment.world.run_for(20ms);
  wire::AcceptT request;
  request.epoch = 1;
  request.ballot = to_wire({1, 1});
  request.key = "k/1";
  fixture.replica->handle(kCaller, request);
  wire::ScanRequestT scan;
  scan.epoch = 1;
  scan.prefix = "k/";
  scan.limit = 10;
  fixture.environment.sent.clear();
  fixture.replica->handle(kCaller, scan);
  for (const auto& message : fixture.environment.sent) {
    if (message.body.type == wire::Message::ScanReply) {
      CHECK(message.body.AsScanReply()->records.empty());
    }
  }
  fixture.environment.world.run_for(20ms);
  CHECK(fixture.last(wire::Message::ScanReply).AsScanReply()->status == wire::ReplicaStatus::Granted);
}

TEST_CASE("synced data is returned at once and without a flush") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  fixture.accept(1, {1, 1}, {1});
  fixture.environment.sent.clear();
  const unsigned flushes = fixture.storage.flushes;
  SECTION("to a scan") {
    wire::ScanRequestT scan;
    scan.epoch = 1;
    scan.prefix = "k/";
    scan.limit = 10;
    fixture.replica->handle(kCaller, scan);
    CHECK(fixture.last(wire::Message::ScanReply).AsScanReply()->records.size() == 1);
  }
  SECTION("to a replica that copies") {
    wire::CopyRequestT copy;
    copy.epoch = 1;
    copy.after = "a:";
    copy.limit = 10;
    fixture.replica->handle(kCaller, copy);
    CHECK(fixture.last(wire::Message::CopyReply).AsCopyReply()->records.size() == 1);
  }
  SECTION("to a node that requests the copy status") {
    wire::CopyStatusRequestT status;
    status.epoch = 1;
    fixture.replica->handle(kCaller, status);
    const wire::MessageUnion answer = fixture.last(wire::Message::CopyStatus);
    CHECK(answer.AsCopyStatus()->standing == wire::ReplicaStanding::Admitted);
  }
  CHECK(fixture.storage.flushes == flushes);
}

TEST_CASE("an epoch is reported only once it would survive a power loss") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  fixture.environment.world.run_for(20ms);
  fixture.replica->on_group_map(fixture.map(2));
  fixture.environment.sent.clear();
  wire::Message answer = wire::Message::NONE;
  SECTION("to a node that sends a prepare") {
    wire::PrepareT request;
    request.epoch = 1;
    request.ballot = to_wire({1, 1});
    request.key = "k/1";
    fixture.replica->handle(kCaller, request);
    answer = wire::Message::Promise;
  }
  SECTION("to a node that sends a value") {
    wire::AcceptT request;
    request.epoch = 1;
    request.ballot = to_wire({1, 1});
    request.key = "k/1";
    fixture.replica->handle(kCaller, request);
    answer = wire::Message::Accepted;
  }
  SECTION("to a scan") {
    wire::ScanRequestT request;
    request.epoch = 1;
    fixture.replica->handle(kCaller, request);
    answer = wire::Message::ScanReply;
  }
  SECTION("to a replica that copies") {
    wire::CopyRequestT request;
    request.epoch = 1;
    fixture.replica->handle(kCaller, request);
    answer = wire::Message::CopyReply;
  }
  CHECK(fixture.environment.sent_of(answer) == 0);
  fixture.environment.world.run_for(20ms);
  CHECK(fixture.environment.sent_of(answer) == 1);
}

TEST_CASE("a replica whose disk refuses writes does not take part, and later resumes from what the disk holds") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  CHECK(fixture.accept(1, {2, 1}, {7}).status == wire::ReplicaStatus::Granted);
  fixture.replica->on_group_map(fixture.map(2));
  fixture.storage.crash();  // that epoch was not written
  fixture.replica->suspend();
  CHECK(fixture.prepare(1, {3, 1}).status == wire::ReplicaStatus::UnknownEpoch);
  fixture.replica->on_group_map(fixture.map(3));
  CHECK(fixture.prepare(3, {3, 1}).status == wire::ReplicaStatus::UnknownEpoch);
  CHECK(fixture.replica->descriptions().empty());
  CHECK_FALSE(fixture.replica->synchronized());
  CHECK_FALSE(fixture.replica->left_all_groups(kLeastCopies));

  fixture.replica->resume();
  const wire::PromiseT promise = fixture.prepare(1, {3, 1});
  CHECK(promise.status == wire::ReplicaStatus::Granted);
  CHECK(promise.value == std::vector<std::uint8_t>{7});
  CHECK(fixture.replica->synchronized());
}

TEST_CASE("an epoch is written together with its marks") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  CHECK(fixture.storage.last_together == std::vector<std::string>{"m/0000/", "g/0000/"});
}

TEST_CASE("a disk that is not in the map, or not of this epoch, does not vote") {
  ReplicaFixture fixture;
  CHECK(fixture.prepare(1, {1, 1}).status == wire::ReplicaStatus::UnknownEpoch);
  fixture.replica->on_group_map(fixture.map(1));
  CHECK(fixture.prepare(2, {1, 1}).status == wire::ReplicaStatus::UnknownEpoch);
  fixture.replica->on_group_map(fixture.map(2));  // a disk that missed an epoch copies again
  fixture.replica->on_group_map(fixture.map(3));
  CHECK(fixture.prepare(1, {1, 1}).status == wire::ReplicaStatus::StaleEpoch);
  CHECK(fixture.prepare(3, {1, 1}).status == wire::ReplicaStatus::Granted);
}

TEST_CASE("a new disk votes only after it has copied from both others") {
  ReplicaFixture fixture("disk-new");
  fixture.replica->on_group_map(fixture.map(2, "disk-new"));
  CHECK(fixture.prepare(2, {1, 1}).status == wire::ReplicaStatus::NotReady);
  CopySourceScript b(fixture, 1, "b");
  CopySourceScript c(fixture, 2, "c");
  b.answer("p:", true);
  b.answer("a:", true);
  CHECK(fixture.wanted_keys() == std::vector<std::string>{"k/1"});
  b.answer("a:", false);
  CHECK_FALSE(fixture.replica->synchronized());
  c.answer("p:", true);
  c.answer("a:", true);
  CHECK_FALSE(fixture.replica->synchronized());
  c.answer("a:", false);
  fixture.sync();
  CHECK(fixture.replica->synchronized());
  const wire::PromiseT promise = fixture.prepare(2, {9, 1});
  CHECK(promise.status == wire::ReplicaStatus::Granted);
  CHECK(promise.value == std::vector<std::uint8_t>{2});
}

TEST_CASE("a value that two sources hold with the same ballot is copied once") {
  ReplicaFixture fixture("disk-new");
  fixture.replica->on_group_map(fixture.map(2, "disk-new"));
  CopySourceScript b(fixture, 1, "b");
  CopySourceScript c(fixture, 2, "c");
  c.set_ballot({6, 1});
  b.answer("p:", true);
  c.answer("p:", true);
  b.answer("a:", true);
  CHECK(fixture.wanted_keys() == std::vector<std::string>{"k/1"});
  fixture.environment.sent.clear();
  c.answer("a:", true);  // already requested from b
  CHECK(fixture.environment.sent.empty());
  CHECK_FALSE(fixture.replica->synchronized());
  b.answer("a:", false);
  fixture.sync();
  CHECK(fixture.replica->synchronized());
  CHECK(fixture.counters["ledger_copied_records_total"] == 1);
}

TEST_CASE("two disks replaced at the same time do not wait for each other") {
  // Guards against a deadlock: when two disks of a group were lost at once, each new one waited for the other to have
  // copied everything.
  ReplicaFixture fixture("disk-new");
  fixture.replica->on_group_map(fixture.map(2, "disk-new"));
  CopySourceScript b(fixture, 1, "b");
  b.answer("p:", true);
  b.answer("a:", true);
  b.answer("a:", false);
  CHECK_FALSE(fixture.replica->synchronized());
  wire::CopyReplyT unready;
  unready.epoch = 2;
  unready.replica = 2;
  unready.after = "p:";
  unready.status = wire::ReplicaStatus::NotReady;
  SECTION("the other new disk counts as copied") {
    fixture.replica->handle(PeerAddress("c"), unready);
    fixture.sync();
    CHECK(fixture.replica->synchronized());
    CHECK(fixture.prepare(2, {9, 1}).value == std::vector<std::uint8_t>{1});
  }
  SECTION("with a refusal of another epoch it does not") {
    unready.epoch = 1;
    fixture.replica->handle(PeerAddress("c"), unready);
    CHECK_FALSE(fixture.replica->synchronized());
  }
}

TEST_CASE("a replica that has not copied everything names itself in its refusal") {
  ReplicaFixture fixture("disk-new");
  fixture.replica->on_group_map(fixture.map(2, "disk-new"));
  wire::CopyRequestT request;
  request.epoch = 2;
  request.after = "p:";
  fixture.replica->handle(PeerAddress("c"), request);
  fixture.environment.world.run_for(20ms);
  const auto reply = fixture.last(wire::Message::CopyReply);
  CHECK(reply.AsCopyReply()->status == wire::ReplicaStatus::NotReady);
  CHECK(reply.AsCopyReply()->replica == 0);
}

TEST_CASE("a copy restarts when a source has lost a record that it offered") {
  ReplicaFixture fixture("disk-new");
  fixture.replica->on_group_map(fixture.map(2, "disk-new"));
  CopySourceScript b(fixture, 1, "b");
  CopySourceScript c(fixture, 2, "c");
  b.answer("p:", true);
  b.answer("a:", true);
  c.answer("p:", true);
  b.set_ballot({0, 0});
  b.answer("a:", false);
  CHECK(fixture.counters["ledger_copies_restarted_total"] == 1);
  CHECK_FALSE(fixture.replica->synchronized());
  b.answer("p:", true);
  b.answer("a:", true);
  CHECK_FALSE(fixture.replica->synchronized());
}

TEST_CASE("a replica that returns with its disk copies no value again") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  CHECK(fixture.accept(1, {7, 1}, {2}).status == wire::ReplicaStatus::Granted);
  fixture.replica->on_group_map(fixture.map(2));
  fixture.replica->catch_up();
  fixture.environment.sent.clear();
  CopySourceScript b(fixture, 1, "b");
  CopySourceScript c(fixture, 2, "c");
  c.set_ballot({7, 1});
  for (CopySourceScript* source : {&b, &c}) {
    source->answer("p:", true);
    source->answer("a:", true);
    CHECK(fixture.wanted_keys().empty());
  }
  CHECK(fixture.counters["ledger_copied_records_total"] == 0);
}

TEST_CASE("a damaged value is reported, not returned") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  fixture.accept(1, {1, 1}, {1, 2, 3});
  auto stored = value_of(fixture.storage.get("a/0000/k/1"));
  REQUIRE(stored.has_value());
  stored->back() ^= 1;
  for (auto& byte : *stored) {
    byte ^= 0x40;
  }
  fixture.storage.put("a/0000/k/1", *stored);
  CHECK(fixture.prepare(1, {2, 1}).status == wire::ReplicaStatus::Corrupted);
  CHECK(fixture.counters["ledger_corrupted_reads_total"] == 1);
}

// Guards against overloaded sources. Nodes that returned with an empty disk repeated each request for a missing page
// every 200 ms, to every source of every group, and each request was answered with up to 1 MB. A source that needed
// more than 200 ms for a page received the same request over and over, and readers waited behind the answers. A copying
// node was killed for its memory (288 MB of 280), presumably because it held many of these answers; this was not
// traced.
TEST_CASE("a slow source does not receive repeated requests for the same page") {
  ReplicaFixture fixture("disk-new");
  fixture.environment.sent.clear();
  fixture.replica->on_group_map(fixture.map(2, "disk-new"));
  fixture.environment.world.run_for(3s);
  std::size_t asked_b = 0;
  for (const auto& message : fixture.environment.sent) {
    asked_b += message.to == PeerAddress("b") && message.body.type == wire::Message::CopyRequest ? 1 : 0;
  }
  CHECK(asked_b >= 2);  // a request may be lost
  CHECK(asked_b <= 4);
}

// Guards against values that are copied twice. At a fifth of a core a page of values takes longer than its timeout of 1
// s, since it is queued behind those of other groups. It was requested again, each of the two answers caused a further
// request, and 47.6 MB were transferred instead of 20.1 MB.
namespace {

/// Two groups whose only copy source for this replica is b.
struct two_groups_of_a_pair {
  two_groups_of_a_pair() {
    ReplicaGroup group{2, {{NodeId("a"), DiskId("disk-new")}, {NodeId("b"), DiskId("disk-b")}}, {}};
    fixture.replica->on_group_map({{group, group}});
  }
  /// Member b answers a copy request of @p group with the records from @p from up to but not including @p until.
  void answer(std::uint32_t group, const std::string& after, bool ballots_only, unsigned from, unsigned until) {
    wire::CopyReplyT reply;
    reply.group = group;
    reply.epoch = 2;
    reply.replica = 1;
    reply.after = after;
    reply.ballots_only = ballots_only;
    for (unsigned number = from; number < until; ++number) {
      auto record = std::make_unique<wire::LedgerRecordT>();
      record->key = "k/" + std::to_string(number);
      record->promised = to_wire(Ballot{});
      record->accepted = to_wire(Ballot{5, 1});
      record->value.assign(ballots_only ? 0 : 1, 7);
      reply.records.push_back(std::move(record));
    }
    fixture.replica->handle(PeerAddress("b"), reply);
  }
  /// Answers until the replica requests the values of three records.
  void offer_values(std::uint32_t group) {
    answer(group, "p:", true, 0, 0);
    answer(group, "a:", true, 0, 3);
  }
  std::size_t asked() { return fixture.environment.sent_of(wire::Message::CopyRequest); }

  ReplicaFixture fixture{"disk-new"};
};

}  // namespace

TEST_CASE("a page is not requested again while its source sends pages requested earlier") {
  two_groups_of_a_pair pair;
  pair.offer_values(0);
  pair.fixture.environment.world.run_for(100ms);
  pair.offer_values(1);
  const std::size_t asked = pair.asked();
  pair.fixture.environment.world.run_for(800ms);
  pair.answer(0, "a:", false, 0, 1);
  pair.fixture.environment.world.run_for(800ms);
  CHECK(pair.asked() == asked + 1);  // the next values of the first group
  SECTION("a page overtaken by a later one counts as lost") {
    pair.answer(0, "a:", false, 1, 2);
    pair.fixture.environment.world.run_for(300ms);
    CHECK(pair.asked() == asked + 3);
  }
  SECTION("a page after which nothing arrives counts as lost") {
    pair.fixture.environment.world.run_for(500ms);
    CHECK(pair.asked() == asked + 3);
  }
}

TEST_CASE("the second answer to a page that was requested twice causes no further request") {
  two_groups_of_a_pair pair;
  pair.offer_values(0);
  pair.fixture.environment.world.run_for(1300ms);
  const std::size_t asked = pair.asked();
  pair.answer(0, "a:", false, 0, 1);
  CHECK(pair.asked() == asked + 1);
  pair.answer(0, "a:", false, 0, 1);
  CHECK(pair.asked() == asked + 1);
  pair.answer(0, "a:", false, 1, 3);
  pair.fixture.sync();
  CHECK(pair.fixture.replica->holds(0, 2));
}

TEST_CASE("values that arrive late are kept, and not requested again") {
  two_groups_of_a_pair pair;
  pair.offer_values(0);
  pair.fixture.replica->catch_up();
  pair.answer(0, "a:", false, 0, 3);
  pair.offer_values(0);
  pair.fixture.sync();
  CHECK(pair.fixture.replica->holds(0, 2));
  CHECK(pair.fixture.counters["ledger_copied_records_total"] == 3);
}

// Guards against a crash right after a restart of all nodes: "vector::_M_range_check: __n (which is 0) >= this->size()
// (which is 0)". Two nodes were whole, and still copying from a drained member that was leaving, when they adopted an
// epoch without that member. They kept the list of sources and requested the next page from a source that the new
// description did not contain.
TEST_CASE("a member that is still copying from a leaving one adopts an epoch without that one") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  GroupMap with_leaver = fixture.map(2);
  with_leaver.groups[0].leaving = {{NodeId("d"), DiskId("disk-d")}};
  fixture.replica->on_group_map(with_leaver);
  fixture.environment.world.run_for(100ms);
  fixture.replica->on_group_map(fixture.map(3));
  CHECK_NOTHROW(fixture.environment.world.run_for(2s));
  CHECK(fixture.replica->holds(0, 3));
}

namespace {

/// Counts the bytes of values that are read.
class counting_storage : public simulation::SimStorage {
 public:
  using SimStorage::SimStorage;
  Status scan(const std::string& prefix, const std::string& after,
              const std::function<bool(std::string_view, std::string_view)>& visit) const override {
    return SimStorage::scan(prefix, after, [this, &visit](std::string_view key, std::string_view value) {
      read_bytes += value.size();
      return visit(key, value);
    });
  }
  Status look_at(const std::string& key, const std::function<void(std::string_view)>& look) const override {
    return SimStorage::look_at(key, [this, &look](std::string_view value) {
      read_bytes += value.size();
      look(value);
    });
  }
  mutable std::size_t read_bytes = 0;
};

constexpr std::size_t kLargeValue = 200'000;
constexpr std::size_t kLargeValues = 100;
constexpr std::size_t kMaxBytesReadAtOnce = 5'000'000;  // bytes; 1 ms per MB, so 50 ms on a tenth of a core

/// A replica that holds many large values.
struct large_values {
  large_values() {
    process.start();
    replica.on_group_map(
        {{{1, {{NodeId("a"), DiskId("disk-a")}, {NodeId("b"), DiskId("disk-b")}, {NodeId("c"), DiskId("disk-c")}}}}});
    for (std::size_t number = 0; number < kLargeValues; ++number) {
      wire::AcceptT accept;
      accept.epoch = 1;
      accept.ballot = to_wire(Ballot{1, 1});
      accept.key = key(number);
      accept.value.assign(kLargeValue, 3);
      replica.handle(kCaller, accept);
    }
    environment.world.run_for(20ms);
    environment.sent.clear();
    storage.read_bytes = 0;
  }
  static std::string key(std::size_t number) { return "k/" + std::to_string(1000 + number); }

  TestEnvironment environment;
  Counters counters;
  simulation::SimProcess process{environment.world};
  counting_storage storage{environment.world, process};
  Replica replica{environment,      storage,
                  counters,         NodeId("a"),
                  DiskId("disk-a"), [](const NodeId& node) { return std::optional(PeerAddress(node.str())); }};
};

}  // namespace

// Guards against a blocked event loop. After a restart of all nodes a group's members compare their records: each one
// requests pages of 256 ballots from each other one. To answer, the complete values were read in one iteration of the
// loop: half a gigabyte per page with items of batch jobs of 2 MB each. On a tenth of a core no member answered readers
// meanwhile ('replies 0 of 3'), while the members spent 22 % of their time decoding and copying values that nobody had
// requested. A page now reads a few MB and the next one continues, so that a read request waits for at most one page.
TEST_CASE("a page of ballots reads a bounded part of the values, and the next pages contain the rest") {
  large_values held;
  std::string after = "a:";
  std::size_t ballots = 0;
  for (bool truncated = true; truncated;) {
    held.environment.sent.clear();
    held.storage.read_bytes = 0;
    wire::CopyRequestT request;
    request.epoch = 1;
    request.after = after;
    request.limit = 256;
    held.replica.handle(kCaller, request);
    held.environment.world.run_for(20ms);
    REQUIRE(held.environment.sent.size() == 1);
    const wire::CopyReplyT& reply = *held.environment.sent.front().body.AsCopyReply();
    REQUIRE(!reply.records.empty());
    CHECK(held.storage.read_bytes <= kMaxBytesReadAtOnce);
    ballots += reply.records.size();
    truncated = reply.truncated;
    after = "a:" + reply.records.back()->key;
  }
  CHECK(ballots == kLargeValues);
}

// Two more places read values without bound: a request for the ballots of named records read all of up to 256 values,
// though its answer is compared only up to the end of the answer with the values; and the receiver of a page of
// promises, which is small, read the value that belongs to each promise.
TEST_CASE("a request for the ballots of named records reads a bounded part of their values") {
  large_values held;
  wire::ScanRequestT request;
  request.epoch = 1;
  request.ballots_only = true;
  request.max_bytes = 900'000;
  for (std::size_t number = 0; number < kLargeValues; ++number) {
    request.keys.push_back(large_values::key(number));
  }
  held.replica.handle(kCaller, request);
  REQUIRE(held.environment.sent.size() == 1);
  CHECK(!held.environment.sent.front().body.AsScanReply()->records.empty());
  CHECK(held.storage.read_bytes <= kMaxBytesReadAtOnce);
}

TEST_CASE("a page of promises is applied without reading the values that belong to them") {
  large_values held;
  held.replica.catch_up();
  wire::CopyReplyT page;
  page.epoch = 1;
  page.replica = 1;
  page.after = "p:";
  page.ballots_only = true;
  for (std::size_t number = 0; number < kLargeValues; ++number) {
    auto record = std::make_unique<wire::LedgerRecordT>();
    record->key = large_values::key(number);
    record->promised = to_wire(Ballot{2, 1});
    page.records.push_back(std::move(record));
  }
  held.storage.read_bytes = 0;
  held.replica.handle(PeerAddress("b"), page);
  CHECK(held.storage.read_bytes <= kMaxBytesReadAtOnce);
  wire::PrepareT prepare;
  prepare.epoch = 1;
  prepare.ballot = to_wire(Ballot{1, 9});
  prepare.key = large_values::key(0);
  held.environment.sent.clear();
  held.replica.handle(kCaller, prepare);
  held.environment.world.run_for(20ms);
  REQUIRE(!held.environment.sent.empty());
  CHECK(held.environment.sent.back().body.AsPromise()->status == wire::ReplicaStatus::BallotTooLow);
}

// Guards against a power loss between the sync of a mark and that of the records that it covers: the database syncs its
// logs separately.
TEST_CASE("a replica votes once what it has copied is on its disk, not before") {
  ReplicaFixture fixture("disk-new");
  fixture.replica->on_group_map(fixture.map(2, "disk-new"));
  CopySourceScript b(fixture, 1, "b");
  CopySourceScript c(fixture, 2, "c");
  for (CopySourceScript* source : {&b, &c}) {
    source->answer("p:", true);
    source->answer("a:", true);
    source->answer("a:", false);
  }
  CHECK_FALSE(fixture.replica->synchronized());
  const unsigned flushes = fixture.storage.flushes;
  CHECK(flushes > 0);
  fixture.sync();
  CHECK(fixture.replica->synchronized());
}

namespace {

/// A disk whose reads can be made to fail.
class unreadable_storage : public simulation::SimStorage {
 public:
  using SimStorage::SimStorage;
  Result<std::optional<wire::Bytes>> get(const std::string& key) const override {
    return fails_reads ? Result<std::optional<wire::Bytes>>(error()) : SimStorage::get(key);
  }
  Status scan(const std::string& prefix, const std::string& after,
              const std::function<bool(std::string_view, std::string_view)>& visit) const override {
    return fails_scans ? Status(error()) : SimStorage::scan(prefix, after, visit);
  }
  bool fails_reads = false;
  bool fails_scans = false;

 private:
  static Error error() { return Error{ErrorKind::unavailable, "cannot be read"}; }
};

struct unreadable_fixture {
  unreadable_fixture() {
    process.start();
    replica = make();
    replica->on_group_map(map);
    environment.world.run_for(20ms);  // waits until the state of the group is on the disk
    replica->handle(kCaller, accept());
    environment.world.run_for(20ms);
  }
  std::unique_ptr<Replica> make() {
    return std::make_unique<Replica>(environment, storage, counters, NodeId("a"), DiskId("disk-a"),
                                     [](const NodeId& node) { return std::optional(PeerAddress(node.str())); });
  }
  static wire::AcceptT accept() {
    wire::AcceptT message;
    message.request = 1;
    message.epoch = 1;
    message.key = "job/x";
    message.ballot = to_wire(Ballot{1, 1});
    message.value = {7};
    return message;
  }
  GroupMap map{{ReplicaGroup{1, {{NodeId("a"), DiskId("disk-a")}, {NodeId("b"), DiskId("disk-b")}}, {}}}};
  TestEnvironment environment;
  Counters counters;
  simulation::SimProcess process{environment.world};
  unreadable_storage storage{environment.world, process};
  std::unique_ptr<Replica> replica;
};

}  // namespace

// Guards against forgotten promises: a replica that could not read its state of a group at a start adopted the founding
// description as its first one, and voted as a founding member without records, whatever it had promised and confirmed.
TEST_CASE("a replica that cannot read its state of a group takes no part in it until it can") {
  unreadable_fixture fixture;
  fixture.replica = fixture.make();
  SECTION("none of its groups") { fixture.storage.fails_scans = true; }
  SECTION("the state of one") {}
  fixture.storage.fails_reads = true;
  std::size_t told = 0;
  fixture.replica->on_unreadable = [&told](std::optional<std::uint32_t>, const Error&) { ++told; };
  fixture.replica->restore();
  fixture.replica->on_group_map(fixture.map);
  CHECK(told == 1);
  CHECK_FALSE(fixture.replica->holds(0, 1));
  CHECK_FALSE(fixture.replica->left_all_groups(kLeastCopies));
  fixture.environment.world.run_for(5s);
  CHECK_FALSE(fixture.replica->holds(0, 1));
  fixture.storage.fails_reads = false;
  fixture.storage.fails_scans = false;
  fixture.environment.world.run_for(2s);
  CHECK(fixture.replica->holds(0, 1));
}

// Guards against incomplete answers: the records before an unreadable place were returned as if they were all.
TEST_CASE("a scan of a disk that fails to read is refused, not answered in part") {
  unreadable_fixture fixture;
  fixture.storage.fails_scans = true;
  fixture.environment.sent.clear();
  wire::ScanRequestT request;
  request.request = 2;
  request.epoch = 1;
  request.prefix = "job/";
  request.limit = 10;
  fixture.replica->handle(kCaller, request);
  wire::CopyRequestT copy;
  copy.epoch = 1;
  copy.after = "a:";
  copy.limit = 10;
  fixture.replica->handle(kCaller, copy);
  fixture.environment.world.run_for(20ms);
  CHECK(fixture.environment.sent_of(wire::Message::CopyReply) == 0);
  REQUIRE(fixture.environment.sent_of(wire::Message::ScanReply) == 1);
  for (const auto& message : fixture.environment.sent) {
    if (message.body.type == wire::Message::ScanReply) {
      CHECK(message.body.AsScanReply()->status == wire::ReplicaStatus::Corrupted);
    }
  }
}
