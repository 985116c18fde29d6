#include "batch/queue_limiter.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

#include "simulation/world.hpp"
#include "wire/codec.hpp"

using namespace madderdeck;
using namespace madderdeck::batch;
using simulation::World;

namespace {

constexpr char kRoute[] = "quotes";
constexpr std::uint64_t kLimit = 100;

/// Limiters of several nodes over a network without loss; an empty replica answers on behalf of the ledger.
class LimiterFleet {
 public:
  explicit LimiterFleet(unsigned count, std::uint64_t seed = 1) : world(seed) {
    for (unsigned number = 0; number < count; ++number) {
      nodes_.push_back(std::make_unique<Node>(*this, number));
    }
    for (auto& node : nodes_) {
      node->members.start();
      node->ledger.on_group_map({{{1, {{NodeId("ledger"), DiskId("d")}}}}});
      node->limiter.set_lowest_limit(kLimit);
      node->limiter.start();
      node->report();
    }
    world.run_for(4s);
  }

  queue_limiter& at(unsigned number) { return nodes_[number]->limiter; }
  /// Makes node @p number lose all incoming messages, or receive them again.
  void set_losing_messages(unsigned number, bool losing_messages) { nodes_[number]->losing_messages = losing_messages; }

  /// Asks node @p number to admit a job; that node manages the job if it is admitted.
  void request_admission(unsigned number, const std::string& job, std::uint64_t tokens) {
    Node& node = *nodes_[number];
    node.limiter.admit({kRoute, JobId(job), tokens, kLimit}, [this, &node, job, tokens](const admission& outcome) {
      verdicts[job] = outcome;
      if (outcome.verdict == admission_verdict::admitted) {
        node.managed[job] = tokens;
        most_waiting = std::max(most_waiting, waiting());
      }
    });
  }
  /// Ends @p job, all items of which are done, on node @p number.
  void finish(unsigned number, const std::string& job) {
    if (nodes_[number]->managed.erase(job) > 0) {
      nodes_[number]->limiter.close(kRoute, JobId(job));
    }
  }
  /// @return the tokens that actually wait, summed over all nodes.
  std::uint64_t waiting() const {
    std::uint64_t sum = 0;
    for (const auto& node : nodes_) {
      for (const auto& [job, tokens] : node->managed) {
        sum += tokens;
      }
    }
    return sum;
  }
  std::size_t admitted() const {
    return static_cast<std::size_t>(std::count_if(verdicts.begin(), verdicts.end(), [](const auto& entry) {
      return entry.second.verdict == admission_verdict::admitted;
    }));
  }

  World world;
  std::map<std::string, admission> verdicts;
  std::uint64_t most_waiting = 0;

 private:
  struct Node : Environment {
    Node(LimiterFleet& fleet, unsigned number)
        : fleet(fleet),
          members(*this, counters, self_of(number), {PeerAddress("p0")}, hooks()),
          ledger(*this, counters, [](const NodeId& node) { return std::optional(PeerAddress(node.str())); }),
          limiter(*this, counters, ledger, members, log) {}

    static membership::Hooks hooks() {
      membership::Hooks hooks;
      hooks.local_revisions = [] { return membership::TableRevisions{}; };
      hooks.on_peer_revisions = [](const PeerAddress&, const membership::TableRevisions&) {};
      return hooks;
    }
    static wire::MemberT self_of(unsigned number) {
      wire::MemberT self;
      self.id = "n" + std::to_string(number);
      self.peer_address = "p" + std::to_string(number);
      self.roles = 3;  // gateway and scheduler
      self.incarnation = 1;
      return self;
    }
    Timestamp now() const override { return fleet.world.now(); }
    std::uint64_t unix_milliseconds() const override { return static_cast<std::uint64_t>(now() / 1ms); }
    std::uint64_t random() override { return fleet.world.random.next(); }
    void after(Duration delay, std::function<void()> task) override { fleet.world.schedule(delay, std::move(task)); }
    void send(const PeerAddress& to, wire::MessageUnion message) override {
      const Duration delay(200 + fleet.world.random.below(1500));
      const PeerAddress sender(members.self().peer_address);
      auto shared = std::make_shared<wire::MessageUnion>(std::move(message));
      fleet.world.schedule(delay, [this, to, sender, shared] { fleet.deliver(sender, to, *shared); });
    }
    void report() {
      after(250ms, [this] { report(); });
      std::vector<wire::QueuedJobT> jobs;
      for (const auto& [job, tokens] : managed) {
        wire::QueuedJobT queued;
        queued.route = kRoute;
        queued.job = job;
        queued.tokens = tokens;
        jobs.push_back(queued);
      }
      limiter.set_managed_jobs(jobs);
    }

    LimiterFleet& fleet;
    Counters counters;
    NoDecisionLog log;
    membership::Membership members;
    ledger::Client ledger;
    queue_limiter limiter;
    std::map<std::string, std::uint64_t> managed;
    bool losing_messages = false;
  };

