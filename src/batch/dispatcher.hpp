#pragma once
/// @file Starts batch items in the engine slots that live requests leave free, and stops them when live requests need
/// the slots.

#include <deque>
#include <functional>
#include <map>
#include <optional>
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

namespace madderdeck::batch {

/// Rules of dispatching; always on in the daemon.
struct DispatchGuards {
  bool respect_leases = true;      ///< An item whose lease has expired is not started.
  bool write_results_once = true;  ///< A later result does not replace the first one of an item.
  bool keep_headroom = true;       ///< Batch leaves slots free for live requests.
  bool hold_items_once = true;     ///< An item that this node holds and is handed out again is not run twice.
  bool stay_where_run_is = true;   ///< An item leaves an unresponsive engine only if that does not work on it.
  bool keep_failures = true;       ///< A failure that the ledger has not taken stays one and is no output.
  bool yield_to_online = true;     ///< Batch items are stopped when live requests need their slots.
  bool stop_cancelled = true;      ///< Running items of a cancelled job are stopped.
  /// An item whose run broke off is returned to its manager, which hands it out again.
  bool return_broken_items = true;
  /// Broken runs after which an item is not returned any more. The daemon has no such limit: engines end by themselves.
  std::optional<unsigned> max_broken_runs;
};

/// Called when an item is started; the simulation checks the starts with it.
using StartHook = std::function<void(const JobId&, std::uint32_t index)>;
/// Called when the number of this node's batch items running on an engine has changed.
using BatchActivityHook = std::function<void(const BackendId&)>;

/// Policies and estimates by which a dispatcher chooses and orders items.
struct DispatchPolicies {
  policy::policy_set set;
  policy::work_estimate* estimate = nullptr;  ///< Shared with the node's job manager; outlives it.
  std::function<Duration()> time_to_yield;    ///< Observed by the gateways; may be empty.
};

/// Sends batch items to the engines that this node owns. Single threaded.
class Dispatcher {
 public:
  Dispatcher(Environment& environment, Counters& counters, ledger::Client& ledger, membership::Membership& members,
             const config::Catalog& catalog, routing::Registry& registry, routing::BackendClient& client,
             DecisionLog& log, const placement::duties& who, DispatchPolicies policies, DispatchGuards guards = {});

  void start();
  void handle(const PeerAddress& sender, const wire::GiveItemsT& message);
  void handle(const wire::OnlineActivityT& message);
  void handle(const wire::JobNoticeT& message);
  /// @return whether this node dispatches the batch items of @p engine.
  bool owns(const BackendId& engine);
  /// @return the engines whose batch items this node dispatches.
  const std::set<BackendId>& owned();
  /// @return the engines to poll for their load in this round: those of owned() that are known to have calls, and one
  /// in kIdlePollRounds of the others, each in its turn.
  /// @param round number of the polling round.
  std::vector<BackendId> engines_to_poll(std::uint64_t round);
  static constexpr std::uint64_t kIdlePollRounds = 10;
  /// Called when this node is leaving: takes no new items and returns the running ones to their managers.
  void drain();
  std::size_t active() const {
    return running_.size() + leaving_.size() + settling_.size() + unwritten_failures_.size();
  }

  StartHook on_item_started;
  BatchActivityHook on_batch_activity;

 private:
  using RunId = std::uint64_t;
  struct QueuedItem {
    wire::WorkItemT item;
    PeerAddress manager;
    Timestamp start_before{};
    std::optional<Timestamp> unplaceable_since;         ///< Set while no usable engine of this node can run it.
    std::shared_ptr<const routing::HttpItemCall> http;  ///< Null unless the item is an HTTP request.
  };
  /// Identifies an item that this node holds, for the message that confirms it to its manager.
  struct HeldItem {
    std::string job;
    std::uint32_t index = 0;
    PeerAddress manager;
  };
  struct RunningItem {
    QueuedItem work;
    BackendId engine;
    std::uint64_t life = 0;  ///< Lifetime number of the engine when the run was sent to it.
    routing::CallId call = 0;
    std::uint64_t start_number = 0;  ///< Sequence number of the start; the latest start yields first.
    Timestamp started_at{};
    std::string software_version;    ///< Of the engine, as listed when the run was sent to it.
    std::uint32_t resumed_from = 0;  ///< Number of events that earlier runs produced.
    Timestamp progress_at{};         ///< Of its last event; before the first one, when it was sent.
    std::string request_id;          ///< By which the engine knows the run.
    bool looks_up = false;           ///< The engine is being asked whether it works on the item.
    Timestamp next_lookup_at{};
  };
  /// An item whose run was stopped and may go on at its engine, which has sent nothing for a while.
  struct LeavingItem {
    QueuedItem work;
    BackendId engine;
    std::string request_id;  ///< By which the engine knows the run.
    Timestamp since{};
  };
  struct GatewayActivity {
    std::uint32_t in_flight = 0;
    Timestamp received_at{};
    latest_message_number latest;
  };
  struct Engine {
    std::map<std::string, GatewayActivity> gateways;
    std::size_t running = 0;
    Timestamp resume_after{};
    policy::rate_meter live_call_rate;  ///< Rate at which live calls start.
  };

