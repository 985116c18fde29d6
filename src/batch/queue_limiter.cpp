#include "batch/queue_limiter.hpp"

#include <algorithm>
#include <numeric>

#include "membership/ranking.hpp"

namespace madderdeck::batch {
namespace {

constexpr Duration kTick = 250ms;
constexpr Duration kRefreshInterval = 1s;  ///< Least interval between two reports of all jobs, also of unchanged ones.
/// In large fleets all jobs are reported less often, in proportion to the number of peers, but still much more often
/// than kJobExpiry.
constexpr Duration kRefreshIntervalPerPeer = 40ms;
constexpr Duration kReportIntervalPerPeer = 8ms;
/// A route is near the limit when the waiting tokens exceed the lowest limit divided by this; only then are changes
/// reported soon.
constexpr std::uint64_t kNearLimitDivisor = 4;
/// A longer pause between ticks means that this process was frozen and has missed reports of other nodes.
constexpr Duration kFrozenTickGap = 1s;
/// A job that no node has reported for this long is removed from the view. This is longer than a job takes to move to
/// another manager.
constexpr Duration kJobExpiry = 10s;
/// Reports of a closed job are ignored for this long: longer than a message takes, shorter than the time in which a
/// caller submits a withdrawn job again.
constexpr Duration kClosedJobMemory = 250ms;
constexpr Duration kKeeperTimeout = 300ms;
constexpr Duration kMinRetryAfter = 300ms;
constexpr Duration kMaxRetryAfter = 4s;
constexpr std::uint32_t kScanPage = 500;
/// Up to its limit divided by this, a route is filled without asking the keeper.
constexpr std::uint64_t kLocalLimitDivisor = 2;
/// Other nodes have received a report after this time; longer than a message takes.
constexpr Duration kReportDelayLimit = 200ms;
/// Longest wait of an admission request for a complete view; a node that has just started reads the open jobs in less.
constexpr Duration kMaxViewWait = 150ms;
constexpr double kFreedSmoothing = 0.2;

std::string keeper_key(const std::string& route) { return "queue-limit/" + route; }

wire::QueuedJobT queued_job(const admission_request& request) {
  wire::QueuedJobT job;
  job.route = request.route;
  job.job = request.job.str();
  job.tokens = request.tokens;
  return job;
}

}  // namespace

queue_limiter::queue_limiter(Environment& environment, Counters& counters, ledger::Client& ledger,
                             membership::Membership& members, DecisionLog& log)
    : environment_(environment), counters_(counters), ledger_(ledger), members_(members), log_(log) {}

void queue_limiter::start() {
  ticked_at_ = environment_.now();
  tick();
}

void queue_limiter::tick() {
  environment_.after(kTick, lifetime_.guard([this] { tick(); }));
  const Timestamp now = environment_.now();
  view_complete_ = view_complete_ && now - ticked_at_ < kFrozenTickGap;
  ticked_at_ = now;
  for (auto& [route, jobs] : routes_) {
    std::erase_if(jobs, [now](const auto& entry) { return now - entry.second.received_at > kJobExpiry; });
  }
  std::erase_if(closed_at_, [now](const auto& entry) { return now - entry.second > kClosedJobMemory; });
  read_if_needed();
}

void queue_limiter::set_lowest_limit(std::uint64_t limit) {
  lowest_limit_ = limit;
  read_if_needed();
}

void queue_limiter::read_if_needed() {
  if (limited() && !view_complete_ && !reading_records_ && ledger_.has_group_map()) {
    reading_records_ = true;
    read_records(0, "");
  }
}

void queue_limiter::read_records(std::uint32_t group, const std::string& after) {
  if (group >= ledger_.group_map().groups.size()) {
    reading_records_ = false;
    view_complete_ = true;
    counters_["queue_views_read_total"]++;
    decide_waiting_requests();
    return;
  }
  const auto take_page = [this, group](const Result<ledger::ScanPage>& result) {
    if (!succeeded(result)) {
      reading_records_ = false;  // restarted at the next tick
      return;
    }
    const ledger::ScanPage& page = value_of(result);
    for (const ledger::ScanRecord& entry : page.records) {
      const auto record = wire::decode_record<wire::JobRecordT>(entry.value);
      if (!record || record->state != wire::JobState::Accepted) {
        continue;
      }
      wire::QueuedJobT job;
      job.route = queue_name(record->template_name, record->tenant);
      job.job = record->id;
      job.tokens = std::accumulate(record->item_tokens.begin(), record->item_tokens.end(), std::uint64_t{0});
      update_view(job, true);
    }
    read_records(page.next_after.empty() ? group + 1 : group, page.next_after);
  };
  ledger_.scan_group(group, kJobPrefix, after, kScanPage, lifetime_.guard(take_page));
}

void queue_limiter::update_view(const wire::QueuedJobT& job, bool estimated) {
  JobEntries& jobs = routes_[job.route];
  const JobId id(job.job);
  const auto known = jobs.find(id);
  if (estimated && known != jobs.end()) {
    return;
  }
  if (known != jobs.end() && !known->second.estimated && known->second.tokens > job.tokens) {
    counters_["queue_tokens_freed_total"] += static_cast<CounterValue>(known->second.tokens - job.tokens);
  }
  if (job.closed) {
    jobs.erase(id);
    closed_at_[id] = environment_.now();
    return;
  }
  const auto closed = closed_at_.find(id);
  if (closed != closed_at_.end() && environment_.now() - closed->second < kClosedJobMemory) {
    return;  // this report was sent before the job was closed
  }
  jobs[id] = JobEntry{job.tokens, environment_.now(), estimated};
}

std::uint64_t queue_limiter::waiting(const std::string& route) const {
  const auto jobs = routes_.find(route);
  if (jobs == routes_.end()) {
    return 0;
  }
  return std::accumulate(jobs->second.begin(), jobs->second.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const auto& entry) { return sum + entry.second.tokens; });
}

