#include "simulation/stream_clients.hpp"

#include <algorithm>
#include <set>

#include "simulation/support.hpp"

namespace madderdeck::simulation {
namespace {

constexpr unsigned kMaxAttempts = 4;
constexpr Duration kLook = 20ms;
constexpr Duration kGivesUpAfter = 1s;  ///< Without an event.
constexpr unsigned kBreaksOffPercent = 40;
constexpr unsigned kRightClaimPercent = 85;
constexpr Duration kRouteTimeout = 5s;
constexpr Duration kShortestPause = 5ms;
constexpr Duration kLongestPause = 2s;
constexpr std::uint64_t kEvents = 12;
constexpr std::string_view kUnknownVersion = "version_unknown";

}  // namespace

struct stream_clients::client {
  std::uint64_t number = 0;
  std::string body;
  std::string tenant;
  resume_claim claim = resume_claim::right;
  std::string first_attempt;  ///< Id of the attempt that brought the first event.
  unsigned first_node = 0;
  Timestamp began_at{};  ///< When its first event came.
  std::string version;   ///< Of the first event.
  unsigned attempts = 0;
  std::uint64_t attempt = 0;  ///< Current one; 0: none.
  std::string attempt_id;
  unsigned node = 0;
  forwarding::ForwardId forward = 0;
  std::uint64_t request = 0;
  Timestamp last_event_at{};
  std::uint64_t events = 0;
  std::uint64_t breaks_off_after = 0;  ///< Events; 0: does not.
  std::string unparsed;
  bool resumed = false;  ///< The current attempt, or the last one.
  bool ended = false;
};

void stream_clients::send(unsigned node) {
  auto one = std::make_shared<client>();
  one->number = ++number_;
  one->body = "stream " + std::to_string(one->number);
  one->tenant = one->number % 2 == 0 ? "even" : "odd";
  one->claim = draw_claim();
  clients_.push_back(one);
  begin_attempt(one, node);
}

resume_claim stream_clients::draw_claim() {
  if (world_.random.chance(kRightClaimPercent)) {
    return resume_claim::right;
  }
  return static_cast<resume_claim>(1 + world_.random.below(4));
}

std::string stream_clients::claimed_attempt(const client& one) const {
  const auto of_other = [&](bool same_tenant) {
    for (const client_pointer& other : clients_) {
      if (other->number != one.number && (other->tenant == one.tenant) == same_tenant &&
          !other->first_attempt.empty()) {
        return other->first_attempt;
      }
    }
    return std::string("nobody");
  };
  switch (one.claim) {
    case resume_claim::missing:
      return "";
    case resume_claim::unknown:
      return "nobody";
    case resume_claim::of_another_stream:
      return of_other(true);
    case resume_claim::of_another_tenant:
      return of_other(false);
    case resume_claim::right:
      break;
  }
  return one.first_attempt;
}

void stream_clients::begin_attempt(const client_pointer& one, unsigned node) {
  const std::uint64_t attempt = ++one->attempts;
  one->attempt = attempt;
  one->node = node;
  one->unparsed.clear();
  one->last_event_at = world_.now();
  one->breaks_off_after = world_.random.chance(kBreaksOffPercent) ? one->events + 1 + world_.random.below(kEvents) : 0;
  auto request = std::make_shared<forwarding::ForwardedRequest>();
  one->attempt_id = "stream " + std::to_string(one->number) + " attempt " + std::to_string(attempt);
  request->id = one->attempt_id;
  request->method = "POST";
  request->target = "/path";
  request->body = one->body;
  request->tenant = one->tenant;
  request->resume_after = one->events;
  one->resumed = one->events > 0;
  oracle_.counts.streams_resumed += one->resumed ? 1 : 0;
  request->first_attempt = one->events > 0 ? claimed_attempt(*one) : "";
  auto route = std::make_shared<forwarding::Route>();
  route->name = "streams";
  route->kind = forwarding::RouteKind::stream;
  route->pools = {{"model", 1}};
  route->timeout_ms = static_cast<std::uint32_t>(kRouteTimeout / 1ms);
  route->max_attempts = 3;
  route->resumable = true;
  forwarding::ForwardEvents events;
  events.head = [](const forwarding::AnswerHead&, const std::optional<std::string>&) {};
  events.piece = [this, one, attempt](std::string_view piece) { on_events(one, attempt, piece); };
  events.finished = [this, one, attempt] { end_attempt(one, attempt, true); };
  events.broken = [this, one, attempt] { end_attempt(one, attempt, false); };
  events.refused = [this, one, attempt](const routing::Refusal& refusal) { on_refused(one, attempt, refusal); };
  const std::uint64_t life = fleet_.nodes[node]->process.life();
  one->forward = fleet_.core(node).forwarder->start(std::move(request), std::move(route), std::move(events));
  if (one->attempt == attempt) {
    watch(one, attempt, life);
  }
}

void stream_clients::on_events(const client_pointer& one, std::uint64_t attempt, std::string_view bytes) {
  if (one->attempt != attempt) {
    return;
  }
  static constexpr std::string_view kData = "\ndata: x";
  one->unparsed.append(bytes);
  for (std::size_t end = one->unparsed.find("\n\n"); end != std::string::npos; end = one->unparsed.find("\n\n")) {
    const std::string event = one->unparsed.substr(0, end);
    one->unparsed.erase(0, end + 2);
    const std::string version = event.substr(event.find(kData) + kData.size());
    world_.trace(event);
    ++one->events;
    one->last_event_at = world_.now();
    if (one->events == 1) {
      one->first_attempt = one->attempt_id;
      one->first_node = one->node;
      one->began_at = world_.now();
      one->version = version;
    }
    if (version != one->version) {
      oracle_.violated(Promise::stream_keeps_version,
                       one->attempt_id + " has event " + std::to_string(one->events) + " of " + version +
                           " after events of " + one->version,
                       world_.now());
    }
    if (event.substr(0, event.find('\n')) != "id: " + std::to_string(one->events)) {
      oracle_.violated(Promise::stream_keeps_version, one->attempt_id + " has a wrong event: " + event, world_.now());
    }
  }
  if (one->breaks_off_after > 0 && one->events >= one->breaks_off_after && one->events < kEvents) {
    // Not within a callback of the request that is cancelled.
    const std::uint64_t life = fleet_.nodes[one->node]->process.life();
    world_.schedule(1us, [this, node = one->node, forward = one->forward, life] { cancel(node, forward, life); });
    end_attempt(one, attempt, false);
  }
}

void stream_clients::cancel(unsigned node, forwarding::ForwardId forward, std::uint64_t node_life) {
  SimProcess& process = fleet_.nodes[node]->process;
  process.deliver(node_life, [this, node, forward] { fleet_.core(node).forwarder->cancel(forward); });
}

void stream_clients::end_attempt(const client_pointer& one, std::uint64_t attempt, bool finished) {
  if (one->attempt != attempt) {
    return;
  }
  one->attempt = 0;
  if (finished) {
    one->ended = true;
    oracle_.counts.resumed_streams_finished += one->resumed ? 1 : 0;
    ++oracle_.counts.live_answered;
  } else {
    resume_later(one);
  }
}

void stream_clients::on_refused(const client_pointer& one, std::uint64_t attempt, const routing::Refusal& refusal) {
  if (one->attempt != attempt) {
    return;
  }
  if (one->events > 0) {
    const std::string kind(error_kind_name(refusal.error.kind));
    ++oracle_.counts.resumes_refused[one->claim == resume_claim::right ? kind : kind + "_wrong_claim"];
    if (error_kind_name(refusal.error.kind) == kUnknownVersion && version_must_be_known(*one)) {
      oracle_.violated(
          Promise::stream_keeps_version,
          one->attempt_id + " is refused at node-" + std::to_string(one->node) + ": " + refusal.error.detail,
          world_.now());
    }
  }
  end_attempt(one, attempt, false);
}

bool stream_clients::version_must_be_known(const client& one) const {
  if (one.claim != resume_claim::right || fleet_.conditions.loss_percent > 1 || fleet_.profile.mixed_versions) {
    return false;
  }
  for (unsigned node = 0; node < fleet_.nodes.size(); ++node) {
    const bool kept_records = fleet_.nodes[node]->disturbed_at < one.began_at;
    if (node != one.first_node && !(kept_records && fleet_.in_touch(node) && fleet_.usable(node))) {
      return false;
    }
  }
  return one.node != one.first_node && fleet_.platform_sound();
}

void stream_clients::resume_later(const client_pointer& one) {
  if (one->attempts >= kMaxAttempts || one->events >= kEvents) {
    one->ended = true;
    return;
  }
  const bool soon = world_.random.chance(70);
  const Duration longest = soon ? 200ms : kLongestPause;
  const auto choice = static_cast<std::uint32_t>(world_.random.below(1 << 16));
  world_.schedule(jitter(world_, kShortestPause, longest), [this, one, choice] {
    if (const auto node = fleet_.pick_running(choice)) {
      begin_attempt(one, *node);
    } else {
      one->ended = true;
    }
  });
}

void stream_clients::watch(const client_pointer& one, std::uint64_t attempt, std::uint64_t node_life) {
  world_.schedule(kLook, [this, one, attempt, node_life] {
    if (one->attempt != attempt) {
      return;
    }
    const bool gone = fleet_.nodes[one->node]->process.life() != node_life;
    if (gone || world_.now() - one->last_event_at > kGivesUpAfter) {
      cancel(one->node, one->forward, node_life);
      end_attempt(one, attempt, false);
      return;
    }
    watch(one, attempt, node_life);
  });
}

}  // namespace madderdeck::simulation
