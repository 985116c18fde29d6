/// @file madderdeck-sim: seeded schedules of work and faults against the real decision logic.

#include <gflags/gflags.h>

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>

#include "simulation/driver.hpp"
#include "simulation/mutants.hpp"

DEFINE_string(seeds, "1-20", "Seeds to run, FROM-TO.");
DEFINE_uint64(steps, 120, "Actions in each schedule.");
DEFINE_string(profile, "qasr", "Site: qasr, ravelin or large.");
DEFINE_string(
    mix, "standard",
    "Actions to draw from: standard, hardening (requests that end engines, too), listing (jobs with positions), "
    "leaving, losses, series (losses of disks in series), isolation (the same beside nodes that find or reach few), "
    "departures (machines that are emptied and taken away while others believe them to be there), answers (engines "
    "that break answers off), versions (engines of several software versions, and streams that clients resume), "
    "crashes "
    "(bursts of crashes of engines under long batch items), rejections (engines that fail runs of items), or parts "
    "(prompts that share parts, two of which end "
    "engines).");
DEFINE_string(repeats, "",
              "Instead of a mix: 'request' or 'generation', one that ends its engines, sent 30 times at other nodes.");
DEFINE_uint64(pause_ms, 400, "With --repeats: between two of them.");
DEFINE_uint64(loss_percent, 1, "Messages between nodes that are lost while no fault raises it.");
DEFINE_uint64(replaced_percent, 30,
              "With --mix=series: lost disks whose machine is replaced by another one at another address.");
DEFINE_string(without, "",
              "With --mix=isolation: 'stale_seeds', 'cut_gateways' or both with a comma between; drawn and left out.");
DEFINE_bool(mixed_versions, false, "Every other node speaks as an earlier version does.");
DEFINE_bool(log, false, "Print the decision lines of all nodes.");
DEFINE_bool(over_three, false, "Print why each send was not held back that ended a fourth engine or a later one.");
DEFINE_bool(json, false, "Print only the JSON result.");
DEFINE_bool(list_mutants, false, "List the versions without a guard.");
DEFINE_string(mutant, "", "Leave this guard out; the run then has to fail.");
DEFINE_bool(all_mutants, false, "Run every mutant until the oracle notices it, within its number of seeds.");
DEFINE_bool(all_violations, false, "Print the violations of every seed, not of the first one only.");
DEFINE_bool(shorten, true, "Shorten the first schedule that fails.");

