#include "placement/duties.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace madderdeck::placement {
namespace {

using membership::Role;

/// One in this many schedulers of a zone runs batch work. Each dispatcher then has several engines and can use idle
/// times across them, while its streams take only a small fraction of a small machine.
constexpr std::size_t kSchedulersPerDispatcher = 8;
/// One in this many schedulers manages jobs. With few queues, the jobs with the nearest deadlines go first.
constexpr std::size_t kSchedulersPerManager = 32;
/// Number of a zone's highest-capacity gateways that are candidates for coordinators.
constexpr std::size_t kMaxCoordinators = 3;

std::size_t fraction_of(std::size_t count, std::size_t divisor) { return std::max<std::size_t>(1, count / divisor); }

}  // namespace

void duties::refresh() const {
  if (members_version_ == members_.version()) {
    return;
  }
  members_version_ = members_.version();
  divided_ = members_.available(Role::gateway).size() > kMaxSharingGateways;
  const auto better_equipped = [](const candidate& left, const candidate& right) {
    const std::uint32_t left_capacity = left.member->capacity;
    const std::uint32_t right_capacity = right.member->capacity;
    return left_capacity != right_capacity ? left_capacity > right_capacity : left.hash > right.hash;
  };
  const auto keep_first = [&](candidates& among, std::size_t count) {
    std::sort(among.begin(), among.end(), better_equipped);
    among.resize(std::min(among.size(), count));
  };
  managers_.clear();
  dispatchers_.clear();
  for (const wire::MemberT* member : members_.available(Role::scheduler)) {
    const candidate scheduler{stable_hash(member->id), member};
    managers_.push_back(scheduler);
    dispatchers_[divided_ ? member->zone : ""].push_back(scheduler);
  }
  if (divided_) {
    keep_first(managers_, fraction_of(managers_.size(), kSchedulersPerManager));
    for (auto& [zone, schedulers] : dispatchers_) {
      keep_first(schedulers, fraction_of(schedulers.size(), kSchedulersPerDispatcher));
    }
  }
  all_dispatchers_.clear();
  for (const auto& [zone, schedulers] : dispatchers_) {
    all_dispatchers_.insert(all_dispatchers_.end(), schedulers.begin(), schedulers.end());
  }
  gateways_.clear();
  for (const wire::MemberT* member : members_.available(Role::gateway)) {
    gateways_[member->zone].push_back({stable_hash(member->id), member});
  }
  for (auto& [zone, gateways] : gateways_) {
    candidates all = gateways;
    keep_first(gateways, kMaxCoordinators);
    // A gateway that answers no probes is skipped in favor of the next in rank. If none of the first kMaxCoordinators
    // answers, they are chosen from the zone's other gateways.
    const auto unresponsive = [](const candidate& one) { return one.member->state != wire::MemberState::Alive; };
    std::erase_if(gateways, unresponsive);
    if (gateways.empty()) {
      std::erase_if(all, unresponsive);
      gateways = std::move(all);
      keep_first(gateways, kMaxCoordinators);
    }
  }
}

const wire::MemberT* duties::highest_ranked(const candidates& among, std::string_view key) {
  const std::uint64_t key_hash = stable_hash(key);
  const wire::MemberT* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const candidate& one : among) {
    const std::uint64_t weight = rendezvous_weight(key_hash, one.hash);
    if (best == nullptr || weight > best_weight) {
      best = one.member;
      best_weight = weight;
    }
  }
  return best;
}

bool duties::divided() const {
  refresh();
  return divided_;
}

const wire::MemberT* duties::dispatcher_of(std::string_view engine, const std::string& zone) const {
  return highest_ranked(dispatchers_in(zone), engine);
}

const duties::candidates& duties::dispatchers_in(const std::string& zone) const {
  refresh();
  const auto here = dispatchers_.find(divided_ ? zone : "");
  return here == dispatchers_.end() ? all_dispatchers_ : here->second;
}

bool duties::contains_self(const candidates& among) const {
  const wire::MemberT& self = members_.self();
  return std::any_of(among.begin(), among.end(), [&self](const candidate& one) { return one.member == &self; });
}

bool duties::dispatches_in(const std::string& zone) const { return contains_self(dispatchers_in(zone)); }

bool duties::dispatches() const {
  refresh();
  return contains_self(all_dispatchers_);
}

const wire::MemberT* duties::manager_of(std::string_view job) const {
  refresh();
  return highest_ranked(managers_, job);
}

std::vector<PeerAddress> duties::managers() const {
  refresh();
  std::vector<PeerAddress> found;
  for (const candidate& manager : managers_) {
    found.emplace_back(manager.member->peer_address);
  }
  return found;
}

std::vector<PeerAddress> duties::dispatchers() const {
  refresh();
  std::vector<PeerAddress> found;
  for (const candidate& dispatcher : all_dispatchers_) {
    found.emplace_back(dispatcher.member->peer_address);
  }
  return found;
}

std::vector<const wire::MemberT*> duties::coordinators_of(std::string_view key, const std::string& zone) const {
  refresh();
  candidates ranked;
  const auto here = gateways_.find(zone);
  if (here != gateways_.end()) {
    ranked = here->second;
  } else {
    for (const auto& [name, gateways] : gateways_) {
      ranked.insert(ranked.end(), gateways.begin(), gateways.end());
    }
  }
  const std::uint64_t key_hash = stable_hash(key);
  // Capacity counts before the hash: a coordinator gets reports of every call of its engines, and on a small machine it
  // would fall behind in a burst.
  std::sort(ranked.begin(), ranked.end(), [key_hash](const candidate& left, const candidate& right) {
    if (left.member->capacity != right.member->capacity) {
      return left.member->capacity > right.member->capacity;
    }
    return rendezvous_weight(key_hash, left.hash) > rendezvous_weight(key_hash, right.hash);
  });
  std::vector<const wire::MemberT*> found;
  for (const candidate& gateway : ranked) {
    found.push_back(gateway.member);
  }
  return found;
}

}  // namespace madderdeck::placement
