#include "placement/stream_records.hpp"

#include <algorithm>
#include <utility>

#include "common/hash.hpp"
#include "membership/ranking.hpp"

namespace madderdeck::placement {
namespace {

/// A round trip within a region takes 1 to 2 ms.
constexpr Duration kRoundTimeout = 30ms;
/// A record that was sent with the first event may be late by a lost packet.
constexpr Duration kPauseBetweenRounds = 50ms;
constexpr unsigned kMaxRounds = 3;
/// A list of back ends that is older than this proves nothing about versions unless another gateway agrees.
constexpr std::int64_t kFreshListMs = 1'000;
constexpr std::size_t kMaxVersionsTold = 8;  ///< Of one pool: with two a stream's version is uncertain already.

std::uint64_t hash_of(const forwarding::stream_key& key) { return key.high ^ key.low; }

}  // namespace

stream_records::stream_records(Environment& environment, Counters& counters, DecisionLog& log,
                               const routing::Registry& registry, const membership::Membership& members,
                               stream_record_guards guards)
    : environment_(environment),
      counters_(counters),
      log_(log),
      registry_(registry),
      members_(members),
      guards_(guards),
      started_(environment.now()) {}

std::string_view stream_records::evidence_name(evidence reason) {
  switch (reason) {
    case evidence::own_record:
      return "own_record";
    case evidence::record_of_peer:
      return "record_of_peer";
    case evidence::only_version:
      return "only_version";
    case evidence::conflicting:
      return "conflicting";
    case evidence::none:
      break;
  }
  return "none";
}

bool stream_records::has_several_versions(const std::string& pool) const {
  const Timestamp since = environment_.now() - routing::software_versions::kMemory;
  return registry_.versions().since(pool, since).size() > 1;
}

void stream_records::record(const forwarding::stream_key& key, const forwarding::stream_origin& origin,
                            Duration valid_for, bool several_pools) {
  if (!store(key, origin, valid_for, true)) {
    return;
  }
  own_pools_.insert(origin.pool);
  // Another gateway can only tell the version without a record if there was no other one for as long as this.
  const bool sole = registry_.versions().sole_since(origin.pool, environment_.now() - valid_for).has_value();
  if (several_pools || !sole) {
    share(key, records_.at(key));
    if (holders_of(key, kHolders).size() <= 1 && unshared_.size() < kMaxRecords) {
      unshared_.insert(key);
    }
  }
  if (!has_several_versions(origin.pool)) {
    shared_pools_.erase(origin.pool);
  }
}

bool stream_records::store(const forwarding::stream_key& key, const forwarding::stream_origin& origin,
                           Duration valid_for, bool own) {
  remove_expired();
  const Timestamp expires_at = environment_.now() + std::min(valid_for, kMaxValidity);
  const auto known = records_.find(key);
  if (known == records_.end() && records_.size() >= kMaxRecords) {
    counters_["stream_records_refused_total"]++;
    return false;
  }
  kept_record& kept = records_.try_emplace(key, kept_record{origin}).first->second;
  if (kept.origin != origin && !kept.conflicting) {
    kept.conflicting = true;
    counters_["stream_records_conflicting_total"]++;
  }
  kept.own = kept.own || own;
  if (expires_at > kept.expires_at) {
    kept.expires_at = expires_at;
    expiries_.emplace(expires_at, key);
  }
  counters_["stream_records"] = static_cast<CounterValue>(records_.size());
  return true;
}

void stream_records::remove_expired() {
  const Timestamp now = environment_.now();
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const auto record = records_.find(expiries_.begin()->second);
    if (record != records_.end() && record->second.expires_at <= now) {
      records_.erase(record);
    }
    expiries_.erase(expiries_.begin());
  }
}

