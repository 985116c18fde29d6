#pragma once
/// @file Batch items onto engines: fills the slack that live requests leave, and yields.

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "batch/records.hpp"
#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/word_numbers.hpp"
#include "config/objects.hpp"
#include "ledger/client.hpp"
#include "membership/membership.hpp"
#include "placement/duties.hpp"
#include "policy/policies.hpp"
#include "policy/rate_meter.hpp"
#include "policy/work_estimate.hpp"
#include "routing/backend.hpp"
#include "routing/registry.hpp"
#include "routing/repeat_guard.hpp"

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
/// This node's batch items on an engine are more or fewer than before.
using BatchActivityHook = std::function<void(const BackendId&)>;

/// What a dispatcher decides by.
struct DispatchPolicies {
  policy::policy_set set;
  policy::work_estimate* estimate = nullptr;  ///< Shared with the node's job manager; outlives it.
  std::function<Duration()> time_to_yield;    ///< As the gateways observe it; may be empty.
};

/// Sends batch items to the engines this node owns. Single threaded.
class Dispatcher {
 public:
  Dispatcher(Environment& environment, Counters& counters, ledger::Client& ledger, membership::Membership& members,
             const config::Catalog& catalog, routing::Registry& registry, routing::BackendClient& client,
             DecisionLog& log, const placement::duties& who, DispatchPolicies policies, DispatchGuards guards = {});

  void start();
  void handle(const PeerAddress& sender, const wire::GiveItemsT& message);
  void handle(const wire::OnlineActivityT& message);
  void handle(const wire::JobNoticeT& message);
  /// From now on items under which engines end are not run again. @p guard outlives this.
  void use_repeat_guard(routing::repeat_guard& guard) { repeats_ = &guard; }
  /// @return whether batch work on @p engine is this node's.
  bool owns(const BackendId& engine);
  /// @return the engines whose batch work is this node's.
  const std::set<BackendId>& owned();
  /// @return those of owned() with calls that are known here, and of the others one in kIdleRounds, each in its turn.
  /// @param round counts the looks.
  std::vector<BackendId> worth_asking(std::uint64_t round);
  static constexpr std::uint64_t kIdleRounds = 10;
  /// This node is leaving: no new items; running ones are given back.
  void drain();
  std::size_t active() const { return running_.size() + settling_.size(); }

  StartHook on_start;
  BatchActivityHook on_batch_activity;

 private:
  using RunId = std::uint64_t;
  struct Queued {
    wire::WorkItemT item;
    PeerAddress manager;
    Timestamp start_before{};
    unsigned failures = 0;
    std::shared_ptr<const routing::HttpItemCall> http;        ///< Set where the item is an HTTP request.
    std::optional<routing::request_fingerprint> fingerprint;  ///< Once it was needed.
  };
  /// What of an item its manager has to know: that it is here.
  struct Held {
    std::string job;
    std::uint32_t index = 0;
    PeerAddress manager;
  };
  struct Withheld {
    Queued work;
    Timestamp until{};
  };
  struct Running {
    Queued work;
    BackendId engine;
    std::uint64_t life = 0;  ///< Of the engine, when the run went there.
    routing::CallId call = 0;
    std::uint64_t started = 0;  ///< Order of starts; the youngest yields first.
    Timestamp started_at{};
    std::uint32_t first_event = 0;  ///< Events that earlier runs have made.
    std::optional<Timestamp> first_event_at;
  };
  struct Activity {
    std::uint32_t in_flight = 0;
    Timestamp heard_at{};
    latest_word latest;
  };
  struct Engine {
    std::map<std::string, Activity> gateways;
    std::size_t running = 0;
    Timestamp resume_after{};
    policy::rate_meter live;  ///< Live calls that began.
  };

