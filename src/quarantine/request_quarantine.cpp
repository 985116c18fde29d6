#include "quarantine/request_quarantine.hpp"

#include <algorithm>

namespace madderdeck::quarantine {
namespace {

using routing::request_fingerprint;

/// Changes within this time share one message, so that calls that broke with one back end are sent together.
constexpr Duration kBatchWindow = 1ms;
/// A run that had produced output for this long is taken as an unlikely cause. Engines that a request crashed
/// terminated 20 to 110 ms after its run began, and most live replies take some 700 ms.
constexpr Duration kAdvancedAfter = 250ms;
/// Entries per list, about 20 KB.
constexpr std::size_t kMaxRequestsPerList = 128;
/// Minimum time between lists sent after a comparison. Nodes can differ permanently if one has no room for an entry;
/// they must not exchange lists without pause.
constexpr Duration kMinListInterval = 200ms;
/// A node that has just started repeats its request for a list after this time, which suffices to receive 20 KB.
constexpr Duration kListRequestInterval = 50ms;
/// How long a node requests lists after its start. By then comparisons have begun, and the node has joined the fleet or
/// is alone.
constexpr Duration kListRequestPeriod = 5s;
/// For this time after its start a node without entries starts no comparison, since it requests lists instead. It also
/// receives missed entries through comparisons that other nodes start.
constexpr Duration kNoComparisonAfterStart = 1'400ms;
/// Delay of a write to disk, so that changes within it are written together. They are lost if power fails before.
constexpr Duration kStoreDelay = 20ms;
/// Key in the node's storage. The keys of the ledger begin with other letters.
constexpr char kStoredKey[] = "q/suspected";

std::unique_ptr<wire::SuspectedRequestT> to_wire(const crash_suspect& known) {
  auto message = std::make_unique<wire::SuspectedRequestT>();
  message->high = known.fingerprint.high();
  message->low = known.fingerprint.low();
  message->answered_at_ms = known.answered_at;
  message->held_back_at_ms = known.held_back_at;
  message->rank = known.rank;
  message->trials = known.trials;
  message->tried_at_ms = known.tried_at;
  for (const backend_termination& end : known.ends) {
    auto reported = std::make_unique<wire::BackendEndT>();
    reported->backend = end.backend.str();
    reported->at_ms = end.at;
    reported->advanced = end.advanced;
    reported->carrier = end.carrier;
    message->ends.push_back(std::move(reported));
  }
  return message;
}

crash_suspect from_wire(const wire::SuspectedRequestT& message, suspect_kind kind) {
  crash_suspect reported;
  reported.kind = kind;
  reported.fingerprint = {message.high, message.low};
  reported.rank = message.rank;
  reported.trials = message.trials;
  reported.tried_at = message.tried_at_ms;
  reported.answered_at = message.answered_at_ms;
  reported.held_back_at = message.held_back_at_ms;
  for (const auto& end : message.ends) {
    reported.ends.push_back({BackendId(end->backend), end->at_ms, end->advanced, end->carrier});
  }
  return reported;
}

suspect_id part_id(const routing::prompt_part_suspect& part) {
  return {part.fingerprint, suspect_kind::prompt_part, part.rank};
}

/// Messages and stored lists have prompt parts apart, since earlier versions would take them for requests.
template <class Message>
void add_to(Message& message, const crash_suspect& known) {
  (known.kind == suspect_kind::request ? message.requests : message.prompt_parts).push_back(to_wire(known));
}

}  // namespace

request_quarantine::request_quarantine(Environment& environment, Counters& counters, DecisionLog& log,
                                       end_detector& detector, peers senders, leaving is_leaving,
                                       quarantine_guards guards)
    : environment_(environment),
      counters_(counters),
      log_(log),
      detector_(detector),
      senders_(std::move(senders)),
      is_leaving_(std::move(is_leaving)),
      guards_(guards),
      delivery_(
          environment, counters, log, senders_,
          [this](const std::vector<request_fingerprint>& requests) { return compose_news(requests); },
          guards.abandon_unacknowledged) {
  detector_.on_late_end = lifetime_.guard([this](const routing::broken_call& call) { record_end(call); });
}

void request_quarantine::start() {
  started_at_ = environment_.now();
  request_list_at_start();
  environment_.after(kCompareInterval, lifetime_.guard([this] { compare(); }));
}

/// A single comparison may be lost, and the node would then send requests that other nodes quarantine.
void request_quarantine::request_list_at_start() {
  if (list_received_ || !guards_.report_terminations || environment_.now() - started_at_ > kListRequestPeriod) {
    return;
  }
  const std::vector<PeerAddress> peers = senders_();
  if (!peers.empty()) {
    counters_["quarantine_asked_at_start_total"]++;
    send_shared(peers[environment_.random() % peers.size()], true);
  }
  environment_.after(kListRequestInterval, lifetime_.guard([this] { request_list_at_start(); }));
}

void request_quarantine::store_in(ledger::Storage& storage) {
  storage_ = &storage;
  const Result<std::optional<wire::Bytes>> stored = storage.get(kStoredKey);
  if (!succeeded(stored)) {
    note_unreadable(error_of(stored).kind);
    return;
  }
  if (const std::optional<wire::Bytes>& bytes = value_of(stored)) {
    const auto list = wire::decode_record<wire::SuspicionSyncT>(*bytes);
    if (!list) {
      note_unreadable(ErrorKind::corrupted);
      return;
    }
    merge_reports(*list);
  }
  stored_digest_ = history_.digest();
}

void request_quarantine::list_in_store(object_store::PlatformClient& platform) {
  if (!guards_.list_in_store_enabled) {
    return;
  }
  marks_ = std::make_unique<held_back_marks>(
      environment_, counters_, log_, platform, [this](const std::vector<crash_suspect>& marks) { merge_marks(marks); },
      [this](const request_fingerprint& request) {
        const crash_suspect* known = history_.find(request);
        return known == nullptr ? std::nullopt : std::optional(*known);
      });
  marks_->read();
}

void request_quarantine::merge_marks(const std::vector<crash_suspect>& marks) {
  for (const crash_suspect& mark : marks) {
    merge_report(mark, "read");
  }
}

/// Removes a request from the list in the platform's store after one of its runs, already under way when it was
/// quarantined, completed successfully.
void request_quarantine::remove_mark_if_released(const request_fingerprint& request) {
  if (marks_ && marks_->holds(request) && history_.ends(request) < end_history::kEndsToHoldBack) {
    marks_->write(request);
  }
}

/// An unreadable list is replaced at the next change; the other nodes with a disk have the list as well.
void request_quarantine::note_unreadable(ErrorKind kind) {
  counters_["quarantine_stored_unreadable_total"]++;
  log_.record("quarantine_unreadable", {{"error", error_kind_name(kind)}});
}

/// Does not wait for the next comparison, since all nodes may lose power before it.
void request_quarantine::schedule_store() {
  if (storage_ == nullptr || store_scheduled_) {
    return;
  }
  store_scheduled_ = true;
  environment_.after(kStoreDelay, lifetime_.guard([this] {
    store_scheduled_ = false;
    store_list();
  }));
}

void request_quarantine::store_list() {
  if (storage_ == nullptr || stored_digest_ == history_.digest()) {
    return;
  }
  stored_digest_ = history_.digest();
  storage_->put(kStoredKey, wire::encode_record(shared_list()));
  storage_->flush(lifetime_.guard([this](const Status& flushed) {
    if (!succeeded(flushed)) {
      stored_digest_ = 0;  // retry at the next comparison
      counters_["quarantine_not_stored_total"]++;
      log_.record("quarantine_not_stored", {{"error", error_kind_name(error_of(flushed).kind)}});
    }
  }));
}

bool request_quarantine::is_quarantined(const routing::crash_suspects& call, const std::string& id,
                                        routing::send_stage stage) {
  if (holds_back(call.request) && !may_try_request(call.request, id, stage)) {
    note_held_back(call.request, id);
    return true;
  }
  const auto held = std::find_if(call.prompt_parts.begin(), call.prompt_parts.end(), [&](const auto& part) {
    return holds_back(part.fingerprint) && !may_try(part.fingerprint, id);
  });
  if (held == call.prompt_parts.end()) {
    return false;
  }
  note_held_back(held->fingerprint, id);
  return true;
}

bool request_quarantine::holds_back(const request_fingerprint& suspect) const {
  if (!guards_.hold_back || !history_.is_quarantined(suspect)) {
    return false;
  }
  if (!guards_.abandon_unacknowledged && delivery_.awaits_acknowledgement(suspect)) {
    return false;
  }
  const crash_suspect& known = *history_.find(suspect);
  if (known.kind == suspect_kind::request) {
    return true;
  }
  const bool is_decided = quarantined_.contains(suspect) || part_undecided_wait(known) <= Duration::zero();
  return guards_.hold_back_parts && is_decided;
}

void request_quarantine::note_held_back(const request_fingerprint& suspect, const std::string& id) {
  const UnixMilliseconds now = environment_.unix_milliseconds();
  const crash_suspect& known = *history_.find(suspect);
  log_.record("request_held_back", {{"request", id},
                                    {"fingerprint", suspect.str()},
                                    {"kind", suspect_kind_name(known.kind)},
                                    {"ends", known.ends.size()},
                                    {"age_ms", now - std::min(now, known.ends.back().at)}});
  counters_["quarantine_held_back_total"]++;
  counters_["quarantine_held_back_by_prompt_part_total"] += known.kind == suspect_kind::prompt_part ? 1 : 0;
  history_.note_held_back(suspect, now);
}

/// A part that was proven is in many requests, of which one that runs on elsewhere soon acquits it.
Duration request_quarantine::part_undecided_wait(const crash_suspect& part) const {
  const auto changed = changed_at_.find(part.fingerprint);
  Duration wait = changed == changed_at_.end() || !guards_.await_reports
                      ? Duration::zero()
                      : changed->second + kUndecidedTime - environment_.now();
  if (end_history::is_proven(part)) {
    const UnixMilliseconds due = std::max(part.answered_at, part.ends.front().at) + kUndecidedTimeIfProven / 1ms;
    const UnixMilliseconds now = environment_.unix_milliseconds();
    wait = std::max(wait, Duration(std::chrono::milliseconds(due - std::min(due, now))));
  }
  return std::max(Duration::zero(), wait);
}

bool request_quarantine::is_running_trial(const request_fingerprint& suspect, const std::string& id) const {
  const auto running = trials_.find(suspect);
  return running != trials_.end() && running->second.request == id && environment_.now() < running->second.ends_at;
}

bool request_quarantine::may_try(const request_fingerprint& part, const std::string& id) {
  if (is_running_trial(part, id)) {
    return true;
  }
  if (environment_.unix_milliseconds() < trial_due_at(*history_.find(part))) {
    return false;
  }
  begin_trial(part, id);
  return true;
}

/// A request that is sent often is on all back ends, so that they may all have ended under it by chance. Its trial
/// waits for a back end; since many nodes may find one at the same moment, each waits for a random time from then on.
bool request_quarantine::may_try_request(const request_fingerprint& request, const std::string& id,
                                         routing::send_stage stage) {
  if (!guards_.try_requests) {
    return false;
  }
  if (is_running_trial(request, id)) {
    return true;
  }
  const crash_suspect& known = *history_.find(request);
  const UnixMilliseconds now = environment_.unix_milliseconds();
  const UnixMilliseconds due = std::max(known.tried_at, known.ends.back().at) + trial_pause(known) / 1ms;
  if (now < due) {
    return false;
  }
  if (stage == routing::send_stage::before_choice) {
    return true;
  }
  trial_offset& offset = trial_offsets_[request];
  if (offset.due != due) {
    offset = {due, now - due + draw_trial_offset()};
  }
  if (now < due + offset.milliseconds) {
    return false;
  }
  begin_trial(request, id);
  return true;
}

void request_quarantine::begin_trial(const request_fingerprint& suspect, const std::string& id) {
  const UnixMilliseconds now = environment_.unix_milliseconds();
  if (history_.find(suspect)->kind == suspect_kind::request) {
    history_.note_trial_begun(suspect, now);
  } else {
    history_.note_trial(suspect, now);
  }
  trials_[suspect] = {id, environment_.now() + kTrialTime};
  const crash_suspect& known = *history_.find(suspect);
  log_.record("suspect_tried", {{"request", id},
                                {"fingerprint", suspect.str()},
                                {"kind", suspect_kind_name(known.kind)},
                                {"trials", known.trials},
                                {"proven", end_history::is_proven(known)},
                                {"age_ms", now - std::min(now, known.ends.back().at)}});
  counters_[known.kind == suspect_kind::request ? "quarantine_request_trials_total"
                                                : "quarantine_prompt_part_trials_total"]++;
  queue_report(suspect);
}

/// The first part of prompts is in most requests of a route: to hold it back by mistake costs most.
bool request_quarantine::is_uncertain(const crash_suspect& suspect) const {
  if (end_history::is_proven(suspect)) {
    return true;
  }
  return suspect.kind == suspect_kind::prompt_part && (suspect.rank == 0 || history_.is_contested(suspect));
}

Duration request_quarantine::trial_pause(const crash_suspect& suspect) const {
  Duration pause = is_uncertain(suspect) ? kFirstTrialIfUncertain : kFirstTrial;
  for (std::uint32_t trial = 0; trial < suspect.trials && pause < kMaxTrialPause; ++trial) {
    pause *= kTrialPauseGrowth;
  }
  return std::min(pause, kMaxTrialPause);
}

UnixMilliseconds request_quarantine::draw_trial_offset() {
  const Duration spread = std::max(kMinTrialSpread, kTrialSpreadPerPeer * static_cast<int>(senders_().size()));
  return environment_.random() % static_cast<std::uint64_t>(spread / 1ms);
}

UnixMilliseconds request_quarantine::trial_due_at(const crash_suspect& part) {
  const UnixMilliseconds since = std::max(part.tried_at, part.ends.back().at);
  const UnixMilliseconds due = since + trial_pause(part) / 1ms;
  trial_offset& offset = trial_offsets_[part.fingerprint];
  if (offset.due != due) {
    offset = {due, draw_trial_offset()};
  }
  return due + offset.milliseconds;
}

bool request_quarantine::suspects(const routing::crash_suspects& call) const {
  return history_.ends(call.request) > 0 ||
         std::any_of(call.prompt_parts.begin(), call.prompt_parts.end(), [this](const auto& part) {
           const crash_suspect* known = history_.find(part.fingerprint);
           return known != nullptr && !known->ends.empty() && !end_history::is_proven(*known);
         });
}

Duration request_quarantine::undecided_wait(const routing::crash_suspects& call) const {
  const request_fingerprint& request = call.request;
  const crash_suspect* known = history_.find(request);
  const bool several = known != nullptr && known->ends.size() + 1 >= end_history::kEndsToHoldBack;
  if (!several || !guards_.hold_back || !guards_.await_reports || known->ends.size() >= end_history::kMaxEnds) {
    return Duration::zero();
  }
  const auto changed = changed_at_.find(request);
  if (changed == changed_at_.end()) {
    return Duration::zero();
  }
  const Duration undecided_time = history_.is_ambiguous(request) ? kUndecidedTimeIfAmbiguous : kUndecidedTime;
  return std::max(Duration::zero(), changed->second + undecided_time - environment_.now());
}

void request_quarantine::on_entry_changed(const request_fingerprint& request) {
  const Timestamp now = environment_.now();
  std::erase_if(changed_at_, [now](const auto& entry) { return entry.second + kUndecidedTimeIfAmbiguous < now; });
  changed_at_[request] = now;
  schedule_store();
  log_released();
}

void request_quarantine::log_released() {
  std::erase_if(quarantined_, [this](const request_fingerprint& request) {
    if (history_.is_quarantined(request)) {
      return false;
    }
    log_not_held_back("request_released", request, "heard");
    return true;
  });
}

void request_quarantine::log_not_held_back(std::string_view event, const request_fingerprint& request,
                                           std::string_view learned) {
  const std::size_t ends = history_.ends(request);
  const std::optional<request_fingerprint> other = history_.request_sharing_most_ends(request);
  const bool fewer = ends < end_history::kEndsToHoldBack;
  log_.record(event, {{"fingerprint", request.str()},
                      {"ends", ends},
                      {"reason", fewer ? "acquitted" : (history_.is_ambiguous(request) ? "tied" : "explained")},
                      {"beside", other ? other->str() : std::string()},
                      {"beside_ends", other ? history_.ends(*other) : 0},
                      {"learned", learned}});
}

void request_quarantine::call_broke(const routing::broken_call& call, decided done) {
  detector_.call_broke(call, lifetime_.guard([this, call, done = std::move(done)](bool ended) {
    if (ended) {
      record_end(call);
    }
    done(ended);
  }));
}

void request_quarantine::record_end(const routing::broken_call& call) {
  if (is_leaving_(call.backend)) {
    return;
  }
  counters_["quarantine_ends_with_prompt_parts_total"] += call.suspects.prompt_parts.empty() ? 0 : 1;
  backend_termination end{call.backend, environment_.unix_milliseconds(), call.answered_for >= kAdvancedAfter};
  history_.note_answered({call.suspects.request}, request_good_ends_.last_answer(call.suspects.request));
  record_end({call.suspects.request}, end);
  end_trial(call);
  end.carrier = call.suspects.request.low();
  for (const routing::prompt_part_suspect& part : call.suspects.prompt_parts) {
    history_.note_answered(part_id(part), part_good_ends_.last_answer(part.fingerprint));
    record_end(part_id(part), end);
  }
}

/// A trial that was not sent, or that came to no end of its back end, does not put off the next one.
void request_quarantine::end_trial(const routing::broken_call& call) {
  const request_fingerprint& request = call.suspects.request;
  if (!is_running_trial(request, call.id)) {
    return;
  }
  trials_.erase(request);
  history_.note_trial(request, environment_.unix_milliseconds());
  counters_["quarantine_request_trials_failed_total"]++;
  log_.record("request_trial_failed", {{"request", call.id},
                                       {"fingerprint", request.str()},
                                       {"backend", call.backend.str()},
                                       {"trials", history_.find(request)->trials}});
  queue_report(request);
}

void request_quarantine::record_end(const suspect_id& suspect, const backend_termination& end) {
  const request_fingerprint& fingerprint = suspect.fingerprint;
  const bool before = history_.is_quarantined(fingerprint);
  if (!history_.record(suspect, end, end.at)) {
    return;
  }
  counters_["quarantine_ends_recorded_total"] += suspect.kind == suspect_kind::request ? 1 : 0;
  if (suspect.kind == suspect_kind::prompt_part) {
    trials_.erase(fingerprint);
  }
  ends_seen_here_.insert(fingerprint);
  on_entry_changed(fingerprint);
  hold_back_when_decided(fingerprint, before, "saw");
  queue_report(fingerprint);
}

void request_quarantine::call_answered(const routing::crash_suspects& call) {
  const UnixMilliseconds now = environment_.unix_milliseconds();
  request_good_ends_.note_answer(call.request, now);
  acquit(call.request, now);
  for (const routing::prompt_part_suspect& part : call.prompt_parts) {
    if (guards_.acquit_parts) {
      part_good_ends_.note_answer(part.fingerprint, now);
      acquit(part.fingerprint, now);
    }
  }
}

void request_quarantine::acquit(const request_fingerprint& suspect, UnixMilliseconds at) {
  if (!history_.clear_ends_until(suspect, at)) {
    return;
  }
  counters_["quarantine_acquitted_total"]++;
  log_.record("request_acquitted",
              {{"fingerprint", suspect.str()}, {"kind", suspect_kind_name(history_.find(suspect)->kind)}});
  trials_.erase(suspect);
  remove_mark_if_released(suspect);
  log_released();
  schedule_store();
  queue_report(suspect);
}

void request_quarantine::hold_back_when_decided(const request_fingerprint& request, bool before,
                                                std::string_view learned) {
  if (before || history_.ends(request) < end_history::kEndsToHoldBack) {
    return;
  }
  const crash_suspect& known = *history_.find(request);
  const bool is_part = known.kind == suspect_kind::prompt_part;
  // Wait until the suspect is decided: for a moment, harmless ones that ran beside it have as many terminations.
  const Duration wait = is_part ? part_undecided_wait(known) : undecided_wait(request);
  if (wait > Duration::zero()) {
    environment_.after(wait,
                       lifetime_.guard([this, request, learned] { hold_back_when_decided(request, false, learned); }));
    return;
  }
  if (!history_.is_quarantined(request)) {
    if (!is_part) {  // common parts are on every back end that terminates
      log_not_held_back("request_not_quarantined", request, learned);
    }
    return;
  }
  if (!quarantined_.insert(request).second) {
    return;
  }
  log_.record("request_quarantined",
              {{"fingerprint", request.str()},
               {"kind", suspect_kind_name(known.kind)},
               {"ends", known.ends.size()},
               {"first", known.ends.front().backend.str()},
               {"last", known.ends.back().backend.str()},
               {"between_ms", known.ends.back().at - std::min(known.ends.back().at, known.ends.front().at)},
               {"learned", learned}});
  counters_["quarantine_begun_total"]++;
  if (marks_ && ends_seen_here_.contains(request)) {
    marks_->write(request);
  }
  if (on_quarantined) {
    on_quarantined();
  }
}

void request_quarantine::queue_report(const request_fingerprint& request) {
  if (!guards_.report_terminations) {
    return;
  }
  to_send_.push_back(request);
  if (to_send_.size() == 1) {
    environment_.after(kBatchWindow, lifetime_.guard([this] { send_waiting(); }));
  }
}

void request_quarantine::send_waiting() {
  std::vector<request_fingerprint> waiting;
  std::swap(waiting, to_send_);
  delivery_.send_to_all(waiting);
}

wire::SuspicionNewsT request_quarantine::compose_news(const std::vector<request_fingerprint>& requests) const {
  wire::SuspicionNewsT news;
  for (const request_fingerprint& request : requests) {
    if (const crash_suspect* known = history_.find(request)) {
      add_to(news, *known);
    }
  }
  return news;
}

template <class Message>
void request_quarantine::merge_reports(const Message& message) {
  for (const auto& reported : message.requests) {
    merge_report(from_wire(*reported, suspect_kind::request), "heard");
  }
  for (const auto& reported : message.prompt_parts) {
    merge_report(from_wire(*reported, suspect_kind::prompt_part), "heard");
  }
}

/// Not each node that knows a good end tells the others: only one that makes a difference.
void request_quarantine::tell_good_end(const request_fingerprint& suspect) {
  const crash_suspect* known = history_.find(suspect);
  if (known == nullptr) {
    return;
  }
  const good_ends& of_kind = known->kind == suspect_kind::request ? request_good_ends_ : part_good_ends_;
  const UnixMilliseconds at = of_kind.last_answer(suspect);
  if (at <= known->answered_at) {
    return;
  }
  const bool was_unproven = known->answered_at == 0;
  if (history_.clear_ends_until(suspect, at) || was_unproven) {
    queue_report(suspect);
  }
}

void request_quarantine::merge_report(const crash_suspect& reported, std::string_view learned) {
  const bool before = history_.is_quarantined(reported.fingerprint);
  if (history_.merge(reported, environment_.unix_milliseconds())) {
    counters_["quarantine_news_taken_total"]++;
    on_entry_changed(reported.fingerprint);
    hold_back_when_decided(reported.fingerprint, before, learned);
  }
  tell_good_end(reported.fingerprint);
  remove_mark_if_released(reported.fingerprint);
}

void request_quarantine::handle(const PeerAddress& sender, const wire::SuspicionNewsT& message) {
  merge_reports(message);
  if (message.number == 0) {
    return;  // the sender requests no acknowledgement
  }
  wire::SuspicionTakenT taken;
  taken.number = message.number;
  send_message(environment_, sender, std::move(taken));
  send_missing_ends(sender, message);
}

void request_quarantine::handle(const PeerAddress& sender, const wire::SuspicionTakenT& message) {
  delivery_.on_acknowledged(sender, message.number);
}

/// A sender whose entry has fewer terminations has missed some. The answer delivers them without waiting for a
/// comparison, up to 200 ms later.
void request_quarantine::send_missing_ends(const PeerAddress& sender, const wire::SuspicionNewsT& message) {
  std::vector<request_fingerprint> more;
  for (const auto* list : {&message.requests, &message.prompt_parts}) {
    for (const auto& reported : *list) {
      const request_fingerprint suspect{reported->high, reported->low};
      if (history_.ends(suspect) > reported->ends.size()) {
        more.push_back(suspect);
      }
    }
  }
  if (!more.empty()) {
    counters_["quarantine_answered_with_more_total"]++;
    send_message(environment_, sender, compose_news(more));
  }
}

void request_quarantine::compare() {
  const Duration pause = history_.digest() == 0 ? kCompareInterval : kCompareIntervalWithEntries;
  environment_.after(pause, lifetime_.guard([this] { compare(); }));
  history_.forget_old(environment_.unix_milliseconds());
  std::erase_if(ends_seen_here_, [this](const request_fingerprint& request) { return history_.ends(request) == 0; });
  std::erase_if(trials_, [this](const auto& entry) { return environment_.now() >= entry.second.ends_at; });
  std::erase_if(trial_offsets_, [this](const auto& entry) { return history_.ends(entry.first) == 0; });
  store_list();
  counters_["quarantine_requests_known"] = static_cast<CounterValue>(history_.size());
  counters_["quarantine_requests_held_back"] = static_cast<CounterValue>(history_.held_back());
  counters_["quarantine_prompt_parts_held_back"] =
      static_cast<CounterValue>(history_.held_back(suspect_kind::prompt_part));
  const std::vector<PeerAddress> peers = senders_();
  const bool requests_lists = history_.digest() == 0 && environment_.now() - started_at_ < kNoComparisonAfterStart;
  if (peers.empty() || requests_lists || !guards_.report_terminations) {
    return;
  }
  wire::SuspicionDigestT message;
  message.digest = history_.digest(suspect_kind::request);
  message.prompt_part_digest = history_.digest(suspect_kind::prompt_part);
  send_message(environment_, peers[environment_.random() % peers.size()], std::move(message));
}

void request_quarantine::handle(const PeerAddress& sender, const wire::SuspicionDigestT& message) {
  const bool too_soon = sent_shared_at_.count() != 0 && environment_.now() - sent_shared_at_ < kMinListInterval;
  const bool equal = message.digest == history_.digest(suspect_kind::request) &&
                     message.prompt_part_digest == history_.digest(suspect_kind::prompt_part);
  if (equal || too_soon || !guards_.report_terminations) {
    return;
  }
  sent_shared_at_ = environment_.now();
  send_shared(sender, true);
}

wire::SuspicionSyncT request_quarantine::shared_list() const {
  wire::SuspicionSyncT list;
  for (const crash_suspect& known : history_.shared(kMaxRequestsPerList)) {
    add_to(list, known);
  }
  return list;
}

void request_quarantine::send_shared(const PeerAddress& to, bool reply) {
  wire::SuspicionSyncT message = shared_list();
  message.reply = reply;
  counters_["quarantine_lists_sent_total"]++;
  send_message(environment_, to, std::move(message));
}

void request_quarantine::handle(const PeerAddress& sender, const wire::SuspicionSyncT& message) {
  merge_reports(message);
  if (message.reply) {
    send_shared(sender, false);
  } else {
    list_received_ = true;
  }
}

}  // namespace madderdeck::quarantine
