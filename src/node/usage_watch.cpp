#include "node/usage_watch.hpp"

#include <algorithm>

namespace madderdeck::node {
namespace {

constexpr double kPercent = 100;

/// @return how much of its limit @p use has taken, in percent; 0 where either is not known.
double percent_of(const resource_use& use) {
  if (!use.used || !use.limit || *use.limit <= 0) {
    return 0;
  }
  return kPercent * static_cast<double>(*use.used) / static_cast<double>(*use.limit);
}

}  // namespace

const char* name_of(process_resource resource) {
  switch (resource) {
    case process_resource::memory_bytes:
      return "memory_bytes";
    case process_resource::address_space_bytes:
      return "address_space_bytes";
    case process_resource::descriptors:
      return "descriptors";
    case process_resource::threads:
      return "threads";
    case process_resource::data_folder_bytes:
      break;
  }
  return "data_folder_bytes";
}

std::optional<std::int64_t> smaller_limit(std::optional<std::int64_t> one, std::optional<std::int64_t> other) {
  if (!one || !other) {
    return one ? one : other;
  }
  return std::min(*one, *other);
}

void usage_watch::note(process_resource resource, const resource_use& use) {
  const std::string gauge = std::string("process_") + name_of(resource);
  show(gauge, use.used);
  show(gauge + "_limit", use.limit);
  bool& is_near = near_.at(static_cast<std::size_t>(resource));
  const double percent = percent_of(use);
  const double threshold = static_cast<double>(is_near ? kEasedPercent : kNearPercent);
  if ((percent >= threshold) != is_near) {
    is_near = !is_near;
    log_change(resource, use, is_near);
  }
}

void usage_watch::show(const std::string& gauge, std::optional<std::int64_t> value) {
  if (value) {
    counters_[gauge] = *value;
  } else if (counters_.values().contains(gauge)) {
    counters_[gauge] = kUnknown;
  }
}

void usage_watch::log_change(process_resource resource, const resource_use& use, bool is_near) {
  if (is_near) {
    counters_["process_limits_near_total"]++;
  }
  log_.record(is_near ? "process_limit_near" : "process_limit_eased",
              {{"resource", name_of(resource)},
               {"used", use.used.value_or(kUnknown)},
               {"limit", use.limit.value_or(kUnknown)},
               {"percent", static_cast<std::int64_t>(percent_of(use))}});
}

}  // namespace madderdeck::node