  void tick();
  bool is_idle() const;
  void fill();
  void request_items(std::size_t free_slots);
  std::uint32_t online_on(const routing::Backend& backend, Engine& engine) const;
  std::size_t headroom_of(const routing::Backend& backend, const Engine& engine) const;
  std::size_t room_on(const routing::Backend& backend, Engine& engine) const;
  std::vector<routing::Backend*> open_owned_engines();
  void refresh_ownership();
  std::vector<PeerAddress> managers_to_ask();
  void yield_on(const BackendId& id);
  policy::item_outlook outlook_of(const Queued& work) const;
  void sort_queue();
  /// Stops @p run, since @p live live calls need the engine's slots, and puts it back among the waiting ones.
  /// Puts back what runs on engines that have said nothing for long: the items go on elsewhere from their last event.
  void leave_silent_engines();
  /// Puts back what runs on engines that another dispatcher looks after by now.
  void leave_lost_engines();
  void put_back(std::map<RunId, Running>::iterator run, std::uint32_t live);
  void set_running(const BackendId& id, std::ptrdiff_t change);
  /// @return the route of an HTTP item under the present configuration, or null.
  const forwarding::Route* route_of(const Queued& work) const;
  /// @return whether @p work may run on @p backend.
  bool fits(const Queued& work, const routing::Backend& backend) const;
  /// Fails items whose route has been gone for long.
  bool route_lost(const Queued& work);
  void start_item(Queued work, routing::Backend& backend);
  /// @return the call that runs @p work, or why there is none.
  Result<routing::EngineCall> call_of(const Queued& work) const;
  /// @return whether an engine is known to have ended under @p work.
  bool suspected(Queued& work) const;
  /// @return whether @p work is suspected and so is an item that runs on @p engine. Suspects run apart: of two that
  ///         always run together, nobody could tell which one ends the engine.
  bool meets_suspect(Queued& work, const BackendId& engine);
  const routing::request_fingerprint& fingerprint_of(Queued& work) const;
  bool held_back(Queued& work);
  /// An item that is not to be run now waits for its retrial. When that has failed, too, the item fails; where its job
  /// says until when it is to be kept, it stays unrun until then.
  void withhold(Queued work);
  /// Gives @p work back once it is known whether the engine ended under it.
  void report_break(Running run);
  void on_token(RunId id, std::uint32_t offset, std::string_view text);
  void on_finished(RunId id, std::uint32_t total);
  void on_failed(RunId id, routing::CallFailure failure);
  bool failed_for_good(const Queued& work, routing::CallFailure failure) const;
  Running take_running(RunId id);
  void write_result(Queued work, bool failed);
  void report(const Queued& work, bool completed);
  /// Tells the manager of a running item that it is in good hands.
  void claim(const Queued& work);
  /// Tells managers what is held of their jobs; what they do not hear of for long they hand out again.
  void confirm_held();
  /// Gives back what has been withheld for long enough.
  void return_withheld();
  /// Items whose manager is another node by now are made known to it.
  void follow_managers();
  wire::ItemSettledT settlement_of(const Queued& work) const;
  PeerAddress manager_of(const Queued& work) const;
  void give_back_surplus(std::size_t wanted);
  static const std::string& name_of(const Queued& work);

  Environment& environment_;
  Counters& counters_;
  ledger::Client& ledger_;
  membership::Membership& members_;
  const config::Catalog& catalog_;
  routing::Registry& registry_;
  routing::BackendClient& client_;
  DecisionLog& log_;
  const placement::duties& duties_;
  const DispatchPolicies policies_;
  const DispatchGuards guards_;
  std::deque<Queued> queue_;
  std::map<RunId, Running> running_;
  std::map<RunId, Held> settling_;  ///< Results that are being written, and breaks whose cause is looked for.
  std::vector<Withheld> withheld_;
  Timestamp confirmed_at_{};
  std::map<BackendId, Engine> engines_;
  policy::rate_meter live_;  ///< Live calls that began at any engine of this node.
  routing::repeat_guard* repeats_ = nullptr;
  /// A request for items, and which of them its answers have brought: they may be repeated on the way.
  struct Request {
    Timestamp asked_at{};  ///< A lease counts from here, not from the answer, which may have been under way for long.
    std::set<std::tuple<PeerAddress, std::string, std::uint32_t>> taken;  ///< Manager, job and index.
  };
  std::map<std::uint64_t, Request> requests_;  ///< Recent ones.
  std::uint64_t next_request_ = 0;
  /// Managers that said they have items. Asked first; forgotten when they have none.
  std::set<PeerAddress> busy_managers_;
  Timestamp ask_after_{};
  Duration ask_interval_{};  ///< Doubles while nobody has items.
  std::set<BackendId> owned_;
  Timestamp owned_at_{};
  Timestamp left_at_ownership_{};  ///< The value of owned_at_ when runs on other engines were last put back.
  std::uint64_t owned_at_members_version_ = 0;
  std::uint64_t owned_at_registry_version_ = 0;
  std::map<std::string, Timestamp> route_missing_since_;  ///< By job.
  RunId next_run_ = 0;
  std::uint64_t followed_members_version_ = 0;
  bool draining_ = false;
  Lifetime lifetime_;
};

}  // namespace madderdeck::batch
