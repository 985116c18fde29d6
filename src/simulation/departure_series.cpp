#include "simulation/departure_series.hpp"

#include <algorithm>
#include <array>

#include "simulation/support.hpp"

namespace madderdeck::simulation {
namespace {

constexpr std::size_t kDisks = 3;
constexpr unsigned kMostViews = 3;
constexpr unsigned kMaintainerPercent = 65;  ///< Views of nodes that look after the groups; otherwise of any.
/// How often each kind comes up; most often those that leave the members well known and the leaver as it was.
constexpr std::array<unsigned, kStaleViews> kViewPercents = {32, 12, 8, 5, 25, 5, 13};
constexpr unsigned kBackSoonPercent = 35;   ///< Views that end around the end of the emptying.
constexpr unsigned kBackLaterPercent = 30;  ///< ... soon after the machine is gone.
constexpr unsigned kBackLatePercent = 90;   ///< All others but these end with the loss of another disk.
constexpr unsigned kLossAfterViewsPercent = 60;
constexpr unsigned kLossPercent = 85;
constexpr unsigned kReplacedPercent = 30;
constexpr unsigned kPowerPercent = 60;
constexpr unsigned kSuccessorFirstPercent = 35;
constexpr unsigned kSuccessorAfterPercent = 30;
constexpr unsigned kClosingPercent = 70;
constexpr unsigned kDatagramsLostPercent = 60;  ///< Freezes during which datagrams are lost.
constexpr unsigned kAskedPercent = 75;          ///< Views of nodes at which callers ask.
constexpr unsigned kKeysAsked = 6;              ///< So many that most groups are asked.
constexpr Duration kTick = 10ms;
constexpr Duration kLongestDeafness = 800ms;  ///< From a thaw until datagrams arrive again.
constexpr Duration kAskEvery = 100ms;
constexpr Duration kAskAfter = 1s;  ///< After a view's end.
constexpr Duration kUntilAsked = 2s;
constexpr Duration kEarliestView = 1500ms;  ///< Before the emptying is asked for.
constexpr Duration kEarliestBlindView = 300ms;
constexpr Duration kLatestBlindView = 20ms;
constexpr Duration kLatestView = 300ms;     ///< After that.
constexpr Duration kLeaverForgotten = 6s;   ///< Then no epoch lists a machine that is gone, if others decide at once.
constexpr Duration kEmptyingPatience = 6s;  ///< Then views end that the emptying may wait for.
constexpr Duration kPatience = 45s;
constexpr Duration kFillingPatience = 12s;
constexpr Duration kRest = 500ms;  ///< After the time to recover, so that it is judged.

}  // namespace

const char* stale_view_name(stale_view kind) {
  static constexpr std::array<const char*, kStaleViews> kNames = {
      "view_frozen",        "view_cut_from_all",   "view_cut_from_disks", "view_turned_away",
      "membership_unheard", "view_epochs_unheard", "started_from_behind"};
  return kNames.at(static_cast<std::size_t>(kind));
}

void departure_series::play() {
  parts_.bring_all_back();
  fill_up();
  leaver_ = draw_leaver();
  draw_views();
  plan_departure();
  plan_loss();
  plan_successor();
  reached(moment::begun);
  run_plan();
  parts_.wait(0ms, 8s);
  if (parts_.random().chance(kClosingPercent)) {
    parts_.close();
  }
  world_.run_for(kRecover + kRest);
}

// --- plan -----------------------------------------------------------------------------------

unsigned departure_series::draw_leaver() {
  const auto disks = fleet_.disk_nodes();
  const auto retiring = std::find_if(disks.begin(), disks.end(), [this](unsigned disk) {
    return fleet_.nodes[disk]->retiring;  // of a series before
  });
  return retiring != disks.end() ? *retiring : disks[parts_.random().below(disks.size())];
}

std::optional<unsigned> departure_series::draw_viewer() {
  const bool maintainers = parts_.random().chance(kMaintainerPercent);
  std::vector<unsigned> found;
  for (unsigned node = 0; node < fleet_.nodes.size(); ++node) {
    const bool drawn = std::any_of(views_.begin(), views_.end(),
                                   [node](const view& one) { return one.node == node || one.peer == node; });
    const bool fits = node != leaver_ && !drawn && fleet_.usable(node);
    if (fits && (!maintainers || fleet_.core(node).controller->is_reader())) {
      found.push_back(node);
    }
  }
  return found.empty() ? std::nullopt : std::optional(found[parts_.random().below(found.size())]);
}

void departure_series::draw_views() {
  const std::size_t count = 1 + parts_.random().below(kMostViews);
  for (std::size_t number = 0; number < count; ++number) {
    const auto node = draw_viewer();
    if (!node) {
      continue;
    }
    views_.push_back({draw_kind(), *node, *node});
    if (views_.back().kind == stale_view::started_from_behind) {
      views_.back().peer = draw_viewer().value_or(*node);
    }
    views_.back().datagrams_lost = parts_.random().chance(kDatagramsLostPercent);
    views_.back().asked_meanwhile = parts_.random().chance(kAskedPercent);
    plan_view(views_.size() - 1);
  }
}

stale_view departure_series::draw_kind() {
  std::uint64_t draw = parts_.random().below(100);
  unsigned kind = 0;
  while (draw >= kViewPercents.at(kind)) {
    draw -= kViewPercents.at(kind++);
  }
  return static_cast<stale_view>(kind);
}

void departure_series::plan_view(std::size_t number) {
  // Who hears nothing of the members takes them for dead within some periods.
  const bool soon_blind = views_[number].kind == stale_view::membership_unheard;
  const Duration earliest = soon_blind ? kEarliestBlindView : kEarliestView;
  const Duration latest = soon_blind ? kLatestBlindView : kLatestView;
  const Duration begins = parts_.draw(Duration::zero(), earliest + latest) - earliest;
  plan(moment::begun, kUntilAsked + begins, [this, number] { begin_view(number); });
  const auto end = [this, number] { end_view(number); };
  const std::uint64_t when = parts_.random().below(100);
  if (when < kBackSoonPercent) {
    plan(moment::completed, parts_.draw(0ms, 1200ms), end);
  } else if (when < kBackSoonPercent + kBackLaterPercent) {
    plan(moment::gone, parts_.draw(0ms, 2s), end);
  } else if (when < kBackLatePercent) {
    plan(moment::gone, parts_.draw(kLeaverForgotten, 2 * kLeaverForgotten), end);
  } else {
    plan(moment::lost, parts_.draw(0ms, 2s), end);
  }
}

void departure_series::plan_departure() {
  plan(moment::begun, kUntilAsked, [this] { ask(); });
  plan(moment::completed, parts_.draw(0ms, 1s), [this] { take_away(); });
}

void departure_series::plan_loss() {
  if (!parts_.random().chance(kLossPercent)) {
    plan(moment::gone, 5s, [this] { reached(moment::lost); });
    return;
  }
  const moment after = parts_.random().chance(kLossAfterViewsPercent) ? moment::all_back : moment::gone;
  plan(after, parts_.draw(0ms, 5s), [this] { lose_other_disk(); });
}

void departure_series::plan_successor() {
  if (parts_.random().chance(kSuccessorFirstPercent)) {
    add_successor();
    parts_.wait(0ms, 6s);
  } else if (parts_.random().chance(kSuccessorAfterPercent)) {
    const moment after = parts_.random().chance(50) ? moment::gone : moment::lost;
    plan(after, parts_.draw(0ms, 6s), [this] { add_successor(); });
  }
}

void departure_series::plan(moment after, Duration offset, std::function<void()> act) {
  plan_.push_back({after, offset, std::move(act)});
}

void departure_series::reached(moment what) { moments_.try_emplace(what, world_.now()); }

void departure_series::run_plan() {
  const Timestamp until = world_.now() + kPatience;
  while (!plan_.empty() && world_.now() < until) {
    take_due_steps();
    note_emptied();
    ask_at_viewers();
    end_views_that_hold_up();
    apply_cuts();
    world_.run_for(kTick);
  }
  for (std::size_t number = 0; number < views_.size(); ++number) {
    end_view(number);
  }
}

void departure_series::take_due_steps() {
  for (std::size_t number = 0; number < plan_.size();) {
    const auto since = moments_.find(plan_[number].after);
    if (since == moments_.end() || world_.now() < since->second + plan_[number].offset) {
      ++number;
      continue;
    }
    const step due = std::move(plan_[number]);
    plan_.erase(plan_.begin() + static_cast<std::ptrdiff_t>(number));
    due.act();
  }
}

void departure_series::note_emptied() {
  if (moments_.contains(moment::asked) && fleet_.nodes[leaver_]->emptied) {
    reached(moment::completed);
  }
}

void departure_series::ask_at_viewers() {
  if (world_.now() - asked_at_ < kAskEvery) {
    return;
  }
  asked_at_ = world_.now();
  for (const view& one : views_) {
    const bool reaches =
        one.ended || (one.kind == stale_view::membership_unheard && moments_.contains(moment::completed));
    const bool lasts = one.begun && (!one.ended || world_.now() - one.ended_at < kAskAfter);
    if (!lasts || !reaches || !one.asked_meanwhile || !fleet_.usable(one.node) ||
        fleet_.nodes[one.node]->process.frozen()) {
      continue;
    }
    for (unsigned key = 0; key < kKeysAsked; ++key) {
      fleet_.core(one.node).ledger.read("probe/" + std::to_string(key) + "/value",
                                        [](const Result<ledger::OptionalValue>&) {});
    }
  }
}

void departure_series::end_views_that_hold_up() {
  const auto asked = moments_.find(moment::asked);
  const bool waits = asked != moments_.end() && !moments_.contains(moment::completed);
  if (!waits || world_.now() - asked->second < kEmptyingPatience) {
    return;
  }
  for (std::size_t number = 0; number < views_.size(); ++number) {
    end_view(number);
  }
}

// --- views ----------------------------------------------------------------------------------

void departure_series::begin_view(std::size_t number) {
  view& one = views_[number];
  if (one.begun || !fleet_.usable(one.node)) {
    return;
  }
  one.begun = true;
  parts_.happens(stale_view_name(one.kind), one.node);
  Conditions& conditions = fleet_.conditions;
  switch (one.kind) {
    case stale_view::frozen:
      fleet_.nodes[one.node]->process.freeze();
      if (one.datagrams_lost) {
        conditions.datagrams_lost_to.insert(one.node);
      }
      break;
    case stale_view::started_from_behind:
      if (one.peer != one.node) {
        fleet_.nodes[one.peer]->process.freeze();
        if (one.datagrams_lost) {
          conditions.datagrams_lost_to.insert(one.peer);
        }
      }
      break;
    case stale_view::turned_away:
      conditions.platform_cuts.insert(one.node);
      break;
    case stale_view::membership_unheard:
      conditions.datagrams_lost_to.insert(one.node);
      break;
    case stale_view::epochs_unheard:
      conditions.streams_lost_to.insert(one.node);
      break;
    case stale_view::cut_from_all:
    case stale_view::cut_from_disks:
      apply_cuts();
      break;
  }
}

void departure_series::apply_cuts() {
  for (const view& one : views_) {
    const bool all = one.kind == stale_view::cut_from_all;
    if (!one.begun || one.ended || (!all && one.kind != stale_view::cut_from_disks)) {
      continue;
    }
    for (unsigned other = 0; other < fleet_.nodes.size(); ++other) {
      if (other != one.node && (all || fleet_.nodes[other]->has_disk)) {
        fleet_.conditions.cuts.insert({std::min(one.node, other), std::max(one.node, other)});
      }
    }
    if (all) {
      fleet_.conditions.platform_cuts.insert(one.node);
    }
  }
}

void departure_series::end_view(std::size_t number) {
  view& one = views_[number];
  if (one.ended) {
    return;
  }
  one.ended = true;
  one.ended_at = world_.now();
  if (one.begun) {
    parts_.happens("view_back", one.node);
    fleet_.observe_disturbances();
    Conditions& conditions = fleet_.conditions;
    std::erase_if(conditions.cuts,
                  [&one](const auto& pair) { return pair.first == one.node || pair.second == one.node; });
    conditions.platform_cuts.erase(one.node);
    conditions.streams_lost_to.erase(one.node);
    apply_cuts();
    hear_again(one);
    fleet_.wake_node(one.node);
    fleet_.wake_node(one.peer);
    if (one.kind == stale_view::started_from_behind) {
      restart_from(one.node, one.peer);
    }
  }
  if (std::all_of(views_.begin(), views_.end(), [](const view& other) { return other.ended; })) {
    reached(moment::all_back);
  }
}

void departure_series::hear_again(const view& one) {
  const bool deaf = one.kind != stale_view::membership_unheard && one.datagrams_lost;
  world_.schedule(deaf ? parts_.draw(0ms, kLongestDeafness) : Duration::zero(),
                  [this_fleet = &fleet_, node = one.node, peer = one.peer] {
                    this_fleet->observe_disturbances();
                    this_fleet->conditions.datagrams_lost_to.erase(node);
                    this_fleet->conditions.datagrams_lost_to.erase(peer);
                  });
}

void departure_series::restart_from(unsigned node, unsigned peer) {
  if (fleet_.nodes[node]->removed) {
    return;
  }
  if (peer != node) {
    fleet_.set_seeds_of(node, {peer});
  }
  parts_.end_process(node, parts_.random().chance(kPowerPercent));
  fleet_.start_node(node);
}

// --- the departure --------------------------------------------------------------------------

void departure_series::ask() {
  parts_.happens("emptying_asked", leaver_);
  reached(moment::asked);
  if (!fleet_.nodes[leaver_]->retiring) {
    fleet_.retire_disk(leaver_);
  }
}

void departure_series::take_away() {
  parts_.happens("emptied_and_gone", leaver_);
  watch_.machine_departed(leaver_);
  fleet_.take_away(leaver_);
  reached(moment::gone);
}

void departure_series::lose_other_disk() {
  reached(moment::lost);
  auto disks = fleet_.disk_nodes();
  std::erase_if(disks, [this](unsigned disk) { return disk == leaver_ || !watch_.may_lose_disk(disk); });
  if (disks.empty()) {
    return;
  }
  const unsigned node = disks[parts_.random().below(disks.size())];
  const bool replaced = parts_.random().chance(kReplacedPercent) && fleet_.profile.replaced_percent > 0;
  parts_.lose_disk(node, replaced, parts_.random().chance(kPowerPercent));
}

void departure_series::add_successor() {
  const unsigned successor = fleet_.add_successor(leaver_);
  parts_.happens("successor_added", successor);
  fleet_.start_node(successor);
  apply_cuts();
}

void departure_series::fill_up() {
  while (fleet_.disk_nodes().size() < kDisks) {
    const unsigned added = fleet_.add_successor(fleet_.disk_nodes().front());
    parts_.happens("disk_added", added);
    fleet_.start_node(added);
  }
  const Timestamp until = world_.now() + kFillingPatience;
  while (!disks_are_whole() && world_.now() < until) {
    world_.run_for(kTick);
  }
}

bool departure_series::disks_are_whole() {
  const auto disks = fleet_.disk_nodes();
  return std::all_of(disks.begin(), disks.end(), [this](unsigned disk) { return fleet_.nodes[disk]->disk_whole; });
}

}  // namespace madderdeck::simulation
