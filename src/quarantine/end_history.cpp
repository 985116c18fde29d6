#include "quarantine/end_history.hpp"

#include <algorithm>
#include <tuple>

#include "common/hash.hpp"

namespace madderdeck::quarantine {

using routing::request_fingerprint;

UnixMilliseconds crash_suspect::last_event_at() const {
  UnixMilliseconds latest = std::max({answered_at, held_back_at, tried_at});
  for (const backend_termination& end : ends) {
    latest = std::max(latest, end.at);
  }
  return latest;
}

const char* suspect_kind_name(suspect_kind kind) { return kind == suspect_kind::request ? "request" : "prompt_part"; }

crash_suspect& end_history::entry_of(const suspect_id& suspect) {
  auto entry = suspects_.find(suspect.fingerprint);
  if (entry == suspects_.end()) {
    if (suspects_.size() >= kMaxSuspects) {
      evict_one();
    }
    crash_suspect added;
    added.fingerprint = suspect.fingerprint;
    added.kind = suspect.kind;
    entry = suspects_.emplace(suspect.fingerprint, std::move(added)).first;
  }
  entry->second.rank = std::max(entry->second.rank, suspect.rank);
  return entry->second;
}

bool end_history::record(const suspect_id& suspect, const backend_termination& end, UnixMilliseconds now) {
  classification_.reset();
  if (end.at + kRetentionMs < now) {
    return false;
  }
  crash_suspect& known = entry_of(suspect);
  const auto same = std::find_if(known.ends.begin(), known.ends.end(),
                                 [&end](const backend_termination& one) { return same_end(one, end); });
  if (same != known.ends.end()) {
    // If two copies of the request ran there, the termination counts as early when one of them had just begun. Of the
    // times that two nodes report the earlier one is kept, so that all nodes store the same whichever they received
    // first.
    const backend_termination before = *same;
    same->advanced = same->advanced && end.advanced;
    same->at = std::min(same->at, end.at);
    same->carrier = std::min(same->carrier, end.carrier);
    const bool changed = *same != before;
    std::sort(known.ends.begin(), known.ends.end(), is_earlier);
    erase_ends_before_answer(known);
    return changed;
  }
  if (end.at <= known.answered_at) {
    return false;
  }
  // Keep the earliest ones, so that nodes that received them in a different order store the same.
  const auto later = std::find_if(known.ends.begin(), known.ends.end(),
                                  [&end](const backend_termination& one) { return is_earlier(end, one); });
  if (later == known.ends.end() && known.ends.size() >= max_ends(known.kind)) {
    return false;
  }
  known.ends.insert(later, end);
  if (known.ends.size() > max_ends(known.kind)) {
    known.ends.pop_back();
  }
  return true;
}

bool end_history::is_earlier(const backend_termination& one, const backend_termination& other) {
  return std::tie(one.at, one.backend) < std::tie(other.at, other.backend);
}

bool end_history::same_end(const backend_termination& one, const backend_termination& other) {
  const UnixMilliseconds apart = std::max(one.at, other.at) - std::min(one.at, other.at);
  return one.backend == other.backend && apart <= kSameEndWindowMs;
}

std::size_t end_history::early_ends(const crash_suspect& suspect) {
  return static_cast<std::size_t>(std::count_if(suspect.ends.begin(), suspect.ends.end(),
                                                [](const backend_termination& end) { return !end.advanced; }));
}

bool end_history::is_proven(const crash_suspect& suspect) {
  return suspect.answered_at > 0 && !suspect.ends.empty() &&
         suspect.answered_at + kProvenForMs >= suspect.ends.front().at;
}

std::vector<backend_termination> end_history::beyond_one_request(const std::vector<backend_termination>& ends) const {
  std::vector<backend_termination> fewest = ends;
  for (const auto& [fingerprint, other] : suspects_) {
    if (other.kind != suspect_kind::request || early_ends(other) < kEndsToHoldBack) {
      continue;
    }
    std::vector<backend_termination> left = ends;
    erase_shared(left, other.ends);
    if (left.size() < fewest.size()) {
      fewest = std::move(left);
    }
  }
  return fewest;
}

bool end_history::proven_is_explained(const crash_suspect& part, const std::vector<backend_termination>& ends) const {
  std::vector<backend_termination> left = ends;
  for (const auto& [fingerprint, other] : suspects_) {
    if (fingerprint != part.fingerprint && early_ends(other) >= kSeveralEnds && !is_proven(other)) {
      erase_shared(left, other.ends);
    }
  }
  return left.size() < kMinUnexplainedOfProven;
}

bool end_history::is_smaller_part(const crash_suspect& other, const crash_suspect& part) {
  return other.kind == suspect_kind::prompt_part && early_ends(other) >= kSeveralEnds &&
         early_ends(other) < early_ends(part) && !is_proven(other) && carriers_of(other.ends).size() > 1;
}

/// A part that many requests have was on most back ends that several fatal ones crashed. One that has fewer
/// terminations explains it only if it could be held back itself.
bool end_history::smaller_parts_explain(const crash_suspect& part, const std::vector<backend_termination>& ends) const {
  std::vector<backend_termination> left = ends;
  std::size_t fewest_left = ends.size();
  for (const auto& [fingerprint, other] : suspects_) {
    if (!is_smaller_part(other, part)) {
      continue;
    }
    std::vector<backend_termination> without = ends;
    erase_shared(without, other.ends);
    if (without.size() < kMinUnexplained && has_evidence(other, early_of(other.ends))) {
      return true;
    }
    fewest_left = std::min(fewest_left, without.size());
    erase_shared(left, other.ends);
  }
  return left.size() < kMinUnexplained && fewest_left >= kMinUnexplained;
}

bool end_history::is_contested(const crash_suspect& part) const {
  return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto& entry) {
    const crash_suspect& other = entry.second;
    std::vector<backend_termination> left = other.ends;
    erase_shared(left, part.ends);
    return is_smaller_part(other, part) && other.rank > part.rank && left.empty() &&
           has_evidence(other, early_of(other.ends));
  });
}

