#include "quarantine/news_delivery.hpp"

#include <algorithm>

namespace madderdeck::quarantine {

using routing::request_fingerprint;

news_delivery::news_delivery(Environment& environment, Counters& counters, DecisionLog& log, peers list_peers,
                             compose compose_news, bool gives_up)
    : environment_(environment),
      counters_(counters),
      log_(log),
      list_peers_(std::move(list_peers)),
      compose_news_(std::move(compose_news)),
      gives_up_(gives_up),
      // A random start keeps late answers to an earlier process of this node from matching a number in use.
      next_number_(environment.random()) {}

void news_delivery::send_to_all(const std::vector<request_fingerprint>& requests) {
  for (std::size_t first = 0; first < requests.size(); first += kMaxRequestsPerDatagram) {
    const std::size_t end = std::min(requests.size(), first + kMaxRequestsPerDatagram);
    send_datagram(
        {requests.begin() + static_cast<std::ptrdiff_t>(first), requests.begin() + static_cast<std::ptrdiff_t>(end)});
  }
}

void news_delivery::send_datagram(std::vector<request_fingerprint> requests) {
  if (open_.size() >= kMaxOpenMessages) {
    counters_["quarantine_news_over_limit_total"]++;
    open_.erase(open_.begin());
  }
  if (++next_number_ == 0) {
    ++next_number_;  // 0 means that no acknowledgement is requested
  }
  message opened;
  opened.requests = std::move(requests);
  opened.started_at = environment_.now();
  opened.delay = std::max<Duration>(kFirstRepeatDelay, kRepeatDelayPerPeer * list_peers_().size());
  open_.emplace(next_number_, std::move(opened));
  send(next_number_);
}

void news_delivery::update_peers(message& open) const {
  const std::vector<PeerAddress> now = list_peers_();
  const std::set<PeerAddress> present(now.begin(), now.end());
  std::erase_if(open.unanswered, [&present](const PeerAddress& peer) { return !present.contains(peer); });
  for (const PeerAddress& peer : present) {
    if (open.told.insert(peer).second) {
      open.unanswered.insert(peer);
    }
  }
}

bool news_delivery::is_done(const message& open) const {
  if (open.unanswered.empty()) {
    return !open.told.empty();  // a node that has just started knows no peers yet; the message waits for them
  }
  const bool only_unresponsive = std::all_of(open.unanswered.begin(), open.unanswered.end(),
                                             [this](const PeerAddress& peer) { return unresponsive_.contains(peer); });
  return gives_up_ && only_unresponsive && open.attempts >= kMaxAttemptsToUnresponsive;
}

void news_delivery::send(std::uint64_t number) {
  const auto entry = open_.find(number);
  if (entry == open_.end()) {
    return;
  }
  message& open = entry->second;
  update_peers(open);
  if (is_done(open)) {
    open_.erase(entry);
    return;
  }
  if (gives_up_ && open.attempts >= kMaxAttempts) {
    give_up(open);
    open_.erase(entry);
    return;
  }
  for (const PeerAddress& peer : open.unanswered) {
    if (open.attempts >= kMaxAttemptsToUnresponsive && unresponsive_.contains(peer)) {
      continue;
    }
    wire::SuspicionNewsT news = compose_news_(open.requests);
    news.number = number;
    send_message(environment_, peer, std::move(news));
    counters_[open.attempts == 0 ? "quarantine_news_sent_total" : "quarantine_news_repeated_total"]++;
  }
  ++open.attempts;
  environment_.after(open.delay, lifetime_.guard([this, number] { send(number); }));
  open.delay += open.delay / 2;
}

void news_delivery::give_up(const message& open) {
  unresponsive_.insert(open.unanswered.begin(), open.unanswered.end());
  forget_departed_unresponsive();
  counters_["quarantine_news_unanswered_total"] += static_cast<CounterValue>(open.unanswered.size());
  log_.record("quarantine_news_unanswered", {{"requests", open.requests.size()},
                                             {"peers", open.unanswered.size()},
                                             {"told", open.told.size()},
                                             {"tries", open.attempts},
                                             {"age_ms", (environment_.now() - open.started_at) / 1ms}});
}

bool news_delivery::awaits_acknowledgement(const request_fingerprint& request) const {
  return std::any_of(open_.begin(), open_.end(), [&request](const auto& entry) {
    const std::vector<request_fingerprint>& told = entry.second.requests;
    return std::find(told.begin(), told.end(), request) != told.end();
  });
}

void news_delivery::forget_departed_unresponsive() {
  const std::vector<PeerAddress> now = list_peers_();
  const std::set<PeerAddress> present(now.begin(), now.end());
  std::erase_if(unresponsive_, [&present](const PeerAddress& peer) { return !present.contains(peer); });
}

void news_delivery::on_acknowledged(const PeerAddress& peer, std::uint64_t number) {
  unresponsive_.erase(peer);
  const auto entry = open_.find(number);
  if (entry == open_.end()) {
    counters_["quarantine_answers_late_total"]++;
    return;
  }
  entry->second.unanswered.erase(peer);
  if (entry->second.unanswered.empty()) {
    open_.erase(entry);
  }
}

}  // namespace madderdeck::quarantine
