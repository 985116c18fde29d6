/// Tables on the disks of nodes: written as they change, given back to a fleet that starts while its source is away.
#include "node/stored_tables.hpp"

#include "config/objects.hpp"

#include <catch2/catch.hpp>

#include <memory>

#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::node;
using config::Entry;
using config::EntryKey;
using config::TableReplicator;
using tests::TestEnvironment;

namespace {

constexpr wire::TableId kTable = wire::TableId::Machines;

/// An in-memory disk that can be made to refuse.
class table_disk : public ledger::Storage {
 public:
  Result<std::optional<wire::Bytes>> get(const std::string& key) const override {
    if (refuses) {
      return Error{ErrorKind::unavailable, "refused"};
    }
    const auto found = records.find(key);
    return found == records.end() ? std::optional<wire::Bytes>() : std::optional(found->second);
  }
  void put(const std::string& key, const wire::Bytes& value) override { put_atomically({{key, value}}); }
  void put_atomically(const std::vector<ledger::Storage::Entry>& entries) override {
    ++writes;
    for (const auto& entry : entries) {
      written_bytes += entry.value.size();
      if (!refuses) {
        records[entry.key] = entry.value;
      }
    }
  }
  Status scan(const std::string& prefix, const std::string&,
              const std::function<bool(std::string_view, std::string_view)>& visit) const override {
    for (const auto& [key, value] : records) {
      if (key.starts_with(prefix) && !visit(key, {reinterpret_cast<const char*>(value.data()), value.size()})) {
        break;
      }
    }
    return Ok{};
  }
  void flush(std::function<void(Status)> done) override {
    done(refuses ? Status(Error{ErrorKind::storage_unwritable, "refused"}) : Status(Ok{}));
  }
  bool has_unflushed() const override { return false; }

  std::map<std::string, wire::Bytes> records;
  bool refuses = false;
  unsigned writes = 0;
  std::size_t written_bytes = 0;
};

Entry engine(const std::string& name, std::uint64_t revision, bool deleted = false) {
  return {{config::kMachineKind, name}, deleted ? "" : "{}", revision, deleted};
}

/// Process number @p number of three with a disk.
class disk_node {
 public:
  explicit disk_node(unsigned number, table_disk& disk, unsigned disks = 3)
      : disk_(disk),
        members_(environment, counters, member(number), {}, hooks()),
        table(
            environment, counters, kTable, [](std::size_t) { return std::vector<PeerAddress>(); },
            [this](const std::vector<EntryKey>& keys) { stored.on_changed(kTable, keys); }),
        stored(environment, counters, log, members_, [disks] {
          std::set<ledger::ReplicaIdentity> all;
          for (unsigned other = 1; other <= disks; ++other) {
            all.insert({NodeId(member(other).id), DiskId(member(other).disk_id)});
          }
          return all;
        }) {
    environment.world.run_for(1s);
    stored.add(kTable, table);
  }
  static wire::MemberT member(unsigned number) {
    wire::MemberT member;
    member.id = "n" + std::to_string(number);
    member.disk_id = "d" + std::to_string(number);
    member.peer_address = "10.0.0." + std::to_string(number) + ":1";
    member.roles = 15;
    member.incarnation = 1;
    return member;
  }
  void start() { stored.store_in(disk_); }
  void know(const wire::MemberT& other) {
    wire::PingT ping;
    ping.sender = std::make_unique<wire::MemberT>(other);
    members_.handle(PeerAddress(other.peer_address), ping);
  }
  /// The disk of @p other answers that it holds @p revision.
  void hear(unsigned other, std::uint64_t revision) {
    know(member(other));
    answer(member(other).peer_address, revision);
  }
  void answer(const std::string& address, std::uint64_t revision) {
    wire::RevisionAnswerT message;
    message.table = kTable;
    message.number = question_number();
    message.revision = revision;
    CHECK(stored.handle(PeerAddress(address), message));
  }
  /// @return the number of the questions that the node asks disks, taken from one that it has sent.
  std::uint64_t question_number() {
    run(stored_tables::kFirstAsk + stored_tables::kAskInterval);
    for (const auto& message : environment.sent) {
      if (const auto* question = message.body.AsRevisionQuestion()) {
        return question->number;
      }
    }
    FAIL("no disk was asked");
    return 0;
  }
  void run(Duration time) { environment.world.run_for(time); }
  std::vector<std::string> engines() const {
    std::vector<std::string> names;
    for (const Entry* entry : table.table().list(config::kMachineKind)) {
      names.push_back(entry->key.name);
    }
    return names;
  }