bool end_history::has_twin(const crash_suspect& part, const classification& found) const {
  return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto& entry) {
    const crash_suspect& other = entry.second;
    const bool same_number = entry.first != part.fingerprint && early_ends(other) == early_ends(part);
    if (!same_number || other.kind != suspect_kind::prompt_part || is_proven(other) ||
        found.fatal.contains(entry.first)) {
      return false;
    }
    std::vector<backend_termination> left = part.ends;
    erase_shared(left, other.ends);
    return left.empty();
  });
}

void end_history::erase_explained(std::vector<backend_termination>& ends,
                                  const std::set<request_fingerprint>& fatal) const {
  for (const request_fingerprint& other : fatal) {
    erase_shared(ends, suspects_.at(other).ends);
  }
}

std::map<std::uint64_t, unsigned> end_history::carriers_of(const std::vector<backend_termination>& ends) {
  std::map<std::uint64_t, unsigned> carriers;
  for (const backend_termination& end : ends) {
    ++carriers[end.carrier];
  }
  return carriers;
}

bool end_history::has_several_carriers(const std::vector<backend_termination>& ends) {
  const std::map<std::uint64_t, unsigned> carriers = carriers_of(ends);
  const auto with_several =
      std::count_if(carriers.begin(), carriers.end(), [](const auto& carrier) { return carrier.second > 1; });
  return carriers.size() >= kMinCarriers || with_several > 1;
}

std::vector<backend_termination> end_history::early_of(std::vector<backend_termination> ends) {
  std::erase_if(ends, [](const backend_termination& end) { return end.advanced; });
  return ends;
}

bool end_history::has_evidence(const crash_suspect& part, const std::vector<backend_termination>& ends) const {
  return part.kind == suspect_kind::prompt_part && ends.size() >= kPartEndsToHoldBack && has_several_carriers(ends) &&
         beyond_one_request(ends).size() >= kMinBeyondOneRequest;
}

