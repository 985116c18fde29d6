#pragma once
/// @file Schedules of actions, their execution against a simulated fleet, and their shortening.

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "simulation/fleet.hpp"
#include "simulation/prompt_clients.hpp"

namespace madderdeck::simulation {

/// One thing that callers, operators or fate do.
enum class ActionKind : std::uint8_t {
  live_request,
  booking,
  resend_booking,
  submit_job,
  resend_job,
  cancel_job,
  read_results,
  declare,
  race_declarations,
  crash_node,
  restart_nodes,
  freeze_node,
  thaw_nodes,
  lose_disk,
  cut_link,
  isolate_node,
  mend_links,
  crash_engine,
  restart_engines,
  engine_leaves,
  service_leaves,
  back_ends_return,
  platform_down,
  platform_loses_answers,
  platform_slow,
  platform_well,
  connections_break,
  connections_well,
  services_slow,
  drain_node,
  drain_busy_node,                 ///< A planned stop while long streams and calls run.
  cancel_during_freeze,            ///< A scheduler is frozen while a job is cancelled, then wakes.
  leave_during_freeze,             ///< A gateway is frozen while an engine leaves, then wakes to requests.
  lose_disk_beside_stale_replica,  ///< Acknowledged by two, of which one then loses its disk.
  forwarded_request,
  fatal_request,  ///< One of two requests that end every engine that begins to run them.
  fatal_live,     ///< The same as a generation of the program's own interface,
  unlucky_job,    ///< A job with an item under which 1 to 50 engines crash, one after the other.
  suspend_node,   ///< As freeze_node, and its machine's steady clock stands still.
  cancel_during_suspension,
  leave_during_suspension,
  restart_everything,   ///< All nodes end at the same moment and start again.
  lose_disk_and_power,  ///< A disk is lost while all other nodes lose power.
  submit_listed_job,    ///< A job of HTTP items, whose results have lasting positions.
  read_positions,       ///< Of one such job, from some position on.
  engines_vanish,       ///< Entries of most engines go without a word; the engines serve on.
  retire_disk,          ///< A node is emptied, taken away and comes back with another disk.
  losses_in_a_row,      ///< Disks fall silent, one is lost beside them, then power perhaps, all within seconds.
  wait,
  loss_series,       ///< A machine away, another one's disk lost, back for a short time, away again, power of all lost.
  isolation_series,  ///< Disks lost beside gateways that are cut off, seeds where nobody lives, a store that is silent.
  departure_series,  ///< A machine is emptied and taken away, while others believe what was before.
  answered_request,  ///< A passed-on request of any kind whose answer may be broken off.
  resumed_stream,    ///< A stream that its client resumes at other nodes.
  replace_engine,    ///< An engine crashes or leaves; the next one has a new id and perhaps another version.
  release_engines,   ///< All engines are replaced by ones of one version, slowly or at once.
  crash_burst,       ///< A share of the engines crashes, again and again.
  prompt_request,    ///< A sound passed-on request whose prompt shares parts with others.
  fatal_part,        ///< A request with one of two parts that end every engine which begins to answer on them.
  change_routes,     ///< Live routes with the paths of listed items come, go and name other pools.
};
inline constexpr unsigned kActionKinds = 60;
const char* action_name(ActionKind kind);

struct Action {
  ActionKind kind = ActionKind::wait;
  std::uint32_t choice = 0;    ///< Picks the node, key, engine and so on.
  std::uint32_t pause_ms = 0;  ///< Virtual time that passes afterwards.
};

/// Outcome of one schedule.
struct RunResult {
  std::uint64_t seed = 0;
  std::uint64_t trace_hash = 0;
  std::vector<Violation> violations;
  std::uint64_t steps = 0;
  LoadCounts counts;
  std::map<std::string, Oracle::FatalRequest> fatal_requests;
  std::map<std::string, Oracle::FatalPart> fatal_parts;
  sound_share sound_before;                      ///< Before the first crash under a fatal part.
  sound_share sound_after;                       ///< From 6 s after the fifth one, or the last of fewer, on.
  unsigned most_item_ends = 0;                   ///< Engines that crashed under one batch item.
  std::vector<fatal_sends::finding> over_three;  ///< Sends that ended a fourth engine or a later one.
  RecoveryTimes recovery;                        ///< Only where losses come in series.
};

/// Which actions a schedule draws from.
enum class ScheduleMix {
  standard,
  hardening,  ///< Besides the standard ones, passed-on requests and requests that end engines, suspended machines.
  leaving,    ///< Besides the standard ones, engines whose entries go without a word, many at a time.
  losses,   ///< As listing, and disks that are lost, silent and emptied one beside the other, the store away at times.
  listing,  ///< Besides the standard ones, jobs whose results have positions; nodes that all end at once.
  series,   ///< Jobs with and without positions under losses in series, the store away at times.
  isolation,   ///< As series, with losses beside nodes that find nobody or reach only some.
  answers,     ///< Besides the standard ones, passed-on requests whose engines break answers off, in every framing.
  versions,    ///< Besides the standard ones, engines of several software versions, and streams that clients resume.
  departures,  ///< Machines with a disk that are emptied and taken away while views of it differ.
  crashes,     ///< Besides the standard ones, bursts of crashes of engines under long batch items.
  rejections,  ///< As listing, with engines that fail a share of the items' runs.
  parts,       ///< Besides the standard ones, prompts that share parts, two of which end engines; suspended machines.
};

/// @return @p profile with what the schedules of @p mix need.
Profile profile_for(ScheduleMix mix, Profile profile);

/// @return the schedule that goes with @p seed.
std::vector<Action> make_schedule(std::uint64_t seed, std::size_t steps, ScheduleMix mix = ScheduleMix::standard);
/// @return ordinary requests at all nodes, and between them one that ends its engines (@p kind), at another node each
///         time, @p pause_ms apart.
std::vector<Action> repeats_at_other_nodes(unsigned repeats, std::uint32_t pause_ms,
                                           ActionKind kind = ActionKind::fatal_request);
/// @param decisions takes the decision lines of all nodes; null drops them.
RunResult run_schedule(std::uint64_t seed, const std::vector<Action>& actions, const Profile& profile,
                       const node::Guards& guards, std::ostream* decisions = nullptr);
/// @return a part of @p actions that still violates the promise that @p actions violate first.
std::vector<Action> shorten(std::uint64_t seed, std::vector<Action> actions, const Profile& profile,
                            const node::Guards& guards);

}  // namespace madderdeck::simulation
