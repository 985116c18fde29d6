#pragma once
/// @file Which batch item goes first.

#include <compare>
#include <cstdint>

#include "common/environment.hpp"

namespace madderdeck::policy {

/// What is known of an unfinished item at one moment.
struct item_outlook {
  Duration time_left{};  ///< Until its result is due; negative once that is over; Duration::max() where none is stated.
  Duration work_left{};  ///< Estimated time that it still needs, once started; zero where nothing is known.

  /// @return how long it may still wait and be in time; negative when it will be late.
  Duration slack() const { return time_left == Duration::max() ? Duration::max() : time_left - work_left; }
  auto operator<=>(const item_outlook&) const = default;
};

/// Order among waiting items. A strict weak ordering; stateless.
class item_order {
 public:
  virtual ~item_order() = default;
  virtual bool before(const item_outlook& left, const item_outlook& right) const = 0;
  /// @return whether items that will be late are handed out only after all others.
  virtual bool late_go_last() const = 0;
};

/// As they came.
class arrival_order : public item_order {
 public:
  bool before(const item_outlook&, const item_outlook&) const override { return false; }
  bool late_go_last() const override { return false; }
};

/// The nearest deadline first.
class deadline_order : public item_order {
 public:
  bool before(const item_outlook& left, const item_outlook& right) const override;
  bool late_go_last() const override { return false; }
};

/// Items that can still be in time first, by nearest deadline; then the late ones, by deadline, too.
class attainable_order : public item_order {
 public:
  bool before(const item_outlook& left, const item_outlook& right) const override;
  bool late_go_last() const override { return true; }
};

}  // namespace madderdeck::policy
