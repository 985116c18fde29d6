#include "batch/item_failure.hpp"

#include <algorithm>
#include <array>

namespace madderdeck::batch {
namespace {
constexpr std::string_view kRejected = "the engine rejects the item";
constexpr std::string_view kRouteGone = "the item's route is gone";
constexpr std::array<std::string_view, 2> kReasonsOfEarlierVersions = {kRejected, kRouteGone};
}  // namespace

std::string_view failure_description(wire::ItemFailure failure) {
  switch (failure) {
    case wire::ItemFailure::None:
      return "";
    case wire::ItemFailure::Rejected:
      return kRejected;
    case wire::ItemFailure::RunsFailed:
      return "the item failed at every attempt";
    case wire::ItemFailure::RouteGone:
      return kRouteGone;
    case wire::ItemFailure::TimeOver:
      return "not done in time";
    case wire::ItemFailure::Invalid:
      return "the item cannot be read";
  }
  return "the item has failed";  // of a later version
}

std::string_view item_failure_name(wire::ItemFailure failure) {
  switch (failure) {
    case wire::ItemFailure::None:
      return "none";
    case wire::ItemFailure::Rejected:
      return "rejected";
    case wire::ItemFailure::RunsFailed:
      return "runs_failed";
    case wire::ItemFailure::RouteGone:
      return "route_gone";
    case wire::ItemFailure::TimeOver:
      return "time_over";
    case wire::ItemFailure::Invalid:
      return "invalid";
  }
  return "unknown";
}

std::string_view failure_text(const wire::ResultRecordT& record) {
  const bool of_earlier_version = record.failed && record.failure == wire::ItemFailure::None;
  return of_earlier_version ? std::string_view(record.body) : failure_description(record.failure);
}

bool begins_with_reason_of_earlier_version(std::string_view output) {
  return std::any_of(kReasonsOfEarlierVersions.begin(), kReasonsOfEarlierVersions.end(),
                     [&output](std::string_view reason) { return output.starts_with(reason); });
}

}  // namespace madderdeck::batch
