#include "ledger/replica_journal.hpp"

#include <algorithm>
#include <set>

namespace madderdeck::ledger {
namespace {

constexpr Duration kReportCheckInterval = 1s;
/// Interval between log lines about a copy; it doubles while nothing arrives.
constexpr Duration kCopyReportInterval = 5s;
constexpr Duration kMaxCopyReportInterval = 80s;
/// Nodes that need a group's records retry within some seconds.
constexpr Duration kUnaskedReportDelay = 10s;
constexpr Duration kMaxUnaskedReportPause = 640s;
constexpr std::size_t kMaxUnaskedGroupsLogged = 8;

}  // namespace

replica_journal::replica_journal(Environment& environment, DecisionLog& log, Replica& replica)
    : environment_(environment), log_(log), replica_(replica) {}

void replica_journal::start() {
  replica_.on_epoch = [this](const epoch_step& step) { report_epoch(step); };
  replica_.on_copy_begun = [this](std::uint32_t group, std::uint64_t epoch) { report_copy_begun(group, epoch); };
  replica_.on_unreadable = [this](std::optional<std::uint32_t> group, const Error& error) {
    log_.record("group_state_unreadable", {{"group", group ? std::to_string(*group) : "all"},
                                           {"error", error_kind_name(error.kind)},
                                           {"detail", error.detail}});
  };
  replica_.on_admitted = [this](std::uint32_t group, std::uint64_t epoch) { report_admitted(group, epoch); };
  replica_.on_place_answered = [this](const place_offer& offer, wire::PlaceConsent answer) {
    report_place_answered(offer, answer);
  };
  report_unasked_groups();
}

void replica_journal::report_place_answered(const place_offer& offer, wire::PlaceConsent answer) {
  const auto reported = std::pair(offer.epoch, answer);
  if (std::exchange(reported_places_[offer.group], reported) == reported) {
    return;
  }
  log_.record("place_answered", {{"group", offer.group},
                                 {"epoch", offer.epoch},
                                 {"answer", name_of(answer)},
                                 {"known_epoch", replica_.known_epoch(offer.group)},
                                 {"although_retiring", offer.although_retiring},
                                 {"gives_up", offer.gives_up ? text_of(*offer.gives_up) : ""}});
}

void replica_journal::report_epoch(const epoch_step& step) {
  const bool at_start = step.from_epoch == step.description.epoch;
  log_.record(at_start ? "epoch_restored" : "epoch_adopted", {{"group", step.group},
                                                              {"from_epoch", step.from_epoch},
                                                              {"epoch", step.description.epoch},
                                                              {"role", name_of(step.role)},
                                                              {"copies_for", name_of(step.reason)},
                                                              {"members", text_of(step.description.replicas)},
                                                              {"leaving", text_of(step.description.leaving)}});
}

void replica_journal::report_copy_begun(std::uint32_t group, std::uint64_t epoch) {
  const copy_progress& copy = *replica_.copy_of(group);
  reported_copy& reported = copies_[group];
  if (reported.began_at != copy.began_at || reported.pause.count() == 0) {
    reported = {copy.began_at, environment_.now() + kCopyReportInterval, kCopyReportInterval, 0};
    std::vector<ReplicaIdentity> sources;
    for (const awaited_source& source : replica_.awaited_sources(group)) {
      sources.push_back(source.identity);
    }
    // A voting member catches up after each start and each false alarm; this is logged only if it takes long.
    if (copy.to_vote && !sources.empty()) {
      log_.record("replica_copy_begun", {{"group", group}, {"epoch", epoch}, {"sources", text_of(sources)}});
    }
  }
  schedule_copy_report();
}

void replica_journal::report_admitted(std::uint32_t group, std::uint64_t epoch) {
  const copy_progress* copy = replica_.copy_of(group);
  const source_progress total = copy == nullptr ? source_progress{} : copy->total();
  const Duration took = copy == nullptr ? Duration{} : environment_.now() - copy->began_at;
  log_.record("replica_admitted", {{"group", group},
                                   {"epoch", epoch},
                                   {"took_ms", took / 1ms},
                                   {"pages", total.pages},
                                   {"records", total.records},
                                   {"bytes", total.bytes},
                                   {"restarts", copy == nullptr ? 0 : copy->restarts}});
}

void replica_journal::report_unasked_groups() {
  environment_.after(kReportCheckInterval, lifetime_.guard([this] { report_unasked_groups(); }));
  const Timestamp now = environment_.now();
  const std::vector<Replica::unasked> unasked = replica_.list_unasked(now - kUnaskedReportDelay);
  if (unasked.empty()) {
    unasked_pause_ = Duration::zero();
    next_unasked_report_at_ = Timestamp{};
    return;
  }
  if (now < next_unasked_report_at_) {
    return;
  }
  std::string named;
  for (std::size_t index = 0; index < std::min(unasked.size(), kMaxUnaskedGroupsLogged); ++index) {
    const Replica::unasked& one = unasked[index];
    named += (named.empty() ? "group " : ", group ") + std::to_string(one.group) + " epoch " +
             std::to_string(one.epoch) + " for " + std::to_string((now - one.since) / 1ms) + " ms";
  }
  log_.record("replica_unasked", {{"groups", unasked.size()}, {"unasked", named}});
  unasked_pause_ =
      unasked_pause_.count() == 0 ? kUnaskedReportDelay : std::min(unasked_pause_ * 2, kMaxUnaskedReportPause);
  next_unasked_report_at_ = now + unasked_pause_;
}

void replica_journal::schedule_copy_report() {
  if (copy_report_scheduled_) {
    return;
  }
  copy_report_scheduled_ = true;
  environment_.after(kReportCheckInterval, lifetime_.guard([this] {
    copy_report_scheduled_ = false;
    report_due_copies();
  }));
}

void replica_journal::report_due_copies() {
  std::erase_if(copies_, [this](const auto& entry) { return replica_.awaited_sources(entry.first).empty(); });
  for (auto& [group, reported] : copies_) {
    const copy_progress* copy = replica_.copy_of(group);
    if (copy == nullptr || environment_.now() < reported.next_report_at) {
      continue;
    }
    report_progress(group, *copy);
    const std::uint64_t pages = copy->total().pages;
    reported.pause =
        pages != reported.pages ? kCopyReportInterval : std::min(reported.pause * 2, kMaxCopyReportInterval);
    reported.pages = pages;
    reported.next_report_at = environment_.now() + reported.pause;
  }
  if (!copies_.empty()) {
    schedule_copy_report();
  }
}

void replica_journal::report_progress(std::uint32_t group, const copy_progress& copy) {
  const source_progress total = copy.total();
  log_.record("replica_copying", {{"group", group},
                                  {"to_vote", copy.to_vote},
                                  {"copying_ms", (environment_.now() - copy.began_at) / 1ms},
                                  {"records", total.records},
                                  {"bytes", total.bytes},
                                  {"restarts", copy.restarts},
                                  {"sources", describe_sources(group, copy)}});
}

std::string replica_journal::describe_sources(std::uint32_t group, const copy_progress& copy) const {
  const std::vector<awaited_source> awaited = replica_.awaited_sources(group);
  std::set<ReplicaIdentity> named;
  for (const auto& [identity, source] : copy.sources) {
    named.insert(identity);
  }
  for (const awaited_source& source : awaited) {
    named.insert(source.identity);
  }
  std::string text;
  for (const ReplicaIdentity& identity : named) {
    const auto sent = copy.sources.find(identity);
    const source_progress came = sent == copy.sources.end() ? source_progress{} : sent->second;
    text += (text.empty() ? "" : ", ") + text_of(identity) + " " + std::to_string(came.pages) + " pages " +
            std::to_string(came.records) + " records " + short_bytes(came.bytes);
    const auto waits = std::find_if(awaited.begin(), awaited.end(),
                                    [&identity](const awaited_source& source) { return source.identity == identity; });
    if (waits == awaited.end()) {
      text += " done";
    } else if (waits->asked_at.count() == 0) {
      text += " not asked";
    } else {
      text += " asked " + std::to_string((environment_.now() - waits->asked_at) / 1ms) + " ms ago";
    }
  }
  return text;
}

}  // namespace madderdeck::ledger
