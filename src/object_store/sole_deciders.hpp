#pragma once
/// @file Has the platform's store name the one member of a replica group that may decide the next epoch alone.

#include <functional>

#include "common/environment.hpp"
#include "ledger/groups.hpp"
#include "object_store/declarations.hpp"
#include "object_store/platform_client.hpp"

namespace madderdeck::object_store {

/// Kind of the objects that name a sole decider; one per group and epoch, immutable.
inline constexpr char kSoleDeciderKind[] = "sole-deciders";

/// In a group with two members neither is a majority. When one is lost, the other may decide the next epoch alone, but
/// never both of them: the store grants that to one of them by creating an object that must not exist yet. Both members
/// hold all records that such a group confirmed. Every other decision needs both members, including the sole decider,
/// so the two kinds of decision cannot contradict each other. Single threaded.
class sole_deciders {
 public:
  /// Receives Ok if the requested member is the decider; ErrorKind::conflict if another one is; ErrorKind::unavailable
  /// or ErrorKind::ambiguous if the outcome is not known. The request may be repeated at any time.
  using granted = std::function<void(Status)>;

  sole_deciders(Environment& environment, Declarations& declarations, PlatformClient& platform);

  /// Requests that @p member alone decides the epoch of @p group that follows @p epoch.
  void grant(std::uint32_t group, std::uint64_t epoch, const ledger::ReplicaIdentity& member, granted done);

 private:
  void read_back(const config::EntryKey& key, const std::string& wanted, granted done);

  Environment& environment_;
  Declarations& declarations_;
  PlatformClient& platform_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
