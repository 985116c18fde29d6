#pragma once
/// @file The back ends that this node knows, and the observed state of each.

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
#include "routing/software_versions.hpp"
#include "routing/warm_up.hpp"

namespace madderdeck::routing {

/// Most back ends that a node may poll or own before it knows the other nodes of the fleet, which share this work.
inline constexpr std::size_t kMaxBackendsBeforeFleetKnown = 256;

/// Rules about back ends that leave; always on in the daemon.
struct RegistryGuards {
  bool honour_machine_list = true;     ///< A back end listed as leaving gets no new work.
  bool honour_leaving_reports = true;  ///< A back end that answers or reports that it is leaving gets no new work.
  bool need_fresh_reports = true;      ///< A back end without a recent load report gets no new work.
  bool bound_grace_period = true;      ///< A back end that is no longer listed is used for a bounded time at most.
  bool match_software_version = true;  ///< A stream is continued only by the software version that began it.
  bool keep_on_mass_delisting = true;  ///< If most entries of a pool disappear together, their back ends stay in use.
};

/// State of one back end.
struct Backend {
  config::Machine machine;
  std::uint64_t life = 0;  ///< Incarnation number; changes when the back end is newly listed or has restarted.
  std::uint32_t online_in_flight = 0;  ///< This node's live calls; exact.
  std::uint32_t batch_in_flight = 0;   ///< This node's batch items; exact.
  LoadReport report;
  Timestamp reported_at{};
  std::uint32_t consecutive_failures = 0;
  std::uint32_t ejections = 0;  ///< Ejections since the last success; each lasts longer than the one before.
  Timestamp ejected_at{};       ///< Start of its latest ejection.
  Timestamp ejected_until{};
  Timestamp added_at{};
  bool reported_leaving = false;                 ///< The back end's last refusal or report said that it is leaving.
  double latency_ms = 0;                         ///< Moving average of time to first token.
  Timestamp latency_at{};                        ///< When latency_ms was last updated.
  std::uint32_t online_in_flight_at_report = 0;  ///< online_in_flight when the report arrived.
  std::uint32_t last_unattributed = 0;           ///< Requests in the last load report that no node has reported.
  std::uint32_t unattributed = 0;  ///< The smaller such excess of the last two, such as requests of crashed nodes.
  std::uint32_t open_calls = 0;    ///< Forwarded requests in progress.
  Timestamp prefill_until{};       ///< Until then a long prefill for any gateway is probably running.
  Timestamp last_data_at{};        ///< When a forwarded request last received data, or the first was sent.
  Timestamp warm_up_until{};       ///< Until then its request rate is limited, if its pool has a warm-up limit.
  /// Set if its entry was listed again shortly after it had disappeared: the back end is not used until then unless it
  /// restarts.
  Timestamp withheld_until{};
  /// Its entry came from a disk and is not confirmed since: the back end is used once it has told who it is.
  bool restored = false;
  Timestamp identity_asked_at{};  ///< When a restored back end was asked last; zero: never.
  /// Set if its entry disappeared together with most others of a pool: the back end may still run, and is used for a
  /// bounded time.
  std::optional<lapse> unlisted;
};

/// All back ends by pool. Single threaded.
class Registry {
 public:
  Registry(Environment& environment, Counters& counters, const std::string& node, RegistryGuards guards = {});