std::vector<const wire::MemberT*> stream_records::holders_of(const forwarding::stream_key& key,
                                                             std::size_t count) const {
  std::vector<std::pair<std::uint64_t, const wire::MemberT*>> ranked;
  for (const wire::MemberT* gateway : members_.available(membership::Role::gateway)) {
    ranked.emplace_back(rendezvous_weight(hash_of(key), stable_hash(gateway->id)), gateway);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
  std::vector<const wire::MemberT*> first_of_zones;
  std::vector<const wire::MemberT*> others;
  std::set<std::string> zones;
  for (const auto& [weight, gateway] : ranked) {
    (zones.insert(gateway->zone).second ? first_of_zones : others).push_back(gateway);
  }
  first_of_zones.insert(first_of_zones.end(), others.begin(), others.end());
  first_of_zones.resize(std::min(first_of_zones.size(), count));
  return first_of_zones;
}

void stream_records::share(const forwarding::stream_key& key, const kept_record& record) {
  if (!guards_.share_records) {
    return;
  }
  wire::StreamRecordT message;
  message.high = key.high;
  message.low = key.low;
  message.pool = record.origin.pool;
  message.software_version = record.origin.software_version;
  message.valid_ms = static_cast<std::uint32_t>((record.expires_at - environment_.now()) / 1ms);
  for (const wire::MemberT* holder : holders_of(key, kHolders)) {
    if (holder->id != members_.self().id) {
      counters_["stream_records_sent_total"]++;
      send_message(environment_, PeerAddress(holder->peer_address), message);
    }
  }
}

void stream_records::on_member_found() {
  for (const forwarding::stream_key& key : std::exchange(unshared_, {})) {
    const auto record = records_.find(key);
    if (record != records_.end()) {
      share(key, record->second);
    }
  }
}

void stream_records::on_back_ends_changed() {
  for (const std::string& pool : own_pools_) {
    if (shared_pools_.contains(pool) || !has_several_versions(pool)) {
      continue;
    }
    shared_pools_.insert(pool);
    remove_expired();
    for (const auto& [key, record] : records_) {
      if (record.own && record.origin.pool == pool) {
        share(key, record);
      }
    }
  }
}

void stream_records::handle(const wire::StreamRecordT& message) {
  store({message.high, message.low}, {message.pool, message.software_version},
        std::chrono::milliseconds(message.valid_ms), false);
}

void stream_records::handle(const PeerAddress& sender, const wire::StreamQuestionT& message) {
  remove_expired();
  wire::StreamAnswerT answer;
  answer.number = message.number;
  const auto record = records_.find({message.high, message.low});
  if (record != records_.end()) {
    answer.known = true;
    answer.pool = record->second.origin.pool;
    answer.software_version = record->second.origin.software_version;
    answer.conflicting = record->second.conflicting;
  }
  const Timestamp since = environment_.now() - std::chrono::milliseconds(message.longest_stream_ms);
  answer.sole_version = registry_.versions().sole_since(message.pool, since).value_or("");
  for (const std::string& version : registry_.versions().since(message.pool, since)) {
    if (answer.versions.size() < kMaxVersionsTold) {
      answer.versions.push_back(version);
    }
  }
  answer.list_age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, registry_.list_age_ms()));
  send_message(environment_, sender, std::move(answer));
}

stream_records::ticket stream_records::look_up(forwarding::stream_query query, found done) {
  if (next_lookup_ == 0) {
    next_lookup_ = environment_.random();  // answers to an earlier process of this node match no lookup
  }
  const ticket number = ++next_lookup_;
  lookup pending;
  pending.query = std::move(query);
  pending.done = std::move(done);
  pending.started = environment_.now();
  const std::optional<forwarding::stream_key> key = pending.query.key;
  lookups_.emplace(number, std::move(pending));
  remove_expired();
  const auto own = key ? records_.find(*key) : records_.end();
  if (own != records_.end()) {
    const bool conflicting = own->second.conflicting;
    finish(number, conflicting ? std::nullopt : std::optional(own->second.origin),
           conflicting ? evidence::conflicting : evidence::own_record);
  } else {
    ask(number);
  }
  return number;
}

void stream_records::ask(ticket number) {
  lookup& pending = lookups_.at(number);
  const unsigned round = ++pending.round;
  wire::StreamQuestionT question;
  question.number = number;
  // Without a key no record is found, and the gateways tell only which version has been the only one.
  const forwarding::stream_key key = pending.query.key.value_or(forwarding::stream_key{});
  question.high = key.high;
  question.low = key.low;
  question.pool = pending.query.pools.front();
  question.longest_stream_ms = static_cast<std::uint32_t>(pending.query.longest_stream / 1ms);
  pending.awaited.clear();
  std::vector<const wire::MemberT*> asked = holders_of(key, kAsked);
  // Where all gateways have started anew, nodes with a disk may know the pool for longer.
  const std::vector<const wire::MemberT*> ledgers = members_.available(membership::Role::ledger);
  if (const wire::MemberT* ledger = membership::first_ranked(ledgers, pending.query.request)) {
    asked.push_back(ledger);
  }
  for (const wire::MemberT* holder : asked) {
    if (holder->id != members_.self().id) {
      pending.awaited.insert(PeerAddress(holder->peer_address));
    }
  }
  if (pending.awaited.empty()) {
    conclude_round(number);
    return;
  }
  for (const PeerAddress& holder : pending.awaited) {
    counters_["stream_questions_total"]++;
    send_message(environment_, holder, question);
  }
  environment_.after(kRoundTimeout, lifetime_.guard([this, number, round] {
    const auto entry = lookups_.find(number);
    if (entry != lookups_.end() && entry->second.round == round && !entry->second.awaited.empty()) {
      counters_["stream_questions_unanswered_total"] += static_cast<CounterValue>(entry->second.awaited.size());
      conclude_round(number);
    }
  }));
}

