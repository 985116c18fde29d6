#pragma once
/// @file Which nodes decide for the others in a large fleet: dispatchers of batch work, managers of jobs, coordinators.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "membership/membership.hpp"

namespace madderdeck::placement {

/// Gateways up to which every one tells all others its calls; beyond, few nodes decide (see docs/design/placement.md).
inline constexpr std::size_t kMostSharingGateways = 25;

/// Derived from the members alone, so that nodes with the same view agree. Of nodes that could do a duty the better
/// equipped ones come first. Single threaded.
class duties {
 public:
  /// @param members outlives this.
  explicit duties(const membership::Membership& members) : members_(members) {}

  /// @return whether the fleet is so large that few nodes decide for the others.
  bool divided() const;
  /// @return the scheduler that runs batch work on @p engine, which stands in @p zone; null where there is none.
  const wire::MemberT* dispatcher_of(std::string_view engine, const std::string& zone) const;
  /// @return whether this node may run batch work on engines of @p zone.
  bool dispatches_in(const std::string& zone) const;
  /// @return whether there is a zone on whose engines this node may run batch work.
  bool dispatches() const;
  /// @return the scheduler that looks after @p job; null where there is none.
  const wire::MemberT* manager_of(std::string_view job) const;
  /// @return where schedulers that may look after jobs hear their peers.
  std::vector<PeerAddress> managers() const;
  /// @return where schedulers that may run batch work hear their peers.
  std::vector<PeerAddress> dispatchers() const;
  /// @return gateways that may choose engines for @p key, the one that does first; those of @p zone where it has any.
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
  bool has_self(const candidates& among) const;
  static const wire::MemberT* best_of(const candidates& among, std::string_view key);

  const membership::Membership& members_;
  /// Derived again when the members change.
  mutable std::uint64_t version_ = 0;
  mutable bool divided_ = false;
  mutable candidates managers_;
  mutable candidates all_dispatchers_;
  mutable std::map<std::string, candidates> dispatchers_;  ///< By zone; with few nodes all under no zone.
  mutable std::map<std::string, candidates> gateways_;     ///< Those that answer probes, by zone.
};

}  // namespace madderdeck::placement
