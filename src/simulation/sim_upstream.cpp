#include "simulation/fleet.hpp"
#include "simulation/support.hpp"

namespace madderdeck::simulation {
namespace {

constexpr std::uint64_t kEvents = 12;  ///< Of each stream.
constexpr Duration kEventTime = 25ms;

}  // namespace

std::string SimUpstream::event_text(std::uint64_t number, const std::string& version) {
  return "id: " + std::to_string(number) + "\ndata: x" + version + "\n\n";
}

std::string SimUpstream::whole_stream() {
  std::string text;
  for (std::uint64_t number = 1; number <= kEvents; ++number) {
    text += event_text(number, "");
  }
  return text;
}

SimUpstream::SimUpstream(SimFleet& fleet, unsigned node)
    : fleet_(fleet), node_(node), life_(fleet.nodes[node]->process.life()) {}

void SimUpstream::at_node(const CallPointer& call, std::function<void()> event) {
  // One connection keeps its order.
  call->last_delivery = std::max(call->last_delivery + 1us, fleet_.world.now() + jitter(fleet_.world, 200us, 800us));
  SimProcess& process = fleet_.nodes[node_]->process;
  fleet_.world.schedule(call->last_delivery - fleet_.world.now(),
                        [&process, life = life_, call, event = std::move(event)]() mutable {
                          process.deliver(life, [call, event = std::move(event)] {
                            if (!call->cancelled) {
                              event();
                            }
                          });
                        });
}

routing::CallId SimUpstream::start(forwarding::UpstreamCall call, forwarding::UpstreamEvents events) {
  auto started = std::make_shared<Call>();
  started->engine = number_of(call.backend.str());
  started->next_event = call.resume_after + 1;
  started->call = std::move(call);
  started->begun = fleet_.world.now();
  started->in_touch = fleet_.in_touch(node_);
  started->ends_known = fleet_.ends_known(node_, forwarding::fingerprint_of(*started->call.request));
  started->events = std::move(events);
  if (fleet_.profile.answer_fault_percent > 0) {
    started->plan = draw_answer(fleet_.world.random, started->call.request->target, started->call.resume_after,
                                fleet_.profile.answer_fault_percent);
  }
  calls_[++next_] = started;
  fleet_.world.schedule(jitter(fleet_.world, 200us, 800us), [this, started] { arrive(started); });
  return next_;
}

void SimUpstream::arrive(const CallPointer& call) {
  SimEngine& engine = *fleet_.engines[call->engine];
  if (call->cancelled || fleet_.nodes[node_]->process.life() != life_) {
    return;
  }
  if (!engine.process.up()) {
    at_node(call, [call] { call->events.failed(routing::CallFailure::not_sent); });
    return;
  }
  if (call->call.backend.str() != fleet_.engine_id(call->engine)) {
    at_node(call, [call] { call->events.failed(routing::CallFailure::refused); });
    return;
  }
  call->version = engine.version;
  const std::string& body = call->call.request->body;
  fleet_.note_sent(node_, body);
  call->engine_life = engine.process.life();
  fleet_.crash_under_parts(*call->call.request, node_, call->engine);
  if (call->plan) {
    begin_planned(call);
    return;
  }
  at_node(call, [call] { call->events.head(forwarding::AnswerHead{200, {}, true}); });
  fleet_.end_engine_if_fatal({body, node_, call->engine, 0, call->begun, call->ends_known, call->in_touch},
                             forwarding::fingerprint_of(*call->call.request));
  step(call);
}

void SimUpstream::step(const CallPointer& call) {
  fleet_.world.schedule(kEventTime, [this, call] {
    if (call->cancelled || fleet_.nodes[node_]->process.life() != life_) {
      return;  // the engine sees its caller go
    }
    if (fleet_.engines[call->engine]->process.life() != call->engine_life) {
      at_node(call, [call] { call->events.failed(routing::CallFailure::broken); });
      return;
    }
    if (call->next_event > kEvents) {
      at_node(call, [call] { call->events.finished(); });
      return;
    }
    at_node(call, [call, text = event_text(call->next_event, call->version)] { call->events.piece(text); });
    ++call->next_event;
    step(call);
  });
}

void SimUpstream::begin_planned(const CallPointer& call) {
  if (call->plan->cut && call->plan->how == answer_break::no_head) {
    at_node(call, [call] { call->events.failed({routing::CallFailure::broken, forwarding::answer_end::closed}); });
    return;
  }
  const bool stream = call->call.request->target.starts_with(kStreamPath);
  at_node(call,
          [call, head = forwarding::AnswerHead{200, {}, stream, call->plan->framing}] { call->events.head(head); });
  step_planned(call);
}

void SimUpstream::step_planned(const CallPointer& call) {
  fleet_.world.schedule(kEventTime, [this, call] {
    if (call->cancelled || fleet_.nodes[node_]->process.life() != life_) {
      return;  // the engine sees its caller go
    }
    const answer_plan& plan = *call->plan;
    if (call->sent_pieces == plan.pieces.size()) {
      at_node(call, [call] { call->events.finished(); });
      return;
    }
    const std::string& piece = plan.pieces[call->sent_pieces++];
    if (fleet_.engines[call->engine]->process.life() != call->engine_life) {
      send_bytes(call, piece.substr(0, fleet_.world.random.below(piece.size())));
      break_planned(call, answer_break::closed);
      return;
    }
    if (plan.cut && call->sent_bytes + piece.size() > *plan.cut) {
      send_bytes(call, piece.substr(0, *plan.cut - call->sent_bytes));
      break_planned(call, plan.how);
      return;
    }
    send_bytes(call, piece);
    step_planned(call);
  });
}

void SimUpstream::send_bytes(const CallPointer& call, std::string bytes) {
  call->sent_bytes += bytes.size();
  const std::size_t first = fleet_.world.random.below(bytes.size());
  for (const std::string& part : {bytes.substr(0, first), bytes.substr(first)}) {
    if (!part.empty()) {
      at_node(call, [call, part] { call->events.piece(part); });
    }
  }
}

void SimUpstream::break_planned(const CallPointer& call, answer_break how) {
  using forwarding::answer_end;
  const bool stream = call->call.request->target.starts_with(kStreamPath);
  const bool ends_as_framed = call->plan->framing == net::body_framing::until_close;
  if (how == answer_break::silent) {
    return;
  }
  if (how == answer_break::ended || (how == answer_break::closed && ends_as_framed)) {
    if (call->plan->looks_whole(call->sent_bytes, stream)) {
      fleet_.answers_that_look_whole.insert(call->call.request->id);
    }
    at_node(call, [call] { call->events.finished(); });
    return;
  }
  const answer_end end = how == answer_break::reset ? answer_end::reset : answer_end::closed;
  at_node(call, [call, end] { call->events.failed({routing::CallFailure::broken, end}); });
}

void SimUpstream::cancel(routing::CallId call) {
  if (const auto node = calls_.extract(call); !node.empty()) {
    node.mapped()->cancelled = true;
  }
}

}  // namespace madderdeck::simulation
