#include "tenancy/rate_limiter.hpp"

#include <algorithm>

#include "membership/ranking.hpp"

namespace madderdeck::tenancy {
namespace {

using membership::Role;

/// Reply timeout. A round trip within a region takes 1 to 5 ms, with an overloaded node some tens of milliseconds.
constexpr Duration kReplyTimeout = 40ms;
/// How long an unresponsive keeper is not asked; by then, probes have shown whether it has failed.
constexpr Duration kAvoidedTime = 500ms;
constexpr Duration kMaintenanceInterval = 5s;  ///< Interval at which idle tenants and expired entries are removed.
/// Time after the start during which undecided requests are retried; by then, nodes that start together know each
/// other.
constexpr Duration kStartupTime = 3s;
constexpr Duration kRetryDelay = 60ms;  ///< Longer than a request and its reply take.
/// With an unresponsive keeper at each attempt, retries take 600 ms; after that, a refusal is better for the caller.
constexpr unsigned kMaxRetries = 5;
constexpr Duration kMinRetryAfter = 100ms;  ///< An earlier retry would most likely be refused again.
/// Larger grants would only expire unused.
constexpr std::uint32_t kMaxWanted = 64;

std::string keeper_key(const std::string& tenant) { return "tenant-rate/" + tenant; }

}  // namespace

rate_limiter::rate_limiter(Environment& environment, Counters& counters, DecisionLog& log,
                           const membership::Membership& members, Duration window)
    : environment_(environment),
      counters_(counters),
      log_(log),
      members_(members),
      window_(window),
      own_keeper_(window),
      next_request_(environment.random()) {}

void rate_limiter::start() {
  started_ = environment_.now();
  environment_.after(kMaintenanceInterval, lifetime_.guard([this] { maintain(); }));
}

void rate_limiter::maintain() {
  environment_.after(kMaintenanceInterval, lifetime_.guard([this] { maintain(); }));
  const Timestamp now = environment_.now();
  own_keeper_.remove_idle(now);
  std::erase_if(avoided_until_, [now](const auto& entry) { return entry.second <= now; });
  std::erase_if(accounts_, [now](const auto& entry) { return entry.second.used.sum(now) == 0; });
}

rate_limiter::account& rate_limiter::account_of(const std::string& tenant) {
  return accounts_.try_emplace(tenant, window_).first->second;
}

const wire::MemberT* rate_limiter::keeper_of(const std::string& tenant) const {
  refresh_view();
  return membership::first_ranked(gateways_, keeper_key(tenant));
}

void rate_limiter::refresh_view() const {
  if (view_version_ == members_.version()) {
    return;
  }
  view_version_ = members_.version();
  gateways_ = members_.responsive(Role::gateway);
  reachable_nodes_.clear();
  for (const wire::MemberT* gateway : gateways_) {
    reachable_nodes_.insert(gateway->id);
  }
  gateways_known_ = std::max<std::size_t>(1, members_.available(Role::gateway).size());
}

bool rate_limiter::is_reachable(const std::string& node) const {
  refresh_view();
  return reachable_nodes_.contains(node);
}

bool rate_limiter::knows_no_peer() const {
  refresh_view();
  return members_.has_seeds() && !members_.is_seed() && gateways_known_ <= 1;
}

void rate_limiter::try_admit(const std::string& request, const configured_rate& rate, unsigned tries, decided done) {
  if (!rate.limit.limited()) {
    done({true, {}});
    return;
  }
  account& tenant_account = account_of(rate.tenant);
  const Timestamp now = environment_.now();
  if (tenant_account.unused_grants > 0 && now < tenant_account.grants_expire_at) {
    --tenant_account.unused_grants;
    admit_now(tenant_account, done);
    return;
  }
  const wire::MemberT* keeper = keeper_of(rate.tenant);
  const auto avoided =
      keeper == nullptr ? avoided_until_.end() : avoided_until_.find(PeerAddress(keeper->peer_address));
  if (keeper == nullptr || knows_no_peer() || (avoided != avoided_until_.end() && now < avoided->second)) {
    on_undecided(request, rate, tries, done);
  } else if (keeper->id == members_.self().id) {
    const auto answer = own_keeper_.decide(
        query_for(rate), [this](const std::string& node) { return is_reachable(node); }, gateways_known_, now);
    take_answer(request, rate, answer, now, done);
  } else {
    ask(*keeper, request, rate, tries, std::move(done));
  }
}

rate_query rate_limiter::query_for(const configured_rate& rate) {
  account& tenant_account = account_of(rate.tenant);
  const Timestamp now = environment_.now();
  rate_query query;
  query.node = members_.self().id;
  query.rate = rate;
  query.recent = tenant_account.used.sum(now);
  // The number of requests expected while the grant is valid, by the average over the window.
  const double valid_fraction = std::chrono::duration<double>(kGrantLifetime) / std::chrono::duration<double>(window_);
  query.wanted = std::clamp<std::uint32_t>(static_cast<std::uint32_t>(query.recent * valid_fraction), 1, kMaxWanted);
  return query;
}

void rate_limiter::on_undecided(const std::string& request, const configured_rate& rate, unsigned tries,
                                const decided& done) {
  const bool starting = environment_.now() - started_ < kStartupTime;
  if (!starting || tries >= kMaxRetries) {
    decide_by_own_share(request, rate, done);
    return;
  }
  counters_["tenant_rate_asked_again_total"]++;
  environment_.after(
      kRetryDelay, lifetime_.guard([this, request, rate, tries, done] { try_admit(request, rate, tries + 1, done); }));
}

void rate_limiter::ask(const wire::MemberT& keeper, const std::string& request, const configured_rate& rate,
                       unsigned tries, decided done) {
  const rate_query query = query_for(rate);
  wire::RateRequestT message;
  message.request = ++next_request_;
  message.node = query.node;
  message.tenant = rate.tenant;
  message.version = rate.version;
  message.per_second = rate.limit.per_second;
  message.burst = rate.limit.burst;
  message.wanted = query.wanted;
  message.recent = query.recent;
  const PeerAddress address(keeper.peer_address);
  pending_.emplace(message.request, pending{request, rate, std::move(done), address, environment_.now(), tries});
  counters_["tenant_rate_questions_total"]++;
  environment_.after(kReplyTimeout, lifetime_.guard([this, number = message.request] {
    auto node = pending_.extract(number);
    if (node.empty()) {
      return;
    }
    counters_["tenant_rate_keeper_silent_total"]++;
    avoided_until_[node.mapped().keeper] = environment_.now() + kAvoidedTime;
    on_undecided(node.mapped().request, node.mapped().rate, node.mapped().tries, node.mapped().done);
  }));
  send_message(environment_, address, std::move(message));
}

void rate_limiter::handle(const PeerAddress& sender, const wire::RateRequestT& message) {
  wire::RateReplyT reply;
  reply.request = message.request;
  const wire::MemberT* keeper = keeper_of(message.tenant);
  // While nodes disagree on the tenant's keeper, a node grants only if it is the keeper in its own view.
  reply.keeper = keeper != nullptr && keeper->id == members_.self().id;
  if (reply.keeper) {
    rate_query query;
    query.node = message.node;
    query.rate = {message.tenant, message.version, {message.per_second, message.burst}};
    query.wanted = message.wanted;
    query.recent = message.recent;
    const auto answer = own_keeper_.decide(
        query, [this, &message](const std::string& node) { return node == message.node || is_reachable(node); },
        gateways_known_, environment_.now());
    reply.granted = answer.granted;
    reply.used = answer.used;
    reply.allowed = answer.allowed;
    reply.retry_us = static_cast<std::uint32_t>(answer.retry_after.count());
  }
  send_message(environment_, sender, std::move(reply));
}

void rate_limiter::handle(const wire::RateReplyT& message) {
  auto node = pending_.extract(message.request);
  if (node.empty()) {
    counters_["tenant_rate_answers_late_total"]++;
    return;
  }
  const pending& asked = node.mapped();
  if (!message.keeper) {
    on_undecided(asked.request, asked.rate, asked.tries, asked.done);
    return;
  }
  const rate_answer answer{message.granted, message.used, message.allowed, Duration(message.retry_us)};
  take_answer(asked.request, asked.rate, answer, asked.asked_at, asked.done);
}

void rate_limiter::take_answer(const std::string& request, const configured_rate& rate, const rate_answer& answer,
                               Timestamp asked_at, const decided& done) {
  account& tenant_account = account_of(rate.tenant);
  const Timestamp now = environment_.now();
  tenant_account.share = answer.used > 0 ? std::min(1.0, tenant_account.used.sum(now) / answer.used) : 0;
  tenant_account.had_keeper_reply = true;
  log_decision_source(tenant_account, rate.tenant, false);
  if (answer.granted == 0) {
    refuse(request, rate, answer, "keeper", done);
    return;
  }
  const bool grants_valid = now < tenant_account.grants_expire_at;
  tenant_account.unused_grants = (grants_valid ? tenant_account.unused_grants : 0) + answer.granted - 1;
  tenant_account.grants_expire_at = asked_at + kGrantLifetime;
  admit_now(tenant_account, done);
}

/// Admits one request per window even if the node's share is less: limits have some slack, and a tenant that sends few
/// requests would otherwise have all of them refused.
void rate_limiter::decide_by_own_share(const std::string& request, const configured_rate& rate, const decided& done) {
  account& tenant_account = account_of(rate.tenant);
  log_decision_source(tenant_account, rate.tenant, true);
  refresh_view();
  const auto nodes = static_cast<double>(gateways_known_);
  const double allowed = own_keeper_.allowed(rate.limit);
  const double share = tenant_account.had_keeper_reply || knows_no_peer() ? tenant_account.share : 1 / nodes;
  const double own = std::max(1.0, allowed * share);
  counters_["tenant_rate_decided_by_part_total"]++;
  if (tenant_account.used.sum(environment_.now()) + 1 <= own) {
    admit_now(tenant_account, done);
    return;
  }
  rate_answer known;
  known.used = tenant_account.used.sum(environment_.now());
  known.allowed = own;
  known.retry_after = std::max<Duration>(kMinRetryAfter, tenant_account.used.time_until_freed(environment_.now(), 1));
  refuse(request, rate, known, "own part", done);
}

void rate_limiter::admit_now(account& tenant_account, const decided& done) {
  tenant_account.used.add(environment_.now(), 1);
  counters_["tenant_rate_let_in_total"]++;
  done({true, {}});
}

void rate_limiter::refuse(const std::string& request, const configured_rate& rate, const rate_answer& known,
                          std::string_view by, const decided& done) {
  counters_["tenant_rate_limited_total"]++;
  log_.record("tenant_rate_refused", {{"request", request},
                                      {"tenant", rate.tenant},
                                      {"version", rate.version},
                                      {"used", known.used},
                                      {"allowed", known.allowed},
                                      {"by", by},
                                      {"retry_after_ms", known.retry_after / 1ms}});
  done({false, known.retry_after});
}

void rate_limiter::log_decision_source(account& tenant_account, const std::string& tenant, bool by_own_share) {
  if (tenant_account.by_own_share == by_own_share) {
    return;
  }
  tenant_account.by_own_share = by_own_share;
  log_.record("tenant_rate_share", {{"tenant", tenant},
                                    {"by", by_own_share ? "own part" : "keeper"},
                                    {"part", tenant_account.share},
                                    {"used", tenant_account.used.sum(environment_.now())}});
}

}  // namespace madderdeck::tenancy
