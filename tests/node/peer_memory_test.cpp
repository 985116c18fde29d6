#include "node/peer_memory.hpp"

#include <catch2/catch.hpp>

#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::node;
using membership::Membership;
using tests::TestEnvironment;

namespace {

/// An in-memory disk that can be made to refuse reads and writes, as a full disk does.
class refusing_disk : public ledger::Storage {
 public:
  Result<std::optional<wire::Bytes>> get(const std::string& key) const override {
    if (refuses) {
      return Error{ErrorKind::unavailable, "refused"};
    }
    const auto found = records.find(key);
    return found == records.end() ? std::optional<wire::Bytes>() : std::optional(found->second);
  }
  void put(const std::string& key, const wire::Bytes& value) override {
    ++puts;
    if (!refuses) {
      records[key] = value;
    }
  }
  void put_atomically(const std::vector<Entry>&) override {}
  Status scan(const std::string&, const std::string&,
              const std::function<bool(std::string_view, std::string_view)>&) const override {
    return Ok{};
  }
  void flush(std::function<void(Status)> done) override {
    done(refuses ? Status(Error{ErrorKind::storage_unwritable, "refused"}) : Status(Ok{}));
  }
  bool has_unflushed() const override { return false; }

  std::map<std::string, wire::Bytes> records;
  bool refuses = false;
  unsigned puts = 0;
};

/// A node that receives pings from peers.
struct node_with_peers {
  node_with_peers()
      : members(environment, counters, self(), {}, hooks()), memory(environment, counters, log, members) {}
  static wire::MemberT member(unsigned number) {
    wire::MemberT member;
    member.id = "n" + std::to_string(number);
    member.peer_address = "10.0.0." + std::to_string(number) + ":1";
    member.roles = 15;
    member.incarnation = 1;
    return member;
  }
  static wire::MemberT self() { return member(0); }
  static membership::Hooks hooks() {
    membership::Hooks hooks;
    hooks.local_revisions = [] { return membership::TableRevisions{}; };
    hooks.on_peer_revisions = [](const PeerAddress&, const membership::TableRevisions&) {};
    return hooks;
  }
  void hear(unsigned number) {
    wire::PingT ping;
    ping.sender = std::make_unique<wire::MemberT>(member(number));
    members.handle(PeerAddress(ping.sender->peer_address), ping);
  }

  TestEnvironment environment;
  Counters counters;
  NoDecisionLog log;
  Membership members;
  peer_memory memory;
};

}  // namespace

TEST_CASE("a node reads the peers that it stored at its next start") {
  refusing_disk disk;
  node_with_peers before;
  before.memory.store_in(disk);
  before.hear(1);
  before.hear(2);
  before.environment.world.run_for(2s);
  node_with_peers after;
  after.memory.store_in(disk);
  CHECK(after.members.remembered() == before.members.remembered());
  CHECK(after.members.remembered().size() == 2);
}

TEST_CASE("a change of members writes the list once, and changes in quick succession share a write") {
  refusing_disk disk;
  node_with_peers node;
  node.memory.store_in(disk);
  node.environment.world.run_for(60s);
  CHECK(disk.puts == 0);
  for (unsigned peer = 1; peer <= 20; ++peer) {
    node.hear(peer);
    node.environment.world.run_for(500ms);
  }
  CHECK(disk.puts <= 2);
  node.environment.world.run_for(60s);
  CHECK(disk.puts == 2);
}

// Guards against replacing a list that could not be read by the few peers that a node knows right after its start.
TEST_CASE("a disk that refuses reads at the start keeps its list, which is read when the disk is back") {
  refusing_disk disk;
  node_with_peers before;
  before.memory.store_in(disk);
  before.hear(1);
  before.environment.world.run_for(2s);
  disk.refuses = true;
  disk.puts = 0;
  node_with_peers after;
  after.memory.store_in(disk);
  after.hear(2);
  after.environment.world.run_for(60s);
  CHECK(disk.puts == 0);
  CHECK(after.counters["membership_peers_unread_total"] == 1);
  disk.refuses = false;
  after.memory.store_in(disk);
  CHECK(after.members.remembered() == before.members.remembered());
  after.environment.world.run_for(2s);
  CHECK(after.members.remembered().size() == 2);
}

TEST_CASE("a list that the disk refused is written when the disk accepts writes again") {
  refusing_disk disk;
  node_with_peers node;
  node.memory.store_in(disk);
  disk.refuses = true;
  node.hear(1);
  node.environment.world.run_for(60s);
  CHECK(disk.puts >= 2);
  CHECK(disk.puts <= 7);
  disk.refuses = false;
  node.environment.world.run_for(11s);
  CHECK(disk.records.contains(peer_memory::kKey));
}
