#pragma once
/// @file Quarantine of requests, and of parts of their prompts, that crash the back ends that run them, shared by all
/// nodes that send requests. See docs/design/quarantine.md.

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "ledger/storage.hpp"
#include "quarantine/end_detector.hpp"
#include "quarantine/end_history.hpp"
#include "quarantine/held_back_marks.hpp"
#include "quarantine/news_delivery.hpp"
#include "quarantine/good_ends.hpp"

namespace madderdeck::quarantine {

/// Rules of the quarantine that tests can switch off; all are on in the daemon.
struct quarantine_guards {
  bool hold_back = true;              ///< A request under which three back ends have terminated is not sent again.
  bool report_terminations = true;    ///< Each termination is sent to the other nodes.
  bool await_reports = true;          ///< No decision is made while other nodes may still report related terminations.
  bool list_in_store_enabled = true;  ///< Requests that are quarantined are listed in the platform's store.
  bool try_requests = true;           ///< A quarantined request is tried again from time to time.
  bool hold_back_parts = true;        ///< A part of prompts under which back ends have terminated is not sent again.
  bool acquit_parts = true;           ///< A request that ends well acquits the parts of its prompt.
  /// Unacknowledged updates are abandoned and do not delay quarantining a request: earlier versions never acknowledge.
  bool abandon_unacknowledged = true;
};

/// Each termination is sent to all nodes that send requests until each has acknowledged it. A node that missed updates
/// because it was partitioned, frozen or not running obtains them by comparing digests with one node every
/// kCompareInterval and by requesting a list when it starts. The platform's store is read once at the start and written
/// for each request that is quarantined; nothing waits for it. Single threaded.
class request_quarantine : public routing::repeat_guard {
 public:
  /// @return the peer addresses of all other nodes that send requests to back ends.
  using peers = std::function<std::vector<PeerAddress>()>;
  /// @return whether a back end has announced that it is leaving, so that its termination is expected.
  using leaving = std::function<bool(const BackendId&)>;

  /// @param detector outlives this.
  request_quarantine(Environment& environment, Counters& counters, DecisionLog& log, end_detector& detector,
                     peers senders, leaving is_leaving, quarantine_guards guards = {});

  void start();
  /// Loads the shared entries from @p storage and from now on keeps them there. They survive a loss of power on all
  /// machines, after which each fatal request would otherwise crash three more engines. @p storage outlives this.
  void store_in(ledger::Storage& storage);
  /// Loads the list of quarantined requests from the platform's store and from now on adds to it the requests under
  /// which this node saw back ends terminate. This covers the case that a single node without a disk knows of a request
  /// while all others are stopped or have lost power. @p platform outlives this.
  void list_in_store(object_store::PlatformClient& platform);

  bool has_records() const override { return !history_.empty(); }
  bool suspects(const routing::crash_suspects& call) const override;
  bool is_quarantined(const routing::crash_suspects& call, const std::string& id, routing::send_stage stage) override;
  Duration undecided_wait(const routing::crash_suspects& call) const override;
  void call_broke(const routing::broken_call& call, decided done) override;
  void call_answered(const routing::crash_suspects& call) override;

  void handle(const PeerAddress& sender, const wire::SuspicionNewsT& message);
  void handle(const PeerAddress& sender, const wire::SuspicionTakenT& message);
  void handle(const PeerAddress& sender, const wire::SuspicionDigestT& message);
  void handle(const PeerAddress& sender, const wire::SuspicionSyncT& message);

  /// Called when a suspect is quarantined: requests that wait for a back end may be held back by now.
  std::function<void()> on_quarantined;

  const end_history& history() const { return history_; }

  /// Time between comparisons. A node that missed updates has them after two comparisons, within the 3 s by which
  /// connected nodes may lag behind each other.
  static constexpr Duration kCompareInterval = 500ms;
  /// Time between comparisons while this node has entries to compare: 15 in those 3 s, since each takes two or three
  /// messages that may be lost.
  static constexpr Duration kCompareIntervalWithEntries = 200ms;
  /// How long a request with two or more terminations stays undecided after the last change. By then the other nodes
  /// with calls on the same back end have checked it (twice, 20 ms apart) and sent the result, also if their first
  /// message was lost.
  static constexpr Duration kUndecidedTime = 100ms;
  /// The same for a request that shares its terminations with others, so that the cause is ambiguous. By then most
  /// harmless ones have completed on other back ends, which clears them. Most live replies take some 700 ms, part of
  /// which has already passed.
  static constexpr Duration kUndecidedTimeIfAmbiguous = 500ms;
  /// How long a proven part stays undecided after its first termination, or the last good end before it.
  static constexpr Duration kUndecidedTimeIfProven = 1s;
  /// Time from the last termination until one request is let through to try a quarantined suspect again; it grows
  /// with each trial. It is short where the evidence may be by chance, since nothing could acquit the suspect while all
  /// its requests are refused.
  static constexpr Duration kFirstTrial = 10min;
  static constexpr Duration kFirstTrialIfUncertain = 2s;
  static constexpr int kTrialPauseGrowth = 8;
  static constexpr Duration kMaxTrialPause = 30min;
  /// Each node adds a random time to that, so that the others learn of its trial before their own is due.
  static constexpr Duration kMinTrialSpread = 500ms;
  static constexpr Duration kTrialSpreadPerPeer = 10ms;
  /// Time for which a request that is let through may be sent again.
  static constexpr Duration kTrialTime = 10s;

