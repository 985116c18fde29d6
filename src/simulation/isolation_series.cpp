#include "simulation/isolation_series.hpp"

#include <array>

#include "simulation/support.hpp"

namespace madderdeck::simulation {
namespace {

constexpr unsigned kFirstRankedPercent = 60;  ///< Otherwise a share of the gateways is cut off.
constexpr unsigned kHalf = 50;
constexpr unsigned kJointPercent = 50;      ///< Starts with stale seeds with which all others start, too.
constexpr unsigned kOwnDiskPercent = 60;    ///< Starts with stale seeds from a disk that was kept.
constexpr unsigned kCorrectedPercent = 50;  ///< Stale seeds that are corrected within the series.
constexpr unsigned kAlongPercent = 25;      ///< Conditions that come along with a series of another form.
constexpr unsigned kClockPercent = 30;      ///< Restarts with a time of day that is late.
constexpr unsigned kReplacedPercent = 30;
constexpr unsigned kPowerPercent = 60;
constexpr unsigned kSecondDiskPercent = 50;
constexpr Duration kMostClockBehind = 2s;
constexpr Duration kDark = 12s;
constexpr Duration kTraffic = 40s;
constexpr Duration kTrafficStep = 2s;
constexpr Duration kMargin = 100ms;  ///< Beyond the time after which a look allows the next loss.
constexpr Duration kRest = 500ms;    ///< After the time to recover, so that it is judged.

}  // namespace

const char* isolation_form_name(IsolationForm form) {
  static constexpr std::array<const char*, kIsolationForms> kNames = {"gateways_cut", "stale_seeds", "store_silent",
                                                                      "dark_then_gone", "behind"};
  return kNames.at(static_cast<std::size_t>(form));
}

void IsolationSeries::play() {
  parts_.bring_all_back();
  const auto form = static_cast<IsolationForm>(parts_.random().below(kIsolationForms));
  parts_.happens(isolation_form_name(form), 0);
  switch (form) {
    case IsolationForm::gateways_cut:
      play_gateways_cut();
      break;
    case IsolationForm::stale_seeds:
      play_stale_seeds();
      break;
    case IsolationForm::store_silent:
      play_store_silent();
      break;
    case IsolationForm::dark_then_gone:
    case IsolationForm::behind:
      play_dark_then_gone(form == IsolationForm::behind);
      break;
  }
  const auto disks = draw_disks();
  if (parts_.random().chance(kAlongPercent)) {
    draw_settings(disks.front());
  }
  for (unsigned node = 0; node < fleet_.nodes.size(); ++node) {
    draw_clock(node);
  }
  parts_.close();
  world_.run_for(kRecover + kRest);
}

void IsolationSeries::play_gateways_cut() {
  const unsigned node = draw_disks().front();
  const bool cut_first = parts_.random().chance(kHalf);
  unsigned renewed = node;
  if (cut_first) {
    cut_gateways();
    parts_.wait(0ms, 3s);
    renewed = lose_if_allowed(node);
  } else {
    renewed = lose_if_allowed(node);
    parts_.wait(0ms, 3s);
    cut_gateways();
  }
  parts_.wait(5s, 20s);
  reach_gateways();
  parts_.wait(0ms, 6s);
  if (parts_.random().chance(kSecondDiskPercent)) {
    parts_.lose_second_disk(renewed);
  }
}

void IsolationSeries::play_stale_seeds() {
  const auto disks = draw_disks();
  if (parts_.random().chance(kOwnDiskPercent)) {
    restart_with_stale_seeds(disks[0]);
  } else if (watch_.may_lose_disk(disks[0])) {
    const unsigned renewed = parts_.take_disk(disks[0], parts_.random().chance(kReplacedPercent), true);
    parts_.happens("stale_seeds_of_new_disk", renewed);
    fleet_.make_seeds_stale(renewed);
    parts_.start_later(renewed, 2s);
    parts_.wait(2s, 12s);
    correct_seeds();
  }
  parts_.wait(kCatchUp, 12s);
  lose_if_allowed(disks[1]);
  parts_.wait(0ms, 12s);
  if (parts_.random().chance(kCorrectedPercent)) {
    correct_seeds();
    parts_.wait(0ms, 6s);
  }
}

void IsolationSeries::play_store_silent() {
  const auto disks = draw_disks();
  silence_store();
  parts_.wait(0ms, 4s);
  const unsigned renewed = lose_if_allowed(disks[0]);
  parts_.wait(0ms, 8s);
  parts_.happens("restart_beside_silence", disks[1]);
  parts_.end_process(disks[1], parts_.random().chance(kPowerPercent));
  draw_clock(disks[1]);
  parts_.start_later(disks[1], 2s);
  parts_.wait(10s, 20s);
  if (parts_.random().chance(kHalf)) {
    end_silence();
  }
  parts_.wait(0ms, 8s);
  if (parts_.random().chance(kSecondDiskPercent)) {
    parts_.lose_second_disk(renewed);
  }
}

void IsolationSeries::play_dark_then_gone(bool behind) {
  const auto disks = draw_disks();
  const unsigned emptied = disks[0];
  const unsigned third = disks[1];
  const unsigned dark = disks[2];
  const AwayKind how = parts_.random().chance(kHalf) ? AwayKind::cut_from_all : AwayKind::power_off;
  if (behind) {
    parts_.go_away({third, AwayKind::cut_from_all, third});
    wait_with_traffic(parts_.draw(1s, 4s));
    lose_if_allowed(emptied);
    parts_.come_back(third);
  }
  parts_.go_away({dark, how, dark});
  if (!behind) {
    parts_.wait(0ms, 2s);
    lose_if_allowed(emptied);
  }
  if (parts_.random().chance(kAlongPercent)) {
    cut_gateways();
  }
  draw_settings(dark);
  world_.run_for(kDark);
  parts_.come_back(dark);
  apply_gateway_cuts();
  world_.run_for((parts_.random().chance(kHalf) ? kCatchUp : kRecover) + kMargin);
  if (parts_.random().chance(kHalf) && watch_.may_lose_disk(dark)) {
    parts_.start_later(parts_.take_disk(dark, true, true), 2s);
  } else {
    parts_.go_away({dark, how, dark});
  }
  reach_gateways();
  if (parts_.random().chance(kAlongPercent)) {
    silence_store();
  }
  wait_with_traffic(kTraffic);
}

std::vector<unsigned> IsolationSeries::draw_disks() {
  auto disks = fleet_.disk_nodes();
  for (std::size_t place = 0; place + 1 < disks.size(); ++place) {
    std::swap(disks[place], disks[place + parts_.random().below(disks.size() - place)]);
  }
  return disks;
}

unsigned IsolationSeries::lose_if_allowed(unsigned node) {
  if (!watch_.may_lose_disk(node)) {
    return node;
  }
  const bool replaced = parts_.random().chance(fleet_.profile.replaced_percent);
  const unsigned renewed = parts_.lose_disk(node, replaced, parts_.random().chance(kPowerPercent));
  apply_gateway_cuts();
  return renewed;
}

void IsolationSeries::cut_gateways() {
  const bool first_ranked = parts_.random().chance(kFirstRankedPercent);
  for (unsigned node = 0; node < fleet_.nodes.size(); ++node) {
    if (fleet_.nodes[node]->has_disk || !fleet_.usable(node)) {
      continue;
    }
    const bool in_share = parts_.random().chance(kHalf);
    if (first_ranked ? fleet_.core(node).controller->is_reader() : in_share) {
      cut_gateways_.insert(node);
      parts_.happens(first_ranked ? "first_ranked_gateway_cut" : "gateway_cut", node);
    }
  }
  apply_gateway_cuts();
}

void IsolationSeries::apply_gateway_cuts() {
  if (!fleet_.profile.gateways_are_cut) {
    return;
  }
  for (const unsigned gateway : cut_gateways_) {
    for (const unsigned disk : fleet_.disk_nodes()) {
      fleet_.conditions.cuts.insert({std::min(gateway, disk), std::max(gateway, disk)});
    }
  }
}

void IsolationSeries::reach_gateways() {
  fleet_.observe_disturbances();
  std::erase_if(fleet_.conditions.cuts, [this](const auto& pair) {
    return cut_gateways_.contains(pair.first) || cut_gateways_.contains(pair.second);
  });
  cut_gateways_.clear();
}

void IsolationSeries::silence_store() {
  const std::size_t count = 1 + parts_.random().below(2);
  while (silent_to_.size() < count) {
    silent_to_.insert(static_cast<unsigned>(parts_.random().below(fleet_.nodes.size())));
  }
  for (const unsigned node : silent_to_) {
    parts_.happens("store_silent_to_one", node);
    fleet_.conditions.platform_cuts.insert(node);
  }
}

void IsolationSeries::end_silence() {
  fleet_.observe_disturbances();
  for (const unsigned node : silent_to_) {
    fleet_.conditions.platform_cuts.erase(node);
  }
  silent_to_.clear();
}

void IsolationSeries::restart_with_stale_seeds(unsigned node) {
  const bool joint = parts_.random().chance(kJointPercent);
  const bool power = parts_.random().chance(kPowerPercent);
  parts_.happens(joint ? "stale_seeds_joint" : "stale_seeds_alone", node);
  watch_.power_lost();
  for (unsigned other = 0; other < fleet_.nodes.size(); ++other) {
    if (other == node || joint) {
      parts_.end_process(other, power);
      draw_clock(other);
      parts_.start_later(other, 1s);
    }
  }
  fleet_.make_seeds_stale(node);
  world_.run_for(1s);
}

void IsolationSeries::draw_settings(unsigned node) {
  if (parts_.random().chance(kAlongPercent)) {
    parts_.happens("stale_seeds_along", node);
    fleet_.make_seeds_stale(node);
  }
  draw_clock(node);
}

void IsolationSeries::draw_clock(unsigned node) {
  const bool late = parts_.random().chance(kClockPercent);
  fleet_.nodes[node]->next_clock_behind = late ? parts_.draw(0ms, kMostClockBehind) : Duration::zero();
}

void IsolationSeries::correct_seeds() {
  for (unsigned node = 0; node < fleet_.nodes.size(); ++node) {
    fleet_.correct_seeds(node);
  }
}

void IsolationSeries::wait_with_traffic(Duration length) {
  const Timestamp until = world_.now() + length;
  while (world_.now() < until) {
    traffic_();
    world_.run_for(std::min(kTrafficStep, until - world_.now()));
  }
}

}  // namespace madderdeck::simulation
