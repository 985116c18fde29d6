#pragma once
/// @file Batch items onto engines: fills the slack that live requests leave, and yields.

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "batch/records.hpp"
#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "config/objects.hpp"
#include "ledger/client.hpp"
#include "membership/membership.hpp"
#include "routing/backend.hpp"
#include "routing/registry.hpp"

namespace madderdeck::batch {

/// Rules of dispatching; always on in the daemon.
struct DispatchGuards {
  bool respect_leases = true;      ///< An item whose lease ran out is not started.
  bool write_results_once = true;  ///< The first result of an item stands.
  bool keep_headroom = true;       ///< Batch leaves slots free for live requests.
  bool yield_to_online = true;     ///< Batch streams stop when live requests need their slots.
  bool stop_cancelled = true;      ///< Running items of a cancelled job are stopped.
};

/// Told by the simulation's oracle what is started.
using StartHook = std::function<void(const JobId&, std::uint32_t index)>;

/// Sends batch items to the engines this node owns. Single threaded.
class Dispatcher {
 public:
  Dispatcher(Environment& environment, Counters& counters, ledger::Client& ledger, membership::Membership& members,
             const config::Catalog& catalog, routing::Registry& registry, routing::BackendClient& client,
             DecisionLog& log, DispatchGuards guards = {});

  void start();
  void handle(const PeerAddress& sender, const wire::GiveItemsT& message);
  void handle(const wire::OnlineActivityT& message);
  void handle(const wire::JobNoticeT& message);
  /// @return whether batch work on @p engine is this node's.
  bool owns(const BackendId& engine);
  /// This node is leaving: no new items; running ones are given back.
  void drain();
  std::size_t active() const { return running_.size() + unsettled_; }
  /// @return the node that owns batch work on @p engine.
  static const wire::MemberT* owner_of(const membership::Membership& members, const BackendId& engine);

  StartHook on_start;

 private:
  using RunId = std::uint64_t;
  struct Queued {
    wire::WorkItemT item;
    PeerAddress manager;
    Timestamp start_before{};
    unsigned failures = 0;
    std::shared_ptr<const routing::HttpItemCall> http;  ///< Set where the item is an HTTP request.
  };
  struct Running {
    Queued work;
    BackendId engine;
    routing::CallId call = 0;
    std::uint64_t started = 0;  ///< Order of starts; the youngest yields first.
  };
  struct Activity {
    std::uint32_t in_flight = 0;
    Timestamp heard_at{};
  };
  struct Engine {
    std::map<std::string, Activity> gateways;
    std::size_t running = 0;
    Timestamp resume_after{};
  };

  void tick();
  void fill();
  void request_items(std::size_t free_slots);
  std::uint32_t online_on(const routing::Backend& backend, Engine& engine) const;
  std::size_t room_on(const routing::Backend& backend, Engine& engine) const;
  std::vector<routing::Backend*> open_owned_engines();
  void refresh_ownership();
  std::vector<PeerAddress> managers_to_ask();
  void yield_on(const BackendId& id);
  /// @return the route of an HTTP item under the present configuration, or null.
  const forwarding::Route* route_of(const Queued& work) const;
  /// @return whether @p work may run on @p backend.
  bool fits(const Queued& work, const routing::Backend& backend) const;
  /// Fails items whose route has been gone for long.
  bool route_lost(const Queued& work);
  void start_item(Queued work, routing::Backend& backend);
  void on_token(RunId id, std::uint32_t offset, std::string_view text);
  void on_finished(RunId id, std::uint32_t total);
  void on_failed(RunId id, routing::CallFailure failure);
  bool failed_for_good(const Queued& work, routing::CallFailure failure) const;
  Running take_running(RunId id);
  void write_result(Queued work, bool failed);
  void report(const Queued& work, bool completed);
  static const std::string& name_of(const Queued& work);

  Environment& environment_;
  Counters& counters_;
  ledger::Client& ledger_;
  membership::Membership& members_;
  const config::Catalog& catalog_;
  routing::Registry& registry_;
  routing::BackendClient& client_;
  DecisionLog& log_;
  const DispatchGuards guards_;
  std::deque<Queued> queue_;
  std::map<RunId, Running> running_;
  std::map<BackendId, Engine> engines_;
  std::size_t unsettled_ = 0;
  /// When recent requests for items were sent. A lease counts from there, not from the
  /// arrival of the answer, which may have been under way for long.
  std::map<std::uint64_t, Timestamp> requested_at_;
  std::uint64_t next_request_ = 0;
  /// Managers that said they have items. Asked first; forgotten when they have none.
  std::set<PeerAddress> busy_managers_;
  Timestamp ask_after_{};
  Duration ask_interval_{};  ///< Doubles while nobody has items.
  std::set<BackendId> owned_;
  Timestamp owned_at_{};
  std::uint64_t owned_at_members_version_ = 0;
  std::uint64_t owned_at_registry_version_ = 0;
  std::map<std::string, Timestamp> route_missing_since_;  ///< By job.
  RunId next_run_ = 0;
  bool draining_ = false;
  Lifetime lifetime_;
};

}  // namespace madderdeck::batch
