#include "batch/job_manager.hpp"

#include <algorithm>
#include <numeric>

#include "batch/item_failure.hpp"

namespace madderdeck::batch {
namespace {
constexpr Duration kTick = 250ms;
constexpr Duration kDiscoveryInterval = 3s;
/// After a read of the job's record, items may be handed out for this long, counted from the start of the read.
constexpr Duration kJobLease = 2s;
/// Items are not handed out with less time to start than this; the dispatcher would only return them.
constexpr Duration kMinJobLeaseLeft = 100ms;
constexpr Duration kConfirmInterval = 700ms;
/// Dispatchers confirm every second which items they hold; an item that is not confirmed for this long is handed out
/// again. With a lease of 30 s and no confirmations, an item whose message was lost stayed unrun until its job's time
/// was over.
constexpr Duration kItemLease = 3s;
/// Interval at which a manager with pending items announces them to kAnnounceFanout schedulers.
constexpr Duration kAnnounceInterval = 1s;
constexpr std::size_t kAnnounceFanout = 8;
constexpr std::uint32_t kScanPage = 2000;
constexpr std::size_t kMaxCachedChunks = 64;
/// A job older than this was probably managed by another node before.
constexpr Duration kNewJobAge = 1500ms;
/// Time that the dispatchers of a job's items take to learn which node manages the job now.
constexpr Duration kTakeOverDelay = 250ms;
constexpr Duration kEarlyMessageMaxAge = 5s;     ///< Older messages about jobs that are not open are dropped.
constexpr std::size_t kMaxEarlyMessages = 2000;  ///< Over all jobs.
}  // namespace

JobManager::JobManager(Environment& environment, Counters& counters, ledger::Client& ledger,
                       membership::Membership& members, const placement::duties& who, DecisionLog& log,
                       std::shared_ptr<const policy::item_order> order, policy::work_estimate& estimate,
                       ManagerGuards guards)
    : environment_(environment),
      counters_(counters),
      ledger_(ledger),
      members_(members),
      duties_(who),
      log_(log),
      item_order_(std::move(order)),
      estimate_(estimate),
      guards_(guards) {}

void JobManager::start() { tick(); }

bool JobManager::owns(const std::string& job) const {
  // The result is cached: ranking the schedulers for each job at each tick would cost too much.
  if (members_version_ != members_.version()) {
    members_version_ = members_.version();
    owned_jobs_.clear();
  }
  const auto [entry, unknown] = owned_jobs_.try_emplace(job, false);
  if (unknown) {
    const wire::MemberT* owner = highest_ranked_scheduler(job);
    entry->second = owner != nullptr && owner->id == members_.self().id;
  }
  return entry->second;
}

const wire::MemberT* JobManager::highest_ranked_scheduler(const std::string& name) const {
  return duties_.manager_of(name);
}

void JobManager::tick() {
  environment_.after(kTick, lifetime_.guard([this] { tick(); }));
  std::erase_if(jobs_, [this](const auto& entry) {
    const bool moved = !owns(entry.first.str());
    if (moved) {
      hand_over(entry.second);
    }
    return moved;
  });
  std::erase_if(early_messages_, [this](const auto& entry) {
    return entry.second.empty() || environment_.now() - entry.second.back().at > kEarlyMessageMaxAge;
  });
  for (auto& [id, job] : jobs_) {
    expire_leases(job);
    // A job whose first read failed has no items yet; its record is read again, too.
    const bool readable = job.loaded || job.items.empty();
    if (readable && environment_.now() - job.confirmed_at > kConfirmInterval) {
      confirm_job(id);
    }
    fail_overdue_items(id);
    write_reported_failures(id);
    append_order(id);
  }
  std::vector<JobId> open;
  for (const auto& [id, job] : jobs_) {
    open.push_back(id);
  }
  for (const JobId& id : open) {
    complete_if_done(id);
  }
  announce_pending();
  if (!discovering_jobs_ && ledger_.has_group_map() && environment_.now() - last_discovery_ > kDiscoveryInterval) {
    discovering_jobs_ = true;
    last_discovery_ = environment_.now();
    discover_jobs(next_scanned_group(0), "");
  }
  counters_["jobs_managed"] = static_cast<CounterValue>(jobs_.size());
}

void JobManager::announce_pending() {
  if (environment_.now() - last_announcement_ < kAnnounceInterval) {
    return;
  }
  last_announcement_ = environment_.now();
  const bool pending = std::any_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
    return entry.second.loaded && entry.second.settled + entry.second.leases.size() < entry.second.items.size();
  });
  std::vector<PeerAddress> dispatchers = duties_.dispatchers();
  // In a large fleet there are few dispatchers, and each may have free slots.
  const std::size_t fanout = duties_.divided() ? dispatchers.size() : kAnnounceFanout;
  for (std::size_t told = 0; pending && told < fanout && !dispatchers.empty(); ++told) {
    const std::size_t position = environment_.random() % dispatchers.size();
    wire::JobNoticeT notice;
    notice.manager = members_.self().peer_address;
    send_message(environment_, dispatchers[position], std::move(notice));
    dispatchers.erase(dispatchers.begin() + static_cast<std::ptrdiff_t>(position));
  }
}