  void deliver(const PeerAddress& sender, const PeerAddress& to, const wire::MessageUnion& body) {
    for (auto& node : nodes_) {
      if (node->members.self().peer_address == to.str() && !node->losing_messages) {
        dispatch(*node, sender, body);
      }
      if (to.str() == "ledger" && node->members.self().peer_address == sender.str()) {
        answer_as_ledger(*node, body);
      }
    }
  }
  static void answer_as_ledger(Node& node, const wire::MessageUnion& body) {
    if (body.type == wire::Message::ScanRequest) {
      wire::ScanReplyT reply;
      reply.request = body.AsScanRequest()->request;
      reply.epoch = body.AsScanRequest()->epoch;
      node.ledger.handle(PeerAddress("ledger"), reply);
    } else if (body.type == wire::Message::Prepare) {
      wire::PromiseT reply;
      reply.request = body.AsPrepare()->request;
      reply.epoch = body.AsPrepare()->epoch;
      node.ledger.handle(PeerAddress("ledger"), reply);
    }
  }
  static void dispatch(Node& node, const PeerAddress& sender, const wire::MessageUnion& body) {
    switch (body.type) {
      case wire::Message::Ping:
        return node.members.handle(sender, *body.AsPing());
      case wire::Message::PingRequest:
        return node.members.handle(sender, *body.AsPingRequest());
      case wire::Message::Ack:
        return node.members.handle(sender, *body.AsAck());
      case wire::Message::MemberSync:
        return node.members.handle(sender, *body.AsMemberSync());
      case wire::Message::QueueReport:
        return node.limiter.handle(*body.AsQueueReport());
      case wire::Message::QueueGrantRequest:
        return node.limiter.handle(sender, *body.AsQueueGrantRequest());
      case wire::Message::QueueGrantReply:
        return node.limiter.handle(*body.AsQueueGrantReply());
      default:
        return;
    }
  }

  std::vector<std::unique_ptr<Node>> nodes_;
};

}  // namespace

TEST_CASE("a job that fits is let in at once, one that does not is refused with a time to come back") {
  LimiterFleet fleet(3);
  fleet.request_admission(0, "a", 60);
  fleet.world.run_for(50ms);
  CHECK(fleet.verdicts["a"].verdict == admission_verdict::admitted);
  fleet.request_admission(1, "b", 60);
  fleet.world.run_for(50ms);
  CHECK(fleet.verdicts["b"].verdict == admission_verdict::full);
  CHECK(fleet.verdicts["b"].retry_after >= 300ms);
  CHECK(fleet.verdicts["b"].retry_after <= 4s);
  fleet.request_admission(2, "c", 40);
  fleet.world.run_for(50ms);
  CHECK(fleet.verdicts["c"].verdict == admission_verdict::admitted);
}

TEST_CASE("what has finished makes room on every node") {
  LimiterFleet fleet(3);
  fleet.request_admission(0, "a", 100);
  fleet.world.run_for(50ms);
  fleet.finish(0, "a");
  fleet.world.run_for(300ms);
  fleet.request_admission(1, "b", 100);
  fleet.world.run_for(50ms);
  CHECK(fleet.verdicts["b"].verdict == admission_verdict::admitted);
}

TEST_CASE("a job that is sent again takes no further room") {
  LimiterFleet fleet(3);
  fleet.request_admission(0, "a", 80);
  fleet.world.run_for(50ms);
  fleet.request_admission(1, "a", 80);
  fleet.world.run_for(50ms);
  CHECK(fleet.verdicts["a"].verdict == admission_verdict::admitted);
  CHECK(fleet.at(2).waiting(kRoute) == 80);
}

TEST_CASE("two nodes asked at the same moment never give the same room away") {
  LimiterFleet fleet(4);
  for (unsigned round = 0; round < 5; ++round) {
    for (unsigned node = 0; node < 4; ++node) {
      fleet.request_admission(node, "job-" + std::to_string(round) + "-" + std::to_string(node), 30);
    }
  }
  fleet.world.run_for(1s);
  // Three jobs fit. Up to half the limit may be granted without asking the keeper, by all nodes at the same time.
  CHECK(fleet.waiting() <= kLimit);
  CHECK(fleet.admitted() == 3);
}

TEST_CASE("a node that has not read the open jobs lets nothing in") {
  LimiterFleet fleet(2);
  CHECK(fleet.at(0).view_complete());
  fleet.world.run_for(500ms);
  fleet.set_losing_messages(0, true);
  fleet.set_losing_messages(1, true);
  fleet.request_admission(0, "a", 60);
  fleet.request_admission(1, "b", 60);
  fleet.world.run_for(1s);
  const unsigned unsure = (fleet.verdicts["a"].verdict == admission_verdict::unsure ? 1 : 0) +
                          (fleet.verdicts["b"].verdict == admission_verdict::unsure ? 1 : 0);
  CHECK(unsure == 1);  // the node that is not the keeper got no answer from it
}

TEST_CASE("what waits never passes the limit and what fits is let in, whoever is asked and when") {
  rc::prop("waiting <= limit, and what fits is let in", [] {
    LimiterFleet fleet(4, *rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    std::map<std::string, unsigned> open;
    const auto steps = *rc::gen::inRange(10, 60);
    for (int step = 0; step < steps; ++step) {
      const unsigned node = static_cast<unsigned>(fleet.world.random.below(4));
      const std::string job = "job-" + std::to_string(step);
      if (fleet.world.random.chance(70) || open.empty()) {
        const std::uint64_t tokens = 1 + fleet.world.random.below(kLimit / 10);
        const bool calm = fleet.world.random.chance(30);
        if (calm) {
          fleet.world.run_for(600ms);
        }
        const bool fits = fleet.waiting() + tokens <= kLimit;
        fleet.request_admission(node, job, tokens);
        open[job] = node;
        if (calm) {
          fleet.world.run_for(20ms);
          RC_ASSERT((fleet.verdicts[job].verdict == admission_verdict::admitted) == fits);
        }
      } else {
        fleet.finish(open.begin()->second, open.begin()->first);
        open.erase(open.begin());
      }
      fleet.world.run_for(Duration(fleet.world.random.below(3000)));
    }
    fleet.world.run_for(1s);
    RC_ASSERT(fleet.most_waiting <= kLimit);
  });
}
