#include "simulation/prompt_clients.hpp"

#include "simulation/support.hpp"

namespace madderdeck::simulation {
namespace {

constexpr char kCommonPart[] = "common part";
constexpr std::uint32_t kOtherParts = 40;
constexpr std::uint32_t kPartTokens = 600;
constexpr Duration kKnownAfter = 6s;  ///< After the crash that tells; twice the time within which nodes know of it.
constexpr Duration kShortestPause = 50ms;
constexpr Duration kLongestPause = 800ms;

std::shared_ptr<const forwarding::Route> prompt_route() {
  auto route = std::make_shared<forwarding::Route>();
  route->name = "prompts";
  route->kind = forwarding::RouteKind::stream;
  route->pools = {{"model", 1}};
  route->timeout_ms = 5'000;
  route->max_attempts = 2;
  route->resumable = true;
  return route;
}

}  // namespace

std::shared_ptr<forwarding::ForwardedRequest> prompt_clients::make_request(const std::vector<std::string>& parts) {
  auto request = std::make_shared<forwarding::ForwardedRequest>();
  request->id = "prompt " + std::to_string(++number_);
  request->method = "POST";
  request->target = "/path";
  request->tenant = "tenant";
  for (const std::string& part : parts) {
    request->prompt.push_back({part, kPartTokens});
  }
  request->prompt.push_back({"own part of " + request->id, kPartTokens});
  request->body = "body of " + request->id;
  return request;
}

struct prompt_clients::sound_call {
  sound_share* share = nullptr;
  bool began = false;
};

sound_share* prompt_clients::share_now(unsigned node) {
  if (!fleet_.in_touch(node)) {
    return nullptr;
  }
  if (!oracle_.first_part_crash()) {
    return &before_;
  }
  const auto telling = oracle_.telling_part_crash();
  return telling && world_.now() - *telling > kKnownAfter ? &after_ : nullptr;
}

void prompt_clients::send_sound(unsigned node, std::uint32_t choice) {
  const std::string other = "part " + std::to_string(choice % kOtherParts);
  std::shared_ptr<forwarding::ForwardedRequest> request = make_request({kCommonPart, other});
  auto call = std::make_shared<sound_call>();
  call->share = share_now(node);
  if (call->share != nullptr) {
    ++call->share->sent;
  }
  const auto text = std::make_shared<std::string>();
  const std::string id = request->id;
  forwarding::ForwardEvents events;
  events.head = [](const forwarding::AnswerHead&, const std::optional<std::string>&) {};
  events.piece = [call, text](std::string_view piece) {
    text->append(piece);
    if (call->share != nullptr && !call->began) {
      ++call->share->began;
    }
    call->began = true;
  };
  events.finished = [this, text, id] {
    ++oracle_.counts.live_answered;
    if (*text != SimUpstream::whole_stream()) {
      oracle_.violated(Promise::whole_own_answer, "answer to " + id + " was " + *text, world_.now());
    }
  };
  events.broken = [] {};
  events.refused = [this, id, node](const routing::Refusal& refusal) {
    if (refusal.error.kind == ErrorKind::quarantined) {
      oracle_.violated(Promise::fatal_part_contained,
                       id + " was held back at node-" + std::to_string(node) + ", though it has no fatal part",
                       world_.now());
    }
  };
  fleet_.core(node).forwarder->start(std::move(request), prompt_route(), std::move(events));
}

void prompt_clients::send_fatal(unsigned node, std::uint32_t part, fatal_place place, unsigned repeats) {
  const std::string fatal = std::string(kFatalPart) + " " + std::to_string(part);
  const std::string follower = "part " + std::to_string(world_.random.below(kOtherParts));
  const std::vector<std::string> parts = place == fatal_place::first
                                             ? std::vector<std::string>{fatal, follower}
                                             : std::vector<std::string>{kCommonPart, fatal, follower};
  begin_fatal(node, parts, "body with " + fatal + " " + std::to_string(number_ + 1), repeats);
}

void prompt_clients::begin_fatal(unsigned node, const std::vector<std::string>& parts, const std::string& body,
                                 unsigned repeats) {
  std::shared_ptr<forwarding::ForwardedRequest> request = make_request(parts);
  request->body = body;
  const auto come_back = [this, parts, body, repeats] {
    if (repeats == 0) {
      return;
    }
    const auto choice = static_cast<std::uint32_t>(world_.random.below(1 << 16));
    world_.schedule(jitter(world_, kShortestPause, kLongestPause), [this, parts, body, repeats, choice] {
      if (const auto other = fleet_.pick_running(choice)) {
        begin_fatal(*other, parts, body, repeats - 1);
      }
    });
  };
  forwarding::ForwardEvents events;
  events.head = [](const forwarding::AnswerHead&, const std::optional<std::string>&) {};
  events.piece = [](std::string_view) {};
  events.finished = [] {};
  events.broken = come_back;
  events.refused = [come_back](const routing::Refusal&) { come_back(); };
  fleet_.core(node).forwarder->start(std::move(request), prompt_route(), std::move(events));
}

}  // namespace madderdeck::simulation
