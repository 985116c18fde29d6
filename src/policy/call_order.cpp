#include "policy/call_order.hpp"

namespace madderdeck::policy {

bool arrival_call_order::before(const waiting_call_state& left, const waiting_call_state& right) const {
  return left.waited > right.waited;
}

bool attainable_call_order::before(const waiting_call_state& left, const waiting_call_state& right) const {
  if (left.in_time() != right.in_time()) {
    return left.in_time();
  }
  if (left.rank != right.rank) {
    return left.rank < right.rank;
  }
  return left.in_time() ? left.time_left < right.time_left : left.waited > right.waited;
}

}  // namespace madderdeck::policy
