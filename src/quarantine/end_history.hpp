#pragma once
/// @file Which requests were running when back ends ended. A pure data structure that any two nodes can merge.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/strong_id.hpp"
#include "routing/request_fingerprint.hpp"

namespace madderdeck::quarantine {

/// Milliseconds since the Unix epoch, by the clock of the node that saw it: ages in messages would grow on their way.
using UnixMilliseconds = std::uint64_t;

/// A back end that ended.
struct backend_end {
  BackendId backend;
  UnixMilliseconds at = 0;
  bool advanced = false;  ///< The request had been answered for a while: more likely another one's fault.
  auto operator<=>(const backend_end&) const = default;
};

/// One request and the back ends that ended while they ran it.
struct suspected_request {
  routing::request_fingerprint request;
  std::vector<backend_end> ends;     ///< After answered_at, the earliest kMostEnds, in order of time.
  UnixMilliseconds answered_at = 0;  ///< Its last run that came to a good end; 0: none known.
  UnixMilliseconds held_back_at = 0;

  /// @return when there was last news of it.
  UnixMilliseconds last_news() const;
};

/// Requests by fingerprint. Bounded in entries, in ends for each and in time. Single threaded.
class end_history {
 public:
  /// With the third back end that ends soon after it has begun to run a request it is no accident. Each crash of an
  /// engine puts an end on all that ran there; a batch item of some seconds, which is taken elsewhere each time, meets
  /// three of them now and then, but seldom just begun each time. Ends at which another request ran that has as many do
  /// not count: what runs beside a fatal request again and again shares its ends. With all ends counted alike one
  /// innocent item failed in 60 simulated schedules in which every third action sends a fatal request.
  static constexpr std::size_t kEndsToHoldBack = 3;
  /// With so many ends of any kind a request is held back whoever else was there, unless others that are held back
  /// explain them. More are not kept.
  static constexpr std::size_t kMostEnds = 5;
  /// Of about 300 bytes each. Those with the fewest ends go first, among them those without news for longest.
  static constexpr std::size_t kMostRequests = 1024;
  /// From the last end or refusal: a caller that goes on asking keeps its request held back.
  static constexpr UnixMilliseconds kKeptMs = 15 * 60 * 1000;
  /// Two reports of one back end within it are of one end; a back end takes longer to end again under the same id.
  static constexpr UnixMilliseconds kSameEndMs = 2'500;

  /// @return whether this is news.
  bool record(const routing::request_fingerprint& request, const backend_end& end, UnixMilliseconds now);
  /// A run ended well at @p at: earlier ends were others' fault.
  /// @return whether there were any.
  bool acquit(const routing::request_fingerprint& request, UnixMilliseconds at);
  /// @return whether anything in @p other was news.
  bool merge(const suspected_request& other, UnixMilliseconds now);
  void note_held_back(const routing::request_fingerprint& request, UnixMilliseconds now);
  void forget_old(UnixMilliseconds now);

  /// @return what is known of @p request, or null.
  const suspected_request* find(const routing::request_fingerprint& request) const;
  std::size_t ends(const routing::request_fingerprint& request) const;
  bool holds_back(const routing::request_fingerprint& request) const;
  /// @return whether @p request has three early ends or more that others with as many have, too: one of them did it,
  /// and
  ///         nobody can tell yet which.
  bool is_ambiguous(const routing::request_fingerprint& request) const;
  /// @return the request besides @p request that shares most of its ends, if any does.
  std::optional<routing::request_fingerprint> shares_most(const routing::request_fingerprint& request) const;
  /// @return whether @p request, held back, ended another back end when it was tried once more, or five in all.
  bool beyond_doubt(const routing::request_fingerprint& request) const;
  bool empty() const { return requests_.empty(); }
  std::size_t size() const { return requests_.size(); }
  std::size_t held_back() const;
  /// @return what a node that differs is told: requests with two ends or more, and the acquitted. One end alone is told
  ///         once and no more, since each crash puts one on everything that ran there.
  std::vector<suspected_request> shared(std::size_t most) const;
  /// @return a number over the ends of requests with two or more, equal where these are; 0 without any.
  std::uint64_t digest() const;

 private:
  /// With two ends or more.
  static bool is_compared(const suspected_request& request);
  /// These and the acquitted.
  static bool is_shared(const suspected_request& request);
  static bool is_earlier(const backend_end& one, const backend_end& other);
  static bool same_end(const backend_end& one, const backend_end& other);
  /// @return how many ends a later good run has acquitted of; they are gone.
  static std::size_t erase_answered(suspected_request& known);
  static std::size_t early_ends(const suspected_request& suspect);
  /// One request and those of its early ends that none with more of them explains.
  struct suspicion {
    const suspected_request* suspect = nullptr;
    std::vector<backend_end> left;
  };
  struct verdict {
    std::set<routing::request_fingerprint> guilty;
    std::set<routing::request_fingerprint> ambiguous;
  };
  const verdict& judged() const;
  verdict find_guilty() const;
  /// Adds to @p found those of @p round, which have as many ends left: guilty are those that have three by themselves.
  static void judge(const std::vector<suspicion>& round, verdict& found);
  /// @return what @p one has left that none of @p others has.
  static std::vector<backend_end> left_alone(const suspicion& one, const std::vector<suspicion>& others);
  static void erase_shared(std::vector<backend_end>& ends, const std::vector<backend_end>& others);
  void add_beyond_chance(std::set<routing::request_fingerprint>& guilty) const;
  /// Leaves among the ambiguous those that have three ends which no guilty one explains.
  void drop_explained(verdict& found) const;
  void evict_one();

  std::map<routing::request_fingerprint, suspected_request> requests_;
  mutable std::optional<verdict> verdict_;  ///< None after a change.
};

}  // namespace madderdeck::quarantine
