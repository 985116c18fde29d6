#include "simulation/loss_rule.hpp"

#include <algorithm>

namespace madderdeck::simulation {

void LossRule::observe(unsigned node, bool back, Timestamp disturbed_at, Timestamp now) {
  Standing& standing = machines_[node];
  standing.back = back;
  standing.since = back ? std::max(standing.since, disturbed_at) : now;
}

void LossRule::machine_removed(unsigned node) {
  machines_.erase(node);
  lost_.insert(node);
}

void LossRule::disk_lost(unsigned node, Timestamp now) {
  lost_.insert(node);
  machines_[node] = {false, now};
}

std::optional<Timestamp> LossRule::all_back_since() const {
  Timestamp since{};
  for (const auto& [node, standing] : machines_) {
    if (!standing.back) {
      return std::nullopt;
    }
    since = std::max(since, standing.since);
  }
  return since;
}

void LossRule::expire(Timestamp now) {
  const auto since = all_back_since();
  if (since && now - *since >= catch_up_) {
    lost_.clear();
  }
}

bool LossRule::may_lose(unsigned node) const {
  const std::size_t others = lost_.size() - lost_.count(node);
  return others + 1 <= tolerated_;
}

}  // namespace madderdeck::simulation
