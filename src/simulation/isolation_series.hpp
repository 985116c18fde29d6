#pragma once
/// @file Losses of disks beside nodes that find or reach only some of the others.

#include <functional>
#include <set>

#include "simulation/loss_series.hpp"

namespace madderdeck::simulation {

/// What a series is built around; the other conditions may come along with it.
enum class IsolationForm {
  gateways_cut,    ///< Gateways reach none with a disk, but each other.
  stale_seeds,     ///< A machine with a disk starts with seeds at which nobody lives.
  store_silent,    ///< The store answers some nodes nothing for long.
  dark_then_gone,  ///< One is dark while another's disk is lost, comes back in time, and goes for good or again.
  behind,          ///< The same, and the third one has missed changes before.
};
inline constexpr unsigned kIsolationForms = 5;
const char* isolation_form_name(IsolationForm form);

/// Plays one such series.
class IsolationSeries {
 public:
  /// @param parts what it is made of, and its draws
  /// @param traffic sends some work; called regularly while much is to be served
  IsolationSeries(World& world, SimFleet& fleet, GroupWatch& watch, LossSeries& parts, std::function<void()> traffic)
      : world_(world), fleet_(fleet), watch_(watch), parts_(parts), traffic_(std::move(traffic)) {}

  void play();

 private:
  void play_gateways_cut();
  void play_stale_seeds();
  void play_store_silent();
  /// @param behind whether the third one misses changes first
  void play_dark_then_gone(bool behind);

  /// @return the machines with a disk, in an order that is drawn.
  std::vector<unsigned> draw_disks();
  /// Loses the disk of @p node if the rule allows it.
  /// @return the machine with the new disk, or @p node.
  unsigned lose_if_allowed(unsigned node);
  void cut_gateways();
  /// Again where a machine has been added.
  void apply_gateway_cuts();
  void reach_gateways();
  /// Has the store answer nothing to one or two nodes.
  void silence_store();
  void end_silence();
  /// Ends the process of @p node, or of all, and starts it later with seeds at which nobody lives.
  void restart_with_stale_seeds(unsigned node);
  /// For the next start of @p node.
  void draw_settings(unsigned node);
  void draw_clock(unsigned node);
  void correct_seeds();
  void wait_with_traffic(Duration length);

  World& world_;
  SimFleet& fleet_;
  GroupWatch& watch_;
  LossSeries& parts_;
  std::function<void()> traffic_;
  std::set<unsigned> cut_gateways_;
  std::set<unsigned> silent_to_;
};

}  // namespace madderdeck::simulation
