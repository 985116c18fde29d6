#include "node/process_gauges.hpp"

namespace madderdeck::node {
namespace {

constexpr std::int64_t kBytesPerMb = 1'000'000;

std::optional<std::int64_t> stated(std::int64_t limit, std::int64_t unit) {
  return limit == 0 ? std::nullopt : std::optional(limit * unit);
}

}  // namespace

process_gauges::process_gauges(Environment& environment, Counters& counters, DecisionLog& log,
                               const config::Settings& settings, std::string proc_folder)
    : environment_(environment),
      counters_(counters),
      watch_(counters, log),
      budget_(std::make_shared<memory_budget>(settings.memory_mb * kBytesPerMb, counters, log)),
      proc_folder_(std::move(proc_folder)),
      data_folder_(settings.has_role("ledger") ? settings.data_folder : std::string()),
      stated_memory_bytes_(stated(settings.memory_mb, kBytesPerMb)),
      stated_descriptors_(stated(settings.max_descriptors, 1)),
      stated_disk_bytes_(stated(settings.disk_mb, kBytesPerMb)) {}

void process_gauges::start() {
  measure();
  environment_.after(kInterval, [this] { start(); });
}

void process_gauges::measure() {
  budget_->publish();
  const system_limits limits = read_system_limits();
  const process_usage usage = read_process_usage(proc_folder_);
  const bool is_estimate = !usage.resident_bytes;
  counters_["process_memory_estimated"] = is_estimate ? 1 : 0;
  watch_.note(process_resource::memory_bytes, {is_estimate ? allocator_bytes() : usage.resident_bytes,
                                               smaller_limit(stated_memory_bytes_, limits.data_bytes)});
  watch_.note(process_resource::address_space_bytes, {usage.address_space_bytes, limits.address_space_bytes});
  watch_.note(process_resource::descriptors,
              {count_descriptors(proc_folder_), smaller_limit(stated_descriptors_, limits.descriptors)});
  watch_.note(process_resource::threads, {usage.threads, limits.threads});
  if (!data_folder_.empty() && measured_++ % kIntervalsPerDiskLook == 0) {
    watch_.note(process_resource::data_folder_bytes, {folder_bytes(data_folder_), stated_disk_bytes_});
  }
}

}  // namespace madderdeck::node
