#pragma once
/// @file Lets the platform's store name the one member of a replica group that decides the next epoch alone.

#include <functional>

#include "common/environment.hpp"
#include "ledger/groups.hpp"
#include "object_store/declarations.hpp"
#include "object_store/platform_client.hpp"

namespace madderdeck::object_store {

/// Kind of the objects that name a sole decider; one for each group and epoch, never changed.
inline constexpr char kSoleDeciderKind[] = "sole-deciders";

/// Of a group with two members neither is a majority. When one is gone, the other may decide the next epoch alone, but
/// never both of them: the store grants it to one by creating an object that must not be there yet. All that such a
/// group confirmed is held by both members. Every other decision needs both, so it passes the decider, too, and the two
/// cannot disagree. Single threaded.
class sole_deciders {
 public:
  /// Gets nothing when @p member is the decider; ErrorKind::conflict when another one is; ErrorKind::unavailable or
  /// ErrorKind::ambiguous when the store does not tell. It may be asked again at any time.
  using granted = std::function<void(Status)>;

  sole_deciders(Environment& environment, Declarations& declarations, PlatformClient& platform);

  /// Asks that @p member decide who holds @p group after @p epoch.
  void grant(std::uint32_t group, std::uint64_t epoch, const ledger::ReplicaIdentity& member, granted done);

 private:
  void read_back(const config::EntryKey& key, const std::string& wanted, granted done);

  Environment& environment_;
  Declarations& declarations_;
  PlatformClient& platform_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