 private:
  static membership::Hooks hooks() {
    membership::Hooks hooks;
    hooks.local_revisions = [] { return membership::TableRevisions{}; };
    hooks.on_peer_revisions = [](const PeerAddress&, const membership::TableRevisions&) {};
    return hooks;
  }

  table_disk& disk_;

 public:
  TestEnvironment environment;
  Counters counters;

 private:
  NoDecisionLog log;
  membership::Membership members_;

 public:
  TableReplicator table;
  stored_tables stored;
};

/// Leaves on @p disk what a process of node 1 knew that read @p entries from the source.
void fill(table_disk& disk, const std::vector<Entry>& entries, std::uint64_t revision) {
  disk_node before(1, disk);
  before.start();
  before.table.apply_from_source(0, revision, entries, true, before.environment.now());
  before.run(1s);
}

}  // namespace

TEST_CASE("a table is given back once a majority of the disks has none that is later") {
  table_disk disk;
  fill(disk, {engine("e1", 3), engine("e2", 5)}, 7);
  disk_node node(1, disk);
  node.start();
  node.run(5s);
  CHECK(node.engines().empty());
  CHECK(node.table.table().revision() == 0);
  node.hear(2, 6);
  CHECK(node.engines() == std::vector<std::string>{"e1", "e2"});
  CHECK(node.table.table().revision() == 7);
  CHECK(node.table.is_restored());
}

TEST_CASE("a table that is older than another disk's is not given back") {
  table_disk disk;
  fill(disk, {engine("e1", 3)}, 7);
  disk_node node(1, disk);
  node.start();
  node.hear(2, 8);
  node.hear(3, 7);
  CHECK(node.table.table().revision() == 0);
  // The disk that has the later one ends for good; the two others are a majority without it.
  node.run(2 * stored_tables::kAnswerValid);
  node.hear(3, 7);
  CHECK(node.table.table().revision() == 7);
}

TEST_CASE("answers of machines whose disks are not those of the groups do not count") {
  table_disk disk;
  fill(disk, {engine("e1", 3)}, 7);
  disk_node node(1, disk);
  node.start();
  wire::MemberT emptied = disk_node::member(2);
  node.hear(3, 9);
  node.run(2 * stored_tables::kAnswerValid);
  emptied.disk_id = "d9";
  node.know(emptied);
  node.answer(emptied.peer_address, 0);
  CHECK(node.table.table().revision() == 0);
}

TEST_CASE("the disk that is left of a pair gives its table back once the other one is known to be lost") {
  table_disk disk;
  fill(disk, {engine("e1", 3)}, 7);
  disk_node node(1, disk, 2);
  node.start();
  node.run(5s);
  CHECK(node.table.table().revision() == 0);
  wire::MemberT emptied = disk_node::member(2);
  emptied.disk_id = "";  // its disk is not open yet
  node.know(emptied);
  node.run(stored_tables::kAnswerValid);
  CHECK(node.table.table().revision() == 0);
  emptied.disk_id = "d9";
  ++emptied.incarnation;
  node.know(emptied);
  node.run(stored_tables::kAnswerValid);
  CHECK(node.table.table().revision() == 7);
}

TEST_CASE("beside a lost disk of five, all others that may hold a later table are heard") {
  table_disk disk;
  fill(disk, {engine("e1", 3)}, 7);
  disk_node node(1, disk, 5);
  node.start();
  for (const unsigned lost : {4U, 5U}) {
    wire::MemberT emptied = disk_node::member(lost);
    emptied.disk_id += "-new";
    node.know(emptied);
  }
  node.hear(2, 7);
  CHECK(node.table.table().revision() == 0);
  node.hear(3, 7);
  CHECK(node.table.table().revision() == 7);
}

TEST_CASE("what the source or a peer tells replaces the stored table, which does not come back") {
  table_disk disk;
  fill(disk, {engine("e1", 3), engine("gone", 4)}, 7);
  {
    disk_node node(1, disk);
    node.start();
    node.table.apply_from_source(0, 9, {engine("e1", 3), engine("e3", 9)}, true, node.environment.now());
    node.run(1s);
    CHECK_FALSE(node.table.is_restored());
  }
  disk_node next(1, disk);
  next.start();
  next.hear(2, 9);
  CHECK(next.engines() == std::vector<std::string>{"e1", "e3"});
}

