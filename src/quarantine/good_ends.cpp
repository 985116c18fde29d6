#include "quarantine/good_ends.hpp"

namespace madderdeck::quarantine {

void good_ends::note_answer(const routing::request_fingerprint& suspect, UnixMilliseconds at) {
  const auto known = answers_.find(suspect);
  if (known != answers_.end()) {
    known->second.at = at;
    latest_first_.splice(latest_first_.begin(), latest_first_, known->second.place);
    return;
  }
  if (answers_.size() >= kMaxSuspects) {
    answers_.erase(latest_first_.back());
    latest_first_.pop_back();
  }
  latest_first_.push_front(suspect);
  answers_[suspect] = {at, latest_first_.begin()};
}

UnixMilliseconds good_ends::last_answer(const routing::request_fingerprint& suspect) const {
  const auto known = answers_.find(suspect);
  return known == answers_.end() ? 0 : known->second.at;
}

}  // namespace madderdeck::quarantine
