#pragma once
/// @file A simulated fleet from which a disk departs for good, while the test orders what each node hears of it.

#include <functional>
#include <map>
#include <set>
#include <streambuf>
#include <string>
#include <utility>
#include <vector>

#include "simulation/fleet.hpp"

namespace madderdeck::tests {

/// Passes each line that is written on.
class line_sink : public std::streambuf {
 public:
  std::function<void(const std::string&)> on_line;

 protected:
  int_type overflow(int_type character) override;

 private:
  std::string line_;
};

/// What a departure must not leave behind.
enum class departure_fault {
  named_after_completed,  ///< A decided epoch names a disk whose node had already said that it is emptied.
  completed_while_named,  ///< A node says that its disk is emptied while the latest decided epoch names it.
  no_majority,            ///< In the end a group has no majority of disks that exist.
};

/// Real nodes with real replicas; each message between two of them may be lost or held by the test.
class departure_site {
 public:
  struct shape {
    std::uint64_t seed = 1;
    unsigned gateways = 4;            ///< At least; nodes are added until no node with a disk looks after the groups.
    bool disks_may_maintain = false;  ///< Otherwise gateways alone look after the groups.
    bool four_disks = false;          ///< From the start; otherwise three.
    node::Guards guards;
  };
  explicit departure_site(const shape& shape);

  /// Waits until all nodes know the groups.
  void found();
  /// Adds an empty disk that no group needs yet.
  /// @return the number of its node.
  unsigned add_spare();
  /// @return the controllers that look after the groups, those that rank first before the others.
  std::vector<unsigned> maintainers() const;

  // What a node hears.
  /// Messages that would tell @p node by membership of @p about are lost from now on.
  void withhold_word(unsigned node, unsigned about);
  void tell_words(unsigned node);
  /// Messages of the ledger and of tables to @p node are lost from now on, and the store does not answer it.
  void withhold_epochs(unsigned node);
  void tell_epochs(unsigned node);
  /// Messages to @p node that @p which picks wait from now on.
  void hold(unsigned node, std::function<bool(unsigned from, const wire::MessageUnion&)> which);
  /// Hands out what was held for @p node, in its order.
  void release(unsigned node);
  /// Hands out those that @p which picks; the others wait on.
  void release(unsigned node, const std::function<bool(const wire::MessageUnion&)>& which);
  void cut_off(unsigned node);
  void reconnect(unsigned node);
  void reconnect(unsigned one, unsigned other);

  // What happens to a node.
  /// Freezes @p node; what is sent to it meanwhile is lost.
  void freeze(unsigned node);
  /// Freezes @p node; what is sent to it meanwhile waits.
  void freeze_with_backlog(unsigned node);
  void thaw(unsigned node);
  void depart(unsigned node);
  /// Empties the disk of @p node, which is back with another one at once.
  void lose_disk(unsigned node);
  void wait(Duration time) { world.run_for(time); }
  /// @return whether @p condition was true within @p patience.
  bool wait_until(const std::function<bool()>& condition, Duration patience = 30s);
  /// Heals all, and gives the fleet the time to recover.
  void recover();

  /// @return whether the latest decided epoch of some group names the present disk of @p node as a member.
  bool is_member(unsigned node) const;
  /// @return whether it does, or as a former member.
  bool is_named(unsigned node) const;
  bool said_completed(unsigned node) const { return fleet.nodes[node]->emptied; }
  /// Judges how the groups ended.
  void judge();
  /// @return how often each fault was seen.
  const std::map<departure_fault, unsigned>& faults() const { return faults_; }
  /// @return what the decisions on members and the departures were, one a line.
  const std::string& account() const { return account_; }

  simulation::Oracle oracle;
  simulation::World world;
  line_sink sink;
  std::ostream decisions{&sink};
  simulation::SimFleet fleet;

 private:
  struct decided_epoch {
    std::uint64_t epoch = 0;
    std::string members;
    std::string leaving;
  };
  using holding = std::function<bool(unsigned from, const wire::MessageUnion&)>;

  static simulation::Profile profile_of(const shape& shape);
  bool pass(unsigned from, unsigned to, wire::Incoming& incoming);
  void take_line(const std::string& line);
  void take_epoch(const std::string& line);
  void take_completion(const std::string& line);
  void tell(const std::string& event, unsigned node);
  void note(departure_fault fault, const std::string& what);
  std::string identity_of(unsigned node) const;

  std::set<std::pair<unsigned, unsigned>> withheld_words_;  ///< Who does not hear, and of whom.
  std::set<unsigned> withheld_epochs_;
  std::map<unsigned, holding> holdings_;
  std::map<unsigned, std::vector<wire::Incoming>> held_;
  std::map<std::uint32_t, decided_epoch> latest_;  ///< By group.
  std::set<std::string> completed_;                ///< Disks whose nodes have said that they are emptied.
  std::map<departure_fault, unsigned> faults_;
  std::string account_;
};

}  // namespace madderdeck::tests
