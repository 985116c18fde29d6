#pragma once
/// @file Records which requests, and which parts of their prompts, were running on back ends that terminated. A data
/// structure without I/O whose instances on different nodes can be merged.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/strong_id.hpp"
#include "routing/request_fingerprint.hpp"

namespace madderdeck::quarantine {

/// Milliseconds since the Unix epoch by the clock of the node that observed the event. Messages carry points in time
/// rather than ages, since an age would be outdated by the transmission time.
using UnixMilliseconds = std::uint64_t;

/// A termination of a back end, called end in messages, stored data and metrics.
struct backend_termination {
  BackendId backend;
  UnixMilliseconds at = 0;
  bool advanced = false;  ///< The request had been producing output for a while, so another one is the likelier cause.
  std::uint64_t carrier = 0;  ///< Of a part: one of the requests that had it there, by its fingerprint; 0 otherwise.
  auto operator<=>(const backend_termination&) const = default;
};

enum class suspect_kind : std::uint8_t { request, prompt_part };
/// @return the name of @p kind, for logs.
const char* suspect_kind_name(suspect_kind kind);

/// What may have caused terminations: a request, or a part of prompts.
struct suspect_id {
  routing::request_fingerprint fingerprint;
  suspect_kind kind = suspect_kind::request;
  std::uint32_t rank = 0;  ///< Of a part: how narrow it is (routing::prompt_part_suspect).
};

/// A suspect and the back ends that terminated while running it.
struct crash_suspect {
  routing::request_fingerprint fingerprint;
  std::vector<backend_termination> ends;  ///< The earliest kMaxEnds terminations after answered_at, in order of time.
  UnixMilliseconds answered_at = 0;       ///< When a run of it last completed successfully; 0 if none is known.
  UnixMilliseconds held_back_at = 0;
  suspect_kind kind = suspect_kind::request;
  std::uint32_t rank = 0;
  /// Requests that were let through to try it again; of a request only those under which a back end terminated.
  std::uint32_t trials = 0;
  UnixMilliseconds tried_at = 0;  ///< The last trial of any outcome; 0 if there was none.

  /// @return the time of the latest known event: a termination, a successful run or a refusal.
  UnixMilliseconds last_event_at() const;
};

/// Suspects by fingerprint. The number of entries, the terminations kept for each and the time for which they
/// are kept are bounded. Single threaded.
class end_history {
 public:
  /// Early terminations (soon after the run began) at which a request is quarantined. Each crash of an engine is
  /// recorded for all live requests that ran there. Terminations shared with another request that has as many do not
  /// count, since a request that repeatedly runs beside a fatal one shares its terminations.
  static constexpr std::size_t kEndsToHoldBack = 3;
  /// With this many terminations, early or not, a request is quarantined regardless of which others ran beside it,
  /// unless requests that are already quarantined explain them. Further terminations are not stored.
  static constexpr std::size_t kMaxEnds = 5;
  /// Early terminations at which a part of prompts is quarantined.
  static constexpr std::size_t kPartEndsToHoldBack = 4;
  /// The terminations that are kept of a part, so that those of several requests are among them.
  static constexpr std::size_t kMaxPartEnds = 12;
  /// Different requests with a part under which back ends terminated. Fewer are told apart by the requests themselves,
  /// but two suffice if several back ends terminated under each.
  static constexpr std::size_t kMinCarriers = 3;
  /// Terminations of a part that no single request may explain.
  static constexpr std::size_t kMinBeyondOneRequest = 2;
  /// A suspect counts as proven if it ended well within this time before the terminations.
  static constexpr UnixMilliseconds kProvenForMs = 10 * 60 * 1000;
  static constexpr std::size_t kSeveralEnds = 2;
  /// Terminations of a part that no other one with fewer, but several may explain.
  static constexpr std::size_t kMinUnexplained = 2;
  /// Terminations of a proven part that no unproven suspect with several may explain.
  static constexpr std::size_t kMinUnexplainedOfProven = 3;
  /// Capacity in entries of about 350 bytes each. Entries with the fewest terminations are evicted first, among these
  /// the ones with the oldest last event.
  static constexpr std::size_t kMaxSuspects = 2048;
  /// Retention time since the last event. Refusals count as events, so a request that callers keep sending stays
  /// quarantined.
  static constexpr UnixMilliseconds kRetentionMs = 15 * 60 * 1000;
  /// Two reports about one back end within this time are the same termination: a back end needs longer to restart and
  /// terminate again under the same id.
  static constexpr UnixMilliseconds kSameEndWindowMs = 2'500;

