#pragma once
/// @file A machine with a disk is emptied and taken away while others believe what was before.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "simulation/loss_series.hpp"

namespace madderdeck::simulation {

/// How a node comes to hold an old view of the fleet.
enum class stale_view {
  frozen,
  cut_from_all,         ///< Other nodes and the store.
  cut_from_disks,       ///< Machines with a disk alone.
  turned_away,          ///< By the store alone.
  membership_unheard,   ///< Word of epochs arrives, word of members does not.
  epochs_unheard,       ///< The reverse.
  started_from_behind,  ///< Starts anew, and a peer that has been frozen tells it who is there.
};
inline constexpr unsigned kStaleViews = 7;
const char* stale_view_name(stale_view kind);

/// Plays one departure.
class departure_series {
 public:
  /// @param parts what it is made of, and its draws
  departure_series(World& world, SimFleet& fleet, GroupWatch& watch, LossSeries& parts)
      : world_(world), fleet_(fleet), watch_(watch), parts_(parts) {}

  void play();

 private:
  /// What steps are timed by.
  enum class moment { begun, asked, completed, gone, all_back, lost };
  struct step {
    moment after = moment::begun;
    Duration offset{};
    std::function<void()> act;
  };
  struct view {
    stale_view kind = stale_view::frozen;
    unsigned node = 0;
    unsigned peer = 0;             ///< Who tells a node of the fleet that starts anew.
    bool datagrams_lost = false;   ///< Those that come while it is frozen; what comes by streams is sent again.
    bool asked_meanwhile = false;  ///< Callers ask there: answers of members tell it of epochs.
    bool begun = false;
    bool ended = false;
    Timestamp ended_at{};
  };

  /// @return the machine that is to be emptied.
  unsigned draw_leaver();
  void draw_views();
  stale_view draw_kind();
  /// @return a node that looks after the groups or could by turns, of which none has been drawn yet.
  std::optional<unsigned> draw_viewer();
  void plan_view(std::size_t number);
  void plan_departure();
  void plan_loss();
  void plan_successor();

  void plan(moment after, Duration offset, std::function<void()> act);
  void reached(moment what);
  /// Plays all steps; those whose moment does not come in time are left out.
  void run_plan();
  void take_due_steps();
  void note_emptied();
  /// Callers ask at nodes that hold an old view and reach others, or did so shortly before.
  void ask_at_viewers();
  /// Ends views that may be what the emptying waits for.
  void end_views_that_hold_up();

  void begin_view(std::size_t number);
  void end_view(std::size_t number);
  /// Sets the cuts of all views that last; again where a machine has been added.
  void apply_cuts();
  /// Datagrams reach the nodes of @p one again, some time after the process goes on.
  void hear_again(const view& one);
  void restart_from(unsigned node, unsigned peer);
  void ask();
  void take_away();
  void lose_other_disk();
  void add_successor();
  /// At the start there are as many machines with a disk as a group has members, and their disks are whole.
  void fill_up();
  bool disks_are_whole();

  World& world_;
  SimFleet& fleet_;
  GroupWatch& watch_;
  LossSeries& parts_;
  unsigned leaver_ = 0;
  std::vector<view> views_;
  std::vector<step> plan_;
  std::map<moment, Timestamp> moments_;
  Timestamp asked_at_{};  ///< When callers last asked.
};

}  // namespace madderdeck::simulation