 private:
  void compare();
  /// Requests the list of a random node, repeatedly, until one answers.
  void request_list_at_start();
  void record_end(const routing::broken_call& call);
  void record_end(const suspect_id& suspect, const backend_termination& end);
  /// Records that a run with @p suspect completed successfully at @p at.
  void acquit(const routing::request_fingerprint& suspect, UnixMilliseconds at);
  /// @return whether @p suspect is quarantined and decided.
  bool holds_back(const routing::request_fingerprint& suspect) const;
  void note_held_back(const routing::request_fingerprint& suspect, const std::string& id);
  Duration part_undecided_wait(const crash_suspect& part) const;
  /// @return whether the request @p id may be sent to try the quarantined @p part again.
  bool may_try(const routing::request_fingerprint& part, const std::string& id);
  /// @return whether the quarantined @p request may be sent under @p id to try it again. Before a back end is chosen
  ///         this only tells whether a trial is due.
  bool may_try_request(const routing::request_fingerprint& request, const std::string& id, routing::send_stage stage);
  bool is_running_trial(const routing::request_fingerprint& suspect, const std::string& id) const;
  void begin_trial(const routing::request_fingerprint& suspect, const std::string& id);
  /// Called when a back end terminated under @p call. If that was the trial of its request, the trial has failed.
  void end_trial(const routing::broken_call& call);
  /// @return the random time by which this node delays a trial.
  UnixMilliseconds draw_trial_offset();
  /// @return whether the terminations of @p suspect may be by chance.
  bool is_uncertain(const crash_suspect& suspect) const;
  /// @return the time between the last termination or trial of @p suspect and its next trial.
  Duration trial_pause(const crash_suspect& suspect) const;
  /// @return when this node may let a request through to try @p part again.
  UnixMilliseconds trial_due_at(const crash_suspect& part);
  /// Must be called after each change to the entry of @p request: starts its undecided time and has it stored.
  void on_entry_changed(const routing::request_fingerprint& request);
  /// Writes the list to the disk after kStoreDelay.
  void schedule_store();
  void store_list();
  void note_unreadable(ErrorKind kind);
  void merge_marks(const std::vector<crash_suspect>& marks);
  /// Removes @p request from the list in the platform's store if it has too few terminations by now.
  void remove_mark_if_released(const routing::request_fingerprint& request);
  /// Sends the entry of @p request to all other nodes, in one message with other changes within kBatchWindow.
  void queue_report(const routing::request_fingerprint& request);
  void send_waiting();
  wire::SuspicionNewsT compose_news(const std::vector<routing::request_fingerprint>& requests) const;
  /// Sends @p sender the entries of the requests in @p message for which this node knows more terminations.
  void send_missing_ends(const PeerAddress& sender, const wire::SuspicionNewsT& message);
  template <class Message>
  void merge_reports(const Message& message);
  /// Tells the other nodes of a good end of @p suspect that they do not know and that this node has seen.
  void tell_good_end(const routing::request_fingerprint& suspect);
  void merge_report(const crash_suspect& reported, std::string_view learned);
  wire::SuspicionSyncT shared_list() const;
  void send_shared(const PeerAddress& to, bool reply);
  /// Logs the requests that are no longer quarantined after the latest change and removes them from quarantined_.
  void log_released();
  /// Logs @p event with the reason why @p request is not quarantined and the request that shares most terminations.
  void log_not_held_back(std::string_view event, const routing::request_fingerprint& request, std::string_view learned);
  /// Logs whether @p request is quarantined, once it has three terminations and is decided, and lists it in the store.
  /// @param before whether it was quarantined before the latest change.
  /// @param learned how this node learned of that change, for the log.
  void hold_back_when_decided(const routing::request_fingerprint& request, bool before, std::string_view learned);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  end_detector& detector_;
  const peers senders_;
  const leaving is_leaving_;
  const quarantine_guards guards_;
  end_history history_;
  news_delivery delivery_;
  std::vector<routing::request_fingerprint> to_send_;
  std::map<routing::request_fingerprint, Timestamp>
      changed_at_;  ///< Changes within the last kUndecidedTimeIfAmbiguous, by this node's clock.
  Timestamp started_at_{};
  bool list_received_ = false;
  bool store_scheduled_ = false;
  Timestamp sent_shared_at_{};
  ledger::Storage* storage_ = nullptr;  ///< Only on nodes with a disk.
  std::uint64_t stored_digest_ = 0;
  std::unique_ptr<held_back_marks> marks_;  ///< Null without a platform store.
  struct trial {
    std::string request;
    Timestamp ends_at{};
  };
  std::map<routing::request_fingerprint, trial> trials_;  ///< Requests of this node that try a suspect again.
  struct trial_offset {
    UnixMilliseconds due = 0;
    UnixMilliseconds milliseconds = 0;
  };
  std::map<routing::request_fingerprint, trial_offset> trial_offsets_;
  good_ends part_good_ends_;
  good_ends request_good_ends_;
  std::set<routing::request_fingerprint> quarantined_;     ///< Logged as quarantined.
  std::set<routing::request_fingerprint> ends_seen_here_;  ///< This node saw a back end terminate under these.
  Lifetime lifetime_;
};

}  // namespace madderdeck::quarantine
