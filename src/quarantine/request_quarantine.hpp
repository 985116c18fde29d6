#pragma once
/// @file Requests that end the back ends that run them, known to all nodes that send. See docs/design/quarantine.md.

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "ledger/storage.hpp"
#include "quarantine/end_detector.hpp"
#include "quarantine/end_history.hpp"
#include "quarantine/held_back_marks.hpp"
#include "quarantine/news_delivery.hpp"

namespace madderdeck::quarantine {

/// Rules of the quarantine; always on in the daemon.
struct quarantine_guards {
  bool hold_back = true;      ///< A request under which three back ends have ended is not sent again.
  bool tell_others = true;    ///< The other nodes hear of each end.
  bool await_news = true;     ///< Nobody is judged while others may still tell of ends that explain these.
  bool mark_in_store = true;  ///< What is held back stands in the platform's store.
  /// News that nobody acknowledges is given up, and judged by all the same: earlier versions never acknowledge.
  bool bound_answers = true;
};

/// Each end is told to all nodes that send requests until each has taken it. What a node missed that was cut off,
/// frozen or not there is made good by comparing digests with one node every kCompare, and by asking at the start. Of
/// the platform's store it needs a reading at the start and a writing for each request that is held back; it never
/// waits for it. Single threaded.
class request_quarantine : public routing::repeat_guard {
 public:
  /// @return peer addresses of all other nodes that send requests to back ends.
  using peers = std::function<std::vector<PeerAddress>()>;
  /// @return whether a back end has said that it leaves: its end is no surprise.
  using leaving = std::function<bool(const BackendId&)>;

  /// @param detector outlives this.
  request_quarantine(Environment& environment, Counters& counters, DecisionLog& log, end_detector& detector,
                     peers senders, leaving is_leaving, quarantine_guards guards = {});

  void start();
  /// From now on what is shared is kept on this node's disk, and what stands there is taken: it outlasts the loss of
  /// power on all machines, after which each fatal request would end three engines more. @p storage outlives this.
  void keep_in(ledger::Storage& storage);
  /// From now on the requests that are held back are named in the platform's store, by nodes that saw back ends end
  /// under them, and this node takes those that stand there: one node may know alone while all others stand still or
  /// have lost power, and has no disk. @p platform outlives this.
  void mark_in(object_store::PlatformClient& platform);

  bool remembers_any() const override { return !history_.empty(); }
  bool suspects(const routing::request_fingerprint& request) const override { return history_.ends(request) > 0; }
  bool holds_back(const routing::request_fingerprint& request, const std::string& id) override;
  bool allows_retrial(const routing::request_fingerprint& request) const override;
  Duration undecided_for(const routing::request_fingerprint& request) const override;
  bool beyond_doubt(const routing::request_fingerprint& request) const override {
    return history_.beyond_doubt(request);
  }
  void call_broke(const routing::broken_call& call, decided done) override;
  void call_answered(const routing::request_fingerprint& request) override;

  void handle(const PeerAddress& sender, const wire::SuspicionNewsT& message);
  void handle(const PeerAddress& sender, const wire::SuspicionTakenT& message);
  void handle(const PeerAddress& sender, const wire::SuspicionDigestT& message);
  void handle(const PeerAddress& sender, const wire::SuspicionSyncT& message);

  const end_history& history() const { return history_; }

  /// A node that missed news has it after two of these, within the 3 s in which nodes in touch may be behind.
  static constexpr Duration kCompare = 500ms;
  /// While there is something to compare: 15 times in those 3 s, each with two or three messages that may be lost.
  static constexpr Duration kCompareKnown = 200ms;
  /// From the last news of a request with two ends or more: by then the others that had calls on the same back end have
  /// looked at it (twice, 20 ms apart) and told, also when the first message is lost.
  static constexpr Duration kUndecided = 100ms;
  /// The same where it is open which of several requests with the same ends did it: by then those that did not, and run
  /// elsewhere, have come to a good end and are acquitted. Most live replies take some 700 ms, of which a part has
  /// passed.
  static constexpr Duration kUndecidedAmong = 500ms;

 private:
  void compare();
  /// Asks one node after the other for its list until one answers.
  void ask_at_start();
  void record_end(const routing::broken_call& call);
  /// What is known of @p request has changed.
  void note_change(const routing::request_fingerprint& request);
  void keep_soon();
  void keep();
  void note_unreadable(ErrorKind kind);
  void take_marks(const std::vector<suspected_request>& marks);
  void unmark(const routing::request_fingerprint& request);
  /// Tells all others of @p request, together with what else comes up within kTogether.
  void tell(const routing::request_fingerprint& request);
  void tell_waiting();
  wire::SuspicionNewsT news_of(const std::vector<routing::request_fingerprint>& requests) const;
  /// Tells @p sender what it does not know of the requests that it told of.
  void answer_with_more(const PeerAddress& sender, const wire::SuspicionNewsT& message);
  void take(const std::vector<std::unique_ptr<wire::SuspectedRequestT>>& requests);
  void take(const suspected_request& told, std::string_view learned);
  wire::SuspicionSyncT shared_list() const;
  void send_shared(const PeerAddress& to, bool reply);
  /// Says which requests are not held back any more by what has just been heard.
  void note_released();
  /// Why @p request, with three ends, is not held back, and beside which other one.
  void note_verdict(std::string_view event, const routing::request_fingerprint& request, std::string_view learned);
  void note_if_held_back(const routing::request_fingerprint& request, bool before, std::string_view learned);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  end_detector& detector_;
  const peers senders_;
  const leaving is_leaving_;
  const quarantine_guards guards_;
  end_history history_;
  news_delivery delivery_;
  std::vector<routing::request_fingerprint> to_tell_;
  std::map<routing::request_fingerprint, Timestamp>
      changed_at_;  ///< Of the last kUndecidedAmong, by this node's clock.
  Timestamp started_at_{};
  bool answered_at_start_ = false;
  bool keeps_soon_ = false;
  Timestamp sent_shared_at_{};
  ledger::Storage* storage_ = nullptr;  ///< Only on nodes with a disk.
  std::uint64_t kept_digest_ = 0;
  std::unique_ptr<held_back_marks> marks_;              ///< Only where a store is given.
  std::set<routing::request_fingerprint> quarantined_;  ///< Said to be held back.
  std::set<routing::request_fingerprint> saw_end_;      ///< This node saw a back end end under these.
  Lifetime lifetime_;
};

}  // namespace madderdeck::quarantine
