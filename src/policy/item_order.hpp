#pragma once
/// @file Which batch item goes first, and which running one stops first.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "common/environment.hpp"

namespace madderdeck::policy {

/// What is known of an unfinished item at one moment.
struct item_outlook {
  Duration time_left{};  ///< Until its result is due; negative once that is over; Duration::max() where none is stated.
  Duration work_left{};  ///< Estimated time that it still needs in a slot; zero where nothing is known.
  std::uint64_t started = 0;  ///< Order of starts; greater is younger. Zero for one that waits.

  /// @return how long it may still wait and be in time; negative when it will be late.
  Duration slack() const { return time_left == Duration::max() ? Duration::max() : time_left - work_left; }
  auto operator<=>(const item_outlook&) const = default;
};

/// Order among waiting items. A strict weak ordering; stateless.
class item_order {
 public:
  virtual ~item_order() = default;
  virtual bool before(const item_outlook& left, const item_outlook& right) const = 0;
  /// @return whether @p waiting is worth stopping @p running for.
  virtual bool displaces(const item_outlook& waiting, const item_outlook& running) const = 0;
  /// @return whether items that will be late are handed out only after all others.
  virtual bool late_go_last() const = 0;
};

/// As they came.
class arrival_order : public item_order {
 public:
  bool before(const item_outlook&, const item_outlook&) const override { return false; }
  bool displaces(const item_outlook&, const item_outlook&) const override { return false; }
  bool late_go_last() const override { return false; }
};

/// The nearest deadline first.
class deadline_order : public item_order {
 public:
  bool before(const item_outlook& left, const item_outlook& right) const override;
  bool displaces(const item_outlook&, const item_outlook&) const override { return false; }
  bool late_go_last() const override { return false; }
};

/// Items that can still be in time first, by nearest deadline; then the late ones, by deadline, too.
class attainable_order : public item_order {
 public:
  /// @param displacing whether a running item that will be late is stopped for a waiting one that can be in time.
  explicit attainable_order(bool displacing) : displacing_(displacing) {}
  bool before(const item_outlook& left, const item_outlook& right) const override;
  bool displaces(const item_outlook& waiting, const item_outlook& running) const override;
  bool late_go_last() const override { return true; }

 private:
  const bool displacing_;
};

/// Chooses whom to stop when live calls need a slot. Stateless.
class victim_choice {
 public:
  virtual ~victim_choice() = default;
  /// @param running never empty.
  /// @return a position in @p running.
  virtual std::size_t choose(const std::vector<item_outlook>& running) const = 0;
};

/// The one that was started last.
class youngest_first : public victim_choice {
 public:
  std::size_t choose(const std::vector<item_outlook>& running) const override;
};

/// Late ones, then the one that can wait longest: what it has made is kept.
class least_loss_first : public victim_choice {
 public:
  std::size_t choose(const std::vector<item_outlook>& running) const override;
};

}  // namespace madderdeck::policy
