#pragma once
/// @file The back ends this node knows, with what it learnt about each.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/counters.hpp"
#include "common/environment.hpp"
#include "config/objects.hpp"
#include "routing/backend.hpp"
#include "routing/lapse.hpp"
#include "routing/ranked_pool.hpp"
#include "routing/shared_calls.hpp"
#include "routing/warm_up.hpp"

namespace madderdeck::routing {

/// So many back ends a node may ask for their load, or look after, that does not know yet who shares them with it.
inline constexpr std::size_t kMostBackendsBeforeFleet = 256;

/// Rules about leaving back ends; always on in the daemon.
struct RegistryGuards {
  bool honour_machine_list = true;  ///< No new work for machines listed as leaving.
  bool honour_refusals = true;      ///< A back end that says it is leaving gets no new work.
  bool need_fresh_reports = true;   ///< Nor does one that has not been heard of for a while.
  bool end_doubts = true;           ///< One whose entry has gone is used for a bounded time at most.
  bool doubt_mass_lapse = true;     ///< When most entries of a pool vanish at once, they are not believed gone yet.
};

/// State of one back end.
struct Backend {
  config::Machine machine;
  std::uint64_t life = 0;              ///< Another one whenever it was not listed before or has started anew.
  std::uint32_t online_in_flight = 0;  ///< This node's live calls; exact.
  std::uint32_t batch_in_flight = 0;   ///< This node's batch items; exact.
  LoadReport report;
  Timestamp reported_at{};
  std::uint32_t consecutive_failures = 0;
  std::uint32_t ejections = 0;  ///< Since the last success; each lasts longer.
  Timestamp ejected_until{};
  Timestamp added_at{};
  bool said_leaving = false;        ///< By its own refusal or report.
  double latency_ms = 0;            ///< Moving average of time to first token.
  Timestamp latency_at{};           ///< Of the latest time in it.
  std::uint32_t own_at_report = 0;  ///< online_in_flight when the report came.
  std::uint32_t last_excess = 0;    ///< Requests in the last report that nobody told of.
  std::uint32_t unexplained = 0;    ///< The same in both of the last two reports: of nodes that died, say.
  std::uint32_t open_calls = 0;     ///< Passed-on requests that are under way.
  Timestamp reading_until{};        ///< Until then it likely reads a long prompt, for this gateway or another.
  Timestamp quiet_since{};          ///< When one of them was last heard of, or the first was sent.
  Timestamp warms_until{};          ///< Until then it bears few requests, where its pool limits them.
  /// Its entry is back within moments of its going: it is not used until then, unless it starts anew.
  Timestamp barred_until{};
  /// Its entry is gone, but most others went with it: it may still be there, and is used until then.
  std::optional<lapse> unlisted;
};

/// All back ends by pool. Single threaded.
class Registry {
 public:
  Registry(Environment& environment, Counters& counters, const std::string& node, RegistryGuards guards = {});

  /// Takes the present state of the machine list entries @p keys.
  /// @param unchanged_until until when the source surely had no change of what was known before; zero: not known.
  void update(const config::VersionedTable& table, const std::vector<config::EntryKey>& keys,
              Timestamp unchanged_until = {});
  /// @param notice for how long after the platform's store took a back end's leaving requests may still reach it; zero:
  ///        not told.
  void set_leave_notice(Duration notice) { leave_notice_ = notice; }
  /// @param size how many back ends of each pool this node sends live requests to, at most.
  void set_subset_size(std::uint32_t size) { subset_size_ = size; }
  /// @param zones whose back ends are to get no requests from now on; those of all others may again.
  void set_evacuated(std::set<std::string> zones);
  /// @param limits what back ends of @p pool bear after a start.
  void set_warm_up(const std::string& pool, const warm_up& limits) { warm_ups_[pool] = limits; }
  /// @return the limit of requests a second at @p backend, which warms up; nothing where it does not.
  std::optional<double> warm_up_limit(const Backend& backend) const;
  /// @return open back ends of @p pool, of the whole of it, that warm up.
  std::vector<Backend*> warming(const std::string& pool);
  /// @p id failed a call or was silent: should it have started anew, it warms up now.
  void note_possible_start(const BackendId& id);
  /// Back ends of @p zone may start anew from now on without a word.
  void note_possible_starts(const std::string& zone);
  /// @param count gateways of the fleet, this one among them.
  void set_gateways(std::size_t count) { gateways_ = count; }
  /// @param age how long ago the machine list was surely complete; for decision lines.
  void use_list_age(std::function<Duration()> age) { list_age_ = std::move(age); }
  /// @return how long ago the machine list was surely complete, in milliseconds; -1 where that is not known.
  std::int64_t list_age_ms() const { return list_age_ ? list_age_() / 1ms : -1; }
  /// Told of each back end that stays in use though its entry has gone, and of each that is given up then; may be
  /// empty.
  std::function<void(const BackendId&, bool kept, const lapse&)> on_lapse;
  /// Told of each back end that has started anew under its id; may be empty.
  std::function<void(const Backend&)> on_restart;
  /// From now on the nodes tell each other their calls.
  void set_shared_calls(const shared_calls* calls) { shared_ = calls; }
  /// @return whether the calls of the other nodes are told.
  bool knows_calls() const { return shared_ != nullptr && shared_->any_heard(); }
  /// @return requests on @p backend that it has reported lately and no node has told of.
  std::uint32_t unexplained(const Backend& backend) const;
  /// @return how many gateways use one back end of @p pool, on average.
  double sharing(const std::string& pool) const;

