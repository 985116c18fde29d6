#include "policy/item_order.hpp"

namespace madderdeck::policy {
namespace {

bool late(const unfinished_item_state& item) { return item.slack() < Duration::zero(); }

}  // namespace

bool deadline_order::before(const unfinished_item_state& left, const unfinished_item_state& right) const {
  return left.time_left < right.time_left;
}

bool attainable_order::before(const unfinished_item_state& left, const unfinished_item_state& right) const {
  if (late(left) != late(right)) {
    return late(right);
  }
  return left.time_left < right.time_left;
}

}  // namespace madderdeck::policy
