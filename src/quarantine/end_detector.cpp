#include "quarantine/end_detector.hpp"

namespace madderdeck::quarantine {
namespace {

constexpr std::size_t kMaxLoggedParts = 4;

/// @return the first fingerprints of the prompt's parts, with spaces between.
std::string prompt_parts_text(const routing::crash_suspects& call) {
  std::string text;
  for (std::size_t part = 0; part < call.prompt_parts.size() && part < kMaxLoggedParts; ++part) {
    text += (part > 0 ? " " : "") + call.prompt_parts[part].fingerprint.str();
  }
  return text;
}

}  // namespace

void end_detector::call_broke(const routing::broken_call& call, decided done) {
  std::erase_if(ended_at_, [this](const auto& entry) { return environment_.now() - entry.second > kSameEndWindow; });
  log_.record("call_broke", {{"request", call.id},
                             {"fingerprint", call.suspects.request.str()},
                             {"prompt_parts", prompt_parts_text(call.suspects)},
                             {"backend", call.backend.str()},
                             {"answered_ms", call.answered_for / 1ms}});
  if (ended_at_.contains(call.backend)) {
    done(true);
    return;
  }
  const auto [entry, first] = pending_checks_.try_emplace(call.backend);
  entry->second.waiting.push_back(std::move(done));
  entry->second.calls.push_back(call);
  if (!first) {
    return;
  }
  const std::uint64_t number = ++next_check_;
  entry->second.number = number;
  check_backend(call.backend, number);
  environment_.after(kCheckTimeout, lifetime_.guard([this, backend = call.backend, number] {
    finish_check(backend, number, routing::reachability::silent);
  }));
}

void end_detector::check_backend(const BackendId& backend, std::uint64_t number) {
  counters_["backend_end_checks_total"]++;
  client_.check_reachable(backend, lifetime_.guard([this, backend, number](routing::reachability found) {
    on_check_result(backend, number, found);
  }));
}

void end_detector::on_check_result(const BackendId& backend, std::uint64_t number, routing::reachability found) {
  const auto entry = pending_checks_.find(backend);
  if (entry == pending_checks_.end() || entry->second.number != number) {
    return;
  }
  if (found != routing::reachability::listening || entry->second.checked_before) {
    finish_check(backend, number, found);
    return;
  }
  entry->second.checked_before = true;
  environment_.after(kSecondCheckDelay, lifetime_.guard([this, backend, number] {
    const auto asked = pending_checks_.find(backend);
    if (asked != pending_checks_.end() && asked->second.number == number) {
      check_backend(backend, number);
    }
  }));
}

void end_detector::finish_check(const BackendId& backend, std::uint64_t number, routing::reachability found) {
  const auto entry = pending_checks_.find(backend);
  if (entry == pending_checks_.end() || entry->second.number != number) {
    return;
  }
  const std::vector<decided> waiting = std::move(entry->second.waiting);
  std::vector<routing::broken_call> calls = std::move(entry->second.calls);
  pending_checks_.erase(entry);
  const bool ended = found == routing::reachability::refused;
  if (ended) {
    record_end(backend);
  }
  log_.record("backend_checked", {{"backend", backend.str()},
                                  {"found", routing::reachability_name(found)},
                                  {"ended", ended},
                                  {"broken_calls", waiting.size()}});
  for (const decided& done : waiting) {
    done(ended);
  }
  if (found == routing::reachability::listening) {
    check_late(backend, std::move(calls));
  }
}

void end_detector::record_end(const BackendId& backend) {
  ended_at_[backend] = environment_.now();
  counters_["backend_ends_seen_total"]++;
}

/// Nothing waits for this check: the callers of the broken calls have already been given a result.
void end_detector::check_late(const BackendId& backend, std::vector<routing::broken_call> calls) {
  environment_.after(kLateCheckDelay, lifetime_.guard([this, backend, calls = std::move(calls)] {
    counters_["backend_end_checks_total"]++;
    client_.check_reachable(backend, lifetime_.guard([this, backend, calls](routing::reachability found) {
      if (found != routing::reachability::refused) {
        return;
      }
      record_end(backend);
      log_.record("backend_ended_late", {{"backend", backend.str()}, {"broken_calls", calls.size()}});
      for (const routing::broken_call& call : calls) {
        if (on_late_end) {
          on_late_end(call);
        }
      }
    }));
  }));
}

}  // namespace madderdeck::quarantine