std::uint32_t JobManager::next_scanned_group(std::uint32_t from) const {
  // One scheduler scans a group on behalf of all: if every node did, the ledger nodes would serve one scan for each
  // node and group.
  const auto groups = static_cast<std::uint32_t>(ledger_.group_map().groups.size());
  while (from < groups && !owns("group-" + std::to_string(from))) {
    ++from;
  }
  return from;
}

void JobManager::discover_jobs(std::uint32_t group, const std::string& after) {
  if (group >= ledger_.group_map().groups.size()) {
    discovering_jobs_ = false;
    return;
  }
  const auto take_page = [this, group](Result<ledger::ScanPage> result) {
    if (!succeeded(result)) {
      discovering_jobs_ = false;
      return;
    }
    const ledger::ScanPage& page = value_of(result);
    for (const ledger::ScanRecord& record : page.records) {
      const auto job = wire::decode_record<wire::JobRecordT>(record.value);
      if (job && job->state == wire::JobState::Accepted) {
        notify_owner(job->id);
      }
    }
    discover_jobs(page.next_after.empty() ? next_scanned_group(group + 1) : group, page.next_after);
  };
  ledger_.scan_group(group, kJobPrefix, after, kScanPage, lifetime_.guard(take_page));
}

void JobManager::notify_owner(const std::string& job) {
  const wire::MemberT* owner = highest_ranked_scheduler(job);
  if (owner == nullptr) {
    return;
  }
  wire::JobNoticeT notice;
  notice.job = job;
  send_message(environment_, PeerAddress(owner->peer_address), std::move(notice));
}

void JobManager::open_job(const JobId& job) {
  const auto [entry, inserted] = jobs_.try_emplace(job);
  if (inserted) {
    counters_["jobs_opened_total"]++;
    log_.record("job_opened", {{"job", job.str()}, {"members_version", members_.version()}});
    confirm_job(job);
  }
}

void JobManager::confirm_job(const JobId& id) {
  Job& job = jobs_.at(id);
  if (job.confirming) {
    return;
  }
  job.confirming = true;
  const Timestamp read_started = environment_.now();
  ledger_.read(job_key(id), lifetime_.guard([this, id, read_started](Result<ledger::OptionalValue> result) {
    on_job_record(id, read_started, std::move(result));
  }));
}

