#include "routing/shared_calls.hpp"

#include <algorithm>

namespace madderdeck::routing {
namespace {

/// Each node sends a complete report once a second; a node that misses three has departed, is frozen or is
/// disconnected.
constexpr Duration kSilent = 3s;

}  // namespace

void shared_calls::replace(open_calls& known, const BackendId& engine, open_calls value) {
  open_calls& total = totals_[engine];
  total.live += value.live - known.live;
  total.batch += value.batch - known.batch;
  total.nodes += value.nodes - known.nodes;
  total.unresponsive_nodes += value.unresponsive_nodes - known.unresponsive_nodes;
  known = value;
}

void shared_calls::take(const wire::EngineActivityT& message, Timestamp now) {
  node_calls& node = nodes_[message.node];
  if (!node.latest.take(message.number)) {
    return;  // arrived after a later report of the node
  }
  node.heard_at = now;
  node.time_to_yield = Duration(message.yield_us);
  if (message.complete) {
    drop(node);
    node.engines.clear();
    node.report_counts.clear();
    ++node.complete_reports;
  }
  for (const auto& entry : message.engines) {
    const BackendId engine(entry->engine);
    ++node.report_counts[engine];
    const std::uint32_t open = entry->live + entry->batch > 0 ? 1 : 0;
    replace(node.engines[engine], engine, open_calls{entry->live, entry->batch, open, entry->silent ? open : 0});
  }
}

void shared_calls::expect(const std::string& node, const BackendId& engine, Timestamp now) {
  node_calls& asker = nodes_[node];
  asker.heard_at = std::max(asker.heard_at, now);
  open_calls& known = asker.engines[engine];
  open_calls more = known;
  ++more.live;
  more.nodes = 1;
  replace(known, engine, more);
  expected_.push_back({node, engine, now + kExpectedCallTimeout, count_reports_of(asker, engine)});
}

std::uint64_t shared_calls::count_reports_of(const node_calls& node, const BackendId& engine) {
  const auto report_counts = node.report_counts.find(engine);
  // A complete report covers every engine, and resets the counts of the reports of single engines.
  constexpr std::uint64_t kComplete = 1ULL << 32U;
  return node.complete_reports * kComplete + (report_counts == node.report_counts.end() ? 0 : report_counts->second);
}

void shared_calls::forget_unreported_calls(Timestamp now) {
  for (; !expected_.empty() && expected_.front().until <= now; expected_.pop_front()) {
    const expected_call& one = expected_.front();
    const auto node = nodes_.find(one.node);
    if (node == nodes_.end() || count_reports_of(node->second, one.engine) != one.reports_before) {
      continue;
    }
    const auto known = node->second.engines.find(one.engine);
    if (known == node->second.engines.end() || known->second.live == 0) {
      continue;
    }
    open_calls less = known->second;
    --less.live;
    less.nodes = less.live + less.batch > 0 ? 1 : 0;
    less.unresponsive_nodes = std::min(less.unresponsive_nodes, less.nodes);
    replace(known->second, one.engine, less);
  }
}

void shared_calls::drop(const node_calls& node) {
  for (const auto& [engine, calls] : node.engines) {
    const auto total = totals_.find(engine);
    if (total == totals_.end()) {
      continue;
    }
    total->second.live -= calls.live;
    total->second.batch -= calls.batch;
    total->second.nodes -= calls.nodes;
    total->second.unresponsive_nodes -= calls.unresponsive_nodes;
    if (total->second == open_calls{}) {
      totals_.erase(total);
    }
  }
}

void shared_calls::forget_unresponsive_nodes(Timestamp now) {
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