void queue_limiter::report_to_peers(std::vector<wire::QueuedJobT> jobs) {
  for (const wire::MemberT* node : members_.available(membership::Role::gateway)) {
    if (node->id == members_.self().id) {
      continue;
    }
    wire::QueueReportT message;
    message.node = members_.self().id;
    for (const wire::QueuedJobT& job : jobs) {
      message.jobs.push_back(std::make_unique<wire::QueuedJobT>(job));
    }
    send_message(environment_, PeerAddress(node->peer_address), std::move(message));
    counters_["queue_reports_sent_total"]++;
  }
}

Duration queue_limiter::report_interval() const {
  const auto peers = static_cast<int>(members_.available(membership::Role::gateway).size());
  const bool near = std::any_of(routes_.begin(), routes_.end(), [this](const auto& route) {
    return waiting(route.first) > lowest_limit_ / kNearLimitDivisor;
  });
  return near ? kReportIntervalPerPeer * peers : std::max<Duration>(kRefreshInterval, kRefreshIntervalPerPeer * peers);
}

void queue_limiter::set_managed_jobs(const std::vector<wire::QueuedJobT>& jobs) {
  const Timestamp now = environment_.now();
  if (now - reported_at_ < report_interval()) {
    return;
  }
  const double passed = std::chrono::duration<double>(now - reported_at_).count();
  reported_at_ = now;
  const auto peers = static_cast<int>(members_.available(membership::Role::gateway).size());
  const bool refresh = now - refreshed_at_ >= std::max<Duration>(kRefreshInterval, kRefreshIntervalPerPeer * peers);
  refreshed_at_ = refresh ? now : refreshed_at_;
  std::vector<wire::QueuedJobT> news;
  std::map<JobId, wire::QueuedJobT> told;
  std::map<std::string, std::uint64_t> freed;
  for (const wire::QueuedJobT& job : jobs) {
    const JobId id(job.job);
    const auto before = last_reported_.find(id);
    const bool changed = before == last_reported_.end() || before->second.tokens != job.tokens;
    const bool less = before != last_reported_.end() && before->second.tokens > job.tokens;
    freed[job.route] += less ? before->second.tokens - job.tokens : 0;
    update_view(job, false);
    if (changed || refresh) {
      news.push_back(job);
    }
    told.emplace(id, job);
  }
  for (const auto& [route, tokens] : freed) {
    const double per_second = static_cast<double>(tokens) / passed;
    double& average = freed_per_second_[route];
    average += kFreedSmoothing * (per_second - average);
  }
  last_reported_ = std::move(told);
  if (!news.empty()) {
    report_to_peers(std::move(news));
  }
}