void JobManager::on_job_record(const JobId& id, Timestamp read_started, Result<ledger::OptionalValue> result) {
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end()) {
    return;
  }
  Job& job = entry->second;
  job.confirming = false;
  if (!succeeded(result) || !value_of(result)) {
    return;  // read again at the next tick
  }
  const auto record = wire::decode_record<wire::JobRecordT>(*value_of(result));
  if (!record || record->state != wire::JobState::Accepted) {
    finish(entry);
    return;
  }
  job.confirmed_at = read_started;
  if (job.items.empty()) {
    job.record = *record;
    const bool fresh = environment_.unix_milliseconds() < record->accepted_at_ms + kNewJobAge / 1ms;
    job.waiting_tokens = std::accumulate(record->item_tokens.begin(), record->item_tokens.end(), std::uint64_t{0});
    job.hand_out_after = fresh ? Timestamp{} : environment_.now() + kTakeOverDelay;
    job.items.assign(record->items, ItemState::pending);
    load_results(id, "");
  }
}

void JobManager::load_results(const JobId& id, const std::string& after) {
  const auto take = [this, id, after](Result<ledger::ScanPage> result) {
    const auto entry = jobs_.find(id);
    if (entry == jobs_.end()) {
      return;
    }
    if (!succeeded(result)) {
      environment_.after(kTick, lifetime_.guard([this, id, after] {
        if (jobs_.contains(id)) {
          load_results(id, after);
        }
      }));
      return;
    }
    const ledger::ScanPage& page = value_of(result);
    for (const ledger::ScanRecord& record : page.records) {
      settle(entry->second, result_index(record.key));
    }
    if (page.next_after.empty()) {
      entry->second.loaded = true;
      apply_early_messages(id);
      last_announcement_ = Timestamp{};
      announce_pending();
      append_order(id);
      complete_if_done(id);
    } else {
      load_results(id, page.next_after);
    }
  };
  ledger_.scan(result_prefix(id), after, kScanPage, lifetime_.guard(take), ledger::ScanContent::keys);
}

void JobManager::handle(const wire::JobNoticeT& message) {
  const JobId id(message.job);
  if (message.cancelled) {
    finished_jobs_.insert(message.job);
    if (const auto entry = jobs_.find(id); entry != jobs_.end()) {
      finish(entry);
    }
  } else if (!message.job.empty() && owns(message.job) && !finished_jobs_.contains(message.job)) {
    open_job(id);
  }
}

void JobManager::handle(const PeerAddress& sender, const wire::TakeItemsT& message) {
  std::vector<Job*> order;
  for (auto& [id, job] : jobs_) {
    const bool leased = environment_.now() - job.confirmed_at < kJobLease - kMinJobLeaseLeft;
    if (environment_.now() >= job.hand_out_after && job.loaded && (leased || !guards_.lease_jobs)) {
      order.push_back(&job);
    }
  }
  std::stable_sort(order.begin(), order.end(), [](const Job* left, const Job* right) {
    if (left->record.priority != right->record.priority) {
      return left->record.priority > right->record.priority;
    }
    const auto deadline = [](const Job* job) {
      return job->record.deadline_ms == 0 ? UINT64_MAX : job->record.deadline_ms;
    };
    return deadline(left) < deadline(right);
  });
  wire::GiveItemsT reply;
  reply.request = message.request;
  const std::vector<HandOutPass> passes = item_order_->defers_late_items()
                                              ? std::vector{HandOutPass::in_time, HandOutPass::late}
                                              : std::vector{HandOutPass::any};
  for (const HandOutPass pass : passes) {
    for (Job* job : order) {
      const auto room = message.capacity - static_cast<std::uint32_t>(reply.items.size());
      if (room > 0) {
        hand_out(*job, sender, room, pass, reply);
      }
    }
  }
  counters_["batch_items_handed_out_total"] += static_cast<CounterValue>(reply.items.size());
  // An empty answer makes the dispatcher ask other managers, so none is sent while items are still being read.
  if (!reply.items.empty() || order.empty()) {
    send_message(environment_, sender, std::move(reply));
  }
}

const wire::MemberT* JobManager::scheduler_at(const PeerAddress& address) const {
  for (const wire::MemberT* scheduler : members_.available(membership::Role::scheduler)) {
    if (scheduler->peer_address == address.str()) {
      return scheduler;
    }
  }
  return nullptr;
}

