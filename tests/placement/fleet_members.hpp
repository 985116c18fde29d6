#pragma once
/// @file A membership that contains a whole fleet, for tests.

#include <functional>
#include <string>

#include "membership/membership.hpp"
#include "placement/duties.hpp"
#include "support/test_environment.hpp"

namespace madderdeck::tests {

/// The membership of node-0 in a fleet of nodes "node-0", "node-1" and so on, which are distributed evenly over the
/// zones "z0" to "z4".
class fleet_members {
 public:
  static constexpr unsigned kZones = 5;
  using capacity_of = std::function<std::uint32_t(unsigned)>;
  static std::uint32_t equal(unsigned /*number*/) { return 0; }

  explicit fleet_members(unsigned count, const capacity_of& capacity = equal, bool backwards = false)
      : members(environment, counters, member(0, capacity), {}, hooks(), options()) {
    for (unsigned position = 1; position < count; ++position) {
      const unsigned number = backwards ? count - position : position;
      add(member(number, capacity));
    }
  }

  static wire::MemberT member(unsigned number, const capacity_of& capacity) {
    using membership::Role;
    wire::MemberT member;
    member.id = "node-" + std::to_string(number);
    member.peer_address = member.id + ":1";
    member.zone = "z" + std::to_string(number % kZones);
    member.roles = static_cast<std::uint32_t>(Role::gateway) | static_cast<std::uint32_t>(Role::scheduler);
    member.incarnation = 1;
    member.capacity = capacity(number);
    return member;
  }
  /// Delivers an update to node-0 that sets the state of member @p id to @p state.
  void set_member_state(const std::string& id, wire::MemberState state) {
    for (const wire::MemberT* known : members.members()) {
      if (known->id == id) {
        wire::MemberT update = *known;
        update.state = state;
        add(update);
        return;
      }
    }
  }

  TestEnvironment environment;
  Counters counters;
  membership::Membership members;
  placement::duties who{members};

 private:
  static membership::Hooks hooks() {
    membership::Hooks hooks;
    hooks.local_revisions = [] { return membership::TableRevisions{}; };
    hooks.on_peer_revisions = [](const PeerAddress&, const membership::TableRevisions&) {};
    return hooks;
  }
  static membership::Options options() {
    membership::Options options;
    options.period = 1h;  // the test answers no probes, which must not make members suspect
    return options;
  }
  void add(const wire::MemberT& member) {
    wire::MemberSyncT sync;
    sync.members.push_back(std::make_unique<wire::MemberT>(member));
    members.handle(PeerAddress("node-1:1"), sync);
  }
};

}  // namespace madderdeck::tests