TEST_CASE("an entry that is deleted stays deleted after a start") {
  table_disk disk;
  {
    disk_node node(1, disk);
    node.start();
    node.table.apply_from_source(0, 5, {engine("e1", 3), engine("e2", 5)}, true, node.environment.now());
    node.run(1s);
    node.table.apply_from_source(5, 6, {engine("e2", 6, true)}, false, node.environment.now());
    node.run(1s);
  }
  disk_node next(1, disk);
  next.start();
  next.hear(2, 6);
  CHECK(next.engines() == std::vector<std::string>{"e1"});
}

TEST_CASE("only what has changed is written, and changes in quick succession share a write") {
  table_disk disk;
  std::vector<Entry> engines;
  for (std::uint64_t number = 1; number <= 100; ++number) {
    engines.push_back(engine("e" + std::to_string(number), number));
  }
  fill(disk, engines, 100);
  CHECK(disk.writes == 1);
  const std::size_t whole = disk.written_bytes;
  disk_node node(1, disk);
  node.start();
  node.table.apply_from_source(0, 100, engines, true, node.environment.now());
  node.run(1s);
  CHECK(disk.writes == 1);
  for (std::uint64_t revision = 101; revision <= 110; ++revision) {
    node.table.apply_from_source(revision - 1, revision, {engine("e1", revision)}, false, node.environment.now());
  }
  node.run(1s);
  CHECK(disk.writes == 2);
  CHECK(disk.written_bytes - whole < whole / 20);
  node.run(60s);
  CHECK(disk.writes == 2);
}

TEST_CASE("a change that the disk refused is written when the disk is back") {
  table_disk disk;
  {
    disk_node node(1, disk);
    node.start();
    disk.refuses = true;
    node.table.apply_from_source(0, 5, {engine("e1", 3)}, true, node.environment.now());
    node.run(1s);
    CHECK(disk.records.empty());
    disk.refuses = false;
    const unsigned refused = disk.writes;
    node.start();
    node.run(1s);
    CHECK(disk.writes == refused);
    node.run(stored_tables::kRetryInterval);
    CHECK(disk.writes == refused + 1);
  }
  disk_node next(1, disk);
  next.start();
  next.hear(2, 5);
  CHECK(next.engines() == std::vector<std::string>{"e1"});
}

TEST_CASE("a disk that refuses reads at the start gives its table back later, and claims nothing before") {
  table_disk disk;
  fill(disk, {engine("e1", 3)}, 7);
  disk.refuses = true;
  disk_node node(1, disk);
  node.start();
  wire::RevisionQuestionT question;
  question.table = kTable;
  question.number = 1ULL << 63U;
  CHECK(node.stored.handle(PeerAddress("10.0.0.2:1"), question));
  CHECK(node.environment.sent_of(wire::Message::RevisionAnswer) == 0);
  disk.refuses = false;
  node.start();
  CHECK(node.stored.handle(PeerAddress("10.0.0.2:1"), question));
  CHECK(node.environment.sent_of(wire::Message::RevisionAnswer) == 1);
  node.hear(2, 7);
  CHECK(node.engines() == std::vector<std::string>{"e1"});
}

TEST_CASE("a restored table is never named fresh, here or at a peer, until the source is heard") {
  table_disk disk;
  fill(disk, {engine("e1", 3)}, 7);
  disk_node node(1, disk);
  node.start();
  node.hear(2, 7);
  REQUIRE(node.table.is_restored());
  CHECK(node.table.age_ms() == TableReplicator::kRestoredAge);
  CHECK(node.table.as_of() == Timestamp{});

  table_disk empty;
  disk_node peer(2, empty);
  unsigned confirmed = 0;
  peer.table.on_confirmed = [&confirmed] { ++confirmed; };
  wire::TableDeltaT delta;
  delta.table = kTable;
  delta.up_to = 7;
  delta.age_ms = node.table.age_ms();
  delta.entries.push_back(std::make_unique<wire::TableEntryT>());
  delta.entries.back()->kind = config::kMachineKind;
  delta.entries.back()->name = "e1";
  delta.entries.back()->body = "{}";
  delta.entries.back()->revision = 3;
  peer.table.handle(PeerAddress("10.0.0.1:1"), delta);
  CHECK(peer.engines() == std::vector<std::string>{"e1"});
  CHECK(peer.table.is_restored());
  CHECK(peer.table.age_ms() == TableReplicator::kRestoredAge);
  CHECK(confirmed == 0);
  peer.table.apply_from_source(7, 7, {}, false, peer.environment.now());
  CHECK_FALSE(peer.table.is_restored());
  CHECK(confirmed == 1);
}
