#include "routing/shared_calls.hpp"

#include <algorithm>

namespace madderdeck::routing {
namespace {

/// Nodes tell all they have once a second; one that misses three is gone, frozen or cut off.
constexpr Duration kSilent = 3s;

}  // namespace

void shared_calls::replace(open_calls& known, const BackendId& engine, open_calls value) {
  open_calls& total = totals_[engine];
  total.live += value.live - known.live;
  total.batch += value.batch - known.batch;
  known = value;
}

void shared_calls::take(const wire::EngineActivityT& message, Timestamp now) {
  told& node = nodes_[message.node];
  node.heard_at = now;
  node.time_to_yield = Duration(message.yield_us);
  if (message.complete) {
    drop(node);
    node.engines.clear();
  }
  for (const auto& entry : message.engines) {
    const BackendId engine(entry->engine);
    replace(node.engines[engine], engine, open_calls{entry->live, entry->batch});
  }
}

void shared_calls::drop(const told& node) {
  for (const auto& [engine, calls] : node.engines) {
    const auto total = totals_.find(engine);
    if (total == totals_.end()) {
      continue;
    }
    total->second.live -= calls.live;
    total->second.batch -= calls.batch;
    if (total->second == open_calls{}) {
      totals_.erase(total);
    }
  }
}

void shared_calls::forget_silent(Timestamp now) {
  for (auto node = nodes_.begin(); node != nodes_.end();) {
    if (now - node->second.heard_at <= kSilent) {
      ++node;
      continue;
    }
    drop(node->second);
    node = nodes_.erase(node);
  }
}

open_calls shared_calls::at(const BackendId& engine) const {
  const auto total = totals_.find(engine);
  return total == totals_.end() ? open_calls{} : total->second;
}

Duration shared_calls::time_to_yield() const {
  Duration longest{};
  for (const auto& [name, node] : nodes_) {
    longest = std::max(longest, node.time_to_yield);
  }
  return longest;
}

}  // namespace madderdeck::routing
