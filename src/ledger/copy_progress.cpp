#include "ledger/copy_progress.hpp"

namespace madderdeck::ledger {

source_progress copy_progress::total() const {
  source_progress sum;
  for (const auto& [identity, source] : sources) {
    sum.pages += source.pages;
    sum.records += source.records;
    sum.bytes += source.bytes;
  }
  return sum;
}

const char* name_of(replica_role role) {
  switch (role) {
    case replica_role::voting:
      return "voting";
    case replica_role::copying:
      return "copying";
    case replica_role::returning:
      return "returning";
    case replica_role::former:
      return "former";
    case replica_role::left:
      return "left";
  }
  return "unknown";
}

const char* name_of(copy_reason reason) {
  switch (reason) {
    case copy_reason::none:
      return "none";
    case copy_reason::new_disk:
      return "new_disk";
    case copy_reason::not_copied_before:
      return "not_copied_before";
    case copy_reason::epochs_missed:
      return "epochs_missed";
    case copy_reason::was_former:
      return "was_former";
    case copy_reason::members_not_covered:
      return "members_not_covered";
  }
  return "unknown";
}

std::string short_bytes(std::uint64_t bytes) {
  constexpr std::uint64_t kKilobyte = 1'000;
  constexpr std::uint64_t kMegabyte = 1'000'000;
  constexpr std::uint64_t kTenthOfMegabyte = kMegabyte / 10;
  if (bytes < kMegabyte) {
    return std::to_string(bytes / kKilobyte) + " KB";
  }
  return std::to_string(bytes / kMegabyte) + "." + std::to_string(bytes / kTenthOfMegabyte % 10) + " MB";
}

}  // namespace madderdeck::ledger