bool JobManager::in_pass(HandOutPass pass, const Job& job, std::uint32_t index) const {
  if (pass == HandOutPass::any || job.record.deadline_ms == 0) {
    return pass != HandOutPass::late;
  }
  const std::uint32_t tokens = index < job.record.item_tokens.size() ? job.record.item_tokens[index] : 0;
  const auto progress = job.item_progress.find(index);
  const std::uint32_t events = progress == job.item_progress.end() ? 0 : progress->second.tokens;
  const Duration work = estimate_.time_left(job.record.template_name, tokens, events);
  const std::uint64_t done_at_ms = environment_.unix_milliseconds() + static_cast<std::uint64_t>(work / 1ms);
  return (pass == HandOutPass::late) == (done_at_ms > job.record.deadline_ms);
}

void JobManager::hand_out(Job& job, const PeerAddress& to, std::uint32_t capacity, HandOutPass pass,
                          wire::GiveItemsT& reply) {
  std::uint32_t given = 0;
  bool only_settled_before = true;
  for (std::uint32_t index = job.cursor; index < job.items.size() && given < capacity; ++index) {
    if (job.items[index] != ItemState::pending) {
      if (only_settled_before && job.items[index] == ItemState::settled) {
        job.cursor = index + 1;
      } else {
        only_settled_before = false;
      }
      continue;
    }
    only_settled_before = false;
    if (job.failure_of(index) != wire::ItemFailure::None || job.failing_items.contains(index)) {
      continue;
    }
    if (!in_pass(pass, job, index)) {
      continue;
    }
    auto item = std::make_unique<wire::WorkItemT>();
    if (!item_body(job, index, item->body)) {
      break;  // the chunk is being read
    }
    item->job = job.record.id;
    item->index = index;
    item->tenant = job.record.tenant;
    item->template_name = job.record.template_name;
    item->route_prefix = job.record.route_prefix;
    item->routes_version = job.record.routes_version;
    item->deadline_ms = job.record.deadline_ms;
    item->give_up_at_ms = job.record.give_up_at_ms;
    item->tokens = index < job.record.item_tokens.size() ? job.record.item_tokens[index] : 0;
    // The dispatcher may start the item for as long as the job's lease still lasts.
    const Duration left = job.confirmed_at + kJobLease - environment_.now();
    item->lease_ms = guards_.lease_jobs ? static_cast<std::uint32_t>(left / 1ms) : UINT32_MAX;
    job.items[index] = ItemState::leased;
    log_.record("item_handed_out", {{"job", job.record.id},
                                    {"index", index},
                                    {"to", to.str()},
                                    {"lease_ms", item->lease_ms},
                                    {"record_age_ms", (environment_.now() - job.confirmed_at) / 1ms}});
    job.first_handed_out.try_emplace(index, environment_.now());
    job.leases[index] = lease_of(to);
    item->host = job.record.host;
    if (const auto progress = job.item_progress.find(index); progress != job.item_progress.end()) {
      item->partial = progress->second.partial;
      item->partial_tokens = progress->second.tokens;
      item->partial_version = progress->second.software_version;
      item->failed_runs = progress->second.failed_runs;
    }
    reply.items.push_back(std::move(item));
    ++given;
  }
}

bool JobManager::item_body(Job& job, std::uint32_t index, std::string& body) {
  const std::uint32_t number = index / kItemsPerChunk;
  const auto chunk = job.chunks.find(number);
  if (chunk == job.chunks.end()) {
    load_chunk(job, number);
    return false;
  }
  const std::uint32_t position = index % kItemsPerChunk;
  if (position >= chunk->second.items.size()) {
    return false;
  }
  body = chunk->second.items[position];
  if (position + 1 == chunk->second.items.size() && number + 1 < job.record.chunks) {
    load_chunk(job, number + 1);
  }
  return true;
}

