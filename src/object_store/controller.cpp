#include "object_store/controller.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace madderdeck::object_store {
namespace {
constexpr Duration kIdle = 500ms;
constexpr Duration kGroupCheck = 1s;
constexpr char kReaderRank[] = "store-reader";
}  // namespace

Controller::Controller(Environment& environment, Counters& counters, membership::Membership& members,
                       config::TableReplicator& objects, config::TableReplicator& machines,
                       config::TableReplicator& groups, const config::Catalog& catalog, PlatformClient& platform,
                       Declarations& declarations, ControllerOptions options)
    : environment_(environment),
      counters_(counters),
      members_(members),
      objects_(objects),
      machines_(machines),
      groups_(groups),
      catalog_(catalog),
      platform_(platform),
      declarations_(declarations),
      options_(options) {}

void Controller::start() {
  started_ = environment_.now();
  watch(objects_, &PlatformClient::watch_objects);
  watch(machines_, &PlatformClient::watch_machines);
  if (platform_.has_group_source()) {
    watch(groups_, &PlatformClient::watch_groups);
  }
  environment_.after(kGroupCheck, lifetime_.guard([this] { maintain_groups(); }));
}

bool Controller::ranks_among(std::size_t count) const {
  auto controllers = members_.available(membership::Role::controller);
  const auto rank = [](const wire::MemberT* member) { return rendezvous_weight(kReaderRank, member->id); };
  std::sort(controllers.begin(), controllers.end(),
            [&](const wire::MemberT* left, const wire::MemberT* right) { return rank(left) > rank(right); });
  for (std::size_t position = 0; position < std::min(count, controllers.size()); ++position) {
    if (controllers[position]->id == members_.self().id) {
      return true;
    }
  }
  return false;
}

void Controller::watch(config::TableReplicator& table, Watch source) {
  const auto again_after = [this, &table, source](Duration pause) {
    environment_.after(pause, lifetime_.guard([this, &table, source] { watch(table, source); }));
  };
  if (!is_reader()) {
    again_after(kIdle);
    return;
  }
  const auto take = [this, &table, source, again_after](Result<ChangeList> result) {
    if (!succeeded(result)) {
      counters_["platform_watch_failures_total"]++;
      again_after(options_.store_retry);
      return;
    }
    const ChangeList& changes = value_of(result);
    table.apply_from_source(changes.since, changes.up_to, changes.entries, changes.complete);
    watch(table, source);
  };
  (platform_.*source)(table.table().revision(), options_.watch_wait, lifetime_.guard(take));
}

// --- replica groups -------------------------------------------------------------------------

std::vector<const wire::MemberT*> Controller::ledger_nodes() const {
  auto nodes = members_.available(membership::Role::ledger);
  std::erase_if(nodes, [](const wire::MemberT* member) { return member->disk_id.empty(); });
  return nodes;
}

void Controller::maintain_groups() {
  environment_.after(kGroupCheck, lifetime_.guard([this] { maintain_groups(); }));
  if (!ranks_among(options_.maintainers) || declaring_ || environment_.now() - started_ < options_.founding_wait) {
    return;
  }
  if (catalog_.groups().groups.empty()) {
    found_groups();
  } else {
    replace_members();
  }
}

void Controller::found_groups() {
  const auto nodes = ledger_nodes();
  std::set<std::string> zones;
  for (const wire::MemberT* node : nodes) {
    zones.insert(node->zone);
  }
  if (nodes.size() < options_.replicas) {
    return;
  }
  ledger::GroupMap map;
  for (std::size_t number = 0; number < options_.group_count; ++number) {
    auto order = nodes;
    const std::string name = "group-" + std::to_string(number);
    std::sort(order.begin(), order.end(), [&](const wire::MemberT* left, const wire::MemberT* right) {
      return rendezvous_weight(name, left->id) > rendezvous_weight(name, right->id);
    });
    ledger::ReplicaGroup group;
    group.epoch = 1;
    std::set<std::string> used;
    const bool spread = zones.size() >= options_.replicas;
    for (const wire::MemberT* node : order) {
      const bool new_zone = used.insert(node->zone).second;
      if (group.replicas.size() < options_.replicas && (new_zone || !spread)) {
        group.replicas.push_back({NodeId(node->id), DiskId(node->disk_id)});
      }
    }
    map.groups.push_back(std::move(group));
  }
  declare_groups(map);
}

bool Controller::replica_lost(const ledger::ReplicaIdentity& replica) {
  const Duration patience = std::chrono::seconds(catalog_.policy().replace_ledger_node_after_s);
  for (const wire::MemberT* member : members_.members()) {
    if (member->id == replica.node.str() && member->state != wire::MemberState::Dead) {
      missing_since_.erase(replica.node);
      return !member->disk_id.empty() && member->disk_id != replica.disk.str();
    }
  }
  const auto [since, inserted] = missing_since_.try_emplace(replica.node, environment_.now());
  return environment_.now() - since->second > patience;
}

const wire::MemberT* Controller::substitute(const ledger::ReplicaGroup& group,
                                            const ledger::ReplicaIdentity& lost) const {
  std::set<std::string> other_zones;
  const wire::MemberT* best = nullptr;
  int best_rank = -1;
  const auto nodes = ledger_nodes();
  for (const wire::MemberT* node : nodes) {
    for (const ledger::ReplicaIdentity& replica : group.replicas) {
      if (replica.node.str() == node->id && replica != lost) {
        other_zones.insert(node->zone);
      }
    }
  }
  for (const wire::MemberT* node : nodes) {
    const bool member_already = std::any_of(group.replicas.begin(), group.replicas.end(), [&](const auto& replica) {
      return replica.node.str() == node->id && replica.node != lost.node;
    });
    if (member_already) {
      continue;
    }
    // The same node with its new disk first, then a zone that the others do not use.
    const int rank = node->id == lost.node.str() ? 2 : (other_zones.contains(node->zone) ? 0 : 1);
    if (rank > best_rank) {
      best = node;
      best_rank = rank;
    }
  }
  return best;
}

void Controller::replace_members() {
  ledger::GroupMap map = catalog_.groups();
  bool changed = false;
  for (ledger::ReplicaGroup& group : map.groups) {
    for (ledger::ReplicaIdentity& replica : group.replicas) {
      if (!replica_lost(replica)) {
        continue;
      }
      const wire::MemberT* node = substitute(group, replica);
      if (node == nullptr) {
        continue;
      }
      replica = {NodeId(node->id), DiskId(node->disk_id)};
      ++group.epoch;
      changed = true;
      break;  // one replacement a step: the next waits for a new look at the group
    }
  }
  if (changed) {
    counters_["replica_replacements_total"]++;
    declare_groups(map);
  }
}

void Controller::declare_groups(const ledger::GroupMap& map) {
  const config::VersionedTable& source = platform_.has_group_source() ? groups_.table() : objects_.table();
  const config::Entry* present = source.find({config::kReplicaGroupsKind, config::kDefaultName});
  PutRequest request;
  request.key = {config::kReplicaGroupsKind, config::kDefaultName};
  request.body = config::format_group_map(map);
  request.expected_revision = present == nullptr ? 0 : present->revision;
  declaring_ = true;
  declarations_.declare(std::move(request), lifetime_.guard([this](const Result<std::uint64_t>&) {
    // Whoever won, the watch brings what stands.
    environment_.after(kGroupCheck, lifetime_.guard([this] { declaring_ = false; }));
  }));
}

}  // namespace madderdeck::object_store
