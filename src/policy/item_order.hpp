#pragma once
/// @file The order in which batch items are handed out.

#include <compare>
#include <cstdint>

#include "common/environment.hpp"

namespace madderdeck::policy {

/// State of an unfinished item at one point in time.
struct unfinished_item_state {
  Duration time_left{};  ///< Time until the item's deadline; negative after it; Duration::max() if it has none.
  Duration work_left{};  ///< Estimated time that it still needs once started; zero if unknown.

  /// @return how long the item can wait and still meet its deadline; negative if it will be late.
  Duration slack() const { return time_left == Duration::max() ? Duration::max() : time_left - work_left; }
  auto operator<=>(const unfinished_item_state&) const = default;
};

/// Order of waiting items. A strict weak ordering; stateless.
class item_order {
 public:
  virtual ~item_order() = default;
  virtual bool before(const unfinished_item_state& left, const unfinished_item_state& right) const = 0;
  /// @return whether items that will be late are handed out only after all others.
  virtual bool defers_late_items() const = 0;
};

/// In order of arrival.
class arrival_order : public item_order {
 public:
  bool before(const unfinished_item_state&, const unfinished_item_state&) const override { return false; }
  bool defers_late_items() const override { return false; }
};

/// By nearest deadline.
class deadline_order : public item_order {
 public:
  bool before(const unfinished_item_state& left, const unfinished_item_state& right) const override;
  bool defers_late_items() const override { return false; }
};

/// Items that can still meet their deadline go first, the late ones after them; both by nearest deadline.
class attainable_order : public item_order {
 public:
  bool before(const unfinished_item_state& left, const unfinished_item_state& right) const override;
  bool defers_late_items() const override { return true; }
};

}  // namespace madderdeck::policy