  Backend* find(const BackendId& id);
  /// @return how many back ends offer @p pool, whatever their state.
  std::size_t pool_size(const std::string& pool) const {
    const auto ids = pools_.find(pool);
    return ids == pools_.end() ? 0 : ids->second.size();
  }
  /// @return back ends of @p pool in this node's subset that may get new work now and do not warm up. When
  ///         every one is ejected, all of them: some hope beats none.
  std::vector<Backend*> candidates(const std::string& pool);
  /// @return every back end of the machine list that takes new work.
  std::vector<Backend*> all_open();
  bool open(const Backend& backend) const;
  /// @return whether this node sends live requests to @p id.
  bool in_subset(const BackendId& id) const;

  /// A passed-on request goes to @p id, is heard of, ends.
  /// @return the life of the back end that the request belongs to.
  std::uint64_t on_sent(const BackendId& id);
  void on_heard(const BackendId& id);
  /// Nothing happens where the back end has started anew since.
  void on_ended(const BackendId& id, std::uint64_t life);
  /// @return whether @p id is known and is in its @p life.
  bool lives_on(const BackendId& id, std::uint64_t life) const;
  /// Another gateway has sent a long prompt to @p id, which likely reads it for @p expected.
  void on_reading(const BackendId& id, Duration expected);
  /// The first token of a call arrived after @p milliseconds.
  void on_first_token(const BackendId& id, double milliseconds);
  /// Forgets times to the first token that are older than @p age: an engine that was slow once is to be tried again.
  void forget_latencies(Duration age);
  /// Told of each time to the first token at this node's own calls; may be empty.
  std::function<void(const BackendId&, double milliseconds)> on_latency;
  /// A call ended with its whole answer.
  void on_success(const BackendId& id);
  void on_failure(const BackendId& id, CallFailure failure);
  /// A live call was answered with the back end's own failure.
  void on_failure_answer(const BackendId& id);
  /// Told of calls that a sound back end would not have failed; may be empty.
  std::function<void(const BackendId&, CallFailure)> on_trouble;
  /// @param asked_at when the report was asked for. Its age counts from there: the answer may
  ///        have waited while this node was frozen.
  void on_report(const BackendId& id, const LoadReport& report, Timestamp asked_at);
  const std::map<BackendId, Backend>& backends() const { return backends_; }
  /// @return those to which passed-on requests of this node are under way: few, however large the fleet is.
  const std::set<BackendId>& called() const { return called_; }
  /// @return a number that changes with the set of known back ends.
  std::uint64_t version() const { return version_; }

 private:
  /// A back end whose entry has just gone without having told that it leaves.
  struct Vanished {
    Backend backend;
    lapse how;
  };

  /// @return the back ends of @p pool that this node sends live requests to, whatever their state.
  std::vector<Backend*> subset_of(const std::string& pool) const;
  void join_pools(Backend& backend);
  /// @return the longest time for which back ends of its pools warm up.
  Duration warm_up_length(const Backend& backend) const;
  void warm_up_for(Backend& backend, Duration time);
  /// Takes @p id out of its pools; @p forget: out of the registry, too.
  void remove(const BackendId& id, bool forget);
  /// Entries lapse together when the list's keeper was away: then back ends stay in use for a while.
  void reinstate_lapsed(const std::string& pool);
  void end_doubt(const BackendId& id);
  /// @return for how long @p backend, whose entry has gone, may still be used.
  Duration doubt_left(const Backend& backend) const;
  /// Bars a back end whose entry is listed again right after it had gone: it may be a late write of one that has left.
  void bar_if_just_gone(Backend& backend);
  /// Takes a listed entry; one of an earlier life changes nothing, nor does one that takes a leaving back.
  void take_machine(Backend& backend, config::Machine machine);
  /// Drops what was reckoned with the life before of a back end that has started anew under its id.
  void begin_life(Backend& backend);
  void tell_lapse(const BackendId& id, bool kept, const lapse& how) const;
  std::size_t listed_count(const std::string& pool) const;
  std::size_t ejected_count(const std::string& pool) const;
  void eject(Backend& backend);

  Environment& environment_;
  Counters& counters_;
  const std::uint64_t node_hash_;
  const RegistryGuards guards_;
  Duration leave_notice_{};
  const shared_calls* shared_ = nullptr;
  std::function<Duration()> list_age_;
  std::uint32_t subset_size_ = 16;
  std::uint64_t version_ = 1;
  std::uint64_t lives_ = 0;  ///< Of all back ends.
  std::size_t gateways_ = 1;
  std::map<BackendId, Backend> backends_;
  std::map<std::string, ranked_pool> pools_;
  std::map<BackendId, Vanished> vanished_;   ///< Of the last kLapseWindow.
  std::set<std::string> evacuated_;          ///< Zones.
  std::map<std::string, warm_up> warm_ups_;  ///< By pool.
  std::set<BackendId> warming_;              ///< Back ends that warm up; forgotten when next looked at.
  std::set<BackendId> called_;               ///< Back ends with open calls.
  std::set<BackendId> timed_;                ///< Back ends with a known time to the first token.
  Lifetime lifetime_;
};

}  // namespace madderdeck::routing