  /// Applies the current state of the machine list entries @p keys.
  /// @param unchanged_until latest time at which the source certainly had none of these changes; zero: unknown.
  /// @param restored whether the entries came from disks and the source has not confirmed them since.
  void update(const config::VersionedTable& table, const std::vector<config::EntryKey>& keys,
              Timestamp unchanged_until = {}, bool restored = false);
  /// The source has confirmed the list: restored back ends need not tell who they are any more.
  void trust_restored();
  /// Call this when the restored back end @p id has told that it is the one listed and accepts requests.
  void on_identity(const BackendId& id);
  bool has_unidentified() const { return !unidentified_.empty(); }
  bool all_unidentified() const { return has_unidentified() && unidentified_.size() == backends_.size(); }
  /// @return restored back ends that have not told who they are and were not asked since @p asked_before; they count as
  ///         asked now.
  std::vector<BackendId> take_unidentified(Timestamp asked_before, std::size_t limit);
  /// @param notice for how long a back end still accepts requests after the platform's store has recorded that it
  ///        leaves; zero: unknown.
  void set_leave_notice(Duration notice) { leave_notice_ = notice; }
  /// @param size the largest number of back ends of each pool to which this node sends live requests.
  void set_subset_size(std::uint32_t size) { subset_size_ = size; }
  /// @param zones the zones whose back ends get no requests from now on; back ends of all other zones may get requests.
  void set_evacuated(std::set<std::string> zones);
  /// @param limits the request limit of the back ends of @p pool after a start.
  void set_warm_up(const std::string& pool, const warm_up& limits) { warm_ups_[pool] = limits; }
  /// @return the limit in requests per second of @p backend while it warms up; nothing if it has none.
  std::optional<double> warm_up_limit(const Backend& backend) const;
  /// @return the back ends that warm up and may get new work, of the whole @p pool and not only of this node's subset.
  std::vector<Backend*> warming(const std::string& pool);
  /// Call this when @p id failed a call or was unresponsive: it may have restarted, so it is treated as warming up.
  void note_possible_restart(const BackendId& id);
  /// Call this when back ends of @p zone may have restarted unnoticed: all of them are treated as warming up.
  void note_possible_restarts(const std::string& zone);
  /// @param count number of gateways in the fleet, including this node.
  void set_gateways(std::size_t count) { gateways_ = count; }
  /// @param age returns how long ago the machine list was certainly complete; for the decision log.
  void use_list_age(std::function<Duration()> age) { list_age_ = std::move(age); }
  /// @return how long ago the machine list was certainly complete, in milliseconds; -1 if unknown.
  std::int64_t list_age_ms() const { return list_age_ ? list_age_() / 1ms : -1; }
  /// Called with kept = true for each back end that stays in use although its entry has disappeared, and with kept =
  /// false when such a back end is finally removed; may be empty.
  std::function<void(const BackendId&, bool kept, const lapse&)> on_lapse;
  /// Called for each back end that has restarted under its id; may be empty.
  std::function<void(const Backend&)> on_restart;
  /// Sets the calls that the other nodes report; null: none are known.
  void set_shared_calls(const shared_calls* calls) { shared_ = calls; }
  /// @return whether call reports of other nodes have arrived recently.
  bool has_peer_call_reports() const { return shared_ != nullptr && shared_->has_reports(); }
  /// @return the requests in the recent load reports of @p backend that no node has reported.
  std::uint32_t unattributed(const Backend& backend) const;
  /// @return the average number of gateways that use one back end of @p pool.
  double gateways_per_engine(const std::string& pool) const;

  Backend* find(const BackendId& id);
  /// @return the number of back ends in @p pool, in any state.
  std::size_t pool_size(const std::string& pool) const {
    const auto ids = pools_.find(pool);
    return ids == pools_.end() ? 0 : ids->second.size();
  }
  /// @return the back ends of @p pool in this node's subset that may get new work and are not warming up, without the
  ///         ejected ones. If all of them are ejected, the ejected ones, since a call to one may still succeed.
  std::vector<Backend*> candidates(const std::string& pool);
  /// @return the same for a request that may only run at @p version (may_run_at()); where one is set, of the whole pool
  ///         and not only of this node's subset.
  std::vector<Backend*> candidates(const std::string& pool, const std::optional<std::string>& version);
  /// The rule by which every choice of a back end goes: a stream of which the caller has events is continued only by
  /// the software version that wrote them. A version that is not stated equals no other one, or, where this platform's
  /// lists need not state versions, every other one.
  /// @param version the version that wrote the events; empty optional: the request has not begun.
  bool may_run_at(const Backend& backend, const std::optional<std::string>& version) const;
  /// @return whether a back end of @p pool that may run the request is listed and not leaving, however busy it is.
  bool serves_version(const std::string& pool, const std::optional<std::string>& version) const;
  /// @param stated whether this platform's list of back ends states software versions.
  void set_versions_stated(bool stated) { versions_stated_ = stated; }
  bool versions_stated() const { return versions_stated_; }
  const software_versions& versions() const { return versions_; }
  /// @return all back ends that may get new work.
  std::vector<Backend*> all_open();
  /// @return whether batch items may be sent to @p backend as far as ejection goes. They are owed whatever happens, so
  ///         that for them an ejection ends after kMaxEjectionForItems: engines that are left out may be the only free
  ///         ones.
  bool accepts_items(const Backend& backend) const;
  static constexpr Duration kMaxEjectionForItems = 2s;
  bool open(const Backend& backend) const;
  /// @return whether this node sends live requests to @p id.
  bool in_subset(const BackendId& id) const;