void queue_limiter::close(const std::string& route, const JobId& job) {
  wire::QueuedJobT closed;
  closed.route = route;
  closed.job = job.str();
  closed.closed = true;
  update_view(closed, false);
  report_to_peers({closed});
}

void queue_limiter::close(const JobId& job) {
  for (auto& [route, jobs] : routes_) {
    jobs.erase(job);
  }
}

void queue_limiter::handle(const wire::QueueReportT& message) {
  for (const auto& job : message.jobs) {
    update_view(*job, false);
  }
}

Duration queue_limiter::time_until_free(const std::string& route, std::uint64_t tokens) const {
  const auto freed = freed_per_second_.find(route);
  // This node sees only what its own jobs free; assumes that every other scheduler frees as much.
  const std::size_t nodes = std::max<std::size_t>(1, members_.available(membership::Role::scheduler).size());
  const double per_second = freed == freed_per_second_.end() ? 0 : freed->second * static_cast<double>(nodes);
  if (per_second <= 0) {
    return kMaxRetryAfter;
  }
  const double seconds = static_cast<double>(tokens) / per_second;
  return std::clamp(Duration(static_cast<std::int64_t>(std::min(seconds, 60.0) * 1e6)), kMinRetryAfter, kMaxRetryAfter);
}

admission queue_limiter::decide(const admission_request& request) {
  const auto jobs = routes_.find(request.route);
  if (jobs != routes_.end() && jobs->second.contains(request.job)) {
    return {admission_verdict::admitted, {}};  // resubmitted
  }
  if (!view_complete_) {
    return {admission_verdict::unsure, kMinRetryAfter};
  }
  const std::uint64_t waits = waiting(request.route);
  if (waits + request.tokens > request.limit) {
    return {admission_verdict::full, time_until_free(request.route, waits + request.tokens - request.limit)};
  }
  return {admission_verdict::admitted, {}};
}

void queue_limiter::reserve(const admission_request& request) {
  const wire::QueuedJobT job = queued_job(request);
  if (!routes_[request.route].contains(request.job)) {
    update_view(job, false);
    report_to_peers({job});
  }
}

bool queue_limiter::fits_without_keeper(const admission_request& request) {
  if (!view_complete_) {
    return false;
  }
  const Timestamp now = environment_.now();
  auto& recent = local_admissions_[request.route];
  std::erase_if(recent, [now](const LocalAdmission& entry) { return now - entry.at > kReportDelayLimit; });
  const std::uint64_t own =
      std::accumulate(recent.begin(), recent.end(), std::uint64_t{0},
                      [](std::uint64_t sum, const LocalAdmission& entry) { return sum + entry.tokens; });
  const std::uint64_t known = waiting(request.route);
  const std::uint64_t settled = known > own ? known - own : 0;
  const std::uint64_t nodes = std::max<std::size_t>(1, members_.available(membership::Role::gateway).size());
  return settled + (own + request.tokens) * nodes <= request.limit / kLocalLimitDivisor;
}

void queue_limiter::admit(const admission_request& request, AdmissionDone done) {
  if (request.limit == 0) {
    done({admission_verdict::admitted, {}});
    return;
  }
  if (view_complete_) {
    decide_admission(request, done);
    return;
  }
  waiting_for_view_.push_back({request, std::move(done)});
  read_if_needed();
  if (!decision_scheduled_) {
    decision_scheduled_ = true;
    environment_.after(kMaxViewWait, lifetime_.guard([this] {
      decision_scheduled_ = false;
      decide_waiting_requests();
    }));
  }
}

void queue_limiter::decide_waiting_requests() {
  std::vector<PendingAdmission> waiting;
  std::swap(waiting, waiting_for_view_);
  for (const PendingAdmission& asked : waiting) {
    decide_admission(asked.request, asked.done);
  }
}

