#include "simulation/fleet.hpp"

#include <algorithm>

#include "simulation/support.hpp"

namespace madderdeck::simulation {

bool SimPlatformClient::states_software_versions() const { return fleet_.profile.engine_versions > 0; }

void SimPlatformClient::watch_objects(std::uint64_t since, Duration wait, object_store::ChangesDone done) {
  watch(*fleet_.objects, since, wait, std::move(done));
}
void SimPlatformClient::watch_machines(std::uint64_t since, Duration wait, object_store::ChangesDone done) {
  watch(*fleet_.machines, since, wait, std::move(done));
}

void SimPlatformClient::watch_retirements(std::uint64_t since, Duration wait, object_store::ChangesDone done) {
  watch(*fleet_.retirements, since, wait, std::move(done));
}

void SimPlatformClient::report_retirement(const NodeId& node, object_store::RetirementState state,
                                          object_store::ReportDone done) {
  SimProcess& process = fleet_.nodes[node_]->process;
  const std::uint64_t life = process.life();
  fleet_.world.schedule(fleet_.conditions.platform_delay, [this, node, state, done, &process, life] {
    const bool down = !fleet_.platform_answers(node_);
    const bool empty = state == object_store::RetirementState::completed || !fleet_.guards.drained_after_handover;
    if (!down && empty && process.life() == life) {
      fleet_.note_emptied(node_);
    }
    process.deliver(life, [done, down] { done(down ? Status(Error{ErrorKind::unavailable, "down"}) : Status(Ok{})); });
  });
}

void SimPlatformClient::watch(emulator::WatchedTable& table, std::uint64_t since, Duration wait,
                              object_store::ChangesDone done) {
  SimProcess& process = fleet_.nodes[node_]->process;
  const std::uint64_t life = process.life();
  const auto answer = [&process, life, done](Result<object_store::ChangeList> result) {
    process.deliver(life, [done, result = std::move(result)] { done(result); });
  };
  fleet_.world.schedule(fleet_.conditions.platform_delay, [this, &table, since, wait, answer] {
    if (!fleet_.platform_answers(node_)) {
      answer(Error{ErrorKind::unavailable, "down"});
      return;
    }
    table.watch(since, wait, [this, answer](const object_store::ChangeList& changes) {
      fleet_.world.schedule(fleet_.conditions.platform_delay, [this, answer, changes] {
        if (!fleet_.platform_answers(node_)) {
          answer(Error{ErrorKind::unavailable, "down"});
        } else {
          answer(changes);
        }
      });
    });
  });
}

void SimPlatformClient::get(const config::EntryKey& key, object_store::GetDone done) {
  SimProcess& process = fleet_.nodes[node_]->process;
  const std::uint64_t life = process.life();
  fleet_.world.schedule(fleet_.conditions.platform_delay, [this, key, done, &process, life] {
    Result<std::optional<object_store::StoredObject>> result = std::optional<object_store::StoredObject>();
    if (!fleet_.platform_answers(node_)) {
      result = Error{ErrorKind::unavailable, "down"};
    } else if (const auto* found = fleet_.objects->find(key)) {
      result = std::optional(*found);
    }
    process.deliver(life, [done, result] { done(result); });
  });
}

void SimPlatformClient::put(const object_store::PutRequest& request, object_store::PutDone done) {
  SimProcess& process = fleet_.nodes[node_]->process;
  const std::uint64_t life = process.life();
  fleet_.world.schedule(fleet_.conditions.platform_delay, [this, request, done, &process, life] {
    Result<std::uint64_t> result = Error{ErrorKind::unavailable, "down"};
    if (fleet_.platform_answers(node_)) {
      result = emulator::compare_and_set(*fleet_.objects, request);
      if (fleet_.world.random.chance(fleet_.conditions.platform_lost_answers)) {
        result = Error{ErrorKind::ambiguous, "answer lost"};
      }
    } else if (fleet_.world.random.chance(50)) {
      result = Error{ErrorKind::ambiguous, "no answer"};
    }
    process.deliver(life, [done, result] { done(result); });
  });
}

}  // namespace madderdeck::simulation