  /// Call these when a forwarded request is sent to @p id, receives data, and ends.
  /// @return the incarnation of the back end to which the request belongs.
  std::uint64_t on_sent(const BackendId& id);
  void on_heard(const BackendId& id);
  /// Has no effect if the back end has restarted since the request was sent.
  void on_ended(const BackendId& id, std::uint64_t life);
  /// @return whether @p id is known and still has the incarnation @p life.
  bool is_incarnation(const BackendId& id, std::uint64_t life) const;
  /// Call this when another gateway has sent a long prompt to @p id; its prefill takes about @p expected.
  void on_prefill(const BackendId& id, Duration expected);
  /// Call this when the first token of a call has arrived after @p milliseconds.
  void on_first_token(const BackendId& id, double milliseconds);
  /// Discards times to the first token that are older than @p age, so that an engine that was slow once is tried again.
  void forget_latencies(Duration age);
  /// Called with the time to the first token of each of this node's own calls; may be empty.
  std::function<void(const BackendId&, double milliseconds)> on_first_token_time;
  /// Call this when a call has ended with a complete answer.
  void on_success(const BackendId& id);
  void on_failure(const BackendId& id, CallFailure failure);
  /// Call this when the back end answered a live call with an error of its own.
  void on_failure_answer(const BackendId& id);
  /// Called for each failure of a call that a healthy back end would have answered; may be empty.
  std::function<void(const BackendId&, CallFailure)> on_call_failure;
  /// @param asked_at when the report was requested. Its age counts from then, since the answer may
  ///        have been queued while this node was frozen.
  void on_report(const BackendId& id, const LoadReport& report, Timestamp asked_at);
  const std::map<BackendId, Backend>& backends() const { return backends_; }
  /// @return the back ends with forwarded requests of this node in progress: few, however large the fleet is.
  const std::set<BackendId>& called() const { return with_open_calls_; }
  /// @return a number that changes whenever the set of known back ends changes.
  std::uint64_t version() const { return version_; }

 private:
  /// A back end whose entry has just disappeared without having been marked as leaving.
  struct RecentlyDelisted {
    Backend backend;
    lapse how;
  };

  /// @return the back ends of @p pool to which this node sends live requests, in any state.
  std::vector<Backend*> subset_of(const std::string& pool) const;
  void join_pools(Backend& backend);
  /// Replaces the software version of a listed back end.
  void set_software_version(Backend& backend, std::string version);
  /// @return the longest warm-up time of the pools of @p backend.
  Duration warm_up_length(const Backend& backend) const;
  void warm_up_for(Backend& backend, Duration time);
  /// Removes @p id from its pools.
  /// @param forget whether to remove it from the registry too.
  void remove(const BackendId& id, bool forget);
  void set_restored(Backend& backend, bool restored);
  /// Takes back ends of @p pool back into use if most entries disappeared together: the store of the machine list was
  /// probably unavailable, so the back ends may still run.
  void reinstate_delisted(const std::string& pool);
  void end_grace_period(const BackendId& id);
  /// @return for how long @p backend, which is no longer listed, may still be used.
  Duration grace_period_left(const Backend& backend) const;
  /// Keeps a back end out of use whose entry is listed again shortly after it disappeared: the entry may be a late
  /// write of a back end that has left.
  void withhold_if_just_delisted(Backend& backend);
  /// Applies a listed entry. An entry of an earlier incarnation is ignored, and an entry of the same incarnation does
  /// not undo that the back end is leaving.
  bool is_possible_start(std::uint64_t started_unix_ms) const;
  /// @return @p machine with its start as not stated if that lies in the future.
  config::Machine with_possible_start(config::Machine machine);
  void apply_machine_entry(Backend& backend, config::Machine machine);
  /// Resets all state of the earlier incarnation of a back end that has restarted under its id.
  void begin_incarnation(Backend& backend);
  void notify_delisting(const BackendId& id, bool kept, const lapse& how) const;
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
  std::uint64_t incarnations_ = 0;  ///< Number of incarnations of all back ends so far.
  std::size_t gateways_ = 1;
  std::map<BackendId, Backend> backends_;
  std::map<std::string, ranked_pool> pools_;
  software_versions versions_;
  bool versions_stated_ = false;
  std::map<BackendId, RecentlyDelisted> recently_delisted_;  ///< Those of the last kMassDelistingWindow.
  std::set<std::string> evacuated_;                          ///< Zones whose back ends get no requests.
  std::map<std::string, warm_up> warm_ups_;                  ///< By pool.
  std::set<BackendId> unidentified_;                         ///< Restored ones that have not told who they are.
  std::set<BackendId> warming_;  ///< Back ends that warm up; warm ones are removed at the next call of warming().
  std::set<BackendId> with_open_calls_;  ///< Back ends with open calls.
  std::set<BackendId> with_latency_;     ///< Back ends with a known time to the first token.
  Lifetime lifetime_;
};

}  // namespace madderdeck::routing