void queue_limiter::decide_admission(const admission_request& request, const AdmissionDone& done) {
  const bool far_below = fits_without_keeper(request);
  const wire::MemberT* keeper = membership::responsible_scheduler(members_, keeper_key(request.route));
  if (!far_below && keeper != nullptr && keeper->id != members_.self().id) {
    ask_keeper(*keeper, request, done);
    return;
  }
  const admission outcome = decide(request);
  log_admission(request, far_below ? "view" : "keeper", outcome);
  if (outcome.verdict == admission_verdict::full) {
    admit_if_known(request, done);
    return;
  }
  if (outcome.verdict == admission_verdict::admitted) {
    reserve(request);
    local_admissions_[request.route].push_back({environment_.now(), request.tokens});
  }
  done(outcome);
}

void queue_limiter::ask_keeper(const wire::MemberT& keeper, const admission_request& request, AdmissionDone done) {
  const std::uint64_t number = ++next_request_;
  pending_admissions_[number] = PendingAdmission{request, std::move(done)};
  wire::QueueGrantRequestT message;
  message.request = number;
  message.route = request.route;
  message.job = request.job.str();
  message.tokens = request.tokens;
  message.limit = request.limit;
  send_message(environment_, PeerAddress(keeper.peer_address), std::move(message));
  environment_.after(kKeeperTimeout, lifetime_.guard([this, number] {
    auto node = pending_admissions_.extract(number);
    if (!node.empty()) {
      counters_["queue_keeper_silent_total"]++;
      const admission outcome{admission_verdict::unsure, kMinRetryAfter};
      log_admission(node.mapped().request, "silent keeper", outcome);
      node.mapped().done(outcome);
    }
  }));
}

void queue_limiter::handle(const PeerAddress& sender, const wire::QueueGrantRequestT& message) {
  const admission_request request{message.route, JobId(message.job), message.tokens, message.limit};
  const admission outcome = decide(request);
  if (outcome.verdict == admission_verdict::admitted) {
    reserve(request);
  }
  wire::QueueGrantReplyT reply;
  reply.request = message.request;
  reply.verdict = outcome.verdict == admission_verdict::admitted ? wire::QueueVerdict::Granted
                  : outcome.verdict == admission_verdict::full   ? wire::QueueVerdict::Full
                                                                 : wire::QueueVerdict::Unsure;
  send_message(environment_, sender, std::move(reply));
}

void queue_limiter::handle(const wire::QueueGrantReplyT& message) {
  auto node = pending_admissions_.extract(message.request);
  if (node.empty()) {
    return;  // the request has timed out
  }
  const PendingAdmission& asked = node.mapped();
  if (message.verdict == wire::QueueVerdict::Full) {
    admit_if_known(asked.request, asked.done);
    return;
  }
  admission outcome{admission_verdict::unsure, kMinRetryAfter};
  if (message.verdict == wire::QueueVerdict::Granted) {
    update_view(queued_job(asked.request), true);  // a manager's report, if any, is more exact
    outcome = {admission_verdict::admitted, {}};
  }
  log_admission(asked.request, "keeper", outcome);
  asked.done(outcome);
}

void queue_limiter::admit_if_known(const admission_request& request, const AdmissionDone& done) {
  ledger_.read(job_key(request.job),
               lifetime_.guard([this, request, done](const Result<ledger::OptionalValue>& result) {
                 admission outcome{admission_verdict::full, time_until_free(request.route, request.tokens)};
                 if (!succeeded(result)) {
                   outcome = {admission_verdict::unsure, kMinRetryAfter};
                 } else if (value_of(result)) {
                   outcome = {admission_verdict::admitted, {}};
                 } else {
                   counters_["queue_jobs_refused_full_total"]++;
                 }
                 log_admission(request, "record", outcome);
                 done(outcome);
               }));
}

void queue_limiter::log_admission(const admission_request& request, const char* by, const admission& outcome) {
  const char* verdict = outcome.verdict == admission_verdict::admitted ? "admitted"
                        : outcome.verdict == admission_verdict::full   ? "full"
                                                                       : "unsure";
  log_.record("job_admission", {{"job", request.job.str()},
                                {"route", request.route},
                                {"tokens", request.tokens},
                                {"waiting", waiting(request.route)},
                                {"limit", request.limit},
                                {"by", by},
                                {"outcome", verdict},
                                {"retry_after_ms", outcome.retry_after / 1ms}});
}

}  // namespace madderdeck::batch
