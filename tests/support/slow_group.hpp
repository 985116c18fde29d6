#pragma once
/// @file A replica group of five on busy machines, and gateways that read from it, under virtual time.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "batch/records.hpp"
#include "batch/result_reader.hpp"
#include "ledger/client.hpp"
#include "ledger/replica.hpp"
#include "simulation/fleet.hpp"
#include "simulation/world.hpp"

namespace madderdeck::tests {

/// Real replicas and readers. A replica handles one message after the other: each takes its time, and each kilobyte of
/// the answer takes more. Gateways take no time.
class slow_group {
 public:
  static constexpr unsigned kReplicas = 5;

  /// @param per_question of a replica's machine, for each question of a reader.
  /// @param per_kilobyte of values that it sends.
  slow_group(unsigned gateways, Duration per_question, Duration per_kilobyte)
      : per_question_(per_question), per_kilobyte_(per_kilobyte) {
    ledger::ReplicaGroup group;
    group.epoch = 1;
    for (unsigned number = 0; number < kReplicas; ++number) {
      group.replicas.push_back({NodeId(name_of(number)), DiskId("disk")});
    }
    map_.groups.push_back(std::move(group));
    for (unsigned number = 0; number < kReplicas; ++number) {
      replicas_.push_back(std::make_unique<replica_node>(*this, number));
      replicas_.back()->replica.on_group_map(map_);
    }
    for (unsigned number = 0; number < gateways; ++number) {
      gateways_.push_back(std::make_unique<gateway_node>(*this, number));
    }
    world.run_for(100ms);
  }

  /// Stores a finished job whose results have @p result_bytes each, as it stands once everything was written.
  JobId add_job(const std::string& name, std::uint32_t items, std::size_t result_bytes) {
    const JobId job = batch::job_id_for("", name);
    wire::JobRecordT record;
    record.id = job.str();
    record.host = "jobs.example";
    record.submission = "s";
    record.items = items;
    record.chunks = 1;
    record.state = wire::JobState::Completed;
    store(batch::job_key(job), wire::encode_record(record));
    wire::OrderRecordT order;
    for (std::uint32_t index = 0; index < items; ++index) {
      order.indexes.push_back(items - 1 - index);
      wire::ResultRecordT result;
      result.index = index;
      result.item_id = "item-" + std::to_string(index);
      result.body = std::string(result_bytes, static_cast<char>('a' + index % 26));
      store(batch::result_key(job, index), wire::encode_record(result));
    }
    store(batch::order_key(job, 0), wire::encode_record(order));
    return job;
  }

  /// From now on the first @p count replicas run a version that knows no named records: it reads the question without
  /// the names, as one about a stretch of no length.
  void run_earlier_version(unsigned count) { earlier_ = count; }
  void slow_down(Duration per_question) { per_question_ = per_question; }
  batch::ResultReader& reader(unsigned gateway) { return gateways_[gateway]->reader; }
  Counters& counters(unsigned gateway) { return gateways_[gateway]->counters; }
  /// @return questions of readers that have reached a replica.
  std::uint64_t questions() const { return questions_; }
  /// @return bytes of values that the replicas have sent.
  std::uint64_t value_bytes() const { return value_bytes_; }

  simulation::World world{1};

 private:
  static std::string name_of(unsigned replica) { return "replica-" + std::to_string(replica); }

  /// Environment of a node; what it sends goes through the group.
  class node_environment : public Environment {
   public:
    node_environment(slow_group& group, std::string self) : group_(group), self_(std::move(self)) {}
    Timestamp now() const override { return group_.world.now(); }
    std::uint64_t unix_milliseconds() const override { return static_cast<std::uint64_t>(group_.world.now() / 1ms); }
    std::uint64_t random() override { return group_.world.random.next(); }
    void send(const PeerAddress& to, wire::MessageUnion message) override {
      group_.deliver(self_, to.str(), std::move(message));
    }
    void after(Duration delay, std::function<void()> task) override { group_.world.schedule(delay, std::move(task)); }

   private:
    slow_group& group_;
    const std::string self_;
  };