void stream_records::handle(const PeerAddress& sender, const wire::StreamAnswerT& message) {
  const auto entry = lookups_.find(message.number);
  if (entry == lookups_.end()) {
    return;
  }
  lookup& pending = entry->second;
  if (message.known) {
    const bool expected =
        std::find(pending.query.pools.begin(), pending.query.pools.end(), message.pool) != pending.query.pools.end();
    const bool usable = expected && !message.conflicting;
    finish(message.number,
           usable ? std::optional(forwarding::stream_origin{message.pool, message.software_version}) : std::nullopt,
           usable ? evidence::record_of_peer : evidence::conflicting);
    return;
  }
  pending.answered = true;
  pending.seen_versions.insert(message.versions.begin(), message.versions.end());
  if (!message.sole_version.empty() && (is_current(message.list_age_ms) || !guards_.heed_others)) {
    pending.sole_versions.insert(message.sole_version);
  }
  if (pending.awaited.erase(sender) > 0 && pending.awaited.empty()) {
    conclude_round(message.number);
  }
}

bool stream_records::is_current(std::int64_t age_ms) const {
  // A list from before this process began may lack a back end that an ended gateway has used since.
  const std::int64_t running_ms = (environment_.now() - started_) / 1ms;
  return age_ms <= std::min(kFreshListMs, running_ms);
}

std::optional<forwarding::stream_origin> stream_records::sole_origin(const lookup& pending) const {
  if (pending.query.pools.size() != 1) {
    return std::nullopt;
  }
  const std::string& pool = pending.query.pools.front();
  const Timestamp since = environment_.now() - pending.query.longest_stream;
  const std::set<std::string> known = registry_.versions().since(pool, since);
  const bool nobody_disagrees =
      !guards_.heed_others ||
      std::includes(known.begin(), known.end(), pending.seen_versions.begin(), pending.seen_versions.end());
  if (known.size() != 1 || !nobody_disagrees) {
    return std::nullopt;
  }
  const bool agreed = pending.sole_versions == known;
  if (registry_.versions().sole_since(pool, since)) {
    const bool current =
        agreed || registry_.list_age_ms() <= kFreshListMs || (pending.answered && !guards_.heed_others);
    return current ? std::optional(forwarding::stream_origin{pool, *known.begin()}) : std::nullopt;
  }
  // This gateway does not know the pool for long enough: another one has to.
  return agreed ? std::optional(forwarding::stream_origin{pool, *known.begin()}) : std::nullopt;
}

void stream_records::conclude_round(ticket number) {
  lookup& pending = lookups_.at(number);
  pending.awaited.clear();
  if (const auto origin = sole_origin(pending)) {
    finish(number, origin, evidence::only_version);
    return;
  }
  if (!pending.query.key || pending.round >= kMaxRounds) {
    finish(number, std::nullopt, evidence::none);
    return;
  }
  environment_.after(kPauseBetweenRounds, lifetime_.guard([this, number] {
    if (lookups_.contains(number)) {
      ask(number);
    }
  }));
}

void stream_records::finish(ticket number, std::optional<forwarding::stream_origin> origin, evidence reason) {
  auto node = lookups_.extract(number);
  const lookup& pending = node.mapped();
  counters_["stream_lookups_" + std::string(evidence_name(reason)) + "_total"]++;
  log_.record("stream_looked_up", {{"request", pending.query.request},
                                   {"evidence", evidence_name(reason)},
                                   {"software_version", origin ? origin->software_version : std::string()},
                                   {"rounds", pending.round},
                                   {"answered", pending.answered},
                                   {"list_age_ms", registry_.list_age_ms()},
                                   {"took_ms", (environment_.now() - pending.started) / 1ms}});
  if (!origin && !guards_.refuse_unknown) {
    const std::string& pool = pending.query.pools.front();
    const std::set<std::string> versions = registry_.versions().since(pool, environment_.now());
    origin = forwarding::stream_origin{pool, versions.empty() ? "" : *versions.begin()};
  }
  node.mapped().done(origin);
}

}  // namespace madderdeck::placement