void JobManager::load_chunk(Job& job, std::uint32_t number) {
  if (job.chunks.contains(number) || !job.loading_chunks.insert(number).second) {
    return;
  }
  const JobId id(job.record.id);
  const auto take = [this, id, number](Result<ledger::ScanPage> result) {
    const auto entry = jobs_.find(id);
    if (entry == jobs_.end()) {
      return;
    }
    Job& owner = entry->second;
    owner.loading_chunks.erase(number);
    if (!succeeded(result) || value_of(result).records.empty()) {
      return;
    }
    if (auto chunk = wire::decode_record<wire::ChunkRecordT>(value_of(result).records.front().value)) {
      if (owner.chunks.size() >= kMaxCachedChunks) {
        owner.chunks.erase(owner.chunks.begin());
      }
      owner.chunks[number] = std::move(*chunk);
    }
  };
  ledger_.scan(chunk_key(id, job.record.submission, number), "", 1, lifetime_.guard(take));
}

/// A dispatcher that failed or restarted has lost its items. A dispatcher that was unknown to this node when the lease
/// began keeps the lease until it expires.
bool JobManager::holder_is_alive(const Lease& lease) const {
  if (lease.incarnation == 0) {
    return true;
  }
  const wire::MemberT* holder = scheduler_at(lease.holder);
  return holder != nullptr && holder->incarnation == lease.incarnation;
}

JobManager::Lease JobManager::lease_of(const PeerAddress& holder) const {
  const wire::MemberT* scheduler = scheduler_at(holder);
  return {environment_.now() + kItemLease, holder, scheduler == nullptr ? 0 : scheduler->incarnation};
}

void JobManager::handle(const PeerAddress& sender, const wire::ItemsHeldT& message) {
  for (const auto& held : message.jobs) {
    const auto entry = jobs_.find(JobId(held->job));
    if (entry != jobs_.end() && entry->second.loaded) {
      renew_leases(entry->second, sender, held->indexes);
    }
  }
}

/// An item that is pending on this node but held by a dispatcher was probably handed out by the job's previous manager.
void JobManager::renew_leases(Job& job, const PeerAddress& holder, const std::vector<std::uint32_t>& items) {
  for (const std::uint32_t index : items) {
    if (index >= job.items.size()) {
      continue;
    }
    const auto lease = job.leases.find(index);
    if (lease != job.leases.end() && lease->second.holder == holder) {
      lease->second = lease_of(holder);
    } else if (job.items[index] == ItemState::pending) {
      job.items[index] = ItemState::leased;
      job.leases[index] = lease_of(holder);
      counters_["batch_items_claimed_by_holders_total"]++;
    }
  }
}

void JobManager::expire_leases(Job& job) {
  bool message_lost = false;
  for (auto lease = job.leases.begin(); lease != job.leases.end();) {
    const bool lives = holder_is_alive(lease->second);
    if (!guards_.expire_items || (environment_.now() < lease->second.until && lives)) {
      ++lease;
      continue;
    }
    if (job.items[lease->first] == ItemState::leased) {
      job.items[lease->first] = ItemState::pending;
      job.cursor = std::min(job.cursor, lease->first);
      message_lost = message_lost || lives;
      counters_["batch_item_leases_expired_total"]++;
      log_.record("item_lease_expired", {{"job", job.record.id},
                                         {"index", lease->first},
                                         {"holder", lease->second.holder.str()},
                                         {"holder_lives", lives}});
    }
    lease = job.leases.erase(lease);
  }
  if (message_lost && job.loaded) {
    // The lost message may have reported that the item is done, so the results are read before it is handed out again.
    job.loaded = false;
    load_results(JobId(job.record.id), "");
  }
}

void JobManager::settle(Job& job, std::uint32_t index) {
  if (index >= job.items.size() || job.items[index] == ItemState::settled) {
    return;
  }
  job.items[index] = ItemState::settled;
  job.leases.erase(index);
  job.item_progress.erase(index);
  ++job.settled;
  if (index < job.record.item_tokens.size()) {
    job.waiting_tokens -= std::min<std::uint64_t>(job.waiting_tokens, job.record.item_tokens[index]);
  }
  if (job.ordered() && !job.listed.contains(index)) {
    job.unlisted_results.push_back(index);
  }
}

