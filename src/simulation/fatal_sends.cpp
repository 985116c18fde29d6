#include "simulation/fatal_sends.hpp"

#include <array>

namespace madderdeck::simulation {

const char* send_reason_name(send_reason reason) {
  static constexpr std::array<const char*, kSendReasons> kNames = {"before_third_end", "before_any_knew", "being_told",
                                                                   "could_be_known", "known"};
  return kNames.at(static_cast<std::size_t>(reason));
}

void fatal_sends::ended(fatal_send send, Timestamp at) {
  history& of = histories_[send.body];
  send.end = static_cast<unsigned>(of.sends.size()) + 1;
  if (send.end == kEndsThatTell) {
    of.third_end_at = at;
  }
  of.sends.push_back(std::move(send));
}

void fatal_sends::known(const std::string& body, Timestamp at) {
  history& of = histories_[body];
  if (!of.known_at) {
    of.known_at = at;
  }
}

bool fatal_sends::awaits_knowledge(const std::string& body) const {
  const auto found = histories_.find(body);
  return found != histories_.end() && found->second.sends.size() >= kEndsThatTell && !found->second.known_at;
}

fatal_sends::finding fatal_sends::judge(const history& of, const fatal_send& send) {
  finding found{send, send_reason::known, send.begun - of.third_end_at, std::nullopt};
  if (of.known_at) {
    found.after_known = send.begun - *of.known_at;
  }
  if (send.ends_known >= kEndsThatTell) {
    found.reason = send_reason::known;
  } else if (found.after_third_end <= Duration::zero()) {
    found.reason = send_reason::before_third_end;
  } else if (!found.after_known || *found.after_known <= Duration::zero()) {
    found.reason = send_reason::before_any_knew;
  } else {
    found.reason = *found.after_known <= kTelling ? send_reason::being_told : send_reason::could_be_known;
  }
  return found;
}

std::vector<fatal_sends::finding> fatal_sends::over_three() const {
  std::vector<finding> found;
  for (const auto& [body, of] : histories_) {
    for (std::size_t number = kEndsThatTell; number < of.sends.size(); ++number) {
      found.push_back(judge(of, of.sends[number]));
    }
  }
  return found;
}

}  // namespace madderdeck::simulation
