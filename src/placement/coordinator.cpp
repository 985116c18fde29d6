#include "placement/coordinator.hpp"

#include <algorithm>

#include "forwarding/engine_choice.hpp"

namespace madderdeck::placement {
namespace {

constexpr Duration kMaintenance = 1s;
constexpr Duration kRoomInterval = 100ms;
/// Word of another zone's room that is older says nothing.
constexpr Duration kRoomUseful = 500ms;
/// Slots that another zone must have free: its own callers may take some before the call gets there.
constexpr std::uint32_t kLeastRoomElsewhere = 4;
/// Engines in trouble are left out while at least one in so many is sound.
constexpr std::size_t kLeastSoundPart = 3;
/// Reading a long shared start again costs more than a few slow tokens.
constexpr double kAffinitySlowness = 3;
/// Several times the pause between two calls at an engine: one that was slow and got none since is tried again.
constexpr Duration kLatencyUseful = 3s;
/// A domain nobody has asked for lately is another node's by now.
constexpr Duration kAskedLately = 3s;

}  // namespace

coordinator::coordinator(Environment& environment, Counters& counters, DecisionLog& log, routing::Registry& registry,
                         const duties& who, const wire::MemberT& self)
    : environment_(environment), counters_(counters), log_(log), registry_(registry), duties_(who), self_(self) {}

void coordinator::start() {
  environment_.after(kMaintenance, lifetime_.guard([this] { maintain(); }));
  environment_.after(kRoomInterval, lifetime_.guard([this] { tell_room(); }));
}

void coordinator::maintain() {
  environment_.after(kMaintenance, lifetime_.guard([this] { maintain(); }));
  calls_.forget_silent(environment_.now());
  failing_.forget_old(environment_.now());
  registry_.forget_latencies(kLatencyUseful);
}

std::vector<routing::Backend*> coordinator::candidates(const engine_domain& domain,
                                                       const std::set<BackendId>& excluded) {
  std::vector<routing::Backend*> found;
  for (routing::Backend* backend : registry_.candidates(domain.pool)) {
    const bool here = domain.zone.empty() || backend->machine.zone == domain.zone;
    if (here && !excluded.contains(backend->machine.id)) {
      found.push_back(backend);
    }
  }
  std::vector<routing::Backend*> sound;
  std::copy_if(found.begin(), found.end(), std::back_inserter(sound),
               [this](const routing::Backend* backend) { return !in_trouble(backend->machine.id); });
  // When most are in trouble the cause is likely elsewhere, and the few that are left could not carry all.
  return kLeastSoundPart * sound.size() < found.size() ? found : sound;
}

bool coordinator::in_trouble(const BackendId& engine) const {
  return calls_.at(engine).silent() || failing_.aside(engine, environment_.now());
}

void coordinator::handle(const wire::EngineFailureT& message) {
  const BackendId engine(message.engine);
  const bool before = failing_.aside(engine, environment_.now());
  failing_.record(engine, message.unreachable ? call_trouble::unreachable : call_trouble::broken, environment_.now());
  if (!before && failing_.aside(engine, environment_.now())) {
    counters_["engines_set_aside_total"]++;
    log_.record("engine_set_aside", {{"engine", message.engine}, {"unreachable", message.unreachable}});
  }
}

placement_choice coordinator::choose(const std::string& node, const engine_domain& domain,
                                     const forwarding::place_query& query, bool final) {
  asked_for_[domain] = environment_.now();
  const std::vector<routing::Backend*> open = candidates(domain, query.excluded);
  if (open.empty()) {
    counters_["placements_without_engine_total"]++;
    return {};
  }
  forwarding::ChoiceInput input{open, query.affinity_key, environment_.now(), environment_.random()};
  input.shared = &calls_;
  input.samples = open.size();
  input.affinity_slowness = kAffinitySlowness;
  routing::Backend& chosen = forwarding::choose_backend(input);
  const forwarding::known_calls known = forwarding::calls_at(chosen, calls_, environment_.now());
  const bool full = known.live + known.batch >= known.slots;
  if (full && !final) {
    if (const auto zone = roomier_zone(domain)) {
      counters_["placements_passed_on_total"]++;
      return {std::nullopt, *zone};
    }
  }
  counters_[full ? "placements_at_full_engines_total" : "placements_total"]++;
  if (node != self_.id) {
    calls_.expect(node, chosen.machine.id, environment_.now());
  }
  if (query.reading.count() > 0) {
    registry_.on_reading(chosen.machine.id, query.reading);
  }
  return {forwarding::place_answer{chosen.machine.id, known.needs_yield()}, ""};
}

std::optional<std::string> coordinator::roomier_zone(const engine_domain& domain) {
  auto best = rooms_.end();
  for (auto entry = rooms_.begin(); entry != rooms_.end(); ++entry) {
    const bool usable = entry->first.pool == domain.pool && entry->first.zone != domain.zone &&
                        environment_.now() - entry->second.heard_at < kRoomUseful &&
                        entry->second.free >= kLeastRoomElsewhere;
    if (usable && (best == rooms_.end() || entry->second.free > best->second.free)) {
      best = entry;
    }
  }
  if (best == rooms_.end()) {
    return std::nullopt;
  }
  --best->second.free;
  return best->first.zone;
}

void coordinator::handle(const PeerAddress& sender, const wire::PlaceRequestT& message) {
  forwarding::place_query query;
  query.pool = message.pool;
  query.affinity_key = message.affinity_key;
  for (const std::string& engine : message.excluded) {
    query.excluded.insert(BackendId(engine));
  }
  query.reading = Duration(message.reading_us);
  const placement_choice choice = choose(message.node, {message.pool, message.zone}, query, message.final);
  wire::PlaceReplyT reply;
  reply.request = message.request;
  reply.zone = choice.zone;
  if (choice.place) {
    reply.engine = choice.place->engine.str();
    reply.needs_yield = choice.place->needs_yield;
  }
  send_message(environment_, sender, std::move(reply));
}

void coordinator::handle(const wire::PlaceRoomT& message) {
  rooms_[{message.pool, message.zone}] = {message.free, environment_.now()};
}

void coordinator::take(const wire::EngineActivityT& message) {
  calls_.take(message, environment_.now());
  for (const auto& entry : message.engines) {
    if (entry->first_ms > 0) {
      registry_.on_first_token(BackendId(entry->engine), entry->first_ms);
    }
  }
}

void coordinator::tell_room() {
  environment_.after(kRoomInterval, lifetime_.guard([this] { tell_room(); }));
  std::erase_if(asked_for_, [this](const auto& entry) { return environment_.now() - entry.second > kAskedLately; });
  for (const auto& [domain, asked_at] : asked_for_) {
    if (domain.zone.empty()) {
      continue;
    }
    wire::PlaceRoomT word;
    word.pool = domain.pool;
    word.zone = domain.zone;
    std::set<std::string> zones;
    for (const routing::Backend* backend : registry_.candidates(domain.pool)) {
      zones.insert(backend->machine.zone);
      if (backend->machine.zone != domain.zone) {
        continue;
      }
      const forwarding::known_calls known = forwarding::calls_at(*backend, calls_, environment_.now());
      const double free = known.slots - known.live - known.batch;
      word.free += free > 0 && !in_trouble(backend->machine.id) ? static_cast<std::uint32_t>(free) : 0;
    }
    for (const std::string& zone : zones) {
      const auto there = duties_.coordinators_of(engine_domain{domain.pool, zone}.key(), zone);
      if (zone != domain.zone && !there.empty()) {
        send_message(environment_, PeerAddress(there.front()->peer_address), word);
      }
    }
  }
}

}  // namespace madderdeck::placement