  struct replica_node {
    replica_node(slow_group& group, unsigned number)
        : name(name_of(number)),
          environment(group, name),
          process(group.world),
          storage(group.world, process),
          replica(environment, storage, counters, NodeId(name_of(number)), DiskId("disk"),
                  [](const NodeId& node) { return std::optional(PeerAddress(node.str())); }) {
      process.start();
    }
    const std::string name;
    node_environment environment;
    Counters counters;
    simulation::SimProcess process;
    simulation::SimStorage storage;
    ledger::Replica replica;
    Timestamp free_at{};
  };

  struct gateway_node {
    gateway_node(slow_group& group, unsigned number)
        : environment(group, "gateway-" + std::to_string(number)),
          client(environment, counters, [](const NodeId& node) { return std::optional(PeerAddress(node.str())); }),
          reader(environment, counters, client, log) {
      client.on_group_map(group.map_);
    }
    node_environment environment;
    Counters counters;
    NoDecisionLog log;
    ledger::Client client;
    batch::ResultReader reader;
  };

  void store(const std::string& key, const wire::Bytes& value) {
    for (const auto& node : replicas_) {
      wire::AcceptT accept;
      accept.epoch = 1;
      accept.ballot = ledger::to_wire(ledger::Ballot{1, 1});
      accept.key = key;
      accept.value = value;
      node->replica.handle(PeerAddress("nobody"), accept);
    }
    world.run_for(5ms);  // until it is on the disks
  }

  static std::size_t bytes_of(const wire::MessageUnion& message) {
    std::size_t bytes = 0;
    if (message.type == wire::Message::ScanReply) {
      for (const auto& record : message.AsScanReply()->records) {
        bytes += record->value.size();
      }
    }
    return bytes;
  }

  void deliver(const std::string& from, const std::string& to, wire::MessageUnion message) {
    constexpr Duration kLink = 1ms;
    auto body = std::make_shared<wire::MessageUnion>(std::move(message));
    for (const auto& node : replicas_) {
      if (to == node->name) {
        arrive(*node, from, body);
        return;
      }
    }
    for (unsigned number = 0; number < gateways_.size(); ++number) {
      if (to == "gateway-" + std::to_string(number) && body->type == wire::Message::Promise) {
        world.schedule(kLink, [this, number, from, body] {
          gateways_[number]->client.handle(PeerAddress(from), *body->AsPromise());
        });
      }
      if (to == "gateway-" + std::to_string(number) && body->type == wire::Message::ScanReply) {
        const std::size_t bytes = bytes_of(*body);
        value_bytes_ += bytes;
        Duration delay = kLink;
        if (sending_ != nullptr) {
          sending_->free_at = std::max(sending_->free_at, world.now()) + per_kilobyte_ * (bytes / 1024);
          delay += sending_->free_at - world.now();
        }
        world.schedule(delay, [this, number, from, body] {
          gateways_[number]->client.handle(PeerAddress(from), *body->AsScanReply());
        });
      }
    }
  }

  void arrive(replica_node& node, const std::string& from, const std::shared_ptr<wire::MessageUnion>& body) {
    if (body->type == wire::Message::Prepare) {
      world.schedule(per_question_,
                     [&node, from, body] { node.replica.handle(PeerAddress(from), *body->AsPrepare()); });
    }
    if (body->type != wire::Message::ScanRequest) {
      return;
    }
    if (is_earlier(node)) {
      body->AsScanRequest()->keys.clear();
      body->AsScanRequest()->max_bytes = 0;
    }
    ++questions_;
    node.free_at = std::max(node.free_at, world.now()) + per_question_;
    world.schedule(node.free_at - world.now(), [this, &node, from, body] {
      // Its answer leaves once the machine has made it.
      sending_ = &node;
      node.replica.handle(PeerAddress(from), *body->AsScanRequest());
      sending_ = nullptr;
    });
  }

  bool is_earlier(const replica_node& node) const {
    for (unsigned number = 0; number < earlier_; ++number) {
      if (replicas_[number].get() == &node) {
        return true;
      }
    }
    return false;
  }

  Duration per_question_;
  const Duration per_kilobyte_;
  unsigned earlier_ = 0;
  ledger::GroupMap map_;
  std::vector<std::unique_ptr<replica_node>> replicas_;
  std::vector<std::unique_ptr<gateway_node>> gateways_;
  replica_node* sending_ = nullptr;
  std::uint64_t questions_ = 0;
  std::uint64_t value_bytes_ = 0;
};

}  // namespace madderdeck::tests