void JobManager::handle(const PeerAddress& sender, const wire::ItemSettledT& message) {
  const JobId id(message.job);
  const auto entry = jobs_.find(id);
  if (entry != jobs_.end() && entry->second.loaded) {
    apply_settlement(entry->second, sender, message);
    append_order(id);
    complete_if_done(id);
    return;
  }
  std::size_t waiting = 0;
  for (const auto& [job, messages] : early_messages_) {
    waiting += messages.size();
  }
  if (finished_jobs_.contains(message.job) || waiting >= kMaxEarlyMessages) {
    counters_["batch_settlements_dropped_total"]++;
    return;
  }
  early_messages_[id].push_back({environment_.now(), sender, message});
  if (owns(message.job)) {
    open_job(id);
  }
}

void JobManager::apply_early_messages(const JobId& id) {
  const auto node = early_messages_.extract(id);
  if (node.empty()) {
    return;
  }
  for (const EarlyMessage& early : node.mapped()) {
    apply_settlement(jobs_.at(id), early.sender, early.message);
  }
}

void JobManager::apply_settlement(Job& job, const PeerAddress& sender, const wire::ItemSettledT& message) {
  if (message.index >= job.items.size()) {
    return;
  }
  if (message.completed) {
    update_wait_ratio(job, message.index);
    settle(job, message.index);
    return;
  }
  const bool has_failure = message.failure != wire::ItemFailure::None;
  if (job.items[message.index] != ItemState::settled &&
      (has_failure || message.partial_tokens + message.failed_runs > 0)) {
    ItemProgress& progress = job.item_progress[message.index];
    progress.failed_runs = std::max(progress.failed_runs, message.failed_runs);
    progress.failure = has_failure ? message.failure : progress.failure;
    if (begins_with_reason_of_earlier_version(message.partial)) {
      counters_["batch_reasons_as_output_total"]++;
    } else if (message.partial_tokens >= progress.tokens) {
      progress.partial = message.partial;
      progress.tokens = message.partial_tokens;
      progress.software_version = message.partial_version;
    }
  }
  const bool free = job.items[message.index] == ItemState::pending;
  if (message.held && free) {
    job.items[message.index] = ItemState::leased;
    job.leases[message.index] = lease_of(sender);
    counters_["batch_items_claimed_by_holders_total"]++;
  } else if (!message.held && job.items[message.index] == ItemState::leased) {
    job.items[message.index] = ItemState::pending;
    job.leases.erase(message.index);
    job.cursor = std::min(job.cursor, message.index);
  }
}

void JobManager::update_wait_ratio(Job& job, std::uint32_t index) {
  const auto node = job.first_handed_out.extract(index);
  const bool late = job.record.deadline_ms != 0 && environment_.unix_milliseconds() > job.record.deadline_ms;
  // A late item is ignored, since it may have waited for the late items to be handed out.
  if (node.empty() || late || index >= job.record.item_tokens.size()) {
    return;
  }
  const Duration work = estimate_.work_left(job.record.template_name, job.record.item_tokens[index], 0);
  estimate_.update_wait_ratio(job.record.template_name, environment_.now() - node.mapped(), work);
}

void JobManager::hand_over(const Job& job) {
  const wire::MemberT* owner = highest_ranked_scheduler(job.record.id);
  if (owner == nullptr || owner->id == members_.self().id) {
    return;
  }
  notify_owner(job.record.id);
  for (const auto& [index, progress] : job.item_progress) {
    wire::ItemSettledT message;
    message.job = job.record.id;
    message.index = index;
    message.failed_runs = progress.failed_runs;
    message.partial = progress.partial;
    message.partial_tokens = progress.tokens;
    message.partial_version = progress.software_version;
    message.failure = progress.failure;
    send_message(environment_, PeerAddress(owner->peer_address), std::move(message));
  }
  counters_["jobs_handed_over_total"]++;
}

