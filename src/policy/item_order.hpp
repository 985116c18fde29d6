#pragma once
/// @file The order in which batch items are handed out.

#include <compare>
#include <cstdint>

#include "common/environment.hpp"

namespace madderdeck::policy {

/// State of an unfinished item at one point in time.
struct item_outlook {
  Duration time_left{};  ///< Time until the item's deadline; negative after it; Duration::max() if it has none.
  Duration work_left{};  ///< Estimated time that it still needs once started; zero if unknown.

  /// @return how long the item can wait and still meet its deadline; negative if it will be late.
  Duration slack() const { return time_left == Duration::max() ? Duration::max() : time_left - work_left; }
  auto operator<=>(const item_outlook&) const = default;
};

/// Order of waiting items. A strict weak ordering; stateless.
class item_order {
 public:
  virtual ~item_order() = default;
  virtual bool before(const item_outlook& left, const item_outlook& right) const = 0;
  /// @return whether items that will be late are handed out only after all others.
  virtual bool late_go_last() const = 0;
};

/// In order of arrival.
class arrival_order : public item_order {
 public:
  bool before(const item_outlook&, const item_outlook&) const override { return false; }
  bool late_go_last() const override { return false; }
};

/// By nearest deadline.
class deadline_order : public item_order {
 public:
  bool before(const item_outlook& left, const item_outlook& right) const override;
  bool late_go_last() const override { return false; }
};

/// Items that can still meet their deadline go first, the late ones after them; both by nearest deadline.
class attainable_order : public item_order {
 public:
  bool before(const item_outlook& left, const item_outlook& right) const override;
  bool late_go_last() const override { return true; }
};

}  // namespace madderdeck::policy
