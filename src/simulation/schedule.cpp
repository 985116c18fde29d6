#include <algorithm>
#include <array>
#include <map>

#include "simulation/driver.hpp"

namespace madderdeck::simulation {
namespace {
/// Several gateways besides the nodes with a disk, so that some can be cut off and others not.
constexpr unsigned kIsolationNodes = 8;
constexpr unsigned kDepartureNodes = 6;
constexpr unsigned kAnswerFaultPercent = 40;
constexpr unsigned kEngineVersions = 3;
constexpr unsigned kFailedRunPercent = 75;
/// Long enough for an item to be interrupted several times by one burst.
constexpr std::uint32_t kLongItemFactor = 5;
constexpr std::uint32_t kFewItemsDivisor = 4;
using Weights = std::array<unsigned, kActionKinds>;

/// How often each kind comes up, against the others.
constexpr Weights kWeights = {14, 12, 10, 5, 4, 3, 5, 9, 5, 3, 4, 3, 4, 2, 3, 2, 4, 2, 2, 1,
                              1,  2,  2,  2, 1, 3, 3, 3, 2, 2, 2, 1, 1, 1, 0, 0, 0, 0, 0, 0,
                              0,  0,  0,  0, 0, 0, 0, 0, 6, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0};

Weights weights_of(ScheduleMix mix) {
  Weights weights = kWeights;
  if (mix == ScheduleMix::hardening) {
    weights.at(static_cast<std::size_t>(ActionKind::forwarded_request)) = 30;
    weights.at(static_cast<std::size_t>(ActionKind::fatal_request)) = 30;
    weights.at(static_cast<std::size_t>(ActionKind::fatal_live)) = 8;
    weights.at(static_cast<std::size_t>(ActionKind::unlucky_job)) = 1;
    weights.at(static_cast<std::size_t>(ActionKind::suspend_node)) = 4;
    weights.at(static_cast<std::size_t>(ActionKind::cancel_during_suspension)) = 2;
    weights.at(static_cast<std::size_t>(ActionKind::leave_during_suspension)) = 2;
    weights.at(static_cast<std::size_t>(ActionKind::restart_everything)) = 1;
    weights.at(static_cast<std::size_t>(ActionKind::lose_disk_and_power)) = 2;
  }
  if (mix == ScheduleMix::listing) {
    weights.at(static_cast<std::size_t>(ActionKind::submit_listed_job)) = 10;
    weights.at(static_cast<std::size_t>(ActionKind::read_positions)) = 30;
    weights.at(static_cast<std::size_t>(ActionKind::restart_everything)) = 1;
    weights.at(static_cast<std::size_t>(ActionKind::lose_disk_and_power)) = 2;
  }
  if (mix == ScheduleMix::losses) {
    weights.at(static_cast<std::size_t>(ActionKind::submit_listed_job)) = 10;
    weights.at(static_cast<std::size_t>(ActionKind::read_positions)) = 20;
    weights.at(static_cast<std::size_t>(ActionKind::restart_everything)) = 2;
    weights.at(static_cast<std::size_t>(ActionKind::lose_disk)) = 4;
    weights.at(static_cast<std::size_t>(ActionKind::lose_disk_and_power)) = 3;
    weights.at(static_cast<std::size_t>(ActionKind::lose_disk_beside_stale_replica)) = 2;
    weights.at(static_cast<std::size_t>(ActionKind::retire_disk)) = 3;
    weights.at(static_cast<std::size_t>(ActionKind::losses_in_a_row)) = 4;
    weights.at(static_cast<std::size_t>(ActionKind::platform_down)) = 4;
    weights.at(static_cast<std::size_t>(ActionKind::platform_well)) = 4;
  }
  if (mix == ScheduleMix::series || mix == ScheduleMix::isolation || mix == ScheduleMix::departures) {
    // Other faults of nodes and links would hide which losses the series allows; they have their own mixes.
    for (const ActionKind kind :
         {ActionKind::crash_node, ActionKind::freeze_node, ActionKind::lose_disk, ActionKind::cut_link,
          ActionKind::isolate_node, ActionKind::connections_break, ActionKind::platform_slow,
          ActionKind::cancel_during_freeze, ActionKind::leave_during_freeze, ActionKind::engine_leaves,
          ActionKind::service_leaves, ActionKind::lose_disk_beside_stale_replica}) {
      weights.at(static_cast<std::size_t>(kind)) = 0;
    }
    weights.at(static_cast<std::size_t>(ActionKind::submit_listed_job)) = 8;
    weights.at(static_cast<std::size_t>(ActionKind::read_positions)) = 12;
    weights.at(static_cast<std::size_t>(ActionKind::platform_down)) = 1;
    weights.at(static_cast<std::size_t>(ActionKind::platform_well)) = 6;
    const std::map<ScheduleMix, unsigned> loss_series = {
        {ScheduleMix::series, 5}, {ScheduleMix::isolation, 1}, {ScheduleMix::departures, 0}};
    weights.at(static_cast<std::size_t>(ActionKind::loss_series)) = loss_series.at(mix);
    weights.at(static_cast<std::size_t>(ActionKind::departure_series)) = mix == ScheduleMix::departures ? 5 : 0;
    weights.at(static_cast<std::size_t>(ActionKind::isolation_series)) = mix == ScheduleMix::isolation ? 5 : 0;
  }
  if (mix == ScheduleMix::answers) {
    weights.at(static_cast<std::size_t>(ActionKind::answered_request)) = 120;
    weights.at(static_cast<std::size_t>(ActionKind::crash_engine)) = 8;
    weights.at(static_cast<std::size_t>(ActionKind::restart_engines)) = 12;
  }
  if (mix == ScheduleMix::versions) {
    weights.at(static_cast<std::size_t>(ActionKind::resumed_stream)) = 120;
    weights.at(static_cast<std::size_t>(ActionKind::crash_engine)) = 8;
    weights.at(static_cast<std::size_t>(ActionKind::restart_engines)) = 12;
    weights.at(static_cast<std::size_t>(ActionKind::replace_engine)) = 10;
    weights.at(static_cast<std::size_t>(ActionKind::release_engines)) = 3;
    weights.at(static_cast<std::size_t>(ActionKind::restart_everything)) = 1;
  }
  if (mix == ScheduleMix::crashes) {
    weights.at(static_cast<std::size_t>(ActionKind::submit_listed_job)) = 6;
    weights.at(static_cast<std::size_t>(ActionKind::unlucky_job)) = 3;
    weights.at(static_cast<std::size_t>(ActionKind::read_positions)) = 12;
    weights.at(static_cast<std::size_t>(ActionKind::forwarded_request)) = 20;
    weights.at(static_cast<std::size_t>(ActionKind::crash_burst)) = 6;
    weights.at(static_cast<std::size_t>(ActionKind::restart_everything)) = 1;
  }
  if (mix == ScheduleMix::rejections) {
    weights.at(static_cast<std::size_t>(ActionKind::submit_listed_job)) = 10;
    weights.at(static_cast<std::size_t>(ActionKind::change_routes)) = 10;
    weights.at(static_cast<std::size_t>(ActionKind::read_positions)) = 15;
    weights.at(static_cast<std::size_t>(ActionKind::restart_everything)) = 3;
    weights.at(static_cast<std::size_t>(ActionKind::lose_disk_and_power)) = 2;
  }
  if (mix == ScheduleMix::parts) {
    weights.at(static_cast<std::size_t>(ActionKind::prompt_request)) = 90;
    weights.at(static_cast<std::size_t>(ActionKind::fatal_part)) = 30;
    weights.at(static_cast<std::size_t>(ActionKind::suspend_node)) = 3;
    weights.at(static_cast<std::size_t>(ActionKind::restart_everything)) = 1;
    weights.at(static_cast<std::size_t>(ActionKind::lose_disk_and_power)) = 1;
  }
  if (mix == ScheduleMix::leaving) {
    weights.at(static_cast<std::size_t>(ActionKind::live_request)) = 60;
    weights.at(static_cast<std::size_t>(ActionKind::engines_vanish)) = 6;
    weights.at(static_cast<std::size_t>(ActionKind::back_ends_return)) = 4;
  }
  return weights;
}
}  // namespace

Profile profile_for(ScheduleMix mix, Profile profile) {
  profile.loss_series = mix == ScheduleMix::series || mix == ScheduleMix::isolation || mix == ScheduleMix::departures;
  if (mix == ScheduleMix::departures) {
    profile.departures = true;
    profile.seeds_drawn = true;
    profile.nodes = std::max(profile.nodes, kDepartureNodes);
  }
  if (mix == ScheduleMix::answers) {
    profile.answer_fault_percent = kAnswerFaultPercent;
  }
  if (mix == ScheduleMix::versions) {
    profile.engine_versions = kEngineVersions;
  }
  if (mix == ScheduleMix::rejections) {
    profile.failed_run_percent = kFailedRunPercent;
  }
  if (mix == ScheduleMix::crashes) {
    profile.batch_tokens *= kLongItemFactor;
    profile.job_items /= kFewItemsDivisor;
    profile.crashes_judged = true;
  }
  if (mix == ScheduleMix::isolation) {
    profile.seeds_drawn = true;
    profile.successors_judged = true;
    // Between nodes run streams, and what is late by seconds would be judged as the nodes' own time.
    profile.loss_percent = 0;
    profile.late_percent = 0;
    profile.nodes = std::max(profile.nodes, kIsolationNodes);
  }
  return profile;
}

const char* action_name(ActionKind kind) {
  static constexpr std::array<const char*, kActionKinds> kNames = {"live_request",
                                                                   "booking",
                                                                   "resend_booking",
                                                                   "submit_job",
                                                                   "resend_job",
                                                                   "cancel_job",
                                                                   "read_results",
                                                                   "declare",
                                                                   "race_declarations",
                                                                   "crash_node",
                                                                   "restart_nodes",
                                                                   "freeze_node",
                                                                   "thaw_nodes",
                                                                   "lose_disk",
                                                                   "cut_link",
                                                                   "isolate_node",
                                                                   "mend_links",
                                                                   "crash_engine",
                                                                   "restart_engines",
                                                                   "engine_leaves",
                                                                   "service_leaves",
                                                                   "back_ends_return",
                                                                   "platform_down",
                                                                   "platform_loses_answers",
                                                                   "platform_slow",
                                                                   "platform_well",
                                                                   "connections_break",
                                                                   "connections_well",
                                                                   "services_slow",
                                                                   "drain_node",
                                                                   "drain_busy_node",
                                                                   "cancel_during_freeze",
                                                                   "leave_during_freeze",
                                                                   "lose_disk_beside_stale_replica",
                                                                   "forwarded_request",
                                                                   "fatal_request",
                                                                   "fatal_live",
                                                                   "unlucky_job",
                                                                   "suspend_node",
                                                                   "cancel_during_suspension",
                                                                   "leave_during_suspension",
                                                                   "restart_everything",
                                                                   "lose_disk_and_power",
                                                                   "submit_listed_job",
                                                                   "read_positions",
                                                                   "engines_vanish",
                                                                   "retire_disk",
                                                                   "losses_in_a_row",
                                                                   "wait",
                                                                   "loss_series",
                                                                   "isolation_series",
                                                                   "departure_series",
                                                                   "answered_request",
                                                                   "resumed_stream",
                                                                   "replace_engine",
                                                                   "release_engines",
                                                                   "crash_burst",
                                                                   "prompt_request",
                                                                   "fatal_part",
                                                                   "change_routes"};
  return kNames.at(static_cast<std::size_t>(kind));
}

std::vector<Action> make_schedule(std::uint64_t seed, std::size_t steps, ScheduleMix mix) {
  const Weights weights = weights_of(mix);
  Random random(seed ^ 0x5CEDULL);
  unsigned total = 0;
  for (const unsigned weight : weights) {
    total += weight;
  }
  std::vector<Action> actions;
  while (actions.size() < steps) {
    std::uint64_t draw = random.below(total);
    unsigned kind = 0;
    while (draw >= weights.at(kind)) {
      draw -= weights.at(kind++);
    }
    Action action{static_cast<ActionKind>(kind), static_cast<std::uint32_t>(random.below(1 << 16)), 0};
    // Mostly quick, now and then long enough for suspicion, leases and time-outs to run out.
    action.pause_ms = static_cast<std::uint32_t>(random.chance(8) ? random.below(6000) : random.below(120));
    actions.push_back(action);
  }
  return actions;
}

std::vector<Action> repeats_at_other_nodes(unsigned repeats, std::uint32_t pause_ms, ActionKind kind) {
  constexpr unsigned kOthersBetween = 4;
  constexpr unsigned kNodes = 5;
  std::vector<Action> actions;
  for (unsigned repeat = 0; repeat < repeats; ++repeat) {
    actions.push_back({kind, repeat % kNodes, 0});
    for (unsigned other = 0; other < kOthersBetween; ++other) {
      actions.push_back({ActionKind::forwarded_request, repeat + other, pause_ms / kOthersBetween});
    }
  }
  return actions;
}

std::vector<Action> shorten(std::uint64_t seed, std::vector<Action> actions, const Profile& profile,
                            const node::Guards& guards) {
  const RunResult first = run_schedule(seed, actions, profile, guards);
  if (first.violations.empty()) {
    return actions;
  }
  const Promise promise = first.violations.front().promise;
  const auto still_fails = [&](const std::vector<Action>& fewer) {
    const RunResult result = run_schedule(seed, fewer, profile, guards);
    return std::any_of(result.violations.begin(), result.violations.end(),
                       [&](const Violation& one) { return one.promise == promise; });
  };
  unsigned tries_left = 60;
  for (std::size_t chunk = std::max<std::size_t>(1, actions.size() / 2); chunk > 0 && tries_left > 0; chunk /= 2) {
    for (std::size_t start = 0; start < actions.size() && tries_left > 0;) {
      std::vector<Action> fewer = actions;
      const auto from = fewer.begin() + static_cast<std::ptrdiff_t>(start);
      const auto to = fewer.begin() + static_cast<std::ptrdiff_t>(std::min(start + chunk, fewer.size()));
      fewer.erase(from, to);
      --tries_left;
      if (still_fails(fewer)) {
        actions = std::move(fewer);
      } else {
        start += chunk;
      }
    }
  }
  return actions;
}

}  // namespace madderdeck::simulation