void JobManager::drain() {
  for (const auto& [id, job] : jobs_) {
    hand_over(job);
  }
  jobs_.clear();
}

wire::QueuedJobT JobManager::queued_job(const Job& job) {
  wire::QueuedJobT queued;
  queued.route = queue_name(job.record.template_name, job.record.tenant);
  queued.job = job.record.id;
  queued.tokens = job.waiting_tokens;
  return queued;
}

std::vector<wire::QueuedJobT> JobManager::queued_jobs() const {
  std::vector<wire::QueuedJobT> queued;
  for (const auto& [id, job] : jobs_) {
    if (job.loaded && !job.record.item_tokens.empty()) {
      queued.push_back(queued_job(job));
    }
  }
  return queued;
}

std::vector<wire::QueuedJobT> JobManager::take_ended_jobs() {
  std::vector<wire::QueuedJobT> closed;
  std::swap(closed, closed_jobs_);
  return closed;
}

void JobManager::finish(std::map<JobId, Job>::iterator job) {
  finished_jobs_.insert(job->first.str());
  if (!job->second.record.item_tokens.empty()) {
    closed_jobs_.push_back(queued_job(job->second));
    closed_jobs_.back().closed = true;
  }
  jobs_.erase(job);
}

void JobManager::complete_if_done(const JobId& id) {
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end()) {
    return;
  }
  Job& job = entry->second;
  const bool listed = !job.ordered() || job.listed.size() == job.items.size();
  if (!job.loaded || job.settled < job.items.size() || !listed || job.completing) {
    return;
  }
  job.completing = true;
  const auto mark_completed = [](const ledger::OptionalValue& current) -> ledger::OptionalValue {
    auto record = current ? wire::decode_record<wire::JobRecordT>(*current) : std::nullopt;
    if (!record || record->state != wire::JobState::Accepted) {
      return std::nullopt;
    }
    record->state = wire::JobState::Completed;
    return wire::encode_record(*record);
  };
  ledger_.change(job_key(id), mark_completed, lifetime_.guard([this, id](Result<ledger::OptionalValue> result) {
    const auto completed = jobs_.find(id);
    if (completed == jobs_.end()) {
      return;
    }
    completed->second.completing = false;
    if (succeeded(result)) {
      finish(completed);
      counters_["jobs_completed_total"]++;
    }
  }));
}

void JobManager::append_order(const JobId& id) {
  Job& job = jobs_.at(id);
  if (!job.loaded || job.writing_order || job.unlisted_results.empty()) {
    return;
  }
  job.writing_order = true;
  const auto append = [pending = job.unlisted_results, listed = job.listed,
                       guards = guards_](const ledger::OptionalValue& current) -> ledger::OptionalValue {
    auto record = current ? wire::decode_record<wire::OrderRecordT>(*current) : wire::OrderRecordT();
    if (!record) {
      return std::nullopt;
    }
    if (!guards.merge_positions) {
      record->indexes.assign(listed.begin(), listed.end());
    }
    const std::set<std::uint32_t> present(record->indexes.begin(), record->indexes.end());
    const std::size_t before = record->indexes.size();
    for (const std::uint32_t index : pending) {
      if (record->indexes.size() < kOrderSegment && !present.contains(index)) {
        record->indexes.insert(guards.append_positions ? record->indexes.end() : record->indexes.begin(), index);
      }
    }
    return record->indexes.size() == before ? std::nullopt : ledger::OptionalValue(wire::encode_record(*record));
  };
  ledger_.change(
      order_key(id, job.order_segment), append,
      lifetime_.guard([this, id](const Result<ledger::OptionalValue>& result) { on_order_written(id, result); }));
}

