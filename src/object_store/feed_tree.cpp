#include "object_store/feed_tree.hpp"

#include <algorithm>
#include <iterator>

#include "common/hash.hpp"

namespace madderdeck::object_store {
namespace {

constexpr char kReaderRank[] = "store-reader";

std::uint64_t weight_of(const wire::MemberT& member) { return rendezvous_weight(kReaderRank, member.id); }

}  // namespace

void feed_tree::keep_first(controllers& among, std::size_t count) {
  std::sort(among.begin(), among.end(), [](const controller& left, const controller& right) {
    return left.weight != right.weight ? left.weight > right.weight : left.member->id > right.member->id;
  });
  among.resize(std::min(among.size(), count));
}

bool feed_tree::holds(const controllers& among, const wire::MemberT* member) {
  return std::any_of(among.begin(), among.end(), [member](const controller& one) { return one.member == member; });
}

void feed_tree::refresh() const {
  if (version_ == members_.version()) {
    return;
  }
  version_ = members_.version();
  controllers all;
  std::map<std::string, controllers> zones;
  for (const wire::MemberT* member : members_.responsive(membership::Role::controller)) {
    const controller one{weight_of(*member), member};
    all.push_back(one);
    zones[member->zone].push_back(one);
  }
  all_read_ = all.size() <= sizes_.all_read_up_to;
  find_ranks(all);
  controllers readers = std::move(all);
  keep_first(readers, sizes_.readers);
  is_reader_ = holds(readers, &members_.self());
  find_fed_nodes(zones, readers);
}

void feed_tree::find_ranks(const controllers& all) const {
  const wire::MemberT& self = members_.self();
  const std::uint64_t own = weight_of(self);
  rank_in_zone_ = 0;
  zone_peers_.clear();
  for (const controller& one : all) {
    if (one.member->zone == self.zone && one.member != &self) {
      zone_peers_.emplace_back(one.member->peer_address);
      rank_in_zone_ += one.weight > own ? 1 : 0;
    }
  }
  const std::vector<const wire::MemberT*> available = members_.available(membership::Role::controller);
  count_in_fleet_ = available.size();
  rank_in_fleet_ = static_cast<std::size_t>(std::count_if(
      available.begin(), available.end(), [own](const wire::MemberT* member) { return weight_of(*member) > own; }));
  if (std::find(available.begin(), available.end(), &self) == available.end()) {
    rank_in_fleet_ = kNoRank;
  }
}

feed_tree::controllers feed_tree::relays_among(const controllers& here, const controllers& readers) const {
  controllers relays;
  std::copy_if(here.begin(), here.end(), std::back_inserter(relays),
               [&readers](const controller& one) { return holds(readers, one.member); });
  if (relays.empty()) {
    relays = here;
    keep_first(relays, sizes_.relays);
  }
  return relays;
}

void feed_tree::find_fed_nodes(const std::map<std::string, controllers>& zones, const controllers& readers) const {
  const wire::MemberT& self = members_.self();
  is_relay_ = false;
  fed_nodes_.clear();
  for (const auto& [zone, here] : zones) {
    const controllers relays = relays_among(here, readers);
    const bool own_zone = zone == self.zone;
    is_relay_ = is_relay_ || (own_zone && holds(relays, &self));
    if (is_reader_ && !own_zone) {
      for (const controller& relay : relays) {
        if (!holds(readers, relay.member)) {
          fed_nodes_.emplace_back(relay.member->peer_address);
        }
      }
    }
    if (!own_zone || !is_relay_) {
      continue;
    }
    for (const controller& one : here) {
      const auto feeder =
          std::max_element(relays.begin(), relays.end(), [&one](const controller& left, const controller& right) {
            return rendezvous_weight(one.member->id, left.member->id) <
                   rendezvous_weight(one.member->id, right.member->id);
          });
      if (feeder->member == &self && !holds(relays, one.member)) {
        fed_nodes_.emplace_back(one.member->peer_address);
      }
    }
  }
}

bool feed_tree::all_read() const {
  refresh();
  return all_read_;
}

bool feed_tree::is_reader() const {
  refresh();
  return is_reader_;
}

bool feed_tree::is_relay() const {
  refresh();
  return is_relay_;
}

const std::vector<PeerAddress>& feed_tree::fed_from_here() const {
  refresh();
  return fed_nodes_;
}

const std::vector<PeerAddress>& feed_tree::zone_peers() const {
  refresh();
  return zone_peers_;
}

std::size_t feed_tree::rank_in_zone() const {
  refresh();
  return rank_in_zone_;
}

std::size_t feed_tree::rank_in_fleet() const {
  refresh();
  return rank_in_fleet_;
}

std::size_t feed_tree::count_in_fleet() const {
  refresh();
  return count_in_fleet_;
}

std::vector<NodeId> feed_tree::first_in_fleet(std::size_t count) const {
  controllers all;
  for (const wire::MemberT* member : members_.available(membership::Role::controller)) {
    all.push_back({weight_of(*member), member});
  }
  keep_first(all, count);
  std::vector<NodeId> first;
  for (const controller& one : all) {
    first.emplace_back(one.member->id);
  }
  return first;
}

}  // namespace madderdeck::object_store
