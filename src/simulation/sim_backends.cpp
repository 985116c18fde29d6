#include "simulation/fleet.hpp"

#include <algorithm>

#include "simulation/support.hpp"

namespace madderdeck::simulation {

struct SimBackends::EngineStream {
  routing::CallId id = 0;
  unsigned engine = 0;
  std::string engine_id;  ///< The incarnation that is meant.
  std::uint64_t engine_life = 0;
  Timestamp begun{};
  routing::request_fingerprint request;
  std::size_t ends_known = 0;  ///< Of this request, to the node as it sent.
  bool in_touch = true;
  emulator::GenerationId generation = 0;
  routing::EngineCall call;
  routing::EngineEvents events;
  bool cancelled = false;
  bool broken = false;
  bool talks_after_break = false;
  bool ended = false;
  int breaks_after = -1;      ///< Tokens; -1 for never.
  int fails_after = -1;       ///< Tokens before the engine fails the run; -1: it does not.
  Timestamp last_delivery{};  ///< Keeps one stream's events in order.
};

SimBackends::SimBackends(SimFleet& fleet, unsigned node)
    : fleet_(fleet), node_(node), life_(fleet.nodes[node]->process.life()) {}

bool SimBackends::node_gone() const { return fleet_.nodes[node_]->process.life() != life_; }

void SimBackends::at_node(std::function<void()> event) {
  SimProcess& process = fleet_.nodes[node_]->process;
  fleet_.world.schedule(
      jitter(fleet_.world, 200us, 800us),
      [&process, life = life_, event = std::move(event)]() mutable { process.deliver(life, std::move(event)); });
}

routing::CallId SimBackends::start(const BackendId& engine, const routing::EngineCall& call,
                                   routing::EngineEvents events) {
  auto stream = std::make_shared<EngineStream>();
  stream->id = ++next_;
  stream->begun = fleet_.world.now();
  stream->in_touch = fleet_.in_touch(node_);
  stream->request = routing::fingerprint_of(call);
  stream->ends_known = fleet_.ends_known(node_, stream->request);
  stream->engine = number_of(engine.str());
  stream->engine_id = engine.str();
  stream->call = call;
  if (call.http) {
    stream->call.model = "model";
    stream->call.prompt = call.http->body;
    stream->call.max_tokens = fleet_.profile.batch_tokens;
  }
  stream->events = std::move(events);
  if (fleet_.world.random.chance(fleet_.conditions.break_percent)) {
    stream->breaks_after = static_cast<int>(fleet_.world.random.below(8));
    stream->talks_after_break = fleet_.world.random.chance(fleet_.conditions.late_answer_percent);
  }
  streams_[stream->id] = stream;
  fleet_.world.schedule(jitter(fleet_.world, 200us, 800us), [this, stream] { begin_stream(stream); });
  return stream->id;
}

void SimBackends::begin_stream(const std::shared_ptr<EngineStream>& stream) {
  SimEngine& engine = *fleet_.engines[stream->engine];
  const auto fail = [&](routing::CallFailure failure) {
    at_node([stream, failure] {
      if (!stream->cancelled) {
        stream->events.failed(failure);
      }
    });
  };
  if (stream->cancelled || node_gone()) {
    return;
  }
  if (!engine.process.up()) {
    fail(routing::CallFailure::not_sent);
    return;
  }
  if (stream->engine_id != fleet_.engine_id(stream->engine)) {
    fail(routing::CallFailure::refused);
    return;
  }
  if (engine.model.leaving() && fleet_.world.now() - engine.leaving_since > kLeaveNotice) {
    fleet_.oracle.violated(Promise::leaving_gets_no_work, "engine " + std::to_string(stream->engine) + " was sent work",
                           fleet_.world.now());
  }
  const bool counts = fleet_.in_touch(node_) && fleet_.platform_sound();
  if (counts && engine.unlisted_since && fleet_.world.now() - *engine.unlisted_since > kLeaveNotice) {
    fleet_.oracle.violated(Promise::leaving_gets_no_work,
                           "engine " + std::to_string(stream->engine) + " was sent work after its entry had gone",
                           fleet_.world.now());
  }
  emulator::Generation generation{stream->call.model, stream->call.prompt, stream->call.max_tokens,
                                  stream->call.resume_from, stream->call.priority};
  emulator::GenerationEvents events;
  const auto in_order = [this, stream](std::function<void()> event) {
    // A stream keeps its order, except where a sick engine mixes it up.
    World& world = fleet_.world;
    Duration delay = jitter(world, 200us, 800us);
    if (world.random.chance(fleet_.conditions.late_answer_percent / 8)) {
      delay += 30ms;
    } else {
      stream->last_delivery = std::max(stream->last_delivery + 1us, world.now() + delay);
      delay = stream->last_delivery - world.now();
    }
    SimProcess& process = fleet_.nodes[node_]->process;
    world.schedule(delay, [&process, life = life_, event = std::move(event)]() mutable {
      process.deliver(life, std::move(event));
    });
  };
  if (call_may_fail(*stream) && fleet_.world.random.chance(fleet_.profile.failed_run_percent)) {
    stream->fails_after = static_cast<int>(fleet_.world.random.below(stream->call.max_tokens));
  }
  events.token = [this, stream, in_order](std::uint32_t offset, const std::string& text) {
    if (stream->fails_after >= 0 && stream->fails_after-- == 0 && !stream->broken) {
      fail_run(stream);
    }
    if (stream->breaks_after >= 0 && stream->breaks_after-- == 0 && !stream->broken) {
      break_stream(stream);
    }
    if (!stream->broken || stream->talks_after_break) {
      const bool doubled = fleet_.world.random.chance(fleet_.conditions.late_answer_percent / 4);
      for (int times = 0; times < (doubled ? 2 : 1); ++times) {
        in_order([stream, offset, text] {
          if (!stream->cancelled) {
            stream->events.token(offset, text);
          }
        });
      }
    }
  };
  events.finished = [stream, in_order](std::uint32_t total) {
    stream->ended = true;
    if (!stream->broken || stream->talks_after_break) {
      in_order([stream, total] {
        if (!stream->cancelled) {
          stream->events.finished(total);
        }
      });
    }
  };
  const auto taken = engine.model.submit(std::move(generation), std::move(events));
  if (const auto* refusal = std::get_if<emulator::EngineRefusal>(&taken)) {
    fail(*refusal == emulator::EngineRefusal::leaving ? routing::CallFailure::leaving : routing::CallFailure::refused);
    return;
  }
  fleet_.oracle.engine_took(stream->call.prompt);
  if (call_may_fail(*stream)) {
    fleet_.oracle.item_run_began(stream->call.prompt, fleet_.world.now());
  }
  stream->generation = std::get<emulator::GenerationId>(taken);
  stream->engine_life = engine.process.life();
  fleet_.note_sent(node_, stream->call.prompt);
  fleet_.crash_under_item(stream->call.prompt, stream->engine);
  fleet_.end_engine_if_fatal(
      {stream->call.prompt, node_, stream->engine, 0, stream->begun, stream->ends_known, stream->in_touch},
      stream->request);
  watch_stream(stream);
}

void SimBackends::watch_stream(const std::shared_ptr<EngineStream>& stream) {
  constexpr Duration kNotice = 20ms;
  fleet_.world.schedule(kNotice, [this, weak = std::weak_ptr<EngineStream>(stream)] {
    const auto watched = weak.lock();
    if (!watched || watched->cancelled || watched->broken || watched->ended) {
      return;
    }
    SimEngine& engine = *fleet_.engines[watched->engine];
    if (node_gone()) {
      engine.model.cancel(watched->generation);  // the engine sees its caller go
    } else if (engine.process.life() != watched->engine_life) {
      break_stream(watched);
    } else {
      watch_stream(watched);
    }
  });
}

void SimBackends::break_stream(const std::shared_ptr<EngineStream>& stream) {
  stream->broken = true;
  if (!stream->talks_after_break) {
    fleet_.engines[stream->engine]->model.cancel(stream->generation);
  }
  at_node([stream] {
    if (!stream->cancelled) {
      stream->events.failed(routing::CallFailure::broken);
    }
  });
}

/// Draws of other schedules stay as they are.
bool SimBackends::call_may_fail(const EngineStream& stream) const {
  return fleet_.profile.failed_run_percent > 0 && stream.call.http != nullptr;
}

void SimBackends::fail_run(const std::shared_ptr<EngineStream>& stream) {
  stream->broken = true;
  stream->talks_after_break = false;
  fleet_.engines[stream->engine]->model.cancel(stream->generation);
  fleet_.oracle.item_run_failed(stream->call.prompt);
  at_node([stream] {
    if (!stream->cancelled) {
      stream->events.failed(routing::CallFailure::failed_run);
    }
  });
}

void SimBackends::cancel(routing::CallId call) {
  const auto node = streams_.extract(call);
  if (node.empty()) {
    return;
  }
  const auto stream = node.mapped();
  stream->cancelled = true;
  fleet_.world.schedule(jitter(fleet_.world, 200us, 500us), [this, stream] {
    if (stream->generation != 0) {
      fleet_.engines[stream->engine]->model.cancel(stream->generation);
    }
  });
}

routing::CallId SimBackends::start(const BackendId& backend, const routing::ServiceCall& call,
                                   routing::ServiceEvents events) {
  World& world = fleet_.world;
  const unsigned number = number_of(backend.str());
  const bool breaks = world.random.chance(fleet_.conditions.break_percent);
  const bool breaks_before = breaks && world.random.chance(50);
  const Duration work = fleet_.conditions.services_slow ? Duration(3s) : jitter(world, 2ms, 10ms);
  world.schedule(jitter(world, 200us, 800us), [this, number, call, events, breaks, breaks_before, work] {
    if (node_gone()) {
      return;
    }
    SimService& service = *fleet_.services[number];
    if (!service.process.up()) {
      at_node([events] { events.failed(routing::CallFailure::not_sent); });
      return;
    }
    if (service.leaving) {
      if (fleet_.world.now() - service.leaving_since > kLeaveNotice) {
        fleet_.oracle.violated(Promise::leaving_gets_no_work, "service " + std::to_string(number) + " was sent work",
                               fleet_.world.now());
      }
      at_node([events] { events.failed(routing::CallFailure::leaving); });
      return;
    }
    if (breaks_before) {
      at_node([events] { events.failed(routing::CallFailure::broken); });
      return;
    }
    fleet_.oracle.service_ran(call.idempotency_key, fleet_.world.now());
    service.process.schedule(work, [this, call, events, breaks] {
      at_node([events, breaks, key = call.idempotency_key] {
        if (breaks) {
          events.failed(routing::CallFailure::broken);
        } else {
          events.answered({200, "answer to " + key});
        }
      });
    });
  });
  return ++next_;
}

void SimBackends::fetch_load(const BackendId& backend, routing::ReportDone done) {
  fleet_.world.schedule(jitter(fleet_.world, 200us, 800us), [this, backend, done] {
    std::optional<routing::LoadReport> report;
    const unsigned number = number_of(backend.str());
    const bool is_service = backend.str().starts_with("10.2.");
    if (is_service && fleet_.services[number]->process.up()) {
      report = routing::LoadReport{0, 0, 0, fleet_.services[number]->leaving};
    } else if (!is_service && fleet_.engines[number]->process.up() && backend.str() == fleet_.engine_id(number)) {
      report = fleet_.engines[number]->model.report();
    }
    at_node([done, report] { done(report); });
  });
}

void SimBackends::check_reachable(const BackendId& backend, routing::ReachabilityDone done) {
  fleet_.world.schedule(jitter(fleet_.world, 200us, 800us), [this, backend, done] {
    const unsigned number = number_of(backend.str());
    const bool is_service = backend.str().starts_with("10.2.");
    const SimProcess& process = is_service ? fleet_.services[number]->process : fleet_.engines[number]->process;
    const auto found = process.up() ? routing::reachability::listening : routing::reachability::refused;
    at_node([done, found] { done(found); });
  });
}

}  // namespace madderdeck::simulation