  /// Records that @p end happened while @p suspect was running.
  /// @return whether this changed the stored data.
  bool record(const suspect_id& suspect, const backend_termination& end, UnixMilliseconds now);
  /// The same for a request.
  bool record(const routing::request_fingerprint& request, const backend_termination& end, UnixMilliseconds now) {
    return record(suspect_id{request}, end, now);
  }
  /// Records that a run with @p suspect, under which no termination is recorded yet, had completed successfully at @p
  /// at. Does nothing if @p at is 0.
  void note_answered(const suspect_id& suspect, UnixMilliseconds at);
  /// Records that a run of @p request completed successfully at @p at. Earlier terminations are removed, since other
  /// requests must have caused them.
  /// @return whether there were any.
  bool clear_ends_until(const routing::request_fingerprint& request, UnixMilliseconds at);
  /// Adds what another node knows about a request.
  /// @return whether this added or removed a termination.
  bool merge(const crash_suspect& other, UnixMilliseconds now);
  /// Records that @p suspect was refused at @p now.
  void note_held_back(const routing::request_fingerprint& suspect, UnixMilliseconds now);
  /// Records that @p suspect is tried again at @p now, with an outcome that is not known yet.
  void note_trial_begun(const routing::request_fingerprint& suspect, UnixMilliseconds now);
  /// Records a trial of @p suspect at @p now, which makes the pause until the next one longer.
  void note_trial(const routing::request_fingerprint& suspect, UnixMilliseconds now);
  void forget_old(UnixMilliseconds now);

  /// @return the entry of @p request; null if there is none.
  const crash_suspect* find(const routing::request_fingerprint& request) const;
  std::size_t ends(const routing::request_fingerprint& request) const;
  bool is_quarantined(const routing::request_fingerprint& suspect) const;
  /// @return whether @p request has three or more early terminations that it shares with requests that have as many:
  ///         one of these caused the terminations, but it is not known yet which.
  bool is_ambiguous(const routing::request_fingerprint& request) const;
  /// @return the other request that shares the most terminations with @p request, if any does.
  std::optional<routing::request_fingerprint> request_sharing_most_ends(
      const routing::request_fingerprint& request) const;
  bool empty() const { return suspects_.empty(); }
  std::size_t size() const { return suspects_.size(); }
  /// @return the number of suspects of @p kind that are quarantined.
  std::size_t held_back(suspect_kind kind = suspect_kind::request) const;
  /// @return up to @p most entries to send to a node whose digest differs: requests with two or more terminations, and
  ///         those that completed successfully. Entries with a single termination are left out, since each crash
  ///         creates one for every request that ran there; they are sent only once, when they are recorded.
  std::vector<crash_suspect> shared(std::size_t most) const;
  /// @return whether @p suspect ended well soon before the terminations recorded for it.
  static bool is_proven(const crash_suspect& suspect);
  /// @return whether a narrower unproven part may have caused some of the terminations of @p part.
  bool is_contested(const crash_suspect& part) const;
  /// @return a digest of the terminations of suspects of @p kind that have two or more; equal on nodes that store the
  ///         same ones, 0 without any.
  std::uint64_t digest(suspect_kind kind) const;
  /// @return the same over all kinds.
  std::uint64_t digest() const { return digest(suspect_kind::request) + digest(suspect_kind::prompt_part); }

