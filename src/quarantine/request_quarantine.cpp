#include "quarantine/request_quarantine.hpp"

#include <algorithm>

namespace madderdeck::quarantine {
namespace {

using routing::request_fingerprint;

/// Calls that broke with one back end are told in one message.
constexpr Duration kTogether = 1ms;
/// Engines that ended under a request ended 20 to 110 ms after its run began. Most live replies take some 700 ms.
constexpr Duration kAdvanced = 250ms;
/// By then the engines that ended are back, and what ran beside the request has come to its end or is suspected itself.
constexpr UnixMilliseconds kRetrialAfterMs = 15'000;
/// About 20 KB.
constexpr std::size_t kMostInOneList = 128;
/// Between lists: nodes that differ for good, since one has no room, shall not do nothing else.
constexpr Duration kBetweenLists = 200ms;
/// A node that has just started asks again after it: a list of 20 KB has come back by then.
constexpr Duration kAskAgain = 50ms;
/// By then the comparisons have begun, and the node has found the others or has none.
constexpr Duration kAskFor = 5s;
/// A node that knows nothing has asked at its start instead; what it missed comes with the others' comparisons, too.
constexpr Duration kAskedInstead = 1'400ms;
/// What comes together is written together; a loss of power in between costs it.
constexpr Duration kKeepSoon = 20ms;
/// Apart from the keys of the ledger, which begin with other letters.
constexpr char kStoredKey[] = "q/suspected";

std::unique_ptr<wire::SuspectedRequestT> to_wire(const suspected_request& known) {
  auto message = std::make_unique<wire::SuspectedRequestT>();
  message->high = known.request.high();
  message->low = known.request.low();
  message->answered_at_ms = known.answered_at;
  message->held_back_at_ms = known.held_back_at;
  for (const backend_end& end : known.ends) {
    auto told = std::make_unique<wire::BackendEndT>();
    told->backend = end.backend.str();
    told->at_ms = end.at;
    told->advanced = end.advanced;
    message->ends.push_back(std::move(told));
  }
  return message;
}

suspected_request from_wire(const wire::SuspectedRequestT& message) {
  suspected_request told;
  told.request = {message.high, message.low};
  told.answered_at = message.answered_at_ms;
  told.held_back_at = message.held_back_at_ms;
  for (const auto& end : message.ends) {
    told.ends.push_back({BackendId(end->backend), end->at_ms, end->advanced});
  }
  return told;
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
          [this](const std::vector<request_fingerprint>& requests) { return news_of(requests); },
          guards.bound_answers) {
  detector_.on_late_end = lifetime_.guard([this](const routing::broken_call& call) { record_end(call); });
}

void request_quarantine::start() {
  started_at_ = environment_.now();
  ask_at_start();
  environment_.after(kCompare, lifetime_.guard([this] { compare(); }));
}

/// The first comparison may be lost, and the node would send on what others hold back.
void request_quarantine::ask_at_start() {
  if (answered_at_start_ || !guards_.tell_others || environment_.now() - started_at_ > kAskFor) {
    return;
  }
  const std::vector<PeerAddress> peers = senders_();
  if (!peers.empty()) {
    counters_["quarantine_asked_at_start_total"]++;
    send_shared(peers[environment_.random() % peers.size()], true);
  }
  environment_.after(kAskAgain, lifetime_.guard([this] { ask_at_start(); }));
}

void request_quarantine::keep_in(ledger::Storage& storage) {
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
    take(list->requests);
  }
  kept_digest_ = history_.digest();
}

void request_quarantine::mark_in(object_store::PlatformClient& platform) {
  if (!guards_.mark_in_store) {
    return;
  }
  marks_ = std::make_unique<held_back_marks>(
      environment_, counters_, log_, platform,
      [this](const std::vector<suspected_request>& marks) { take_marks(marks); },
      [this](const request_fingerprint& request) {
        const suspected_request* known = history_.find(request);
        return known == nullptr ? std::nullopt : std::optional(*known);
      });
  marks_->read();
}

void request_quarantine::take_marks(const std::vector<suspected_request>& marks) {
  for (const suspected_request& mark : marks) {
    take(mark, "read");
  }
}

/// A request that is held back and still came to a good end (a run that was under way) leaves the list again.
void request_quarantine::unmark(const request_fingerprint& request) {
  if (marks_ && marks_->holds(request) && history_.ends(request) < end_history::kEndsToHoldBack) {
    marks_->write(request);
  }
}

/// It is written again at the next change; the other nodes with a disk have the list, too.
void request_quarantine::note_unreadable(ErrorKind kind) {
  counters_["quarantine_stored_unreadable_total"]++;
  log_.record("quarantine_unreadable", {{"error", error_kind_name(kind)}});
}

/// Not with the next comparison only: all nodes may lose power before it.
void request_quarantine::keep_soon() {
  if (storage_ == nullptr || keeps_soon_) {
    return;
  }
  keeps_soon_ = true;
  environment_.after(kKeepSoon, lifetime_.guard([this] {
    keeps_soon_ = false;
    keep();
  }));
}

void request_quarantine::keep() {
  if (storage_ == nullptr || kept_digest_ == history_.digest()) {
    return;
  }
  kept_digest_ = history_.digest();
  storage_->put(kStoredKey, wire::encode_record(shared_list()));
  storage_->flush(lifetime_.guard([this](const Status& flushed) {
    if (!succeeded(flushed)) {
      kept_digest_ = 0;  // once more at the next comparison
      counters_["quarantine_not_stored_total"]++;
      log_.record("quarantine_not_stored", {{"error", error_kind_name(error_of(flushed).kind)}});
    }
  }));
}

bool request_quarantine::holds_back(const request_fingerprint& request, const std::string& id) {
  if (!guards_.hold_back || !history_.holds_back(request)) {
    return false;
  }
  if (!guards_.bound_answers && delivery_.awaits(request)) {
    return false;
  }
  const UnixMilliseconds now = environment_.unix_milliseconds();
  const suspected_request& known = *history_.find(request);
  log_.record("request_held_back", {{"request", id},
                                    {"fingerprint", request.str()},
                                    {"ends", known.ends.size()},
                                    {"age_ms", now - std::min(now, known.ends.back().at)}});
  counters_["quarantine_held_back_total"]++;
  history_.note_held_back(request, now);
  return true;
}

Duration request_quarantine::undecided_for(const request_fingerprint& request) const {
  const suspected_request* known = history_.find(request);
  const bool several = known != nullptr && known->ends.size() + 1 >= end_history::kEndsToHoldBack;
  if (!several || !guards_.hold_back || !guards_.await_news || known->ends.size() >= end_history::kMostEnds) {
    return Duration::zero();
  }
  const auto changed = changed_at_.find(request);
  if (changed == changed_at_.end()) {
    return Duration::zero();
  }
  const Duration patience = history_.is_ambiguous(request) ? kUndecidedAmong : kUndecided;
  return std::max(Duration::zero(), changed->second + patience - environment_.now());
}

void request_quarantine::note_change(const request_fingerprint& request) {
  const Timestamp now = environment_.now();
  std::erase_if(changed_at_, [now](const auto& entry) { return entry.second + kUndecidedAmong < now; });
  changed_at_[request] = now;
  keep_soon();
  note_released();
}

void request_quarantine::note_released() {
  std::erase_if(quarantined_, [this](const request_fingerprint& request) {
    if (history_.holds_back(request)) {
      return false;
    }
    note_verdict("request_released", request, "heard");
    return true;
  });
}

void request_quarantine::note_verdict(std::string_view event, const request_fingerprint& request,
                                      std::string_view learned) {
  const std::size_t ends = history_.ends(request);
  const std::optional<request_fingerprint> other = history_.shares_most(request);
  const bool fewer = ends < end_history::kEndsToHoldBack;
  log_.record(event, {{"fingerprint", request.str()},
                      {"ends", ends},
                      {"reason", fewer ? "acquitted" : (history_.is_ambiguous(request) ? "tied" : "explained")},
                      {"beside", other ? other->str() : std::string()},
                      {"beside_ends", other ? history_.ends(*other) : 0},
                      {"learned", learned}});
}

bool request_quarantine::allows_retrial(const request_fingerprint& request) const {
  const suspected_request* known = history_.find(request);
  const bool one_more = known != nullptr && known->ends.size() == end_history::kEndsToHoldBack;
  return one_more && known->ends.back().at + kRetrialAfterMs < environment_.unix_milliseconds();
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
  const bool before = history_.holds_back(call.request);
  const UnixMilliseconds now = environment_.unix_milliseconds();
  if (!history_.record(call.request, {call.backend, now, call.answered_for >= kAdvanced}, now)) {
    return;
  }
  counters_["quarantine_ends_recorded_total"]++;
  saw_end_.insert(call.request);
  note_change(call.request);
  note_if_held_back(call.request, before, "saw");
  tell(call.request);
}

void request_quarantine::call_answered(const request_fingerprint& request) {
  if (history_.acquit(request, environment_.unix_milliseconds())) {
    counters_["quarantine_acquitted_total"]++;
    log_.record("request_acquitted", {{"fingerprint", request.str()}});
    unmark(request);
    note_released();
    keep_soon();
    tell(request);
  }
}

void request_quarantine::note_if_held_back(const request_fingerprint& request, bool before, std::string_view learned) {
  if (before || history_.ends(request) < end_history::kEndsToHoldBack) {
    return;
  }
  // Not said before it is decided: what ran beside the request has as many ends for a moment.
  if (const Duration wait = undecided_for(request); wait > Duration::zero()) {
    environment_.after(wait, lifetime_.guard([this, request, learned] { note_if_held_back(request, false, learned); }));
    return;
  }
  const suspected_request& known = *history_.find(request);
  if (!history_.holds_back(request)) {
    note_verdict("request_not_quarantined", request, learned);
    return;
  }
  log_.record("request_quarantined",
              {{"fingerprint", request.str()},
               {"ends", known.ends.size()},
               {"first", known.ends.front().backend.str()},
               {"last", known.ends.back().backend.str()},
               {"between_ms", known.ends.back().at - std::min(known.ends.back().at, known.ends.front().at)},
               {"learned", learned}});
  counters_["quarantine_begun_total"]++;
  quarantined_.insert(request);
  if (marks_ && saw_end_.contains(request)) {
    marks_->write(request);
  }
}

void request_quarantine::tell(const request_fingerprint& request) {
  if (!guards_.tell_others) {
    return;
  }
  to_tell_.push_back(request);
  if (to_tell_.size() == 1) {
    environment_.after(kTogether, lifetime_.guard([this] { tell_waiting(); }));
  }
}

void request_quarantine::tell_waiting() {
  std::vector<request_fingerprint> waiting;
  std::swap(waiting, to_tell_);
  delivery_.tell(waiting);
}

wire::SuspicionNewsT request_quarantine::news_of(const std::vector<request_fingerprint>& requests) const {
  wire::SuspicionNewsT news;
  for (const request_fingerprint& request : requests) {
    if (const suspected_request* known = history_.find(request)) {
      news.requests.push_back(to_wire(*known));
    }
  }
  return news;
}

void request_quarantine::take(const std::vector<std::unique_ptr<wire::SuspectedRequestT>>& requests) {
  for (const auto& message : requests) {
    take(from_wire(*message), "heard");
  }
}

void request_quarantine::take(const suspected_request& told, std::string_view learned) {
  const bool before = history_.holds_back(told.request);
  if (history_.merge(told, environment_.unix_milliseconds())) {
    counters_["quarantine_news_taken_total"]++;
    note_change(told.request);
    note_if_held_back(told.request, before, learned);
  }
  unmark(told.request);
}

void request_quarantine::handle(const PeerAddress& sender, const wire::SuspicionNewsT& message) {
  take(message.requests);
  if (message.number == 0) {
    return;  // of a node that asks for no answer
  }
  wire::SuspicionTakenT taken;
  taken.number = message.number;
  send_message(environment_, sender, std::move(taken));
  answer_with_more(sender, message);
}

void request_quarantine::handle(const PeerAddress& sender, const wire::SuspicionTakenT& message) {
  delivery_.taken(sender, message.number);
}

/// A node that missed an end tells of the next one without it: it learns with the answer, not with a comparison 200 ms
/// later.
void request_quarantine::answer_with_more(const PeerAddress& sender, const wire::SuspicionNewsT& message) {
  std::vector<request_fingerprint> more;
  for (const auto& told : message.requests) {
    const request_fingerprint request{told->high, told->low};
    if (history_.ends(request) > told->ends.size()) {
      more.push_back(request);
    }
  }
  if (!more.empty()) {
    counters_["quarantine_answered_with_more_total"]++;
    send_message(environment_, sender, news_of(more));
  }
}

void request_quarantine::compare() {
  const Duration pause = history_.digest() == 0 ? kCompare : kCompareKnown;
  environment_.after(pause, lifetime_.guard([this] { compare(); }));
  history_.forget_old(environment_.unix_milliseconds());
  std::erase_if(saw_end_, [this](const request_fingerprint& request) { return history_.ends(request) == 0; });
  keep();
  counters_["quarantine_requests_known"] = static_cast<CounterValue>(history_.size());
  counters_["quarantine_requests_held_back"] = static_cast<CounterValue>(history_.held_back());
  const std::vector<PeerAddress> peers = senders_();
  const bool asked_just_now = history_.digest() == 0 && environment_.now() - started_at_ < kAskedInstead;
  if (peers.empty() || asked_just_now || !guards_.tell_others) {
    return;
  }
  wire::SuspicionDigestT message;
  message.digest = history_.digest();
  send_message(environment_, peers[environment_.random() % peers.size()], std::move(message));
}

void request_quarantine::handle(const PeerAddress& sender, const wire::SuspicionDigestT& message) {
  const bool too_soon = sent_shared_at_.count() != 0 && environment_.now() - sent_shared_at_ < kBetweenLists;
  if (message.digest == history_.digest() || too_soon || !guards_.tell_others) {
    return;
  }
  sent_shared_at_ = environment_.now();
  send_shared(sender, true);
}

wire::SuspicionSyncT request_quarantine::shared_list() const {
  wire::SuspicionSyncT list;
  for (const suspected_request& known : history_.shared(kMostInOneList)) {
    list.requests.push_back(to_wire(known));
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
  take(message.requests);
  if (message.reply) {
    send_shared(sender, false);
  } else {
    answered_at_start_ = true;
  }
}

}  // namespace madderdeck::quarantine