namespace {

using namespace madderdeck;
using namespace madderdeck::simulation;
namespace json = boost::json;

constexpr unsigned kEndsThatTell = 3;  ///< Engines that one request may end while its repeats are apart.
constexpr std::uint64_t kPercent = 100;
constexpr Duration kReadableSoon = 2s;  ///< What operators want of jobs once their group has its majority again.

struct SeedRange {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
};

std::optional<SeedRange> parse_seeds(const std::string& text) {
  const std::size_t dash = text.find('-');
  try {
    const std::uint64_t from = std::stoull(text.substr(0, dash));
    const std::uint64_t to = dash == std::string::npos ? from : std::stoull(text.substr(dash + 1));
    return SeedRange{from, to};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// @return how many there are, and the times within which half of them, 90, 99 and all in 100 lie.
json::object describe_times(std::vector<Duration> times) {
  if (times.empty()) {
    return {};
  }
  std::sort(times.begin(), times.end());
  const auto within = [&times](std::size_t percent) {
    return times[std::min(times.size() - 1, times.size() * percent / kPercent)] / 1ms;
  };
  const auto over = static_cast<std::uint64_t>(
      std::count_if(times.begin(), times.end(), [](Duration time) { return time > kReadableSoon; }));
  return json::object{{"count", times.size()}, {"over_2s", over},      {"p50_ms", within(50)},
                      {"p90_ms", within(90)},  {"p99_ms", within(99)}, {"most_ms", within(kPercent)}};
}

json::object describe_counts(const std::map<unsigned, std::uint64_t>& counts) {
  json::object described;
  for (const auto& [key, count] : counts) {
    described[std::to_string(key)] = count;
  }
  return described;
}

json::object describe_share(const sound_share& share) { return {{"sent", share.sent}, {"began", share.began}}; }

/// Sums over all seeds.
struct Totals {
  std::uint64_t seeds = 0;
  std::uint64_t steps = 0;
  std::uint64_t trace_hash = 0;
  LoadCounts counts;
  std::map<std::string, std::uint64_t> violations;
  std::map<unsigned, std::uint64_t> engines_ended;  ///< Schedules by the most engines that one request ended.
  std::map<unsigned, std::uint64_t> ends_by_part;   ///< Fatal parts by the engines that they ended.
  std::map<unsigned, std::uint64_t> late_by_part;   ///< Fatal parts by their sends when all nodes had to know.
  sound_share sound_before;
  sound_share sound_after;
  std::map<std::string, std::uint64_t> over_three;  ///< Sends that ended a fourth engine or a later one, by reason.
  RecoveryTimes recovery;

  void add(const RunResult& result) {
    ++seeds;
    steps += result.steps;
    counts.add(result.counts);
    recovery.add(result.recovery);
    trace_hash = stable_hash(hex64(result.trace_hash), trace_hash);
    for (const Violation& violation : result.violations) {
      ++violations[promise_name(violation.promise)];
    }
    for (const fatal_sends::finding& found : result.over_three) {
      ++over_three[send_reason_name(found.reason)];
    }
    ++engines_ended[most_ended(result)];
    for (const auto& [part, fatal] : result.fatal_parts) {
      ++ends_by_part[fatal.ends];
      ++late_by_part[fatal.sent_long_after];
    }
    sound_before.add(result.sound_before);
    sound_after.add(result.sound_after);
  }
  static unsigned most_ended(const RunResult& result) {
    unsigned most = 0;
    for (const auto& [body, request] : result.fatal_requests) {
      most = std::max(most, request.ends);
    }
    return most;
  }
  json::object describe() const {
    json::object fault_counts;
    for (const auto& [kind, count] : counts.faults) {
      fault_counts[kind] = count;
    }
    json::object violation_counts;
    for (const auto& [promise, count] : violations) {
      violation_counts[promise] = count;
    }
    json::object ended;
    for (const auto& [count, schedules] : engines_ended) {
      ended[std::to_string(count)] = schedules;
    }
    json::object reasons;
    for (const auto& [reason, count] : over_three) {
      reasons[reason] = count;
    }
    json::object described = json::object{{"seeds", seeds},
                                          {"steps", steps},
                                          {"faults", std::move(fault_counts)},
                                          {"accepted_items", counts.accepted_items},
                                          {"completed_items", counts.completed_items},
                                          {"non_repeatable_sent", counts.non_repeatable_sent},
                                          {"cancelled_jobs", counts.cancelled_jobs},
                                          {"config_changes", counts.config_changes},
                                          {"live_answered", counts.live_answered},
                                          {"planned_stops", counts.planned_stops},
                                          {"trace_hash", hex64(trace_hash)},
                                          {"schedules_by_engines_ended", std::move(ended)},
                                          {"sends_over_three", std::move(reasons)},
                                          {"violations", std::move(violation_counts)}};
    if (counts.streams_resumed > 0) {
      json::object refused;
      for (const auto& [kind, count] : counts.resumes_refused) {
        refused[kind] = count;
      }
      described["streams_resumed"] = counts.streams_resumed;
      described["resumed_streams_finished"] = counts.resumed_streams_finished;
      described["resumes_refused"] = std::move(refused);
    }
    if (!ends_by_part.empty()) {
      described["fatal_parts_by_engines_ended"] = describe_counts(ends_by_part);
      described["fatal_parts_by_late_sends"] = describe_counts(late_by_part);
      described["sound_before"] = describe_share(sound_before);
      described["sound_after"] = describe_share(sound_after);
    }
    if (!recovery.job_after_all_back.empty()) {
      described["job_readable_after_majority"] = describe_times(recovery.job_after_majority);
      described["job_readable_after_all_back"] = describe_times(recovery.job_after_all_back);
      described["group_votes_after_all_back"] = describe_times(recovery.group_after_all_back);
    }
    return described;
  }
};

std::optional<ScheduleMix> parse_mix(const std::string& text) {
  if (text == "standard") {
    return ScheduleMix::standard;
  }
  if (text == "listing") {
    return ScheduleMix::listing;
  }
  if (text == "losses") {
    return ScheduleMix::losses;
  }
  if (text == "leaving") {
    return ScheduleMix::leaving;
  }
  if (text == "series") {
    return ScheduleMix::series;
  }
  if (text == "isolation") {
    return ScheduleMix::isolation;
  }
  if (text == "answers") {
    return ScheduleMix::answers;
  }
  if (text == "versions") {
    return ScheduleMix::versions;
  }
  if (text == "departures") {
    return ScheduleMix::departures;
  }
  if (text == "crashes") {
    return ScheduleMix::crashes;
  }
  if (text == "rejections") {
    return ScheduleMix::rejections;
  }
  if (text == "parts") {
    return ScheduleMix::parts;
  }
  return text == "hardening" ? std::optional(ScheduleMix::hardening) : std::nullopt;
}

/// @return the schedule of @p seed that the flags ask for.
std::vector<Action> schedule_of(std::uint64_t seed, ScheduleMix mix) {
  constexpr unsigned kRepeats = 30;
  if (FLAGS_repeats.empty()) {
    return make_schedule(seed, FLAGS_steps, mix);
  }
  const ActionKind kind = FLAGS_repeats == "generation" ? ActionKind::fatal_live : ActionKind::fatal_request;
  return repeats_at_other_nodes(kRepeats, static_cast<std::uint32_t>(FLAGS_pause_ms), kind);
}

void print_over_three(const RunResult& result) {
  for (const fatal_sends::finding& found : result.over_three) {
    std::cout << "seed " << result.seed << " end " << found.send.end << " under '" << found.send.body << "': node-"
              << found.send.node << " sent it to engine-" << found.send.engine << " at " << found.send.begun / 1ms
              << " ms, " << found.after_third_end / 1us << " us after the third end, knowing " << found.send.ends_known
              << " ends" << (found.send.in_touch ? "; " : ", not in touch; ")
              << (found.after_known ? std::to_string(*found.after_known / 1us) + " us after a node knew three"
                                    : std::string("no node knew three"))
              << ": " << send_reason_name(found.reason) << std::endl;
  }
}

void print_violation(const RunResult& result, const Profile& profile, const node::Guards& guards, ScheduleMix mix,
                     bool with_shortened) {
  std::cout << "seed " << result.seed << " violates:\n";
  for (const Violation& violation : result.violations) {
    std::cout << "  " << promise_name(violation.promise) << " at " << violation.at / 1ms << " ms: " << violation.detail
              << "\n";
  }
  if (!with_shortened) {
    return;
  }
  const auto actions = shorten(result.seed, schedule_of(result.seed, mix), profile, guards);
  std::cout << "shortened schedule, replayed with the same seed:\n";
  for (const Action& action : actions) {
    std::cout << "  " << action_name(action.kind) << " choice=" << action.choice << " pause_ms=" << action.pause_ms
              << "\n";
  }
}

int run_seeds(const SeedRange& range, const Profile& profile, const node::Guards& guards, ScheduleMix mix) {
  Totals totals;
  bool printed = false;
  std::uint64_t over_three = 0;
  for (std::uint64_t seed = range.from; seed <= range.to; ++seed) {
    const RunResult result =
        run_schedule(seed, schedule_of(seed, mix), profile, guards, FLAGS_log ? &std::cout : nullptr);
    totals.add(result);
    over_three += !FLAGS_repeats.empty() && Totals::most_ended(result) > kEndsThatTell ? 1 : 0;
    if (!FLAGS_repeats.empty() && (Totals::most_ended(result) > kEndsThatTell || !result.violations.empty())) {
      std::cout << "seed " << seed << " engines ended " << Totals::most_ended(result) << " violations "
                << result.violations.size() << std::endl;
    }
    if (FLAGS_over_three) {
      print_over_three(result);
    }
    if (!FLAGS_json) {
      std::cout << "seed " << seed << " trace " << hex64(result.trace_hash) << " violations "
                << result.violations.size() << std::endl;
    }
    if (!result.violations.empty() && (!printed || FLAGS_all_violations) && !FLAGS_json) {
      print_violation(result, profile, guards, mix, FLAGS_shorten && !printed);
      printed = true;
    }
  }
  std::cout << json::serialize(totals.describe()) << std::endl;
  if (!totals.violations.empty() || over_three > 0) {
    return 1;
  }
  if (FLAGS_repeats.empty() && !totals.counts.every_load_ran()) {
    std::cerr << "madderdeck-sim: a kind of load never ran, so nothing is shown; use more seeds or steps" << std::endl;
    return 2;
  }
  return 0;
}

bool violates(const RunResult& result, Promise promise) {
  return std::any_of(result.violations.begin(), result.violations.end(),
                     [promise](const Violation& one) { return one.promise == promise; });
}

/// @return the first seed that shows the mutant, and keeps the promise with all guards; nothing when none does in time.
std::optional<std::uint64_t> seed_that_shows(const Mutant& mutant, Profile profile) {
  profile.mixed_versions = profile.mixed_versions || mutant.mixed_versions;
  profile = profile_for(mutant.mix, std::move(profile));
  profile.replaced_percent = 0;  // the guard alone makes the difference
  node::Guards guards;
  mutant.apply(guards);
  for (std::uint64_t seed = 1; seed <= mutant.within_seeds; ++seed) {
    const auto schedule = make_schedule(seed, FLAGS_steps, mutant.mix);
    const bool shown = violates(run_schedule(seed, schedule, profile, guards), mutant.promise);
    if (shown && !violates(run_schedule(seed, schedule, profile, node::Guards()), mutant.promise)) {
      return seed;
    }
  }
  return std::nullopt;
}

int run_mutants(const Profile& profile) {
  unsigned missed = 0;
  for (const Mutant& mutant : mutants()) {
    const auto seed = seed_that_shows(mutant, profile);
    missed += seed ? 0 : 1;
    std::cout << mutant.name << " (" << promise_name(mutant.promise) << "): "
              << (seed ? "noticed at seed " + std::to_string(*seed)
                       : "NOT NOTICED within " + std::to_string(mutant.within_seeds) + " seeds")
              << std::endl;
  }
  std::cout << json::serialize(json::object{{"mutants", mutants().size()}, {"missed", missed}}) << std::endl;
  return missed == 0 ? 0 : 1;
}

int usage(const std::string& problem) {
  std::cerr << "madderdeck-sim: invalid_argument: " << problem << std::endl;
  return exit_code_for(ErrorKind::invalid_argument);
}

}  // namespace

int main(int argument_count, char** arguments) {
  gflags::SetUsageMessage(
      "madderdeck-sim --seeds=FROM-TO [--steps=N] [--profile=qasr|ravelin|large] "
      "[--mix=standard|hardening|listing|leaving|losses|series|isolation|departures|answers|versions|crashes|"
      "rejections|parts] "
      "[--repeats=request|generation --pause_ms=N] [--loss_percent=N] [--mixed_versions] [--log] "
      "[--over_three] [--all_violations] [--replaced_percent=N] [--without=stale_seeds,cut_gateways] "
      "[--json]");
  gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
  if (FLAGS_list_mutants) {
    for (const Mutant& mutant : mutants()) {
      std::cout << mutant.name << " " << promise_name(mutant.promise) << " within " << mutant.within_seeds
                << " seeds\n";
    }
    return 0;
  }
  auto profile = find_profile(FLAGS_profile);
  const auto range = parse_seeds(FLAGS_seeds);
  const auto mix = parse_mix(FLAGS_mix);
  if (!mix) {
    return usage("mix: found " + FLAGS_mix);
  }
  if (!profile || !range) {
    return usage(!profile ? "profile: found " + FLAGS_profile : "seeds: found " + FLAGS_seeds);
  }
  if (FLAGS_loss_percent >= kPercent) {
    return usage("loss_percent: found " + std::to_string(FLAGS_loss_percent) + ", below 100 is wanted");
  }
  if (!FLAGS_repeats.empty() && FLAGS_repeats != "request" && FLAGS_repeats != "generation") {
    return usage("repeats: found " + FLAGS_repeats);
  }
  const std::set<std::string> known = {"", "stale_seeds", "cut_gateways", "stale_seeds,cut_gateways"};
  if (!known.contains(FLAGS_without)) {
    return usage("without: found " + FLAGS_without);
  }
  profile->mixed_versions = FLAGS_mixed_versions;
  profile->loss_percent = static_cast<unsigned>(FLAGS_loss_percent);
  profile = profile_for(*mix, *profile);
  profile->seeds_go_stale = FLAGS_without.find("stale_seeds") == std::string::npos;
  profile->gateways_are_cut = FLAGS_without.find("cut_gateways") == std::string::npos;
  profile->replaced_percent = static_cast<unsigned>(FLAGS_replaced_percent);
  if (FLAGS_all_mutants) {
    return run_mutants(*profile);
  }
  node::Guards guards;
  if (!FLAGS_mutant.empty()) {
    const Mutant* mutant = find_mutant(FLAGS_mutant);
    if (mutant == nullptr) {
      return usage("mutant: found " + FLAGS_mutant + ", see --list_mutants");
    }
    mutant->apply(guards);
  }
  return run_seeds(*range, *profile, guards, *mix);
}