bool end_history::is_fatal_part(const crash_suspect& part, const classification& found) const {
  std::vector<backend_termination> left = early_of(part.ends);
  erase_explained(left, found.fatal);
  const std::size_t needed = kPartEndsToHoldBack + (has_twin(part, found) ? 1 : 0);
  if (left.size() < needed || !has_evidence(part, left)) {
    return false;
  }
  return is_proven(part) ? !proven_is_explained(part, left) : !smaller_parts_explain(part, left);
}

/// Of parts with as many terminations the narrowest one comes first: it is in the fewest other requests, and explains
/// the terminations of the wider ones.
void end_history::find_fatal_parts(classification& found) const {
  std::vector<const crash_suspect*> parts;
  for (const auto& [fingerprint, known] : suspects_) {
    if (known.kind == suspect_kind::prompt_part && early_ends(known) >= kPartEndsToHoldBack) {
      parts.push_back(&known);
    }
  }
  std::stable_sort(parts.begin(), parts.end(), [](const crash_suspect* one, const crash_suspect* other) {
    return std::tuple(early_ends(*one), one->rank) > std::tuple(early_ends(*other), other->rank);
  });
  for (const crash_suspect* part : parts) {
    if (is_fatal_part(*part, found)) {
      found.fatal.insert(part->fingerprint);
    }
  }
}

/// A termination that is explained by the request with the most terminations counts for no other request. The requests
/// with the most terminations are therefore classified first, then the others with those that remain. Among requests
/// with equally many, one whose terminations are all shared with the others is left out, and a termination shared by
/// two of the remaining ones counts for neither.
void end_history::find_fatal_requests(classification& found) const {
  std::vector<candidate> open;
  for (const auto& [request, known] : suspects_) {
    if (known.kind == suspect_kind::request && early_ends(known) >= kEndsToHoldBack) {
      open.push_back({&known, known.ends});
      std::erase_if(open.back().left, [](const backend_termination& end) { return end.advanced; });
      erase_explained(open.back().left, found.fatal);
    }
  }
  while (true) {
    const auto fewer = [](const candidate& one, const candidate& other) { return one.left.size() < other.left.size(); };
    const auto most = std::max_element(open.begin(), open.end(), fewer);
    if (most == open.end() || most->left.size() < kEndsToHoldBack) {
      break;
    }
    const auto round_end = std::partition(open.begin(), open.end(), [count = most->left.size()](const candidate& one) {
      return one.left.size() == count;
    });
    const std::vector<candidate> round(open.begin(), round_end);
    open.erase(open.begin(), round_end);
    classify_round(round, found);
    for (candidate& lesser : open) {
      for (const candidate& explaining : round) {
        erase_shared(lesser.left, explaining.left);
      }
    }
  }
}

void end_history::classify_round(const std::vector<candidate>& round, classification& found) {
  for (const candidate& one : round) {
    found.ambiguous.insert(one.suspect->fingerprint);
  }
  std::vector<candidate> contenders = round;
  std::erase_if(contenders, [&round](const candidate& one) { return is_explained_by_unproven(one, round); });
  std::vector<candidate> needed;
  std::copy_if(contenders.begin(), contenders.end(), std::back_inserter(needed),
               [&contenders](const candidate& one) { return !unshared_ends(one, contenders).empty(); });
  for (const candidate& one : needed) {
    if (unshared_ends(one, needed).size() >= kEndsToHoldBack) {
      found.fatal.insert(one.suspect->fingerprint);
      found.ambiguous.erase(one.suspect->fingerprint);
    }
  }
}

bool end_history::is_explained_by_unproven(const candidate& one, const std::vector<candidate>& round) {
  return is_proven(*one.suspect) && std::any_of(round.begin(), round.end(), [&one](const candidate& other) {
           std::vector<backend_termination> left = one.left;
           erase_shared(left, other.left);
           return !is_proven(*other.suspect) && left.empty();
         });
}

std::vector<backend_termination> end_history::unshared_ends(const candidate& one,
                                                            const std::vector<candidate>& others) {
  std::vector<backend_termination> own = one.left;
  for (const candidate& other : others) {
    if (other.suspect != one.suspect) {
      erase_shared(own, other.left);
    }
  }
  return own;
}

