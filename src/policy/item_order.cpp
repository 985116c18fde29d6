#include "policy/item_order.hpp"

namespace madderdeck::policy {
namespace {

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

}  // namespace madderdeck::policy
