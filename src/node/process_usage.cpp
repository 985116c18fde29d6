#include "node/process_usage.hpp"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace madderdeck::node {
namespace {

namespace fs = std::filesystem;
constexpr std::int64_t kBytesPerKb = 1024;

/// @return the number after @p name in a line of a status file; empty if the line holds none.
std::optional<std::int64_t> number_after(const std::string& line, const std::string& name) {
  if (!line.starts_with(name)) {
    return std::nullopt;
  }
  std::istringstream rest(line.substr(name.size()));
  std::int64_t number = 0;
  return rest >> number && number > 0 ? std::optional(number) : std::nullopt;
}

void take_status(const std::string& path, process_usage& usage) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (const auto mapped_kb = number_after(line, "VmSize:")) {
      usage.address_space_bytes = *mapped_kb * kBytesPerKb;
    } else if (const auto resident_kb = number_after(line, "VmRSS:")) {
      usage.resident_bytes = *resident_kb * kBytesPerKb;
    } else if (const auto threads = number_after(line, "Threads:")) {
      usage.threads = threads;
    }
  }
}

void take_statm(const std::string& path, process_usage& usage) {
  std::ifstream file(path);
  std::int64_t mapped = 0;
  std::int64_t resident = 0;
  if (file >> mapped >> resident && mapped > 0 && resident > 0) {
    const std::int64_t page = ::sysconf(_SC_PAGESIZE);
    usage.address_space_bytes = mapped * page;
    usage.resident_bytes = resident * page;
  }
}

std::optional<std::int64_t> system_limit(int resource) {
  rlimit limit{};
  if (::getrlimit(static_cast<__rlimit_resource>(resource), &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(limit.rlim_cur);
}

}  // namespace

process_usage read_process_usage(const std::string& proc_folder) {
  process_usage usage;
  take_status(proc_folder + "/status", usage);
  if (!usage.resident_bytes || !usage.address_space_bytes) {
    take_statm(proc_folder + "/statm", usage);
  }
  if (usage.resident_bytes && usage.address_space_bytes && *usage.resident_bytes > *usage.address_space_bytes) {
    usage.resident_bytes.reset();
    usage.address_space_bytes.reset();
  }
  return usage;
}

std::optional<std::int64_t> count_descriptors(const std::string& proc_folder) {
  std::error_code ec;
  fs::directory_iterator it(proc_folder + "/fd", ec);
  std::int64_t count = -1;  // the one that reads the folder
  for (; !ec && it != fs::directory_iterator(); it.increment(ec)) {
    ++count;
  }
  return ec || count < 0 ? std::nullopt : std::optional(count);
}

std::int64_t allocator_bytes() {
  const struct mallinfo2 info = ::mallinfo2();
  return static_cast<std::int64_t>(info.arena + info.hblkhd);
}

std::optional<std::int64_t> folder_bytes(const std::string& folder) {
  std::error_code ec;
  fs::recursive_directory_iterator it(folder, ec);
  std::int64_t bytes = 0;
  for (; !ec && it != fs::recursive_directory_iterator(); it.increment(ec)) {
    std::error_code vanished;
    const bool is_file = it->is_regular_file(vanished);
    const auto size = is_file ? it->file_size(vanished) : 0;
    bytes += vanished ? 0 : static_cast<std::int64_t>(size);
  }
  return ec ? std::nullopt : std::optional(bytes);
}

system_limits read_system_limits() {
  return {system_limit(RLIMIT_AS), system_limit(RLIMIT_DATA), system_limit(RLIMIT_NOFILE), system_limit(RLIMIT_NPROC)};
}

}  // namespace madderdeck::node
