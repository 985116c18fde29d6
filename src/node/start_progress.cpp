#include "node/start_progress.hpp"

namespace madderdeck::node {

const char* name_of(start_need need) {
  switch (need) {
    case start_need::configuration:
      return "configuration";
    case start_need::machines:
      return "machines";
    case start_need::groups:
      return "groups";
    case start_need::own_records:
      return "own_records";
    case start_need::drain:
      break;
  }
  return "drain";
}

void start_progress::look(Timestamp now, std::optional<start_need> missing, std::int64_t answered) {
  if (served_) {
    return;
  }
  if (missing && !was_ready_) {
    Duration& waited = waited_.at(static_cast<std::size_t>(*missing));
    waited += now - last_look_;
    counters_[std::string("start_waited_") + name_of(*missing) + "_ms"] = waited / 1ms;
    report_wait(now, *missing);
  } else if (!missing && !was_ready_) {
    was_ready_ = true;
    report_ready(now);
  }
  last_look_ = now;
  if (answered > 0) {
    served_ = true;
    report_served(now);
  }
}

void start_progress::report_wait(Timestamp now, start_need missing) {
  if (now - began_ < next_report_) {
    return;
  }
  next_report_ *= 2;
  log_.record("start_waits_for", {{"node", node_},
                                  {"need", name_of(missing)},
                                  {"since_start_ms", (now - began_) / 1ms},
                                  {"waited_ms", describe()}});
}

void start_progress::report_ready(Timestamp now) {
  counters_["start_ready_ms"] = (now - began_) / 1ms;
  log_.record("start_ready", {{"node", node_}, {"since_start_ms", (now - began_) / 1ms}, {"waited_ms", describe()}});
}

void start_progress::report_served(Timestamp now) {
  counters_["start_served_ms"] = (now - began_) / 1ms;
  log_.record("first_request_answered",
              {{"node", node_}, {"since_start_ms", (now - began_) / 1ms}, {"was_ready", was_ready_}});
}

std::string start_progress::describe() const {
  std::string text;
  for (std::size_t number = 0; number < kStartNeeds; ++number) {
    if (waited_.at(number) > Duration::zero()) {
      text += (text.empty() ? "" : ", ") + std::string(name_of(static_cast<start_need>(number))) + " " +
              std::to_string(waited_.at(number) / 1ms);
    }
  }
  return text;
}

}  // namespace madderdeck::node
