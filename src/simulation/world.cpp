#include "simulation/world.hpp"

namespace madderdeck::simulation {

std::uint64_t Random::next() {
  state_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

void World::schedule(Duration delay, std::function<void()> event) {
  events_.emplace(Due{now_ + std::max(delay, Duration(0)), ++sequence_}, std::move(event));
}

void World::run_for(Duration length) {
  const Timestamp end = now_ + length;
  while (!events_.empty() && events_.begin()->first.at <= end) {
    auto node = events_.extract(events_.begin());
    now_ = node.key().at;
    node.mapped()();
  }
  now_ = end;
}

void SimProcess::crash() {
  up_ = false;
  frozen_ = false;
  ++life_;
  backlog_.clear();
}

void SimProcess::freeze() {
  if (up_ && !frozen_) {
    froze_at_ = world_.now();
  }
  frozen_ = up_;
}

void SimProcess::thaw() {
  frozen_ = false;
  thawed_at_ = world_.now();
  std::vector<std::function<void()>> missed;
  missed.swap(backlog_);
  const std::uint64_t life = life_;
  for (auto& event : missed) {
    deliver(life, std::move(event));
  }
}

Timestamp SimProcess::begun_since(Duration longest) const {
  const Timestamp awake = world_.now() - longest;
  return thawed_at_ < awake ? awake : std::min(awake, froze_at_ - longest);
}

void SimProcess::deliver(std::uint64_t life, std::function<void()> event) {
  if (!up_ || life != life_) {
    return;
  }
  if (frozen_) {
    backlog_.push_back(std::move(event));
    return;
  }
  event();
}

void SimProcess::schedule(Duration delay, std::function<void()> event) {
  world_.schedule(delay, [this, life = life_, event = std::move(event)]() mutable { deliver(life, std::move(event)); });
}

}  // namespace madderdeck::simulation
