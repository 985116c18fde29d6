#include "routing/call_announcer.hpp"

#include <algorithm>

namespace madderdeck::routing {
namespace {

constexpr Duration kCompleteReportInterval = 1s;
/// In each delay the fleet sends one message per pair of nodes, so the delay grows with the number of pairs.
constexpr Duration kDelayPerPeerPair = 800us;
constexpr Duration kMinAnnounceDelay = 5ms;
constexpr Duration kMaxAnnounceDelay = 700ms;
/// In larger fleets the reported counts arrive so late that the engines' load reports are more accurate
/// (DECISIONS.md).
constexpr std::size_t kMaxAnnouncePeers = 24;

wire::EngineActivityT message_of(const std::string& node, Duration time_to_yield, bool complete) {
  wire::EngineActivityT message;
  message.node = node;
  message.complete = complete;
  message.yield_us = static_cast<std::uint32_t>(time_to_yield.count());
  return message;
}

}  // namespace

call_announcer::call_announcer(Environment& environment, Counters& counters, Registry& registry, std::string node,
                               peers to, owner_check own)
    : environment_(environment),
      counters_(counters),
      registry_(registry),
      node_(std::move(node)),
      announce_peers_(std::move(to)),
      owns_(std::move(own)),
      numbers_(environment) {}

void call_announcer::start() { refresh(); }

void call_announcer::refresh() {
  environment_.after(kCompleteReportInterval, lifetime_.guard([this] { refresh(); }));
  const auto peers = static_cast<int>(std::min(announce_peers_().size(), kMaxAnnouncePeers));
  delay_ = std::clamp(kDelayPerPeerPair * (peers * peers), kMinAnnounceDelay, kMaxAnnounceDelay);
  tell(true);
}

void call_announcer::changed(const BackendId& engine) {
  changed_.insert(engine);
  if (scheduled_) {
    return;
  }
  scheduled_ = true;
  environment_.after(delay_, lifetime_.guard([this] {
    scheduled_ = false;
    tell(false);
  }));
}

void call_announcer::tell(bool complete) {
  const std::vector<PeerAddress> peers = announce_peers_();
  std::set<BackendId> told;
  std::swap(told, changed_);
  if (peers.size() > kMaxAnnouncePeers) {
    return;
  }
  const auto add = [this](wire::EngineActivityT& message, const BackendId& id, const Backend* backend) {
    auto entry = std::make_unique<wire::EngineCallsT>();
    entry->engine = id.str();
    entry->live = backend == nullptr ? 0 : backend->online_in_flight;
    entry->live += backend != nullptr && owns_(id) ? registry_.unattributed(*backend) : 0;
    entry->batch = backend == nullptr ? 0 : backend->batch_in_flight;
    message.engines.push_back(std::move(entry));
  };
  for (const PeerAddress& peer : peers) {
    wire::EngineActivityT message = message_of(node_, time_to_yield_, complete);
    if (complete) {
      for (const auto& [id, backend] : registry_.backends()) {
        const std::uint32_t unattributed = owns_(id) ? registry_.unattributed(backend) : 0;
        if (backend.online_in_flight + backend.batch_in_flight + unattributed > 0) {
          add(message, id, &backend);
        }
      }
    } else {
      for (const BackendId& id : told) {
        add(message, id, registry_.find(id));
      }
    }
    message.number = numbers_.next();
    send_message(environment_, peer, std::move(message));
    counters_["engine_activity_told_total"]++;
  }
}

}  // namespace madderdeck::routing