 private:
  /// @return whether @p request has two or more terminations and so is part of the digest.
  static bool is_in_digest(const crash_suspect& request);
  /// @return whether @p request is sent to nodes that differ: compared entries and those that completed successfully.
  static bool is_shared(const crash_suspect& request);
  static bool is_earlier(const backend_termination& one, const backend_termination& other);
  static std::size_t max_ends(suspect_kind kind) { return kind == suspect_kind::prompt_part ? kMaxPartEnds : kMaxEnds; }
  /// @return how many of @p ends are of each request.
  static std::map<std::uint64_t, unsigned> carriers_of(const std::vector<backend_termination>& ends);
  /// @return whether @p ends are of enough requests to blame a part that these have in common.
  static bool has_several_carriers(const std::vector<backend_termination>& ends);
  static bool same_end(const backend_termination& one, const backend_termination& other);
  /// Removes the terminations that precede the last successful run.
  /// @return how many were removed.
  static std::size_t erase_ends_before_answer(crash_suspect& known);
  static std::size_t early_ends(const crash_suspect& suspect);
  /// A request and those of its early terminations that no request with more of them explains.
  struct candidate {
    const crash_suspect* suspect = nullptr;
    std::vector<backend_termination> left;  ///< The early terminations that are not explained by other requests.
  };
  struct classification {
    std::set<routing::request_fingerprint> fatal;      ///< Suspects to quarantine.
    std::set<routing::request_fingerprint> ambiguous;  ///< Requests that may have caused terminations they share.
  };
  const classification& classified() const;
  /// Adds the parts of prompts that caused terminations to @p found.
  void find_fatal_parts(classification& found) const;
  /// @return whether @p part caused terminations that nothing in @p found causes.
  bool is_fatal_part(const crash_suspect& part, const classification& found) const;
  /// @return the terminations in @p ends that remain without those of the one request that shares most of them.
  std::vector<backend_termination> beyond_one_request(const std::vector<backend_termination>& ends) const;
  /// @return whether @p ends of @p part are enough to hold it back if nothing else explains them.
  bool has_evidence(const crash_suspect& part, const std::vector<backend_termination>& ends) const;
  /// @return whether unproven suspects besides @p part, which is proven, explain @p ends.
  bool proven_is_explained(const crash_suspect& part, const std::vector<backend_termination>& ends) const;
  /// @return whether parts with fewer terminations than @p part explain @p ends better.
  bool smaller_parts_explain(const crash_suspect& part, const std::vector<backend_termination>& ends) const;
  /// @return whether @p other is an unproven part with several terminations, but fewer than @p part.
  static bool is_smaller_part(const crash_suspect& other, const crash_suspect& part);
  /// @return those of @p ends that came soon after the run began.
  static std::vector<backend_termination> early_of(std::vector<backend_termination> ends);
  /// @return whether another unproven part was on the same back ends, and on no others.
  bool has_twin(const crash_suspect& part, const classification& found) const;
  /// Removes the terminations of all that is in @p fatal from @p ends.
  void erase_explained(std::vector<backend_termination>& ends,
                       const std::set<routing::request_fingerprint>& fatal) const;
  void find_fatal_requests(classification& found) const;
  /// Classifies the requests of @p round, which all have the same number of terminations left, and adds them to
  /// @p found: those that have three which they do not share are fatal.
  static void classify_round(const std::vector<candidate>& round, classification& found);
  /// @return whether @p one is proven and an unproven request of @p round has all its terminations.
  static bool is_explained_by_unproven(const candidate& one, const std::vector<candidate>& round);
  /// @return the remaining terminations of @p one that none of @p others shares.
  static std::vector<backend_termination> unshared_ends(const candidate& one, const std::vector<candidate>& others);
  static void erase_shared(std::vector<backend_termination>& ends, const std::vector<backend_termination>& others);
  void add_with_max_ends(std::set<routing::request_fingerprint>& fatal) const;
  /// Keeps among the ambiguous requests only those with three terminations that no fatal request explains.
  void drop_explained(classification& found) const;
  void evict_one();

  crash_suspect& entry_of(const suspect_id& suspect);

  std::map<routing::request_fingerprint, crash_suspect> suspects_;
  mutable std::optional<classification> classification_;  ///< Cached result; reset by changes.
};

}  // namespace madderdeck::quarantine
