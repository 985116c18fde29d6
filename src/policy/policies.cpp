#include "policy/policies.hpp"

#include <utility>

namespace madderdeck::policy {
namespace {

/// Share of the times to yield in which more live calls may arrive than slots are free.
constexpr double kMaxMissedShare = 0.05;

Error unknown(const std::string& key, const std::string& found, const std::string& allowed) {
  return Error{ErrorKind::invalid_argument, "policies." + key + ": found '" + found + "', allowed is " + allowed};
}

}  // namespace

policy_set_builder& policy_set_builder::headroom(std::string name) {
  headroom_ = std::move(name);
  return *this;
}

policy_set_builder& policy_set_builder::item_order(std::string name) {
  item_order_ = std::move(name);
  return *this;
}

policy_set_builder& policy_set_builder::engine_choice(std::string name) {
  engine_choice_ = std::move(name);
  return *this;
}

policy_set_builder& policy_set_builder::call_order(std::string name) {
  call_order_ = std::move(name);
  return *this;
}

Result<policy_set> policy_set_builder::build() const {
  policy_set set;
  if (headroom_ == "observed" || headroom_ == "waves") {
    set.headroom = std::make_shared<observed_headroom>(kMaxMissedShare);
    set.headroom_for_peaks = headroom_ == "waves";
  } else if (headroom_ != "fixed") {
    return unknown("headroom", headroom_, "fixed, observed or waves");
  }
  if (item_order_ == "arrival") {
    set.order = std::make_shared<arrival_order>();
  } else if (item_order_ == "deadline") {
    set.order = std::make_shared<deadline_order>();
  } else if (item_order_ == "attainable") {
    set.order = std::make_shared<attainable_order>();
  } else {
    return unknown("item_order", item_order_, "arrival, deadline or attainable");
  }
  if (engine_choice_ != "reports" && engine_choice_ != "shared" && engine_choice_ != "coordinated") {
    return unknown("engine_choice", engine_choice_, "reports, shared or coordinated");
  }
  if (call_order_ == "arrival") {
    set.calls = std::make_shared<arrival_call_order>();
  } else if (call_order_ == "attainable") {
    set.calls = std::make_shared<attainable_call_order>();
  } else if (call_order_ != "engine") {
    return unknown("call_order", call_order_, "engine, arrival or attainable");
  }
  set.coordinated = engine_choice_ == "coordinated";
  set.shared_calls = set.coordinated || engine_choice_ == "shared";
  return set;
}

}  // namespace madderdeck::policy