void JobManager::on_order_written(const JobId& id, const Result<ledger::OptionalValue>& result) {
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end()) {
    return;
  }
  Job& job = entry->second;
  job.writing_order = false;
  if (!succeeded(result) || !value_of(result)) {
    counters_["batch_order_write_failures_total"]++;
    return;  // retried at the next tick
  }
  const auto record = wire::decode_record<wire::OrderRecordT>(*value_of(result));
  if (!record) {
    return;
  }
  job.listed.insert(record->indexes.begin(), record->indexes.end());
  log_.record("results_listed", {{"job", id.str()}, {"listed", job.listed.size()}, {"items", job.items.size()}});
  job.order_segment += record->indexes.size() >= kOrderSegment ? 1 : 0;
  std::erase_if(job.unlisted_results, [&job](std::uint32_t index) { return job.listed.contains(index); });
  append_order(id);
  complete_if_done(id);
}

void JobManager::fail_overdue_items(const JobId& id) {
  Job& job = jobs_.at(id);
  const bool late = job.record.give_up_at_ms != 0 && environment_.unix_milliseconds() > job.record.give_up_at_ms;
  if (!late || !job.loaded) {
    return;
  }
  for (std::uint32_t index = 0; index < job.items.size(); ++index) {
    if (job.items[index] == ItemState::settled || job.failing_items.contains(index)) {
      continue;
    }
    if (!write_failure(id, index, wire::ItemFailure::TimeOver)) {
      break;
    }
    counters_["batch_items_given_up_total"]++;
  }
}

wire::ItemFailure JobManager::Job::failure_of(std::uint32_t index) const {
  const auto progress = item_progress.find(index);
  return progress == item_progress.end() ? wire::ItemFailure::None : progress->second.failure;
}

void JobManager::write_reported_failures(const JobId& id) {
  Job& job = jobs_.at(id);
  if (!job.loaded) {
    return;
  }
  std::vector<std::pair<std::uint32_t, wire::ItemFailure>> unwritten;
  for (const auto& [index, progress] : job.item_progress) {
    const bool held = job.items[index] != ItemState::pending;
    if (progress.failure != wire::ItemFailure::None && !held && !job.failing_items.contains(index)) {
      unwritten.emplace_back(index, progress.failure);
    }
  }
  for (const auto& [index, failure] : unwritten) {
    if (!write_failure(id, index, failure)) {
      break;
    }
    counters_["batch_reported_failures_written_total"]++;
  }
}

bool JobManager::write_failure(const JobId& id, std::uint32_t index, wire::ItemFailure failure) {
  Job& job = jobs_.at(id);
  std::string body;
  if (!item_body(job, index, body)) {
    return false;
  }
  const auto item = wire::decode_record<wire::HttpItemT>(body);
  wire::ResultRecordT record;
  record.index = index;
  record.failed = true;
  record.failure = failure;
  record.body = failure_description(failure);
  record.attempt = environment_.random();
  record.item_id = item ? item->id : "";
  const wire::Bytes encoded = wire::encode_record(record);
  const auto first_stands = [encoded](const ledger::OptionalValue& current) {
    return current ? ledger::OptionalValue{} : ledger::OptionalValue(encoded);
  };
  job.failing_items.insert(index);
  ledger_.change(result_key(id, index), first_stands,
                 lifetime_.guard([this, id, index, failure](const Result<ledger::OptionalValue>& result) {
                   on_failure_written(id, index, failure, succeeded(result));
                 }));
  return true;
}

void JobManager::on_failure_written(const JobId& id, std::uint32_t index, wire::ItemFailure failure, bool written) {
  log_.record("item_failure_written", {{"job", id.str()},
                                       {"index", index},
                                       {"failure", item_failure_name(failure)},
                                       {"outcome", written ? "written" : "not_written"}});
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end()) {
    return;
  }
  entry->second.failing_items.erase(index);
  if (written) {
    settle(entry->second, index);
    append_order(id);
  }
}

std::vector<JobProgress> JobManager::progress() const {
  std::vector<JobProgress> all;
  for (const auto& [id, job] : jobs_) {
    all.push_back({id, job.record.items, job.settled, static_cast<std::uint32_t>(job.leases.size())});
  }
  return all;
}

}  // namespace madderdeck::batch
