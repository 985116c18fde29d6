#include "membership/fleet_search.hpp"

namespace madderdeck::membership {

std::string_view name_of(discovery_source who) {
  switch (who) {
    case discovery_source::seed:
      return "seed";
    case discovery_source::remembered_peer:
      return "remembered_peer";
    case discovery_source::peer:
      return "peer";
  }
  return "unknown";
}

void fleet_search::begin(Timestamp now, bool at_start) {
  active_ = true;
  at_start_ = at_start;
  began_at_ = now;
  report_interval_ = kFirstReportDelay;
  next_report_ = now + report_interval_;
  seeds_asked = 0;
  remembered_asked = 0;
}

bool fleet_search::take_due_report(Timestamp now) {
  if (!active_ || now < next_report_) {
    return false;
  }
  report_interval_ = std::min(2 * report_interval_, kMaxReportInterval);
  next_report_ = now + report_interval_;
  return true;
}

}  // namespace madderdeck::membership
