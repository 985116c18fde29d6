#include "policy/item_order.hpp"

#include <algorithm>

namespace madderdeck::policy {
namespace {

/// A running late item that is nearly done is not stopped for another one.
constexpr Duration kWorthFinishing = 500ms;

bool late(const item_outlook& item) { return item.slack() < Duration::zero(); }

}  // namespace

bool deadline_order::before(const item_outlook& left, const item_outlook& right) const {
  return left.time_left < right.time_left;
}

bool attainable_order::before(const item_outlook& left, const item_outlook& right) const {
  if (late(left) != late(right)) {
    return late(right);
  }
  return left.time_left < right.time_left;
}

bool attainable_order::displaces(const item_outlook& waiting, const item_outlook& running) const {
  return displacing_ && late(running) && !late(waiting) && running.work_left > kWorthFinishing;
}

std::size_t youngest_first::choose(const std::vector<item_outlook>& running) const {
  const auto youngest = std::max_element(
      running.begin(), running.end(),
      [](const item_outlook& left, const item_outlook& right) { return left.started < right.started; });
  return static_cast<std::size_t>(youngest - running.begin());
}

std::size_t least_loss_first::choose(const std::vector<item_outlook>& running) const {
  const auto costs_less = [](const item_outlook& left, const item_outlook& right) {
    if (late(left) != late(right)) {
      return late(left);
    }
    if (late(left)) {
      return left.work_left > right.work_left;
    }
    return left.slack() != right.slack() ? left.slack() > right.slack() : left.started > right.started;
  };
  return static_cast<std::size_t>(std::min_element(running.begin(), running.end(), costs_less) - running.begin());
}

}  // namespace madderdeck::policy