void end_history::erase_shared(std::vector<backend_termination>& ends, const std::vector<backend_termination>& others) {
  std::erase_if(ends, [&others](const backend_termination& end) {
    return std::any_of(others.begin(), others.end(),
                       [&end](const backend_termination& other) { return same_end(end, other); });
  });
}

/// Adds requests that have kMaxEnds terminations, early or not, of which at least kEndsToHoldBack are not explained by
/// a fatal request. An example is two requests that always ran together.
void end_history::add_with_max_ends(std::set<request_fingerprint>& fatal) const {
  std::set<request_fingerprint> more;
  for (const auto& [request, known] : suspects_) {
    if (known.kind != suspect_kind::request || known.ends.size() < kMaxEnds || fatal.contains(request)) {
      continue;
    }
    std::vector<backend_termination> left = known.ends;
    erase_explained(left, fatal);
    if (left.size() >= kEndsToHoldBack) {
      more.insert(request);
    }
  }
  fatal.merge(more);
}

void end_history::drop_explained(classification& found) const {
  std::erase_if(found.ambiguous, [this, &found](const request_fingerprint& request) {
    std::vector<backend_termination> left = suspects_.at(request).ends;
    for (const request_fingerprint& other : found.fatal) {
      if (other != request) {
        erase_shared(left, suspects_.at(other).ends);
      }
    }
    return found.fatal.contains(request) || left.size() < kEndsToHoldBack;
  });
}

const end_history::classification& end_history::classified() const {
  if (!classification_) {
    classification_ = classification();
    find_fatal_parts(*classification_);
    find_fatal_requests(*classification_);
    add_with_max_ends(classification_->fatal);
    drop_explained(*classification_);
  }
  return *classification_;
}

bool end_history::is_quarantined(const request_fingerprint& suspect) const {
  return ends(suspect) >= kEndsToHoldBack && classified().fatal.contains(suspect);
}

bool end_history::is_ambiguous(const request_fingerprint& request) const {
  return ends(request) >= kEndsToHoldBack && classified().ambiguous.contains(request);
}

std::optional<request_fingerprint> end_history::request_sharing_most_ends(const request_fingerprint& request) const {
  const crash_suspect* known = find(request);
  std::optional<request_fingerprint> found;
  std::pair<std::size_t, std::size_t> most;  // shared and total: the one with more in total is the likelier cause
  for (const auto& [other, beside] : suspects_) {
    if (known == nullptr || other == request) {
      continue;
    }
    std::vector<backend_termination> left = known->ends;
    erase_shared(left, beside.ends);
    const std::size_t shared = known->ends.size() - left.size();
    if (const std::pair weight(shared, beside.ends.size()); shared > 0 && weight > most) {
      most = weight;
      found = other;
    }
  }
  return found;
}

void end_history::note_answered(const suspect_id& suspect, UnixMilliseconds at) {
  if (at > 0 && !suspects_.contains(suspect.fingerprint)) {
    entry_of(suspect).answered_at = at;
  }
}

bool end_history::clear_ends_until(const request_fingerprint& request, UnixMilliseconds at) {
  const auto entry = suspects_.find(request);
  if (entry == suspects_.end()) {
    return false;
  }
  classification_.reset();
  crash_suspect& known = entry->second;
  known.answered_at = std::max(known.answered_at, at);
  if (at >= known.tried_at) {
    known.trials = 0;
  }
  return erase_ends_before_answer(known) > 0;
}

std::size_t end_history::erase_ends_before_answer(crash_suspect& known) {
  return std::erase_if(known.ends, [&known](const backend_termination& end) { return end.at <= known.answered_at; });
}

