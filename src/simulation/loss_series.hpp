#pragma once
/// @file Losses in a series: a machine with a disk is away while another one's disk is lost, is back for a short time,
/// goes away again, and then all lose power, one more disk with it.

#include <functional>
#include <optional>
#include <string>

#include "simulation/fleet.hpp"
#include "simulation/group_watch.hpp"

namespace madderdeck::simulation {

/// How a machine with a disk is away.
enum class AwayKind {
  frozen,
  killed,
  power_off,
  cut_from_all,       ///< Other nodes and the store.
  cut_from_disks,     ///< Nodes without a disk and the store still reach it.
  cut_from_one_disk,  ///< One link between two machines with a disk is down.
  deaf_to_disks,      ///< What others with a disk send does not arrive; what it sends does.
  unheard_by_disks,   ///< The reverse.
  cut_from_gateways,  ///< Nodes without a disk and the store do not reach it; those with a disk do.
};
inline constexpr unsigned kAwayKinds = 9;
const char* away_name(AwayKind kind);

/// Plays one series. It draws from numbers of its own, so that a schedule's action stays one number.
class LossSeries {
 public:
  /// @param note takes a line for each thing that happens
  LossSeries(World& world, SimFleet& fleet, Oracle& oracle, GroupWatch& watch, std::uint64_t draws,
             std::function<void(const std::string&)> note);

  void play();

  // Parts, of which other series are made, too.
  struct Away {
    unsigned node = 0;
    AwayKind kind = AwayKind::frozen;
    unsigned peer = 0;  ///< For a single link.
  };

  Random& random() { return random_; }
  Duration draw(Duration least, Duration most);
  void wait(Duration least, Duration most) { world_.run_for(draw(least, most)); }
  void happens(const std::string& kind, unsigned node);
  /// Everything runs and reaches each other at the start of a series.
  void bring_all_back();
  void go_away(const Away& away);
  void come_back(unsigned node);
  /// Loses the disk of a machine, which is back at its address or replaced by another one, after a pause.
  /// @return the machine that has the new disk.
  unsigned lose_disk(unsigned node, bool replaced, bool power);
  /// @return the machine with the new disk, not started yet.
  unsigned take_disk(unsigned node, bool replaced, bool power);
  void start_later(unsigned node, Duration most);
  /// The next disk goes as soon as the rule allows it, if it does in time.
  void lose_second_disk(unsigned first);
  /// All lose power, or are killed, in the same moment, and one more disk is lost where the rule allows it.
  void close();
  void end_process(unsigned node, bool power);

 private:
  Away draw_away(unsigned node);
  /// Sets the cuts of @p away; again where a machine has been added.
  void apply_cuts(const Away& away);
  std::optional<unsigned> pick_disk_that_may_be_lost();

  World& world_;
  SimFleet& fleet_;
  Oracle& oracle_;
  GroupWatch& watch_;
  Random random_;
  std::function<void(const std::string&)> note_;
  std::optional<Away> away_;
};

}  // namespace madderdeck::simulation
