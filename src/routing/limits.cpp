#include "routing/limits.hpp"

#include <algorithm>

namespace madderdeck::routing {

void RetryBudget::on_request() { balance_ = std::min(kMaxBalance, balance_ + percent_ / 100.0); }

bool RetryBudget::try_spend() {
  if (balance_ < 1.0) {
    return false;
  }
  balance_ -= 1.0;
  return true;
}

}  // namespace madderdeck::routing
