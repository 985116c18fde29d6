#include "ledger/decision_votes.hpp"

#include <algorithm>
#include <map>

namespace madderdeck::ledger {
namespace {

void append(std::string& list, const std::string& item) { list += (list.empty() ? "" : ", ") + item; }

}  // namespace

const char* name_of(refusal_reason ground) {
  switch (ground) {
    case refusal_reason::none:
      return "none";
    case refusal_reason::silent:
      return "silent";
    case refusal_reason::no_address:
      return "no_address";
    case refusal_reason::not_admitted:
      return "not_admitted";
    case refusal_reason::unknown_epoch:
      return "unknown_epoch";
    case refusal_reason::stale_epoch:
      return "stale_epoch";
    case refusal_reason::outbid:
      return "outbid";
    case refusal_reason::corrupted:
      return "corrupted";
    case refusal_reason::not_whole:
      return "not_whole";
    case refusal_reason::given_up_answers:
      return "given_up_answers";
    case refusal_reason::member_there:
      return "member_there";
    case refusal_reason::epoch_passed:
      return "epoch_passed";
    case refusal_reason::store:
      return "store";
    case refusal_reason::candidate:
      return "candidate";
    case refusal_reason::other:
      break;
  }
  return "other";
}

refusal_reason refusal_reason_of(wire::ReplicaStatus status) {
  switch (status) {
    case wire::ReplicaStatus::Granted:
      return refusal_reason::none;
    case wire::ReplicaStatus::BallotTooLow:
      return refusal_reason::outbid;
    case wire::ReplicaStatus::StaleEpoch:
      return refusal_reason::stale_epoch;
    case wire::ReplicaStatus::UnknownEpoch:
      return refusal_reason::unknown_epoch;
    case wire::ReplicaStatus::NotReady:
      return refusal_reason::not_admitted;
    case wire::ReplicaStatus::Corrupted:
      return refusal_reason::corrupted;
    case wire::ReplicaStatus::MemberThere:
      return refusal_reason::member_there;
  }
  return refusal_reason::other;
}

std::size_t decision_votes::granted() const {
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const member_vote& vote) {
    return vote.counts && vote.ground == refusal_reason::none;
  }));
}

std::string decision_votes::granted_text() const {
  std::string text;
  for (const member_vote& vote : members) {
    if (vote.ground == refusal_reason::none) {
      append(text, text_of(vote.member) + (vote.whole ? "" : " not_whole"));
    }
  }
  return text;
}

std::string decision_votes::refused_text() const {
  std::string text;
  for (const member_vote& vote : members) {
    if (vote.ground != refusal_reason::none) {
      append(text, text_of(vote.member) + " " + name_of(vote.ground) + (vote.counts ? "" : " (does not count)"));
    }
  }
  return text;
}

refusal_reason refusal_reason_of(const Error& error, const decision_votes& votes) {
  std::map<refusal_reason, std::size_t> counted;
  for (const member_vote& vote : votes.members) {
    if (vote.ground == refusal_reason::member_there) {
      return refusal_reason::member_there;
    }
    if (vote.counts && vote.ground != refusal_reason::none) {
      ++counted[vote.ground];
    }
  }
  if (counted.contains(refusal_reason::given_up_answers)) {
    return refusal_reason::given_up_answers;
  }
  if (error.kind == ErrorKind::conflict) {
    return refusal_reason::epoch_passed;
  }
  if (votes.needed > 0 && votes.granted() >= votes.needed) {
    return refusal_reason::not_whole;
  }
  const auto most = std::max_element(counted.begin(), counted.end(),
                                     [](const auto& left, const auto& right) { return left.second < right.second; });
  return most == counted.end() ? refusal_reason::other : most->first;
}

}  // namespace madderdeck::ledger