bool end_history::merge(const crash_suspect& other, UnixMilliseconds now) {
  // Terminations are kept as long as the request has recent events. A recent refusal on another node therefore keeps
  // old terminations valid also on a node that has no entry for the request.
  const bool forgotten = other.last_event_at() + kRetentionMs < now;
  bool changed = false;
  for (const backend_termination& end : other.ends) {
    changed = (!forgotten && record({other.fingerprint, other.kind, other.rank}, end, end.at)) || changed;
  }
  const auto entry = suspects_.find(other.fingerprint);
  if (entry == suspects_.end()) {
    return changed;
  }
  crash_suspect& known = entry->second;
  known.held_back_at = std::max(known.held_back_at, other.held_back_at);
  if (other.tried_at > known.tried_at) {
    known.trials = other.trials;
    known.tried_at = other.tried_at;
  }
  return (other.answered_at > 0 && clear_ends_until(other.fingerprint, other.answered_at)) || changed;
}

void end_history::note_held_back(const request_fingerprint& suspect, UnixMilliseconds now) {
  if (const auto entry = suspects_.find(suspect); entry != suspects_.end()) {
    entry->second.held_back_at = now;
  }
}

void end_history::note_trial_begun(const request_fingerprint& suspect, UnixMilliseconds now) {
  if (const auto entry = suspects_.find(suspect); entry != suspects_.end()) {
    entry->second.tried_at = now;
  }
}

void end_history::note_trial(const request_fingerprint& suspect, UnixMilliseconds now) {
  if (const auto entry = suspects_.find(suspect); entry != suspects_.end()) {
    ++entry->second.trials;
    entry->second.tried_at = now;
  }
}

void end_history::forget_old(UnixMilliseconds now) {
  const auto old =
      std::erase_if(suspects_, [now](const auto& entry) { return entry.second.last_event_at() + kRetentionMs < now; });
  if (old > 0) {
    classification_.reset();
  }
}

const crash_suspect* end_history::find(const request_fingerprint& request) const {
  const auto entry = suspects_.find(request);
  return entry == suspects_.end() ? nullptr : &entry->second;
}

std::size_t end_history::ends(const request_fingerprint& request) const {
  const crash_suspect* known = find(request);
  return known == nullptr ? 0 : known->ends.size();
}

std::size_t end_history::held_back(suspect_kind kind) const {
  return static_cast<std::size_t>(std::count_if(suspects_.begin(), suspects_.end(), [this, kind](const auto& entry) {
    return entry.second.kind == kind && is_quarantined(entry.first);
  }));
}

bool end_history::is_in_digest(const crash_suspect& request) { return request.ends.size() + 1 >= kEndsToHoldBack; }

bool end_history::is_shared(const crash_suspect& request) { return is_in_digest(request) || request.answered_at > 0; }

std::vector<crash_suspect> end_history::shared(std::size_t most) const {
  std::vector<crash_suspect> found;
  for (const auto& [request, known] : suspects_) {
    if (is_shared(known)) {
      found.push_back(known);
    }
  }
  // Those with the most terminations come first, and among these the latest, in case there are more than fit.
  std::stable_sort(found.begin(), found.end(), [](const crash_suspect& left, const crash_suspect& right) {
    return std::tuple(left.ends.size(), left.last_event_at()) > std::tuple(right.ends.size(), right.last_event_at());
  });
  found.resize(std::min(found.size(), most));
  return found;
}

std::uint64_t end_history::digest(suspect_kind kind) const {
  // The digest covers each termination, not only their number: nodes that know two different ones each must differ.
  std::uint64_t sum = 0;
  for (const auto& [request, known] : suspects_) {
    if (known.kind != kind || !is_in_digest(known)) {
      continue;
    }
    for (const backend_termination& end : known.ends) {
      sum += stable_hash(request.str() + end.backend.str(), end.at * 2 + (end.advanced ? 1 : 0));
    }
  }
  return sum;
}

void end_history::evict_one() {
  const auto weight = [](const auto& entry) {
    return std::tuple(std::min(entry.second.ends.size(), kEndsToHoldBack), entry.second.last_event_at());
  };
  const auto least =
      std::min_element(suspects_.begin(), suspects_.end(),
                       [&weight](const auto& left, const auto& right) { return weight(left) < weight(right); });
  suspects_.erase(least);
}

}  // namespace madderdeck::quarantine