  void tick();
  bool is_idle() const;
  void fill_engines();
  void request_items(std::size_t free_slots);
  std::uint32_t online_calls_on(const routing::Backend& backend, Engine& engine) const;
  std::size_t headroom_of(const routing::Backend& backend, const Engine& engine) const;
  std::size_t free_slots_on(const routing::Backend& backend, Engine& engine) const;
  std::vector<routing::Backend*> open_owned_engines();
  /// @return the open owned engines to which items may be sent now, full ones included.
  std::vector<routing::Backend*> usable_engines();
  /// Starts queued items on @p backend.
  /// @return the slots that stay free.
  std::size_t fill_engine(routing::Backend& backend);
  /// Returns to their managers the queued items that cannot be started here in time.
  void return_unstartable_items(const std::vector<routing::Backend*>& usable);
  /// @return whether no engine of @p usable can run @p work, and none could for kMaxUnplaceableTime.
  bool unplaceable_too_long(QueuedItem& work, const std::vector<routing::Backend*>& usable) const;
  void refresh_ownership();
  std::vector<PeerAddress> managers_to_ask();
  void yield_on(const BackendId& id);
  policy::unfinished_item_state outlook_of(const QueuedItem& work) const;
  void sort_queue();
  /// Requeues the runs on engines that have sent nothing for kUnresponsiveEngineTimeout; the items resume on another
  /// engine from their last event.
  void requeue_from_unresponsive_engines();
  /// Requeues the runs that have produced no event for kProgressTimeout, whatever bytes came.
  void requeue_without_progress();
  /// Requeues the runs on engines that another dispatcher owns by now.
  void requeue_from_lost_engines();
  /// Why a run is stopped and its item requeued.
  enum class stop_reason { yields, engine_unresponsive, no_progress, engine_lost };
  /// @return the name of @p reason in log lines and counters.
  static std::string_view stop_reason_name(stop_reason reason);
  /// @return whether this node holds the item of @p given, whose manager and lease it then takes over.
  bool holds_already(const QueuedItem& given);
  /// @return the runs for which @p holds returns true.
  std::vector<RunId> runs_that(const std::function<bool(const RunningItem&)>& holds) const;
  /// Asks the engine of a run that is to be stopped for @p reason whether it works on it.
  void look_up_run(RunId id, stop_reason reason);
  void on_run_found(RunId id, stop_reason reason, routing::run_presence found);
  /// Stops a run whose engine does not respond, and requeues its item.
  void leave_unresponsive(RunId id, stop_reason reason);
  /// Queues an item whose run was stopped, in its place by the order of the queue.
  void queue_again(QueuedItem work);
  /// Asks the engine of a stopped run until it has that no more, cannot be reached, or kMaxLeaving is over; then queues
  /// the item.
  void await_leaving(RunId id);
  void on_leaving_found(RunId id, routing::run_presence found);
  /// Stops @p run and requeues its item.
  /// @param live number of live calls that need the engine's slots; 0 where the run is stopped for another reason.
  void requeue(std::map<RunId, RunningItem>::iterator run, stop_reason reason, std::uint32_t live);
  void change_running(const BackendId& id, std::ptrdiff_t change);
  /// @return the route of the job of an HTTP item under the current configuration, or null.
  const forwarding::Route* route_of(const QueuedItem& work) const;
  /// @return whether @p work may run on @p backend.
  bool can_run_on(const QueuedItem& work, const routing::Backend& backend) const;
  /// @return whether @p work is to wait for an engine of the software version that wrote its partial output rather than
  ///         begin anew on @p backend.
  bool waits_for_version(const QueuedItem& work, const routing::Backend& backend);
  /// Discards the output that @p work has so far; its next run begins with the first event.
  void discard_output(QueuedItem& work, const std::string& reason);
  /// Discards the partial output of @p work if @p backend must not continue it.
  void begin_anew_if_necessary(QueuedItem& work, const routing::Backend& backend);
  /// @return whether the route of @p work has been missing from the configuration for longer than kRouteMissingLimit.
  bool route_missing_too_long(const QueuedItem& work);
  void start_item(QueuedItem work, routing::Backend& backend);
  /// @return the engine call that runs @p work, or the error in the item.
  Result<routing::EngineCall> engine_call_for(const QueuedItem& work) const;
  void on_token(RunId id, std::uint32_t offset, std::string_view text);
  void on_finished(RunId id, std::uint32_t total);
  void on_failed(RunId id, routing::CallFailure failure);
  /// @return whether @p work failed as often as its route allows.
  bool has_no_attempts_left(const QueuedItem& work) const;
  /// Records that @p work has failed for good.
  void fail_item(QueuedItem work, wire::ItemFailure failure);
  /// @return whether the guards let the item of a run that broke off be run again.
  bool may_run_after_break(const QueuedItem& work);
  RunningItem take_running(RunId id);
  /// Writes the output of @p work, or its failure if it has one.
  void write_result(QueuedItem work);
  void on_result_written(const QueuedItem& work, RunId id, const Result<ledger::OptionalValue>& result);
  void report_failure_as_output(QueuedItem work);
  /// Keeps an item whose failure the ledger has not taken, and writes that again.
  void keep_failure(QueuedItem work);
  void report(const QueuedItem& work, bool completed);
  /// Tells the manager of a running item that this node still holds it.
  void report_held(const QueuedItem& work);
  /// Tells managers which items of their jobs this node holds; they hand out again what is not confirmed for long.
  void confirm_held_items();
  /// Reports items whose job has moved to another manager: running ones as held, queued ones as returned.
  void update_managers();
  wire::ItemSettledT settled_message_of(const QueuedItem& work) const;
  PeerAddress manager_of(const QueuedItem& work) const;
  void return_surplus_items(std::size_t wanted);
  static const std::string& item_id_of(const QueuedItem& work);

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
  std::deque<QueuedItem> queue_;
  std::map<RunId, RunningItem> running_;
  std::map<RunId, LeavingItem> leaving_;
  std::map<RunId, HeldItem> settling_;              ///< Items whose result is being written.
  std::map<RunId, QueuedItem> unwritten_failures_;  ///< Failed items whose failure is to be written again.
  Timestamp confirmed_at_{};
  std::map<BackendId, Engine> engines_;
  policy::rate_meter live_call_rate_;  ///< Rate at which live calls start over all engines of this node.
  /// A request for items, and the items that its answers have brought, since the network may duplicate an answer.
  struct Request {
    Timestamp asked_at{};  ///< Leases run from here, since an answer may have been in transit for long.
    std::set<std::tuple<PeerAddress, std::string, std::uint32_t>> taken;  ///< Manager, job and index.
  };
  std::map<std::uint64_t, Request> requests_;  ///< Those of the last kRequestMaxAge.
  std::uint64_t next_request_ = 0;
  /// Managers that announced items. They are asked first, and removed once they answer without items.
  std::set<PeerAddress> managers_with_items_;
  Timestamp next_request_at_{};
  Duration ask_interval_{};  ///< Doubles while no manager has items.
  std::set<BackendId> owned_engines_;
  Timestamp ownership_refreshed_at_{};
  /// The value of ownership_refreshed_at_ when runs on engines of other owners were last requeued.
  Timestamp requeued_for_ownership_at_{};
  std::uint64_t ownership_members_version_ = 0;
  std::uint64_t ownership_registry_version_ = 0;
  std::map<std::string, Timestamp> route_missing_since_;                   ///< Keyed by job.
  std::map<std::pair<std::string, std::uint32_t>, unsigned> broken_runs_;  ///< Filled only if they are limited.
  RunId next_run_ = 0;
  std::uint64_t managers_members_version_ = 0;  ///< Version of members_ at the last update_managers().
  bool draining_ = false;
  Lifetime lifetime_;
};

}  // namespace madderdeck::batch
