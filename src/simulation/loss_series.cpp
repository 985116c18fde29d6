#include "simulation/loss_series.hpp"

#include <array>

#include "simulation/support.hpp"

namespace madderdeck::simulation {
namespace {

constexpr unsigned kAwayAgainPercent = 85;
constexpr unsigned kPowerPercent = 60;  ///< Otherwise processes are killed.
constexpr unsigned kSecondDiskPercent = 25;
constexpr unsigned kJointLossPercent = 25;  ///< First losses with which all others lose power, too.
constexpr unsigned kGatewaysTooPercent = 60;
constexpr unsigned kDiskAtClosingPercent = 80;
constexpr Duration kLook = 50ms;
constexpr Duration kSecondDiskPatience = 7s;
constexpr Duration kRest = 500ms;  ///< After the time to recover, so that it is judged.

}  // namespace

const char* away_name(AwayKind kind) {
  static constexpr std::array<const char*, kAwayKinds> kNames = {
      "away_frozen",       "away_killed",   "away_power_off",   "cut_from_all",     "cut_from_disks",
      "cut_from_one_disk", "deaf_to_disks", "unheard_by_disks", "cut_from_gateways"};
  return kNames.at(static_cast<std::size_t>(kind));
}

LossSeries::LossSeries(World& world, SimFleet& fleet, Oracle& oracle, GroupWatch& watch, std::uint64_t draws,
                       std::function<void(const std::string&)> note)
    : world_(world), fleet_(fleet), oracle_(oracle), watch_(watch), random_(draws), note_(std::move(note)) {}

Duration LossSeries::draw(Duration least, Duration most) {
  const auto spread = static_cast<std::uint64_t>((most - least).count());
  return least + Duration(static_cast<Duration::rep>(random_.below(spread + 1)));
}

void LossSeries::happens(const std::string& kind, unsigned node) {
  ++oracle_.counts.faults[kind];
  note_(kind + " node-" + std::to_string(node));
}

void LossSeries::play() {
  bring_all_back();
  const auto disks = fleet_.disk_nodes();
  const unsigned first = static_cast<unsigned>(random_.below(disks.size()));
  const unsigned second = (first + 1 + static_cast<unsigned>(random_.below(disks.size() - 1))) % disks.size();
  const unsigned away_node = disks[first];
  go_away(draw_away(away_node));
  wait(0ms, 8s);
  unsigned renewed = disks[second];
  if (watch_.may_lose_disk(renewed)) {
    const bool power = random_.chance(kPowerPercent);
    renewed = lose_disk(renewed, random_.chance(fleet_.profile.replaced_percent), power);
  }
  wait(0ms, 6s);
  come_back(away_node);
  wait(200ms, 6s);
  if (random_.chance(kSecondDiskPercent)) {
    lose_second_disk(renewed);
  }
  if (random_.chance(kAwayAgainPercent)) {
    go_away(draw_away(away_node));
  }
  wait(0ms, 12s);
  close();
  world_.run_for(kRecover + kRest);
}

void LossSeries::bring_all_back() {
  Conditions& conditions = fleet_.conditions;
  conditions.cuts.clear();
  conditions.one_way_cuts.clear();
  conditions.platform_cuts.clear();
  conditions.datagrams_lost_to.clear();
  conditions.streams_lost_to.clear();
  for (unsigned node = 0; node < fleet_.nodes.size(); ++node) {
    fleet_.wake_node(node);
    fleet_.start_node(node);
    fleet_.correct_seeds(node);
  }
  wait(0ms, 6s);
}

LossSeries::Away LossSeries::draw_away(unsigned node) {
  Away away{node, static_cast<AwayKind>(random_.below(kAwayKinds)), node};
  const auto disks = fleet_.disk_nodes();
  while (away.peer == node) {
    away.peer = disks[random_.below(disks.size())];
  }
  return away;
}

void LossSeries::go_away(const Away& away) {
  if (!fleet_.nodes[away.node]->process.up()) {
    return;
  }
  away_ = away;
  happens(away_name(away.kind), away.node);
  switch (away.kind) {
    case AwayKind::frozen:
      fleet_.nodes[away.node]->process.freeze();
      break;
    case AwayKind::killed:
      fleet_.kill_node(away.node);
      break;
    case AwayKind::power_off:
      watch_.power_lost();
      fleet_.cut_power(away.node);
      break;
    default:
      apply_cuts(away);
      break;
  }
}

void LossSeries::apply_cuts(const Away& away) {
  Conditions& conditions = fleet_.conditions;
  for (unsigned other = 0; other < fleet_.nodes.size(); ++other) {
    if (other == away.node) {
      continue;
    }
    const bool disk = fleet_.nodes[other]->has_disk;
    const bool single = away.kind == AwayKind::cut_from_one_disk && other == away.peer;
    const bool both = away.kind == AwayKind::cut_from_all || single ||
                      (away.kind == AwayKind::cut_from_disks && disk) ||
                      (away.kind == AwayKind::cut_from_gateways && !disk);
    if (both) {
      conditions.cuts.insert({std::min(away.node, other), std::max(away.node, other)});
    }
    if (away.kind == AwayKind::deaf_to_disks && disk) {
      conditions.one_way_cuts.insert({other, away.node});
    }
    if (away.kind == AwayKind::unheard_by_disks && disk) {
      conditions.one_way_cuts.insert({away.node, other});
    }
  }
  if (away.kind == AwayKind::cut_from_all || away.kind == AwayKind::cut_from_gateways) {
    conditions.platform_cuts.insert(away.node);
  }
}

void LossSeries::come_back(unsigned node) {
  note_("back node-" + std::to_string(node));
  away_.reset();
  fleet_.observe_disturbances();
  Conditions& conditions = fleet_.conditions;
  conditions.cuts.clear();
  conditions.one_way_cuts.clear();
  conditions.platform_cuts.clear();
  fleet_.wake_node(node);
  fleet_.start_node(node);
}

void LossSeries::end_process(unsigned node, bool power) {
  if (!fleet_.nodes[node]->process.up()) {
    return;
  }
  if (power) {
    fleet_.cut_power(node);
  } else {
    fleet_.kill_node(node);
  }
}

unsigned LossSeries::take_disk(unsigned node, bool replaced, bool power) {
  happens(replaced ? "machine_replaced" : "disk_lost", node);
  end_process(node, power);
  if (!replaced) {
    watch_.disk_lost(node);
    fleet_.empty_disk(node);
    return node;
  }
  watch_.machine_removed(node);
  const unsigned successor = fleet_.replace_machine(node);
  if (away_) {
    apply_cuts(*away_);
  }
  return successor;
}

void LossSeries::start_later(unsigned node, Duration most) {
  world_.schedule(draw(Duration::zero(), most), [this_fleet = &fleet_, node] { this_fleet->start_node(node); });
}

unsigned LossSeries::lose_disk(unsigned node, bool replaced, bool power) {
  const bool joint = random_.chance(kJointLossPercent);
  const unsigned renewed = take_disk(node, replaced, power);
  start_later(renewed, 2s);
  if (!joint) {
    return renewed;
  }
  watch_.power_lost();
  for (unsigned other = 0; other < fleet_.nodes.size(); ++other) {
    // A machine that is away by its process stays so.
    if (fleet_.nodes[other]->process.up() && !fleet_.nodes[other]->process.frozen()) {
      happens(power ? "power_lost_beside" : "killed_beside", other);
      end_process(other, power);
      start_later(other, 500ms);
    }
  }
  return renewed;
}

std::optional<unsigned> LossSeries::pick_disk_that_may_be_lost() {
  const auto disks = fleet_.disk_nodes();
  const auto offset = static_cast<unsigned>(random_.below(disks.size()));
  for (unsigned step = 0; step < disks.size(); ++step) {
    const unsigned node = disks[(offset + step) % disks.size()];
    if (watch_.may_lose_disk(node)) {
      return node;
    }
  }
  return std::nullopt;
}

void LossSeries::lose_second_disk(unsigned first) {
  const Timestamp until = world_.now() + kSecondDiskPatience;
  const auto disks = fleet_.disk_nodes();
  unsigned next = first;
  while (next == first) {
    next = disks[random_.below(disks.size())];
  }
  for (; world_.now() < until; world_.run_for(kLook)) {
    if (watch_.may_lose_disk(next)) {
      lose_disk(next, false, random_.chance(kPowerPercent));
      return;
    }
  }
}

void LossSeries::close() {
  const bool power = random_.chance(kPowerPercent);
  const bool gateways_too = random_.chance(kGatewaysTooPercent);
  const auto lost = random_.chance(kDiskAtClosingPercent) ? pick_disk_that_may_be_lost() : std::nullopt;
  for (const std::string& line : watch_.describe()) {
    note_("before the closing: " + line);
  }
  watch_.power_lost();
  const auto count = static_cast<unsigned>(fleet_.nodes.size());
  for (unsigned node = 0; node < count; ++node) {
    const bool ends = fleet_.nodes[node]->has_disk || gateways_too;
    if (ends && fleet_.nodes[node]->process.up()) {
      happens(power ? "closing_power" : "closing_kill", node);
      end_process(node, power);
    }
  }
  if (lost) {
    take_disk(*lost, random_.chance(fleet_.profile.replaced_percent), power);
  }
  fleet_.conditions.cuts.clear();
  fleet_.conditions.one_way_cuts.clear();
  fleet_.conditions.platform_cuts.clear();
  fleet_.conditions.datagrams_lost_to.clear();
  fleet_.conditions.streams_lost_to.clear();
  away_.reset();
  for (unsigned node = 0; node < fleet_.nodes.size(); ++node) {
    start_later(node, 1s);
  }
  world_.run_for(1s);
}

}  // namespace madderdeck::simulation
