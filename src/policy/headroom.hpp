#pragma once
/// @file How many slots of an engine batch work leaves free for live calls.

#include <compare>
#include <cstdint>
#include <memory>

#include "common/environment.hpp"

namespace madderdeck::policy {

/// The observed demand at one engine.
struct engine_demand {
  double live_per_second = 0;  ///< Arrival rate of live calls at the engine.
  Duration time_to_yield{};    ///< From a live call's arrival at a full engine until batch work has freed a slot.
  std::uint32_t slots = 1;

  auto operator<=>(const engine_demand&) const = default;
};

/// Decides the headroom of one engine. Stateless.
class headroom_policy {
 public:
  virtual ~headroom_policy() = default;
  /// @return the number of slots that batch work leaves free; at most all slots of the engine.
  virtual std::uint32_t free_slots(const engine_demand& demand) const = 0;
};

/// A constant number of slots.
class fixed_headroom : public headroom_policy {
 public:
  explicit fixed_headroom(std::uint32_t slots) : slots_(slots) {}
  std::uint32_t free_slots(const engine_demand& demand) const override;

 private:
  const std::uint32_t slots_;
};

/// As many slots as live calls arrive within the time to yield, except in a small share of these times.
class observed_headroom : public headroom_policy {
 public:
  /// @param missed the share of the times to yield in which more calls may arrive than slots are free; in (0, 1).
  explicit observed_headroom(double missed) : missed_share_(missed) {}
  std::uint32_t free_slots(const engine_demand& demand) const override;

 private:
  const double missed_share_;
};

}  // namespace madderdeck::policy
