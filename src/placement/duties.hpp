#pragma once
/// @file Selects the nodes that decide for others in a large fleet: dispatchers of batch work, job managers,
/// coordinators.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "membership/membership.hpp"

namespace madderdeck::placement {

/// Up to this many gateways, each one reports its calls to all others. In a larger fleet a few nodes decide for all
/// (see docs/design/placement.md).
inline constexpr std::size_t kMaxSharingGateways = 25;

/// Assigns duties by the membership alone, so that nodes with the same view agree. Among the nodes that are eligible
/// for a duty, those with the higher capacity come first. Single threaded.
class duties {
 public:
  /// @param members outlives this.
  explicit duties(const membership::Membership& members) : members_(members) {}

  /// @return whether the fleet is so large that a few nodes decide for the others.
  bool divided() const;
  /// @return the scheduler that runs batch work on @p engine, which is in @p zone; null if there is none.
  const wire::MemberT* dispatcher_of(std::string_view engine, const std::string& zone) const;
  /// @return whether this node may run batch work on engines of @p zone.
  bool dispatches_in(const std::string& zone) const;
  /// @return whether there is a zone on whose engines this node may run batch work.
  bool dispatches() const;
  /// @return the scheduler that manages @p job; null if there is none.
  const wire::MemberT* manager_of(std::string_view job) const;
  /// @return the peer addresses of the schedulers that may manage jobs.
  std::vector<PeerAddress> managers() const;
  /// @return the peer addresses of the schedulers that may run batch work.
  std::vector<PeerAddress> dispatchers() const;
  /// @return the gateways that may be coordinators for the domain key @p key, the preferred one first: gateways of
  ///         @p zone if it has any, otherwise of all zones.
  std::vector<const wire::MemberT*> coordinators_of(std::string_view key, const std::string& zone) const;

 private:
  struct candidate {
    std::uint64_t hash = 0;
    const wire::MemberT* member = nullptr;
  };
  using candidates = std::vector<candidate>;

  void refresh() const;
  /// @return the schedulers that may run batch work on engines of @p zone.
  const candidates& dispatchers_in(const std::string& zone) const;
  bool contains_self(const candidates& among) const;
  static const wire::MemberT* highest_ranked(const candidates& among, std::string_view key);

  const membership::Membership& members_;
  /// Membership version from which the fields below were derived; they are rebuilt when it changes.
  mutable std::uint64_t members_version_ = 0;
  mutable bool divided_ = false;
  mutable candidates managers_;
  mutable candidates all_dispatchers_;
  mutable std::map<std::string, candidates> dispatchers_;  ///< By zone; by "" if the fleet is not divided.
  mutable std::map<std::string, candidates> gateways_;     ///< By zone: gateways that answer probes.
};

}  // namespace madderdeck::placement
